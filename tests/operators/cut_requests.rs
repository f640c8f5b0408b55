//! Requests whose body ends early.

use std::io::{Read as _, Write as _};
use std::net;

use crate::common;
use crate::late_requests;

/// Guards against a call that runs with a part of its body, as the end of the connection was taken
/// for that of the body.
fn call_with_a_part_of_its_body_does_not_run(part: &str, length: usize) {
    let bench = late_requests::CallBench::start(0);
    let mut connection = bench.connect();
    let text = late_requests::head(late_requests::CALL_PATH, length) + part;
    connection.write_all(text.as_bytes()).expect("a connection");
    let closed = connection.shutdown(net::Shutdown::Write);
    closed.expect("a connection");
    let mut answer = String::new();
    connection.read_to_string(&mut answer).expect("an answer");
    assert_eq!(bench.runs(), 0, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}

common::cases! {
    without_its_last_byte: call_with_a_part_of_its_body_does_not_run("{\"a\":1", 7);
    without_any_byte: call_with_a_part_of_its_body_does_not_run("", 7);
}
