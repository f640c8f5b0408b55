//! Reads a caller's body into reserved memory.

use std::pin;
use std::time;

use async_std::future as async_future;
use async_std::io;
use futures::AsyncBufReadExt as _;
use futures::future;

use crate::process::limits::byte_budget;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, IntakeFault>;

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum IntakeFault {
    /// It is larger than the limit.
    TooLarge,
    /// There is no memory for it.
    Memory(byte_budget::ByteError),
    /// It did not arrive in time.
    Late,
    /// The connection failed, or the body is not well-formed.
    Broken(std::io::Error),
}

/// Bounds of the segments in which a body grows. A small body takes little more than its size; a segment of
/// a large one is a small part of it.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Reads a whole body of at most `max_bytes` within `limit`. Each segment is reserved before it is allocated,
/// and only when bytes for it have arrived. Afterwards, the reservation has the size of the body and cannot
/// be evicted.
///
/// # Errors
/// [`IntakeFault`]; the caller drops the reservation.
pub async fn read(
    body: &mut http_types::Body,
    reservation: &byte_budget::ByteReservation,
    limit: time::Duration,
    max_bytes: usize,
) -> Result<Vec<u8>> {
    let segments = {
        let reading = pin::pin!(read_segments(body, reservation, max_bytes));
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
    let bytes = joined(segments);
    reservation.shrink(reservation.bytes().saturating_sub(bytes.capacity()));
    Ok(bytes)
}

async fn read_segments<R: io::BufRead + Unpin>(
    body: &mut R,
    reservation: &byte_budget::ByteReservation,
    max_bytes: usize,
) -> Result<Vec<Vec<u8>>> {
    let mut segments: Vec<Vec<u8>> = Vec::new();
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
            let segment = match segments.last_mut() {
                Some(segment) if segment.len() < segment.capacity() => segment,
                _ => {
                    let held = length - left.len();
                    let bytes = held.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
                    let grown = reservation.grow(bytes).await;
                    grown.map_err(IntakeFault::Memory)?;
                    segments.push(Vec::with_capacity(bytes));
                    continue;
                }
            };
            let room = segment.capacity() - segment.len();
            let (next, rest) = left.split_at(room.min(left.len()));
            segment.extend_from_slice(next);
            left = rest;
        }
        reservation.record_progress(time::Instant::now());
        let count = arrived.len();
        io::BufRead::consume(pin::Pin::new(body), count);
    }
}

/// Joins the segments and frees each once it is copied, so that the body is never held twice as a whole.
fn joined(segments: Vec<Vec<u8>>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(segments.iter().map(Vec::len).sum());
    for segment in segments {
        bytes.extend_from_slice(&segment);
    }
    bytes
}
