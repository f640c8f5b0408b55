//! A stream that breaks off goes on with its own events or ends visibly, whatever follows it.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, router};

/// Events after which the first engine breaks the stream off.
const EVENTS_BEFORE_LOSS: u64 = 4;

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// The events of a stream up to the one at which it broke off.
fn begun_stream() -> String {
    let events =
        (1..=EVENTS_BEFORE_LOSS).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect()
}

/// Sends a stream that the engine chosen first breaks off, after which the other one answers with
/// `mode`.
fn send_broken_stream(system: &System, mode: fakes::EndpointMode) -> caller::Answer {
    system.set_modes(fakes::EndpointMode::SlowThenDiesAfter(EVENTS_BEFORE_LOSS));
    let ip = system.ip();
    let calling = thread::spawn(move || System::send(ip, "/stream/1", "r1"));
    system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
    let is_first = !system.first.received().is_empty();
    let other = if is_first {
        &system.second
    } else {
        &system.first
    };
    other.set_mode(mode);
    calling.join().expect("no panic").expect("an answer")
}

/// The caller gets the events before the loss and nothing else, and sees that the rest is missing.
fn a_stream_ends_visibly_before(text: &'static str) {
    let system = System::start(1);
    let answer = send_broken_stream(&system, fakes::EndpointMode::AnswersWith(text));
    assert!(!answer.is_complete, "{}", system.logs());
    assert_eq!(answer.head.status, 200);
    assert_eq!(answer.text(), begun_stream(), "{}", system.logs());
    let runs = system.arrivals("r1").len();
    assert!(runs > 1, "no other engine was tried; {}", system.logs());
}

/// Guards against events that are lost because the bytes behind them, read at the same time, end the
/// attempt: the next engine was asked to go on after them.
fn events_before_a_fault_are_relayed(text: &'static str) {
    let system = System::start(1);
    system
        .first
        .set_mode(fakes::EndpointMode::AnswersWith(text));
    for number in 0..8 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        let answer = answer.expect("an answer");
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(
            answer.text(),
            caller::complete_stream(),
            "{}",
            system.logs()
        );
    }
    let is_tried = !system.first.received().is_empty();
    assert!(is_tried, "no stream was sent to the faulty engine");
}

/// How an answer to a caller of HTTP/1.0 ended, for whom only its connection marks the end.
#[derive(Debug, PartialEq, Eq)]
enum AnswerEnd {
    Orderly,
    Reset,
}

/// Begins a stream for a caller of HTTP/1.0.
fn begin_old_stream(system: &System, id: &str) -> net::TcpStream {
    let text = caller::request("/stream/1", id, "k").replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("a socket option");
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

/// Reads an answer to its end; returns what came after its head.
fn read_old_answer(stream: &mut net::TcpStream) -> (String, AnswerEnd) {
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 4096];
    let end = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break AnswerEnd::Orderly,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::ConnectionReset);
                break AnswerEnd::Reset;
            }
        }
    };
    let text = String::from_utf8(bytes).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    assert!(!head.to_lowercase().contains("transfer-encoding"), "{head}");
    (body.to_owned(), end)
}

fn a_whole_stream_ends_orderly_for_an_old_caller() {
    let system = System::start(1);
    let read = read_old_answer(&mut begin_old_stream(&system, "r1"));
    assert_eq!(read, (caller::complete_stream(), AnswerEnd::Orderly));
}

/// No engine can go on with the stream.
fn a_stream_that_is_given_up_is_reset_for_an_old_caller() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::DiesAfter(EVENTS_BEFORE_LOSS));
    let (body, end) = read_old_answer(&mut begin_old_stream(&system, "r1"));
    assert_eq!(end, AnswerEnd::Reset, "{}", system.logs());
    assert!(caller::complete_stream().starts_with(&body), "{body}");
}

/// The stream outlasts the grace period of a router that stops, or the router is killed. Its engine
/// still works, and no other one may go on with it.
fn a_stream_that_its_router_ends_is_reset_for_an_old_caller(signal: rustix::process::Signal) {
    let system = System::start_unresumable();
    system.set_modes(fakes::EndpointMode::TrickledComments(EVENTS_BEFORE_LOSS));
    let mut stream = begin_old_stream(&system, "r1");
    let mut begin = [0_u8; 1];
    stream.read_exact(&mut begin).expect("the stream begins");
    router::signal(&system.gateways[0], signal);
    let (_body, end) = read_old_answer(&mut stream);
    assert_eq!(end, AnswerEnd::Reset, "{}", system.logs());
}

const BAD_REQUEST: &str = "HTTP/1.1 400 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 13\r\n\r\nno: an error\n";
const SERVER_ERROR: &str = "HTTP/1.1 500 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 13\r\n\r\nno: an error\n";
const ERROR_EVENT: &str = "HTTP/1.1 502 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 5\ndata: an error\n\n";
const ERROR_UNTIL_CLOSE: &str =
    "HTTP/1.1 503 X\r\nKumquatpulley-Runner-Seal: s\r\n\r\nid: 5\ndata: an error\n\n";
const OTHER_SUCCESS: &str = "HTTP/1.1 201 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Length: 4\r\n\r\nmade";
const WITHOUT_SEAL: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Content-Length: 23\r\n\r\nid: 5\ndata: an error\n\n\n";
const FOREIGN: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: other\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Length: 23\r\n\r\nid: 5\ndata: an error\n\n\n";
const NO_EVENTS: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: application/json\r\nContent-Length: 14\r\n\r\n{\"error\":\"no\"}";
const TEXT_WITH_BLANK_LINES: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\nan error\n\n";
const ENCODED: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 22\r\n\r\nid: 5\ndata: an error\n\n";
const HEAD_AS_BODY: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Length: 44\r\n\r\nHTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nnope\n\n\n";
const NO_HTTP: &str = "id: 5\ndata: an error\n\n";
const EMPTY_UNTIL_CLOSE: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
const ENDS_INSIDE_AN_EVENT: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\nid: 5\ndata";
const EVENTS_BEFORE_FOREIGN: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n\
    43\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\ndata: of another stream\n\n\r\n0\r\n\r\n";
const EVENTS_BEFORE_BAD_CHUNK: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n\
    2a\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n\r\nno chunk\r\n";

common::cases! {
    foreign_event_behind_events: events_before_a_fault_are_relayed(EVENTS_BEFORE_FOREIGN);
    bad_chunk_behind_events: events_before_a_fault_are_relayed(EVENTS_BEFORE_BAD_CHUNK);
    bad_request: a_stream_ends_visibly_before(BAD_REQUEST);
    server_error: a_stream_ends_visibly_before(SERVER_ERROR);
    error_event: a_stream_ends_visibly_before(ERROR_EVENT);
    error_until_close: a_stream_ends_visibly_before(ERROR_UNTIL_CLOSE);
    other_success: a_stream_ends_visibly_before(OTHER_SUCCESS);
    success_without_seal: a_stream_ends_visibly_before(WITHOUT_SEAL);
    foreign_success: a_stream_ends_visibly_before(FOREIGN);
    no_events: a_stream_ends_visibly_before(NO_EVENTS);
    text_with_blank_lines: a_stream_ends_visibly_before(TEXT_WITH_BLANK_LINES);
    encoded: a_stream_ends_visibly_before(ENCODED);
    head_as_body: a_stream_ends_visibly_before(HEAD_AS_BODY);
    no_http: a_stream_ends_visibly_before(NO_HTTP);
    empty_until_close: a_stream_ends_visibly_before(EMPTY_UNTIL_CLOSE);
    end_inside_an_event: a_stream_ends_visibly_before(ENDS_INSIDE_AN_EVENT);
    whole_old_stream: a_whole_stream_ends_orderly_for_an_old_caller();
    old_stream_given_up: a_stream_that_is_given_up_is_reset_for_an_old_caller();
    old_stream_at_a_stop: a_stream_that_its_router_ends_is_reset_for_an_old_caller(rustix::process::Signal::TERM);
    old_stream_at_a_kill: a_stream_that_its_router_ends_is_reset_for_an_old_caller(rustix::process::Signal::KILL);
}
