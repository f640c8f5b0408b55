//! One attempt at an endpoint, on a new connection.
//!
//! A pooled connection may be dead, and its next response may belong to an earlier request. A new
//! connection costs one round trip and rules out both.

use std::fmt;
use std::net as std_net;
use std::sync;
use std::time;

use async_std::future;
use async_std::net;

use crate::connection::h1::{body, head, wire};
use crate::process::limits::byte_budget;
use crate::request::relay::{dialect, report, response_memory};

/// Outcome of a step of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Connect timeout for endpoints; several round trips within a region.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Timeout for an engine's report, which occupies no slot there.
pub const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Timeout for a probe of an endpoint that closed a connection; a few round trips within a region.
const LIVENESS_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time from the first to the last byte of a head. A head fits into a few packets, and a lost
/// packet is retransmitted within a second.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Maximum number of interim (1xx) heads before the final one.
const MAX_INTERIM_HEADS: u32 = 8;

/// Maximum size of a buffered response body.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Size at which a buffered body continues in a new chunk while it is read.
const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum size of the response to a control call; a report lists its runs in a few kilobytes.
const MAX_CONTROL_RESPONSE_BYTES: usize = 256 * 1024;

/// Why an attempt has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection; no byte of the request was sent.
    Unsent,
    /// The endpoint closed or reset the connection before the response was complete; the request
    /// may have run.
    Closed,
    /// The response is malformed, too large or too slow; the request may have run.
    Broken,
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unsent => "cannot connect to the endpoint; try another one",
            Self::Closed => {
                "the endpoint closed the connection before a complete response; the request may have run"
            }
            Self::Broken => {
                "the connection ended before a valid response; the request may have run"
            }
        })
    }
}

impl std::error::Error for AttemptError {}

/// A request that was sent and whose response is not complete.
#[derive(Debug)]
pub struct OpenAttempt {
    wire: wire::BufferedWire,
    /// Whether the whole request was written. A write that fails takes the error of a reset, and
    /// the next read then sees an orderly end.
    is_written: bool,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status and headers of the final response.
    pub head: head::ResponseHead,
    /// Body without transfer encoding.
    pub body: Vec<u8>,
    /// Memory that the body takes; `None` if it is not accounted for.
    pub reservation: Option<sync::Arc<byte_budget::ByteReservation>>,
}

/// Connects to `address` and sends a request.
///
/// # Errors
/// [`AttemptError::Unsent`] when there is no connection.
pub async fn send(address: std_net::SocketAddr, request: &[u8]) -> Result<OpenAttempt> {
    send_parts(address, &[request]).await
}

/// Connects to `address` and sends the parts of a request, in one write as far as the socket takes
/// them.
///
/// # Errors
/// [`AttemptError::Unsent`] when there is no connection.
pub async fn send_parts(address: std_net::SocketAddr, request: &[&[u8]]) -> Result<OpenAttempt> {
    let connecting = net::TcpStream::connect(address);
    let connected = future::timeout(CONNECT_TIMEOUT, connecting).await;
    let Ok(Ok(stream)) = connected else {
        return Err(AttemptError::Unsent);
    };
    if stream.set_nodelay(true).is_err() {
        return Err(AttemptError::Unsent);
    }
    let mut wire = wire::BufferedWire::new(stream);
    // An endpoint may respond early and stop reading the request, so the response is read even
    // when the write fails.
    let is_written = wire.write_parts(request).await.is_ok();
    Ok(OpenAttempt { wire, is_written })
}

impl OpenAttempt {
    /// Reads the head of the final response.
    ///
    /// # Errors
    /// [`AttemptError::Closed`] when the connection ends first; [`AttemptError::Broken`] for a
    /// malformed head, also one that takes longer than [`HEAD_TIMEOUT`] from its first byte.
    pub async fn head(&mut self) -> Result<head::ResponseHead> {
        if self.wire.buffered().is_empty() && self.fill().await? == 0 {
            return Err(AttemptError::Closed);
        }
        let mut interim = 0;
        loop {
            let reading = future::timeout(HEAD_TIMEOUT, self.next_head());
            let head = reading.await.map_err(|_elapsed| AttemptError::Broken)??;
            if head.status >= 200 {
                return Ok(head);
            }
            interim += 1;
            if interim > MAX_INTERIM_HEADS {
                return Err(AttemptError::Broken);
            }
            // The final head may follow an interim one seconds later, so its timeout starts at its
            // first byte.
            if self.wire.buffered().is_empty() && self.fill().await? == 0 {
                return Err(AttemptError::Closed);
            }
        }
    }

    async fn next_head(&mut self) -> Result<head::ResponseHead> {
        loop {
            let parsed = head::parse_response(self.wire.buffered());
            let parsed = parsed.map_err(|_malformed| AttemptError::Broken)?;
            if let Some((head, length)) = parsed {
                self.wire.consume(length);
                return Ok(head);
            }
            if self.wire.buffered().len() > MAX_HEAD_BYTES {
                return Err(AttemptError::Broken);
            }
            if self.fill().await? == 0 {
                return Err(AttemptError::Closed);
            }
        }
    }

    /// Buffers the rest of the response, reserving its size in `memory`.
    ///
    /// # Errors
    /// [`AttemptError::Closed`] when the body ends early; [`AttemptError::Broken`] when it is
    /// malformed, exceeds [`MAX_RESPONSE_BYTES`] or does not fit into `memory`.
    pub async fn read_whole(
        &mut self,
        method: &str,
        head: head::ResponseHead,
        memory: &response_memory::ResponseMemory,
    ) -> Result<FullResponse> {
        let framing = head.framing(method);
        let framing = framing.map_err(|_ambiguous| AttemptError::Broken)?;
        if let head::BodyFraming::Length(length) = framing
            && length > MAX_RESPONSE_BYTES as u64
        {
            return Err(too_large(length));
        }
        let mut decoder = body::BodyDecoder::new(framing);
        let reservation = memory.reserve().map_err(|_evicted| AttemptError::Broken)?;
        let mut reserved = 0;
        // Reads into chunks, because one growing buffer takes several times its size while it is
        // copied.
        let mut chunks = Vec::new();
        let (mut chunk, mut total, mut allocated) = (Vec::new(), 0, 0);
        while self.read_body(&mut decoder, &mut chunk).await? {
            let read = total + chunk.len();
            let needed = (allocated + chunk.capacity()).saturating_sub(reserved);
            if read > MAX_RESPONSE_BYTES || reservation.grow(needed).await.is_err() {
                return Err(too_large(read as u64));
            }
            reserved += needed;
            if chunk.len() >= CHUNK_BYTES {
                total = read;
                allocated += chunk.capacity();
                let next = Vec::with_capacity(CHUNK_BYTES + wire::READ_BYTES);
                chunks.push(std::mem::replace(&mut chunk, next));
            }
        }
        if !chunks.is_empty() {
            chunks.push(chunk);
            chunk = assemble(chunks);
        }
        Ok(FullResponse {
            head,
            body: chunk,
            reservation: Some(sync::Arc::new(reservation)),
        })
    }

    /// Reads more of a body into `output`; returns `false` when it is complete.
    ///
    /// # Errors
    /// [`AttemptError::Broken`] when the body is malformed, [`AttemptError::Closed`] when it ends
    /// early or may have been reset.
    pub async fn read_body(
        &mut self,
        decoder: &mut body::BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<bool> {
        let old_length = output.len();
        let result = self.wire.decode_buffered(decoder, output);
        result.map_err(|_malformed| AttemptError::Broken)?;
        if decoder.is_complete() {
            return Ok(false);
        }
        if output.len() > old_length {
            return Ok(true);
        }
        if self.fill().await? == 0 {
            if decoder.ends_with_connection() && self.is_written {
                return Ok(false);
            }
            return Err(AttemptError::Closed);
        }
        let result = self.wire.decode_buffered(decoder, output);
        result.map_err(|_malformed| AttemptError::Broken)?;
        Ok(!decoder.is_complete())
    }

    async fn fill(&mut self) -> Result<usize> {
        let filled = self.wire.fill().await;
        filled.map_err(|_reset| AttemptError::Closed)
    }
}

/// Joins the chunks; each is freed once it is copied.
fn assemble(chunks: Vec<Vec<u8>>) -> Vec<u8> {
    let mut whole = Vec::with_capacity(chunks.iter().map(Vec::len).sum());
    for chunk in chunks {
        whole.extend_from_slice(&chunk);
    }
    whole
}

fn too_large(bytes: u64) -> AttemptError {
    log::warn!(bytes; "answer is too large for this router; given up");
    AttemptError::Broken
}

/// Fetches the report of the engine at `address`; `None` when it fails or exceeds `timeout`.
pub async fn report(
    address: std_net::SocketAddr,
    dialect: &dyn dialect::RequestDialect,
    timeout: time::Duration,
) -> Option<report::EngineReport> {
    let head = control_head("GET", dialect.report_path(), address);
    let response = control_call(address, &head, &[], timeout).await?;
    dialect.report(&response)
}

/// Whether the engine at `address` answers a probe within [`LIVENESS_TIMEOUT`].
pub async fn is_alive(address: std_net::SocketAddr, dialect: &dyn dialect::RequestDialect) -> bool {
    report(address, dialect, LIVENESS_TIMEOUT).await.is_some()
}

/// How an endpoint that closed a connection reacts to a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answers, or keeps the probe waiting as a busy endpoint does.
    Alive,
    /// It accepts the connection and closes it without an answer.
    Closes,
    /// It refuses the connection.
    Refuses,
}

/// Probes the endpoint at `address` with a request for `path`, for at most [`LIVENESS_TIMEOUT`].
pub async fn probe(address: std_net::SocketAddr, path: &str) -> ProbeResult {
    let request = head::write_request(&control_head("GET", path, address), 0);
    let exchange = async {
        let Ok(mut attempt) = send(address, &request).await else {
            return ProbeResult::Refuses;
        };
        match attempt.head().await {
            Err(AttemptError::Closed) => ProbeResult::Closes,
            _ => ProbeResult::Alive,
        }
    };
    let probed = future::timeout(LIVENESS_TIMEOUT, exchange).await;
    probed.unwrap_or(ProbeResult::Alive)
}

/// Request head of a control call, which is one to an engine that serves no caller's request.
#[must_use]
pub fn control_head(method: &str, target: &str, address: std_net::SocketAddr) -> head::RequestHead {
    let mut headers = head::HeaderList::default();
    headers.push("Host", address.to_string());
    head::RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        is_http11: true,
        headers,
    }
}

/// Sends a control call; `None` unless a response with status 200 is complete within `timeout`.
pub async fn control_call(
    address: std_net::SocketAddr,
    head: &head::RequestHead,
    body: &[u8],
    timeout: time::Duration,
) -> Option<FullResponse> {
    let mut request = head::write_request(head, body.len());
    request.extend_from_slice(body);
    let exchange = async {
        let mut attempt = send(address, &request).await.ok()?;
        let response = attempt.head().await.ok()?;
        let memory = response_memory::ResponseMemory::new(MAX_CONTROL_RESPONSE_BYTES);
        let response = attempt
            .read_whole(&head.method, response, &memory)
            .await
            .ok()?;
        (response.head.status == 200).then_some(response)
    };
    future::timeout(timeout, exchange).await.ok().flatten()
}
