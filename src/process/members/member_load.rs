//! Loads that routers exchange: demand by workspace, and the configuration in force.
//!
//! A router publishes its load in parts. Workspaces are assigned to parts by hashed name, so that
//! a message stays small however many workspaces there are. Each router numbers the changes it
//! learns and forwards to each peer those that the peer has not seen, oldest first, within a byte
//! budget per message. When more loads change than the budget allows, they arrive later, but none
//! is lost and the gossip traffic stays bounded.

use std::collections;

use xxhash_rust::xxh3;

use crate::connection::peer_wire;

/// Maximum encoded size of a load without its strings.
const LOAD_BASE_BYTES: usize = 24;

/// Maximum encoded size of one demand without the workspace name.
const DEMAND_BASE_BYTES: usize = 4;

/// Approximate number of workspaces in one part.
const WORKSPACES_PER_PART: usize = 12;

/// Newest load of one part, its change number and the peer that sent it.
#[derive(Clone, Debug)]
struct LoadEntry {
    load: peer_wire::LoadWire,
    change_sequence: u64,
    source: String,
}

/// Loads to send to a peer.
#[derive(Clone, Debug, Default)]
pub struct LoadBatch {
    /// Loads, oldest change first.
    pub loads: Vec<peer_wire::LoadWire>,
    /// Change number up to which the peer is up to date once it has applied the batch.
    pub last_sequence: u64,
}

/// Newest load of each router, by part, with numbered changes.
#[derive(Debug, Default)]
pub struct LoadTable {
    entries: collections::HashMap<String, collections::BTreeMap<u16, LoadEntry>>,
    changes: collections::BTreeMap<u64, (String, u16)>,
    sequence: u64,
}

impl LoadTable {
    /// Merges a load that `source` sent; returns `true` if it was newer and replaced the present
    /// one.
    ///
    /// A load with another number of parts or another incarnation replaces all parts of the
    /// router.
    pub fn merge(&mut self, load: peer_wire::LoadWire, source: &str) -> bool {
        let current = self.entries.entry(load.router.clone()).or_default();
        let is_newer = |entry: &LoadEntry| {
            let order = (entry.load.incarnation, entry.load.sequence);
            (load.incarnation, load.sequence) > order
        };
        let replaced: Vec<u16> = if has_same_partition(current, &load) {
            current
                .keys()
                .copied()
                .filter(|part| *part == load.part)
                .collect()
        } else {
            current.keys().copied().collect()
        };
        if !replaced.iter().all(|part| is_newer(&current[part])) {
            return false;
        }
        for part in replaced {
            let entry = current.remove(&part);
            entry.and_then(|entry| self.changes.remove(&entry.change_sequence));
        }
        self.sequence += 1;
        let key = (load.router.clone(), load.part);
        self.changes.insert(self.sequence, key);
        let entry = LoadEntry {
            change_sequence: self.sequence,
            source: source.to_owned(),
            load,
        };
        current.insert(entry.load.part, entry);
        true
    }

    /// Loads that changed after change number `since`, oldest first, up to `budget` bytes but at
    /// least one.
    ///
    /// Loads of `peer` and loads that `peer` sent are left out.
    #[must_use]
    pub fn batch(&self, since: u64, peer: &str, budget: usize) -> LoadBatch {
        let mut batch = LoadBatch {
            last_sequence: since.min(self.sequence),
            ..LoadBatch::default()
        };
        let mut bytes = 0;
        for (sequence, (router, part)) in self.changes.range(since.saturating_add(1)..) {
            let parts = self.entries.get(router);
            let entry = parts.and_then(|parts| parts.get(part));
            let entry = entry.filter(|entry| entry.source != peer && router != peer);
            let size = entry.map_or(0, |entry| wire_bytes(&entry.load));
            if bytes > 0 && bytes + size > budget {
                return batch;
            }
            bytes += size;
            batch.last_sequence = *sequence;
            batch.loads.extend(entry.map(|entry| entry.load.clone()));
        }
        batch.last_sequence = self.sequence;
        batch
    }

    /// Demand of a router by workspace; empty if the loads are of another incarnation.
    pub fn demand(
        &self,
        router: &str,
        incarnation: u64,
    ) -> impl Iterator<Item = &peer_wire::DemandWire> {
        let parts = self.entries.get(router).into_iter();
        let entries = parts.flat_map(collections::BTreeMap::values);
        let entries = entries.filter(move |entry| entry.load.incarnation == incarnation);
        entries.flat_map(|entry| &entry.load.demand)
    }

    /// One part of a router's load; `None` if the load is of another incarnation or has another
    /// number of parts.
    #[must_use]
    pub fn part(
        &self,
        router: &str,
        incarnation: u64,
        (part, parts): (u16, u16),
    ) -> Option<&peer_wire::LoadWire> {
        let load = &self.entries.get(router)?.get(&part)?.load;
        (load.incarnation == incarnation && load.parts == parts).then_some(load)
    }

    /// Removes all parts of the load of a router.
    pub fn remove(&mut self, router: &str) {
        for entry in self.entries.remove(router).unwrap_or_default().values() {
            self.changes.remove(&entry.change_sequence);
        }
    }
}

fn has_same_partition(
    current: &collections::BTreeMap<u16, LoadEntry>,
    load: &peer_wire::LoadWire,
) -> bool {
    let mut entries = current.values().map(|entry| &entry.load);
    entries.all(|current| current.parts == load.parts && current.incarnation == load.incarnation)
}

fn wire_bytes(load: &peer_wire::LoadWire) -> usize {
    let names = load.demand.iter().map(|demand| demand.workspace.len());
    let demand: usize = names.map(|name| name + DEMAND_BASE_BYTES).sum();
    LOAD_BASE_BYTES + load.router.len() + demand
}

/// Partitions demand by hashed workspace name.
///
/// The number of parts is a power of two, so that it rarely changes as workspaces come and go.
#[must_use]
pub fn partition_demand(demand: &[peer_wire::DemandWire]) -> Vec<Vec<peer_wire::DemandWire>> {
    let parts = demand
        .len()
        .div_ceil(WORKSPACES_PER_PART)
        .next_power_of_two();
    let mut partitions = vec![Vec::new(); parts];
    for item in demand {
        let hash = xxh3::xxh3_64(item.workspace.as_bytes());
        let part = usize::try_from(hash).unwrap_or_default() % parts;
        partitions[part].push(item.clone());
    }
    partitions
}

/// Rounds a number of requests up, so that small changes are not published.
///
/// Numbers up to 8 are exact; above that there are four steps within each doubling.
#[must_use]
pub fn quantise(requests: u32) -> u32 {
    const EXACT_LIMIT: u32 = 8;
    const STEP_BITS: u32 = 2;
    if requests <= EXACT_LIMIT {
        return requests;
    }
    let step = 1 << (requests.ilog2() - STEP_BITS);
    requests.div_ceil(step).saturating_mul(step)
}
