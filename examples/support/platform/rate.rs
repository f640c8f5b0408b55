//! Token bucket that limits calls a second.

use std::time;

/// Allows `per_second` calls a second, with bursts of a tenth of that.
#[derive(Debug)]
pub struct RateBucket {
    per_second: f64,
    tokens: f64,
    filled: time::Instant,
}

/// Length of a burst, in seconds of the rate.
const BURST_SECONDS: f64 = 0.1;

impl RateBucket {
    /// A full bucket.
    pub fn new(per_second: f64, now: time::Instant) -> Self {
        Self {
            per_second,
            tokens: burst(per_second),
            filled: now,
        }
    }

    /// Takes `count` calls if the rate allows them.
    pub fn take(&mut self, count: f64, now: time::Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(burst(self.per_second));
        if self.tokens <= 0.0 {
            return false;
        }
        // A transaction larger than the burst is paid for by the calls after it.
        self.tokens -= count;
        true
    }
}

fn burst(per_second: f64) -> f64 {
    (per_second * BURST_SECONDS).max(1.0)
}
