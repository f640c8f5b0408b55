//! Splits an event stream into events and keeps their order across several endpoints.

/// Maximum size of one event; a stream with a longer one counts as lost.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event, including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Numeric `id` field; `None` when absent or not a number.
    pub id: Option<u64>,
    /// Raw bytes as received.
    pub bytes: Vec<u8>,
    /// Whether it consists only of comments, which endpoints send as keep-alives.
    pub is_comment: bool,
}

/// Buffers bytes until an event is complete.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Buffer to append newly read bytes to.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Bytes of the incomplete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<WholeEvent> {
        let end = event_end(&self.pending)?;
        let rest = self.pending.split_off(end);
        let bytes = std::mem::replace(&mut self.pending, rest);
        Some(WholeEvent {
            id: event_id(&bytes),
            is_comment: is_comment(&bytes),
            bytes,
        })
    }
}

/// Offset just past the blank line that ends the first event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for end in memchr::memchr_iter(b'\n', bytes) {
        let line = &bytes[line_start..end];
        line_start = end + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
    None
}

fn is_comment(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, b"" | b"\r" | [b':', ..]))
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// How an event relates to those already relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventStatus {
    /// A new event; relay it.
    Accepted,
    /// The caller already has it; drop it.
    Repeated,
    /// A keep-alive comment; may be relayed.
    Comment,
    /// An event without a number in a numbered stream; it may belong to another stream.
    Malformed,
}

/// Position in a stream that several endpoints may contribute to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCursor {
    last: Option<u64>,
    is_unnumbered: bool,
}

impl EventCursor {
    /// Creates a cursor after event `last`, which the caller already has; `None` starts at the
    /// beginning.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self {
            last,
            is_unnumbered: false,
        }
    }

    /// Number of the last relayed event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether another endpoint can resume the stream at this position.
    ///
    /// It cannot after an event without a number, which can neither be requested nor recognised as
    /// a repeat.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        !self.is_unnumbered
    }

    /// Checks the next event of the current endpoint and moves the cursor past it if it is new.
    pub fn advance(&mut self, event: &WholeEvent) -> EventStatus {
        if event.is_comment {
            return EventStatus::Comment;
        }
        let Some(id) = event.id else {
            if self.last.is_some() {
                return EventStatus::Malformed;
            }
            self.is_unnumbered = true;
            return EventStatus::Accepted;
        };
        if self.last.is_some_and(|last| id <= last) {
            return EventStatus::Repeated;
        }
        self.last = Some(id);
        EventStatus::Accepted
    }
}
