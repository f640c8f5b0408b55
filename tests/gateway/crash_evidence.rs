//! Decides from reported crashes which prompts are blocked, and for how long.

use std::collections;

use kumquatpulley::platform::store_wire;
use kumquatpulley::process::gateway::rows::RowCodec as _;
use kumquatpulley::process::gateway::{block_list, crash_ledger, crash_record, feature_success};
use kumquatpulley::request::relay::request_feature;
use proptest::prelude::*;

use crate::common;
use crate::support::crash_features;

/// Time of a prefill, from the sending of a request to the beginning of its response.
const PREFILL_MS: u64 = 1_200;

const FIRST_BLOCK_MS: u64 = 10 * 60 * 1_000;

fn features(ids: &[u64]) -> Vec<request_feature::RequestFeature> {
    ids.iter()
        .copied()
        .map(request_feature::RequestFeature)
        .collect()
}

/// A crash at `millis` of a request that was sent one prefill earlier.
fn crash(request: u64, endpoint: u64, ids: &[u64], millis: u64) -> crash_record::CrashRecord {
    crash_record::CrashRecord {
        request,
        endpoint,
        features: features(ids),
        sent_at: crash_features::at(millis - PREFILL_MS),
        crashed_at: crash_features::at(millis),
    }
}

fn ledger(crashes: &[crash_record::CrashRecord]) -> crash_ledger::CrashLedger {
    let mut ledger = crash_ledger::CrashLedger::default();
    for crash in crashes {
        ledger.record_crash(crash.clone(), crash.crashed_at);
    }
    ledger
}

fn succeed(ledger: &mut crash_ledger::CrashLedger, id: u64, millis: u64) {
    let feature = request_feature::RequestFeature(id);
    ledger.record_success(feature_success::FeatureSuccess {
        feature,
        at: crash_features::at(millis),
    });
}

fn suspects(ledger: &crash_ledger::CrashLedger, ids: &[u64]) -> Vec<Vec<u64>> {
    let suspects = ledger.suspects(&features(ids)).into_iter();
    suspects
        .map(|set| set.into_iter().map(|part| part.0).collect())
        .collect()
}

fn three_crashes_of_two_requests_are_enough_for_a_part_that_never_worked() {
    let crashes = [
        crash(1, 10, &[5, 7], 8_000),
        crash(2, 11, &[6, 7], 8_100),
        crash(2, 12, &[6, 7], 8_200),
    ];
    assert_eq!(suspects(&ledger(&crashes[..2]), &[6, 7]), [[0; 0]; 0]);
    assert_eq!(suspects(&ledger(&crashes), &[6, 7]), [[7]]);
}

fn one_request_is_enough_after_three_attempts() {
    let crashes = [
        crash(1, 10, &[7], 8_000),
        crash(1, 11, &[7], 9_300),
        crash(1, 12, &[7], 10_600),
    ];
    assert_eq!(suspects(&ledger(&crashes[..2]), &[7]), [[0; 0]; 0]);
    assert_eq!(suspects(&ledger(&crashes), &[7]), [[7]]);
}

/// The endpoints of a small service keep their names when they restart.
fn the_same_two_endpoints_can_show_it() {
    let crashes = [
        crash(1, 10, &[7], 8_000),
        crash(1, 11, &[7], 9_300),
        crash(1, 10, &[7], 10_600),
    ];
    assert_eq!(suspects(&ledger(&crashes), &[7]), [[7]]);
}

/// A broken endpoint cuts off answers that have just begun, one after the other, and goes on.
fn one_endpoint_that_cuts_off_answers_does_not_show_a_part() {
    let mut ledger = ledger(&[]);
    succeed(&mut ledger, 7, 7_000);
    for number in 0..40 {
        let millis = 8_000 + number * 50;
        let cut = crash_record::CrashRecord {
            sent_at: crash_features::at(millis - 2),
            ..crash(number, 10, &[7], millis)
        };
        ledger.record_crash(cut, crash_features::at(millis));
        assert_eq!(suspects(&ledger, &[7]), [[0; 0]; 0]);
    }
}

/// Routers report the same crash with slightly different times.
fn a_crash_that_is_reported_twice_counts_once() {
    let mut crashes = vec![crash(1, 10, &[7], 8_000); 2];
    crashes[1].crashed_at = crash_features::at(8_020);
    crashes.extend([crash(2, 10, &[7], 8_010), crash(2, 11, &[7], 8_015)]);
    assert_eq!(suspects(&ledger(&crashes), &[7]), [[0; 0]; 0]);
}

/// A zone of engines fails at once, among them some that had just begun to answer prompts with a
/// part that all prompts share.
fn engines_that_fail_together_do_not_show_a_shared_part() {
    let crashes: Vec<crash_record::CrashRecord> = (0..40)
        .map(|number| {
            crash(
                number,
                100 + number,
                &[3, 1_000 + number],
                8_000 + number % 5,
            )
        })
        .collect();
    let mut ledger = ledger(&crashes);
    succeed(&mut ledger, 3, 7_990);
    assert_eq!(suspects(&ledger, &[3, 1_000]), [[0; 0]; 0]);
}

/// Engines fail for another reason while prompts with the part are answered elsewhere.
fn a_part_that_works_meanwhile_is_not_suspected() {
    let mut ledger = ledger(&[]);
    for number in 0..20 {
        let millis = 8_000 + number * 2_000;
        ledger.record_crash(
            crash(number, number, &[3], millis),
            crash_features::at(millis),
        );
        succeed(&mut ledger, 3, millis + 500);
        assert_eq!(suspects(&ledger, &[3]), [[0; 0]; 0]);
    }
}

fn a_part_that_worked_once_needs_consecutive_crashes() {
    let crashes = [
        crash(1, 10, &[7], 8_000),
        crash(2, 11, &[7], 8_100),
        crash(3, 12, &[7], 8_200),
        crash(1, 13, &[7], 9_300),
        crash(2, 14, &[7], 10_600),
    ];
    let mut ledger = ledger(&crashes[..4]);
    succeed(&mut ledger, 7, 5_000);
    assert_eq!(suspects(&ledger, &[7]), [[0; 0]; 0]);
    ledger.record_crash(crashes[4].clone(), crash_features::at(10_600));
    assert_eq!(suspects(&ledger, &[7]), [[7]]);
}

/// Two parts that occurred only together are suspected together; a prompt with one of them shows
/// which it is.
fn parts_that_occur_together_are_told_apart_later() {
    let crashes = [
        crash(1, 10, &[5, 7], 8_000),
        crash(2, 11, &[5, 7], 8_100),
        crash(3, 12, &[5, 7], 8_200),
    ];
    let mut ledger = ledger(&crashes);
    assert_eq!(suspects(&ledger, &[5, 7]), [[5, 7]]);
    ledger.record_crash(crash(4, 13, &[6, 7], 9_600), crash_features::at(9_600));
    assert_eq!(suspects(&ledger, &[6, 7]), [[7]]);
    succeed(&mut ledger, 5, 9_700);
    assert_eq!(suspects(&ledger, &[5, 7]), [[7]]);
}

/// Fourteen routers send prompts with the part at random; each crash is told to all of them. After
/// the fifth crash at most as many prompts are still sent as were on their way.
fn replay_of_many_routers(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut ledger, mut crashes, mut blocked_at) = (ledger(&[]), 0, None);
    // Requests on their way: when their engine crashes, and the other part of the prompt.
    let mut open: collections::BTreeMap<(u64, u64), u64> = collections::BTreeMap::new();
    for millis in (10_000_u64..40_000).step_by(10) {
        if blocked_at.is_none() && random.u32(..25) == 0 {
            let request = random.u64(..);
            open.insert((millis + random.u64(900..2_000), request), random.u64(1..4));
        }
        while let Some(((due, request), other)) = open.pop_first() {
            if due > millis {
                open.insert((due, request), other);
                break;
            }
            crashes += 1;
            let lost = crash(request, random.u64(..), &[other, 7], millis);
            ledger.record_crash(lost, crash_features::at(millis));
            let shown = suspects(&ledger, &[other, 7]);
            if shown.iter().any(|set| set.contains(&7)) {
                blocked_at.get_or_insert(crashes);
            } else {
                open.insert((millis + random.u64(900..2_000), request), other);
            }
        }
        // Other prompts with the same parts are answered all the time.
        succeed(&mut ledger, 1 + millis / 10 % 3, millis);
    }
    let blocked_at = blocked_at.expect("blocked");
    assert!(blocked_at <= 5, "blocked after {blocked_at} crashes");
    assert_eq!(suspects(&ledger, &[1, 2, 3]), [[0; 0]; 0]);
}

/// Prompts with three crashing parts come at once, all with a first part that sound prompts share but
/// rarely have. Blocking the shared part would reject the sound ones.
fn replay_of_parts_that_share_one(seed: u64) {
    const SHARED: u64 = 3;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut ledger = ledger(&[]);
    let mut crashes: collections::BTreeMap<u64, u32> = [(7, 0), (8, 0), (9, 0)].into();
    let mut millis = 10_000;
    succeed(&mut ledger, SHARED, 9_000);
    while !crashes.is_empty() {
        let part = random.choice(crashes.keys().copied()).expect("one is left");
        let ids = [SHARED, part];
        millis += PREFILL_MS + random.u64(100..900);
        let lost = crash(random.u64(..), random.u64(..), &ids, millis);
        ledger.record_crash(lost, crash_features::at(millis));
        crashes.entry(part).and_modify(|count| *count += 1);
        let shown = suspects(&ledger, &ids);
        assert!(!shown.contains(&vec![SHARED]), "{crashes:?}");
        if shown.contains(&vec![part]) {
            assert!(crashes[&part] <= 5, "{crashes:?}");
            crashes.remove(&part);
        }
    }
}

/// A part that engines answered begins to crash them, whatever other parts come with it.
fn a_part_that_worked_is_suspected_with_any_other_parts() {
    let mut ledger = ledger(&[]);
    succeed(&mut ledger, 7, 7_000);
    for number in 0..5 {
        let millis = 9_000 + number * 1_300;
        ledger.record_crash(
            crash(number, number, &[7, 100 + number], millis),
            crash_features::at(millis),
        );
    }
    assert_eq!(suspects(&ledger, &[7]), [[7]]);
}

/// A router that lacks the success of another part would take it for the cause.
fn evidence_holds_the_successes_of_all_parts_of_lost_prompts() {
    let mut ledger = ledger(&[crash(1, 10, &[5, 7], 8_000)]);
    succeed(&mut ledger, 5, 8_500);
    succeed(&mut ledger, 6, 8_600);
    let evidence = ledger.evidence_about(&features(&[7]), crash_features::at(9_000));
    assert_eq!(evidence.crashes.len(), 1);
    let known: Vec<_> = evidence
        .successes
        .iter()
        .map(|success| success.feature)
        .collect();
    assert_eq!(known, features(&[5]));
}

/// Both parts worked, the shared one more recently, as other prompts have it too.
fn the_part_that_worked_less_recently_is_suspected() {
    let mut ledger = ledger(&[]);
    succeed(&mut ledger, 7, 5_000);
    succeed(&mut ledger, 3, 7_000);
    for number in 0..3 {
        let millis = 9_000 + number * 1_300;
        ledger.record_crash(
            crash(number, number, &[3, 7], millis),
            crash_features::at(millis),
        );
    }
    assert_eq!(suspects(&ledger, &[3, 7]), [[7]]);
}

fn a_block_ends_and_one_more_crash_doubles_it() {
    let mut list = block_list::BlockList::default();
    list.block(features(&[5, 7]), 1_000);
    let left = |list: &block_list::BlockList, ids: &[u64], now| {
        list.block_left(&features(ids), now)
            .map(|left| left.as_millis())
    };
    assert_eq!(
        left(&list, &[7, 6, 5], 2_000),
        Some(u128::from(FIRST_BLOCK_MS - 1_000))
    );
    assert_eq!(left(&list, &[7], 2_000), None);
    let expired = 1_000 + FIRST_BLOCK_MS;
    assert_eq!(left(&list, &[5, 7], expired), None);
    assert_eq!(
        list.expired_matches(&features(&[5, 7]), expired - 1).len(),
        0
    );
    let again = list.expired_matches(&features(&[7, 5, 1]), expired);
    assert_eq!(again, [features(&[5, 7])]);
    let entry = list.block(features(&[5, 7]), expired);
    assert_eq!(entry.until_ms, expired + 2 * FIRST_BLOCK_MS);
}

/// A router whose clock is wrong, or a corrupt row, cannot block a prompt for more than a day.
fn a_block_from_elsewhere_is_limited() {
    let day_ms = 24 * 60 * 60 * 1_000;
    let mut list = block_list::BlockList::default();
    let entry = |ids, until_ms| block_list::BlockedRequest {
        features: features(ids),
        until_ms,
        count: 1,
    };
    assert!(list.merge(entry(&[7], u64::MAX), 1_000));
    assert_eq!(list.entries()[0].until_ms, 1_000 + day_ms);
    assert!(!list.merge(entry(&[], 5_000), 1_000));
    assert!(!list.merge(entry(&[8], 1_000), 2_000 + day_ms));
}

fn a_stored_block_is_read_as_written() {
    let entry = block_list::BlockedRequest {
        features: features(&[0x5c1e_07a2, u64::MAX]),
        until_ms: 1_765_000_000_000,
        count: 3,
    };
    let codec = store_wire::StoreCodec;
    let value = codec.encode_blocked_request(&entry);
    assert_eq!(codec.blocked_request(&value), Some(entry));
    assert_eq!(codec.blocked_request(b"{\"parts\":7}"), None);
}

common::cases! {
    never_worked: three_crashes_of_two_requests_are_enough_for_a_part_that_never_worked();
    one_request: one_request_is_enough_after_three_attempts();
    same_endpoints: the_same_two_endpoints_can_show_it();
    broken_endpoint: one_endpoint_that_cuts_off_answers_does_not_show_a_part();
    reported_twice: a_crash_that_is_reported_twice_counts_once();
    zone_failure: engines_that_fail_together_do_not_show_a_shared_part();
    works_meanwhile: a_part_that_works_meanwhile_is_not_suspected();
    worked_once: a_part_that_worked_once_needs_consecutive_crashes();
    told_apart: parts_that_occur_together_are_told_apart_later();
    replay_1: replay_of_many_routers(1);
    replay_2: replay_of_many_routers(2);
    replay_3: replay_of_many_routers(3);
    shared_part_1: replay_of_parts_that_share_one(1);
    shared_part_2: replay_of_parts_that_share_one(2);
    shared_part_3: replay_of_parts_that_share_one(3);
    any_other_parts: a_part_that_worked_is_suspected_with_any_other_parts();
    successes_of_all_parts: evidence_holds_the_successes_of_all_parts_of_lost_prompts();
    worked_less_recently: the_part_that_worked_less_recently_is_suspected();
    block_ends: a_block_ends_and_one_more_crash_doubles_it();
    limited_block: a_block_from_elsewhere_is_limited();
    stored_block: a_stored_block_is_read_as_written();
}

proptest! {
    /// Routers that get the same blocks in any order hold the same ones.
    #[test]
    fn blocks_converge(blocks in proptest::collection::vec((0_u64..4, 1_000_u64..9_000), 1..12), seed: u64) {
        let merged = |order: &[(u64, u64)]| {
            let mut list = block_list::BlockList::default();
            for (part, until_ms) in order {
                let entry = block_list::BlockedRequest { features: features(&[*part]), until_ms: *until_ms, count: 1 };
                list.merge(entry, 1_000);
            }
            list.digest()
        };
        let mut shuffled = blocks.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(merged(&blocks), merged(&shuffled));
    }
}
