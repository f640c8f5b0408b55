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
    limits: BudgetLimits,
    bucket: parking_lot::Mutex<token_bucket::TokenBucket>,
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
            limits,
            bucket: parking_lot::Mutex::new(bucket),
        }
    }

    /// Records a success at `now`.
    pub fn deposit(&self, now: time::Instant) {
        let mut bucket = self.refilled(now);
        bucket.add(self.limits.retries_per_success, self.limits.max_tokens);
    }

    /// Takes one token for a retry at `now`; returns false if none is available.
    #[must_use]
    pub fn withdraw(&self, now: time::Instant) -> bool {
        self.refilled(now).take()
    }

    fn refilled(
        &self,
        now: time::Instant,
    ) -> parking_lot::MutexGuard<'_, token_bucket::TokenBucket> {
        let mut bucket = self.bucket.lock();
        let limits = &self.limits;
        bucket.refill(now, limits.reserve_per_second, limits.max_tokens);
        bucket
    }
}
