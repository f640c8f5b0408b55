//! Decides which requests a stopping router still accepts.
//!
//! Callers keep their connections, so requests arrive until the process is gone, and those still
//! running at the end of the grace period are aborted. A refused request starts on another router
//! at once; an aborted one has its work done twice, or must not be sent again at all.

use std::time;

use crate::process::gateway::stream_duration;

/// Time from the signal for which requests are accepted that are only likely to end in time.
/// Operators put up with an aborted request that was sent within 3 s of the signal; the rest is a
/// margin for a signal that is handled late.
const LIKELY_ADMISSION_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Fraction of the grace period after which all new requests are refused.
const CLOSE_FRACTION: f64 = 0.86;

/// Fraction of the grace period after which requests in flight are aborted, so that callers
/// continue them on another router.
const ABORT_FRACTION: f64 = 0.95;

/// Fraction of the grace period after which the process exits, before the platform kills it.
const EXIT_FRACTION: f64 = 0.98;

/// What the admission of a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// When the request had been read.
    pub at: time::Instant,
    /// When the request is answered at the latest.
    pub deadline: time::Instant,
    /// Whether the answer is a stream.
    pub is_stream: bool,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    signal: time::Instant,
    close: time::Instant,
    abort: time::Instant,
    exit: time::Instant,
}

impl StopSchedule {
    /// Schedule of a stop that was signalled at `signalled_at` and has to end within `grace`.
    #[must_use]
    pub fn new(signalled_at: time::Instant, grace: time::Duration) -> Self {
        Self {
            signal: signalled_at,
            close: signalled_at + grace.mul_f64(CLOSE_FRACTION),
            abort: signalled_at + grace.mul_f64(ABORT_FRACTION),
            exit: signalled_at + grace.mul_f64(EXIT_FRACTION),
        }
    }

    /// When all new requests are refused.
    #[must_use]
    pub const fn closes_at(&self) -> time::Instant {
        self.close
    }

    /// When requests in flight are aborted.
    #[must_use]
    pub const fn aborts_at(&self) -> time::Instant {
        self.abort
    }

    /// When the process exits, whatever is still in flight.
    #[must_use]
    pub const fn exits_at(&self) -> time::Instant {
        self.exit
    }

    /// Whether to accept a request. Later than [`LIKELY_ADMISSION_TIME`] after the signal, one is
    /// accepted only if its deadline ends it before the abort.
    #[must_use]
    pub fn admits(
        &self,
        arrival: RequestArrival,
        estimate: &stream_duration::DurationEstimate,
    ) -> bool {
        if arrival.at >= self.close {
            return false;
        }
        if arrival.deadline <= self.abort {
            return true;
        }
        if arrival.at > self.signal + LIKELY_ADMISSION_TIME {
            return false;
        }
        !arrival.is_stream || estimate.can_finish_within(self.close - arrival.at)
    }
}
