//! Merging of member facts, suspicion, leaving endpoints and pauses, without any I/O.

use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::{
    gossip_exchange, leaving, member_expiry, member_load, member_rank, member_ring, membership,
    pause,
};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

const SECOND: time::Duration = time::Duration::from_secs(1);
const WALL_MICROS: u64 = 1_900_000_000_000_000;

fn fact(router: &str, incarnation: u64, rank: u8, version: u64) -> peer_wire::MemberWire {
    peer_wire::MemberWire {
        router: router.to_owned(),
        incarnation,
        rank,
        version,
        zone: "zone-1".to_owned(),
        caller_address: "10.0.0.1:80".to_owned(),
        peer_address: "10.0.0.1:81".to_owned(),
        admin_address: "10.0.0.1:82".to_owned(),
        config: 0,
        demand: Vec::new(),
    }
}

fn rank(stage: member_rank::LifeStage, verdict: member_rank::PeerVerdict) -> u8 {
    member_rank::MemberRank { stage, verdict }.into()
}

const ALIVE: u8 = 0x01;
const SUSPECT: u8 = 0x11;
const DEAD: u8 = 0x21;
const LEFT: u8 = 0x03;

fn any_rank() -> impl Strategy<Value = u8> {
    (0u8..4, 0u8..3).prop_map(|(stage, verdict)| stage | verdict << 4)
}

fn any_fact() -> impl Strategy<Value = peer_wire::MemberWire> {
    let ports = prop::sample::select(vec!["10.0.0.1:81", "10.0.0.2:81"]);
    (0u64..3, any_rank(), 0u64..3, ports).prop_map(|(incarnation, rank, version, port)| {
        peer_wire::MemberWire {
            peer_address: port.to_owned(),
            ..fact("a", incarnation, rank, version)
        }
    })
}

/// Facts of several routers as they are really made: one zone and address a router.
fn any_facts() -> impl Strategy<Value = Vec<peer_wire::MemberWire>> {
    let router = prop::sample::select(vec!["a", "b", "c", "d"]);
    let one = (router, 1u64..4, any_rank(), 0u64..4);
    let one = one
        .prop_map(|(router, incarnation, rank, version)| fact(router, incarnation, rank, version));
    prop::collection::vec(one, 0..24)
}

fn table(now: time::Instant) -> membership::MemberTable {
    membership::MemberTable::new(fact("own", 1, ALIVE, 1), now)
}

fn stage_of(fact: &peer_wire::MemberWire) -> member_rank::LifeStage {
    member_rank::MemberRank::try_from(fact.rank)
        .expect("rank is unknown")
        .stage
}

fn merge_all(
    table: &mut membership::MemberTable,
    facts: Vec<peer_wire::MemberWire>,
    source: &str,
    now: time::Instant,
) {
    for fact in facts {
        table.merge(fact, source, now);
    }
}

proptest! {
    #[test]
    fn merge_is_commutative(left in any_fact(), right in any_fact()) {
        let one = member_rank::merge(left.clone(), right.clone());
        prop_assert_eq!(one, member_rank::merge(right, left));
    }

    #[test]
    fn merge_is_associative(a in any_fact(), b in any_fact(), c in any_fact()) {
        let one = member_rank::merge(member_rank::merge(a.clone(), b.clone()), c.clone());
        prop_assert_eq!(one, member_rank::merge(a, member_rank::merge(b, c)));
    }

    #[test]
    fn merge_is_idempotent(a in any_fact(), b in any_fact()) {
        prop_assert_eq!(&member_rank::merge(a.clone(), a.clone()), &a);
        let once = member_rank::merge(a.clone(), b.clone());
        prop_assert_eq!(&member_rank::merge(once.clone(), b), &once);
    }

    #[test]
    fn a_stage_never_goes_back_within_an_incarnation(facts in any_facts()) {
        let now = time::Instant::now();
        let mut table = table(now);
        for fact in facts {
            let router = fact.router.clone();
            let before = table.get(&router).map(|record| record.fact.clone());
            table.merge(fact, "peer", now);
            let Some(before) = before else { continue };
            let after = &table.get(&router).unwrap().fact;
            prop_assert!(after.incarnation >= before.incarnation);
            if after.incarnation == before.incarnation {
                prop_assert!(stage_of(after) >= stage_of(&before));
            }
        }
    }

    #[test]
    fn tables_agree_whatever_the_order(facts in any_facts(), seed in any::<u64>()) {
        let now = time::Instant::now();
        let (mut one, mut two) = (table(now), table(now));
        // Members that are gone are taken in only by those who knew them.
        for router in ["a", "b", "c", "d"] {
            one.merge(fact(router, 0, ALIVE, 0), "peer", now);
            two.merge(fact(router, 0, ALIVE, 0), "peer", now);
        }
        let mut shuffled = facts.clone();
        shuffled.extend_from_slice(&facts[..facts.len() / 2]);
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        merge_all(&mut one, facts, "peer", now);
        merge_all(&mut two, shuffled, "other", now);
        prop_assert_eq!(one.digest().total(), two.digest().total());
        for router in ["a", "b", "c", "d"] {
            prop_assert_eq!(&one.get(router).unwrap().fact, &two.get(router).unwrap().fact);
        }
    }

    #[test]
    fn differing_buckets_bring_two_tables_together(left in any_facts(), right in any_facts()) {
        let now = time::Instant::now();
        let (mut one, mut two) = (table(now), table(now));
        merge_all(&mut one, left, "peer", now);
        merge_all(&mut two, right, "peer", now);
        let wanted = one.digest().differing(two.digest().buckets());
        let (from_one, from_two) = (one.facts_in(wanted), two.facts_in(wanted));
        merge_all(&mut one, from_two.members, "two", now);
        merge_all(&mut two, from_one.members, "one", now);
        prop_assert_eq!(one.digest().total(), two.digest().total());
    }

    #[test]
    fn changes_by_number_bring_a_peer_up_to_date(facts in any_facts(), limit in 1usize..5) {
        let now = time::Instant::now();
        let (mut one, mut two) = (table(now), table(now));
        for fact in facts {
            one.merge(fact, "peer", now);
        }
        let mut seen = 0;
        for _ in 0..32 {
            let batch = one.delta(seen, "two", limit);
            prop_assert!(batch.members.len() <= limit);
            prop_assert!(batch.upto >= seen);
            seen = batch.upto;
            merge_all(&mut two, batch.members, "one", now);
        }
        prop_assert_eq!(seen, one.sequence());
        prop_assert_eq!(one.digest().total(), two.digest().total());
    }

    #[test]
    fn quantised_demand_is_never_below_and_at_most_a_quarter_above(requests in 0u32..2_000_000) {
        let told = member_load::quantise(requests);
        prop_assert!(told >= requests);
        prop_assert!(u64::from(told) * 4 <= u64::from(requests) * 5);
        prop_assert_eq!(member_load::quantise(told), told);
    }

    #[test]
    fn every_router_has_about_log2_predecessors(count in 2usize..300) {
        let names: Vec<String> = (0..count).map(|index| format!("router-{index}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut asked = std::collections::HashMap::new();
        for name in &names {
            let fingers = member_ring::fingers(name, &names);
            prop_assert!(!fingers.contains(&(*name).to_owned()));
            for finger in fingers {
                *asked.entry(finger).or_insert(0) += 1;
            }
        }
        let expected = (count - 1).ilog2() + 1;
        prop_assert!(names.iter().all(|name| asked.get(*name) == Some(&expected)));
    }
}

#[test]
fn a_rank_survives_the_wire_and_unknown_ones_are_refused() {
    let draining = member_rank::MemberRank {
        stage: member_rank::LifeStage::Draining,
        verdict: member_rank::PeerVerdict::Suspect,
    };
    assert_eq!(
        member_rank::MemberRank::try_from(u8::from(draining)),
        Ok(draining)
    );
    let unknown = member_rank::MemberRank::try_from(0x04);
    assert_eq!(unknown, Err(member_rank::RankError(0x04)));
    let unknown = member_rank::MemberRank::try_from(0x31);
    assert_eq!(unknown, Err(member_rank::RankError(0x31)));
}

#[test]
fn a_suspect_dies_after_the_suspicion_and_no_sooner() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.merge(fact("a", 1, ALIVE, 1), "peer", now);
    assert!(table.judge(
        &fact("a", 1, ALIVE, 1),
        member_rank::PeerVerdict::Suspect,
        now
    ));
    let almost = now + SECOND.mul_f64(0.9);
    assert!(table.expire_suspects(SECOND, almost).is_empty());
    assert_eq!(table.expire_suspects(SECOND, now + SECOND).len(), 1);
    assert_eq!(table.get("a").unwrap().fact.rank, DEAD);
}

#[test]
fn a_refuted_suspect_does_not_die() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.merge(fact("a", 1, SUSPECT, 1), "peer", now);
    table.merge(fact("a", 1, ALIVE, 2), "peer", now);
    assert!(table.expire_suspects(SECOND, now + SECOND * 9).is_empty());
    assert_eq!(table.get("a").unwrap().fact.rank, ALIVE);
}

#[test]
fn a_verdict_on_an_outdated_fact_is_ignored() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.merge(fact("a", 1, ALIVE, 2), "peer", now);
    assert!(!table.judge(
        &fact("a", 1, ALIVE, 1),
        member_rank::PeerVerdict::Suspect,
        now
    ));
}

#[test]
fn suspicions_start_again_after_a_pause_of_this_router() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.merge(fact("a", 1, SUSPECT, 1), "peer", now);
    let woken = now + SECOND * 5;
    table.restart_suspicions(woken);
    assert!(table.expire_suspects(SECOND, woken).is_empty());
}

#[test]
fn a_dead_verdict_against_this_router_is_refuted_in_the_same_incarnation() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.advance(member_rank::LifeStage::Draining, now);
    let accused = table.own().clone();
    let dead = rank(
        member_rank::LifeStage::Draining,
        member_rank::PeerVerdict::Dead,
    );
    let verdict = peer_wire::MemberWire {
        rank: dead,
        ..accused.clone()
    };
    let outcome = table.merge(verdict.clone(), "peer", now);
    assert_eq!(outcome, membership::MergeOutcome::Refuted);
    assert_eq!(table.own().incarnation, accused.incarnation);
    assert_eq!(stage_of(table.own()), member_rank::LifeStage::Draining);
    assert_eq!(
        member_rank::merge(verdict, table.own().clone()),
        *table.own()
    );
}

#[test]
fn facts_of_an_earlier_process_raise_the_incarnation() {
    let now = time::Instant::now();
    let left = rank(
        member_rank::LifeStage::Left,
        member_rank::PeerVerdict::Alive,
    );
    for earlier in [
        fact("own", 9, ALIVE, 4),
        fact("own", 1, left, 7),
        fact("own", 1, ALIVE, 5),
    ] {
        let mut table = table(now);
        table.merge(earlier.clone(), "peer", now);
        assert_eq!(table.own().incarnation, earlier.incarnation + 1);
        assert!(table.own_rank().is_live());
    }
}

#[test]
fn a_late_fact_does_not_bring_a_dead_member_back() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.merge(fact("a", 1, ALIVE, 3), "peer", now);
    table.merge(fact("a", 1, DEAD, 3), "peer", now);
    table.merge(fact("a", 1, ALIVE, 3), "late", now);
    assert_eq!(table.get("a").unwrap().fact.rank, DEAD);
}

#[test]
fn gone_members_are_forgotten_and_not_learned_again() {
    let now = time::Instant::now();
    let mut table = table(now);
    table.merge(fact("a", 1, ALIVE, 3), "peer", now);
    table.merge(fact("a", 1, DEAD, 3), "peer", now);
    table.merge(fact("b", 1, ALIVE, 3), "peer", now);
    let later = now + member_expiry::DEAD_RETENTION;
    table.forget(later, WALL_MICROS);
    assert!(table.get("a").is_none());
    assert!(table.get("b").is_some());
    table.merge(fact("a", 1, DEAD, 3), "peer", later);
    table.merge(fact("c", 1, LEFT, 3), "peer", later);
    assert_eq!(table.records().count(), 2);
}

#[test]
fn a_leaving_endpoint_stays_leaving_until_its_fact_expires() {
    let now = time::Instant::now();
    let mut table = table(now);
    let leaving = peer_wire::LeavingWire {
        endpoint: "runner-1".to_owned(),
        incarnation: 4,
        since: WALL_MICROS,
    };
    let digest = table.digest().total();
    assert!(table.mark_leaving(&leaving, now, WALL_MICROS));
    assert!(!table.mark_leaving(&leaving, now, WALL_MICROS));
    table.forget(now, WALL_MICROS);
    assert!(table.leaving().contains("runner-1", 4));
    assert!(!table.leaving().contains("runner-1", 5));
    assert_ne!(table.digest().total(), digest);
    let later = WALL_MICROS + u64::try_from(leaving::RETENTION.as_micros()).unwrap() + 1;
    table.forget(now, later);
    assert!(table.leaving().is_empty());
    assert_eq!(table.digest().total(), digest);
    assert!(!table.mark_leaving(&leaving, now, later));
}

#[test]
fn leaving_endpoints_are_bounded_and_the_oldest_go_first() {
    let mut set = leaving::LeavingSet::default();
    for index in 0..=leaving::MAX_FACTS {
        let fact = peer_wire::LeavingWire {
            endpoint: format!("runner-{index}"),
            incarnation: 0,
            since: WALL_MICROS + index as u64,
        };
        set.insert(&fact, WALL_MICROS);
    }
    set.expire(WALL_MICROS);
    assert_eq!(set.len(), leaving::MAX_FACTS);
    assert!(!set.contains("runner-0", 0));
}

fn load(router: &str, sequence: u64, (part, parts): (u16, u16)) -> peer_wire::LoadWire {
    peer_wire::LoadWire {
        router: router.to_owned(),
        incarnation: 1,
        sequence,
        part,
        parts,
        config: 1,
        demand: vec![peer_wire::DemandWire {
            workspace: format!("workspace-{part}"),
            requests: 1,
        }],
    }
}

#[test]
fn loads_reach_a_peer_whole_within_the_budget_of_each_message() {
    let mut book = member_load::LoadBook::default();
    for index in 0..20 {
        assert!(book.merge(load(&format!("router-{index}"), 2, (0, 1)), "source"));
        assert!(!book.merge(load(&format!("router-{index}"), 1, (0, 1)), "source"));
    }
    let (mut seen, mut passed) = (0, 0);
    for _ in 0..20 {
        let batch = book.batch(seen, "peer", 100);
        assert!(batch.loads.len() <= 2);
        passed += batch.loads.len();
        seen = batch.upto;
    }
    assert_eq!(passed, 20);
    assert!(book.batch(0, "source", 100).loads.is_empty());
}

#[test]
fn a_load_divided_anew_replaces_all_parts() {
    let mut book = member_load::LoadBook::default();
    for part in 0..4 {
        assert!(book.merge(load("a", 1 + u64::from(part), (part, 4)), "source"));
    }
    assert_eq!(book.demand("a", 1).count(), 4);
    assert!(book.merge(load("a", 5, (0, 1)), "source"));
    assert!(!book.merge(load("a", 4, (3, 4)), "late"));
    assert_eq!(book.demand("a", 1).count(), 1);
    assert_eq!(book.demand("a", 2).count(), 0);
    assert_eq!(book.batch(0, "peer", 10_000).loads.len(), 1);
}

/// Lets `one` send a query to `two` and take in the answer.
fn exchange(
    one: &mut gossip_exchange::ExchangeState,
    two: &mut gossip_exchange::ExchangeState,
    query: peer_wire::GossipWire,
    now: time::Instant,
) {
    let at = gossip_exchange::ExchangeTime {
        now,
        micros: WALL_MICROS,
    };
    let sent = gossip_exchange::SentNumbers::from(&query);
    let (reply, _) = two.answer(query, at);
    one.absorb(sent, reply, at);
}

#[test]
fn an_exchange_without_a_delta_does_not_count_as_one() {
    let now = time::Instant::now();
    let state = |name: &str| {
        let table = membership::MemberTable::new(fact(name, 1, ALIVE, 1), now);
        gossip_exchange::ExchangeState::new(table)
    };
    let (mut one, mut two) = (state("one"), state("two"));
    let first = one.query(Some("two"), gossip_exchange::ExchangeKind::Round);
    exchange(&mut one, &mut two, first, now);
    one.table.merge(fact("a", 1, ALIVE, 1), "peer", now);
    two.table.merge(fact("b", 1, ALIVE, 1), "peer", now);
    for query in [
        one.query(None, gossip_exchange::ExchangeKind::Round),
        one.bucket_query(0),
    ] {
        exchange(&mut one, &mut two, query, now);
    }
    assert!(one.is_behind("two"));
    let delta = one.query(Some("two"), gossip_exchange::ExchangeKind::Round);
    exchange(&mut one, &mut two, delta, now);
    assert!(two.table.get("a").is_some());
    assert!(one.table.get("b").is_some());
    assert!(!one.is_behind("two"));
}

#[test]
fn a_push_carries_no_loads_and_loses_none() {
    let now = time::Instant::now();
    let state = |name: &str| {
        let table = membership::MemberTable::new(fact(name, 1, ALIVE, 1), now);
        gossip_exchange::ExchangeState::new(table)
    };
    let (mut one, mut two) = (state("one"), state("two"));
    one.table.merge_load(load("one", 1, (0, 1)), "one");
    two.table.merge_load(load("two", 1, (0, 1)), "two");
    for _ in 0..2 {
        let push = one.query(Some("two"), gossip_exchange::ExchangeKind::Push);
        assert!(push.loads.is_empty());
        exchange(&mut one, &mut two, push, now);
    }
    assert_eq!(two.table.loads().demand("one", 1).count(), 0);
    let round = one.query(Some("two"), gossip_exchange::ExchangeKind::Round);
    exchange(&mut one, &mut two, round, now);
    assert_eq!(two.table.loads().demand("one", 1).count(), 1);
    assert_eq!(one.table.loads().demand("two", 1).count(), 1);
}

#[test]
fn a_gap_between_ticks_is_a_pause_on_either_clock() {
    let now = time::Instant::now();
    let mut detector = pause::PauseDetector::new(SECOND, now, WALL_MICROS);
    let almost = now + SECOND.mul_f64(0.9);
    assert_eq!(detector.tick(almost, WALL_MICROS + 900_000), None);
    let late = almost + SECOND * 3;
    assert_eq!(detector.tick(late, WALL_MICROS + 900_000), Some(SECOND * 3));
    assert_eq!(
        detector.tick(late, WALL_MICROS + 2_900_000),
        Some(SECOND * 2)
    );
    assert_eq!(detector.tick(late, WALL_MICROS), None);
}

#[test]
fn the_gate_opens_only_for_an_exchange_that_began_after_the_pause() {
    let now = time::Instant::now();
    let gate = pause::PauseGate::default();
    assert!(gate.is_open());
    gate.close(now + SECOND);
    assert!(!gate.note_contact(now));
    assert!(!gate.is_open());
    assert!(gate.note_contact(now + SECOND * 2));
    assert!(gate.is_open());
}
