//! Timeouts after which a stream without events counts as lost; does no I/O.

use std::time;

/// Fraction of the gap goal after which the engine is probed. The rest is left for the probe's
/// response, the request to another engine and its first event.
const PROBE_FRACTION: f64 = 0.36;

/// Fraction of the gap goal after which the stream moves to another engine even if this one is
/// alive.
const ABANDON_FRACTION: f64 = 0.72;

/// Time without events after which a stream that cannot resume elsewhere is given up even if its
/// engine is alive. Exceeds the longest prefill and keeps the caller from waiting forever.
const UNRESUMABLE_ABANDON_AFTER: time::Duration = time::Duration::from_secs(10);

/// Gap goal for routes that set none.
const DEFAULT_GAP_GOAL: time::Duration = time::Duration::from_secs(2);

/// Interval of probes while the first event is outstanding. Prefill takes seconds, during which an
/// engine sends nothing.
pub const PREFILL_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Timeouts since the last event; other bytes from the engine do not reset them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallLimits {
    /// Time after which the engine is probed.
    pub probe_after: time::Duration,
    /// Time after which the engine is abandoned even if the probe succeeded.
    pub abandon_after: time::Duration,
}

impl StallLimits {
    /// Limits for a route whose longest acceptable gap between events is `gap_goal`.
    #[must_use]
    pub fn new(gap_goal: Option<time::Duration>) -> Self {
        let gap = gap_goal.unwrap_or(DEFAULT_GAP_GOAL);
        Self {
            probe_after: gap.mul_f64(PROBE_FRACTION),
            abandon_after: gap.mul_f64(ABANDON_FRACTION),
        }
    }

    /// Limits for a stream that no other engine can resume.
    #[must_use]
    pub const fn unresumable() -> Self {
        Self {
            probe_after: PREFILL_PROBE_INTERVAL,
            abandon_after: UNRESUMABLE_ABANDON_AFTER,
        }
    }
}
