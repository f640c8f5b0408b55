//! Token bucket; the time is an argument.

use std::time;

/// Tokens that are added over time or by events, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Option<time::Instant>,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    #[must_use]
    pub const fn new(tokens: f64) -> Self {
        Self {
            tokens,
            updated_at: None,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub fn refill(&mut self, now: time::Instant, tokens_per_second: f64, max_tokens: f64) {
        let last = self.updated_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last);
        self.updated_at = Some(last.max(now));
        self.add(elapsed.as_secs_f64() * tokens_per_second, max_tokens);
    }

    /// Adds `tokens`, and drops what is beyond `max_tokens`.
    pub fn add(&mut self, tokens: f64, max_tokens: f64) {
        self.tokens = (self.tokens + tokens).min(max_tokens);
    }

    /// Takes one token; returns false if there is none.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens that it holds.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens missing until one can be taken.
    #[must_use]
    pub fn missing(&self) -> f64 {
        (1.0 - self.tokens).max(0.0)
    }
}
