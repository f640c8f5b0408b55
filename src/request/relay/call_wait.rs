//! Decides whether a call that all tried endpoints refused as full waits at the router; does no
//! I/O.
//!
//! In a burst of calls the endpoints' queues fill up. A call that is refused then has most of its
//! goal left, and a place may become free within milliseconds. Waiting is useless once the time
//! that the service usually takes no longer fits into the goal: the call would be late, and take
//! the place of a new call that is not.

use std::collections;
use std::time;

/// Waits of one call. Each one is followed by further attempts, whose number is also limited.
pub const MAX_WAITS: u32 = 2;

/// Calls that wait at one router at a time, for all services. Each holds its body. A service that
/// executes some hundred calls a second could not complete more within a wait.
pub const MAX_WAITING_CALLS: usize = 64;

/// Longest single wait; for as long endpoints that refused a request are avoided.
const MAX_WAIT: time::Duration = time::Duration::from_millis(100);

/// Shortest wait worth an attempt; about the time in which a small endpoint completes a call.
const MIN_WAIT: time::Duration = time::Duration::from_millis(10);

/// Part of the spare time that one wait uses at most, so that the rest remains for another wait and
/// for a call that takes longer than usual.
const SPARE_FRACTION: f64 = 0.5;

/// Answers whose durations count; enough to see a full queue, and few enough to forget it within
/// seconds at a router with a few calls a second.
const COUNTED_ANSWERS: usize = 8;

/// Durations of the newest answers of one service.
#[derive(Clone, Debug, Default)]
pub struct RecentDurations(collections::VecDeque<time::Duration>);

impl RecentDurations {
    /// Adds the duration of an answered call.
    pub fn record(&mut self, duration: time::Duration) {
        if self.0.len() >= COUNTED_ANSWERS {
            self.0.pop_front();
        }
        self.0.push_back(duration);
    }

    /// The longest of them; `None` before the first. It stands for the usual duration at endpoints
    /// that are full, where a call passes through a long queue; a mean is too short then.
    #[must_use]
    pub fn longest(&self) -> Option<time::Duration> {
        self.0.iter().copied().max()
    }
}

/// A call that all tried endpoints refused as full.
#[derive(Clone, Copy, Debug)]
pub struct FullCall {
    /// Time left to the goal of its route; `None` if the route names none.
    pub goal_left: Option<time::Duration>,
    /// Time left to its deadline.
    pub time_left: time::Duration,
    /// Usual duration of the service's calls at full endpoints, as measured by this router; `None`
    /// before the first answer.
    pub usual_duration: Option<time::Duration>,
    /// Waits of this call so far.
    pub waits: u32,
    /// Other calls that wait at this router.
    pub waiting_calls: usize,
}

/// Returns how long the call waits before it is tried again; `None` if it is to be refused now.
/// `random` is in 0..1 and spreads the attempts of calls that were refused together.
#[must_use]
pub fn next_wait(call: &FullCall, random: f64) -> Option<time::Duration> {
    if call.waits >= MAX_WAITS || call.waiting_calls >= MAX_WAITING_CALLS {
        return None;
    }
    let left = call.goal_left?.min(call.time_left);
    let spare = left.checked_sub(call.usual_duration?)?;
    let longest = spare.mul_f64(SPARE_FRACTION).min(MAX_WAIT);
    (longest >= MIN_WAIT).then(|| MIN_WAIT + longest.saturating_sub(MIN_WAIT).mul_f64(random))
}

/// Whether the call can still be answered within the goal of its route. One that cannot is refused
/// after its wait, as it would take the place of a call that can.
#[must_use]
pub fn can_meet_goal(call: &FullCall) -> bool {
    let left = call.goal_left.map(|left| left.min(call.time_left));
    left.zip(call.usual_duration)
        .is_some_and(|(left, usual)| usual <= left)
}
