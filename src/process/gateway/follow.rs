//! Follows the platform's store, and peers while the store gives no answers.

use std::sync;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::process::gateway::{boot_clock, endpoint_registry, node, readers, rows};

/// Parts of the age at which keys end that one wait may take, so that the age stays under that bound
/// when one call fails.
const KEY_AGE_PARTS: u32 = 4;

/// Pause after an answer, so that a storm of changes is read in batches. Changes are in force within
/// seconds; this, a peer's question and the way fit several times.
const BATCH_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Time between two looks whether this router has to follow the store.
const DUTY_STEP: time::Duration = time::Duration::from_millis(100);

/// Time between two looks for other routers.
const ALONE_LOOK: time::Duration = time::Duration::from_secs(1);

/// Time from the start after which a router that reads for its zone writes its peer address; by then
/// the routers of a fresh system know one another, and few of them write.
const ANNOUNCE_DELAY: time::Duration = time::Duration::from_secs(3);

/// Time between two tries to write the own peer address.
const ANNOUNCE_RETRY: time::Duration = time::Duration::from_secs(1);

/// Follows the configuration until `token` is cancelled.
pub async fn follow_config(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let key_age = node.settings.bounds.key_age;
    let change_wait = node.pace.long_poll_wait;
    let wait = key_age.map_or(change_wait, |age| change_wait.min(age / KEY_AGE_PARTS));
    let following = follow(
        &node,
        rows::RowTopic::Config,
        wait,
        |batch, asked, _is_full| {
            for row in &batch.rows {
                if let Some(value) = &row.value {
                    node.take_version(&row.key, value, "store");
                }
            }
            if node.version_number().is_some() {
                node.confirm_version(asked);
            }
        },
    );
    // Ends with the process only.
    let _stopped = following.timeout_at(token).await;
}

/// Follows the endpoints until `token` is cancelled.
pub async fn follow_endpoints(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let following = follow(
        &node,
        rows::RowTopic::Endpoints,
        node.pace.long_poll_wait,
        |batch, asked, is_full| {
            take_endpoints(&node, batch, asked, is_full);
        },
    );
    let _stopped = following.timeout_at(token).await;
}

fn take_endpoints(
    node: &node::GatewayNode,
    batch: rows::RowBatch,
    now: boot_clock::BootInstant,
    is_full: bool,
) {
    let mut changes = Vec::with_capacity(batch.rows.len());
    let mut held = node.endpoint_rows.lock();
    for row in batch.rows {
        let Some(value) = row.value else {
            changes.push(endpoint_registry::EntryChange::Absent(row.key));
            continue;
        };
        changes.push(node.codec.endpoint(&row.key, &value));
        held.insert(row.key, value);
    }
    let mut book = node.book.lock();
    book.mark_store_reachable(now);
    let mut is_changed = if is_full {
        book.replace(changes, now)
    } else {
        book.apply(changes, now)
    };
    is_changed |= book.expire(now);
    // Peers get the rows of lapsed entries too, as long as they may come back.
    held.retain(|name| book.contains(name));
    drop(book);
    drop(held);
    node.endpoint_clock.lock().confirm(now);
    node.publish_endpoints(is_changed);
}

async fn follow(
    node: &node::GatewayNode,
    topic: rows::RowTopic,
    wait: time::Duration,
    mut take: impl FnMut(rows::RowBatch, boot_clock::BootInstant, bool),
) {
    let mut after = None;
    let mut is_away = false;
    let mut backoff = readers::StoreBackoff::default();
    loop {
        if !node.reads_store() {
            after = None;
            task::sleep(DUTY_STEP).await;
            continue;
        }
        let asked = boot_clock::BootInstant::now();
        node.metrics.count("store.called");
        let read = match after {
            None => node.store.read_all(topic).await,
            Some(version) => node.store.read_changes(topic, version, wait).await,
        };
        match read {
            Ok(batch) => {
                if std::mem::take(&mut is_away) {
                    log::info!(topic:? = topic; "store answers again");
                }
                backoff = readers::StoreBackoff::default();
                let slot = usize::from(topic == rows::RowTopic::Endpoints);
                node.store_answers.lock()[slot] = boot_clock::BootInstant::now();
                let is_full = after.is_none();
                after = Some(batch.version);
                take(batch, asked, is_full);
                task::sleep(BATCH_PAUSE).await;
            }
            Err(error) => {
                after = None;
                let is_outage = error != rows::RowError::HistoryGone;
                if is_outage && topic == rows::RowTopic::Endpoints {
                    node.book.lock().mark_store_unreachable();
                }
                if !std::mem::replace(&mut is_away, true) {
                    log::warn!(topic:? = topic, cause = error.to_string().as_str(); "store lost");
                }
                node.metrics.count("store.failed");
                let pause = if is_outage {
                    backoff.next_pause(node.is_reader())
                } else {
                    BATCH_PAUSE
                };
                // By chance, so that routers do not call together.
                task::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

/// Lets routers that know no other one find some through the store, until `token` is cancelled.
///
/// The reader of each zone writes its address; the others would only cost calls.
pub async fn follow_routers(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let announcing = async {
        let peer_address = node.settings.peer_listen.to_string();
        task::sleep(ANNOUNCE_DELAY).await;
        loop {
            if node.is_reader() {
                match node
                    .store
                    .announce(&node.settings.router, &peer_address)
                    .await
                {
                    Ok(()) => return,
                    Err(error) => {
                        let cause = error.to_string();
                        log::warn!(cause = cause.as_str(); "peer address not written; tried again");
                    }
                }
            }
            task::sleep(ANNOUNCE_RETRY).await;
        }
    };
    let finding = async {
        loop {
            task::sleep(ALONE_LOOK).await;
            if node.gossip.members().len() > 1 {
                continue;
            }
            if let Ok(batch) = node.store.read_all(rows::RowTopic::Routers).await {
                let values = batch.rows.iter().filter_map(|row| row.value.as_deref());
                let addresses = values.filter_map(|value| node.codec.peer_address(value));
                node.seeds.set_listed(addresses.collect());
            }
        }
    };
    let following = futures::future::join(announcing, finding);
    let _stopped = following.timeout_at(token).await;
}
