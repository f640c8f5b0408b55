//! Tokens that a caller has received, validated against the cursors sent with them.

use std::time;

use crate::connection::caller_client;
use crate::request::cursor;

/// Result of accepting a token; the error describes the mismatch.
pub type Result<T> = std::result::Result<T, String>;

/// Number of longest gaps between tokens that are recorded.
const MAX_RECORDED_GAPS: usize = 8;

/// Received tokens and statistics of one answer.
#[derive(Debug)]
pub struct AnswerProgress {
    tokens: Vec<String>,
    bytes: usize,
    cursor: Option<String>,
    generation: Option<cursor::GenerationId>,
    received: u64,
    connections: u32,
    restarts: u32,
    last_token_at: time::Instant,
    gaps: Vec<time::Duration>,
}

impl AnswerProgress {
    /// Creates an empty progress; [`Self::idle`] counts from `now`.
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
            last_token_at: now,
            gaps: Vec::new(),
        }
    }

    /// Appends the next token; `id` is its cursor.
    ///
    /// # Errors
    /// Rejects a token of another generation or at another than the next position.
    pub fn push(&mut self, now: time::Instant, text: String, id: Option<String>) -> Result<()> {
        // Cursors are opaque to callers: one that cannot be parsed is accepted unchecked.
        let parsed = id.as_deref().map(str::parse::<cursor::StreamCursor>);
        if let Some(Ok(cursor)) = parsed {
            self.check(&cursor)?;
            self.generation = Some(cursor.generation);
        }
        if self.received > 0 {
            self.record_gap(now.saturating_duration_since(self.last_token_at));
        }
        self.received += 1;
        self.last_token_at = now;
        self.bytes += text.len();
        self.tokens.push(text);
        self.cursor = id.or(self.cursor.take());
        Ok(())
    }

    fn check(&self, cursor: &cursor::StreamCursor) -> Result<()> {
        let next = self.tokens.len() + 1;
        if cursor.position as usize != next {
            return Err(format!(
                "received token {} instead of token {next}",
                cursor.position
            ));
        }
        match self.generation {
            Some(generation) if generation != cursor.generation => {
                Err("token belongs to another generation".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn record_gap(&mut self, gap: time::Duration) {
        let index = self.gaps.partition_point(|longer| *longer >= gap);
        self.gaps.insert(index, gap);
        self.gaps.truncate(MAX_RECORDED_GAPS);
    }

    /// Discards the tokens; the answer starts over.
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

    /// Tokens of the current generation, in order.
    #[must_use]
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Total size of the current tokens, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Cursor after the last token; `None` before the first token.
    #[must_use]
    pub fn cursor(&self) -> Option<&str> {
        self.cursor.as_deref()
    }

    /// Number of accepted tokens, including those discarded by a restart.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }

    /// Time since the last token, or since the start.
    #[must_use]
    pub fn idle(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.last_token_at)
    }

    /// Builds the complete answer.
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
