//! Errors of platform calls distinguish calls without effect from calls of unknown effect.

use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform::PlatformService as _;
use kumquatpulley::connection::platform_client;
use kumquatpulley::connection::platform_wire;

/// How the server answers its only connection.
enum ServerAnswer {
    Reply(&'static str, &'static str),
    CloseAfterRequest,
    Silence,
}

/// Starts a server that accepts one connection; returns its address.
fn serve(answer: ServerAnswer) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the port").to_string();
    thread::spawn(move || answer_one(&listener, &answer));
    address
}

/// Reads a whole request; closing with unread bytes would reset the connection and lose the answer.
fn read_request(stream: &mut net::TcpStream) -> io::Result<()> {
    let mut reader = io::BufReader::new(stream);
    let mut length = 0;
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        let (name, value) = line.split_once(':').unwrap_or_default();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().expect("a length");
        }
        line.clear();
    }
    io::copy(&mut reader.take(length), &mut io::sink())?;
    Ok(())
}

fn answer_one(listener: &net::TcpListener, answer: &ServerAnswer) -> io::Result<()> {
    let (mut stream, _peer) = listener.accept()?;
    read_request(&mut stream)?;
    match answer {
        ServerAnswer::Reply(status, body) => {
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        }
        ServerAnswer::CloseAfterRequest => Ok(()),
        ServerAnswer::Silence => {
            thread::sleep(2 * platform_client::WRITE_LIMIT);
            Ok(())
        }
    }
}

fn write(address: String) -> platform::Result<platform::WriteOutcome> {
    let write = platform_wire::RowWrite {
        key: "row".to_owned(),
        if_version: Some(0),
        value: Some("value".to_owned()),
    };
    task::block_on(platform_client::PlatformClient::new(address).write(vec![write]))
}

fn read(address: String) -> platform::Result<Vec<Option<platform_wire::TableRow>>> {
    task::block_on(platform_client::PlatformClient::new(address).read(vec!["row".to_owned()]))
}

fn is_unreachable<T>(outcome: &platform::Result<T>) -> bool {
    matches!(outcome, Err(platform::PlatformError::Unreachable(_)))
}

fn is_unknown<T>(outcome: &platform::Result<T>) -> bool {
    matches!(outcome, Err(platform::PlatformError::Unknown(_)))
}

#[test]
fn a_write_without_a_connection_had_no_effect() {
    // A bound socket that does not listen refuses connections and reserves its port.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    assert!(is_unreachable(&write(address.to_string())));
}

#[test]
fn a_write_refused_with_503_had_no_effect() {
    let address = serve(ServerAnswer::Reply("503 Service Unavailable", ""));
    assert!(is_unreachable(&write(address)));
}

#[test]
fn a_write_refused_with_429_had_no_effect() {
    let address = serve(ServerAnswer::Reply("429 Too Many Requests", ""));
    assert!(is_unreachable(&write(address)));
}

#[test]
fn a_write_answered_with_500_may_have_taken_effect() {
    let address = serve(ServerAnswer::Reply("500 Internal Server Error", ""));
    assert!(is_unknown(&write(address)));
}

#[test]
fn a_write_whose_connection_closed_may_have_taken_effect() {
    assert!(is_unknown(&write(serve(ServerAnswer::CloseAfterRequest))));
}

#[test]
fn a_write_with_an_unreadable_answer_may_have_taken_effect() {
    assert!(is_unknown(&write(serve(ServerAnswer::Reply(
        "200 OK", "{"
    )))));
}

#[test]
fn a_write_without_an_answer_may_have_taken_effect() {
    let start = time::Instant::now();
    assert!(is_unknown(&write(serve(ServerAnswer::Silence))));
    assert!(start.elapsed() < platform_client::WRITE_LIMIT + time::Duration::from_secs(1));
}

#[test]
fn an_applied_write_returns_the_row_versions() {
    let address = serve(ServerAnswer::Reply("200 OK", r#"{"versions":[1]}"#));
    assert_eq!(write(address), Ok(platform::WriteOutcome::Applied(vec![1])));
}

#[test]
fn a_write_conflict_returns_the_current_row() {
    let body = r#"{"rows":[{"key":"row","version":4,"value":"other"}]}"#;
    let row = platform_wire::TableRow {
        key: "row".to_owned(),
        version: 4,
        value: "other".to_owned(),
    };
    let outcome = write(serve(ServerAnswer::Reply("409 Conflict", body)));
    assert_eq!(
        outcome,
        Ok(platform::WriteOutcome::Conflict(vec![Some(row)]))
    );
}

#[test]
fn a_read_without_an_answer_had_no_effect() {
    assert!(is_unreachable(&read(serve(
        ServerAnswer::CloseAfterRequest
    ))));
}

#[test]
fn a_read_with_too_few_rows_fails() {
    let address = serve(ServerAnswer::Reply("200 OK", r#"{"rows":[]}"#));
    assert!(is_unreachable(&read(address)));
}

#[test]
fn a_read_returns_none_for_missing_rows() {
    let address = serve(ServerAnswer::Reply("200 OK", r#"{"rows":[null]}"#));
    assert_eq!(read(address), Ok(vec![None]));
}
