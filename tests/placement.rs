//! Placement prefers cached prefixes up to a load bound, and each router uses a stable subset.

use std::collections;

use kumquatpulley::connection::engine_wire;
use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::endpoints::placement::PlacementPolicy as _;
use kumquatpulley::process::endpoints::prefix_index;
use kumquatpulley::process::endpoints::subset;
use proptest::prelude::*;

fn candidate(is_same_zone: bool, load: u32, cached_blocks: usize) -> placement::Candidate {
    placement::Candidate {
        is_same_zone,
        in_flight: 0,
        in_flight_at_report: 0,
        reported_load: load,
        slots: 8,
        cached_blocks,
    }
}

fn choose(prompt_blocks: usize, candidates: &[placement::Candidate], seed: u64) -> Option<usize> {
    let request = placement::PlacementRequest { prompt_blocks };
    let mut random = fastrand::Rng::with_seed(seed);
    placement::PrefixPlacement::default().choose(&request, candidates, &mut random)
}

#[test]
fn longest_cached_prefix_wins() {
    let candidates = [
        candidate(true, 1, 4),
        candidate(false, 1, 9),
        candidate(true, 0, 0),
    ];
    for seed in 0..50 {
        assert_eq!(choose(10, &candidates, seed), Some(1));
    }
}

#[test]
fn less_loaded_of_two_equal_matches_wins() {
    let candidates = [
        candidate(true, 3, 9),
        candidate(true, 2, 9),
        candidate(true, 3, 0),
    ];
    assert_eq!(choose(10, &candidates, 1), Some(1));
}

#[test]
fn loaded_endpoint_loses_its_affinity() {
    let candidates = [
        candidate(true, 7, 10),
        candidate(true, 1, 0),
        candidate(true, 1, 0),
        candidate(true, 1, 0),
    ];
    for seed in 0..50 {
        assert_ne!(choose(10, &candidates, seed), Some(0));
    }
}

#[test]
fn short_match_gives_no_affinity() {
    let candidates = [candidate(true, 2, 2), candidate(true, 0, 0)];
    for seed in 0..50 {
        assert_eq!(choose(10, &candidates, seed), Some(1));
    }
}

#[test]
fn own_zone_is_preferred_while_it_has_a_free_slot() {
    let candidates = [
        candidate(false, 0, 0),
        candidate(true, 7, 0),
        candidate(false, 0, 0),
    ];
    for seed in 0..50 {
        assert_eq!(choose(10, &candidates, seed), Some(1));
    }
    let full = [candidate(false, 0, 0), candidate(true, 8, 0)];
    for seed in 0..50 {
        assert_eq!(choose(10, &full, seed), Some(0));
    }
}

#[test]
fn own_requests_that_ended_since_the_report_do_not_count() {
    let mut freed = candidate(true, 6, 0);
    freed.in_flight = 0;
    freed.in_flight_at_report = 5;
    assert_eq!(freed.load(), 1);
    let busy = candidate(true, 2, 0);
    for seed in 0..50 {
        assert_eq!(choose(10, &[busy, freed], seed), Some(1));
    }
}

#[test]
fn own_requests_since_the_report_count() {
    let mut busy = candidate(true, 2, 0);
    busy.in_flight = 5;
    busy.in_flight_at_report = 1;
    assert_eq!(busy.load(), 6);
    let idle = candidate(true, 3, 0);
    for seed in 0..50 {
        assert_eq!(choose(10, &[busy, idle], seed), Some(1));
    }
}

#[test]
fn two_random_choices_balance_better_than_one() {
    let max_load = |policy: &dyn placement::PlacementPolicy| {
        let mut candidates = vec![
            placement::Candidate {
                slots: 1_000,
                is_same_zone: true,
                ..placement::Candidate::default()
            };
            100
        ];
        let mut random = fastrand::Rng::with_seed(7);
        let request = placement::PlacementRequest::default();
        for _index in 0..1_000 {
            let chosen = policy.choose(&request, &candidates, &mut random);
            candidates[chosen.expect("candidates")].in_flight += 1;
        }
        candidates.iter().map(|candidate| candidate.in_flight).max()
    };
    let two = max_load(&placement::PrefixPlacement::default());
    let one = max_load(&placement::RandomChoice);
    assert!(two <= Some(14), "maximum load {two:?} with two choices");
    assert!(
        two < one,
        "maximum load {two:?} with two choices, {one:?} with one"
    );
}

#[test]
fn round_robin_takes_each_in_turn() {
    let candidates = [candidate(true, 0, 0); 3];
    let policy = placement::RoundRobin::default();
    let mut random = fastrand::Rng::with_seed(7);
    let request = placement::PlacementRequest::default();
    let chosen: Vec<_> = (0..6)
        .map(|_index| policy.choose(&request, &candidates, &mut random))
        .collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1, 2].map(Some));
}

fn any_candidate() -> impl Strategy<Value = placement::Candidate> {
    let fields = (
        any::<bool>(),
        0_u32..90,
        0_u32..90,
        0_u32..90,
        0_u32..64,
        0_usize..50,
    );
    fields.prop_map(
        |(is_same_zone, in_flight, in_flight_at_report, reported_load, slots, cached_blocks)| {
            placement::Candidate {
                is_same_zone,
                in_flight,
                in_flight_at_report,
                reported_load,
                slots,
                cached_blocks,
            }
        },
    )
}

proptest! {
    #[test]
    fn full_endpoint_is_chosen_only_when_all_are_full(
        candidates in prop::collection::vec(any_candidate(), 0..40),
        seed in any::<u64>(),
    ) {
        let Some(chosen) = choose(50, &candidates, seed) else {
            prop_assert!(candidates.is_empty());
            return Ok(());
        };
        let has_free_slot = candidates.iter().any(placement::Candidate::has_free_slot);
        prop_assert_eq!(candidates[chosen].has_free_slot(), has_free_slot);
    }

    #[test]
    fn block_hashes_match_the_wire_format(prompt in prop::collection::vec(any::<u8>(), 0..900)) {
        let blocks = prefix_index::prompt_blocks(&prompt);
        prop_assert_eq!(blocks.len(), prompt.len() / engine_wire::PREFIX_BLOCK_BYTES);
        for (index, block) in blocks.iter().enumerate() {
            prop_assert_eq!(*block, engine_wire::prefix_block_hash(&prompt, index + 1));
        }
    }

    #[test]
    fn index_stays_bounded_and_drops_evicted_blocks(
        events in prop::collection::vec((0_u64..4, 0_u64..60, any::<bool>()), 0..400),
    ) {
        let mut index = prefix_index::PrefixIndex::new(16);
        let mut newest = collections::HashMap::new();
        let mut sequence: u64 = 0;
        for (step, block, stored) in events {
            sequence += step;
            let event = engine_wire::CacheEvent { sequence, block, stored };
            index.apply(1, &[event]);
            if !stored || step > 0 {
                newest.insert(block, stored);
            }
            prop_assert!(index.len() <= 16);
        }
        for (block, stored) in newest {
            prop_assert!(stored || index.matched_blocks(&[block]) == 0);
        }
    }

    #[test]
    fn subset_changes_by_one_endpoint_at_most(
        count in 65_usize..300,
        removed in 0_usize..65,
        router in 0_u32..1_000,
    ) {
        let names: Vec<String> = (0..count).map(|index| format!("e{index}")).collect();
        let router = format!("router-{router}");
        let all = subset_names(&router, &names, |_index| true);
        let rest: Vec<String> = names
            .iter()
            .enumerate()
            .filter(|(index, _name)| *index != removed)
            .map(|(_index, name)| name.clone())
            .collect();
        let without = subset_names(&router, &rest, |_index| true);
        prop_assert_eq!(all.len(), subset::SUBSET_SIZE);
        let removed_count = all.difference(&without).count();
        prop_assert!(removed_count <= 1, "{} endpoints left the subset", removed_count);
    }
}

fn subset_names(
    router: &str,
    names: &[String],
    is_same_zone: impl Fn(usize) -> bool,
) -> collections::BTreeSet<String> {
    let endpoints: Vec<subset::SubsetEndpoint<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| subset::SubsetEndpoint {
            name,
            is_same_zone: is_same_zone(index),
        })
        .collect();
    subset::choose_subset(router, &endpoints, subset::SUBSET_SIZE)
        .into_iter()
        .map(|index| names[index].clone())
        .collect()
}

#[test]
fn lost_events_drop_the_oldest_blocks() {
    let stored = |sequence, block| engine_wire::CacheEvent {
        sequence,
        block,
        stored: true,
    };
    let mut index = prefix_index::PrefixIndex::new(16);
    index.apply(1, &[stored(1, 101), stored(2, 102), stored(3, 103)]);
    index.apply(1, &[stored(6, 106)]);
    let held = [101, 102, 103, 106].map(|block| index.matched_blocks(&[block]));
    assert_eq!(held, [0, 0, 1, 1]);
}

#[test]
fn newest_blocks_stay_within_the_bound() {
    let mut index = prefix_index::PrefixIndex::new(16);
    index.insert_expected(&(0..100).collect::<Vec<u64>>());
    assert_eq!(index.len(), 16);
    assert_eq!(index.matched_blocks(&(84..100).collect::<Vec<u64>>()), 16);
}

#[test]
fn new_incarnation_has_an_empty_cache() {
    let event = engine_wire::CacheEvent {
        sequence: 1,
        block: 7,
        stored: true,
    };
    let mut index = prefix_index::PrefixIndex::new(16);
    index.apply(1, std::slice::from_ref(&event));
    assert_eq!(index.matched_blocks(&[7]), 1);
    index.apply(2, &[]);
    assert_eq!(index.matched_blocks(&[7]), 0);
    index.apply(1, &[event]);
    assert_eq!(index.matched_blocks(&[7]), 0);
}

#[test]
fn out_of_order_store_is_ignored() {
    let event = |sequence, stored| engine_wire::CacheEvent {
        sequence,
        block: 7,
        stored,
    };
    let mut index = prefix_index::PrefixIndex::new(16);
    index.apply(1, &[event(2, false), event(1, true)]);
    assert_eq!(index.matched_blocks(&[7]), 0);
}

#[test]
fn sent_prompt_is_expected_in_the_cache() {
    let mut index = prefix_index::PrefixIndex::default();
    index.insert_expected(&[1, 2, 3]);
    assert_eq!(index.matched_blocks(&[1, 2, 9, 3]), 2);
}

#[test]
fn few_endpoints_are_all_used() {
    let names: Vec<String> = (0..35).map(|index| format!("e{index}")).collect();
    let used = subset_names("router-1", &names, |index| index % 4 == 0);
    assert_eq!(used.len(), 35);
}

#[test]
fn subset_prefers_the_own_zone() {
    let names: Vec<String> = (0..400).map(|index| format!("e{index}")).collect();
    let used = subset_names("router-1", &names, |index| index < 200);
    let near = names[..200]
        .iter()
        .filter(|name| used.contains(*name))
        .count();
    assert_eq!((used.len(), near), (64, 48));
    let used = subset_names("router-1", &names, |index| index < 10);
    let near = names[..10]
        .iter()
        .filter(|name| used.contains(*name))
        .count();
    assert_eq!((used.len(), near), (64, 10));
    let used = subset_names("router-1", &names, |index| index < 395);
    let near = names[..395]
        .iter()
        .filter(|name| used.contains(*name))
        .count();
    assert_eq!((used.len(), near), (64, 59));
}

#[test]
fn subsets_of_all_routers_cover_every_endpoint_evenly() {
    const ROUTERS: usize = 280;
    const ENDPOINTS: usize = 1_000;
    let names: Vec<String> = (0..ENDPOINTS).map(|index| format!("e{index}")).collect();
    let mut users: collections::HashMap<String, usize> = collections::HashMap::new();
    for router in 0..ROUTERS {
        for name in subset_names(&format!("router-{router}"), &names, |_index| true) {
            *users.entry(name).or_default() += 1;
        }
    }
    let mean = ROUTERS * subset::SUBSET_SIZE / ENDPOINTS;
    assert_eq!(
        users.len(),
        ENDPOINTS,
        "some endpoints are used by no router"
    );
    let max_users = users.values().max().copied().unwrap_or_default();
    assert!(
        max_users <= 3 * mean,
        "{max_users} routers use one endpoint; the mean is {mean}"
    );
}
