//! Peers that send bytes without end where a message is due: memory stays bounded and time limits hold.

mod common;

use std::fs;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::connection::{accept, http, peer_wire, service};
use kumquatpulley::process::view;

/// Bytes after which the sender stops, far more than a reader may keep.
const SENT_BYTES: usize = 96 * 1024 * 1024;

/// Growth of memory that a reader may cause.
const MAX_GROWTH_KB: u64 = 16 * 1024;

/// Time limit of a reader, and what the test allows beyond it.
const TIME_LIMIT: time::Duration = time::Duration::from_millis(500);
const MAX_DELAY: time::Duration = time::Duration::from_millis(1_500);

/// The cases share a process, whose memory they measure.
static MEASURING: sync::Mutex<()> = sync::Mutex::new(());

const HEAD_LINE: &str = "HTTP/1.1 200 OK\r\nx: ";
const BLANK_LINE: &str = "\r\nHTTP/1.1 200 OK\r\nx: ";
const CHUNK_SIZE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const BODY: &str = "HTTP/1.1 200 OK\r\n\r\n";
const TRAILER: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: ";

#[derive(Debug)]
struct NoCounters;

impl view::CounterSink for NoCounters {
    fn count(&self, _name: &'static str) {}

    fn time(&self, _name: &'static str, _elapsed: time::Duration) {}
}

/// Peak resident memory of this process in KB since the last reset.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).expect("KB")
}

/// Makes the current resident memory the peak.
fn reset_peak_memory() {
    const RESET_PEAK: &str = "5";
    fs::write("/proc/self/clear_refs", RESET_PEAK).expect("the process's own file");
}

/// Writes `start`, then zeros until the peer closes or [`SENT_BYTES`] are sent.
fn send_zeros(stream: &mut net::TcpStream, start: &str) -> io::Result<()> {
    stream.write_all(start.as_bytes())?;
    let zeros = vec![b'0'; 64 * 1024];
    for _block in 0..SENT_BYTES / zeros.len() {
        stream.write_all(&zeros)?;
    }
    Ok(())
}

/// A server that answers each request with `start` and zeros without end.
fn endless_server(start: &'static str) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a caller");
        let mut request = [0; 1024];
        let _request = stream.read(&mut request);
        // The caller closes the connection before all is sent.
        let _closed = send_zeros(&mut stream, start);
    });
    address
}

/// Runs `exchange` and checks its time and memory.
fn measure<Output>(exchange: impl FnOnce() -> Output) -> Output {
    let _guard = MEASURING
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner);
    reset_peak_memory();
    let before = peak_memory();
    let began = time::Instant::now();
    let output = exchange();
    let elapsed = began.elapsed();
    // The kernel may count memory that was freed meanwhile.
    let grown = peak_memory().saturating_sub(before);
    assert!(elapsed < TIME_LIMIT + MAX_DELAY, "{elapsed:?}");
    assert!(grown < MAX_GROWTH_KB, "memory grew by {grown} KB");
    output
}

fn an_exchange_ends(start: &'static str) {
    let address = endless_server(start);
    let limits = http::ExchangeLimits {
        head: TIME_LIMIT,
        ..http::ExchangeLimits::default()
    };
    let method = http_types::Method::Get;
    let exchange = http::send_json(method, &address, "/", None, limits, 1024);
    let answer = measure(|| task::block_on(exchange));
    let is_empty = answer.as_ref().is_ok_and(|(_status, body)| body.is_empty());
    assert!(answer.is_err() || is_empty, "{answer:?}");
}

fn a_service_call_ends(start: &'static str) {
    let address = endless_server(start);
    let call = peer_wire::CallWire {
        key: "k".to_owned(),
        workspace: "w".to_owned(),
        service: "s".to_owned(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        content_type: None,
        body: Vec::new().into(),
        first_send: true,
        deadline_millis: 500,
    };
    let terms = service::SendTerms {
        send_before: time::Instant::now() + TIME_LIMIT,
        gate: sync::Arc::new(service::OpenGate),
        connect_limit: TIME_LIMIT,
        answer_limit: TIME_LIMIT,
        max_answer_bytes: 1024,
    };
    let exchange = service::exchange(&address, &call, &terms);
    let answer = measure(|| task::block_on(exchange));
    assert!(answer.is_err(), "{answer:?}");
}

fn a_callers_head_is_refused(start: &'static str) {
    let listener = http::listen(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let source = stop_token::StopSource::new();
    let limits = accept::AcceptLimits {
        max_connections: 4,
        idle_timeout: TIME_LIMIT,
    };
    let counters = sync::Arc::new(NoCounters);
    let serving = accept::serve(listener, tide::new(), limits, counters, source.token());
    let server = task::spawn(serving);
    measure(|| {
        let mut stream = net::TcpStream::connect(address).expect("a listener");
        let mut writing = stream.try_clone().expect("a free descriptor");
        let sender = thread::spawn(move || send_zeros(&mut writing, start));
        let mut answer = Vec::new();
        // The connection may be reset, as the server does not read all.
        let _reset = stream.read_to_end(&mut answer);
        let _closed = sender.join();
    });
    drop(source);
    task::block_on(server);
}

common::cases! {
    exchange_head_line: an_exchange_ends(HEAD_LINE);
    exchange_blank_line: an_exchange_ends(BLANK_LINE);
    exchange_chunk_size: an_exchange_ends(CHUNK_SIZE);
    exchange_body: an_exchange_ends(BODY);
    exchange_trailer: an_exchange_ends(TRAILER);
    service_head_line: a_service_call_ends(HEAD_LINE);
    service_chunk_size: a_service_call_ends(CHUNK_SIZE);
    service_trailer: a_service_call_ends(TRAILER);
    caller_head_line: a_callers_head_is_refused("GET / HTTP/1.1\r\nx: ");
    caller_bare_line_feeds: a_callers_head_is_refused("GET / HTTP/1.1\n\nx: ");
    caller_chunk_size: a_callers_head_is_refused(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    caller_trailer: a_callers_head_is_refused(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: "
    );
}
