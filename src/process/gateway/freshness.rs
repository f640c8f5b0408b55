//! Age of this router's cached configuration, and which decisions are allowed at that age.

use std::time;

use crate::process::gateway::boot_clock;

/// Safety margin below the age at which API keys are no longer accepted. It covers the network
/// delay between caller and router, and clock drift.
const KEY_AGE_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Age below which a route or key missing from the cached configuration counts as nonexistent.
const MAX_DENIAL_AGE: time::Duration = time::Duration::from_millis(3_500);

/// When the cached data was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessClock {
    confirmed_at: Option<boot_clock::BootInstant>,
}

impl FreshnessClock {
    /// Records that a query sent at `asked_at` confirmed the cached data as current. An earlier
    /// time than the recorded one changes nothing.
    pub fn confirm(&mut self, asked_at: boot_clock::BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Whether the cached data was last confirmed before `other`, or never.
    #[must_use]
    pub fn is_older_than(&self, other: boot_clock::BootInstant) -> bool {
        self.confirmed_at < Some(other)
    }

    /// Time since the last confirmation; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: boot_clock::BootInstant) -> Option<time::Duration> {
        Some(now.since(self.confirmed_at?))
    }

    /// Whether an API key listed in the cached configuration may be accepted. `max_age` is the age
    /// from which keys are no longer accepted; `None` accepts them at any age.
    #[must_use]
    pub fn may_accept_key(
        &self,
        max_age: Option<time::Duration>,
        now: boot_clock::BootInstant,
    ) -> bool {
        let Some(max_age) = max_age else {
            return self.confirmed_at.is_some();
        };
        self.age(now)
            .is_some_and(|age| age + KEY_AGE_MARGIN < max_age)
    }

    /// Whether a request may be rejected for good because the cached configuration lacks its route
    /// or key.
    #[must_use]
    pub fn may_deny(&self, now: boot_clock::BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < MAX_DENIAL_AGE)
    }
}
