//! Memory limit for responses that are buffered whole before they are relayed.
//!
//! Protects a VM with little memory from several faulty endpoints that send endless bodies at link
//! speed.

use std::sync::atomic;

/// Memory budget shared by all buffered responses of the process.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    reserved: atomic::AtomicUsize,
}

/// Bytes reserved for one response; dropping it returns them.
#[derive(Debug)]
pub struct ResponseReservation<'a> {
    memory: &'a ResponseMemory,
    bytes: usize,
}

impl ResponseMemory {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            reserved: atomic::AtomicUsize::new(0),
        }
    }

    /// Starts an empty reservation for one response.
    pub const fn reserve(&self) -> ResponseReservation<'_> {
        ResponseReservation {
            memory: self,
            bytes: 0,
        }
    }
}

impl ResponseReservation<'_> {
    /// Grows the reservation to `bytes`. Returns `false` and reserves nothing more when the budget
    /// is exhausted.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = self
            .memory
            .reserved
            .fetch_add(additional, atomic::Ordering::Relaxed);
        if reserved.saturating_add(additional) > self.memory.limit {
            self.memory
                .reserved
                .fetch_sub(additional, atomic::Ordering::Relaxed);
            return false;
        }
        self.bytes += additional;
        true
    }
}

impl Drop for ResponseReservation<'_> {
    fn drop(&mut self) {
        self.memory
            .reserved
            .fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
