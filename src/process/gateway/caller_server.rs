//! Serves callers' connections: reads complete requests, answers them and keeps connections alive.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::future;
use async_std::net;
use futures::future as futures_future;
use stop_token::future::FutureExt as _;

use crate::connection::accept;
use crate::connection::h1::{body, head, sink, wire};
use crate::process::gateway::node;
use crate::request::verdict;
use crate::version::traffic;

/// The process's memory divided by this is the limit for the request bodies held in memory.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// The process's file descriptors divided by this are the limit for callers' connections: each may
/// need two more descriptors towards endpoints.
const CALLER_DESCRIPTOR_DIVISOR: u64 = 3;

/// Limit on the bytes that are read and discarded after the last answer on a connection.
const MAX_DISCARD_BYTES: usize = 256 * 1024;

/// Longest time to wait for a caller to close its connection after the last answer on it.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// `Retry-After` for callers whose request body exceeds the memory that is left.
const MEMORY_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// A request that was read completely.
struct ReadRequest {
    head: head::RequestHead,
    body: Vec<u8>,
}

/// What becomes of a connection after an answer.
enum ConnectionStep {
    /// The next request is read.
    Reuse,
    /// The caller is given time to take the answer.
    Linger,
    /// Closed at once: the caller has gone, or must not take an orderly end for that of the answer.
    Drop,
}

/// Why no request was read.
enum ReadFailure {
    /// The caller closed the connection or exceeded the idle timeout.
    Closed,
    /// The request is refused, with this response to the caller.
    Refused(verdict::RequestRefusal),
}

/// Serves connections until `closing` is cancelled; those with a request in flight answer it first.
pub async fn serve(
    listener: net::TcpListener,
    node: sync::Arc<node::GatewayNode>,
    closing: stop_token::StopToken,
) {
    let max_connections =
        usize::try_from(node.settings.max_descriptors / CALLER_DESCRIPTOR_DIVISOR)
            .unwrap_or(usize::MAX);
    let count_refused = |_stream| node.metrics.count("caller.connection_refused");
    let serve = |stream| {
        let (node, closing) = (sync::Arc::clone(&node), closing.clone());
        async move { serve_one(stream, &node, closing).await }
    };
    accept::serve_connections(
        listener,
        max_connections,
        closing.clone(),
        count_refused,
        serve,
    )
    .await;
}

async fn serve_one(
    stream: net::TcpStream,
    node: &node::GatewayNode,
    closing: stop_token::StopToken,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut wire = wire::BufferedWire::new(stream);
    loop {
        if wire.buffered().is_empty() {
            let beginning = begins_request(&mut wire, node);
            if beginning.timeout_at(closing.clone()).await != Ok(true) {
                return;
            }
        }
        // Counted before the request is complete, so that the process does not exit in between.
        let _in_flight = node.start_request();
        // The configuration may have changed while the connection was idle.
        let limits = node.limits();
        match read_request(&mut wire, node, &limits).await {
            Ok(request) => match answer(&mut wire, node, request).await {
                ConnectionStep::Reuse => {}
                ConnectionStep::Linger => return linger(wire).await,
                ConnectionStep::Drop => return,
            },
            Err(ReadFailure::Closed) => return,
            Err(ReadFailure::Refused(refusal)) => {
                refuse(&wire, node, &refusal).await;
                return linger(wire).await;
            }
        }
    }
}

/// Answers one request.
async fn answer(
    wire: &mut wire::BufferedWire,
    node: &node::GatewayNode,
    request: ReadRequest,
) -> ConnectionStep {
    let _body_bytes = BodyBytesGuard::new(&node.body_bytes, request.body.len());
    let is_draining = node.is_draining.load(atomic::Ordering::SeqCst);
    let is_kept_alive = request.head.keeps_connection() && !is_draining;
    let mut sink = sink::AnswerSink::new(wire.stream(), &request.head, is_kept_alive);
    let responding = Box::pin(node.respond(request.head, request.body, &mut sink));
    let closed = Box::pin(wire.closed());
    if let futures_future::Either::Right(_) = futures_future::select(responding, closed).await {
        // Dropping the relay closes its connections, so that endpoints stop working on the request.
        node.metrics.count("caller.left");
        return ConnectionStep::Drop;
    }
    if sink.may_reuse() {
        return ConnectionStep::Reuse;
    }
    if sink.must_reset() {
        return ConnectionStep::Drop;
    }
    ConnectionStep::Linger
}

/// Whether the caller sends a byte of a request before the connection has been idle for as long as
/// the newest configuration allows.
async fn begins_request(wire: &mut wire::BufferedWire, node: &node::GatewayNode) -> bool {
    let began = time::Instant::now();
    loop {
        let left = node.limits().idle_timeout.saturating_sub(began.elapsed());
        if let Ok(filled) = future::timeout(left, wire.fill()).await {
            return matches!(filled, Ok(1..));
        }
        if began.elapsed() >= node.limits().idle_timeout {
            return false;
        }
    }
}

async fn read_request(
    wire: &mut wire::BufferedWire,
    node: &node::GatewayNode,
    limits: &traffic::CallerLimits,
) -> Result<ReadRequest, ReadFailure> {
    let reading = read_head(wire, limits);
    let head = future::timeout(limits.head_timeout, reading).await;
    let head = head.unwrap_or_else(|_elapsed| Err(ReadFailure::Refused(request_timeout())))?;
    let framing = head.framing();
    let framing = framing.map_err(|error| ReadFailure::Refused(bad_head(error)))?;
    if let head::BodyFraming::Length(length) = framing {
        check_length(usize::try_from(length).unwrap_or(usize::MAX), limits)?;
        check_memory(node, length)?;
    }
    let body = read_body(wire, &head, framing, limits).await?;
    Ok(ReadRequest { head, body })
}

async fn read_head(
    wire: &mut wire::BufferedWire,
    limits: &traffic::CallerLimits,
) -> Result<head::RequestHead, ReadFailure> {
    loop {
        let parsed = head::parse_request(wire.buffered());
        let parsed = parsed.map_err(|error| ReadFailure::Refused(bad_head(error)))?;
        if let Some((head, length)) = parsed {
            if length > limits.head_bytes {
                return Err(ReadFailure::Refused(large_head()));
            }
            wire.consume(length);
            return Ok(head);
        }
        if wire.buffered().len() > limits.head_bytes {
            return Err(ReadFailure::Refused(large_head()));
        }
        if matches!(wire.fill().await, Ok(0) | Err(_)) {
            return Err(ReadFailure::Closed);
        }
    }
}

async fn read_body(
    wire: &mut wire::BufferedWire,
    head: &head::RequestHead,
    framing: head::BodyFraming,
    limits: &traffic::CallerLimits,
) -> Result<Vec<u8>, ReadFailure> {
    let mut decoder = body::BodyDecoder::new(framing);
    let mut body = Vec::new();
    if head.headers.has_token("expect", "100-continue") && wire.buffered().is_empty() {
        let written = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_gone| ReadFailure::Closed)?;
    }
    loop {
        let result = wire.decode_buffered(&mut decoder, &mut body);
        result.map_err(|_malformed| ReadFailure::Refused(bad_body()))?;
        check_length(body.len(), limits)?;
        if decoder.is_complete() {
            return Ok(body);
        }
        match future::timeout(limits.head_timeout, wire.fill()).await {
            Ok(Ok(1..)) => {}
            Ok(_closed) => return Err(ReadFailure::Closed),
            Err(_elapsed) => return Err(ReadFailure::Refused(request_timeout())),
        }
    }
}

fn check_length(length: usize, limits: &traffic::CallerLimits) -> Result<(), ReadFailure> {
    if length <= limits.body_bytes {
        return Ok(());
    }
    let message = format!(
        "the request body is larger than {} bytes; shorten it",
        limits.body_bytes
    );
    let code = verdict::RefusalCode::BodyTooLarge;
    let refusal = verdict::RequestRefusal::not_run(413, code, message);
    Err(ReadFailure::Refused(refusal))
}

fn check_memory(node: &node::GatewayNode, length: u64) -> Result<(), ReadFailure> {
    let held = node.body_bytes.load(atomic::Ordering::Relaxed);
    if held + length <= node.settings.memory_bytes / BODY_MEMORY_DIVISOR {
        return Ok(());
    }
    let message = "the router has no memory left for the request body; use another address";
    let code = verdict::RefusalCode::Overloaded;
    let refusal =
        verdict::RequestRefusal::not_run(503, code, message).retry_after(MEMORY_RETRY_DELAY);
    Err(ReadFailure::Refused(refusal))
}

fn bad_head(error: head::HeadError) -> verdict::RequestRefusal {
    let status = if error == head::HeadError::TooManyFields {
        431
    } else {
        400
    };
    verdict::RequestRefusal::not_run(status, verdict::RefusalCode::BadRequest, error.to_string())
}

fn large_head() -> verdict::RequestRefusal {
    let message = "the request head is too large; send fewer or shorter header fields";
    verdict::RequestRefusal::not_run(431, verdict::RefusalCode::BadRequest, message)
}

fn request_timeout() -> verdict::RequestRefusal {
    let message = "the request did not arrive in time; send it without pauses";
    verdict::RequestRefusal::not_run(408, verdict::RefusalCode::BadRequest, message)
}

fn bad_body() -> verdict::RequestRefusal {
    let message = "the chunked body is malformed; send valid chunks or a Content-Length";
    verdict::RequestRefusal::not_run(400, verdict::RefusalCode::BadRequest, message)
}

async fn refuse(
    wire: &wire::BufferedWire,
    node: &node::GatewayNode,
    refusal: &verdict::RequestRefusal,
) {
    let head = head::RequestHead {
        method: "GET".to_owned(),
        target: "/".to_owned(),
        is_http11: true,
        headers: head::HeaderList::default(),
    };
    let mut sink = sink::AnswerSink::new(wire.stream(), &head, false);
    node.refuse(&mut sink, refusal, None).await;
}

/// Waits until the caller has closed the connection, and discards what it still sends. Closing a
/// socket with unread bytes resets the connection, and the caller loses what it has not received.
async fn linger(mut wire: wire::BufferedWire) {
    if wire.stream().shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    let discarding = async {
        let mut discarded = 0;
        while discarded < MAX_DISCARD_BYTES {
            wire.consume(wire.buffered().len());
            match wire.fill().await {
                Ok(count @ 1..) => discarded += count,
                _ => return,
            }
        }
    };
    // A caller that still sends after the timeout may lose the end of the answer.
    let _discarded = future::timeout(LINGER_TIMEOUT, discarding).await;
}

/// Counts the bytes of a body as held until it is dropped.
struct BodyBytesGuard<'a> {
    held: &'a atomic::AtomicU64,
    count: u64,
}

impl<'a> BodyBytesGuard<'a> {
    fn new(held: &'a atomic::AtomicU64, count: usize) -> Self {
        let count = count as u64;
        held.fetch_add(count, atomic::Ordering::Relaxed);
        Self { held, count }
    }
}

impl Drop for BodyBytesGuard<'_> {
    fn drop(&mut self) {
        self.held.fetch_sub(self.count, atomic::Ordering::Relaxed);
    }
}
