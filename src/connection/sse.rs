//! Server-sent events: an encoder, and an incremental reader with a line length limit.

use std::fmt;
use std::fmt::Write as _;
use std::io as std_io;

use async_std::io;
use async_std::io::ReadExt as _;
use async_std::io::prelude::BufReadExt as _;

/// Result of reading an event.
pub type Result<T> = std::result::Result<T, EventError>;

/// Longest accepted line of a stream, in bytes.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// Comment sent while there is no event, so that the peer does not time out.
pub const KEEP_ALIVE: &str = ": keep-alive\n\n";

/// Why no event could be read.
#[derive(Debug)]
pub enum EventError {
    /// The connection failed.
    Io(std_io::Error),
    /// A line is longer than [`MAX_LINE_BYTES`] or not UTF-8.
    Line,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "reading the event stream failed: {error}"),
            Self::Line => {
                f.write_str("the event stream contains a line that is too long or not UTF-8")
            }
        }
    }
}

impl std::error::Error for EventError {}

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The `id:` field.
    pub id: Option<String>,
    /// The `event:` field.
    pub name: Option<String>,
    /// The `data:` lines, joined by newlines.
    pub data: String,
}

impl StreamEvent {
    /// Encodes the event, including the blank line that terminates it.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::with_capacity(self.data.len() + 192);
        if let Some(id) = &self.id {
            let _ = writeln!(text, "id: {id}");
        }
        if let Some(name) = &self.name {
            let _ = writeln!(text, "event: {name}");
        }
        for line in self.data.split('\n') {
            let _ = writeln!(text, "data: {line}");
        }
        text.push('\n');
        text
    }
}

/// Item read from an event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A complete event.
    Event(StreamEvent),
    /// A comment line, used as a keep-alive.
    Comment,
}

/// Reads events from a response body.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: R,
    line: Vec<u8>,
    event: StreamEvent,
    has_data: bool,
}

impl<R: io::BufRead + Unpin> EventReader<R> {
    /// Creates an event reader over a buffered `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            line: Vec::new(),
            event: StreamEvent::default(),
            has_data: false,
        }
    }

    /// The next event or comment; `None` at the end of the stream.
    ///
    /// Cancel-safe: a partially read line is kept for the next call.
    ///
    /// # Errors
    /// [`EventError`] if the connection fails or a line is too long or not UTF-8.
    pub async fn next(&mut self) -> Result<Option<StreamItem>> {
        loop {
            let Some(line) = self.next_line().await? else {
                return Ok(None);
            };
            if line.is_empty() {
                if !std::mem::take(&mut self.has_data) {
                    self.event = StreamEvent::default();
                    continue;
                }
                return Ok(Some(StreamItem::Event(std::mem::take(&mut self.event))));
            }
            if line.starts_with(':') {
                return Ok(Some(StreamItem::Comment));
            }
            self.take_field(&line);
        }
    }

    async fn next_line(&mut self) -> Result<Option<String>> {
        let max_bytes = (MAX_LINE_BYTES + 1).saturating_sub(self.line.len()) as u64;
        let mut limited = (&mut self.reader).take(max_bytes);
        limited
            .read_until(b'\n', &mut self.line)
            .await
            .map_err(EventError::Io)?;
        if self.line.len() > MAX_LINE_BYTES {
            return Err(EventError::Line);
        }
        if self.line.last() != Some(&b'\n') {
            // A partial line at the end of the stream is dropped.
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.line);
        let line = String::from_utf8(bytes).or(Err(EventError::Line))?;
        Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
    }

    fn take_field(&mut self, line: &str) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.name = Some(value.to_owned()),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            _ => {}
        }
    }
}
