//! Refuses connections without reading a request. At most a given number are kept open meanwhile.

use std::net as std_net;
use std::sync;
use std::time;

use async_std::future as async_future;
use async_std::io;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use async_std::task;
use futures::FutureExt as _;

use crate::connection::refusal;
use crate::process::view;
use crate::request::verdict;

/// Most bytes of a refused request that are read and discarded.
const MAX_DISCARD_BYTES: u64 = 1024 * 1024;

/// Longest time spent on reading and discarding a refused request.
pub const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// `Retry-After` of a connection refused because of the connection limit.
const OVERLOADED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// The connection limit divided by this is the number of refused connections that are kept open for
/// [`DISCARD_TIMEOUT`], so that callers receive the refusal.
const REFUSED_DIVISOR: usize = 8;

/// Refuses connections over the connection limit.
#[derive(Debug)]
pub struct ConnectionRefuser {
    /// A clone for each refused connection that is open.
    open: sync::Arc<()>,
    max_open: usize,
    counters: sync::Arc<dyn view::CounterSink>,
}

impl ConnectionRefuser {
    /// Refuser beside at most `max_connections` connections that are served.
    pub fn new(max_connections: usize, counters: sync::Arc<dyn view::CounterSink>) -> Self {
        Self {
            open: sync::Arc::default(),
            max_open: (max_connections / REFUSED_DIVISOR).max(1),
            counters,
        }
    }

    /// Sends a refusal and closes the connection, which keeps `slot` until then. While too many refused
    /// connections are open, it is closed at once, and the caller may lose the refusal.
    pub fn refuse<Slot: Send + 'static>(&self, stream: net::TcpStream, slot: Slot) {
        self.counters.count("caller.connection_refused");
        if sync::Arc::strong_count(&self.open) > self.max_open {
            self.counters.count("caller.connection_dropped");
            let text = response_text(&too_many_connections());
            // A new connection has room for the refusal, so that writing it does not wait.
            let _written = (&stream).write_all(text.as_bytes()).now_or_never();
            return;
        }
        let open = sync::Arc::clone(&self.open);
        task::spawn(async move {
            refuse(stream, &too_many_connections()).await;
            drop((open, slot));
        });
    }
}

fn too_many_connections() -> verdict::RequestRefusal {
    let message = "the router has reached its connection limit; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::Overloaded, message)
        .retry_after(OVERLOADED_RETRY_AFTER)
}

fn response_text(refusal: &verdict::RequestRefusal) -> String {
    let body = refusal::body(refusal).to_string();
    let retry = refusal
        .retry_after_seconds()
        .map_or_else(String::new, |seconds| format!("retry-after: {seconds}\r\n"));
    format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{}: {}\r\n\
         {retry}connection: close\r\n\r\n{body}",
        refusal.status,
        body.len(),
        verdict::VERDICT_HEADER,
        refusal.verdict,
    )
}

/// Sends a refusal without reading a request, then closes the connection.
pub async fn refuse(mut stream: net::TcpStream, refusal: &verdict::RequestRefusal) {
    let text = response_text(refusal);
    if stream.write_all(text.as_bytes()).await.is_err() {
        // The peer has closed the connection.
        return;
    }
    discard_request(stream).await;
}

/// Reads and discards what the peer still sends. Closing a socket with unread bytes resets the
/// connection, and the peer might lose the refusal.
async fn discard_request(stream: net::TcpStream) {
    if stream.shutdown(std_net::Shutdown::Write).is_err() {
        return;
    }
    let discarding = io::copy(stream.take(MAX_DISCARD_BYTES), io::sink());
    // Bytes that arrive after the timeout are not read.
    let _discarded = async_future::timeout(DISCARD_TIMEOUT, discarding).await;
}
