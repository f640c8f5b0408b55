//! Reading of the newest configuration version from the table service.

use std::sync;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::process::versions::config;
use crate::version::store;

/// Time between two reads of the head by a poller.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Longest time between two reads in an outage; short enough that a version applied just after
/// the outage is in force everywhere in time.
pub const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1_500);

/// Time between two looks whether this router has become a poller.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Spread of the intervals, so that routers that started together do not read together.
const JITTER_PERCENT: u64 = 10;

/// Reads the head while `is_poller` holds or no version is in force yet, until `token` stops it.
pub async fn run(
    cell: sync::Arc<config::ConfigCell>,
    store: store::VersionStore,
    is_poller: Box<dyn Fn() -> bool + Send + Sync>,
    token: stop_token::StopToken,
) {
    let polling = poll_forever(&cell, &store, is_poller.as_ref());
    // A stop is the only way out of the loop.
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

/// Reads the head, and the newest version when the cell has not seen it.
///
/// # Errors
/// [`store::StoreError`] when the table service gave no readable answer.
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

/// Reads the changes since the version in force where that is possible, else the whole text.
async fn read_version(
    cell: &config::ConfigCell,
    store: &store::VersionStore,
    number: u64,
) -> store::Result<Option<String>> {
    if let Some(current) = cell.current() {
        let updated = store.follow(current.number(), current.yaml(), number);
        if let Some(yaml) = updated.await? {
            return Ok(Some(yaml));
        }
    }
    store.read(number).await
}

/// Interval after a failed read.
#[must_use]
pub fn backoff_interval(interval: time::Duration) -> time::Duration {
    MAX_POLL_INTERVAL.min(interval * 2)
}

/// `interval` lengthened or shortened by up to a tenth, by `random`.
#[must_use]
pub fn add_jitter(interval: time::Duration, random: u64) -> time::Duration {
    let micros = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
    let max_offset = (micros / 100).saturating_mul(JITTER_PERCENT);
    let offset = random % (2 * max_offset + 1);
    time::Duration::from_micros(micros.saturating_sub(max_offset).saturating_add(offset))
}
