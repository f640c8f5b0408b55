//! Faulty endpoints that send endless or oversized responses: the gateway's memory and response
//! time stay bounded, and callers get a correct response.

use std::fs;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Memory of the VM according to the gateway's settings.
const MEMORY_KB: u64 = 96 * 1024;

/// Concurrent callers.
const CALLERS: usize = 12;

/// Maximum response time: a head that trickles in is given up after three seconds, and the route's
/// timeout follows.
const MAX_RESPONSE_TIME: time::Duration = time::Duration::from_millis(3_500);

/// A figure in KB from a file that the kernel keeps for the first gateway.
fn memory(system: &System, file: &str, field: &str) -> u64 {
    let pid = system.gateways[0].child.id();
    let text = fs::read_to_string(format!("/proc/{pid}/{file}")).expect("it runs");
    let line = text.lines().find(|line| line.starts_with(field));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse().ok())
        .expect("a number of KB")
}

/// Peak resident memory of the first gateway in KB.
fn peak_memory(system: &System) -> u64 {
    memory(system, "status", "VmHWM:")
}

/// Each thread allocates from pages of its own, so huge pages take several times what is in use.
fn a_gateway_uses_no_huge_pages() {
    let system = System::start(1);
    System::send(system.ip(), "/safe/1", "r1").expect("an answer");
    assert_eq!(memory(&system, "smaps_rollup", "AnonHugePages:"), 0);
}

/// Sends one request per caller at the same time; returns the responses and the total time.
fn send_calls(
    system: &System,
    path: &'static str,
) -> (Vec<Option<caller::Answer>>, time::Duration) {
    let ip = system.ip();
    let began = time::Instant::now();
    let calls = (0..CALLERS)
        .map(|number| thread::spawn(move || System::send(ip, path, &format!("r{number}"))));
    let calls: Vec<_> = calls.collect();
    let answers = calls.into_iter().map(|call| call.join().expect("no panic"));
    (answers.collect(), began.elapsed())
}

/// An idempotent call gets its response from the healthy endpoint, whatever the other one sends.
fn the_healthy_endpoint_responds(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.first.set_mode(mode);
    let (answers, elapsed) = send_calls(&system, "/safe/1");
    for answer in answers {
        assert_eq!(
            answer.expect("an answer").head.status,
            200,
            "{}",
            system.logs()
        );
    }
    assert!(elapsed < MAX_RESPONSE_TIME, "{elapsed:?}");
    let peak = peak_memory(&system);
    assert!(peak < MEMORY_KB, "{peak} KB");
}

/// A call that must not run twice is not retried, and its caller learns that it may have run.
fn a_lost_call_is_reported_as_possibly_run(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.set_modes(mode);
    let (answers, elapsed) = send_calls(&system, "/once/1");
    for answer in answers {
        let status = answer.expect("an answer").head.status;
        assert!(matches!(status, 502 | 504), "{status}; {}", system.logs());
    }
    for number in 0..CALLERS {
        assert_eq!(system.arrivals(&format!("r{number}")).len(), 1);
    }
    assert!(elapsed < MAX_RESPONSE_TIME, "{elapsed:?}");
    let peak = peak_memory(&system);
    assert!(peak < MEMORY_KB, "{peak} KB");
}

/// A stream resumes at the healthy engine within the gap goal, and contains only its own events.
fn a_stream_resumes_elsewhere(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.first.set_mode(mode);
    for number in 0..8 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        let answer = answer.expect("an answer");
        assert!(answer.is_complete, "{}", system.logs());
        let text = answer.text().replace(": x\n\n", "");
        assert_eq!(text, caller::complete_stream());
        let pause = answer.longest_pause;
        assert!(
            pause < time::Duration::from_millis(700),
            "{pause:?}; {}",
            system.logs()
        );
    }
    let is_tried = !system.first.received().is_empty();
    assert!(is_tried, "no stream was sent to the faulty engine");
    let peak = peak_memory(&system);
    assert!(peak < MEMORY_KB, "{peak} KB");
}

common::cases! {
    head_of_an_idempotent_call: the_healthy_endpoint_responds(fakes::EndpointMode::EndlessHead);
    interim_heads_of_an_idempotent_call: the_healthy_endpoint_responds(fakes::EndpointMode::EndlessInterim);
    body_of_an_idempotent_call: the_healthy_endpoint_responds(fakes::EndpointMode::EndlessBody);
    head_of_a_call: a_lost_call_is_reported_as_possibly_run(fakes::EndpointMode::EndlessHead);
    slow_head_of_a_call: a_lost_call_is_reported_as_possibly_run(fakes::EndpointMode::TrickledHead);
    interim_heads_of_a_call: a_lost_call_is_reported_as_possibly_run(fakes::EndpointMode::EndlessInterim);
    body_of_a_call: a_lost_call_is_reported_as_possibly_run(fakes::EndpointMode::EndlessBody);
    huge_body_of_a_call: a_lost_call_is_reported_as_possibly_run(fakes::EndpointMode::HugeBody);
    body_of_a_stream: a_stream_resumes_elsewhere(fakes::EndpointMode::EndlessBody);
    head_of_a_stream: a_stream_resumes_elsewhere(fakes::EndpointMode::EndlessHead);
    comments_of_a_stream: a_stream_resumes_elsewhere(fakes::EndpointMode::EndlessComments(4));
    slow_comments_of_a_stream: a_stream_resumes_elsewhere(fakes::EndpointMode::TrickledComments(4));
    huge_pages: a_gateway_uses_no_huge_pages();
    foreign_events_of_a_stream: a_stream_resumes_elsewhere(fakes::EndpointMode::ForeignEvents(4));
}
