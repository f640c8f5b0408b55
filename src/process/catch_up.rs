//! Recovery after a pause of the process: no work is done until an exchange with a peer or the
//! table service has refreshed the local state.

use std::sync;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::connection::peer_wire;
use crate::connection::platform;
use crate::process::node;
use crate::process::telemetry::timeline;
use crate::process::versions::config;
use crate::version::store;

/// Interval between checks of the clocks.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Maximum number of peers queried after a pause.
const PEER_COUNT: usize = 3;

/// Timeout for the reply of a peer.
const PEER_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Detects pauses and refreshes the local state after each, until `token` is cancelled.
pub async fn watch(
    node: sync::Arc<node::RouterNode>,
    platform: sync::Arc<dyn platform::PlatformService>,
    token: stop_token::StopToken,
) {
    let store = store::VersionStore::new(platform);
    while task::sleep(TICK).timeout_at(token.clone()).await.is_ok() {
        node.readiness.check_for_pause();
        if let Some(gap) = node.readiness.take_pause() {
            note_pause(&node, gap);
        }
        if node.readiness.is_caught_up() {
            continue;
        }
        let began = time::Instant::now();
        if catch_up(&node, &store).await && node.readiness.record_contact(began) {
            log::info!("caught up after a pause");
        }
    }
}

fn note_pause(node: &node::RouterNode, gap: time::Duration) {
    let millis = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
    node.ring
        .record(None, timeline::EventKind::PauseNoticed { millis });
    node.metrics.count("process.pause");
    log::warn!("the process was paused for {millis} ms");
}

/// Updates the version and the gossip state from a peer, or only the version from the table service
/// if no peer replies; returns false if neither does.
async fn catch_up(node: &node::RouterNode, store: &store::VersionStore) -> bool {
    if ask_peers(node).await {
        node.gossip.run_round().await;
        return true;
    }
    let Ok(newest) = store.newest().await else {
        return false;
    };
    if let Some((number, yaml)) = newest {
        config::offer_off_thread(&node.config, number, yaml).await;
    }
    true
}

async fn ask_peers(node: &node::RouterNode) -> bool {
    let number = node.config.update_base_number();
    let own = &node.settings.router;
    let mut peers = node.members.ready_members();
    peers.retain(|member| member.router != *own);
    fastrand::shuffle(&mut peers);
    for member in peers.iter().take(PEER_COUNT) {
        let query = peer_wire::QueryBody::NewerVersion { number };
        let reply = node
            .intake
            .link
            .ask(&member.peer_address, query, PEER_LIMIT)
            .await;
        let Ok(peer_wire::ReplyBody::NewerVersion(version)) = reply else {
            continue;
        };
        if let Some(version) = version {
            config::offer_update_off_thread(&node.config, version).await;
        }
        return true;
    }
    false
}
