//! A monotonic clock that includes the time for which the VM was suspended.
//!
//! `std::time::Instant` stops during suspend, so cached data would look younger than it is.

use std::time;

/// A point in time, as the time since the VM booted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BootInstant(pub time::Duration);

impl BootInstant {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let timespec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(timespec.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(timespec.tv_nsec).unwrap_or_default();
        Self(time::Duration::new(seconds, nanos))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this instant.
    #[must_use]
    pub fn since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The instant `age` before this one; boot time if that would be before boot.
    #[must_use]
    pub fn before(self, age: time::Duration) -> Self {
        Self(self.0.saturating_sub(age))
    }
}
