//! Pacing of loads from the rate-limited weight store.

use std::time;

/// Loads that all issuers together start in a second at most.
pub const SHARED_LOADS_PER_SECOND: f64 = 2.0;

/// Loads that may be started at once after a quiet time.
const MAX_TOKENS: f64 = 1.0;

/// Spaces out the loads of one issuer.
///
/// Each model service has one issuer at a time, and each issuer has an equal part of the shared
/// rate, so the sum stays under it without any message between issuers.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    loads_per_second: f64,
    tokens: f64,
    updated_at: time::Instant,
}

impl LoadPacer {
    /// A pacer of one of `issuer_count` issuers; it starts empty, since an issuer before it may have
    /// used up the rate.
    #[must_use]
    pub fn new(now: time::Instant, issuer_count: usize) -> Self {
        Self {
            loads_per_second: rate_per_issuer(issuer_count),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Takes note of another number of issuers.
    pub fn set_issuer_count(&mut self, now: time::Instant, issuer_count: usize) {
        self.refill(now);
        self.loads_per_second = rate_per_issuer(issuer_count);
    }

    /// Whether a load may be started at `now`; if so it counts as started.
    pub fn take(&mut self, now: time::Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let gained = elapsed.as_secs_f64() * self.loads_per_second;
        self.tokens = MAX_TOKENS.min(self.tokens + gained);
    }
}

fn rate_per_issuer(issuer_count: usize) -> f64 {
    let issuer_count = u32::try_from(issuer_count.max(1)).unwrap_or(u32::MAX);
    SHARED_LOADS_PER_SECOND / f64::from(issuer_count)
}
