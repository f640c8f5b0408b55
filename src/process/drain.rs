//! Graceful shutdown that does not interrupt requests.

use std::sync;
use std::time;

use async_std::task;

use crate::process::node;
use crate::process::telemetry::timeline;
use crate::request::source;

/// Interval between checks for running requests.
const DRAIN_STEP: time::Duration = time::Duration::from_millis(50);

/// Timeout for callers to receive the message that their generation has moved.
const MOVE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Time for the final gossip state to reach other routers.
const FAREWELL_TIME: time::Duration = time::Duration::from_millis(500);

/// Withdraws from address answers, waits until cached answers have expired, and then until no
/// request is running.
///
/// `accepting` is dropped once cached answers have expired, which stops accepting connections.
pub async fn drain(node: sync::Arc<node::RouterNode>, accepting: stop_token::StopSource) {
    log::info!("draining");
    node.ring.record(None, timeline::EventKind::Draining);
    node.readiness.set_draining();
    node.gossip.set_draining();
    let started = time::Instant::now();
    let keep = time::Duration::from_millis(node.settings.address_keep_ms);
    task::sleep(keep).await;
    drop(accepting);
    let limit = time::Duration::from_millis(node.settings.drain_timeout_ms);
    while node.registry.readers() > 0 && started.elapsed() < limit {
        task::sleep(DRAIN_STEP).await;
    }
    node.readiness.close();
    move_generations(&node).await;
    while node.calls_running.running() > 0 || node.calls.running() > 0 {
        task::sleep(DRAIN_STEP).await;
    }
    node.gossip.set_left();
    task::sleep(FAREWELL_TIME).await;
    log::info!("drained");
}

/// Tells callers that still read a generation to resume at another router; engines continue
/// generating.
async fn move_generations(node: &node::RouterNode) {
    for record in node.registry.running() {
        // Sending fails only when the driver has ended, and then the message is not needed.
        let _ended = record.sender().send(source::DriverMessage::Move).await;
    }
    let started = time::Instant::now();
    while node.registry.readers() > 0 && started.elapsed() < MOVE_LIMIT {
        task::sleep(DRAIN_STEP).await;
    }
}
