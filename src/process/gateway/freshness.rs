//! How old this router's knowledge of the configuration is, and what it may decide with it.

use std::time;

use crate::process::gateway::boot_clock;

/// Kept back from the age at which keys are not taken any more: the way from caller to router, and
/// clocks that do not tick alike.
const KEY_MARGIN: time::Duration = time::Duration::from_millis(300);

/// Age up to which a missing route or key counts as proof that there is none.
const DENIAL_AGE: time::Duration = time::Duration::from_millis(3_500);

/// When the configuration in force was last known to be the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessClock {
    confirmed: Option<boot_clock::BootInstant>,
}

impl FreshnessClock {
    /// Takes note that a question sent at `asked` was answered with the version in force.
    pub fn confirm(&mut self, asked: boot_clock::BootInstant) {
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Whether knowledge of `asked` is newer than what is held.
    #[must_use]
    pub fn is_older_than(&self, asked: boot_clock::BootInstant) -> bool {
        self.confirmed < Some(asked)
    }

    /// Age of the knowledge; `None` when there is none.
    #[must_use]
    pub fn age(&self, now: boot_clock::BootInstant) -> Option<time::Duration> {
        Some(now.since(self.confirmed?))
    }

    /// Whether a key that the version holds may be taken, where keys end at `bound`.
    #[must_use]
    pub fn may_accept_key(
        &self,
        bound: Option<time::Duration>,
        now: boot_clock::BootInstant,
    ) -> bool {
        let Some(bound) = bound else {
            return self.confirmed.is_some();
        };
        self.age(now).is_some_and(|age| age + KEY_MARGIN < bound)
    }

    /// Whether a route or key that the version lacks may be denied for good.
    #[must_use]
    pub fn may_deny(&self, now: boot_clock::BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < DENIAL_AGE)
    }
}
