//! Monotonic wall clock for comparing ages within one process.

use std::time;

use crate::process::telemetry::timeline;

/// Wall clock that never goes backward, even when the system clock is adjusted.
///
/// Its offset from the system clock is the sum of all adjustments since it was created.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    started: time::Instant,
    started_wall: time::Duration,
}

impl Default for WallClock {
    fn default() -> Self {
        Self::new()
    }
}

impl WallClock {
    /// Creates a clock set to the current system time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: time::Instant::now(),
            started_wall: time::Duration::from_micros(timeline::wall_micros()),
        }
    }

    /// Time since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> time::Duration {
        self.started_wall + self.started.elapsed()
    }
}
