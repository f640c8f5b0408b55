//! Pacing of loads from the rate-limited weight store.

use std::time;

/// Loads that all issuers together start in a second at most.
pub const SHARED_LOADS_PER_SECOND: f64 = 2.0;

/// Loads that may be started at once after a quiet time.
const MAX_BURST: f64 = 1.0;

/// Spaces out the loads of one issuer.
///
/// Each model service has one issuer at a time, and each issuer has an equal part of the shared
/// rate, so the sum stays under it without any message between issuers.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    per_second: f64,
    saved: f64,
    updated: time::Instant,
}

impl LoadPacer {
    /// A pacer of one of `issuers` issuers; it starts empty, since an issuer before it may have
    /// used up the rate.
    #[must_use]
    pub fn new(now: time::Instant, issuers: usize) -> Self {
        Self {
            per_second: part_of_rate(issuers),
            saved: 0.0,
            updated: now,
        }
    }

    /// Takes note of another number of issuers.
    pub fn set_issuers(&mut self, now: time::Instant, issuers: usize) {
        self.refill(now);
        self.per_second = part_of_rate(issuers);
    }

    /// Whether a load may be started at `now`; if so it counts as started.
    pub fn take(&mut self, now: time::Instant) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        let gained = elapsed.as_secs_f64() * self.per_second;
        self.saved = MAX_BURST.min(self.saved + gained);
    }
}

fn part_of_rate(issuers: usize) -> f64 {
    let issuers = u32::try_from(issuers.max(1)).unwrap_or(u32::MAX);
    SHARED_LOADS_PER_SECOND / f64::from(issuers)
}
