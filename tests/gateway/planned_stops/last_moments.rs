//! Requests that arrive while a gateway exits.

use std::net;
use std::time;

use crate::common;
use crate::planned_stops::millis;
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Kept connections with one request each.
const KEPT_CONNECTIONS: u32 = 120;

/// Callers that open a connection for each request.
const NEW_CALLERS: u32 = 4;

/// Time before the end of the grace period in which requests are sent.
const LAST_TIME: time::Duration = time::Duration::from_secs(1);

/// Work of each request.
const WORK: timed_work::WorkTiming = timed_work::WorkTiming {
    queued: time::Duration::ZERO,
    silent: time::Duration::from_millis(50),
    streamed: time::Duration::ZERO,
    padding: 0,
};

fn path(number: u32) -> &'static str {
    ["/once/1", "/safe/1", "/stream/1"][number as usize % 3]
}

/// Guards against requests that are read and then closed without an answer as the process exits.
/// A paused process excuses them by the rule, but not a wrong answer or a false refusal.
fn requests_at_the_exit(pause: Option<planned_stop::ProcessPause>) {
    let mut stop = planned_stop::PlannedStop::start(router::USUAL_GRACE);
    stop.pause = pause;
    stop.keep_running();
    let from = stop.stops_at + router::USUAL_GRACE.saturating_sub(LAST_TIME);
    for number in 0..KEPT_CONNECTIONS {
        let request = stop_caller::TimedRequest::new(format!("k{number}"), path(number), WORK);
        let at = from + LAST_TIME * number / KEPT_CONNECTIONS;
        stop.send_on_kept(at, request);
    }
    let gateway = stop.system.ip();
    for number in 0..NEW_CALLERS {
        stop.send_later(from, move || {
            send_on_new(gateway, &format!("n{number}"), from + LAST_TIME)
        });
    }
    stop.finish().check();
}

/// Sends requests until `until`, each on a connection of its own.
fn send_on_new(
    gateway: net::IpAddr,
    name: &str,
    until: time::Instant,
) -> Vec<stop_caller::CallResult> {
    let mut results = Vec::new();
    for number in 0.. {
        if until <= time::Instant::now() {
            break;
        }
        let id = format!("{name}-{number}");
        let request = stop_caller::TimedRequest::new(id, path(number), WORK);
        let Some(mut connection) = stop_caller::connect(gateway) else {
            planned_stop::sleep_until(time::Instant::now() + millis(5));
            continue;
        };
        results.push(stop_caller::call(&mut connection, gateway, &request));
    }
    results
}

const PAUSE_AT_THE_EXIT: planned_stop::ProcessPause = planned_stop::ProcessPause {
    from: millis(3_700),
    until: millis(3_950),
};

common::cases! {
    running_process: requests_at_the_exit(None);
    paused_process: requests_at_the_exit(Some(PAUSE_AT_THE_EXIT));
}
