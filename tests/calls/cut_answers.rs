//! Answers of a service that end before their last byte.

use std::sync;
use std::time;

use async_std::io::{ReadExt as _, WriteExt as _};
use async_std::net;
use async_std::task;
use kumquatpulley::connection::service;

use crate::fakes::network;

/// Longest time for an answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(500);

const WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello caller";
const IN_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n6\r\ncaller\r\n0\r\n\r\n";

/// Sends a call to a service that answers with `text` and closes the connection.
async fn exchange(text: &'static str) -> service::Result<service::ServiceAnswer> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let serving = task::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let count = stream.read(&mut [0_u8; 4096]).await.expect("a request");
        assert!(count > 0);
        stream.write_all(text.as_bytes()).await.expect("sent");
    });
    let terms = service::SendTerms {
        send_before: time::Instant::now() + time::Duration::from_secs(1),
        gate: sync::Arc::new(service::OpenGate),
        connect_limit: time::Duration::from_secs(1),
        answer_limit: ANSWER_LIMIT,
        max_answer_bytes: 1024,
    };
    let answer = service::exchange(&address, &network::reserve("k"), &terms).await;
    serving.await;
    answer
}

/// Guards against an answer with a short body that counts as whole. The bytes behind the last
/// chunk add nothing to the body.
fn check_every_cut(text: &'static str) {
    task::block_on(async {
        for cut in 0..text.len() {
            let is_body_whole = text[..cut].contains("\r\n0\r\n");
            match exchange(&text[..cut]).await {
                Ok(answer) => {
                    assert!(is_body_whole, "cut {cut}: {answer:?}");
                    assert_eq!(answer.body.to_vec(), b"hello caller", "cut {cut}");
                }
                Err(error) => assert!(error.bytes_sent > 0, "cut {cut}: {error:?}"),
            }
        }
        let whole = exchange(text).await.expect("a whole answer");
        assert_eq!(whole.body.to_vec(), b"hello caller");
    });
}

#[test]
fn cut_answer_with_a_length_is_not_whole() {
    check_every_cut(WITH_LENGTH);
}

#[test]
fn cut_answer_in_chunks_is_not_whole() {
    check_every_cut(IN_CHUNKS);
}
