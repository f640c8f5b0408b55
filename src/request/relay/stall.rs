//! When a stream that brings nothing is taken as lost: pure decisions.

use std::time;

/// Part of the wanted pause after which the engine is asked for a sign of life; the rest is left
/// for the answer, the way to another engine, and its first event.
const PROBE_FRACTION: f64 = 0.36;

/// Part of the wanted pause after which an engine that shows signs of life is left all the same.
const ABANDON_FRACTION: f64 = 0.72;

/// Silence after which a stream that cannot go on elsewhere is given up although its engine shows signs
/// of life: longer than any engine reads prompts for, and a caller does not wait for ever.
const UNRESUMABLE_ABANDON_AFTER: time::Duration = time::Duration::from_secs(10);

/// Pause that is assumed where a route wants none.
const DEFAULT_GAP_GOAL: time::Duration = time::Duration::from_secs(2);

/// Time without a first event after which the engine is asked for a sign of life, and again. An
/// engine reads prompts for seconds and sends nothing meanwhile.
pub const PREFILL_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long it is borne that no event comes, whatever else the engine sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallLimits {
    /// After this time the engine is asked for a sign of life.
    pub probe_after: time::Duration,
    /// After this time another engine goes on, whatever the sign.
    pub abandon_after: time::Duration,
}

impl StallLimits {
    /// Limits for a route that wants pauses of at most `gap_goal`.
    #[must_use]
    pub fn new(gap_goal: Option<time::Duration>) -> Self {
        let gap = gap_goal.unwrap_or(DEFAULT_GAP_GOAL);
        Self {
            probe_after: gap.mul_f64(PROBE_FRACTION),
            abandon_after: gap.mul_f64(ABANDON_FRACTION),
        }
    }

    /// Limits for a stream that no other engine can go on with.
    #[must_use]
    pub const fn unresumable() -> Self {
        Self {
            probe_after: PREFILL_PROBE_INTERVAL,
            abandon_after: UNRESUMABLE_ABANDON_AFTER,
        }
    }
}
