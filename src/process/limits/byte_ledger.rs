//! Who holds how many bytes of a [`byte_budget::ByteBudget`], and which reservation gives way.

use std::cmp;
use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::task;

use futures::task as futures_task;

use crate::process::limits::byte_budget;

/// The limit divided by this is reserved for reservations of up to [`byte_budget::SMALL_BYTES`].
const RESERVE_DIVISOR: usize = 8;

/// Step in which times without progress are compared. Bodies that all arrive steadily are equally
/// old in this measure; the smallest then gives way, so that the others complete.
const IDLE_STEP_MS: u64 = 250;

/// State of one reservation that its holder uses without the lock.
#[derive(Debug, Default)]
pub(super) struct HolderSignal {
    pub(super) progress_ms: atomic::AtomicU64,
    pub(super) is_evicted: atomic::AtomicBool,
    pub(super) waker: futures_task::AtomicWaker,
}

/// One reservation.
#[derive(Debug)]
pub(super) struct HeldEntry {
    pub(super) caller: net::IpAddr,
    pub(super) bytes: usize,
    /// Whether the holder can be told to give way.
    pub(super) is_evictable: bool,
    pub(super) is_evicted: bool,
    pub(super) signal: sync::Arc<HolderSignal>,
}

/// Sums of reserved bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ByteTotals {
    pub(super) all: usize,
    /// Those of reservations larger than [`byte_budget::SMALL_BYTES`].
    large: usize,
}

/// All reservations of a budget.
#[derive(Debug, Default)]
pub(super) struct ByteLedger {
    pub(super) entries: slotmap::SlotMap<slotmap::DefaultKey, HeldEntry>,
    /// Bytes by caller, without those of evicted reservations; no entry if there are none.
    callers: collections::HashMap<net::IpAddr, usize>,
    pub(super) held: ByteTotals,
    /// Part of `held` that belongs to evicted reservations.
    pub(super) evicted: ByteTotals,
    pub(super) waiting: Vec<task::Waker>,
}

/// What a reservation asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrowthDemand {
    pub(super) key: slotmap::DefaultKey,
    pub(super) old_bytes: usize,
    pub(super) new_bytes: usize,
}

impl ByteTotals {
    const fn add(&mut self, bytes: usize) {
        self.all += bytes;
        self.large += large_part(bytes);
    }

    const fn subtract(&mut self, bytes: usize) {
        self.all -= bytes;
        self.large -= large_part(bytes);
    }

    const fn replace(&mut self, old_bytes: usize, new_bytes: usize) {
        self.subtract(old_bytes);
        self.add(new_bytes);
    }
}

const fn large_part(bytes: usize) -> usize {
    if bytes > byte_budget::SMALL_BYTES {
        bytes
    } else {
        0
    }
}

impl ByteLedger {
    /// Whether the growth fits without the bytes in `freed`.
    pub(super) fn fits(&self, demand: GrowthDemand, limit: usize, freed: ByteTotals) -> bool {
        let Some(additional) = demand.new_bytes.checked_sub(demand.old_bytes) else {
            return true;
        };
        let all = (self.held.all - freed.all).saturating_add(additional);
        all <= limit && !self.exceeds_large(demand, limit, freed)
    }

    /// Whether the growth exceeds the part of the limit that large reservations may use.
    const fn exceeds_large(&self, demand: GrowthDemand, limit: usize, freed: ByteTotals) -> bool {
        let (old, new) = (large_part(demand.old_bytes), large_part(demand.new_bytes));
        let large = (self.held.large - freed.large - old).saturating_add(new);
        new > 0 && large > limit - limit / RESERVE_DIVISOR
    }

    /// Chooses the reservation that gives way: of the caller that holds most, the one without
    /// progress for the longest time. `None` if that is the one that grows.
    fn choose_victim(
        &self,
        demand: GrowthDemand,
        limit: usize,
        now_ms: u64,
    ) -> Option<slotmap::DefaultKey> {
        let needs_large = self.exceeds_large(demand, limit, self.evicted);
        let own = self.entries.get(demand.key)?.caller;
        let own_bytes = self.held_by(own) + (demand.new_bytes - demand.old_bytes);
        let rank = |(key, entry): (slotmap::DefaultKey, &HeldEntry)| {
            let is_own = key == demand.key;
            let bytes = if is_own {
                demand.new_bytes
            } else {
                entry.bytes
            };
            let is_candidate = entry.is_evictable
                && !entry.is_evicted
                && bytes > 0
                && (!needs_large || bytes > byte_budget::SMALL_BYTES);
            let held = if entry.caller == own {
                own_bytes
            } else {
                self.held_by(entry.caller)
            };
            let progress_ms = entry.signal.progress_ms.load(atomic::Ordering::Relaxed);
            let idle_steps = now_ms.saturating_sub(progress_ms) / IDLE_STEP_MS;
            // Callers that hold as much as the own one are spared, so that equals do not evict one
            // another in turn.
            let caller = (held, entry.caller == own, entry.caller);
            is_candidate.then_some((caller, idle_steps, cmp::Reverse(bytes), is_own, key))
        };
        let ((held, _is_own_caller, _caller), .., is_own, key) =
            self.entries.iter().filter_map(rank).max()?;
        (!is_own && held >= own_bytes).then_some(key)
    }

    fn held_by(&self, caller: net::IpAddr) -> usize {
        self.callers.get(&caller).copied().unwrap_or_default()
    }

    /// Evicts reservations until the growth fits without them; evicts none if it cannot fit.
    pub(super) fn make_room(
        &mut self,
        demand: GrowthDemand,
        limit: usize,
        now_ms: u64,
    ) -> byte_budget::Result<()> {
        let mut victims = Vec::new();
        while !self.fits(demand, limit, self.evicted) {
            let Some(victim) = self.choose_victim(demand, limit, now_ms) else {
                for key in victims {
                    self.mark_evicted(key, false);
                }
                return Err(byte_budget::ByteError::Exhausted);
            };
            self.mark_evicted(victim, true);
            victims.push(victim);
        }
        for key in victims {
            let signal = &self.entries[key].signal;
            signal.is_evicted.store(true, atomic::Ordering::Release);
            signal.waker.wake();
        }
        Ok(())
    }

    fn mark_evicted(&mut self, key: slotmap::DefaultKey, is_evicted: bool) {
        let entry = &mut self.entries[key];
        entry.is_evicted = is_evicted;
        let (caller, bytes) = (entry.caller, entry.bytes);
        if is_evicted {
            self.evicted.add(bytes);
            self.charge(caller, bytes, 0);
        } else {
            self.evicted.subtract(bytes);
            self.charge(caller, 0, bytes);
        }
    }

    pub(super) fn resize(&mut self, key: slotmap::DefaultKey, old_bytes: usize, new_bytes: usize) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.bytes = new_bytes;
        let (caller, is_evicted) = (entry.caller, entry.is_evicted);
        self.held.replace(old_bytes, new_bytes);
        if is_evicted {
            self.evicted.replace(old_bytes, new_bytes);
        } else {
            self.charge(caller, old_bytes, new_bytes);
        }
    }

    fn charge(&mut self, caller: net::IpAddr, old_bytes: usize, new_bytes: usize) {
        let held = self.callers.entry(caller).or_default();
        *held = *held - old_bytes + new_bytes;
        if *held == 0 {
            self.callers.remove(&caller);
        }
    }

    pub(super) fn wake_waiting(&mut self) {
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }
}
