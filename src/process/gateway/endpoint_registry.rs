//! Which endpoints there are, from changes and full lists that may be old or incomplete.
//!
//! The book takes time as an argument and does no I/O.

use std::collections;
use std::net;
use std::time;

use crate::process::gateway::boot_clock;

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Name, unique among endpoints.
    pub name: String,
    /// Start of this life of the endpoint, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Its service.
    pub service: String,
    /// Address and port.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it computes at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// One entry as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The endpoint is there.
    Present(EndpointRecord),
    /// The entry was removed, or names no endpoint.
    Absent(String),
}

/// The endpoints known to one router.
#[derive(Debug)]
pub struct EndpointRegistry {
    records: collections::HashMap<String, EndpointRecord>,
    /// Entries that were removed while the store was away or just back, and when they are gone.
    lapsed: collections::HashMap<String, boot_clock::BootInstant>,
    settled_at: boot_clock::BootInstant,
    is_store_away: bool,
    /// Whether a full list was taken in.
    is_initialized: bool,
    lapse_grace: time::Duration,
}

impl EndpointRegistry {
    /// An empty book; entries that lapse while the store is away are kept until `lapse_grace`
    /// after its return.
    #[must_use]
    pub fn new(lapse_grace: time::Duration) -> Self {
        Self {
            records: collections::HashMap::new(),
            lapsed: collections::HashMap::new(),
            settled_at: boot_clock::BootInstant::default(),
            is_store_away: false,
            is_initialized: false,
            lapse_grace,
        }
    }

    /// Takes note that the store gives no answers.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_away = true;
    }

    /// Takes note that the store answers again.
    pub fn mark_store_reachable(&mut self, now: boot_clock::BootInstant) {
        if std::mem::take(&mut self.is_store_away) {
            self.settled_at = boot_clock::BootInstant(now.0 + self.lapse_grace);
        }
    }

    /// Takes in changed entries; returns whether anything is different now.
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

    /// Takes in a full list; what it lacks counts as removed.
    pub fn replace(&mut self, list: Vec<EntryChange>, now: boot_clock::BootInstant) -> bool {
        self.is_initialized = true;
        let missing = self.missing(&list);
        let missing = missing.into_iter().map(EntryChange::Absent).collect();
        let is_changed = self.apply(missing, now);
        self.apply(list, now) || is_changed
    }

    /// Takes in what a peer that the store answers has otherwise than this router.
    ///
    /// `lapsed` are the entries that lapsed there, of all that `is_told` covers; the peer does not know
    /// whether they will come back. Such an entry stays here if it is still here; once it was removed,
    /// only word of its return brings it back.
    pub fn apply_from_peer(
        &mut self,
        mut changes: Vec<EntryChange>,
        lapsed: &collections::HashSet<String>,
        is_told: impl Fn(&str) -> bool,
        now: boot_clock::BootInstant,
    ) -> bool {
        let mut is_changed = false;
        changes.retain(|change| match change {
            EntryChange::Present(record) => {
                !self.is_initialized
                    || !lapsed.contains(&record.name)
                    || self.records.contains_key(&record.name)
            }
            EntryChange::Absent(name) => {
                self.lapsed.remove(name);
                is_changed |= self.records.remove(name).is_some();
                false
            }
        });
        is_changed |= self.apply(changes, now);
        self.lapsed
            .retain(|name, _until| !is_told(name) || lapsed.contains(name));
        let until = boot_clock::BootInstant(now.0 + self.lapse_grace);
        for name in lapsed {
            if self.records.contains_key(name) {
                self.lapsed.insert(name.clone(), until);
            }
        }
        is_changed
    }

    /// Takes note that all that a peer holds was taken in.
    pub fn mark_initialized(&mut self) {
        self.is_initialized = true;
    }

    /// Names of entries that were removed and may come back.
    pub fn lapsed(&self) -> impl Iterator<Item = &str> {
        self.lapsed.keys().map(String::as_str)
    }

    /// Whether the endpoint is known.
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

    /// Drops what lapsed and did not come back; returns whether anything is different now.
    pub fn expire(&mut self, now: boot_clock::BootInstant) -> bool {
        if self.is_store_away {
            return false;
        }
        let settled_at = self.settled_at;
        let due = |until: &boot_clock::BootInstant| now >= (*until).max(settled_at);
        let gone = self.lapsed.iter().filter(|(_name, until)| due(until));
        let gone: Vec<String> = gone.map(|(name, _until)| name.clone()).collect();
        for name in &gone {
            self.lapsed.remove(name);
            self.records.remove(name);
        }
        !gone.is_empty()
    }

    /// All endpoints.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    fn insert(&mut self, mut record: EndpointRecord) -> bool {
        self.lapsed.remove(&record.name);
        if let Some(held) = self.records.get(&record.name) {
            if held.incarnation > record.incarnation {
                return false;
            }
            // Leaving is final for one life; an older copy of the entry must not undo it.
            record.is_leaving |= held.incarnation == record.incarnation && held.is_leaving;
            if *held == record {
                return false;
            }
        }
        self.records.insert(record.name.clone(), record);
        true
    }

    fn remove(&mut self, name: &str, now: boot_clock::BootInstant) -> bool {
        if !self.records.contains_key(name) {
            return false;
        }
        if self.is_store_away || now < self.settled_at {
            self.lapsed.insert(name.to_owned(), self.settled_at);
            return false;
        }
        self.lapsed.remove(name);
        self.records.remove(name).is_some()
    }
}
