//! Timeouts after which a stream without events counts as lost; does no I/O.

use std::time;

/// Fraction of the gap goal after which the engine is probed. The rest is left for the probe's
/// response, the request to another engine and its first event.
const PROBE_FRACTION: f64 = 0.36;

/// Fraction of the gap goal after which the stream moves to another engine even if this one is
/// alive.
const ABANDON_FRACTION: f64 = 0.72;

/// Longer than any deadline, which ends a stream that only its engine can continue.
const BEYOND_DEADLINES: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Time within which an engine answers a probe, which occupies no slot there.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Shortest time assumed for a prompt to be prefilled again elsewhere: one second for 8,000 tokens, and
/// as much behind another prompt.
const MIN_PREFILL_TIME: time::Duration = time::Duration::from_secs(2);

/// Longest time assumed for it, however long the first event of the stream took.
const MAX_PREFILL_TIME: time::Duration = time::Duration::from_secs(4);

/// Most doublings of the limits.
const MAX_DOUBLINGS: u32 = 4;

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
    /// Time within which a probe is answered.
    pub probe_timeout: time::Duration,
    /// Whether an engine that does not answer a probe counts as lost.
    pub is_silence_loss: bool,
}

impl StallLimits {
    /// Limits for a route whose longest acceptable gap between events is `gap_goal`.
    #[must_use]
    pub fn new(gap_goal: Option<time::Duration>) -> Self {
        let gap = gap_goal.unwrap_or(DEFAULT_GAP_GOAL);
        Self {
            probe_after: gap.mul_f64(PROBE_FRACTION),
            abandon_after: gap.mul_f64(ABANDON_FRACTION),
            probe_timeout: PROBE_TIMEOUT,
            is_silence_loss: true,
        }
    }

    /// Limits after `count` engines were abandoned for their silence, doubled for each: on a slow
    /// path or a slow machine all engines seem silent.
    #[must_use]
    pub fn after_silences(self, count: u32) -> Self {
        let factor = 1 << count.min(MAX_DOUBLINGS);
        Self {
            probe_after: self.probe_after * factor,
            abandon_after: self.abandon_after * factor,
            probe_timeout: self.probe_timeout * factor,
            ..self
        }
    }

    /// Limits for a stream without a KV copy at a healthy engine. Another engine would prefill the
    /// prompt first, so its own one is abandoned only after a silence as long as that.
    /// `first_event` is the time that the first event took, if it came after a prefill.
    #[must_use]
    pub fn without_copy(self, first_event: Option<time::Duration>) -> Self {
        let prefill = first_event.unwrap_or_default();
        let prefill = prefill.clamp(MIN_PREFILL_TIME, MAX_PREFILL_TIME);
        Self {
            abandon_after: self.abandon_after.max(prefill),
            ..self
        }
    }

    /// Limits for a stream that no other engine can resume: its engine is neither probed nor
    /// abandoned, as a silent engine may still go on and nothing else can.
    #[must_use]
    pub const fn unresumable() -> Self {
        Self {
            probe_after: BEYOND_DEADLINES,
            abandon_after: BEYOND_DEADLINES,
            probe_timeout: PROBE_TIMEOUT,
            is_silence_loss: false,
        }
    }

    /// Limits for a stream that may run once only: until its first event, only a report without it
    /// shows that it is lost.
    #[must_use]
    pub const fn until_reported(self) -> Self {
        Self {
            is_silence_loss: false,
            ..self
        }
    }

    /// Whether the engine is probed and abandoned at all.
    #[must_use]
    pub fn may_abandon(&self) -> bool {
        self.abandon_after < BEYOND_DEADLINES
    }
}
