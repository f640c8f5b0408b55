//! The order of an answer's tokens over any number of attempts.
//!
//! A token is taken only from an open attempt and only at the next position. The first open
//! attempt that brings the next token becomes the live one, and all others are retired for good.
//! So no token is missing or repeated, and no two attempts are mixed after they parted.

use crate::request::cursor;

/// What became of an offered token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOffer {
    /// The token is the next one; the answer now has this many tokens.
    Accepted(u32),
    /// The answer holds the same token already.
    Repeated,
    /// The answer holds another token at the position; the attempt is retired.
    Mismatch,
    /// Tokens before the position are missing; the stream has to be attached again.
    Gap,
    /// The attempt is not open.
    Foreign,
}

/// What became of an announced end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOffer {
    /// The answer is whole.
    Whole,
    /// The counts differ; the stream has to be attached again.
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
    /// An answer that begins with `tokens` and has no open attempt.
    #[must_use]
    pub fn new(tokens: Vec<String>) -> Self {
        Self {
            tokens,
            open: Vec::new(),
        }
    }

    /// Opens an attempt beside the open ones; opening it twice has no effect.
    pub fn open(&mut self, attempt: cursor::AttemptId) {
        if !self.open.contains(&attempt) {
            self.open.push(attempt);
        }
    }

    /// Closes an attempt for good: nothing is taken from it any more.
    pub fn retire(&mut self, attempt: cursor::AttemptId) {
        self.open.retain(|open| *open != attempt);
    }

    /// Whether tokens of the attempt are taken.
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

    /// The tokens held.
    #[must_use]
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Drops all tokens and closes all attempts, for an answer that starts again.
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
