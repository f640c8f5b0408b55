//! Memory for answers that are read whole before they are passed on.
//!
//! The load it answers: several endpoints in trouble that send bytes without end, each at the speed of
//! its link, to a VM with little memory.

use std::sync::atomic;

/// Bytes that all answers of a process may hold at the same time.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    held: atomic::AtomicUsize,
}

/// Bytes that one answer holds, until this is dropped.
#[derive(Debug)]
pub struct ResponseReservation<'a> {
    room: &'a ResponseMemory,
    bytes: usize,
}

impl ResponseMemory {
    /// Room for `limit` bytes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            held: atomic::AtomicUsize::new(0),
        }
    }

    /// Begins an answer that holds nothing yet.
    pub const fn enter(&self) -> ResponseReservation<'_> {
        ResponseReservation {
            room: self,
            bytes: 0,
        }
    }
}

impl ResponseReservation<'_> {
    /// Lets the answer grow to `bytes`; `false` when there is no room for that, and nothing is taken.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let held = self.room.held.fetch_add(more, atomic::Ordering::Relaxed);
        if held.saturating_add(more) > self.room.limit {
            self.room.held.fetch_sub(more, atomic::Ordering::Relaxed);
            return false;
        }
        self.bytes += more;
        true
    }
}

impl Drop for ResponseReservation<'_> {
    fn drop(&mut self) {
        self.room
            .held
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
