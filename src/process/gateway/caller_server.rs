//! Serves callers' connections: reads complete requests, answers them and keeps connections alive.

use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::future;
use async_std::net;
use futures::future as futures_future;
use stop_token::future::FutureExt as _;

use crate::connection::accept;
use crate::connection::h1::{head, sink, wire};
use crate::process::gateway::{node, request_reader};
use crate::request::verdict;

/// The process's file descriptors divided by this are the limit for callers' connections: each may
/// need two more descriptors towards endpoints.
const CALLER_DESCRIPTOR_DIVISOR: u64 = 3;

/// Limit on the bytes that are read and discarded after the last answer on a connection.
const MAX_DISCARD_BYTES: usize = 256 * 1024;

/// Longest time to wait for a caller to close its connection after the last answer on it.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// What becomes of a connection after an answer.
enum ConnectionStep {
    /// The next request is read.
    Reuse,
    /// The caller is given time to take the answer.
    Linger,
    /// Closed at once: the caller has gone, or must not take an orderly end for that of the answer.
    Drop,
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
    let Ok(peer) = stream.peer_addr() else {
        return;
    };
    let mut wire = wire::BufferedWire::new(stream);
    loop {
        if wire.buffered().is_empty() {
            wire.free_empty_buffer();
            let beginning = begins_request(&mut wire, node);
            if beginning.timeout_at(closing.clone()).await != Ok(true) {
                return;
            }
        }
        // Counted before the request is complete, so that the process does not exit in between.
        let _in_flight = node.start_request();
        // The configuration may have changed while the connection was idle.
        let limits = node.limits();
        let memory = sync::Arc::clone(&node.relay.memory);
        let reservation = memory.open(peer.ip(), time::Instant::now());
        let reading = request_reader::read(&mut wire, &reservation, &limits).await;
        match reading {
            Ok(request) => match answer(&mut wire, node, (request, peer.ip())).await {
                ConnectionStep::Reuse => {}
                ConnectionStep::Linger => return linger(wire).await,
                ConnectionStep::Drop => return,
            },
            Err(request_reader::ReadFailure::Closed) => return,
            Err(request_reader::ReadFailure::Refused(refusal)) => {
                request_reader::record_refusal(node, &reservation, &refusal, peer.ip());
                wire.free_buffer();
                drop(reservation);
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
    (request, caller): (request_reader::ReadRequest, std_net::IpAddr),
) -> ConnectionStep {
    let is_draining = node.is_draining.load(atomic::Ordering::SeqCst);
    let is_kept_alive = request.head.keeps_connection() && !is_draining;
    let mut sink = sink::AnswerSink::new(wire.stream(), &request.head, is_kept_alive);
    let responding = Box::pin(node.respond(request.head, (request.body, caller), &mut sink));
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
    wire.free_buffer();
    if wire.stream().shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    let discarding = async {
        let mut discarded = 0;
        while discarded < MAX_DISCARD_BYTES {
            match wire.discard().await {
                Ok(count @ 1..) => discarded += count,
                _ => return,
            }
        }
    };
    // A caller that still sends after the timeout may lose the end of the answer.
    let _discarded = future::timeout(LINGER_TIMEOUT, discarding).await;
}
