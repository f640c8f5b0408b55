//! Reads bodies of callers, and answers to them, into reserved memory.

use std::fmt;
use std::pin;
use std::time;

use async_std::future as async_future;
use async_std::io;
use futures::AsyncBufReadExt as _;
use futures::future;

use crate::connection::call_body;
use crate::process::limits::{byte_budget, caller_memory, segment_pool};

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, IntakeFault>;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum IntakeFault {
    /// It is larger than the limit.
    TooLarge,
    /// There is no memory for it; never the fault of an answer.
    Memory(byte_budget::ByteError),
    /// It did not arrive in time.
    Late,
    /// The connection failed, or the body is not well-formed.
    Broken(std::io::Error),
}

impl fmt::Display for IntakeFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is larger than the limit; shorten it"),
            Self::Memory(error) => error.fmt(f),
            Self::Late => f.write_str("the body did not arrive in time; send it again"),
            Self::Broken(error) => write!(f, "reading the body failed: {error}"),
        }
    }
}

impl std::error::Error for IntakeFault {}

/// Bounds of the segments in which a body grows. A small body takes little more than its size; a segment of
/// a large one is a small part of it.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;
const MAX_SEGMENT_BYTES: usize = segment_pool::POOLED_BYTES;

/// Reads a whole body of at most `max_bytes` within `limit`. Each segment is reserved before it is allocated,
/// and only when bytes for it have arrived. Afterwards, the reservation cannot be evicted.
///
/// # Errors
/// [`IntakeFault`]; the segments are dropped before the reservation.
pub async fn read(
    body: &mut http_types::Body,
    hold: caller_memory::MemoryHold,
    limit: time::Duration,
    max_bytes: usize,
) -> Result<call_body::CallBody> {
    let reservation = hold.reservation();
    let segments = {
        let mut memory = SegmentMemory::Request(reservation);
        let reading = pin::pin!(read_segments(
            body,
            hold.open_segments(),
            &mut memory,
            max_bytes
        ));
        let reading = async_future::timeout(limit, reading);
        let evicted = pin::pin!(reservation.evicted());
        match future::select(pin::pin!(reading), evicted).await {
            future::Either::Left((Ok(read), _evicted)) => read?,
            future::Either::Left((Err(_elapsed), _evicted)) => return Err(IntakeFault::Late),
            future::Either::Right(((), _reading)) => {
                return Err(IntakeFault::Memory(byte_budget::ByteError::Evicted));
            }
        }
    };
    reservation.keep().map_err(IntakeFault::Memory)?;
    Ok(call_body::CallBody::held(segments, Some(hold)))
}

/// Reads a whole answer of at most `max_bytes`. While there is no memory for the next segment, it is not read.
///
/// # Errors
/// [`IntakeFault`]; the request has been sent by then.
pub async fn read_answer(
    body: &mut http_types::Body,
    mut hold: Option<caller_memory::MemoryHold>,
    max_bytes: usize,
) -> Result<call_body::CallBody> {
    let segments = hold.as_ref().map(caller_memory::MemoryHold::open_segments);
    let segments = segments.unwrap_or_default();
    let mut memory = SegmentMemory::Answer(hold.as_mut());
    let segments = read_segments(body, segments, &mut memory, max_bytes).await?;
    Ok(call_body::CallBody::held(segments, hold))
}

/// Where the memory of segments comes from.
enum SegmentMemory<'a> {
    /// A request body, which is refused if there is no memory.
    Request(&'a byte_budget::ByteReservation),
    /// An answer, which waits; `None` for a caller of another router, which accounts for it.
    Answer(Option<&'a mut caller_memory::MemoryHold>),
}

impl SegmentMemory<'_> {
    async fn grow(&mut self, bytes: usize) -> Result<()> {
        match self {
            Self::Request(reservation) => {
                let grown = reservation.grow(bytes).await;
                grown.map_err(IntakeFault::Memory)
            }
            Self::Answer(Some(hold)) => {
                hold.grow_answer(bytes).await;
                Ok(())
            }
            Self::Answer(None) => Ok(()),
        }
    }

    fn record_progress(&self) {
        if let Self::Request(reservation) = self {
            reservation.record_progress(time::Instant::now());
        }
    }
}

async fn read_segments<R: io::BufRead + Unpin>(
    body: &mut R,
    mut segments: segment_pool::BodySegments,
    memory: &mut SegmentMemory<'_>,
    max_bytes: usize,
) -> Result<segment_pool::BodySegments> {
    let mut length = 0;
    loop {
        let arrived = body.fill_buf().await.map_err(IntakeFault::Broken)?;
        if arrived.is_empty() {
            return Ok(segments);
        }
        length += arrived.len();
        if length > max_bytes {
            return Err(IntakeFault::TooLarge);
        }
        let mut left = arrived;
        while !left.is_empty() {
            let Some(segment) = segments.last_with_room() else {
                let held = length - left.len();
                let bytes = held.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
                memory.grow(bytes).await?;
                segments.add(bytes);
                continue;
            };
            let room = segment.capacity() - segment.len();
            let (next, rest) = left.split_at(room.min(left.len()));
            segment.extend_from_slice(next);
            left = rest;
        }
        memory.record_progress();
        let count = arrived.len();
        io::BufRead::consume(pin::Pin::new(body), count);
    }
}
