//! Polls the table service for the latest configuration version.

use std::sync;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::process::versions::config;
use crate::version::store;

/// Interval between a poller's reads of the head row.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum backoff interval in an outage; short enough that a version applied right after the
/// outage becomes active everywhere in time.
pub const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_500);

/// Interval between checks whether this router has become a poller.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Jitter of the intervals in each direction, so that routers that started together do not read
/// at the same time.
const JITTER_PERCENT: u64 = 10;

/// Polls while `is_poller` returns true or no version is active yet, until `token` is cancelled.
pub async fn run(
    cell: sync::Arc<config::ConfigCell>,
    store: store::VersionStore,
    is_poller: Box<dyn Fn() -> bool + Send + Sync>,
    token: stop_token::StopToken,
) {
    let polling = poll_forever(&cell, &store, is_poller.as_ref());
    // The loop ends only by cancellation.
    let _stopped = polling.timeout_at(token).await;
}

async fn poll_forever(
    cell: &sync::Arc<config::ConfigCell>,
    store: &store::VersionStore,
    is_poller: &(dyn Fn() -> bool + Send + Sync),
) {
    let mut interval = POLL_INTERVAL;
    loop {
        if !is_poller() && cell.current().is_some() {
            task::sleep(IDLE_INTERVAL).await;
            continue;
        }
        interval = match poll_once(cell, store).await {
            Ok(()) => POLL_INTERVAL,
            Err(_error) => backoff_interval(interval),
        };
        let random = fastrand::u64(..);
        task::sleep(add_jitter(interval, random)).await;
    }
}

/// Reads the head row, then the latest version unless `cell` has already seen it.
///
/// # Errors
/// [`store::StoreError`] if the table service fails or its answer cannot be parsed.
pub async fn poll_once(
    cell: &sync::Arc<config::ConfigCell>,
    store: &store::VersionStore,
) -> store::Result<()> {
    let Some(head) = store.head().await? else {
        return Ok(());
    };
    if cell.has_seen(head.number) {
        return Ok(());
    }
    if let Some(yaml) = read_version(cell, store, head.number).await? {
        config::offer_off_thread(cell, head.number, yaml).await;
    }
    Ok(())
}

/// Reads version `number` by its deltas from the active version if possible, else its full text.
async fn read_version(
    cell: &config::ConfigCell,
    store: &store::VersionStore,
    number: u64,
) -> store::Result<Option<String>> {
    if let Some(current) = cell.current() {
        let updated = store.apply_deltas(current.number(), current.yaml(), number);
        if let Some(yaml) = updated.await? {
            return Ok(Some(yaml));
        }
    }
    store.read(number).await
}

/// Next interval after a failed read: doubled, at most [`MAX_POLL_INTERVAL`].
#[must_use]
pub fn backoff_interval(interval: time::Duration) -> time::Duration {
    MAX_POLL_INTERVAL.min(interval * 2)
}

/// Lengthens or shortens `interval` by up to `JITTER_PERCENT` percent, depending on `random`.
#[must_use]
pub fn add_jitter(interval: time::Duration, random: u64) -> time::Duration {
    let micros = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
    let max_offset = (micros / 100).saturating_mul(JITTER_PERCENT);
    let offset = random % (2 * max_offset + 1);
    time::Duration::from_micros(micros.saturating_sub(max_offset).saturating_add(offset))
}
