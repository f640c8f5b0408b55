//! Retry budget: a token bucket that limits retries to a fraction of recent successes.

use std::time;

use crate::process::limits::token_bucket;

/// Bounds of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Tokens earned per success; each retry costs one.
    pub retries_per_success: f64,
    /// Tokens earned per second regardless of successes.
    pub reserve_per_second: f64,
    /// Maximum number of saved tokens, which bounds a burst of retries.
    pub max_tokens: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            reserve_per_second: 1.0,
            max_tokens: 20.0,
        }
    }
}

/// Token bucket of permitted retries.
#[derive(Debug)]
pub struct RetryBudget {
    state: parking_lot::Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    limits: BudgetLimits,
    bucket: token_bucket::TokenBucket,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(BudgetLimits::default())
    }
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        let bucket = token_bucket::TokenBucket::new(limits.max_tokens);
        Self {
            state: parking_lot::Mutex::new(BudgetState { limits, bucket }),
        }
    }

    /// Replaces the limits from `now` on; tokens beyond the new maximum are dropped.
    pub fn set_limits(&self, limits: BudgetLimits, now: time::Instant) {
        let mut state = self.state.lock();
        state.refill(now);
        state.limits = limits;
        state.bucket.add(0.0, limits.max_tokens);
    }

    /// Records a success at `now`.
    pub fn deposit(&self, now: time::Instant) {
        let mut state = self.state.lock();
        state.refill(now);
        let limits = state.limits;
        state
            .bucket
            .add(limits.retries_per_success, limits.max_tokens);
    }

    /// Tokens that are available at `now`.
    #[must_use]
    pub fn available(&self, now: time::Instant) -> f64 {
        let mut state = self.state.lock();
        state.refill(now);
        state.bucket.tokens()
    }

    /// Takes one token for a retry at `now`; returns false if none is available.
    #[must_use]
    pub fn withdraw(&self, now: time::Instant) -> bool {
        let mut state = self.state.lock();
        state.refill(now);
        state.bucket.take()
    }
}

impl BudgetState {
    fn refill(&mut self, now: time::Instant) {
        let limits = &self.limits;
        self.bucket
            .refill(now, limits.reserve_per_second, limits.max_tokens);
    }
}
