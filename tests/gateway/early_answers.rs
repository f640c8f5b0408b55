//! Answers that begin while the request is still being written, and answers with an invalid status.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::connection::h1::head;
use kumquatpulley::platform::request_header;
use kumquatpulley::request::relay::attempt;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Bytes that the sockets between router and endpoint hold in any case.
static SMALL_BODY: [u8; 1024] = [b'x'; 1024];

/// Bytes that a socket may hold or not.
static MIDDLE_BODY: [u8; 512 * 1024] = [b'x'; 512 * 1024];

/// Bytes that no socket holds.
static LARGE_BODY: [u8; 12 * 1024 * 1024] = [b'x'; 12 * 1024 * 1024];

/// Limit on bodies in the configuration; above [`LARGE_BODY`].
const MAX_BODY: &str = r#""max_body_bytes":16000000"#;

/// Receive buffer of an endpoint that does not read on.
const RECEIVE_BYTES: usize = 4 * 1024;

/// Time from the answer to the reset, in which the request fills the sockets.
const RESET_DELAY: time::Duration = time::Duration::from_millis(100);

/// Part of a plain answer without a length.
const PART: &str = "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\n\r\nhel";

/// Two events of a stream without a length.
const EVENTS: &str = "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n\
    id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

/// Timeout for a report in these tests.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Reads the head of a request and no more of it than arrived with the head.
fn read_head(stream: &mut net::TcpStream) -> Option<head::RequestHead> {
    let mut bytes = Vec::new();
    loop {
        if let Some((head, _length)) = head::parse_request(&bytes).ok()? {
            return Some(head);
        }
        let mut chunk = [0_u8; 256];
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Starts an endpoint that answers as soon as it has read the head of a request, reads nothing more and
/// resets the connection [`RESET_DELAY`] later. Other calls than those of callers get an empty 200.
fn start_early_endpoint(ip: net::IpAddr, text: &'static str) -> net::SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let address = net::SocketAddr::new(ip, 0);
    // Set before the socket listens, so that connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a size");
    socket.bind(&address.into()).expect("a free port");
    socket.listen(128).expect("a listener");
    let listener = net::TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    fakes::serve(listener, move |stream| {
        let Some(head) = read_head(stream) else {
            return;
        };
        let Some(id) = head.headers.get("Kumquatpulley-Request-Id") else {
            return fakes::write_json(stream, 200, &serde_json::json!({}));
        };
        fakes::reset_at_close(stream);
        // The router may have given up.
        let _gone = stream.write_all(text.replace("{id}", id).as_bytes());
        thread::sleep(RESET_DELAY);
    });
    address
}

/// A system with an early endpoint in place of the first one.
fn start_with_early_endpoint(text: &'static str, config: &str) -> System {
    let config = config.replace(r#""max_body_bytes":10000"#, MAX_BODY);
    let system = System::start_configured(1, &config);
    let address = start_early_endpoint(system.first.address.ip(), text);
    let entry = fakes::FakeEndpoint::entry_at(address, "m", "z1", "ready");
    system.store.remove("servers", "e1");
    system.wait_for_known(1);
    system.store.put("servers", "early", &entry);
    system.wait_for_known(2);
    system
}

/// A system whose only endpoint is an early one.
fn start_with_only_early_endpoint(text: &'static str, config: &str) -> System {
    let system = start_with_early_endpoint(text, config);
    system.store.remove("servers", "e2");
    system.wait_for_known(1);
    system
}

fn usual_config() -> String {
    System::config(1, r#""k""#)
}

fn send(system: &System, path: &'static str, id: &str, body: &'static [u8]) -> caller::Answer {
    let text = caller::CallText {
        body,
        ..caller::CallText::plain(path)
    };
    let answer = caller::exchange((system.ip(), 8227).into(), &text.bytes(id, None));
    answer.unwrap_or_else(|| panic!("{id}: no answer; {}", system.logs()))
}

/// Guards against a part of an answer without a length that a caller gets as the whole: its endpoint
/// reset the connection while the request was still being written.
fn call_with_a_reset_answer_fails(path: &'static str, body: &'static [u8]) {
    let system = start_with_only_early_endpoint(PART, &usual_config());
    let answer = send(&system, path, "r1", body);
    assert_eq!(answer.head.status, 502, "{}", system.logs());
    assert_eq!(answer.head.headers.get("Kumquatpulley-Runner-Seal"), None);
    system.wait_for_line(&["call lost"]);
}

/// Guards against the same part where the call may go on at another endpoint.
fn safe_call_with_a_reset_answer_goes_on_elsewhere(body: &'static [u8]) {
    let system = start_with_early_endpoint(PART, &usual_config());
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = send(&system, "/safe/1", &id, body);
        assert_eq!(
            (answer.head.status, answer.text().as_str()),
            (200, fakes::plain_answer(&id).as_str()),
            "{}",
            system.logs()
        );
    }
    system.wait_for_line(&["call lost"]);
}

/// Guards against a stream without a length that ends as complete for the same reason.
fn stream_with_a_reset_answer_goes_on_elsewhere(body: &'static [u8]) {
    let system = start_with_early_endpoint(EVENTS, &usual_config());
    for number in 0..6 {
        let answer = send(&system, "/stream/1", &format!("r{number}"), body);
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
    }
    system.wait_for_line(&["stream attempt ended"]);
}

/// Guards against the same end where nobody can go on with the stream.
fn unresumable_stream_with_a_reset_answer_is_not_complete(body: &'static [u8]) {
    let config = usual_config().replace(r#""can_resume":true,"#, "");
    let system = start_with_only_early_endpoint(EVENTS, &config);
    let answer = send(&system, "/stream/1", "r1", body);
    assert_eq!(answer.head.status, 200, "{}", system.logs());
    assert!(!answer.is_complete, "{}", system.logs());
}

/// Guards against a status below 100 that a caller gets as an answer, or that is skipped like an interim
/// one.
fn invalid_status_is_no_answer(text: &'static str) {
    for path in ["/once/1", "/safe/1", "/stream/1"] {
        let system = System::start(1);
        system.set_modes(fakes::EndpointMode::AnswersWith(text));
        let answer = System::send(system.ip(), path, "r1").expect("an answer");
        assert_eq!(answer.head.status, 502, "{path}: {}", system.logs());
        assert_eq!(answer.head.headers.get("Kumquatpulley-Runner-Seal"), None);
        let is_repeated = system.arrivals("r1").len() > 1;
        assert_eq!(is_repeated, path != "/once/1", "{}", system.logs());
    }
}

/// Sends a report, and resets the connection if it `is_reset`.
fn read_report(text: &'static str, is_reset: bool) -> bool {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let engine = thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        read_head(&mut stream).expect("a request");
        stream.write_all(text.as_bytes()).expect("sent");
        if is_reset {
            fakes::reset_at_close(&stream);
            thread::sleep(RESET_DELAY);
        }
    });
    let dialect = request_header::HeaderDialect;
    let report = task::block_on(attempt::report(address, &dialect, REPORT_TIMEOUT));
    engine.join().expect("no panic");
    report.is_some()
}

/// Guards against a report that counts although its status is invalid or its connection was reset.
fn broken_report_is_no_report(text: &'static str, is_reset: bool) {
    assert!(!read_report(text, is_reset));
}

fn whole_report_is_read(text: &'static str) {
    assert!(read_report(text, false));
}

common::cases! {
    unsafe_call_with_a_small_body: call_with_a_reset_answer_fails("/once/1", &SMALL_BODY);
    unsafe_call_with_a_middle_body: call_with_a_reset_answer_fails("/once/1", &MIDDLE_BODY);
    unsafe_call_with_a_large_body: call_with_a_reset_answer_fails("/once/1", &LARGE_BODY);
    safe_call_with_a_large_body_and_no_other_endpoint: call_with_a_reset_answer_fails("/safe/1", &LARGE_BODY);
    safe_call_with_a_small_body: safe_call_with_a_reset_answer_goes_on_elsewhere(&SMALL_BODY);
    safe_call_with_a_middle_body: safe_call_with_a_reset_answer_goes_on_elsewhere(&MIDDLE_BODY);
    safe_call_with_a_large_body: safe_call_with_a_reset_answer_goes_on_elsewhere(&LARGE_BODY);
    stream_with_a_small_body: stream_with_a_reset_answer_goes_on_elsewhere(&SMALL_BODY);
    stream_with_a_middle_body: stream_with_a_reset_answer_goes_on_elsewhere(&MIDDLE_BODY);
    stream_with_a_large_body: stream_with_a_reset_answer_goes_on_elsewhere(&LARGE_BODY);
    unresumable_stream_with_a_small_body:
        unresumable_stream_with_a_reset_answer_is_not_complete(&SMALL_BODY);
    unresumable_stream_with_a_large_body:
        unresumable_stream_with_a_reset_answer_is_not_complete(&LARGE_BODY);
    status_zero_with_a_length: invalid_status_is_no_answer("HTTP/1.1 000 X\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: 5\r\n\r\nhello");
    status_zero_without_a_length: invalid_status_is_no_answer("HTTP/1.1 000 X\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\r\nhello");
    status_zero_without_a_body: invalid_status_is_no_answer("HTTP/1.1 000 X\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: 0\r\n\r\n");
    status_zero_before_an_answer: invalid_status_is_no_answer("HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: 5\r\n\r\nhello");
    status_below_one_hundred: invalid_status_is_no_answer("HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: 5\r\n\r\nhello");
    report_with_a_length: whole_report_is_read("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"active\":1}");
    report_without_a_length: whole_report_is_read("HTTP/1.1 200 OK\r\n\r\n{\"active\":1}");
    report_without_a_length_that_is_reset:
        broken_report_is_no_report("HTTP/1.1 200 OK\r\n\r\n{\"active\":1}", true);
    report_with_status_zero:
        broken_report_is_no_report("HTTP/1.1 000 X\r\nContent-Length: 12\r\n\r\n{\"active\":1}", false);
    report_after_status_zero: broken_report_is_no_report(
        "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"active\":1}", false);
}
