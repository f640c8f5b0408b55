//! Requests that arrive late in the grace period of a gateway, in calm.

use std::time;

use crate::common;
use crate::planned_stops::{LONG_GRACE, millis};
use crate::support::system::System;
use crate::support::{planned_stop, router, stop_caller, timed_work};

/// Time between requests.
const STEP: time::Duration = time::Duration::from_millis(100);

/// Time of the work on the requests of one step.
const WORK_MS: [u64; 5] = [10, 300, 1_200, 2_600, 6_500];

/// Time after the SIGTERM up to which the end of the process may cut a request.
const LATEST_EXCUSED_SEND: time::Duration = time::Duration::from_secs(3);

/// Timeout of calls in the usual configuration.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Timeout of calls that may take longer than any grace period.
const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Grace period that ends before the deadline of any call.
const SHORT_GRACE: time::Duration = time::Duration::from_secs(2);

/// Guards against requests that are taken late in the grace period, passed on, and closed without
/// an answer at its end. Calls have `deadline`, or else the timeout of their route.
fn requests_from(part: f64, grace: time::Duration, deadline: Option<time::Duration>) {
    let mut stop = planned_stop::PlannedStop::start(grace);
    if deadline.is_some() {
        allow_long_calls(&stop.system);
    }
    let paths = ["/once/1", "/safe/1", "/stream/1"];
    let mut requests = Vec::new();
    let mut after = grace.mul_f64(part);
    while after <= grace {
        for path in paths {
            let time_limit = deadline.unwrap_or(CALL_TIMEOUT);
            let works = WORK_MS.map(millis).into_iter();
            let works = works.filter(|work| path == "/stream/1" || *work < time_limit);
            requests.extend(works.map(|work| (after, path, work)));
        }
        after += STEP;
    }
    let mut connections = Vec::new();
    for number in 0..requests.len() {
        // Every second request is sent on a new connection.
        connections.push((number % 2 == 0).then(|| stop.kept_connection(&format!("l{number}"))));
    }
    stop.stops_at = time::Instant::now() + planned_stop::LEAD_TIME;
    stop.keep_running();
    let (gateway, stops_at) = (stop.system.ip(), stop.stops_at);
    for (number, ((after, path, work), kept)) in requests.into_iter().zip(connections).enumerate() {
        let timing = timed_work::WorkTiming {
            silent: work,
            ..Default::default()
        };
        let mut request = stop_caller::TimedRequest::new(format!("l{number}"), path, timing);
        request.deadline = deadline.filter(|_deadline| !request.is_stream());
        stop.send_later(stops_at + after, move || {
            let connection = kept.or_else(|| stop_caller::connect(gateway));
            let call = |mut connection| stop_caller::call(&mut connection, gateway, &request);
            connection.map(call).into_iter().collect()
        });
    }
    let report = stop.finish();
    report.check();
    report.check_answered();
    check_unsafe_calls(&report);
}

/// Checks that each unsafe call that was sent late and passed on got the answer of its endpoint.
fn check_unsafe_calls(report: &planned_stop::StopReport) {
    let calls = || report.results.iter().filter(|call| call.path == "/once/1");
    let count = |status| {
        calls()
            .filter(|call| call.view.status == Some(status))
            .count()
    };
    println!(
        "unsafe calls: {} with 502, {} with 503",
        count(502),
        count(503)
    );
    let late_from = report.signals[0].at + LATEST_EXCUSED_SEND;
    let late = calls().filter(|call| call.view.sent > late_from);
    let late: Vec<&stop_caller::CallResult> = late.collect();
    let is_passed_on =
        |call: &&&stop_caller::CallResult| report.runs.iter().any(|run| run.id == call.view.id);
    let passed_on: Vec<&&stop_caller::CallResult> = late.iter().filter(is_passed_on).collect();
    println!(
        "{} late unsafe calls, {} passed on",
        late.len(),
        passed_on.len()
    );
    let unserved = passed_on.iter().filter(|call| !call.is_served);
    let unserved: Vec<_> = unserved
        .map(|call| (&call.view.id, call.view.status))
        .collect();
    assert!(unserved.is_empty(), "{unserved:?}");
}

/// Raises the timeouts of calls to [`LONG_TIMEOUT`].
fn allow_long_calls(system: &System) {
    let timeout = |timeout: time::Duration| format!(r#""timeout_ms":{},"#, timeout.as_millis());
    let config = System::config(3, r#""k""#);
    let config = config.replace(r#""timeout_ms":3000,"#, &timeout(LONG_TIMEOUT));
    let config = config.replace(r#""idle_timeout_ms":5000"#, r#""idle_timeout_ms":60000"#);
    system.store.put("op", "config", config.as_bytes());
    system.wait_for("calls may take long", || {
        let logs = system.logs();
        let mut lines = logs.lines();
        lines.any(|line| line.contains("version in force") && line.contains(r#""version":3"#))
    });
}

common::cases! {
    last_fifth: requests_from(0.8, LONG_GRACE, None);
    last_fifth_short_grace: requests_from(0.8, router::USUAL_GRACE, None);
    half_of_a_grace_shorter_than_deadlines: requests_from(0.5, SHORT_GRACE, None);
    whole_grace_with_long_deadlines: requests_from(0.0, LONG_GRACE, Some(LONG_TIMEOUT));
    last_two_thirds_with_long_deadlines: requests_from(0.35, LONG_GRACE, Some(LONG_TIMEOUT));
    last_two_thirds_with_long_deadlines_short_grace:
        requests_from(0.35, router::USUAL_GRACE, Some(LONG_TIMEOUT));
    last_two_thirds: requests_from(0.35, LONG_GRACE, None);
}
