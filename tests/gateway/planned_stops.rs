//! Requests around the SIGTERM of real gateway processes, judged by the rule LOST.

use std::time;

use crate::common;
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Grace period of the users' sites.
const LONG_GRACE: time::Duration = time::Duration::from_secs(8);

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn stream(id: String, streamed: time::Duration) -> stop_caller::TimedRequest {
    stop_caller::TimedRequest {
        id,
        path: "/stream/1",
        timing: timed_work::WorkTiming {
            streamed,
            ..Default::default()
        },
        last_event: None,
    }
}

/// Guards against streams that a gateway takes shortly before its exit and cuts, as it has relayed
/// no whole stream yet and so has no estimate of their duration.
fn streams_are_not_cut_by_a_gateway_without_an_estimate(grace: time::Duration) {
    let mut stop = planned_stop::PlannedStop::start(grace, millis(500));
    for number in 0..28_u32 {
        let after = grace.mul_f64((f64::from(number) + 0.5) / 32.0);
        let streamed = millis(4_500 + 500 * u64::from(number % 4));
        stop.send_on_kept(after, stream(format!("s{number}"), streamed));
    }
    stop.finish().check();
}

common::cases! {
    no_estimate_long_grace: streams_are_not_cut_by_a_gateway_without_an_estimate(LONG_GRACE);
    no_estimate_short_grace:
        streams_are_not_cut_by_a_gateway_without_an_estimate(router::USUAL_GRACE);
}
