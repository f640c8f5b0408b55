//! Estimates whether a stream that arrives at a stopping router would end before the process exits.
//!
//! In a rolling restart callers keep their connections, so that streams arrive late in the grace
//! period too. Such a stream would be aborted, and an engine would have to read its prompt a second
//! time; a stream that is refused at once has its prompt read only once.

use std::time;

/// Weight of each new duration in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Most streams end within this multiple of the mean.
const SPREAD_FACTOR: f64 = 1.3;

/// Exponential moving average of the durations of the streams that this router relayed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationEstimate {
    mean: Option<time::Duration>,
}

impl DurationEstimate {
    /// Adds the duration of a stream that was relayed completely.
    pub fn record(&mut self, elapsed: time::Duration) {
        let mean = self.mean.unwrap_or(elapsed);
        self.mean = Some(mean.mul_f64(1.0 - SMOOTHING_FACTOR) + elapsed.mul_f64(SMOOTHING_FACTOR));
    }

    /// Mean duration; `None` before the first [`record`](Self::record).
    #[must_use]
    pub const fn mean(&self) -> Option<time::Duration> {
        self.mean
    }

    /// Whether a stream that begins now is likely to end within `time_left`; true before the first
    /// [`record`](Self::record).
    #[must_use]
    pub fn can_finish_within(&self, time_left: time::Duration) -> bool {
        self.mean
            .is_none_or(|mean| mean.mul_f64(SPREAD_FACTOR) <= time_left)
    }
}
