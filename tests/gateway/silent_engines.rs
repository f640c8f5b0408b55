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

common::cases! {
    no_other_engine_has_room:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesAfter(4), true);
    no_other_engine_may_go_on:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesAfter(4), false);
    reports_are_late_and_no_other_engine_has_room:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesWithLateReports(4), true);
    reports_are_late:
        silence_does_not_end_a_stream(fakes::EndpointMode::PausesWithLateReports(4), false);
}
