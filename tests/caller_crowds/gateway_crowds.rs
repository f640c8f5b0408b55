//! Crowds at a gateway.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use crate::common;
use crate::crowd;
use crate::gateway_process::{self, CrowdedGateway};
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Most resident memory of the process. Of the VM's memory a quarter is for what is held of callers,
/// a quarter for all else that the process holds, and a quarter to allocate with; the last quarter is
/// left for what the kernel holds.
const MAX_RESIDENT_KB: u64 = gateway_process::MEMORY_MB * 1024 * 3 / 4;

/// Most descriptors while no request is relayed: a third for callers' connections; the other two
/// thirds are for endpoints, of which a quarter may be in use by the other listeners, peers, the
/// store and the process itself.
const MAX_OPEN: usize =
    gateway_process::MAX_DESCRIPTORS / 3 + gateway_process::MAX_DESCRIPTORS * 2 / 3 / 4;

/// Bodies of this size are legal, and a crowd of them holds more than the VM's memory.
const BODY_BYTES: usize = 4_000_000;

/// Clients of a crowd; as many as ended a router of this memory.
const CLIENTS: usize = 20;

/// Size of a body far over the limit. It is not more, so that clients that cannot be told to stop
/// end by themselves.
const OVERSIZED_BYTES: usize = 32 * 1024 * 1024;

/// Size of an answer that is not read: several of them hold more than the VM's memory.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Receive window of a caller that does not read.
const RECEIVE_WINDOW_BYTES: usize = 4096;

/// Time in which answers arrive at the gateway on loopback.
const ANSWER_TIME: time::Duration = time::Duration::from_secs(2);

const LARGE_CHUNK: usize = 64 * 1024;

/// Smaller than its own framing.
const TINY_CHUNK: usize = 4;

fn head(number: usize) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: h\r\nKumquatpulley-Request-Id: c{number}\r\n\
         Kumquatpulley-Deadline-Ms: 8000\r\nAuthorization: Bearer k"
    )
}

/// What must hold while the connections of a crowd are open.
fn check_process(gateway: &mut CrowdedGateway) {
    assert!(gateway.is_alive(), "ended; {}", gateway.logs());
    let answer = System::send(gateway.ip, "/once/1", "ordinary");
    let status = answer.map(|answer| answer.head.status);
    assert_eq!(status, Some(200), "{}", gateway.logs());
    let peak = gateway.watch.peak_kb().expect("it runs");
    assert!(peak <= MAX_RESIDENT_KB, "{peak} KB resident");
    let open = gateway.watch.max_descriptors();
    assert!(open <= MAX_OPEN, "{open} descriptors");
}

/// What must hold for a crowd that takes connections: while they are open, and once they are closed.
fn check_connections(mut gateway: CrowdedGateway, streams: Vec<net::TcpStream>) {
    let open = gateway.watch.max_descriptors();
    assert!(open <= MAX_OPEN, "{open} descriptors");
    drop(streams);
    gateway_process::wait_for("connections end", || {
        System::send(gateway.ip, "/once/1", "again").is_some_and(|answer| answer.head.status == 200)
    });
    check_process(&mut gateway);
    check_afterwards(&gateway);
}

/// What must hold once the connections of a crowd are closed: nothing is held any more, and a body
/// of the largest legal size is served.
fn check_afterwards(gateway: &CrowdedGateway) {
    gateway_process::wait_for("no bytes are held", || {
        gateway.metric("requests_body_bytes") == Some(0.0)
    });
    let body: &'static [u8] = vec![b'x'; gateway_process::MAX_BODY_BYTES].leak();
    for is_chunked in [false, true] {
        let text = caller::CallText {
            path: "/once/1",
            key: "k",
            body,
            is_chunked,
        };
        let answer = caller::exchange(gateway.address(), &text.bytes("largest", None));
        let status = answer.map(|answer| answer.head.status);
        assert_eq!(status, Some(200), "{}", gateway.logs());
    }
    gateway_process::wait_for("no bytes are held", || {
        gateway.metric("requests_body_bytes") == Some(0.0)
    });
}

/// A refusal with 408, 413 or 503 says that the request has not run, which must be true.
fn check_refusals(gateway: &CrowdedGateway, ends: &[crowd::ClientEnd]) {
    for end in ends {
        if matches!(end.status, Some(408 | 413 | 503)) {
            let id = format!("c{}", end.number);
            assert!(!gateway.has_reached_endpoint(&id), "{}", end.head);
            assert!(end.head.contains("not-run"), "{}", end.head);
        }
        if end.status == Some(503) {
            assert!(end.head.contains("\r\nretry-after: "), "{}", end.head);
        }
    }
}

fn a_crowd_is_withstood(
    framing: crowd::BodyFraming,
    pace: crowd::SendPace,
    end: crowd::SendEnd,
    sources: crowd::SourceCount,
) {
    let mut gateway = CrowdedGateway::start();
    let shape = crowd::CrowdShape {
        clients: CLIENTS,
        body_bytes: BODY_BYTES,
        framing,
        pace,
        end,
        sources,
    };
    let ends = crowd::run(gateway.address(), shape, head);
    check_process(&mut gateway);
    check_refusals(&gateway, &ends);
    drop(ends);
    check_afterwards(&gateway);
}

/// Guards against bodies over the limit that are kept although they are refused.
fn oversized_bodies_are_withstood(framing: crowd::BodyFraming) {
    let mut gateway = CrowdedGateway::start();
    let shape = crowd::CrowdShape {
        clients: CLIENTS,
        body_bytes: OVERSIZED_BYTES,
        framing,
        pace: crowd::SendPace::Whole,
        end: crowd::SendEnd::Complete,
        sources: crowd::SourceCount::One,
    };
    let ends = crowd::run(gateway.address(), shape, head);
    check_process(&mut gateway);
    check_refusals(&gateway, &ends);
    assert!(!(0..CLIENTS).any(|number| gateway.has_reached_endpoint(&format!("c{number}"))));
    drop(ends);
    check_afterwards(&gateway);
}

/// Guards against answers that are held without a bound because their callers don't read them.
fn unread_answers_are_withstood() {
    let mut gateway = CrowdedGateway::start();
    let body = "x".repeat(ANSWER_BYTES);
    let text: &'static str = format!(
        "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {{id}}\r\nKumquatpulley-Runner-Seal: s\r\n\
         Content-Length: {ANSWER_BYTES}\r\n\r\n{body}"
    )
    .leak();
    for endpoint in &gateway.endpoints {
        endpoint.set_mode(fakes::EndpointMode::AnswersWith(text));
    }
    let streams: Vec<net::TcpStream> = (0..CLIENTS)
        .map(|number| {
            let stream = crowd::connect(gateway.address(), crowd::SourceCount::One, number);
            let mut stream = stream.expect("a connection");
            socket2::SockRef::from(&stream)
                .set_recv_buffer_size(RECEIVE_WINDOW_BYTES)
                .expect("a socket");
            // One after the other, as the bytes of all answers that arrive at once are bounded.
            thread::sleep(ANSWER_TIME / 10);
            let text = caller::request("/once/1", &format!("c{number}"), "k");
            stream.write_all(text.as_bytes()).expect("it is read");
            stream
        })
        .collect();
    gateway_process::wait_for("all requests are sent on", || {
        gateway.metric("relay_attempt_total") >= Some(20.0)
    });
    // The answers arrive.
    thread::sleep(ANSWER_TIME);
    for endpoint in &gateway.endpoints {
        endpoint.set_mode(fakes::EndpointMode::Healthy);
    }
    check_process(&mut gateway);
    drop(streams);
    check_afterwards(&gateway);
}

/// Guards against heads that are held without a bound, and against connections that take the
/// descriptors of endpoints, peers and the store.
fn unfinished_heads_are_withstood(sources: crowd::SourceCount) {
    let mut gateway = CrowdedGateway::start();
    let begun = format!("{}\r\nX-Filler: {}", head(1), "x".repeat(15 * 1024));
    let mut streams = Vec::new();
    for number in 0..gateway_process::MAX_DESCRIPTORS {
        let Some(mut stream) = crowd::connect(gateway.address(), sources, number) else {
            continue;
        };
        // It may have been refused.
        let _sent = stream.write_all(begun.as_bytes());
        streams.push(stream);
    }
    assert!(gateway.is_alive());
    check_connections(gateway, streams);
}

/// Guards against connections to the other listeners that take the descriptors of callers, endpoints,
/// peers and the store.
fn connections_to_other_listeners_are_bounded() {
    let gateway = CrowdedGateway::start();
    let mut streams = Vec::new();
    for port in [8220, 8224, 9464] {
        for number in 0..gateway_process::MAX_DESCRIPTORS / 2 {
            let address = (gateway.ip, port).into();
            streams.extend(crowd::connect(address, crowd::SourceCount::Many, number));
        }
    }
    for number in 0..gateway_process::MAX_DESCRIPTORS / 2 {
        let address = gateway.address();
        // Refused connections are closed, so that one is free for the ordinary request.
        streams.extend(crowd::connect(address, crowd::SourceCount::Many, number));
    }
    check_connections(gateway, streams);
}

/// Guards against callers that get a closed connection in place of a refusal that they may retry.
fn a_refused_caller_reads_the_refusal() {
    let mut gateway = CrowdedGateway::start();
    let shape = crowd::CrowdShape {
        clients: CLIENTS,
        body_bytes: BODY_BYTES,
        framing: crowd::BodyFraming::Length,
        pace: crowd::SendPace::Whole,
        end: crowd::SendEnd::StopsShort,
        sources: crowd::SourceCount::One,
    };
    let mut ends = crowd::run(gateway.address(), shape, head);
    let mut refused = 0;
    for end in &mut ends {
        let Some(stream) = &mut end.stream else {
            continue;
        };
        let mut text = [0; 1024];
        let count = stream.read(&mut text).unwrap_or_default();
        let text = String::from_utf8_lossy(&text[..count]).to_ascii_lowercase();
        refused += usize::from(text.contains(" 503 ") && text.contains("not-run"));
    }
    assert!(refused > 0, "{}", gateway.logs());
    check_process(&mut gateway);
}

/// Guards against stalled bodies of one address that keep out the body of another one.
fn a_large_body_is_served_beside_stalled_ones() {
    let mut gateway = CrowdedGateway::start();
    let shape = crowd::CrowdShape {
        clients: CLIENTS,
        body_bytes: BODY_BYTES,
        framing: crowd::BodyFraming::Length,
        pace: crowd::SendPace::Whole,
        end: crowd::SendEnd::StopsShort,
        sources: crowd::SourceCount::One,
    };
    let ends = crowd::run(gateway.address(), shape, head);
    let body: &'static [u8] = vec![b'x'; gateway_process::MAX_BODY_BYTES].leak();
    let text = caller::CallText {
        body,
        ..caller::CallText::plain("/once/1")
    };
    let answer = caller::exchange(gateway.address(), &text.bytes("largest", None));
    let status = answer.map(|answer| answer.head.status);
    assert_eq!(status, Some(200), "{}", gateway.logs());
    check_process(&mut gateway);
    drop(ends);
    check_afterwards(&gateway);
}

common::cases! {
    large_body_beside_stalled_ones: a_large_body_is_served_beside_stalled_ones();
    bodies_at_once: a_crowd_is_withstood(crowd::BodyFraming::Length, crowd::SendPace::Whole, crowd::SendEnd::Complete, crowd::SourceCount::One);
    bodies_at_once_from_many: a_crowd_is_withstood(crowd::BodyFraming::Length, crowd::SendPace::Whole, crowd::SendEnd::Complete, crowd::SourceCount::Many);
    bodies_in_pieces: a_crowd_is_withstood(crowd::BodyFraming::Length, crowd::SendPace::Pieces, crowd::SendEnd::Complete, crowd::SourceCount::One);
    bodies_in_pieces_from_many: a_crowd_is_withstood(crowd::BodyFraming::Length, crowd::SendPace::Pieces, crowd::SendEnd::Complete, crowd::SourceCount::Many);
    unfinished_bodies: a_crowd_is_withstood(crowd::BodyFraming::Length, crowd::SendPace::Whole, crowd::SendEnd::StopsShort, crowd::SourceCount::One);
    unfinished_bodies_from_many: a_crowd_is_withstood(crowd::BodyFraming::Length, crowd::SendPace::Pieces, crowd::SendEnd::StopsShort, crowd::SourceCount::Many);
    large_chunks: a_crowd_is_withstood(crowd::BodyFraming::Chunks(LARGE_CHUNK), crowd::SendPace::Whole, crowd::SendEnd::Complete, crowd::SourceCount::One);
    large_chunks_from_many: a_crowd_is_withstood(crowd::BodyFraming::Chunks(LARGE_CHUNK), crowd::SendPace::Pieces, crowd::SendEnd::Complete, crowd::SourceCount::Many);
    unfinished_large_chunks: a_crowd_is_withstood(crowd::BodyFraming::Chunks(LARGE_CHUNK), crowd::SendPace::Whole, crowd::SendEnd::StopsShort, crowd::SourceCount::Many);
    tiny_chunks: a_crowd_is_withstood(crowd::BodyFraming::Chunks(TINY_CHUNK), crowd::SendPace::Whole, crowd::SendEnd::Complete, crowd::SourceCount::One);
    unfinished_tiny_chunks: a_crowd_is_withstood(crowd::BodyFraming::Chunks(TINY_CHUNK), crowd::SendPace::Whole, crowd::SendEnd::StopsShort, crowd::SourceCount::One);
    unfinished_tiny_chunks_from_many: a_crowd_is_withstood(crowd::BodyFraming::Chunks(TINY_CHUNK), crowd::SendPace::Pieces, crowd::SendEnd::StopsShort, crowd::SourceCount::Many);
    announced_oversized_bodies: oversized_bodies_are_withstood(crowd::BodyFraming::Length);
    unannounced_oversized_bodies: oversized_bodies_are_withstood(crowd::BodyFraming::Chunks(LARGE_CHUNK));
    unannounced_oversized_tiny_chunks: oversized_bodies_are_withstood(crowd::BodyFraming::Chunks(TINY_CHUNK));
    unread_answers: unread_answers_are_withstood();
    unfinished_heads: unfinished_heads_are_withstood(crowd::SourceCount::One);
    unfinished_heads_from_many: unfinished_heads_are_withstood(crowd::SourceCount::Many);
    other_listeners: connections_to_other_listeners_are_bounded();
    readable_refusals: a_refused_caller_reads_the_refusal();
}
