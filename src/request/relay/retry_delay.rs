//! `Retry-After` of a call that all tried endpoints refused as full; does no I/O.
//!
//! In a burst of calls, callers that are all told the same delay come back together, into the same
//! burst, and have then used up their only return. The delay therefore follows from how many calls
//! this router had refused of late, and is spread.

use std::collections;
use std::time;

/// Time over which calls are counted.
pub const COUNTED_TIME: time::Duration = time::Duration::from_secs(1);

/// Part of the time left that callers wait at most; one that is told more does not come back.
const MAX_TIME_FRACTION: f64 = 1.0 / 3.0;

/// Shortest delay; for as long endpoints that refused a request are avoided.
const MIN_DELAY: time::Duration = time::Duration::from_millis(100);

/// Part of the capacity that new calls are assumed to leave for callers that come back. With a
/// larger part, most callers come back into the same burst.
const SPARE_CAPACITY: f64 = 0.25;

/// Part of the delay that is random, so that callers refused together do not come back together. A
/// larger part makes more callers come back into the same burst.
const JITTER: f64 = 0.05;

/// Calls that are remembered; a router with more in [`COUNTED_TIME`] goes by the newest ones.
const MAX_CALLS: usize = 512;

/// Calls of one service that this router had answered or refused of late.
#[derive(Clone, Debug, Default)]
pub struct RecentCalls {
    /// When each call ended and whether it was refused as full, oldest first.
    ends: collections::VecDeque<(time::Instant, bool)>,
}

/// Calls that ended within [`COUNTED_TIME`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCount {
    /// Calls that an endpoint answered.
    pub answered: u32,
    /// Calls that were refused because endpoints were full.
    pub refused: u32,
}

impl RecentCalls {
    /// Records the end of a call.
    pub fn record(&mut self, is_refused: bool, now: time::Instant) {
        self.drop_old(now);
        if self.ends.len() >= MAX_CALLS {
            self.ends.pop_front();
        }
        self.ends.push_back((now, is_refused));
    }

    /// Returns the calls of the last [`COUNTED_TIME`].
    pub fn count(&mut self, now: time::Instant) -> CallCount {
        self.drop_old(now);
        let mut count = CallCount::default();
        for (_at, is_refused) in &self.ends {
            if *is_refused {
                count.refused += 1;
            } else {
                count.answered += 1;
            }
        }
        count
    }

    fn drop_old(&mut self, now: time::Instant) {
        let is_old = |(at, _refused): &(time::Instant, bool)| {
            now.saturating_duration_since(*at) > COUNTED_TIME
        };
        while self.ends.front().is_some_and(is_old) {
            self.ends.pop_front();
        }
    }
}

/// Returns the delay after which the caller should come back: the time in which the endpoints
/// answer as many calls as were refused with their spare capacity, spread by `random` in 0..1, and no more than a third of
/// `time_left`.
#[must_use]
pub fn retry_delay(count: CallCount, time_left: time::Duration, random: f64) -> time::Duration {
    let longest = time_left.mul_f64(MAX_TIME_FRACTION);
    let excess = f64::from(count.refused) / f64::from(count.answered.max(1));
    let delay = COUNTED_TIME
        .mul_f64(excess / SPARE_CAPACITY)
        .max(MIN_DELAY)
        .min(longest);
    delay.mul_f64(1.0 - JITTER * random)
}
