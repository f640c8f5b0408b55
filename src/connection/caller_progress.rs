//! The part of an answer that a caller holds, checked against the cursors that came with it.

use std::time;

use crate::connection::caller_client;
use crate::request::cursor;

/// Outcome of taking a token; the error says which rule the stream broke.
pub type Result<T> = std::result::Result<T, String>;

/// Gaps that are kept, the longest ones.
const KEPT_GAPS: usize = 8;

/// Tokens held so far.
#[derive(Debug)]
pub struct AnswerProgress {
    tokens: Vec<String>,
    bytes: usize,
    cursor: Option<String>,
    generation: Option<cursor::GenerationId>,
    received: u64,
    connections: u32,
    restarts: u32,
    last: time::Instant,
    gaps: Vec<time::Duration>,
}

impl AnswerProgress {
    /// Nothing held yet.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            tokens: Vec::new(),
            bytes: 0,
            cursor: None,
            generation: None,
            received: 0,
            connections: 0,
            restarts: 0,
            last: now,
            gaps: Vec::new(),
        }
    }

    /// Takes the next token.
    ///
    /// # Errors
    /// A token of another generation, or one that is not the next, is not taken.
    pub fn push(&mut self, now: time::Instant, text: String, id: Option<String>) -> Result<()> {
        // A cursor is opaque to callers; one that can be read is checked.
        let parsed = id.as_deref().map(str::parse::<cursor::StreamCursor>);
        if let Some(Ok(cursor)) = parsed {
            self.check(&cursor)?;
            self.generation = Some(cursor.generation);
        }
        if self.received > 0 {
            self.note_gap(now.saturating_duration_since(self.last));
        }
        self.received += 1;
        self.last = now;
        self.bytes += text.len();
        self.tokens.push(text);
        self.cursor = id.or(self.cursor.take());
        Ok(())
    }

    fn check(&self, cursor: &cursor::StreamCursor) -> Result<()> {
        let next = self.tokens.len() + 1;
        if cursor.position as usize != next {
            return Err(format!("token {} came in place of {next}", cursor.position));
        }
        match self.generation {
            Some(generation) if generation != cursor.generation => {
                Err("token of another generation".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn note_gap(&mut self, gap: time::Duration) {
        let place = self.gaps.partition_point(|longer| *longer >= gap);
        self.gaps.insert(place, gap);
        self.gaps.truncate(KEPT_GAPS);
    }

    /// Begins the answer again.
    pub fn restart(&mut self) {
        self.tokens.clear();
        self.bytes = 0;
        self.cursor = None;
        self.generation = None;
        self.restarts += 1;
    }

    /// Counts a connection that streams the answer.
    pub const fn connected(&mut self) {
        self.connections += 1;
    }

    /// The tokens held.
    #[must_use]
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Length of all held tokens, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The cursor after the last token.
    #[must_use]
    pub fn cursor(&self) -> Option<&str> {
        self.cursor.as_deref()
    }

    /// Tokens received, those of abandoned generations included.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }

    /// Time since the last token, or since the start.
    #[must_use]
    pub fn idle(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.last)
    }

    /// The whole answer.
    #[must_use]
    pub fn answer(&self, key: String, finish_reason: String) -> caller_client::CallerAnswer {
        caller_client::CallerAnswer {
            key,
            tokens: self.tokens.clone(),
            finish_reason,
            resumes: self.connections.saturating_sub(1),
            restarts: self.restarts,
            longest_gaps: self.gaps.clone(),
        }
    }
}
