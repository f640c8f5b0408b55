//! Random request limits that the endpoints of a run name, change and end.

use std::time;

/// Longest time from the start until an endpoint first names a limit.
const LATEST_BEGIN_MS: u64 = 3_000;

/// Shortest time of a limit; it binds three seconds after it was named.
const SHORTEST_LIMIT_MS: u64 = 4_000;

/// Limits are drawn from this range, in tenths of a request a second.
const RATE_TENTHS: std::ops::Range<u32> = 3..60;

/// An endpoint that names a limit, or none, from some time of the run on.
#[derive(Clone, Copy, Debug)]
pub struct DueLimit {
    pub at: time::Duration,
    pub endpoint: usize,
    pub rate: Option<f64>,
}

/// The limits of one run that are still to be set, the next one last.
#[derive(Clone, Debug)]
pub struct LimitDay {
    due: Vec<DueLimit>,
}

impl LimitDay {
    /// Draws limits for some of the `endpoints`. Each is changed up to twice, and most end before
    /// `length`.
    pub fn draw(seed: u64, length: time::Duration, endpoints: u8) -> Self {
        let mut random = fastrand::Rng::with_seed(!seed);
        let limited = random.usize(1..=usize::from(endpoints));
        let mut due = Vec::new();
        for endpoint in random.choose_multiple(0..usize::from(endpoints), limited) {
            let mut at = time::Duration::from_millis(random.u64(..LATEST_BEGIN_MS));
            for _change in 0..=random.u32(..3) {
                let rate = Some(f64::from(random.u32(RATE_TENTHS)) / 10.0);
                due.push(DueLimit { at, endpoint, rate });
                let limit_ms = SHORTEST_LIMIT_MS..SHORTEST_LIMIT_MS * 2;
                at += time::Duration::from_millis(random.u64(limit_ms));
            }
            if at < length {
                let rate = None;
                due.push(DueLimit { at, endpoint, rate });
            }
        }
        due.sort_by_key(|limit| std::cmp::Reverse(limit.at));
        Self { due }
    }

    /// Removes and returns the limits that are to be set by now.
    pub fn take_due(&mut self, elapsed: time::Duration) -> Vec<DueLimit> {
        let later = self.due.partition_point(|limit| elapsed < limit.at);
        let mut due = self.due.split_off(later);
        due.reverse();
        due
    }
}
