//! Answers that end before their last byte never reach a caller as whole successes.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::connection::h1::{body, head};
use kumquatpulley::request::relay::{attempt, response_memory};
use proptest::prelude::*;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFraming {
    Length,
    Chunks,
    /// Only its connection marks the end.
    UntilClose,
}

/// How the endpoint ends the connection of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Orderly,
    Reset,
}

/// What an answer looks like apart from its framing.
#[derive(Clone, Copy, Debug)]
enum HeadStyle {
    Usual,
    /// An interim response precedes it.
    Interim,
    /// Its lines end with a line feed alone.
    LineFeeds,
}

const ALL_FRAMINGS: [AnswerFraming; 3] = [
    AnswerFraming::Length,
    AnswerFraming::Chunks,
    AnswerFraming::UntilClose,
];

/// The head of a whole answer, up to and including the blank line, and its body as sent.
fn answer_parts(fields: &str, framing: AnswerFraming, parts: &[&str]) -> (String, String) {
    let body = parts.concat();
    match framing {
        AnswerFraming::Length => (
            format!("{fields}Content-Length: {}\r\n\r\n", body.len()),
            body,
        ),
        AnswerFraming::Chunks => {
            let mut chunks = Vec::new();
            for part in parts {
                head::write_chunk(&mut chunks, part.as_bytes());
            }
            chunks.extend_from_slice(head::LAST_CHUNK);
            let chunks = String::from_utf8(chunks).expect("text");
            (
                format!("{fields}Transfer-Encoding: chunked\r\n\r\n"),
                chunks,
            )
        }
        AnswerFraming::UntilClose => (format!("{fields}\r\n"), body),
    }
}

/// The parts of the body of a whole answer.
fn body_parts(path: &str) -> [&'static str; 2] {
    if path == "/stream/1" {
        return ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    }
    ["hello ", "caller"]
}

/// All beginnings of an answer to the request `{id}` that are not the whole of it.
fn cut_answers(
    path: &str,
    style: HeadStyle,
    framing: AnswerFraming,
    end: ConnectionEnd,
) -> Vec<String> {
    let fields =
        "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n";
    let (head, body) = answer_parts(fields, framing, &body_parts(path));
    let head = match style {
        HeadStyle::Usual => head,
        HeadStyle::Interim => format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{head}"),
        HeadStyle::LineFeeds => head.replace("\r\n", "\n"),
    };
    let length = head.len() + body.len();
    let cuts = match (framing, end) {
        // The end of the connection is that of the answer, wherever in the body it is.
        (AnswerFraming::UntilClose, ConnectionEnd::Orderly) => 0..head.len(),
        (AnswerFraming::UntilClose, ConnectionEnd::Reset) => 0..length + 1,
        _ => 0..length,
    };
    let whole = head + &body;
    cuts.map(|cut| whole[..cut].to_owned()).collect()
}

fn mode(text: &str, end: ConnectionEnd) -> fakes::EndpointMode {
    let text = text.to_owned().leak();
    match end {
        ConnectionEnd::Orderly => fakes::EndpointMode::AnswersWith(text),
        ConnectionEnd::Reset => fakes::EndpointMode::AnswersAndResets(text),
    }
}

/// Guards against a 2xx whose body is empty or short and framed as whole, after its endpoint closed
/// in the middle of its head or body. Both endpoints cut the answer at the same byte.
fn no_cut_answer_is_whole(
    system: &System,
    path: &str,
    style: HeadStyle,
    framing: AnswerFraming,
    end: ConnectionEnd,
) {
    let whole = body_parts(path).concat();
    let answers = cut_answers(path, style, framing, end);
    let (mut passed_on, mut begun) = (0, 0);
    for (cut, text) in answers.iter().enumerate() {
        let id = format!("c{cut:03}");
        system.set_modes(mode(&text.replace("{id}", &id), end));
        let answer = System::send(system.ip(), path, &id);
        let what = format!("{path}, {framing:?}, {end:?}, cut {cut}: {text:?}");
        let answer = answer.unwrap_or_else(|| panic!("{what}: no answer; {}", system.logs()));
        let runs = system.arrivals(&id).len();
        passed_on += usize::from(runs > 0);
        if (200..300).contains(&answer.head.status) {
            assert!(!answer.is_complete, "{what}: {answer:?}");
            assert!(whole.starts_with(&answer.text()), "{what}: {answer:?}");
            assert_eq!(path, "/stream/1", "{what}: {answer:?}");
            begun += 1;
        } else if runs > 0 {
            assert_eq!(answer.head.status, 502, "{what}");
        }
        if path == "/once/1" {
            assert!(runs <= 1, "{what}: ran {runs} times");
        }
    }
    println!(
        "{path}, {style:?}, {framing:?}, {end:?}: {} cuts, {passed_on} passed on, {begun} begun",
        answers.len()
    );
    assert_eq!(passed_on, answers.len(), "{path}, {style:?}, {framing:?}");
}

fn every_cut(path: &str, end: ConnectionEnd) {
    for framing in ALL_FRAMINGS {
        let system = System::start(1);
        no_cut_answer_is_whole(&system, path, HeadStyle::Usual, framing, end);
    }
}

fn every_cut_in_style(path: &str, style: HeadStyle) {
    let system = System::start(1);
    let framing = AnswerFraming::UntilClose;
    no_cut_answer_is_whole(&system, path, style, framing, ConnectionEnd::Orderly);
}

/// A stream that cannot be resumed may run once only.
fn every_cut_of_an_unresumable_stream(end: ConnectionEnd) {
    let system = System::start_unresumable();
    let framing = AnswerFraming::Chunks;
    no_cut_answer_is_whole(&system, "/stream/1", HeadStyle::Usual, framing, end);
}

/// The first endpoint ends its answer after this text; the other one works.
fn requests_go_on_elsewhere_after(text: &str) {
    for end in [ConnectionEnd::Orderly, ConnectionEnd::Reset] {
        let system = System::start(1);
        system.first.set_mode(mode(text, end));
        for number in 0..6 {
            let id = format!("r{number}");
            let answer = System::send(system.ip(), "/safe/1", &id).expect("an answer");
            let seen = (answer.head.status, answer.text());
            assert_eq!(seen, (200, fakes::plain_answer(&id)), "{}", system.logs());
            let answer = System::send(system.ip(), "/stream/1", &format!("s{number}"));
            let answer = answer.expect("an answer");
            assert!(answer.is_complete, "{}", system.logs());
            assert_eq!(
                answer.text(),
                caller::complete_stream(),
                "{}",
                system.logs()
            );
        }
        let tried = system.first.received();
        assert!(
            !tried.is_empty(),
            "the endpoint that closes was never tried"
        );
    }
}

/// Whether an answer of these bytes, after which its connection is closed, is whole.
fn is_whole(bytes: &[u8]) -> bool {
    let Ok(Some((head, length))) = head::parse_response(bytes) else {
        return false;
    };
    let Ok(framing) = head.framing("POST") else {
        return false;
    };
    let mut decoder = body::BodyDecoder::new(framing);
    let used = decoder.decode(&bytes[length..], &mut Vec::new());
    used.is_ok() && decoder.ends_with_connection()
}

proptest! {
    #[test]
    fn no_beginning_of_an_answer_is_whole(
        status in prop::sample::select(vec![200_u16, 201, 206, 400, 500]),
        fields in prop::collection::vec(("[A-Za-z][A-Za-z0-9-]{0,12}", "[ -~]{0,12}"), 0..5),
        parts in prop::collection::vec("[ -~\r\n]{1,20}", 0..4),
        framing in prop::sample::select(ALL_FRAMINGS.to_vec()),
        is_line_feed in any::<bool>(),
    ) {
        let lines = fields.iter().map(|(name, value)| format!("X-{name}: {value}\r\n"));
        let fields = lines.collect::<Vec<String>>().concat();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let start = format!("HTTP/1.1 {status} OK\r\n{fields}");
        let (mut head, body) = answer_parts(&start, framing, &parts);
        if is_line_feed {
            head = head.replace("\r\n", "\n");
        }
        let whole = format!("{head}{body}").into_bytes();
        prop_assert!(is_whole(&whole));
        let end = if framing == AnswerFraming::UntilClose { head.len() } else { whole.len() };
        for cut in 0..end {
            prop_assert!(!is_whole(&whole[..cut]), "cut {cut} of {head:?} {body:?}");
        }
    }
}

/// Bytes of a request that no socket buffers hold.
const LARGE_REQUEST: usize = 32 * 1024 * 1024;

/// Guards against an answer without a length that counts as whole although its endpoint crashed:
/// a failed write takes the error of the reset, and the next read then sees an orderly end.
#[test]
fn an_answer_that_is_reset_while_the_request_is_sent_is_not_whole() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let endpoint = thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        stream.read_exact(&mut [0_u8; 1024]).expect("a request");
        let text = b"HTTP/1.1 200 OK\r\nKumquatpulley-Runner-Seal: s\r\n\r\nhel";
        stream.write_all(text).expect("sent");
        thread::sleep(time::Duration::from_millis(100));
        fakes::reset_at_close(&stream);
    });
    let read = task::block_on(async {
        let mut open = attempt::send(address, &vec![b'x'; LARGE_REQUEST]).await?;
        let head = open.head().await?;
        let memory = response_memory::ResponseMemory::new(1024);
        open.read_whole("POST", head, &memory).await
    });
    endpoint.join().expect("no panic");
    let read = read.map(|response| response.body);
    assert_eq!(read, Err(attempt::AttemptError::Closed));
}

common::cases! {
    once_closed: every_cut("/once/1", ConnectionEnd::Orderly);
    once_reset: every_cut("/once/1", ConnectionEnd::Reset);
    safe_closed: every_cut("/safe/1", ConnectionEnd::Orderly);
    safe_reset: every_cut("/safe/1", ConnectionEnd::Reset);
    stream_closed: every_cut("/stream/1", ConnectionEnd::Orderly);
    stream_reset: every_cut("/stream/1", ConnectionEnd::Reset);
    unresumable_stream_closed: every_cut_of_an_unresumable_stream(ConnectionEnd::Orderly);
    unresumable_stream_reset: every_cut_of_an_unresumable_stream(ConnectionEnd::Reset);
    once_after_an_interim_head: every_cut_in_style("/once/1", HeadStyle::Interim);
    stream_after_an_interim_head: every_cut_in_style("/stream/1", HeadStyle::Interim);
    once_with_line_feeds: every_cut_in_style("/once/1", HeadStyle::LineFeeds);
    stream_with_line_feeds: every_cut_in_style("/stream/1", HeadStyle::LineFeeds);
    in_the_status_line: requests_go_on_elsewhere_after("HTTP/1.1 200");
    after_the_status_line: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n");
    in_a_field_name: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\nKumquatpul");
    before_a_length: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: ");
    in_a_length: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: 1");
    in_a_coding: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nTransfer-Encoding: chu");
    after_a_field: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n");
    in_the_blank_line: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\r");
    after_an_interim_head: requests_go_on_elsewhere_after("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n");
    with_status_zero: requests_go_on_elsewhere_after("HTTP/1.1 000 X\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\nContent-Length: 5\r\n\r\nhello");
    in_a_chunk_size: requests_go_on_elsewhere_after("HTTP/1.1 200 OK\r\n\
        Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
        Transfer-Encoding: chunked\r\n\r\n1");
}
