//! The state that a gateway caches: endpoints, configuration age, retry budgets and routes.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::gateway::{
    boot_clock, budgets, endpoint_fleet, endpoint_notice, endpoint_registry, first_read, freshness,
    parted_rows, readers, settings,
};
use kumquatpulley::process::view;
use kumquatpulley::request::key;
use kumquatpulley::request::relay::context::RetryLimiter as _;
use kumquatpulley::request::relay::fleet::EndpointFleet as _;
use kumquatpulley::request::relay::{context, fleet, version_choice};
use kumquatpulley::version::traffic;
use proptest::prelude::*;

use crate::common;

const GRACE: time::Duration = time::Duration::from_secs(2);

fn at(millis: u64) -> boot_clock::BootInstant {
    boot_clock::BootInstant(time::Duration::from_millis(millis))
}

pub(crate) fn record(
    name: &str,
    zone: &str,
    incarnation: u64,
    is_leaving: bool,
) -> endpoint_registry::EndpointRecord {
    endpoint_registry::EndpointRecord {
        name: name.to_owned(),
        incarnation,
        service: "models".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        is_leaving,
    }
}

fn present(name: &str, incarnation: u64, is_leaving: bool) -> endpoint_registry::EntryChange {
    endpoint_registry::EntryChange::Present(record(name, "z1", incarnation, is_leaving))
}

fn absent(name: &str) -> endpoint_registry::EntryChange {
    endpoint_registry::EntryChange::Absent(name.to_owned())
}

fn names(registry: &endpoint_registry::EndpointRegistry) -> Vec<String> {
    let mut names: Vec<String> = registry
        .records()
        .map(|record| record.name.clone())
        .collect();
    names.sort_unstable();
    names
}

fn registry_with(
    changes: Vec<endpoint_registry::EntryChange>,
) -> endpoint_registry::EndpointRegistry {
    let mut registry = endpoint_registry::EndpointRegistry::new(GRACE);
    registry.replace(changes, at(0));
    registry
}

/// Applies a peer's report that covers all parts.
fn apply_peer_report(
    registry: &mut endpoint_registry::EndpointRegistry,
    changes: Vec<endpoint_registry::EntryChange>,
    lapsed: &[&str],
    now: boot_clock::BootInstant,
) -> bool {
    let lapsed = lapsed.iter().map(|name| (*name).to_owned()).collect();
    registry.apply_from_peer(changes, &lapsed, |_name| true, now)
}

fn leaving_is_final_for_one_incarnation() {
    let mut registry = registry_with(vec![present("a", 1, true)]);
    registry.apply(vec![present("a", 1, false)], at(10));
    assert!(registry.records().all(|record| record.is_leaving));
    registry.apply(vec![present("a", 2, false)], at(20));
    assert!(registry.records().all(|record| !record.is_leaving));
    // A stale copy of the earlier incarnation changes nothing.
    registry.apply(vec![present("a", 1, true)], at(30));
    assert!(
        registry
            .records()
            .all(|record| !record.is_leaving && record.incarnation == 2)
    );
}

fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    assert!(registry.apply(vec![absent("a")], at(10)));
    assert_eq!(names(&registry), ["b"]);
    assert!(registry.replace(vec![], at(20)));
    assert!(names(&registry).is_empty());
}

fn a_lapsed_entry_is_kept_for_the_grace_period() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    registry.mark_store_unreachable();
    registry.mark_store_reachable(at(5_000));
    assert!(!registry.replace(vec![], at(5_000)));
    assert_eq!(names(&registry), ["a", "b"]);
    registry.apply(vec![present("a", 1, false)], at(6_000));
    assert!(!registry.expire(at(6_999)));
    assert!(registry.expire(at(7_000)));
    assert_eq!(names(&registry), ["a"]);
}

/// The store was restored from a copy that lacks an endpoint, and no call failed meanwhile.
fn an_entry_that_a_restored_store_lacks_is_kept_for_the_grace_period() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    registry.mark_restored(at(5_000));
    assert!(!registry.replace(vec![present("a", 1, false)], at(5_000)));
    assert_eq!(names(&registry), ["a", "b"]);
    assert!(registry.expire(at(7_000)));
    assert_eq!(names(&registry), ["a"]);
}

/// A restored store holds the entry of an endpoint that has gone, for as long as it takes to drop it.
fn an_entry_that_a_restored_store_brings_back_is_left_out() {
    let back = || vec![present("a", 1, false), present("b", 1, false)];
    let restored = || {
        let mut registry = registry_with(back());
        registry.apply(vec![present("b", 1, true)], at(100));
        registry.apply(vec![absent("b")], at(1_000));
        registry.mark_restored(at(5_000));
        registry.replace(back(), at(5_000));
        registry
    };
    let mut registry = restored();
    apply_peer_report(&mut registry, back(), &[], at(5_200));
    assert_eq!(names(&registry), ["a"]);
    assert!(!registry.take_reread(at(9_999)));
    assert!(registry.take_reread(at(10_000)));
    assert!(!registry.take_reread(at(10_001)));
    // It still writes, so it runs; it said that it leaves, which holds for its life.
    assert!(registry.replace(back(), at(10_002)));
    let record = registry.records().find(|record| record.name == "b");
    assert!(record.is_some_and(|record| record.is_leaving));
    // An endpoint that writes again, or that has restarted, is back at once.
    assert!(restored().apply(vec![present("b", 1, false)], at(5_500)));
    assert!(restored().replace(vec![present("b", 2, false)], at(5_500)));
}

fn no_entry_expires_while_the_store_is_unreachable() {
    let mut registry = registry_with(vec![present("a", 1, false)]);
    registry.mark_store_unreachable();
    registry.apply(vec![absent("a")], at(1_000));
    assert!(!registry.expire(at(60_000)));
    assert_eq!(names(&registry), ["a"]);
}

/// A router that got no answers from the store kept using an endpoint for 2.75 s after it had
/// left, although its peers knew. Found by a randomized test.
fn a_peer_list_removes_endpoints_while_the_store_is_unreachable() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    registry.mark_store_unreachable();
    let changes = vec![absent("a"), present("b", 1, true)];
    assert!(apply_peer_report(&mut registry, changes, &[], at(500)));
    assert_eq!(names(&registry), ["b"]);
    assert!(registry.records().all(|record| record.is_leaving));
}

/// The store's feed does not repeat the change that the older list undid in the rows.
fn a_peer_list_older_than_the_own_one_has_the_store_read_again(
    known: endpoint_registry::EntryChange,
    listed: endpoint_registry::EntryChange,
    is_older: bool,
) {
    let mut registry = registry_with(vec![known]);
    assert!(!registry.take_reread(at(100)));
    let is_changed = apply_peer_report(&mut registry, vec![listed], &[], at(100));
    assert_eq!(is_changed, !is_older);
    assert_eq!(registry.take_reread(at(200)), is_older);
    assert!(!registry.take_reread(at(300)));
}

/// One reader had removed an entry, while another kept it because its own connection to the store
/// was disturbed. Their lists arrived alternately, and the endpoint reappeared again and again.
/// Found by randomized test run hunt-a19b-31.
fn an_entry_lapsed_at_a_peer_does_not_restore_a_removed_one() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    let both = || vec![present("a", 1, false), present("b", 1, false)];
    apply_peer_report(&mut registry, vec![], &["a"], at(300));
    assert_eq!(
        names(&registry),
        ["a", "b"],
        "an entry that may come back is kept"
    );
    assert_eq!(registry.lapsed().collect::<Vec<&str>>(), ["a"]);
    apply_peer_report(&mut registry, vec![absent("a")], &[], at(600));
    apply_peer_report(&mut registry, both(), &["a"], at(900));
    assert_eq!(names(&registry), ["b"], "a removed entry stays removed");
    apply_peer_report(&mut registry, both(), &[], at(1_200));
    assert_eq!(names(&registry), ["a", "b"], "the entry is present again");
    assert_eq!(registry.lapsed().count(), 0);
}

/// A router that has just started has no state of its own, so it uses lapsed entries too.
fn a_first_list_adds_lapsed_entries() {
    let mut registry = endpoint_registry::EndpointRegistry::new(GRACE);
    apply_peer_report(&mut registry, vec![present("a", 1, false)], &["a"], at(300));
    assert_eq!(names(&registry), ["a"]);
    // From now on the router relies on its own removals.
    registry.mark_initialized();
    apply_peer_report(&mut registry, vec![absent("a")], &[], at(600));
    apply_peer_report(&mut registry, vec![present("a", 1, false)], &["a"], at(900));
    assert!(names(&registry).is_empty());
}

/// A lapsed mark is cleared when the peer no longer reports the entry as lapsed, but only in the
/// parts that the report covers.
fn a_lapsed_mark_is_cleared_only_in_the_reported_parts() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    apply_peer_report(&mut registry, vec![], &["a", "b"], at(300));
    let lapsed = collections::HashSet::new();
    registry.apply_from_peer(vec![], &lapsed, |name| name == "a", at(600));
    assert_eq!(registry.lapsed().collect::<Vec<&str>>(), ["b"]);
    assert_eq!(names(&registry), ["a", "b"]);
}

/// A router reported that it was ready before its first list of endpoints was in place, and
/// refused the request that arrived at once. Found by the test `unsafe_answer_truncated` in CI.
fn a_fleet_is_initialized_only_after_its_first_list() {
    let policy = Box::new(placement::PrefixPlacement::default());
    let fleet = endpoint_fleet::RouterFleet::new("z1".to_owned(), policy);
    let records = [record("a", "z1", 1, false)];
    let records = records.iter();
    fleet.update(records.inspect(|_record| assert!(!fleet.is_initialized())));
    assert!(fleet.is_initialized());
    assert_eq!(fleet.counts(), (1, 1));
}

fn rows_with(changes: &[(u8, Option<u8>)]) -> parted_rows::PartedRows {
    let mut rows = parted_rows::PartedRows::default();
    for (key, value) in changes {
        let name = format!("e{key}");
        match value {
            Some(value) => rows.insert(name, vec![*value; 200]),
            None => rows.retain(|other| other != name),
        }
    }
    rows
}

fn none() -> impl Iterator<Item = &'static str> {
    std::iter::empty()
}

/// Deltas from `peer` for the parts in which it differs from `own`.
fn deltas_for(
    own: &parted_rows::PartedRows,
    peer: &parted_rows::PartedRows,
) -> Vec<parted_rows::PartDelta> {
    let parts = parted_rows::differing_parts(&peer.digests(none()), &own.digests(none()));
    let deltas = parts.into_iter();
    let deltas = deltas.map(|part| peer.delta(part, &own.row_digests(part)).expect("a part"));
    deltas.collect()
}

/// Applying the deltas of another router makes the rows equal, whichever changes each has seen and
/// in which order.
fn deltas_make_the_rows_of_two_routers_equal() {
    let change = (0_u8..30, proptest::option::of(0_u8..4));
    let changes = proptest::collection::vec(change, 0..60);
    proptest!(|(first in changes.clone(), second in changes)| {
        let (mut own, peer) = (rows_with(&first), rows_with(&second));
        let keys_before: collections::BTreeSet<String> = own.iter().map(|(key, _value)| key.to_owned()).collect();
        let reported = own.apply(deltas_for(&own, &peer)).expect("deltas that match");
        let digests = peer.digests(none());
        prop_assert_eq!(own.digests(none()), digests);
        prop_assert_eq!(
            parted_rows::combined_digest(&own.digests(none())),
            parted_rows::combined_digest(&digests)
        );
        let rows: Vec<(&str, &[u8])> = own.iter().collect();
        let expected: Vec<(&str, &[u8])> = peer.iter().collect();
        prop_assert_eq!(&rows, &expected);
        let is_removed = |key: &String| !expected.iter().any(|(other, _value)| other == key);
        let removed: collections::BTreeSet<String> = keys_before.into_iter().filter(is_removed).collect();
        prop_assert_eq!(reported.into_iter().collect::<collections::BTreeSet<String>>(), removed);
    });
}

/// Deltas that were requested before the own rows changed do not lead to the peer's digest. None
/// of them is applied.
fn deltas_that_do_not_match_change_nothing() {
    let peer = rows_with(&[(1, Some(2)), (2, Some(1)), (3, Some(1))]);
    let mut own = rows_with(&[(1, Some(1)), (2, Some(1)), (4, Some(1))]);
    let deltas = deltas_for(&own, &peer);
    own.insert("e1".to_owned(), vec![3; 200]);
    let replaced = own.digests(none());
    // A changed row that the delta replaces anyway does not matter.
    assert!(own.apply(deltas.clone()).is_some());
    let mut own = rows_with(&[(1, Some(1)), (2, Some(1)), (4, Some(3))]);
    let changed = own.digests(none());
    assert_ne!(changed, replaced);
    assert!(own.apply(deltas).is_none());
    assert_eq!(own.digests(none()), changed);
    // A part number out of range, and a row that does not belong to its part, are rejected.
    let wrong = |part| parted_rows::PartDelta {
        part,
        rows: vec![("e1".to_owned(), vec![1; 200])],
        removed: vec![],
        digest: 0,
    };
    assert!(own.apply(vec![wrong(200)]).is_none());
    let elsewhere = u8::from(parted_rows::part_of("e1") == 0);
    assert!(own.apply(vec![wrong(elsewhere)]).is_none());
    assert_eq!(own.digests(none()), changed);
    assert!(peer.delta(200, &[]).is_none());
}

/// Bytes that are exchanged when `changed` of `count` rows differ, including the digests of the
/// query, and the bytes of the changed rows alone.
fn delta_bytes(count: u32, changed: u32) -> (usize, usize) {
    let mut own = parted_rows::PartedRows::default();
    let mut peer = parted_rows::PartedRows::default();
    for number in 0..count {
        own.insert(format!("e{number}"), vec![1; 300]);
        let value = if number < changed { 2 } else { 1 };
        peer.insert(format!("e{number}"), vec![value; 300]);
    }
    let deltas = deltas_for(&own, &peer);
    let rows = deltas.iter().flat_map(|delta| &delta.rows);
    let rows: usize = rows.map(|(key, value)| key.len() + value.len()).sum();
    let digests = |delta: &parted_rows::PartDelta| {
        own.row_digests(delta.part).len() + delta.removed.len() + 1
    };
    let digests: usize = deltas.iter().map(digests).sum::<usize>() + parted_rows::PART_COUNT;
    let changed = usize::try_from(changed).expect("a small number");
    (rows + digests * size_of::<u64>(), changed * 300)
}

/// In a larger system, 146 routers exchanged whole lists of 280 endpoints several times a second,
/// as a few entries always differ. That was the most expensive traffic between zones.
fn few_changed_rows_need_few_bytes() {
    let (sent, _changed) = delta_bytes(280, 3);
    assert!(sent * 8 < 280 * 300, "{sent} bytes");
}

/// With 300 routers and 3,000 endpoints, of which tens came and went between two queries, nearly
/// every part differed and was sent whole to every peer, and the queried router exceeded its
/// memory limit. Found by a test series over system sizes.
fn delta_size_follows_changed_rows_among_thousands() {
    let (sent, changed) = delta_bytes(3_000, 100);
    assert!(sent < 2 * changed, "{sent} bytes for {changed}");
    let (sent, changed) = delta_bytes(10_000, 300);
    assert!(sent < 2 * changed, "{sent} bytes for {changed}");
}

fn a_lapsed_mark_changes_the_digest_of_its_part() {
    let rows = rows_with(&[(1, Some(1)), (2, Some(2))]);
    let marked = rows.digests(std::iter::once("e1"));
    let parts = parted_rows::differing_parts(&marked, &rows.digests(none()));
    assert_eq!(parts.len(), 1);
    assert_eq!(usize::from(parts[0]), parted_rows::part_of("e1"));
    // Missing digests count as differing in all parts.
    let all = parted_rows::differing_parts(&marked, &[]);
    assert_eq!(all.len(), parted_rows::PART_COUNT);
}

fn an_undecodable_entry_removes_only_its_own_endpoint() {
    let mut registry = registry_with(vec![present("a", 1, false), present("b", 1, false)]);
    registry.apply(vec![absent("a")], at(10));
    assert_eq!(names(&registry), ["b"]);
}

fn confirmed(millis: u64) -> freshness::FreshnessClock {
    let mut clock = freshness::FreshnessClock::default();
    clock.confirm(at(millis));
    clock
}

fn keys_are_rejected_before_the_age_limit() {
    let max_age = Some(time::Duration::from_secs(5));
    let clock = confirmed(1_000);
    assert!(clock.may_accept_key(max_age, at(5_500)));
    assert!(!clock.may_accept_key(max_age, at(5_900)));
    assert!(!clock.may_accept_key(max_age, at(60_000)));
    assert!(!freshness::FreshnessClock::default().may_accept_key(max_age, at(0)));
}

fn keys_without_an_age_limit_need_any_version() {
    assert!(confirmed(0).may_accept_key(None, at(600_000)));
    assert!(!freshness::FreshnessClock::default().may_accept_key(None, at(0)));
}

fn only_fresh_configuration_denies() {
    assert!(confirmed(1_000).may_deny(at(4_000)));
    assert!(!confirmed(1_000).may_deny(at(5_000)));
    assert!(!freshness::FreshnessClock::default().may_deny(at(0)));
}

fn an_older_confirmation_changes_nothing() {
    let mut clock = confirmed(5_000);
    clock.confirm(at(1_000));
    assert_eq!(clock.age(at(6_000)), Some(time::Duration::from_secs(1)));
}

fn a_router_without_recent_answers_reads_the_store() {
    let timing = readers::ReadTiming::new(time::Duration::from_secs(2));
    let mut liveness = readers::ReaderLiveness::default();
    assert!(!liveness.has_recent_answer(timing, at(0)));
    liveness.record_answer(at(1_000));
    assert!(liveness.has_recent_answer(timing, at(2_200)));
    // With a limit of 1.7 s, a leaving endpoint was known only after 2.015 s, as reading the store
    // takes up to half a second on a busy VM. Found by randomized test run hunt-2f2f-7.
    assert!(!liveness.has_recent_answer(timing, at(2_500)));
}

/// With more time allowed for a change, calls wait longer and are fewer. The time left to read the
/// store directly stays the same, and the configuration stays well below the age at which keys are
/// rejected.
fn longer_change_times_cause_fewer_calls() {
    let seconds = time::Duration::from_secs;
    let [short, long, longest] = [2, 4, 60].map(|bound| readers::ReadTiming::new(seconds(bound)));
    assert!(long.long_poll_wait >= 2 * short.long_poll_wait);
    assert_eq!(long.takeover_age, short.takeover_age + seconds(2));
    for timing in [short, long] {
        assert!(
            timing.long_poll_wait < timing.cross_zone_age
                && timing.cross_zone_age < timing.takeover_age
        );
    }
    assert_eq!(longest, long);
    assert_eq!(readers::ReadTiming::new(time::Duration::ZERO), short);
}

/// 195 routers start at once, of which three or none are seeds. Only few may read the store before
/// one of them can inform the others; each of them used to read it.
fn a_simultaneous_start_causes_few_calls(seeds: usize, is_first_start: bool, most: usize) {
    const ROUTERS: usize = 195;
    const ANSWER_TIME: time::Duration = time::Duration::from_millis(50);
    let mut random = fastrand::Rng::with_seed(5);
    let delays = (0..ROUTERS)
        .map(|router| first_read::read_delay(router < seeds, is_first_start, &mut random));
    let delays: Vec<time::Duration> = delays.collect();
    let first = delays.iter().min().copied().unwrap_or_default();
    let reading = delays.iter().filter(|delay| **delay <= first + ANSWER_TIME);
    let reading = reading.count();
    assert!(
        reading <= most,
        "{reading} of {ROUTERS} routers read the store"
    );
    let last = delays.iter().max().copied().unwrap_or_default();
    assert!(last < time::Duration::from_secs(2));
}

/// A store that was restored holds an older configuration than routers that still run. One that starts
/// again reads it late, unless those that it has reached have just started too.
fn a_restart_reads_the_store_after_other_routers_were_asked() {
    let delay = time::Duration::from_millis(150);
    let second = time::Duration::from_secs(1);
    let now = time::Instant::now();
    let restart = first_read::FirstRead::new(delay, false, now);
    for contact in [
        first_read::PeerContact::None,
        first_read::PeerContact::Configured,
    ] {
        assert!(!restart.is_due(contact, now + delay), "{contact:?}");
        assert!(restart.is_due(contact, now + delay + second), "{contact:?}");
    }
    let contact = first_read::PeerContact::Unconfigured;
    assert!(!restart.is_due(contact, now));
    assert!(restart.is_due(contact, now + delay));
    let first_start = first_read::FirstRead::new(delay, true, now);
    assert!(first_start.is_due(first_read::PeerContact::None, now + delay));
}

/// Calls of the routers of one zone to an unreachable store, compared with a fixed pause of 0.2 s.
fn an_outage_causes_few_calls() {
    const ROUTERS: u64 = 22;
    let calls_of = |is_reader: bool| {
        let mut backoff = readers::StoreBackoff::default();
        let mut left = time::Duration::from_secs(9);
        let mut calls = 0_u64;
        while !left.is_zero() {
            calls += 1;
            left = left.saturating_sub(backoff.next_pause(is_reader));
        }
        calls
    };
    let calls = calls_of(true) + (ROUTERS - 1) * calls_of(false);
    let fixed = ROUTERS * 9 * 5;
    assert!(
        calls * 5 < fixed,
        "{calls} calls, {fixed} with a fixed pause"
    );
    // The reader still detects the store's return within a second.
    let mut backoff = readers::StoreBackoff::default();
    let longest = (0..20).map(|_failure| backoff.next_pause(true)).max();
    assert!(longest < Some(time::Duration::from_secs(1)));
}

/// With 108 routers, the share of each was a single token, and streams that broke off when the
/// engines of a zone failed were given up. Found in a larger system.
fn a_router_among_many_can_resume_its_few_streams() {
    let budgets = budgets_of(108);
    let now = time::Instant::now();
    budgets.deposit("models", now);
    let repaired =
        (0..3).filter(|_stream| budgets.withdraw("models", context::RetryUrgency::Broken, now));
    assert_eq!(repaired.count(), 3);
}

/// Routers that share the retry limit, and requests at each of them in one window of the limit.
const ROUTERS: u32 = 14;
const REQUESTS: u32 = 40;

/// Retries of one router in a window from `start`, when every request keeps failing.
fn count_retries(budgets: &budgets::ServiceBudgets, start: time::Instant) -> usize {
    let window = time::Duration::from_secs(10);
    let mut retries = 0;
    for request in 0..REQUESTS {
        let now = start + window * request / REQUESTS;
        budgets.deposit("models", now);
        for urgency in [context::RetryUrgency::Fresh, context::RetryUrgency::Broken] {
            let tries = (0..5).filter(|_try| budgets.withdraw("models", urgency, now));
            retries += tries.count();
        }
    }
    retries
}

fn assert_within_limit(retries: usize) {
    let limit = f64::from(ROUTERS * REQUESTS) * 0.8 + 300.0;
    let retries = u32::try_from(retries).expect("few");
    assert!(
        f64::from(retries) < limit,
        "{retries} retries, {limit} allowed"
    );
}

fn all_routers_together_stay_within_the_limit() {
    let start = time::Instant::now();
    let retries = (0..ROUTERS).map(|_router| count_retries(&budgets_of(ROUTERS), start));
    assert_within_limit(retries.sum());
}

/// All routers start at once and first know only themselves, then each other.
fn routers_that_met_after_their_start_stay_within_the_limit() {
    let start = time::Instant::now();
    let retries = (0..ROUTERS).map(|_router| {
        let members = sync::Arc::new(ManyRouters(atomic::AtomicU32::new(1)));
        let budgets = budgets_among(&members);
        budgets.deposit("models", start);
        members.0.store(ROUTERS, atomic::Ordering::Relaxed);
        count_retries(&budgets, start)
    });
    assert_within_limit(retries.sum());
}

/// A membership view with this many ready routers.
#[derive(Debug)]
struct ManyRouters(atomic::AtomicU32);

impl view::MemberView for ManyRouters {
    fn home(&self) -> key::HomeName {
        key::HomeName {
            router: "r0".to_owned(),
            incarnation: 1,
        }
    }

    fn is_own_home(&self, _home: &key::HomeName) -> bool {
        false
    }

    fn find(&self, _router: &str) -> Option<peer_wire::MemberWire> {
        None
    }

    fn ready_members(&self) -> Vec<peer_wire::MemberWire> {
        let member = |number| peer_wire::MemberWire {
            router: format!("r{number}"),
            incarnation: 1,
            rank: 0,
            version: 1,
            zone: "z1".to_owned(),
            caller_address: String::new(),
            peer_address: String::new(),
            admin_address: String::new(),
            config: 0,
            demand: Vec::new(),
        };
        let count = self.0.load(atomic::Ordering::Relaxed);
        (0..count).map(member).collect()
    }
}

fn budgets_of(routers: u32) -> budgets::ServiceBudgets {
    budgets_among(&sync::Arc::new(ManyRouters(atomic::AtomicU32::new(
        routers,
    ))))
}

fn budgets_among(members: &sync::Arc<ManyRouters>) -> budgets::ServiceBudgets {
    let bounds = settings::GatewayBounds {
        propagation_limit: time::Duration::from_secs(2),
        max_key_age: None,
        stop_grace: time::Duration::from_secs(8),
        max_address_ttl: time::Duration::from_secs(5),
        reregistration_grace: GRACE,
        retry_ratio: 0.8,
        retry_slack: 300.0,
        retry_window: time::Duration::from_secs(10),
        expose_share: 0.1,
        expose_slack: 50.0,
        rollback_limit: time::Duration::from_secs(5),
    };
    budgets::ServiceBudgets::new(bounds, sync::Arc::clone(members) as _)
}

fn fleet_with(records: &[endpoint_registry::EndpointRecord]) -> endpoint_fleet::RouterFleet {
    let policy = Box::new(placement::PrefixPlacement::default());
    let fleet = endpoint_fleet::RouterFleet::new("z1".to_owned(), policy);
    fleet.update(records.iter());
    fleet
}

fn need(excluded: &[fleet::EndpointKey]) -> fleet::EndpointQuery<'_> {
    fleet::EndpointQuery {
        service: "models",
        excluded,
        avoid_zone_of: None,
        only: None,
        is_unlimited: false,
        versions: &version_choice::VersionFilter::ANY,
    }
}

fn leaving_endpoints_get_no_requests() {
    let fleet = fleet_with(&[record("a", "z1", 1, true), record("b", "z1", 1, false)]);
    for _choice in 0..20 {
        let chosen = fleet.acquire(&need(&[])).expect("one is open");
        assert_eq!(chosen.name, "b");
        assert_eq!(fleet.acquire(&need(&[chosen.key])), None);
    }
}

fn failed_endpoints_are_used_only_as_a_last_resort() {
    let fleet = fleet_with(&[record("a", "z1", 1, false), record("b", "z1", 1, false)]);
    let now = time::Instant::now();
    let sample = fleet.sample(&need(&[]), 2);
    let failed = sample.iter().find(|endpoint| endpoint.name == "a");
    fleet.observe(
        failed.expect("a is known").key,
        fleet::EndpointObservation::Failed,
        now,
    );
    for _choice in 0..20 {
        assert_eq!(fleet.acquire(&need(&[])).expect("b is healthy").name, "b");
    }
    let other = sample.iter().find(|endpoint| endpoint.name == "b");
    let excluded = [other.expect("b is known").key];
    assert_eq!(
        fleet
            .acquire(&need(&excluded))
            .expect("better than none")
            .name,
        "a"
    );
}

fn observe_by_name(
    fleet: &endpoint_fleet::RouterFleet,
    name: &str,
    observation: fleet::EndpointObservation,
) {
    let sample = fleet.sample(&need(&[]), usize::MAX);
    let endpoint = sample.iter().find(|endpoint| endpoint.name == name);
    let key = endpoint.expect("the endpoint is known and open").key;
    fleet.observe(key, observation, time::Instant::now());
}

fn open_names(fleet: &endpoint_fleet::RouterFleet) -> Vec<String> {
    let sample = fleet.sample(&need(&[]), usize::MAX);
    let mut names: Vec<String> = sample.into_iter().map(|endpoint| endpoint.name).collect();
    names.sort();
    names
}

/// An entry that the store loses and restores, still marked ready, does not undo the endpoint's
/// own notice; only a new incarnation does.
fn a_leaving_notice_outlives_the_entry() {
    let ready = [record("a", "z1", 1, false), record("b", "z1", 1, false)];
    let fleet = fleet_with(&ready);
    observe_by_name(&fleet, "a", fleet::EndpointObservation::Leaving);
    assert_eq!(open_names(&fleet), ["b"]);
    fleet.update(ready[1..].iter());
    fleet.update(ready.iter());
    assert_eq!(open_names(&fleet), ["b"]);
    fleet.update([record("a", "z1", 2, false)].iter());
    assert_eq!(open_names(&fleet), ["a"]);
}

/// A paused endpoint is not chosen, not even if it is the only one or is requested by key.
fn a_pausing_endpoint_gets_no_requests() {
    let fleet = fleet_with(&[record("a", "z1", 1, false)]);
    let key = fleet.sample(&need(&[]), 1)[0].key;
    let now = time::Instant::now();
    assert_eq!(fleet.pause_left("models", now), None);
    let pause = time::Duration::from_secs(3);
    fleet.observe(key, fleet::EndpointObservation::Pausing(pause), now);
    assert_eq!(fleet.acquire(&need(&[])), None);
    let mut wanted = need(&[]);
    wanted.only = Some(key);
    assert_eq!(fleet.acquire(&wanted), None);
    assert!(!fleet.is_healthy(key));
    assert_eq!(fleet.pause_left("models", now), Some(pause));
    assert_eq!(fleet.pause_left("models", now + pause), None);
}

fn a_pause_is_limited_and_never_shortened() {
    let now = time::Instant::now();
    let mut notice = endpoint_notice::EndpointNotice::default();
    notice.pause(time::Duration::MAX, now);
    assert_eq!(notice.pause_left(now), Some(endpoint_notice::MAX_PAUSE));
    notice.pause(time::Duration::from_secs(1), now);
    assert_eq!(notice.pause_left(now), Some(endpoint_notice::MAX_PAUSE));
    assert!(notice.accepts_requests(now + endpoint_notice::MAX_PAUSE));
}

fn copies_are_placed_in_another_zone() {
    let records = [
        record("a", "z1", 1, false),
        record("b", "z1", 1, false),
        record("c", "z2", 1, false),
    ];
    let fleet = fleet_with(&records);
    let sample = fleet.sample(&need(&[]), 3);
    let first = sample
        .iter()
        .find(|endpoint| endpoint.name == "a")
        .expect("a is known");
    let apart = fleet::EndpointQuery {
        avoid_zone_of: Some(first.key),
        ..need(&[])
    };
    let others = fleet.sample(&apart, 3);
    let names: Vec<&str> = others
        .iter()
        .map(|endpoint| endpoint.name.as_str())
        .collect();
    assert_eq!(names, ["c"]);
}

/// Each endpoint once answered that it was a different one, and then none was used any more
/// although all were healthy. Found by the soak test with seed 3001.
fn a_replaced_endpoint_is_used_only_as_a_last_resort() {
    let fleet = fleet_with(&[record("a", "z1", 1, false), record("b", "z1", 1, false)]);
    let now = time::Instant::now();
    let sample = fleet.sample(&need(&[]), 2);
    let replaced = sample.iter().find(|endpoint| endpoint.name == "a");
    let replaced = replaced.expect("a is known").key;
    fleet.observe(replaced, fleet::EndpointObservation::Replaced, now);
    for _choice in 0..20 {
        assert_eq!(fleet.acquire(&need(&[])).expect("b is healthy").name, "b");
    }
    for endpoint in &sample {
        fleet.observe(endpoint.key, fleet::EndpointObservation::Replaced, now);
    }
    assert!(fleet.acquire(&need(&[])).is_some(), "no endpoint is left");
}

fn a_new_incarnation_resets_what_was_observed() {
    let fleet = fleet_with(&[record("a", "z1", 1, false), record("b", "z1", 1, false)]);
    let old = fleet.sample(&need(&[]), 2);
    let old = old
        .iter()
        .find(|endpoint| endpoint.name == "a")
        .expect("a is known");
    fleet.observe(
        old.key,
        fleet::EndpointObservation::Replaced,
        time::Instant::now(),
    );
    fleet.update([record("a", "z1", 2, false), record("b", "z1", 1, false)].iter());
    let excluded: Vec<fleet::EndpointKey> = fleet
        .sample(&need(&[]), 2)
        .iter()
        .filter(|endpoint| endpoint.name == "b")
        .map(|endpoint| endpoint.key)
        .collect();
    let new = fleet.sample(&need(&excluded), 2);
    assert_eq!(new.len(), 1);
    assert_ne!(new[0].key, old.key);
    // Releasing a request of the old incarnation is harmless.
    fleet.release(old.key);
}

fn route(prefix: &str, service: &str) -> traffic::TrafficRoute {
    traffic::TrafficRoute {
        name: prefix.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: traffic::RepeatKind::Idempotent,
        timeout: time::Duration::from_secs(1),
        goal: None,
        gap_goal: None,
        priority: 1,
        services: vec![traffic::ServiceShare {
            service: service.to_owned(),
            weight: 1,
        }],
        attempts: 1,
        is_public: false,
    }
}

fn check_route(host: &str, target: &str, expected: Option<&str>) {
    let version = traffic::TrafficVersion::from(traffic::TrafficParts {
        number: 1,
        routes: vec![route("/", "all"), route("/a/", "a"), route("/a/b/", "b")],
        ..traffic::TrafficParts::default()
    });
    let route = version.route(host, target);
    assert_eq!(
        route.map(|route| route.services[0].service.as_str()),
        expected
    );
}

fn weights_divide_requests() {
    let mut split = route("/", "a");
    split.services[0].weight = 900;
    split.services.push(traffic::ServiceShare {
        service: "b".to_owned(),
        weight: 100,
    });
    let mut random = fastrand::Rng::with_seed(3);
    let chosen = (0..10_000).filter(|_request| split.choose_service(&mut random) == Some("b"));
    let share = chosen.count();
    assert!(
        (800..1_200).contains(&share),
        "{share} of 10,000 requests instead of about a tenth"
    );
}

common::cases! {
    leaving_is_final: leaving_is_final_for_one_incarnation();
    removed_at_once: a_removed_entry_is_gone_at_once_while_the_store_answers();
    lapsed_entry: a_lapsed_entry_is_kept_for_the_grace_period();
    entry_not_in_copy: an_entry_that_a_restored_store_lacks_is_kept_for_the_grace_period();
    entry_only_in_copy: an_entry_that_a_restored_store_brings_back_is_left_out();
    store_unreachable: no_entry_expires_while_the_store_is_unreachable();
    peer_list: a_peer_list_removes_endpoints_while_the_store_is_unreachable();
    // An endpoint that had left got requests from a router until the end of a run.
    leaving_undone_by_a_peer: a_peer_list_older_than_the_own_one_has_the_store_read_again(present("a", 1, true), present("a", 1, false), true);
    restart_undone_by_a_peer: a_peer_list_older_than_the_own_one_has_the_store_read_again(present("a", 2, false), present("a", 1, false), true);
    leaving_told_by_a_peer: a_peer_list_older_than_the_own_one_has_the_store_read_again(present("a", 1, false), present("a", 1, true), false);
    restart_told_by_a_peer: a_peer_list_older_than_the_own_one_has_the_store_read_again(present("a", 1, true), present("a", 2, false), false);
    lapsed_at_a_peer: an_entry_lapsed_at_a_peer_does_not_restore_a_removed_one();
    lapsed_marks_by_part: a_lapsed_mark_is_cleared_only_in_the_reported_parts();
    first_list: a_first_list_adds_lapsed_entries();
    initialized_fleet: a_fleet_is_initialized_only_after_its_first_list();
    deltas_converge: deltas_make_the_rows_of_two_routers_equal();
    mismatched_delta: deltas_that_do_not_match_change_nothing();
    delta_bytes_among_thousands: delta_size_follows_changed_rows_among_thousands();
    delta_bytes_of_few_changes: few_changed_rows_need_few_bytes();
    lapsed_mark: a_lapsed_mark_changes_the_digest_of_its_part();
    undecodable_entry: an_undecodable_entry_removes_only_its_own_endpoint();
    key_age_limit: keys_are_rejected_before_the_age_limit();
    no_key_age_limit: keys_without_an_age_limit_need_any_version();
    denial: only_fresh_configuration_denies();
    older_confirmation: an_older_confirmation_changes_nothing();
    outage: an_outage_causes_few_calls();
    few_streams: a_router_among_many_can_resume_its_few_streams();
    shared_limit: all_routers_together_stay_within_the_limit();
    budget_of_routers_that_met: routers_that_met_after_their_start_stay_within_the_limit();
    longer_change_times: longer_change_times_cause_fewer_calls();
    simultaneous_start: a_simultaneous_start_causes_few_calls(3, true, 3);
    simultaneous_start_without_seeds: a_simultaneous_start_causes_few_calls(0, true, 30);
    simultaneous_restart: a_simultaneous_start_causes_few_calls(3, false, 3);
    restart_asks_first: a_restart_reads_the_store_after_other_routers_were_asked();
    no_recent_answer: a_router_without_recent_answers_reads_the_store();
    leaving_endpoint: leaving_endpoints_get_no_requests();
    failed_endpoint: failed_endpoints_are_used_only_as_a_last_resort();
    leaving_notice: a_leaving_notice_outlives_the_entry();
    pausing_endpoint: a_pausing_endpoint_gets_no_requests();
    pause_limit: a_pause_is_limited_and_never_shortened();
    copies_apart: copies_are_placed_in_another_zone();
    replaced_endpoint: a_replaced_endpoint_is_used_only_as_a_last_resort();
    new_incarnation: a_new_incarnation_resets_what_was_observed();
    longest_prefix: check_route("shop.example", "/a/b/c?d=/x/", Some("b"));
    shorter_prefix: check_route("SHOP.example:80", "/a/c", Some("a"));
    whole_segments: check_route("shop.example", "/ab/", Some("all"));
    unknown_host: check_route("other.example", "/a/", None);
    weights: weights_divide_requests();
}
