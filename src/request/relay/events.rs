//! Cuts an event stream into whole events and keeps their order over several endpoints.

/// Bytes of one event at most; a longer one is taken as a broken stream.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeEvent {
    /// Its id, when it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes as the endpoint wrote them.
    pub bytes: Vec<u8>,
    /// Whether it holds comments alone, with which endpoints keep connections open.
    pub is_comment: bool,
}

/// Collects bytes until an event is whole.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// The buffer to which newly read bytes are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Whether bytes of an unfinished event are held.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the unfinished event is longer than [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Takes the next whole event.
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

/// Position behind the blank line that ends the first event.
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

/// Whether an event is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventStatus {
    /// It is the next one.
    Accepted,
    /// The caller has it already.
    Repeated,
    /// It is no event, and may be passed on.
    Comment,
    /// It has no number in a stream whose events have one, and may be of another stream or of none.
    Malformed,
}

/// Position of an answer over any number of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCursor {
    last: Option<u64>,
    is_unnumbered: bool,
}

impl EventCursor {
    /// A cursor behind the event `last` that the caller already has.
    #[must_use]
    pub const fn after(last: Option<u64>) -> Self {
        Self {
            last,
            is_unnumbered: false,
        }
    }

    /// Last event passed on.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether another endpoint can go on exactly here.
    ///
    /// An event without a number cannot be asked for, nor recognised when it comes again.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        !self.is_unnumbered
    }

    /// Offers the next event of the present endpoint.
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
