//! Loads that routers tell one another: demand by workspace and configuration in force.
//!
//! A load is passed on a bounded number of times and within a bounded number of bytes a message, newest
//! first. Under many routers loads arrive late rather than cost more.

use std::collections;

use crate::connection::peer_wire;

/// Bytes of a load on the wire, without its strings, at most.
const LOAD_BASE_BYTES: usize = 24;

/// Bytes of one demand on the wire, without its name, at most.
const DEMAND_BASE_BYTES: usize = 4;

#[derive(Clone, Debug)]
struct LoadEntry {
    load: peer_wire::LoadWire,
    forwards: u32,
}

/// The newest load of each router.
#[derive(Debug, Default)]
pub struct LoadBook {
    entries: collections::HashMap<String, LoadEntry>,
    queue: collections::VecDeque<String>,
}

impl LoadBook {
    /// Takes a load, to be passed on `forwards` times; `true` when it is newer than the one held.
    pub fn merge(&mut self, load: peer_wire::LoadWire, forwards: u32) -> bool {
        let router = load.router.clone();
        let order = (load.incarnation, load.sequence);
        let held = self.entries.get(&router);
        if held.is_some_and(|held| (held.load.incarnation, held.load.sequence) >= order) {
            return false;
        }
        let queued = held.is_some_and(|held| held.forwards > 0);
        self.entries
            .insert(router.clone(), LoadEntry { load, forwards });
        if !queued && forwards > 0 {
            self.queue.push_back(router);
        }
        true
    }

    /// Loads to pass on in one message of at most `budget` bytes; the first always fits.
    pub fn take(&mut self, budget: usize) -> Vec<peer_wire::LoadWire> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut again = Vec::new();
        while bytes < budget {
            let Some(router) = self.queue.pop_back() else {
                break;
            };
            let Some(entry) = self.entries.get_mut(&router) else {
                continue;
            };
            let size = wire_bytes(&entry.load);
            if !taken.is_empty() && bytes + size > budget {
                self.queue.push_back(router);
                break;
            }
            bytes += size;
            entry.forwards = entry.forwards.saturating_sub(1);
            taken.push(entry.load.clone());
            if entry.forwards > 0 {
                again.push(router);
            }
        }
        // What was passed on gives way to what was not yet.
        for router in again {
            self.queue.push_front(router);
        }
        taken
    }

    /// The newest load of a router in this incarnation.
    #[must_use]
    pub fn get(&self, router: &str, incarnation: u64) -> Option<&peer_wire::LoadWire> {
        let load = &self.entries.get(router)?.load;
        (load.incarnation == incarnation).then_some(load)
    }

    /// Drops the load of a router.
    pub fn remove(&mut self, router: &str) {
        self.entries.remove(router);
        self.queue.retain(|queued| queued != router);
    }
}

fn wire_bytes(load: &peer_wire::LoadWire) -> usize {
    let names = load.demand.iter().map(|demand| demand.workspace.len());
    let demand: usize = names.map(|name| name + DEMAND_BASE_BYTES).sum();
    LOAD_BASE_BYTES + load.router.len() + demand
}

/// Rounds a number of requests so that small changes are not told: exact up to 8, above that to the
/// next of four steps within each doubling.
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
