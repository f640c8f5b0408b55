//! Gateways act on the notices in endpoints' answers, whatever the store says of these endpoints.

use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Requests of each batch; large enough that an endpoint open to requests would get some of them.
const BATCH_SIZE: usize = 12;

/// Sends a batch of requests to `path`, one after the other, with ids that begin with `name`.
fn send_batch(system: &System, path: &str, name: &str) -> Vec<caller::Answer> {
    let ids = (0..BATCH_SIZE).map(|number| format!("{name}{number}"));
    let answers = ids.map(|id| System::send(system.ip(), path, &id));
    answers.map(|answer| answer.expect("an answer")).collect()
}

/// Number of requests with ids that begin with `name` that reached the endpoint.
fn count_seen(endpoint: &fakes::FakeEndpoint, name: &str) -> usize {
    let ids = endpoint.received().into_iter();
    let ids = ids.filter_map(|seen| seen.field("Kumquatpulley-Request-Id"));
    ids.filter(|id| id.starts_with(name)).count()
}

/// The store still lists the endpoint as ready.
fn an_endpoint_that_announces_shutdown_gets_no_new_requests(path: &str) {
    let system = System::start(1);
    system.first.set_mode(fakes::EndpointMode::Draining);
    system.second.set_mode(fakes::EndpointMode::Full);
    let noticed = System::send(system.ip(), path, "heard").expect("an answer");
    assert_eq!(noticed.head.status, 200, "{}", system.logs());
    system.second.set_mode(fakes::EndpointMode::Healthy);
    let answers = send_batch(&system, path, "later");
    assert!(answers.iter().all(|answer| answer.is_complete));
    assert_eq!(count_seen(&system.first, "later"), 0, "{}", system.logs());
    // The notice does not hold for a new incarnation.
    let entry = system.first.entry("m", "z1", "ready");
    let entry = String::from_utf8(entry).expect("text");
    let entry = entry.replace(r#""born":1"#, r#""born":2"#);
    system.first.set_mode(fakes::EndpointMode::Healthy);
    system.first.restart();
    system.store.put("servers", "e1", entry.as_bytes());
    system.wait_for("the new incarnation gets requests", || {
        System::send(system.ip(), path, "new").expect("an answer");
        count_seen(&system.first, "new") > 0
    });
}

/// With all endpoints shutting down, a request is refused at once and reaches none of them.
fn no_request_is_sent_when_all_endpoints_shut_down() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::Draining);
    system.wait_for("both endpoints have announced shutdown", || {
        let answer = System::send(system.ip(), "/once/1", "heard").expect("an answer");
        answer.head.status == 503
    });
    let began = time::Instant::now();
    let answer = System::send(system.ip(), "/once/1", "late").expect("an answer");
    assert_eq!(answer.head.status, 503);
    assert!(answer.head.headers.get("Retry-After").is_some());
    assert!(began.elapsed() < time::Duration::from_millis(500));
    assert!(system.arrivals("late").is_empty());
}

/// All endpoints ask for a pause of two seconds. Callers are refused at once with a retry delay,
/// and no request reaches an endpoint before its pause is over.
fn pausing_endpoints_get_no_requests_and_callers_get_a_retry_delay(path: &str) {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::RetryAfter);
    let first = System::send(system.ip(), path, "first").expect("an answer");
    let paused = time::Instant::now();
    assert_eq!(first.head.status, 503);
    assert_eq!(system.arrivals("first").len(), 2, "{}", system.logs());
    let answers = send_batch(&system, path, "soon");
    // The rest is only meaningful if the whole batch was sent within the pause.
    assert!(paused.elapsed() < fakes::RETRY_AFTER, "{}", system.logs());
    for answer in answers {
        assert_eq!(answer.head.status, 503);
        let delay = answer.head.headers.get("Retry-After").expect("a delay");
        let delay: f64 = delay.parse().expect("seconds");
        assert!(
            delay > 0.0 && delay <= 1.25 * fakes::RETRY_AFTER.as_secs_f64(),
            "{delay}"
        );
    }
    assert_eq!(
        count_seen(&system.first, "soon") + count_seen(&system.second, "soon"),
        0
    );
    thread::sleep(fakes::RETRY_AFTER.saturating_sub(paused.elapsed()));
    system.set_modes(fakes::EndpointMode::Healthy);
    let back = System::send(system.ip(), path, "back").expect("an answer");
    assert_eq!(back.head.status, 200, "{}", system.logs());
}

common::cases! {
    leaving_call: an_endpoint_that_announces_shutdown_gets_no_new_requests("/once/1");
    leaving_stream: an_endpoint_that_announces_shutdown_gets_no_new_requests("/stream/1");
    all_leaving: no_request_is_sent_when_all_endpoints_shut_down();
    pausing_call: pausing_endpoints_get_no_requests_and_callers_get_a_retry_delay("/once/1");
    pausing_stream: pausing_endpoints_get_no_requests_and_callers_get_a_retry_delay("/stream/1");
}
