//! A request counts as in flight until its answer is written.

use std::sync;
use std::time;

use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use async_std::task;
use kumquatpulley::connection::in_flight;
use kumquatpulley::process::readiness;

/// Far more than the buffers of the two sockets take.
const ANSWER_BYTES: usize = 1024 * 1024;

/// Send buffer of the server, in bytes.
const SMALL_BUFFER: usize = 16 * 1024;

/// Time after which the server has written what the sockets take.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(300);

async fn serve_one(listener: net::TcpListener, counter: sync::Arc<readiness::RequestCounter>) {
    let (stream, _peer) = listener.accept().await.expect("a connection");
    let buffer = socket2::SockRef::from(&stream).set_send_buffer_size(SMALL_BUFFER);
    buffer.expect("a socket option");
    let respond = |_request| {
        let guard = counter.enter();
        async move {
            let body = vec![b'x'; ANSWER_BYTES];
            let mut response = http_types::Response::new(200);
            response.set_body(in_flight::CountedBody::wrap(body.into(), guard));
            Ok(response)
        }
    };
    async_h1::accept(stream, respond).await.expect("an answer");
}

/// Guards against an exit that cuts answers, as a request counted until its answer began.
#[test]
fn request_whose_answer_is_not_taken_is_in_flight() {
    task::block_on(async {
        let counter = sync::Arc::new(readiness::RequestCounter::default());
        let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = task::spawn(serve_one(listener, sync::Arc::clone(&counter)));
        let client = net::TcpStream::connect(address).await;
        let mut client = client.expect("a connection");
        let buffer = socket2::SockRef::from(&client).set_recv_buffer_size(SMALL_BUFFER);
        buffer.expect("a socket option");
        let request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        client.write_all(request).await.expect("a connection");
        task::sleep(SETTLE_TIME).await;
        assert_eq!(counter.in_flight(), 1);
        let mut answer = Vec::new();
        let end = client.read_to_end(&mut answer).await;
        end.expect("an orderly end");
        server.await;
        assert_eq!(counter.in_flight(), 0);
        assert!(answer.ends_with(&vec![b'x'; ANSWER_BYTES]));
    });
}
