//! Retry budget: a token bucket that limits retries to a fraction of recent successes.

use std::time;

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
    state: parking_lot::Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    tokens: f64,
    updated_at: Option<time::Instant>,
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
        let state = BudgetState {
            tokens: limits.max_tokens,
            updated_at: None,
        };
        Self {
            limits,
            state: parking_lot::Mutex::new(state),
        }
    }

    /// Records a success at `now`.
    pub fn deposit(&self, now: time::Instant) {
        let mut state = self.state.lock();
        state.refill(now, &self.limits);
        state.add(self.limits.retries_per_success, &self.limits);
    }

    /// Takes one token for a retry at `now`; returns false if none is available.
    #[must_use]
    pub fn withdraw(&self, now: time::Instant) -> bool {
        let mut state = self.state.lock();
        state.refill(now, &self.limits);
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }
}

impl BudgetState {
    fn refill(&mut self, now: time::Instant, limits: &BudgetLimits) {
        let last = self.updated_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last);
        self.updated_at = Some(last.max(now));
        self.add(elapsed.as_secs_f64() * limits.reserve_per_second, limits);
    }

    fn add(&mut self, tokens: f64, limits: &BudgetLimits) {
        self.tokens = (self.tokens + tokens).min(limits.max_tokens);
    }
}
