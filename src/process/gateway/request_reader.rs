//! Reads complete requests of callers, within the process's memory for them.

use std::net;
use std::pin;
use std::time;

use async_std::future;
use futures::future as futures_future;

use crate::connection::h1::{body, head, segments, wire};
use crate::process::gateway::node;
use crate::process::limits::byte_budget;
use crate::request::verdict;
use crate::version::traffic;

/// Result of reading a request.
pub type Result<T> = std::result::Result<T, ReadFailure>;

/// `Retry-After` for callers whose request exceeds the memory that is left.
const MEMORY_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// A request that was read completely.
#[derive(Debug)]
pub struct ReadRequest {
    /// Its head.
    pub head: head::RequestHead,
    /// Its body, for which the reservation is kept.
    pub body: segments::SegmentedBody,
}

/// Why no request was read.
#[derive(Debug)]
pub enum ReadFailure {
    /// The caller closed the connection.
    Closed,
    /// The request is refused, with this response to the caller.
    Refused(verdict::RequestRefusal),
}

/// Reads one request, and reserves the memory that it takes.
struct RequestReader<'a> {
    wire: &'a mut wire::BufferedWire,
    reservation: &'a byte_budget::ByteReservation,
    limits: &'a traffic::CallerLimits,
    /// Bytes reserved so far.
    reserved: usize,
    /// Memory of the segments of the body.
    body_capacity: usize,
}

/// Reads one request. Its reservation is kept from then on, as the request may be sent to an endpoint.
///
/// # Errors
/// [`ReadFailure`] when there is no request to relay.
pub async fn read(
    wire: &mut wire::BufferedWire,
    reservation: &byte_budget::ByteReservation,
    limits: &traffic::CallerLimits,
) -> Result<ReadRequest> {
    let mut reader = RequestReader {
        wire,
        reservation,
        limits,
        reserved: 0,
        body_capacity: 0,
    };
    reader.read_request().await
}

/// Counts and logs a refusal for lack of memory; others are counted where they are answered.
pub fn record_refusal(
    node: &node::GatewayNode,
    reservation: &byte_budget::ByteReservation,
    refusal: &verdict::RequestRefusal,
    caller: net::IpAddr,
) {
    if refusal.code != verdict::RefusalCode::Overloaded {
        return;
    }
    let is_evicted = reservation.is_evicted();
    let counter = if is_evicted {
        "caller.memory_evicted"
    } else {
        "caller.memory_refused"
    };
    node.metrics.count(counter);
    log::warn!(
        caller:% = caller,
        bytes = reservation.bytes(),
        held = node.relay.memory.held(),
        limit = node.relay.memory.limit(),
        is_evicted;
        "no memory for a request"
    );
}

impl RequestReader<'_> {
    async fn read_request(&mut self) -> Result<ReadRequest> {
        let limits = self.limits;
        let reading = self.read_head();
        let head = future::timeout(limits.head_timeout, reading).await;
        let head = head.unwrap_or_else(|_elapsed| Err(ReadFailure::Refused(request_timeout())))?;
        let framing = head.framing();
        let framing = framing.map_err(|error| ReadFailure::Refused(bad_head(error)))?;
        if let head::BodyFraming::Length(length) = framing {
            check_length(usize::try_from(length).unwrap_or(usize::MAX), limits)?;
        }
        let body = self.read_body(&head, framing).await?;
        let kept = self.reservation.keep();
        kept.map_err(|_evicted| no_memory())?;
        Ok(ReadRequest { head, body })
    }

    async fn read_head(&mut self) -> Result<head::RequestHead> {
        self.reserve(self.wire.capacity()).await?;
        loop {
            let parsed = head::parse_request(self.wire.buffered());
            let parsed = parsed.map_err(|error| ReadFailure::Refused(bad_head(error)))?;
            if let Some((head, length)) = parsed {
                if length > self.limits.head_bytes {
                    return Err(ReadFailure::Refused(large_head()));
                }
                self.wire.consume(length);
                return Ok(head);
            }
            if self.wire.buffered().len() > self.limits.head_bytes {
                return Err(ReadFailure::Refused(large_head()));
            }
            self.fill().await?;
        }
    }

    async fn read_body(
        &mut self,
        head: &head::RequestHead,
        framing: head::BodyFraming,
    ) -> Result<segments::SegmentedBody> {
        let mut decoder = body::BodyDecoder::new(framing);
        let mut body = segments::SegmentedBody::default();
        if head.headers.has_token("expect", "100-continue") && self.wire.buffered().is_empty() {
            let written = self.wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|_gone| ReadFailure::Closed)?;
        }
        loop {
            self.decode(&mut decoder, &mut body).await?;
            check_length(body.len(), self.limits)?;
            if decoder.is_complete() {
                return Ok(body);
            }
            let timeout = self.limits.head_timeout;
            let filled = future::timeout(timeout, self.fill()).await;
            filled.unwrap_or_else(|_elapsed| Err(ReadFailure::Refused(request_timeout())))?;
            self.reservation.record_progress(time::Instant::now());
        }
    }

    /// Decodes what is buffered, after the memory for it was reserved.
    async fn decode(
        &mut self,
        decoder: &mut body::BodyDecoder,
        body: &mut segments::SegmentedBody,
    ) -> Result<()> {
        if decoder.is_complete() {
            return Ok(());
        }
        let count = decoder.max_output(self.wire.buffered().len());
        let capacity = body.missing_capacity(count);
        if capacity > 0 {
            self.body_capacity += capacity;
            self.reserve(self.wire.capacity() + self.body_capacity)
                .await?;
            body.add_segment(capacity);
        }
        let result = body.append(|output| self.wire.decode_buffered(decoder, output));
        result.map_err(|_malformed| ReadFailure::Refused(bad_body()))
    }

    /// Reserves memory up to `bytes` in all.
    async fn reserve(&mut self, bytes: usize) -> Result<()> {
        if bytes > self.reserved {
            let grown = self.reservation.grow(bytes - self.reserved).await;
            grown.map_err(|_exhausted| no_memory())?;
            self.reserved = bytes;
        }
        Ok(())
    }

    /// Reads more bytes, after the memory for one read was reserved.
    async fn fill(&mut self) -> Result<()> {
        let buffered = self.wire.buffered().len() + wire::READ_BYTES;
        self.reserve(buffered.max(self.wire.capacity()) + self.body_capacity)
            .await?;
        let filled = pin::pin!(self.wire.fill());
        let evicted = pin::pin!(self.reservation.evicted());
        match futures_future::select(filled, evicted).await {
            futures_future::Either::Left((Ok(1..), _evicted)) => Ok(()),
            futures_future::Either::Left(_closed) => Err(ReadFailure::Closed),
            futures_future::Either::Right(_evicted) => Err(no_memory()),
        }
    }
}

fn check_length(length: usize, limits: &traffic::CallerLimits) -> Result<()> {
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

fn no_memory() -> ReadFailure {
    let message =
        "the router has no memory left for the request; retry later or use another address";
    let code = verdict::RefusalCode::Overloaded;
    let refusal =
        verdict::RequestRefusal::not_run(503, code, message).retry_after(MEMORY_RETRY_DELAY);
    ReadFailure::Refused(refusal)
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
