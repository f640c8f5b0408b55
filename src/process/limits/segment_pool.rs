//! Segments of bodies, which other bodies use again.
//!
//! Load: large bodies that are dropped while others grow. The allocator keeps freed memory resident for a
//! while for the thread that allocated it, so bodies that grow in other threads would exceed the budget.

use std::sync;

use crate::process::limits::byte_budget;

/// Size of the segments that are used again, in bytes.
pub const POOLED_BYTES: usize = 64 * 1024;

/// Unused segments of [`POOLED_BYTES`]. Together with what the budget has reserved, they stay within its
/// limit.
#[derive(Debug)]
pub struct SegmentPool {
    budget: sync::Arc<byte_budget::ByteBudget>,
    unused: parking_lot::Mutex<UnusedSegments>,
}

#[derive(Debug, Default)]
struct UnusedSegments {
    segments: Vec<Vec<u8>>,
    /// Fewest segments at any time since the last release.
    min_count: usize,
}

/// Segments of one body, in order; returned to their pool on drop.
#[derive(Debug, Default)]
pub struct BodySegments {
    segments: Vec<Vec<u8>>,
    /// `None` for a body that another budget accounts for.
    pool: Option<sync::Arc<SegmentPool>>,
}

impl SegmentPool {
    /// Empty pool for bodies that `budget` accounts for.
    #[must_use]
    pub fn new(budget: sync::Arc<byte_budget::ByteBudget>) -> Self {
        Self {
            budget,
            unused: parking_lot::Mutex::default(),
        }
    }

    /// Bytes of the unused segments.
    #[must_use]
    pub fn unused_bytes(&self) -> usize {
        self.unused.lock().segments.len() * POOLED_BYTES
    }

    /// Starts a body without segments.
    #[must_use]
    pub fn open(self: &sync::Arc<Self>) -> BodySegments {
        BodySegments {
            segments: Vec::new(),
            pool: Some(sync::Arc::clone(self)),
        }
    }

    /// Frees the segments that no body has needed since the last call.
    pub fn release_unused(&self) {
        let mut unused = self.unused.lock();
        let count = unused.segments.len() - unused.min_count;
        unused.truncate(count);
        unused.min_count = count;
    }

    /// An empty segment of `bytes` bytes, which are reserved.
    fn take(&self, bytes: usize) -> Vec<u8> {
        let mut unused = self.unused.lock();
        if bytes == POOLED_BYTES
            && let Some(segment) = unused.take()
        {
            return segment;
        }
        let room = self.budget.limit().saturating_sub(self.budget.held());
        unused.truncate(room / POOLED_BYTES);
        Vec::with_capacity(bytes)
    }

    fn put(&self, segments: impl Iterator<Item = Vec<u8>>) {
        let pooled = segments.filter(|segment| segment.capacity() == POOLED_BYTES);
        let empty = pooled.map(|mut segment| {
            segment.clear();
            segment
        });
        self.unused.lock().segments.extend(empty);
    }
}

impl UnusedSegments {
    fn take(&mut self) -> Option<Vec<u8>> {
        let segment = self.segments.pop();
        self.min_count = self.min_count.min(self.segments.len());
        segment
    }

    fn truncate(&mut self, count: usize) {
        self.segments.truncate(count);
        self.min_count = self.min_count.min(self.segments.len());
    }
}

impl BodySegments {
    /// Adds an empty segment of `bytes` bytes, which are reserved.
    pub fn add(&mut self, bytes: usize) {
        let segment = match &self.pool {
            Some(pool) => pool.take(bytes),
            None => Vec::with_capacity(bytes),
        };
        self.segments.push(segment);
    }

    /// The last segment, if it has room.
    pub fn last_with_room(&mut self) -> Option<&mut Vec<u8>> {
        let last = self.segments.last_mut()?;
        (last.len() < last.capacity()).then_some(last)
    }

    /// The segments.
    #[must_use]
    pub fn as_slice(&self) -> &[Vec<u8>] {
        &self.segments
    }
}

impl From<Vec<u8>> for BodySegments {
    fn from(bytes: Vec<u8>) -> Self {
        Self {
            segments: vec![bytes],
            pool: None,
        }
    }
}

impl Drop for BodySegments {
    fn drop(&mut self) {
        if let Some(pool) = &self.pool {
            pool.put(self.segments.drain(..));
        }
    }
}
