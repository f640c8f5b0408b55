//! Streams that a stopping gateway may take only if they end before it exits.

use std::time;

use crate::common;
use crate::planned_stops::{LONG_GRACE, millis};
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Streams sent after the SIGTERM, at even times over seven eighths of the grace period.
const LONG_STREAMS: u32 = 28;

/// Streams that end before the SIGTERM.
const SHORT_STREAMS: u32 = 20;

/// Guards against streams that a gateway takes shortly before its exit and cuts, as it has relayed
/// no whole stream yet and so has no estimate of their duration.
fn streams_at_a_gateway_without_an_estimate(grace: time::Duration) {
    let mut stop = planned_stop::PlannedStop::start(grace);
    send_long_streams(&mut stop);
    stop.finish().check();
}

/// Guards against long streams that are cut because the streams before them were short, or were
/// resumed after the event `last_event` of 51.
fn long_streams_after_short_ones(grace: time::Duration, last_event: Option<u64>) {
    let mut stop = planned_stop::PlannedStop::start(grace);
    let timing = timed_work::WorkTiming {
        streamed: if last_event.is_some() {
            millis(5_000)
        } else {
            time::Duration::ZERO
        },
        ..Default::default()
    };
    for number in 0..SHORT_STREAMS {
        let mut request =
            stop_caller::TimedRequest::new(format!("short{number}"), "/stream/1", timing);
        request.last_event = last_event;
        stop.send_now(&request);
    }
    stop.stops_at = time::Instant::now() + planned_stop::LEAD_TIME;
    send_long_streams(&mut stop);
    stop.finish().check();
}

fn send_long_streams(stop: &mut planned_stop::PlannedStop) {
    for number in 0..LONG_STREAMS {
        let grace = stop.system.grace;
        let after = grace.mul_f64((f64::from(number) + 0.5) / 32.0);
        let at = stop.stops_at + after;
        let timing = timed_work::WorkTiming {
            streamed: millis(4_500 + 500 * u64::from(number % 4)),
            ..Default::default()
        };
        let request = stop_caller::TimedRequest::new(format!("s{number}"), "/stream/1", timing);
        stop.send_on_kept(at, request);
    }
}

common::cases! {
    no_estimate_long_grace: streams_at_a_gateway_without_an_estimate(LONG_GRACE);
    no_estimate_short_grace: streams_at_a_gateway_without_an_estimate(router::USUAL_GRACE);
    short_streams_before: long_streams_after_short_ones(LONG_GRACE, None);
    short_streams_before_short_grace: long_streams_after_short_ones(router::USUAL_GRACE, None);
    resumed_streams_before: long_streams_after_short_ones(LONG_GRACE, Some(50));
}
