//! Planned stop: leaves the address answers, lets requests end, and aborts the rest.

use std::sync::atomic;
use std::time;

use async_std::task;

use crate::process::gateway::{node, request_check, stop_schedule};
use crate::process::telemetry::timeline;
use crate::request::relay::context;
use crate::request::verdict;

/// Interval between checks of requests in flight.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Shortest time from the signal to the end of the drain, so that callers that looked up addresses
/// just before the signal still reach the router.
const MIN_DRAIN_TIME: time::Duration = time::Duration::from_secs(3);

/// Time for the last gossip of this router to reach other routers.
const GOSSIP_FLUSH_TIME: time::Duration = time::Duration::from_millis(200);

/// Shortest time for requests to answer their callers once they are aborted.
const ABORT_ANSWER_TIME: time::Duration = time::Duration::from_millis(200);

/// Cancels the work on callers' requests in steps, when dropped.
#[derive(Debug, Default)]
pub(super) struct RequestSources {
    /// Ends the listener and connections without a request in flight.
    pub(super) closing: stop_token::StopSource,
    /// Ends requests in flight; those whose answer has not begun are refused.
    pub(super) aborting: stop_token::StopSource,
}

/// Drains: has this router removed from address answers, then waits until no request is in flight
/// or the grace period, which began at `signalled_at`, is nearly over.
pub(super) async fn stop(
    node: &node::GatewayNode,
    signalled_at: time::Instant,
    requests: RequestSources,
) {
    let grace = *node.stop_grace.lock();
    let schedule = stop_schedule::StopSchedule::new(signalled_at, grace);
    *node.stop_schedule.lock() = Some(schedule);
    node.is_draining.store(true, atomic::Ordering::SeqCst);
    node.gossip.set_draining();
    node.ring.record(None, timeline::EventKind::Draining);
    log::info!(in_flight = in_flight(node); "draining");
    let min_drain_end = schedule.closes_at().min(signalled_at + MIN_DRAIN_TIME);
    wait_until(min_drain_end, || false).await;
    wait_until(schedule.closes_at(), || in_flight(node) == 0).await;
    log::info!(in_flight = in_flight(node); "leaving");
    // New requests are refused from now on, so that none is relayed and then aborted.
    node.is_closing.store(true, atomic::Ordering::SeqCst);
    node.gossip.set_left();
    wait_for(GOSSIP_FLUSH_TIME, &schedule).await;
    drop(requests.closing);
    // A connection that has just read the first bytes of a request counts it within this time.
    wait_for(POLL_INTERVAL, &schedule).await;
    wait_until(schedule.aborts_at(), || in_flight(node) == 0).await;
    drop(requests.aborting);
    // A stop that is late still leaves time for the answers.
    let exit = schedule
        .exits_at()
        .max(time::Instant::now() + ABORT_ANSWER_TIME);
    wait_until(exit, || in_flight(node) == 0).await;
}

impl node::GatewayNode {
    /// Refuses requests that the end of this process would probably abort, so that they start on
    /// another router.
    pub(super) fn refuse_if_stopping(
        &self,
        request: &context::RelayRequest,
    ) -> Option<verdict::RequestRefusal> {
        let schedule = (*self.stop_schedule.lock())?;
        let arrival = stop_schedule::RequestArrival {
            at: request.arrived,
            deadline: request.deadline,
            is_stream: request.route.kind.is_stream(),
        };
        let estimate = *self.stream_duration.lock();
        let is_closing = self.is_closing.load(atomic::Ordering::SeqCst);
        let is_admitted = !is_closing && schedule.admits(arrival, &estimate);
        let time_left =
            |at: time::Instant| node::whole_millis(at.saturating_duration_since(arrival.at));
        log::info!(
            request = request.metadata.id.as_str(),
            is_stream = arrival.is_stream,
            is_admitted,
            close_ms = time_left(schedule.closes_at()),
            abort_ms = time_left(schedule.aborts_at()),
            deadline_ms = time_left(arrival.deadline),
            stream_ms:? = estimate.upper_bound().map(node::whole_millis);
            "request arrived while stopping"
        );
        (!is_admitted).then(refuse_stopping)
    }
}

/// Refusal for a request that another router can take.
pub(super) fn refuse_stopping() -> verdict::RequestRefusal {
    let message = "this router will stop before the request can finish; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NotReady, message)
        .retry_after(request_check::STALE_RETRY_DELAY)
}

fn in_flight(node: &node::GatewayNode) -> u64 {
    node.in_flight.load(atomic::Ordering::SeqCst)
}

/// Waits for `time`, but not beyond the abort of requests.
async fn wait_for(time: time::Duration, schedule: &stop_schedule::StopSchedule) {
    let end = time::Instant::now() + time;
    wait_until(end.min(schedule.aborts_at()), || false).await;
}

/// Waits until `end`, or until `is_over` holds.
async fn wait_until(end: time::Instant, is_over: impl Fn() -> bool) {
    while !is_over() {
        let left = end.saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return;
        }
        task::sleep(left.min(POLL_INTERVAL)).await;
    }
}
