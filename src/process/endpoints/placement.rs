//! Placement policies: pure functions that choose an endpoint from snapshots of the candidates.

use std::fmt;
use std::sync::atomic;

/// Chooses an endpoint for a request.
pub trait PlacementPolicy: fmt::Debug + Send + Sync {
    /// Index of the chosen candidate; `None` if `candidates` is empty.
    fn choose(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Option<usize>;
}

/// Properties of a request that placement depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Number of whole blocks in the prompt; see `prefix_index::prompt_blocks`.
    pub prompt_blocks: usize,
}

/// Snapshot of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Whether the endpoint is in the router's own availability zone.
    pub is_same_zone: bool,
    /// Current in-flight requests from this router.
    pub in_flight: u32,
    /// In-flight requests from this router when the latest load report arrived.
    pub in_flight_at_report: u32,
    /// Running and queued requests, from all routers, in the latest load report.
    pub reported_load: u32,
    /// Requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Leading prompt blocks expected in the endpoint's cache.
    pub cached_blocks: usize,
}

impl Candidate {
    /// Estimated load: this router's current requests plus the other routers' reported ones.
    #[must_use]
    pub fn load(&self) -> u32 {
        let others = self.reported_load.saturating_sub(self.in_flight_at_report);
        self.in_flight.saturating_add(others)
    }

    /// Whether another request can start without queueing.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.load() < self.slots
    }

    /// Whether `self` has a lower load per slot than `other`.
    #[must_use]
    pub fn is_less_loaded(&self, other: &Self) -> bool {
        let own = u64::from(self.load()) * u64::from(other.slots.max(1));
        let others = u64::from(other.load()) * u64::from(self.slots.max(1));
        own < others
    }
}

/// Prefix-cache affinity up to a load bound, otherwise power of two random choices.
#[derive(Clone, Copy, Debug)]
pub struct PrefixPlacement {
    /// Minimum cached part of the prompt for affinity, in percent.
    pub min_match_percent: usize,
    /// Load bound for affinity, in percent of the mean load per slot.
    pub max_load_percent: u64,
}

impl Default for PrefixPlacement {
    fn default() -> Self {
        Self {
            min_match_percent: 25,
            max_load_percent: 125,
        }
    }
}

impl PlacementPolicy for PrefixPlacement {
    fn choose(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        self.choose_cached(*request, candidates)
            .or_else(|| choose_best_of_two(candidates, random))
    }
}

impl PrefixPlacement {
    /// The candidate with the longest cached prefix among those that match enough of the prompt,
    /// have a free slot and are below the load bound.
    fn choose_cached(&self, request: PlacementRequest, candidates: &[Candidate]) -> Option<usize> {
        if candidates
            .iter()
            .all(|candidate| candidate.cached_blocks == 0)
        {
            return None;
        }
        let total_load = sum(candidates, Candidate::load);
        let total_slots = sum(candidates, |candidate| candidate.slots);
        let allowed = |candidate: &Candidate| {
            let is_match =
                candidate.cached_blocks * 100 >= request.prompt_blocks * self.min_match_percent;
            let load = u128::from(candidate.load()) * u128::from(total_slots) * 100;
            // Allow one request above the mean; otherwise an idle system would have no affinity.
            let mean = u128::from(total_load) * u128::from(candidate.slots);
            let bound = mean * u128::from(self.max_load_percent) + u128::from(total_slots) * 100;
            candidate.cached_blocks > 0 && is_match && candidate.has_free_slot() && load <= bound
        };
        let mut best: Option<usize> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            if !allowed(candidate) {
                continue;
            }
            let is_better = best.is_none_or(|best| is_better_match(candidate, &candidates[best]));
            if is_better {
                best = Some(index);
            }
        }
        best
    }
}

fn sum(candidates: &[Candidate], value: impl Fn(&Candidate) -> u32) -> u64 {
    candidates
        .iter()
        .map(|candidate| u64::from(value(candidate)))
        .sum()
}

fn is_better_match(candidate: &Candidate, best: &Candidate) -> bool {
    if candidate.cached_blocks != best.cached_blocks {
        return candidate.cached_blocks > best.cached_blocks;
    }
    candidate.is_less_loaded(best)
}

/// The less loaded of two random candidates.
///
/// Both come from the same-zone candidates with a free slot, else from any candidates with a free
/// slot, else from all candidates.
fn choose_best_of_two(candidates: &[Candidate], random: &mut fastrand::Rng) -> Option<usize> {
    let is_local_and_free =
        |candidate: &Candidate| candidate.is_same_zone && candidate.has_free_slot();
    choose_from_matching(candidates, is_local_and_free, random)
        .or_else(|| choose_from_matching(candidates, Candidate::has_free_slot, random))
        .or_else(|| choose_from_matching(candidates, |_candidate| true, random))
}

fn choose_from_matching(
    candidates: &[Candidate],
    fits: impl Fn(&Candidate) -> bool,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let count = candidates
        .iter()
        .filter(|candidate| fits(candidate))
        .count();
    let first = random_position(count, random)?;
    let second = random_other_position(count, first, random);
    let nth = |position| {
        let matching = candidates.iter().enumerate();
        matching
            .filter(|(_index, candidate)| fits(candidate))
            .map(|(index, _candidate)| index)
            .nth(position)
    };
    let (first, second) = (nth(first)?, nth(second)?);
    if candidates[second].is_less_loaded(&candidates[first]) {
        return Some(second);
    }
    Some(first)
}

fn random_position(count: usize, random: &mut fastrand::Rng) -> Option<usize> {
    (count > 0).then(|| random.usize(..count))
}

fn random_other_position(count: usize, first: usize, random: &mut fastrand::Rng) -> usize {
    if count < 2 {
        return first;
    }
    (first + random.usize(1..count)) % count
}

/// Chooses each candidate in turn, regardless of load.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: atomic::AtomicUsize,
}

impl PlacementPolicy for RoundRobin {
    fn choose(
        &self,
        _request: &PlacementRequest,
        candidates: &[Candidate],
        _random: &mut fastrand::Rng,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        Some(self.next.fetch_add(1, atomic::Ordering::Relaxed) % candidates.len())
    }
}

/// Chooses a random candidate, regardless of load.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl PlacementPolicy for RandomChoice {
    fn choose(
        &self,
        _request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        random_position(candidates.len(), random)
    }
}
