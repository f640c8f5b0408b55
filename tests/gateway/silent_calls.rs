//! Sound endpoints that are silent for a second or so, on all connections, in the midst of an answer.

use std::net;
use std::thread;

use crate::common;
use crate::support::silent_endpoint::{AnswerPart, SILENCE, SilentEndpoint};
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Service of the endpoint that falls silent.
const SILENT_SERVICE: &str = "q";

/// Streams at an endpoint that falls silent; more than may be sent again.
const SILENT_STREAMS: u32 = 40;

/// What else may serve a request while an endpoint is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherEndpoint {
    Absent,
    Sound,
}

/// Starts an endpoint that falls silent, alone in the service of all routes or beside a sound one.
fn start(part: AnswerPart, other: OtherEndpoint, can_resume: bool) -> (System, SilentEndpoint) {
    start_with_attempts(part, other, can_resume, 5)
}

/// The same with this limit on the attempts of streams.
fn start_with_attempts(
    part: AnswerPart,
    other: OtherEndpoint,
    can_resume: bool,
    attempts: u32,
) -> (System, SilentEndpoint) {
    let system = System::start(1);
    let [a, b, c] = system.net;
    let silent = SilentEndpoint::start(net::IpAddr::from([a, b, c, 242]), part);
    let field = format!(r#""can_resume":{can_resume}"#);
    let config = System::config(2, r#""k""#)
        .replace(r#""service":"m""#, r#""service":"q""#)
        .replace(r#"{"name":"m""#, r#"{"name":"q""#)
        .replace(r#""can_resume":true"#, &field)
        .replace(r#""attempts":5"#, &format!(r#""attempts":{attempts}"#));
    system.store.remove("servers", "e1");
    system.store.remove("servers", "e2");
    let entry = silent.entry(SILENT_SERVICE, "z1");
    system.store.put("servers", "s1", &entry);
    if other == OtherEndpoint::Sound {
        let address = system.second.address;
        let entry = fakes::FakeEndpoint::entry_at(address, SILENT_SERVICE, "z2", "ready");
        system.store.put("servers", "e2", &entry);
    }
    system.store.put("op", "config", config.as_bytes());
    let known = match other {
        OtherEndpoint::Absent => r#""known":1,"#,
        OtherEndpoint::Sound => r#""known":2,"#,
    };
    system.wait_for("endpoints and routes are in force", || {
        let logs = system.logs();
        let newest = logs
            .lines()
            .rfind(|line| line.contains("endpoints changed"));
        logs.contains(r#""version":2"#) && newest.is_some_and(|line| line.contains(known))
    });
    (system, silent)
}

/// Guards against requests that end without their endpoint's answer because it was silent for a
/// while; only it may run them.
fn a_call_is_answered_after(path: &str, part: AnswerPart) {
    let (system, silent) = start(part, OtherEndpoint::Absent, true);
    let answer = System::send(system.ip(), path, "r1");
    let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
    assert!(silent.is_silent());
    assert_eq!(answer.head.status, 200, "{}", system.logs());
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), fakes::plain_answer("r1"));
    assert_eq!(silent.received().len(), 1, "{}", system.logs());
}

fn a_stream_is_complete_after(part: AnswerPart, other: OtherEndpoint, can_resume: bool) {
    let (system, silent) = start(part, other, can_resume);
    for number in 0..20 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
        assert_eq!(answer.head.status, 200, "{}", system.logs());
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
        if silent.is_silent() {
            break;
        }
    }
    assert!(silent.is_silent(), "no stream for {SILENCE:?}");
    if !can_resume {
        assert_eq!(silent.received().len(), 1, "{}", system.logs());
    }
}

/// Guards against streams that end because their endpoint was silent for a while in the last attempt
/// that their route allows.
fn the_only_attempt_of_a_stream_is_awaited(part: AnswerPart) {
    let (system, silent) = start_with_attempts(part, OtherEndpoint::Sound, true, 1);
    for number in 0..20 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
        assert_eq!(answer.head.status, 200, "{}", system.logs());
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
        if silent.is_silent() {
            break;
        }
    }
    assert!(silent.is_silent(), "no stream for {SILENCE:?}");
    assert_eq!(silent.received().len(), 1, "{}", system.logs());
}

/// Guards against streams that end because their endpoint was silent for a while when the repeat
/// budget does not allow to send all of them again.
fn streams_beyond_the_repeat_budget_are_complete() {
    let (system, silent) = start(AnswerPart::Head, OtherEndpoint::Absent, true);
    let ip = system.ip();
    let calling: Vec<thread::JoinHandle<Option<caller::Answer>>> = (0..SILENT_STREAMS)
        .map(|number| thread::spawn(move || System::send(ip, "/stream/1", &format!("r{number}"))))
        .collect();
    for calling in calling {
        let answer = calling.join().expect("no panic").expect("an answer");
        assert_eq!(answer.head.status, 200, "{}", system.logs());
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
    }
    assert!(silent.is_silent());
}

/// Guards against streams that wait until their deadline although reports show that they are lost.
fn a_lost_stream_ends_before_its_deadline() {
    let (system, silent) = start(AnswerPart::Whole, OtherEndpoint::Absent, false);
    let answer = System::send(system.ip(), "/stream/1", "r1").expect("an answer");
    // 504 would be the end of the deadline.
    assert_eq!(answer.head.status, 502, "{}", system.logs());
    assert_eq!(silent.received().len(), 1, "{}", system.logs());
}

common::cases! {
    lost_stream: a_lost_stream_ends_before_its_deadline();
    safe_call_before_its_head: a_call_is_answered_after("/safe/1", AnswerPart::Head);
    safe_call_in_its_head: a_call_is_answered_after("/safe/1", AnswerPart::RestOfHead);
    safe_call_before_its_body: a_call_is_answered_after("/safe/1", AnswerPart::Body);
    safe_call_in_its_body: a_call_is_answered_after("/safe/1", AnswerPart::RestOfBody);
    unsafe_call_before_its_head: a_call_is_answered_after("/once/1", AnswerPart::Head);
    unsafe_call_in_its_head: a_call_is_answered_after("/once/1", AnswerPart::RestOfHead);
    unsafe_call_before_its_body: a_call_is_answered_after("/once/1", AnswerPart::Body);
    unsafe_call_in_its_body: a_call_is_answered_after("/once/1", AnswerPart::RestOfBody);
    only_attempt_before_its_head: the_only_attempt_of_a_stream_is_awaited(AnswerPart::Head);
    only_attempt_before_its_events: the_only_attempt_of_a_stream_is_awaited(AnswerPart::Body);
    streams_beyond_the_repeat_budget: streams_beyond_the_repeat_budget_are_complete();
    stream_before_its_head:
        a_stream_is_complete_after(AnswerPart::Head, OtherEndpoint::Absent, true);
    stream_before_its_events:
        a_stream_is_complete_after(AnswerPart::Body, OtherEndpoint::Absent, true);
    stream_between_its_events:
        a_stream_is_complete_after(AnswerPart::LaterEvent, OtherEndpoint::Absent, true);
    stream_in_an_event:
        a_stream_is_complete_after(AnswerPart::RestOfBody, OtherEndpoint::Absent, true);
    stream_beside_another_endpoint:
        a_stream_is_complete_after(AnswerPart::LaterEvent, OtherEndpoint::Sound, true);
    stream_before_its_head_beside_another_endpoint:
        a_stream_is_complete_after(AnswerPart::Head, OtherEndpoint::Sound, true);
    unresumable_stream_before_its_head:
        a_stream_is_complete_after(AnswerPart::Head, OtherEndpoint::Absent, false);
    unresumable_stream_before_its_events:
        a_stream_is_complete_after(AnswerPart::Body, OtherEndpoint::Absent, false);
    unresumable_stream_between_its_events:
        a_stream_is_complete_after(AnswerPart::LaterEvent, OtherEndpoint::Absent, false);
    unresumable_stream_in_an_event:
        a_stream_is_complete_after(AnswerPart::RestOfBody, OtherEndpoint::Absent, false);
    unresumable_stream_beside_another_endpoint:
        a_stream_is_complete_after(AnswerPart::LaterEvent, OtherEndpoint::Sound, false);
}
