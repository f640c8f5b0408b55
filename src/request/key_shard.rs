//! One shard of the key table: entries, an expiry index and a queue of stored bodies.

use std::collections;
use std::sync;
use std::time;

use crate::connection::peer_wire;
use crate::request::digest;
use crate::request::outcome;
use crate::request::verdict;

/// Extension of an expired entry whose call is still running.
const RUNNING_GRACE: time::Duration = time::Duration::from_secs(60);

#[derive(Debug)]
/// Entry of one key.
pub(crate) struct KeyEntry {
    pub(crate) request: digest::CallDigest,
    /// Whether a refusal must hold for every later copy of the call.
    pub(crate) is_refusal_final: bool,
    /// When the entry may be dropped, since the Unix epoch.
    pub(crate) expiry: time::Duration,
    pub(crate) state: EntryState,
}

#[derive(Debug)]
/// State of the call of an entry.
pub(crate) enum EntryState {
    Running(outcome::PendingOutcome),
    Kept(outcome::SharedOutcome),
    Trimmed(u16),
}

#[derive(Debug, Default)]
/// Entries whose digests map to this shard.
pub(crate) struct KeyShard {
    pub(crate) entries: collections::HashMap<digest::CallDigest, KeyEntry>,
    pub(crate) expiries: collections::BTreeSet<(time::Duration, digest::CallDigest)>,
    bodies: collections::VecDeque<digest::CallDigest>,
    pub(crate) body_bytes: usize,
    /// Unknown keys made at or before this time are refused, because one of them was refused
    /// permanently when the shard was full.
    pub(crate) floor: Option<time::Duration>,
}

impl KeyEntry {
    /// Result of a lookup by another copy of the call.
    pub(crate) fn answer(&mut self, arrival: outcome::KeyArrival) -> outcome::TableEntry {
        self.is_refusal_final = true;
        if self.request != arrival.request {
            return outcome::TableEntry::Reused;
        }
        match &self.state {
            EntryState::Running(pending) => outcome::TableEntry::Running(pending.clone()),
            EntryState::Kept(outcome) => outcome::TableEntry::Kept(sync::Arc::clone(outcome)),
            EntryState::Trimmed(status) => outcome::TableEntry::Trimmed(*status),
        }
    }
}

impl KeyShard {
    /// Evicts expired entries; their keys are too old to be accepted again.
    pub(crate) fn sweep(&mut self, now: time::Duration) {
        while let Some(&(expiry, key)) = self.expiries.first() {
            if expiry > now {
                return;
            }
            self.expiries.pop_first();
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if matches!(entry.state, EntryState::Running(_)) {
                entry.expiry = now + RUNNING_GRACE;
                self.expiries.insert((entry.expiry, key));
                continue;
            }
            self.body_bytes -= entry.state.body_bytes();
            self.entries.remove(&key);
        }
    }

    /// Stores the outcome, or removes the entry so that the key may be used again.
    pub(crate) fn settle(
        &mut self,
        key: digest::CallDigest,
        outcome: &outcome::SharedOutcome,
        keep: bool,
        max_bytes: usize,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if !keep || (is_not_run(outcome) && !entry.is_refusal_final) {
            self.forget(key);
            return;
        }
        // The table has a bound of its own for answers.
        entry.state = EntryState::Kept(sync::Arc::new(outcome.detached()));
        let bytes = entry.state.body_bytes();
        if bytes == 0 {
            return;
        }
        self.body_bytes += bytes;
        self.bodies.push_back(key);
        self.trim(max_bytes);
        self.drop_stale_bodies();
    }

    fn forget(&mut self, key: digest::CallDigest) {
        if let Some(entry) = self.entries.remove(&key) {
            self.expiries.remove(&(entry.expiry, key));
        }
    }

    /// Removes leading items of the body queue whose entry or body no longer exists.
    fn drop_stale_bodies(&mut self) {
        while let Some(key) = self.bodies.front() {
            let entry = self.entries.get(key);
            if entry.is_some_and(|entry| entry.state.body_bytes() > 0) {
                return;
            }
            self.bodies.pop_front();
        }
    }

    /// Evicts the oldest bodies until the total is at most `max_bytes`.
    fn trim(&mut self, max_bytes: usize) {
        while self.body_bytes > max_bytes {
            let Some(key) = self.bodies.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let bytes = entry.state.body_bytes();
            if bytes == 0 {
                continue;
            }
            self.body_bytes -= bytes;
            entry.state.trim();
        }
    }
}

impl EntryState {
    fn body_bytes(&self) -> usize {
        let Self::Kept(outcome) = self else {
            return 0;
        };
        match outcome.as_ref() {
            peer_wire::CallOutcomeWire::Answered { body, .. } => body.len(),
            peer_wire::CallOutcomeWire::Refused(_) => 0,
        }
    }

    fn trim(&mut self) {
        let Self::Kept(outcome) = self else {
            return;
        };
        if let peer_wire::CallOutcomeWire::Answered { status, .. } = **outcome {
            *self = Self::Trimmed(status);
        }
    }
}

fn is_not_run(outcome: &peer_wire::CallOutcomeWire) -> bool {
    let peer_wire::CallOutcomeWire::Refused(refusal) = outcome else {
        return false;
    };
    refusal.verdict == verdict::RunVerdict::NotRun
}
