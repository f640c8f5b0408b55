//! One attempt at an endpoint, on a connection of its own.
//!
//! A kept connection may have gone silent, and its next answer may belong to an earlier request; a
//! fresh one costs a round trip and leaves neither in doubt.

use std::fmt;
use std::net as std_net;
use std::time;

use async_std::future;
use async_std::net;

use crate::connection::h1::{body, head, wire};
use crate::request::relay::{dialect, report, response_memory};

/// Outcome of a step of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Time for a connection to an endpoint; several round trips inside a region.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time for an engine's report, which takes no slot there.
pub const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Bytes of a response head at most.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time from the first byte of a head to its end; a head fits in few packets, and one lost packet is
/// sent again within a second.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Interim heads before the final one at most.
const MAX_INTERIM_HEADS: u32 = 8;

/// Bytes of an answer that is passed on whole, at most.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Bytes of an answer that are kept in one buffer while it is read.
const CHUNK_BYTES: usize = 64 * 1024;

/// Bytes of an answer to a call that is no caller's request, at most; a report lists some runs in a
/// few kilobytes.
const MAX_CONTROL_RESPONSE_BYTES: usize = 256 * 1024;

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No byte of the request left this process.
    Unsent,
    /// The connection ended or the bytes are no answer; the request may have run.
    Broken,
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unsent => "the endpoint cannot be reached; try another one",
            Self::Broken => "the endpoint broke off; the request may have run",
        })
    }
}

impl std::error::Error for AttemptError {}

/// A request that was sent and is not answered yet.
#[derive(Debug)]
pub struct OpenAttempt {
    wire: wire::BufferedWire,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Its head.
    pub head: head::ResponseHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// Sends a request, head and body in one write.
///
/// # Errors
/// [`AttemptError::Unsent`] when there is no connection.
pub async fn send(address: std_net::SocketAddr, request: &[u8]) -> Result<OpenAttempt> {
    let connecting = net::TcpStream::connect(address);
    let connected = future::timeout(CONNECT_TIMEOUT, connecting).await;
    let Ok(Ok(stream)) = connected else {
        return Err(AttemptError::Unsent);
    };
    if stream.set_nodelay(true).is_err() {
        return Err(AttemptError::Unsent);
    }
    let mut wire = wire::BufferedWire::new(stream);
    // An endpoint may answer before it has read the request and stop reading, so that the answer
    // is looked for even when the write fails.
    let _answer_decides = wire.write_all(request).await;
    Ok(OpenAttempt { wire })
}

impl OpenAttempt {
    /// Reads the head of the final answer.
    ///
    /// # Errors
    /// [`AttemptError::Broken`], also when a head that has begun does not end within [`HEAD_TIMEOUT`].
    pub async fn head(&mut self) -> Result<head::ResponseHead> {
        if self.wire.buffered().is_empty() && self.fill().await? == 0 {
            return Err(AttemptError::Broken);
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
            // The final head may be seconds behind an interim one.
            if self.wire.buffered().is_empty() && self.fill().await? == 0 {
                return Err(AttemptError::Broken);
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
            if self.wire.buffered().len() > MAX_HEAD_BYTES || self.fill().await? == 0 {
                return Err(AttemptError::Broken);
            }
        }
    }

    /// Reads the rest of a whole answer, while `room` has memory for it.
    ///
    /// # Errors
    /// [`AttemptError::Broken`] when the body ends early, is longer than [`MAX_RESPONSE_BYTES`] or finds no
    /// room.
    pub async fn whole(
        &mut self,
        method: &str,
        head: head::ResponseHead,
        room: &response_memory::ResponseMemory,
    ) -> Result<FullResponse> {
        let framing = head.framing(method);
        let framing = framing.map_err(|_ambiguous| AttemptError::Broken)?;
        if let head::BodyFraming::Length(length) = framing
            && length > MAX_RESPONSE_BYTES as u64
        {
            return Err(too_large(length));
        }
        let mut decoder = body::BodyDecoder::new(framing);
        let mut taken = room.enter();
        // In pieces, as one buffer that doubles would hold several times its size for a while.
        let mut pieces = Vec::new();
        let (mut piece, mut total) = (Vec::new(), 0);
        while self.more(&mut decoder, &mut piece).await? {
            let read = total + piece.len();
            if read > MAX_RESPONSE_BYTES || !taken.grow(read) {
                return Err(too_large(read as u64));
            }
            if piece.len() >= CHUNK_BYTES {
                total = read;
                pieces.push(std::mem::take(&mut piece));
            }
        }
        if !pieces.is_empty() {
            pieces.push(piece);
            piece = pieces.concat();
        }
        Ok(FullResponse { head, body: piece })
    }

    /// Reads more of a body; `false` when it is complete.
    ///
    /// # Errors
    /// [`AttemptError::Broken`].
    pub async fn more(
        &mut self,
        decoder: &mut body::BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<bool> {
        let held = output.len();
        let sound = self.wire.decode_buffered(decoder, output);
        sound.map_err(|_malformed| AttemptError::Broken)?;
        if decoder.is_complete() {
            return Ok(false);
        }
        if output.len() > held {
            return Ok(true);
        }
        if self.fill().await? == 0 {
            if decoder.ends_with_connection() {
                return Ok(false);
            }
            return Err(AttemptError::Broken);
        }
        let sound = self.wire.decode_buffered(decoder, output);
        sound.map_err(|_malformed| AttemptError::Broken)?;
        Ok(!decoder.is_complete())
    }

    async fn fill(&mut self) -> Result<usize> {
        let filled = self.wire.fill().await;
        filled.map_err(|_reset| AttemptError::Broken)
    }
}

fn too_large(bytes: u64) -> AttemptError {
    log::warn!(bytes; "answer is too large for this router; given up");
    AttemptError::Broken
}

/// The report of the engine at `address`; `None` when none came within [`REPORT_TIMEOUT`].
pub async fn report(
    address: std_net::SocketAddr,
    dialect: &dyn dialect::RequestDialect,
) -> Option<report::EngineReport> {
    let head = control_head("GET", dialect.report_path(), address);
    let answer = control_call(address, &head, &[], REPORT_TIMEOUT).await?;
    dialect.report(&answer)
}

/// Head of a call to an engine that is no caller's request.
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

/// The good answer to a call that is no caller's request; `None` when none came within `limit`.
pub async fn control_call(
    address: std_net::SocketAddr,
    head: &head::RequestHead,
    body: &[u8],
    limit: time::Duration,
) -> Option<FullResponse> {
    let mut request = head::write_request(head, body.len());
    request.extend_from_slice(body);
    let exchange = async {
        let mut attempt = send(address, &request).await.ok()?;
        let answer = attempt.head().await.ok()?;
        let room = response_memory::ResponseMemory::new(MAX_CONTROL_RESPONSE_BYTES);
        let answer = attempt.whole(&head.method, answer, &room).await.ok()?;
        (answer.head.status == 200).then_some(answer)
    };
    future::timeout(limit, exchange).await.ok().flatten()
}
