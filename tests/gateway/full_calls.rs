//! Calls that all endpoints refuse as full, at a real gateway.

use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

const CONFIG: &str = r#"{"version":1,"routes":[
    {"name":"once","host":"h","prefix":"/once/","kind":"unsafe","timeout_ms":3000,"goal_ms":2000,
     "service":"m","attempts":1},
    {"name":"tight","host":"h","prefix":"/tight/","kind":"unsafe","timeout_ms":3000,"goal_ms":5,
     "service":"m","attempts":1}],
    "services":[{"name":"m"}],
    "limits":{"max_header_bytes":4096,"max_body_bytes":10000,"header_timeout_ms":1000,"idle_timeout_ms":5000},
    "tenants":[{"name":"w","api_keys":["k"]}]}"#;

/// Longest time for a refusal that is not held: all waits are over before.
const PROMPT_REFUSAL: time::Duration = time::Duration::from_secs(1);

fn retry_after(answer: &caller::Answer) -> f64 {
    let value = answer.head.headers.get("Retry-After").expect("a delay");
    value.parse().expect("seconds")
}

/// A call with time left to its goal waits for a place; without the wait it is refused although an
/// endpoint has a place some milliseconds later.
fn a_full_endpoint_that_recovers_gets_the_call() {
    let system = System::start_configured(1, CONFIG);
    let first = System::send(system.ip(), "/once/1", "r0").expect("an answer");
    assert_eq!(first.head.status, 200);
    system.set_modes(fakes::EndpointMode::Full);
    let ip = system.ip();
    let held = thread::spawn(move || System::send(ip, "/once/1", "r1"));
    system.wait_for("both endpoints have refused the call", || {
        system.arrivals("r1").len() >= 2
    });
    system.set_modes(fakes::EndpointMode::Healthy);
    let answer = held.join().expect("no panic").expect("an answer");
    assert_eq!(answer.head.status, 200, "{}", system.logs());
    let started = system.arrivals("r1").into_iter();
    assert_eq!(started.filter(|seen| seen.is_started).count(), 1);
}

/// A call that is refused by full endpoints for good is not held until its deadline, has not run,
/// and is told a delay of at most a third of its time.
fn a_call_at_full_endpoints_is_refused_soon(path: &'static str) {
    let system = System::start_configured(1, CONFIG);
    System::send(system.ip(), path, "r0").expect("an answer");
    system.set_modes(fakes::EndpointMode::Full);
    let began = time::Instant::now();
    let answer = System::send(system.ip(), path, "r1").expect("an answer");
    assert!(began.elapsed() < PROMPT_REFUSAL, "{}", system.logs());
    assert_eq!(answer.head.status, 503);
    let delay = retry_after(&answer);
    assert!(delay > 0.0 && delay <= 1.0, "{delay}");
    let seen = system.arrivals("r1");
    assert!(seen.iter().all(|seen| !seen.is_started));
}

/// A call that ran at an endpoint is never refused as not run, whatever other endpoints say.
fn a_call_that_may_have_run_is_not_refused_as_full() {
    let system = System::start_configured(1, CONFIG);
    System::send(system.ip(), "/once/1", "r0").expect("an answer");
    system.first.set_mode(fakes::EndpointMode::Full);
    system.second.set_mode(fakes::EndpointMode::DropsAnswer);
    for number in 1..6 {
        let id = format!("r{number}");
        let answer = System::send(system.ip(), "/once/1", &id).expect("an answer");
        let has_run = system.arrivals(&id).iter().any(|seen| seen.is_started);
        // Callers read these statuses as "did not run".
        let is_not_run = matches!(answer.head.status, 408 | 421 | 429 | 503);
        assert!(!(has_run && is_not_run), "{id}: {}", system.logs());
    }
}

common::cases! {
    full_then_free: a_full_endpoint_that_recovers_gets_the_call();
    full_for_good: a_call_at_full_endpoints_is_refused_soon("/once/1");
    full_past_the_goal: a_call_at_full_endpoints_is_refused_soon("/tight/1");
    full_and_lost: a_call_that_may_have_run_is_not_refused_as_full();
}
