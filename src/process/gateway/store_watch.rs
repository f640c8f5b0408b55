//! Watches the platform's store for changes to the configuration, the endpoints and the routers.

use std::sync;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::process::gateway::{boot_clock, endpoint_registry, node, readers, rows};

/// A long poll waits at most the maximum key age divided by this, so that the configuration stays
/// below that age even if one call fails.
const KEY_AGE_DIVISOR: u32 = 4;

/// Long-poll timeout for blocked requests. Changes are rare, and peers tell of them too.
const BLOCKED_PROMPT_WAIT: time::Duration = time::Duration::from_secs(10);

/// Pause after each answer, so that a burst of changes is read in batches. Changes have to take
/// effect within seconds; the pause, a peer's query and the network delay fit into that time
/// several times.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Interval at which a router that does not watch the store checks whether it has to.
const ROLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval at which a router that knows no other one searches the store for some.
const DISCOVERY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time after the start before the reader of a zone writes its peer address. By then the routers of
/// a new system know one another, so that only few of them write.
const ANNOUNCE_DELAY: time::Duration = time::Duration::from_secs(3);

/// Interval at which it is checked whether this router's peer address has to be written.
const ANNOUNCE_RETRY: time::Duration = time::Duration::from_secs(1);

/// Watches the configuration until `token` is cancelled.
pub async fn watch_config(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let max_key_age = node.settings.bounds.max_key_age;
    let change_wait = node.pace.long_poll_wait;
    let wait = max_key_age.map_or(change_wait, |age| change_wait.min(age / KEY_AGE_DIVISOR));
    // Number of the configuration in the store; `None` while it is not known.
    let mut stored = None;
    let watching = watch(
        &node,
        rows::RowTopic::Config,
        wait,
        |batch, asked_at, is_full| {
            if let Some(rollouts) = &node.rollouts {
                rollouts.apply_rows(&batch, asked_at, is_full);
            }
            if is_full {
                let is_order = |row: &rows::RowChange| node.codec.order_service(&row.key).is_some();
                stored = batch.rows.iter().all(is_order).then_some(0);
            }
            for row in &batch.rows {
                if let Some(value) = &row.value {
                    stored = node.apply_version(&row.key, value, "store").or(stored);
                }
            }
            // A store that was restored from a copy may hold an older configuration, which does not
            // show that the one in force is the newest.
            let in_force = node.version_number();
            if in_force.is_some() && stored.is_none_or(|stored| Some(stored) == in_force) {
                node.confirm_version(asked_at);
            }
        },
    );
    // The watch runs until the process stops.
    let _stopped = watching.timeout_at(token).await;
}

/// Watches the endpoints until `token` is cancelled.
pub async fn watch_endpoints(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let watching = watch(
        &node,
        rows::RowTopic::Endpoints,
        node.pace.long_poll_wait,
        |batch, asked_at, is_full| {
            apply_endpoints(&node, batch, asked_at, is_full);
        },
    );
    let _stopped = watching.timeout_at(token).await;
}

fn apply_endpoints(
    node: &node::GatewayNode,
    batch: rows::RowBatch,
    now: boot_clock::BootInstant,
    is_full: bool,
) {
    let mut changes = Vec::with_capacity(batch.rows.len());
    let mut rows = node.endpoint_rows.lock();
    for row in batch.rows {
        let Some(value) = row.value else {
            changes.push(endpoint_registry::EntryChange::Absent(row.key));
            continue;
        };
        changes.push(node.codec.endpoint(&row.key, &value));
        rows.insert(row.key, value);
    }
    let mut registry = node.registry.lock();
    registry.mark_store_reachable(now);
    if node.enter_endpoint_era(batch.era) {
        registry.mark_restored(now);
    }
    let mut is_changed = if is_full {
        registry.replace(changes, now)
    } else {
        registry.apply(changes, now)
    };
    is_changed |= registry.expire(now);
    // The rows of expired entries are kept for peers as long as the entries may come back.
    rows.retain(|name| registry.contains(name));
    drop(registry);
    drop(rows);
    node.endpoint_clock.lock().confirm(now);
    node.publish_endpoints(is_changed);
}

/// Watches the blocked requests until `token` is cancelled. Writes those that the store lacks when it
/// was away.
pub async fn watch_blocked_requests(
    node: sync::Arc<node::GatewayNode>,
    token: stop_token::StopToken,
) {
    let watching = watch(
        &node,
        rows::RowTopic::BlockedRequests,
        BLOCKED_PROMPT_WAIT,
        |batch, _asked_at, is_full| {
            let values = batch.rows.iter().filter_map(|row| row.value.as_deref());
            node.guard.merge_rows(values);
            if is_full && node.is_reader() {
                let guard = sync::Arc::clone(&node.guard);
                task::spawn(async move { guard.add_missing_rows(&batch.rows).await });
            }
        },
    );
    let _stopped = watching.timeout_at(token).await;
}

async fn watch(
    node: &node::GatewayNode,
    topic: rows::RowTopic,
    wait: time::Duration,
    mut apply: impl FnMut(rows::RowBatch, boot_clock::BootInstant, bool),
) {
    let (mut after, mut era) = (None, None);
    let mut is_unreachable = false;
    let mut backoff = readers::StoreBackoff::default();
    loop {
        // Blocked requests are rare, so routers other than readers learn of them from peers only.
        let may_watch = topic != rows::RowTopic::BlockedRequests || node.is_reader();
        if !may_watch || !node.is_watching_store() {
            after = None;
            task::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = boot_clock::BootInstant::now();
        if topic == rows::RowTopic::Endpoints && node.registry.lock().take_reread(asked_at) {
            after = None;
        }
        if era.is_none() && !is_unreachable {
            log::info!(topic:? = topic, peers:? = node.peer_contact(); "first read of the store");
        }
        node.metrics.count("store.called");
        let read = match after {
            None => node.store.read_all(topic).await,
            Some(version) => node.store.read_changes(topic, version, wait).await,
        };
        match read {
            Ok(batch) => {
                if std::mem::take(&mut is_unreachable) {
                    log::info!(topic:? = topic; "store answers again");
                }
                backoff = readers::StoreBackoff::default();
                node.record_store_answer(topic);
                let is_full = after.is_none();
                let is_restored = era.is_some_and(|era| era != batch.era);
                if is_full || is_restored {
                    let (version, rows) = (batch.version, batch.rows.len());
                    log::info!(
                        topic:? = topic, is_full, era = batch.era, known_era:? = era, version,
                        known_version:? = after, rows;
                        "store read"
                    );
                }
                era = Some(batch.era);
                if is_restored && !is_full {
                    // Versions of the era before say nothing about what has changed in this one.
                    after = None;
                    continue;
                }
                after = Some(batch.version);
                apply(batch, asked_at, is_full);
                task::sleep(BATCH_PAUSE).await;
            }
            Err(error) => {
                after = None;
                let is_outage = error != rows::RowError::HistoryGone;
                if is_outage && topic == rows::RowTopic::Endpoints {
                    node.registry.lock().mark_store_unreachable();
                }
                if !std::mem::replace(&mut is_unreachable, true) {
                    log::warn!(topic:? = topic, cause = error.to_string().as_str(); "store lost");
                }
                node.metrics.count("store.failed");
                let pause = if is_outage {
                    backoff.next_pause(node.is_reader())
                } else {
                    BATCH_PAUSE
                };
                // Jitter keeps routers from calling the store at the same time.
                task::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

/// Lets routers that know no other one find some through the store, until `token` is cancelled.
///
/// Only the reader of each zone writes its peer address: that is enough to be found, and further
/// writes would only cost store calls.
pub async fn watch_routers(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let announcing = async {
        let peer_address = node.settings.peer_listen.to_string();
        let mut written_era = None;
        task::sleep(ANNOUNCE_DELAY).await;
        loop {
            // A copy that the store is restored from may lack the address.
            let era = *node.endpoint_era.lock();
            if node.is_reader() && era.is_some() && era != written_era {
                let (topic, router) = (rows::RowTopic::Routers, &node.settings.router);
                match node.store.put(topic, router, peer_address.as_bytes()).await {
                    Ok(()) => written_era = era,
                    Err(error) => {
                        let cause = error.to_string();
                        log::warn!(cause = cause.as_str(); "cannot write peer address; retrying");
                    }
                }
            }
            task::sleep(ANNOUNCE_RETRY).await;
        }
    };
    let discovering = async {
        loop {
            task::sleep(DISCOVERY_INTERVAL).await;
            if node.gossip.members().len() > 1 {
                continue;
            }
            if let Ok(batch) = node.store.read_all(rows::RowTopic::Routers).await {
                let values = batch.rows.iter().filter_map(|row| row.value.as_deref());
                let addresses = values.filter_map(|value| node.codec.peer_address(value));
                node.seeds.set_vm_addresses(addresses.collect());
            }
        }
    };
    let watching = futures::future::join(announcing, discovering);
    let _stopped = watching.timeout_at(token).await;
}
