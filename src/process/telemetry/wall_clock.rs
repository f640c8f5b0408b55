//! Wall time for comparing ages within one process.

use std::time;

use crate::process::telemetry::timeline;

/// Wall time that never goes back, whatever happens to the system clock.
///
/// It differs from the system clock by what that was set by since the start of the process.
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
    /// A clock that agrees with the system clock now.
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
