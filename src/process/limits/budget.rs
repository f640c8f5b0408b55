//! Retry budget: retries are at most a fraction of recent successes.

use std::time;

/// Bounds of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Retries allowed for each success.
    pub retries_per_success: f64,
    /// Retries allowed each second even without successes.
    pub reserve_per_second: f64,
    /// Retries that can be saved up.
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

/// Counts retries that may still be made.
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
    /// A full budget.
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

    /// Takes note of a success at `now`.
    pub fn deposit(&self, now: time::Instant) {
        let mut state = self.state.lock();
        state.refill(now, &self.limits);
        state.add(self.limits.retries_per_success, &self.limits);
    }

    /// Whether a retry may be made at `now`; it is counted if so.
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
