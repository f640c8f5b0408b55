//! Assembles the tokens of an answer in order from any number of attempts.
//!
//! A token is accepted only from an open attempt and only at the next position. The first open
//! attempt that delivers the next token becomes the active one, and all others are retired
//! permanently. So no token is missing or repeated, and attempts whose tokens have diverged are
//! never mixed.

use crate::request::cursor;

/// Outcome of offering a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOffer {
    /// The token is the next one; the answer now has this many tokens.
    Accepted(u32),
    /// The answer already holds the same token.
    Repeated,
    /// The answer holds a different token at the position; the attempt is retired.
    Mismatch,
    /// Tokens before the position are missing; the stream has to be reattached.
    Gap,
    /// The attempt is not open.
    Foreign,
}

/// Outcome of offering the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOffer {
    /// The answer is complete.
    Whole,
    /// The attempt reports a different number of tokens than are held; the stream has to be
    /// reattached.
    CountMismatch,
    /// The attempt is not open.
    Foreign,
}

/// Tokens of one answer, in order.
#[derive(Clone, Debug, Default)]
pub struct TokenSequencer {
    tokens: Vec<String>,
    open: Vec<cursor::AttemptId>,
}

impl TokenSequencer {
    /// Creates an answer that begins with `tokens` and has no open attempt.
    #[must_use]
    pub fn new(tokens: Vec<String>) -> Self {
        Self {
            tokens,
            open: Vec::new(),
        }
    }

    /// Opens an attempt in addition to those already open; opening it twice has no effect.
    pub fn open(&mut self, attempt: cursor::AttemptId) {
        if !self.open.contains(&attempt) {
            self.open.push(attempt);
        }
    }

    /// Closes an attempt: no more of its tokens are accepted.
    pub fn retire(&mut self, attempt: cursor::AttemptId) {
        self.open.retain(|open| *open != attempt);
    }

    /// Whether tokens of the attempt are accepted.
    #[must_use]
    pub fn is_open(&self, attempt: cursor::AttemptId) -> bool {
        self.open.contains(&attempt)
    }

    /// Number of tokens held, which is the next position.
    #[must_use]
    pub fn len(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Whether no token is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Tokens held, from position 0.
    #[must_use]
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Drops all tokens and closes all attempts, for an answer that restarts.
    pub fn restart(&mut self) {
        self.tokens.clear();
        self.open.clear();
    }

    /// Offers the token at `index` of an attempt.
    pub fn offer(&mut self, attempt: cursor::AttemptId, index: u32, text: &str) -> TokenOffer {
        if !self.is_open(attempt) {
            return TokenOffer::Foreign;
        }
        if let Some(held) = self.tokens.get(index as usize) {
            if held == text {
                return TokenOffer::Repeated;
            }
            self.retire(attempt);
            return TokenOffer::Mismatch;
        }
        if index > self.len() {
            return TokenOffer::Gap;
        }
        self.tokens.push(text.to_owned());
        self.open.retain(|open| *open == attempt);
        TokenOffer::Accepted(self.len())
    }

    /// Offers the end of an attempt whose whole answer has `count` tokens.
    pub fn offer_end(&mut self, attempt: cursor::AttemptId, count: u32) -> EndOffer {
        if !self.is_open(attempt) {
            return EndOffer::Foreign;
        }
        if count != self.len() {
            return EndOffer::CountMismatch;
        }
        self.open.clear();
        EndOffer::Whole
    }
}
