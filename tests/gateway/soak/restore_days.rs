//! Random times at which the store of a run is copied and comes back from the copy.

use std::time;

use crate::support::fake_store;

/// Restores of one run, at most.
const MOST_RESTORES: u32 = 3;

/// Longest age of a copy when the store comes back from it.
const LONGEST_AGE_MS: u64 = 3_000;

/// What is due.
#[derive(Debug)]
pub enum RestoreStep {
    /// Copy the store.
    Copy,
    /// Bring the store back from the copy.
    Restore {
        copy: fake_store::StoreCopy,
        /// Whether it happens while no call for the configuration waits.
        is_unnoticed: bool,
    },
}

/// The restores of one run that are still to come, the next one last.
#[derive(Debug)]
pub struct RestoreDay {
    /// When to copy and when to restore.
    due: Vec<(time::Duration, time::Duration)>,
    copy: Option<fake_store::StoreCopy>,
    random: fastrand::Rng,
}

impl RestoreDay {
    /// Draws up to three restores within `length`.
    pub fn draw(seed: u64, length: time::Duration) -> Self {
        let mut random = fastrand::Rng::with_seed(seed.rotate_left(32));
        let length_ms = u64::try_from(length.as_millis()).expect("a short run");
        let mut due: Vec<(time::Duration, time::Duration)> = (0..=random.u32(..MOST_RESTORES))
            .map(|_restore| {
                let copied = random.u64(..length_ms);
                let restored = copied + random.u64(..LONGEST_AGE_MS);
                (
                    time::Duration::from_millis(copied),
                    time::Duration::from_millis(restored),
                )
            })
            .collect();
        due.sort_by_key(|(copied, _restored)| std::cmp::Reverse(*copied));
        Self {
            due,
            copy: None,
            random,
        }
    }

    /// Keeps a copy of the store for the next restore.
    pub fn keep(&mut self, copy: fake_store::StoreCopy) {
        self.copy = Some(copy);
    }

    /// Returns what is due by now, if anything.
    pub fn take_due(&mut self, elapsed: time::Duration) -> Option<RestoreStep> {
        let (copied, restored) = *self.due.last()?;
        if self.copy.is_none() {
            return (copied <= elapsed).then_some(RestoreStep::Copy);
        }
        if elapsed < restored {
            return None;
        }
        self.due.pop();
        let copy = self.copy.take()?;
        let is_unnoticed = self.random.bool();
        Some(RestoreStep::Restore { copy, is_unnoticed })
    }
}
