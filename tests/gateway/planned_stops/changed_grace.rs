//! Requests in flight at a gateway whose grace period was shortened while it ran.

use std::fs;
use std::time;

use rustix::process as unix;

use crate::planned_stops::{LONG_GRACE, millis};
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Requests of the case.
const REQUESTS: u32 = 8;

/// Time in an endpoint's queue, longer than any grace period.
const LONG_QUEUE: time::Duration = time::Duration::from_secs(15);

/// Guards against requests that are closed without an answer, as the gateway plans its stop with
/// the grace period that it was started with.
#[test]
fn requests_are_answered_within_a_grace_period_that_was_shortened_by_sighup() {
    let mut stop = planned_stop::PlannedStop::start(LONG_GRACE);
    shorten_grace(&mut stop);
    let timing = timed_work::WorkTiming {
        queued: LONG_QUEUE,
        streamed: millis(500),
        ..Default::default()
    };
    for number in 0..REQUESTS {
        let request = stop_caller::TimedRequest::new(format!("q{number}"), "/stream/1", timing);
        stop.send_on_kept(time::Instant::now(), request);
    }
    stop.stops_at = time::Instant::now() + planned_stop::LEAD_TIME;
    let report = stop.finish();
    report.check();
    report.check_answered();
}

fn shorten_grace(stop: &mut planned_stop::PlannedStop) {
    let file = stop.system.folder.path().join("g1.yaml");
    let grace = |grace: time::Duration| format!("grace_s: {}", grace.as_secs_f64());
    let (old, new) = (grace(LONG_GRACE), grace(router::USUAL_GRACE));
    let settings = fs::read_to_string(&file).expect("settings");
    assert!(settings.contains(&old), "{settings}");
    fs::write(&file, settings.replace(&old, &new)).expect("a file");
    router::signal(&stop.system.gateways[0], unix::Signal::HUP);
    stop.system.wait_for("the settings are read again", || {
        stop.system.logs().contains("settings reloaded")
    });
    stop.system.grace = router::USUAL_GRACE;
}
