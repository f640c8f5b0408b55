//! Rate limiter for model loads, which read weights from a rate-limited store.

use std::time;

/// Maximum loads per second over all issuers.
pub const SHARED_LOADS_PER_SECOND: f64 = 2.0;

/// Capacity of the token bucket: the maximum burst of loads after an idle period.
const MAX_TOKENS: f64 = 1.0;

/// Token bucket for the loads of one issuer.
///
/// Each model service has one issuer at a time, and each issuer gets an equal part of the shared
/// rate. So the total stays below the shared rate without communication between issuers.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    loads_per_second: f64,
    tokens: f64,
    updated_at: time::Instant,
}

impl LoadPacer {
    /// Creates the pacer of one of `issuer_count` issuers. It starts empty, since the previous
    /// issuer may have used up the rate.
    #[must_use]
    pub fn new(now: time::Instant, issuer_count: usize) -> Self {
        Self {
            loads_per_second: rate_per_issuer(issuer_count),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Changes the number of issuers that share the rate.
    pub fn set_issuer_count(&mut self, now: time::Instant, issuer_count: usize) {
        self.refill(now);
        self.loads_per_second = rate_per_issuer(issuer_count);
    }

    /// Takes a token for a load at `now`; returns false if none is available.
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
