//! Endpoints in trouble that send bytes without end which are no answer: memory and time stay bounded,
//! and callers get a true answer.

use std::fs;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, stand_in};

/// Memory of the VM, as its settings say.
const MEMORY_KB: u64 = 96 * 1024;

/// Callers at the same time.
const CALLERS: usize = 12;

/// Time in which a caller has its answer: a head that trickles in is given up after three seconds, and
/// the route's timeout follows.
const ANSWER_BOUND: time::Duration = time::Duration::from_millis(3_500);

/// Longest resident memory of the first gateway so far, in KB.
fn peak_memory(system: &System) -> u64 {
    let pid = system.gateways[0].child.id();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse().ok())
        .expect("a number of KB")
}

/// Many callers at once; returns how their requests ended and the longest time.
fn calls(system: &System, path: &'static str) -> (Vec<Option<caller::Answer>>, time::Duration) {
    let ip = system.ip();
    let began = time::Instant::now();
    let calls = (0..CALLERS)
        .map(|number| thread::spawn(move || System::send(ip, path, &format!("r{number}"))));
    let calls: Vec<_> = calls.collect();
    let answers = calls.into_iter().map(|call| call.join().expect("no panic"));
    (answers.collect(), began.elapsed())
}

/// An idempotent call is answered by the sound endpoint, whatever the other one sends.
fn the_sound_endpoint_answers(mood: stand_in::EndpointMood) {
    let system = System::start(1);
    system.first.set_mood(mood);
    let (answers, longest) = calls(&system, "/safe/1");
    for answer in answers {
        assert_eq!(
            answer.expect("an answer").head.status,
            200,
            "{}",
            system.logs()
        );
    }
    assert!(longest < ANSWER_BOUND, "{longest:?}");
    let peak = peak_memory(&system);
    assert!(peak < MEMORY_KB, "{peak} KB");
}

/// A call that may run once is not sent again, and its caller learns that it may have run.
fn a_call_that_may_have_run_is_said_so(mood: stand_in::EndpointMood) {
    let system = System::start(1);
    system.set_moods(mood);
    let (answers, longest) = calls(&system, "/once/1");
    for answer in answers {
        let status = answer.expect("an answer").head.status;
        assert!(matches!(status, 502 | 504), "{status}; {}", system.logs());
    }
    for number in 0..CALLERS {
        assert_eq!(system.arrivals(&format!("r{number}")).len(), 1);
    }
    assert!(longest < ANSWER_BOUND, "{longest:?}");
    let peak = peak_memory(&system);
    assert!(peak < MEMORY_KB, "{peak} KB");
}

/// A stream goes on at the sound engine within the wanted pause, and holds nothing but its events.
fn a_stream_goes_on_elsewhere(mood: stand_in::EndpointMood) {
    let system = System::start(1);
    system.first.set_mood(mood);
    for number in 0..8 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        let answer = answer.expect("an answer");
        assert!(answer.is_whole, "{}", system.logs());
        let text = answer.text().replace(": x\n\n", "");
        assert_eq!(text, caller::whole_stream());
        let pause = answer.longest_pause;
        assert!(
            pause < time::Duration::from_millis(700),
            "{pause:?}; {}",
            system.logs()
        );
    }
    let is_tried = !system.first.seen().is_empty();
    assert!(is_tried, "no stream met the engine in trouble");
    let peak = peak_memory(&system);
    assert!(peak < MEMORY_KB, "{peak} KB");
}

common::cases! {
    head_of_a_safe_call: the_sound_endpoint_answers(stand_in::EndpointMood::EndlessHead);
    interim_heads_of_a_safe_call: the_sound_endpoint_answers(stand_in::EndpointMood::EndlessInterim);
    body_of_a_safe_call: the_sound_endpoint_answers(stand_in::EndpointMood::EndlessBody);
    head_of_a_call: a_call_that_may_have_run_is_said_so(stand_in::EndpointMood::EndlessHead);
    slow_head_of_a_call: a_call_that_may_have_run_is_said_so(stand_in::EndpointMood::TrickledHead);
    interim_heads_of_a_call: a_call_that_may_have_run_is_said_so(stand_in::EndpointMood::EndlessInterim);
    body_of_a_call: a_call_that_may_have_run_is_said_so(stand_in::EndpointMood::EndlessBody);
    huge_body_of_a_call: a_call_that_may_have_run_is_said_so(stand_in::EndpointMood::HugeBody);
    body_of_a_stream: a_stream_goes_on_elsewhere(stand_in::EndpointMood::EndlessBody);
    head_of_a_stream: a_stream_goes_on_elsewhere(stand_in::EndpointMood::EndlessHead);
    comments_of_a_stream: a_stream_goes_on_elsewhere(stand_in::EndpointMood::EndlessComments(4));
    slow_comments_of_a_stream: a_stream_goes_on_elsewhere(stand_in::EndpointMood::TrickledComments(4));
    foreign_events_of_a_stream: a_stream_goes_on_elsewhere(stand_in::EndpointMood::ForeignEvents(4));
}
