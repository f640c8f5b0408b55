//! Requests that still wait for the head of their answer when the grace period ends.

use std::time;

use crate::common;
use crate::planned_stops::{LONG_GRACE, millis};
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Requests of one case.
const REQUESTS: u32 = 16;

/// Time in an endpoint's queue, longer than any grace period.
const LONG_QUEUE: time::Duration = time::Duration::from_secs(15);

/// Work of a call, in which its answer is not ready before the gateway exits.
const LONG_WORK: time::Duration = time::Duration::from_millis(2_500);

/// Guards against streams that end without an answer although none of their events was relayed:
/// the engine's silence is no reason to close the connection.
fn streams_in_a_queue(grace: time::Duration) {
    let mut stop = planned_stop::PlannedStop::start(grace);
    let timing = timed_work::WorkTiming {
        queued: LONG_QUEUE,
        streamed: millis(500),
        ..Default::default()
    };
    // The first streams are sent before the signal.
    let began = time::Instant::now() + planned_stop::LEAD_TIME / 2;
    for number in 0..REQUESTS {
        let after = grace.mul_f64(f64::from(number) / f64::from(REQUESTS));
        let at = began + after;
        let request = stop_caller::TimedRequest::new(format!("q{number}"), "/stream/1", timing);
        stop.send_on_kept(at, request);
    }
    let report = stop.finish();
    report.check();
    report.check_answered();
}

/// Guards against calls that are closed without an answer, as their endpoint needs longer than the
/// gateway has left.
fn calls_longer_than_the_time_left(grace: time::Duration) {
    let mut stop = planned_stop::PlannedStop::start(grace);
    stop.keep_running();
    let timing = timed_work::WorkTiming {
        silent: LONG_WORK,
        ..Default::default()
    };
    for number in 0..REQUESTS {
        let before_end = LONG_WORK.mul_f64(f64::from(number + 1) / f64::from(REQUESTS));
        let path = ["/once/1", "/safe/1"][number as usize % 2];
        let request = stop_caller::TimedRequest::new(format!("c{number}"), path, timing);
        stop.send_on_kept(stop.stops_at + grace.saturating_sub(before_end), request);
    }
    let report = stop.finish();
    report.check();
    report.check_answered();
}

common::cases! {
    queued_streams: streams_in_a_queue(router::USUAL_GRACE);
    long_calls: calls_longer_than_the_time_left(router::USUAL_GRACE);
    long_calls_long_grace: calls_longer_than_the_time_left(LONG_GRACE);
}
