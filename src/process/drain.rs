//! Graceful shutdown that does not interrupt requests.

use std::sync;
use std::time;

use async_std::task;

use crate::process::node;
use crate::process::telemetry::timeline;
use crate::request::source;

/// Interval between checks for running requests.
const DRAIN_STEP: time::Duration = time::Duration::from_millis(50);

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
    finish_requests(&node).await;
    node.gossip.set_left();
    task::sleep(FAREWELL_TIME).await;
    // Requests that arrived meanwhile on kept connections are being refused.
    finish_requests(&node).await;
    log::info!("drained");
}

/// Waits until no request is in flight and no call is running.
async fn finish_requests(node: &node::RouterNode) {
    loop {
        // A request that was accepted before the router closed may only now start its generation.
        move_generations(node);
        if node.requests.in_flight() == 0 && node.calls.running() == 0 {
            return;
        }
        task::sleep(DRAIN_STEP).await;
    }
}

/// Tells callers that still read a generation to resume at another router; engines continue
/// generating.
fn move_generations(node: &node::RouterNode) {
    for record in node.registry.running() {
        // A driver that has ended needs no message; one whose queue is full gets it in a later step.
        let _sent = record.sender().try_send(source::DriverMessage::Move);
    }
}
