//! Requests in flight at a gateway whose grace period is not much longer than its fixed waits.

use std::time;

use crate::common;
use crate::planned_stops::millis;
use crate::support::{planned_stop, stop_caller, timed_work};

/// Requests of one case.
const REQUESTS: u32 = 8;

/// Time in an endpoint's queue, longer than the grace period.
const LONG_QUEUE: time::Duration = time::Duration::from_secs(6);

/// Guards against requests that are closed without an answer, as the gateway waits for gossip to
/// spread until it is killed.
fn queued_streams(grace: time::Duration) {
    let mut stop = planned_stop::PlannedStop::start(grace);
    let timing = timed_work::WorkTiming {
        queued: LONG_QUEUE,
        streamed: millis(500),
        ..Default::default()
    };
    for number in 0..REQUESTS {
        let request = stop_caller::TimedRequest::new(format!("q{number}"), "/stream/1", timing);
        let before = planned_stop::LEAD_TIME.mul_f64(f64::from(number + 1) / 16.0);
        stop.send_on_kept(stop.stops_at.checked_sub(before).expect("a time"), request);
    }
    let report = stop.finish();
    report.check();
    report.check_answered();
}

common::cases! {
    grace_of_one_second: queued_streams(millis(1_000));
    grace_just_above_the_waits: queued_streams(millis(1_700));
    grace_of_two_seconds: queued_streams(millis(2_000));
}
