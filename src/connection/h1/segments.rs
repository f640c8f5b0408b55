//! A message body in segments, which grows without copying what it holds.

/// Largest segment, in bytes. A body that grows needs at most one segment that is partly unused.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Body bytes without transfer encoding.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    segments: Vec<Vec<u8>>,
    length: usize,
}

impl SegmentedBody {
    /// Number of body bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no body bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes in order.
    #[must_use]
    pub fn parts(&self) -> Vec<&[u8]> {
        self.segments.iter().map(Vec::as_slice).collect()
    }

    /// Capacity of the segment that has to be added before `count` bytes are appended; 0 if there is
    /// room. Segments grow with the body, by what was received and not by what was announced.
    #[must_use]
    pub fn missing_capacity(&self, count: usize) -> usize {
        let tail = self.segments.last();
        if tail.is_some_and(|tail| tail.capacity() - tail.len() >= count) {
            return 0;
        }
        count.max(self.length.min(SEGMENT_BYTES))
    }

    /// Adds a segment of this capacity.
    pub fn add_segment(&mut self, capacity: usize) {
        self.segments.push(Vec::with_capacity(capacity));
    }

    /// Appends what `write` appends to the last segment.
    ///
    /// # Errors
    /// The error of `write`.
    pub fn append<Error>(
        &mut self,
        write: impl FnOnce(&mut Vec<u8>) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.segments.is_empty() {
            self.segments.push(Vec::new());
        }
        let Some(tail) = self.segments.last_mut() else {
            return Ok(());
        };
        let old_length = tail.len();
        let result = write(tail);
        self.length += tail.len() - old_length;
        result
    }
}
