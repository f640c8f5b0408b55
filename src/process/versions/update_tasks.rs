//! Background tasks of a running router: configuration updates, readiness and limit shares.

use std::sync;
use std::time;

use async_std::future;
use async_std::task;
use stop_token::future::FutureExt as _;

use crate::connection::peer_wire;
use crate::process::limits::share;
use crate::process::node;
use crate::process::telemetry::timeline;
use crate::process::versions::config;
use crate::version::check;
use crate::version::route;

/// Interval between checks for a newer version at a peer, and between readiness checks.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Timeout of a query for a peer's version.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Applies each newly active version to the other parts of the router.
pub fn subscribe_to_versions(node: &sync::Arc<node::RouterNode>) {
    let weak_node = sync::Arc::downgrade(node);
    node.config.subscribe(move |version| {
        if let Some(node) = weak_node.upgrade() {
            activate(&node, version);
        }
    });
}

fn activate(node: &sync::Arc<node::RouterNode>, version: &route::ActiveVersion) {
    let number = version.number();
    if let Ok(set) = check::parse("version", version.yaml()) {
        node.endpoints.replace(&set.services);
    }
    node.gossip.set_config(number);
    // Engines get requests only after they have reported their loaded models.
    task::spawn(node.watcher.clone().read_reports_now());
    node.update_shares();
    node.readiness.set_version();
    node.ring
        .record(None, timeline::EventKind::VersionInForce { number });
    log::info!("version {number} is in force");
}

/// Pulls newer versions from peers until `token` is cancelled.
pub async fn pull_newer_versions(node: sync::Arc<node::RouterNode>, token: stop_token::StopToken) {
    loop {
        // The timeout bounds the delay if the notification came before this wait.
        let notification = future::timeout(CHECK_INTERVAL, node.gossip.wait_for_newer_config());
        if notification.timeout_at(token.clone()).await.is_err() {
            return;
        }
        let Some(member) = node.gossip.newest_config_peer(node.config.number()) else {
            continue;
        };
        let number = node.config.update_base_number();
        let query = peer_wire::QueryBody::NewerVersion { number };
        let link = sync::Arc::clone(&node.intake.link);
        let reply = link.ask(&member.peer_address, query, QUERY_TIMEOUT).await;
        if let Ok(peer_wire::ReplyBody::NewerVersion(Some(version))) = reply {
            config::offer_update_off_thread(&node.config, version).await;
        }
    }
}

/// Announces to the other routers that this one is ready, once it can serve requests.
pub async fn announce_ready(node: sync::Arc<node::RouterNode>, token: stop_token::StopToken) {
    while !node.readiness.may_serve() {
        if task::sleep(CHECK_INTERVAL)
            .timeout_at(token.clone())
            .await
            .is_err()
        {
            return;
        }
    }
    node.gossip.set_ready();
    node.ring.record(None, timeline::EventKind::Ready);
    log::info!("ready");
}

/// Recomputes the shares of the workspace limits until `token` is cancelled.
pub async fn refresh_shares(node: sync::Arc<node::RouterNode>, token: stop_token::StopToken) {
    while task::sleep(share::SHARE_PERIOD)
        .timeout_at(token.clone())
        .await
        .is_ok()
    {
        node.update_shares();
        node.update_gauges();
    }
}
