//! Choice of an endpoint for a request: pure decisions over what a router knows of the candidates.

use std::fmt;
use std::sync::atomic;

/// Chooses one of several endpoints.
pub trait PlacementPolicy: fmt::Debug + Send + Sync {
    /// Index of the chosen candidate; `None` when there is none.
    fn choose(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        random: &mut fastrand::Rng,
    ) -> Option<usize>;
}

/// What placement needs to know of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Whole blocks of the prompt; see `prefix_index::prompt_blocks`.
    pub prompt_blocks: usize,
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it is in the router's own availability zone.
    pub is_same_zone: bool,
    /// Requests of this router at the endpoint now.
    pub in_flight: u32,
    /// Requests of this router at the endpoint when its newest report was made.
    pub in_flight_at_report: u32,
    /// Requests running and waiting in the newest report.
    pub reported: u32,
    /// Requests that the endpoint takes at the same time.
    pub slots: u32,
    /// Leading blocks of the prompt that the endpoint holds in its cache.
    pub cached_blocks: usize,
}

impl Candidate {
    /// Estimated requests at the endpoint: own ones now, and those of others in the report.
    #[must_use]
    pub fn load(&self) -> u32 {
        let others = self.reported_load.saturating_sub(self.in_flight_at_report);
        self.in_flight.saturating_add(others)
    }

    /// Whether another request can be computed at once.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.load() < self.slots
    }

    /// Whether `self` is less loaded than `other` in proportion to its slots.
    #[must_use]
    pub fn is_less_loaded(&self, other: &Self) -> bool {
        let own = u64::from(self.load()) * u64::from(other.slots.max(1));
        let others = u64::from(other.load()) * u64::from(self.slots.max(1));
        own < others
    }
}

/// Prompt-prefix affinity with a bound on load, else the better of two random candidates.
#[derive(Clone, Copy, Debug)]
pub struct PrefixPlacement {
    /// Share of the prompt that must be cached for affinity, in percent.
    pub min_match_percent: usize,
    /// Load, in percent of the mean, up to which affinity goes before balance.
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
    /// The candidate with the longest cached prefix, if it is long enough and not overloaded.
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
            // One request more than the mean is always allowed, so that an idle system has affinity.
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

/// The lighter of two random candidates: same-zone ones with room, else any with room, else any.
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

/// Each candidate in turn, whatever its load.
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

/// Any candidate, whatever its load.
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
