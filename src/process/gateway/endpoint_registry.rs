//! The endpoints that exist, merged from changes and full lists that may be stale or incomplete.
//!
//! While the store is unreachable, and for a grace period after its return, an entry that the
//! store removes is only marked as lapsed: its endpoint may still run, and the entry may come
//! back. A lapsed entry stays in use until the grace period ends.
//!
//! A store that was restored from a copy lacks entries of endpoints that still run, which lapse too,
//! and holds some of endpoints that have gone, which are left out until the store has had the time to
//! drop them. The registry takes the time as an argument and does no I/O.

use std::collections;
use std::net;
use std::time;

use crate::process::gateway::boot_clock;

/// Time after a restore of the store until it has dropped the entries of endpoints that no longer
/// write to it; longer than three of their intervals.
const STALE_ENTRY_TIME: time::Duration = time::Duration::from_secs(5);

/// Time for which a removed endpoint is remembered; longer than the age of a copy of the store.
const REMOVED_RETENTION: time::Duration = time::Duration::from_secs(60);

/// An endpoint as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Name, unique among endpoints.
    pub name: String,
    /// Start time of the endpoint, in milliseconds since the Unix epoch; tells one run of it from
    /// the next.
    pub incarnation: u64,
    /// Name of the service that it serves.
    pub service: String,
    /// Address and port.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of the software that it runs.
    pub version: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub is_leaving: bool,
}

/// A change to one endpoint entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry exists.
    Present(EndpointRecord),
    /// The entry with this name was removed, or its content cannot be decoded.
    Absent(String),
}

/// What is remembered of an endpoint that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedEndpoint {
    incarnation: u64,
    is_leaving: bool,
    at: boot_clock::BootInstant,
}

/// The endpoints known to this router.
#[derive(Debug)]
pub struct EndpointRegistry {
    records: collections::HashMap<String, EndpointRecord>,
    /// Names of entries that were removed while the store was unreachable or had just returned,
    /// each with the earliest time at which it is dropped.
    lapsed: collections::HashMap<String, boot_clock::BootInstant>,
    /// End of the grace period after the store's last return.
    settled_at: boot_clock::BootInstant,
    is_store_unreachable: bool,
    /// Endpoints that were removed lately, by name.
    removed: collections::HashMap<String, RemovedEndpoint>,
    /// Until when a restored store may hold entries of removed endpoints.
    stale_until: boot_clock::BootInstant,
    /// When the store is to be read again because it was restored.
    reread_at: Option<boot_clock::BootInstant>,
    /// Whether the store is to be read again because a peer's list was older than what is known.
    has_older_rows: bool,
    /// Whether a full list was received, from the store or from a peer.
    is_initialized: bool,
    lapse_grace: time::Duration,
}

impl EndpointRegistry {
    /// Creates an empty registry that keeps entries which lapse during a store outage until
    /// `lapse_grace` after the store's return.
    #[must_use]
    pub fn new(lapse_grace: time::Duration) -> Self {
        Self {
            records: collections::HashMap::new(),
            lapsed: collections::HashMap::new(),
            settled_at: boot_clock::BootInstant::default(),
            is_store_unreachable: false,
            removed: collections::HashMap::new(),
            stale_until: boot_clock::BootInstant::default(),
            reread_at: None,
            has_older_rows: false,
            is_initialized: false,
            lapse_grace,
        }
    }

    /// Records that the store does not answer. From now on removed entries lapse instead of going
    /// at once.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store answers. If it was unreachable, the grace period starts.
    pub fn mark_store_reachable(&mut self, now: boot_clock::BootInstant) {
        if std::mem::take(&mut self.is_store_unreachable) {
            self.settled_at = boot_clock::BootInstant(now.0 + self.lapse_grace);
        }
    }

    /// Records that the store was restored from a copy. The grace period starts.
    pub fn mark_restored(&mut self, now: boot_clock::BootInstant) {
        self.settled_at = boot_clock::BootInstant(now.0 + self.lapse_grace);
        self.stale_until = boot_clock::BootInstant(now.0 + STALE_ENTRY_TIME);
        self.reread_at = Some(self.stale_until);
    }

    /// Whether the whole list has to be read once more, as stale entries were left out of the last
    /// one, or a peer's older list was taken; `true` once.
    pub fn take_reread(&mut self, now: boot_clock::BootInstant) -> bool {
        let is_due = self.reread_at.is_some_and(|at| at <= now);
        if is_due {
            self.reread_at = None;
        }
        std::mem::take(&mut self.has_older_rows) || is_due
    }

    /// Applies changes from the store; returns whether any record changed.
    pub fn apply(&mut self, changes: Vec<EntryChange>, now: boot_clock::BootInstant) -> bool {
        let mut is_changed = false;
        for change in changes {
            is_changed |= match change {
                EntryChange::Present(record) => self.insert(record),
                EntryChange::Absent(name) => self.remove(&name, now),
            };
        }
        is_changed
    }

    /// Applies a full list from the store, in which a missing entry counts as removed; returns
    /// whether any record changed.
    pub fn replace(&mut self, mut list: Vec<EntryChange>, now: boot_clock::BootInstant) -> bool {
        self.is_initialized = true;
        list.retain(|change| !self.is_stale(change, now));
        let missing = self.missing(&list);
        let missing = missing.into_iter().map(EntryChange::Absent).collect();
        let is_changed = self.apply(missing, now);
        self.apply(list, now) || is_changed
    }

    /// Applies the differences that a peer reported; returns whether any record changed.
    ///
    /// `is_covered` says which names the report covers, and `lapsed` holds all of these that are
    /// lapsed at the peer, which does not know whether they will come back. A lapsed entry is kept
    /// if this router still has it. Once this router has removed it, the entry only returns when a
    /// peer or the store reports it as present and not lapsed. Before the first full list, lapsed
    /// entries are added too, as this router has removed none yet.
    pub fn apply_from_peer(
        &mut self,
        mut changes: Vec<EntryChange>,
        lapsed: &collections::HashSet<String>,
        is_covered: impl Fn(&str) -> bool,
        now: boot_clock::BootInstant,
    ) -> bool {
        let mut is_changed = false;
        changes.retain(|change| !self.is_stale(change, now));
        let mut gone = Vec::new();
        changes.retain(|change| match change {
            EntryChange::Present(record) => {
                !self.is_initialized
                    || !lapsed.contains(&record.name)
                    || self.records.contains_key(&record.name)
            }
            EntryChange::Absent(name) => {
                gone.push(name.clone());
                false
            }
        });
        // A list is ordered by when its store call was sent, which can be before a change that the
        // call returned. The rows are the peer's by now, and the feed does not repeat the change.
        self.has_older_rows |= changes.iter().any(|change| self.is_older(change));
        for name in gone {
            is_changed |= self.drop_record(&name, now);
        }
        is_changed |= self.apply(changes, now);
        self.lapsed
            .retain(|name, _until| !is_covered(name) || lapsed.contains(name));
        let until = boot_clock::BootInstant(now.0 + self.lapse_grace);
        for name in lapsed {
            if self.records.contains_key(name) {
                self.lapsed.insert(name.clone(), until);
            }
        }
        is_changed
    }

    /// Records that the full list of a peer was applied.
    pub fn mark_initialized(&mut self) {
        self.is_initialized = true;
    }

    /// Names of the lapsed entries.
    pub fn lapsed(&self) -> impl Iterator<Item = &str> {
        self.lapsed.keys().map(String::as_str)
    }

    /// Whether there is an entry with this name, lapsed ones included.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    fn missing(&self, list: &[EntryChange]) -> Vec<String> {
        let present = list.iter().filter_map(|change| match change {
            EntryChange::Present(record) => Some(record.name.as_str()),
            EntryChange::Absent(_) => None,
        });
        let present: collections::HashSet<&str> = present.collect();
        let known = self.records.keys();
        let missing = known.filter(|name| !present.contains(name.as_str()));
        missing.cloned().collect()
    }

    /// Drops lapsed entries whose grace period is over; returns whether there were any. Drops none
    /// while the store is unreachable.
    pub fn expire(&mut self, now: boot_clock::BootInstant) -> bool {
        if self.is_store_unreachable {
            return false;
        }
        let settled_at = self.settled_at;
        let is_expired = |until: &boot_clock::BootInstant| now >= (*until).max(settled_at);
        let expired = self
            .lapsed
            .iter()
            .filter(|(_name, until)| is_expired(until));
        let expired: Vec<String> = expired.map(|(name, _until)| name.clone()).collect();
        for name in &expired {
            self.drop_record(name, now);
        }
        !expired.is_empty()
    }

    /// All endpoints, lapsed ones included.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    fn insert(&mut self, mut record: EndpointRecord) -> bool {
        self.lapsed.remove(&record.name);
        if let Some(known) = self.records.get(&record.name) {
            if known.incarnation > record.incarnation {
                return false;
            }
            // A leaving endpoint stays so until it restarts; a stale copy of its entry must not
            // undo it.
            record.is_leaving |= known.incarnation == record.incarnation && known.is_leaving;
            if *known == record {
                return false;
            }
        }
        let removed = self.removed.remove(&record.name);
        record.is_leaving |= removed
            .is_some_and(|removed| removed.incarnation == record.incarnation && removed.is_leaving);
        self.records.insert(record.name.clone(), record);
        true
    }

    fn remove(&mut self, name: &str, now: boot_clock::BootInstant) -> bool {
        if !self.records.contains_key(name) {
            return false;
        }
        if self.is_store_unreachable || now < self.settled_at {
            self.lapsed.insert(name.to_owned(), self.settled_at);
            return false;
        }
        self.drop_record(name, now)
    }

    /// Removes a record and remembers it; returns whether there was one.
    fn drop_record(&mut self, name: &str, now: boot_clock::BootInstant) -> bool {
        self.lapsed.remove(name);
        let Some(record) = self.records.remove(name) else {
            return false;
        };
        self.removed
            .retain(|_name, removed| now.since(removed.at) < REMOVED_RETENTION);
        let removed = RemovedEndpoint {
            incarnation: record.incarnation,
            is_leaving: record.is_leaving,
            at: now,
        };
        self.removed.insert(record.name, removed);
        true
    }

    /// Whether the entry of a known endpoint was written before what is known of it.
    fn is_older(&self, change: &EntryChange) -> bool {
        let EntryChange::Present(record) = change else {
            return false;
        };
        let known = self.records.get(&record.name);
        known.is_some_and(|known| {
            let is_undone = known.is_leaving && !record.is_leaving;
            known.incarnation > record.incarnation
                || known.incarnation == record.incarnation && is_undone
        })
    }

    /// Whether a restored store or a peer that read it brings a removed endpoint back.
    fn is_stale(&self, change: &EntryChange, now: boot_clock::BootInstant) -> bool {
        let EntryChange::Present(record) = change else {
            return false;
        };
        let is_same = |removed: &RemovedEndpoint| removed.incarnation == record.incarnation;
        now < self.stale_until
            && !self.records.contains_key(&record.name)
            && self.removed.get(&record.name).is_some_and(is_same)
    }
}
