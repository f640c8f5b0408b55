//! Engines that send nothing for a while in the midst of a stream, as they preempt it, and go on.

use std::thread;

use rustix::process as unix;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, router};

/// Guards against streams that a stopping gateway ends although their engine only was silent for a
/// while, and no other engine could go on with them. All ends long before the grace period does.
fn silence_does_not_end_a_stream(mode: fakes::EndpointMode, can_resume: bool) {
    let system = System::start(1);
    let config = System::config(2, r#""k""#);
    let field = format!(r#""can_resume":{can_resume}"#);
    let config = config.replace(r#""can_resume":true"#, &field);
    system.store.put("op", "config", config.as_bytes());
    system.wait_for("the route is in force", || {
        system.logs().contains(r#""version":2"#)
    });
    system.set_modes(mode);
    let ip = system.ip();
    let calling = thread::spawn(move || {
        let request = caller::request("/stream/1", "r1", "k");
        caller::exchange((ip, 8227).into(), request.as_bytes())
    });
    system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
    let received = system.first.received();
    let mut received = received.iter();
    let is_first = received.any(|request| request.head.target == "/stream/1");
    let other = if is_first {
        &system.second
    } else {
        &system.first
    };
    other.set_mode(fakes::EndpointMode::Full);
    router::signal(&system.gateways[0], unix::Signal::TERM);
    let answer = calling.join().expect("no panic").expect("an answer");
    let text = answer.text();
    assert!(answer.is_complete, "{text}{}", system.logs());
    assert_eq!(text, caller::complete_stream());
}

/// Starts a stream at an engine in `mode`, while the other one, in `other_mode`, could go on with it;
/// returns how many engines got it.
fn engines_of_a_stream(mode: fakes::EndpointMode, other_mode: fakes::EndpointMode) -> usize {
    let system = System::start(1);
    system.first.set_mode(mode);
    system.second.set_mode(fakes::EndpointMode::MemoryInUse);
    if other_mode != fakes::EndpointMode::MemoryInUse {
        system.second.set_mode(mode);
    }
    let ip = system.ip();
    // Only a prompt of known size needs room.
    let size = "Host: h\r\nKumquatpulley-Token-Counts: 8000,80\r\n";
    let request = caller::request("/stream/1", "r1", "k").replace("Host: h\r\n", size);
    let calling = thread::spawn(move || caller::exchange((ip, 8227).into(), request.as_bytes()));
    system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
    let is_first = !system.first.received().is_empty();
    let other = if is_first {
        &system.second
    } else {
        &system.first
    };
    other.set_mode(other_mode);
    let answer = calling.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    let events = answer.text().replace(": x\n\n", "");
    assert_eq!(events, caller::complete_stream());
    system.arrivals("r1").len()
}

/// Guards against streams that leave an engine which is silent for a second and reports that it works,
/// and then wait longer for another one to prefill their prompt. The other engine has no room for a
/// copy.
fn a_stream_without_a_copy_stays_with_its_engine() {
    let mode = fakes::EndpointMode::PausesAfter(4);
    let engines = engines_of_a_stream(mode, fakes::EndpointMode::MemoryInUse);
    assert_eq!(engines, 1);
}

/// Guards against streams that wait for a silent engine although another one has their copy.
fn a_stream_with_a_copy_leaves_its_engine() {
    let mode = fakes::EndpointMode::PausesAfter(4);
    let engines = engines_of_a_stream(mode, fakes::EndpointMode::Healthy);
    assert_eq!(engines, 2);
}

/// Guards against streams without a copy that stay until their deadline with an engine that sends no
/// more events.
fn a_stream_without_a_copy_leaves_in_the_end() {
    let mode = fakes::EndpointMode::TrickledComments(4);
    let engines = engines_of_a_stream(mode, fakes::EndpointMode::MemoryInUse);
    assert_eq!(engines, 2);
}

common::cases! {
    without_a_copy: a_stream_without_a_copy_stays_with_its_engine();
    with_a_copy: a_stream_with_a_copy_leaves_its_engine();
    without_a_copy_for_good: a_stream_without_a_copy_leaves_in_the_end();
    no_other_engine_has_room:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesAfter(4), true);
    no_other_engine_may_go_on:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesAfter(4), false);
    reports_are_late_and_no_other_engine_has_room:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesWithLateReports(4), true);
    reports_are_late:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesWithLateReports(4), false);
}
