//! A stream that breaks off goes on with its own events or ends visibly, whatever follows it.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, router};

/// Events after which the first engine breaks the stream off.
const EVENTS_BEFORE_LOSS: u64 = 4;

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(15);

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

common::cases! {
    whole_old_stream: a_whole_stream_ends_orderly_for_an_old_caller();
    old_stream_given_up: a_stream_that_is_given_up_is_reset_for_an_old_caller();
    old_stream_at_a_stop: a_stream_that_its_router_ends_is_reset_for_an_old_caller(rustix::process::Signal::TERM);
    old_stream_at_a_kill: a_stream_that_its_router_ends_is_reset_for_an_old_caller(rustix::process::Signal::KILL);
}
