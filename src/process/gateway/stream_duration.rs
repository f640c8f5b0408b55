//! Whether a stream that arrives at a stopping router would end before the router does.
//!
//! The load it answers: a planned stop of one router after the other while callers keep their
//! connections. A stream that begins late in the grace is cut, and its prompt is read again
//! elsewhere; refused at once, it is read once.

use std::time;

/// Part of each new stream's time in the mean.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Factor on the mean within which most streams end.
const SPREAD_FACTOR: f64 = 1.3;

/// Mean time of the streams that this router passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationEstimate {
    mean: Option<time::Duration>,
}

impl DurationEstimate {
    /// Takes note of a whole stream.
    pub fn record(&mut self, elapsed: time::Duration) {
        let mean = self.mean.unwrap_or(elapsed);
        self.mean = Some(mean.mul_f64(1.0 - SMOOTHING_FACTOR) + elapsed.mul_f64(SMOOTHING_FACTOR));
    }

    /// Whether a stream that begins now is likely to end within `left`.
    #[must_use]
    pub fn can_finish_within(&self, left: time::Duration) -> bool {
        self.mean
            .is_none_or(|mean| mean.mul_f64(SPREAD_FACTOR) <= left)
    }
}
