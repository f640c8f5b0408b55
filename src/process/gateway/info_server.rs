//! Serves readiness checks, lookups of router addresses, metrics and operator pages.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::future;
use async_std::net;
use stop_token::future::FutureExt as _;

use crate::connection::accept;
use crate::connection::h1::{body, head, sink, wire};
use crate::process::gateway::{node, status};

/// Longest wait for a request on an open connection.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The process's file descriptors divided by this are the limit for the connections of one listener.
/// The three listeners together take less than a tenth, and the rest remains for callers, endpoints,
/// peers and the store.
const DESCRIPTOR_DIVISOR: u64 = 32;

/// Maximum number of open connections of one listener.
const MAX_CONNECTIONS: usize = 256;

/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// How long callers may cache an address answer: short, so that a stopped router is not used for
/// long, and long enough to keep lookups cheap.
pub const ADDRESS_TTL: time::Duration = time::Duration::from_secs(2);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InfoRequest {
    /// Whether this router is ready.
    Ready,
    /// Addresses of the ready routers.
    Addresses,
    /// The metrics of this router.
    Metrics,
}

/// Who can reach a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InfoAudience {
    /// Callers and the platform.
    Callers,
    /// Operators, who may also read the status and the timeline.
    Operators,
}

/// Paths and the format of the address answer on one platform.
pub trait InfoDialect: std::fmt::Debug + Send + Sync {
    /// What a path with its query asks for; `None` for an unknown path.
    fn parse_request(&self, target: &str) -> Option<InfoRequest>;

    /// The body of an address answer, as JSON.
    fn address_body(&self, addresses: &[String], ttl: time::Duration) -> Vec<u8>;
}

/// Serves requests until `token` is cancelled.
pub async fn serve(
    (listener, audience): (net::TcpListener, InfoAudience),
    node: sync::Arc<node::GatewayNode>,
    dialect: sync::Arc<dyn InfoDialect>,
    token: stop_token::StopToken,
) {
    let serve = |stream| {
        let (node, dialect) = (sync::Arc::clone(&node), sync::Arc::clone(&dialect));
        let token = token.clone();
        async move {
            let serving = serve_one(stream, audience, &node, dialect.as_ref());
            // A request that is aborted when the process stops can be sent to another router.
            let _cancelled = serving.timeout_at(token).await;
        }
    };
    let max_connections = usize::try_from(node.settings.max_descriptors / DESCRIPTOR_DIVISOR);
    let max_connections = max_connections.map_or(MAX_CONNECTIONS, |max| max.min(MAX_CONNECTIONS));
    let count_refused = |_stream| node.metrics.count("info.connection_refused");
    accept::serve_connections(
        listener,
        max_connections.max(1),
        token.clone(),
        count_refused,
        serve,
    )
    .await;
}

async fn serve_one(
    stream: net::TcpStream,
    audience: InfoAudience,
    node: &node::GatewayNode,
    dialect: &dyn InfoDialect,
) {
    let mut wire = wire::BufferedWire::new(stream);
    loop {
        let request = future::timeout(IDLE_TIMEOUT, read_request(&mut wire)).await;
        let Ok(Some(head)) = request else {
            return;
        };
        let mut sink = sink::AnswerSink::new(wire.stream(), &head, head.keeps_connection());
        let page = match audience {
            InfoAudience::Operators => status::page(node, &head.target),
            InfoAudience::Callers => None,
        };
        let (status, kind, body) = page.map_or_else(
            || answer(node, dialect, &head.target),
            |page| (200, "application/json", page),
        );
        let mut headers = head::HeaderList::default();
        headers.push("Content-Type", kind);
        let response = head::ResponseHead { status, headers };
        if sink.send(&response, &body).await.is_err() || !sink.may_reuse() {
            return;
        }
    }
}

/// Reads the next request; discards its body, if any.
async fn read_request(wire: &mut wire::BufferedWire) -> Option<head::RequestHead> {
    loop {
        if let Some((head, length)) = head::parse_request(wire.buffered()).ok()? {
            wire.consume(length);
            let mut decoder = body::BodyDecoder::new(head.framing().ok()?);
            let mut discarded = Vec::new();
            while !decoder.is_complete() {
                wire.decode_buffered(&mut decoder, &mut discarded).ok()?;
                discarded.clear();
                if !decoder.is_complete() && wire.fill().await.ok()? == 0 {
                    return None;
                }
            }
            return Some(head);
        }
        if wire.buffered().len() > MAX_HEAD_BYTES || wire.fill().await.ok()? == 0 {
            return None;
        }
    }
}

fn answer(
    node: &node::GatewayNode,
    dialect: &dyn InfoDialect,
    target: &str,
) -> (u16, &'static str, Vec<u8>) {
    match dialect.parse_request(target) {
        Some(InfoRequest::Ready) if node.is_ready() => (200, "text/plain", b"ready\n".to_vec()),
        Some(InfoRequest::Ready) => (503, "text/plain", b"not ready\n".to_vec()),
        Some(InfoRequest::Addresses) => {
            let addresses = addresses(node);
            if addresses.is_empty() {
                return (
                    503,
                    "text/plain",
                    b"no router is ready; ask again\n".to_vec(),
                );
            }
            let ttl = ADDRESS_TTL.min(node.settings.bounds.max_address_ttl);
            let body = dialect.address_body(&addresses, ttl);
            (200, "application/json", body)
        }
        Some(InfoRequest::Metrics) => (200, "text/plain", metrics_text(node).into_bytes()),
        None => (404, "text/plain", b"no such page\n".to_vec()),
    }
}

/// Addresses of ready routers in random order.
fn addresses(node: &node::GatewayNode) -> Vec<String> {
    let mut others = node.members.ready_members();
    others.retain(|member| member.router != node.settings.router);
    let addresses = others.into_iter().map(|member| member.caller_address);
    let mut addresses: Vec<String> = addresses.collect();
    // The member list may not show this router as ready yet, so its state is read directly.
    if node.is_ready() {
        addresses.push(node.settings.caller_listen.to_string());
    }
    fastrand::shuffle(&mut addresses);
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// All metrics as Prometheus text, after an update of the gauges.
fn metrics_text(node: &node::GatewayNode) -> String {
    let metrics = &node.metrics;
    let age = node.version_age().unwrap_or_default();
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    metrics.gauge("version.age_ms", age);
    metrics.gauge("version.number", node.version_number().unwrap_or_default());
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    metrics.gauge("members.known", count(node.gossip.members().len()));
    metrics.gauge("members.ready", count(node.members.ready_members().len()));
    let (known, open) = node.fleet.counts();
    metrics.gauge("endpoints.known", count(known));
    metrics.gauge("endpoints.open", count(open));
    let in_flight = node.in_flight.load(atomic::Ordering::Relaxed);
    metrics.gauge("requests.in_flight", in_flight);
    metrics.gauge("requests.body_bytes", count(node.relay.memory.held()));
    metrics.text()
}
