//! Head of a call as a plain service receives it.

use std::sync;
use std::time;

use async_std::io::ReadExt as _;
use async_std::net;
use async_std::task;
use kumquatpulley::connection::service;

use crate::fakes::network;

/// Guards against a bearer key, or another field of the caller, that is passed on to a service.
#[test]
fn head_of_a_call_has_no_field_of_the_caller_but_type_and_key() {
    let head = task::block_on(async {
        let listener = net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let terms = service::SendTerms {
            send_before: time::Instant::now() + time::Duration::from_secs(1),
            gate: sync::Arc::new(service::OpenGate),
            connect_limit: time::Duration::from_secs(1),
            answer_limit: time::Duration::from_millis(200),
            max_answer_bytes: 1024,
        };
        let call = network::reserve("k");
        let calling = task::spawn(async move { service::exchange(&address, &call, &terms).await });
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"40 covers") {
            let mut chunk = [0_u8; 1024];
            let count = stream.read(&mut chunk).await.expect("a request");
            assert!(count > 0, "{bytes:?}");
            bytes.extend_from_slice(&chunk[..count]);
        }
        drop(stream);
        calling.await.expect_err("a closed connection");
        String::from_utf8(bytes).expect("text")
    });
    let (head, _body) = head.split_once("\r\n\r\n").expect("a whole head");
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut names: Vec<String> = fields
        .map(|(name, _value)| name.to_ascii_lowercase())
        .collect();
    names.sort();
    expect_test::expect![[r"
        connection
        content-length
        content-type
        host
        idempotency-key"]]
    .assert_eq(&names.join("\n"));
}
