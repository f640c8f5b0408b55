//! Estimates whether a stream that arrives at a stopping router would end before the process exits.
//!
//! In a rolling restart callers keep their connections, so that streams arrive late in the grace
//! period too. Such a stream would be aborted, and an engine would have to read its prompt a second
//! time; a stream that is refused at once has its prompt read only once.

use std::time;

/// Weight of each new duration in the smoothed mean, as for round-trip times in RFC 6298.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of each new difference from the mean in the smoothed deviation, as in RFC 6298.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean within which nearly all streams end, as in RFC 6298.
const DEVIATION_FACTOR: f64 = 4.0;

/// Least margin above the mean, as a part of it: the newest streams may have been unusually alike.
const MIN_MARGIN: f64 = 0.3;

/// Smoothed mean and deviation of the durations of the streams that this router relayed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DurationEstimate {
    moments: Option<DurationMoments>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct DurationMoments {
    mean: time::Duration,
    deviation: time::Duration,
}

impl DurationEstimate {
    /// Adds the duration of a stream that was relayed from its first event to its last.
    pub fn record(&mut self, elapsed: time::Duration) {
        let moments = match self.moments {
            None => DurationMoments {
                mean: elapsed,
                deviation: elapsed / 2,
            },
            Some(DurationMoments { mean, deviation }) => DurationMoments {
                mean: smooth(mean, elapsed, MEAN_WEIGHT),
                deviation: smooth(deviation, mean.abs_diff(elapsed), DEVIATION_WEIGHT),
            },
        };
        self.moments = Some(moments);
    }

    /// Time in which nearly all streams end; `None` before the first [`record`](Self::record).
    #[must_use]
    pub fn upper_bound(&self) -> Option<time::Duration> {
        let moments = self.moments?;
        let margin = moments.deviation.mul_f64(DEVIATION_FACTOR);
        Some(moments.mean + margin.max(moments.mean.mul_f64(MIN_MARGIN)))
    }

    /// Whether a stream that begins now is likely to end within `time_left`; `false` before the
    /// first [`record`](Self::record), as the stream may take until its deadline.
    #[must_use]
    pub fn can_finish_within(&self, time_left: time::Duration) -> bool {
        self.upper_bound().is_some_and(|bound| bound <= time_left)
    }
}

fn smooth(old: time::Duration, new: time::Duration, weight: f64) -> time::Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
