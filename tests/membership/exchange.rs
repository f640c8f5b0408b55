//! Tests of load tables and of exchanges between two states.

use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::members::{gossip_exchange, member_load, member_table};

use crate::fixtures;

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
fn all_loads_reach_a_peer_within_the_budget_of_each_message() {
    let mut table = member_load::LoadTable::default();
    for index in 0..20 {
        assert!(table.merge(load(&format!("router-{index}"), 2, (0, 1)), "source"));
        assert!(!table.merge(load(&format!("router-{index}"), 1, (0, 1)), "source"));
    }
    let (mut seen, mut passed) = (0, 0);
    for _ in 0..20 {
        let batch = table.batch(seen, "peer", 100);
        assert!(batch.loads.len() <= 2);
        passed += batch.loads.len();
        seen = batch.last_sequence;
    }
    assert_eq!(passed, 20);
    assert!(table.batch(0, "source", 100).loads.is_empty());
}

#[test]
fn a_repartitioned_load_replaces_all_parts() {
    let mut table = member_load::LoadTable::default();
    for part in 0..4 {
        assert!(table.merge(load("a", 1 + u64::from(part), (part, 4)), "source"));
    }
    assert_eq!(table.demand("a", 1).count(), 4);
    assert!(table.merge(load("a", 5, (0, 1)), "source"));
    assert!(!table.merge(load("a", 4, (3, 4)), "late"));
    assert_eq!(table.demand("a", 1).count(), 1);
    assert_eq!(table.demand("a", 2).count(), 0);
    assert_eq!(table.batch(0, "peer", 10_000).loads.len(), 1);
}

/// Sends a query from `one` to `two` and applies the reply; returns its effect on `one`.
fn exchange(
    one: &mut gossip_exchange::ExchangeState,
    two: &mut gossip_exchange::ExchangeState,
    query: peer_wire::GossipWire,
    now: time::Instant,
) -> gossip_exchange::ExchangeEffect {
    let at = gossip_exchange::ExchangeTime {
        now,
        micros: fixtures::WALL_MICROS,
    };
    let sent = gossip_exchange::SentSequences::from(&query);
    let (reply, _) = two.answer(query, at);
    one.apply_reply(sent, reply, at)
}

/// Guards against a router that starts again and stays alone for several rounds: its peers sent it only
/// what the process before had not seen. It then took an older configuration from a restored store.
#[test]
fn a_router_that_started_again_knows_its_peer_after_one_contact() {
    let now = time::Instant::now();
    let state = |name: &str, incarnation| {
        let own = fixtures::member(name, incarnation, fixtures::ALIVE, 1);
        gossip_exchange::ExchangeState::new(member_table::MemberTable::new(own, now))
    };
    let (mut one, mut two) = (state("one", 1), state("two", 1));
    for kind in [
        gossip_exchange::ExchangeKind::Compare,
        gossip_exchange::ExchangeKind::Round,
    ] {
        let query = one.query(Some("two"), kind);
        exchange(&mut one, &mut two, query, now);
    }
    one.mark_synced();
    let mut two = state("two", 2);
    let query = one.query(Some("two"), gossip_exchange::ExchangeKind::Round);
    let effect = exchange(&mut one, &mut two, query, now);
    assert!(effect.needs_comparison);
    let query = one.query(Some("two"), gossip_exchange::ExchangeKind::Compare);
    exchange(&mut one, &mut two, query, now);
    assert!(two.table.get("one").is_some());
    let known = one.table.get("two").expect("a member");
    assert_eq!(known.member.incarnation, 2);
    // Later contacts need no comparison.
    let query = one.query(Some("two"), gossip_exchange::ExchangeKind::Round);
    assert!(!exchange(&mut one, &mut two, query, now).needs_comparison);
}

// Recording progress after such an exchange would skip the changes that it did not carry.
#[test]
fn an_exchange_without_a_delta_leaves_the_peer_behind() {
    let now = time::Instant::now();
    let state = |name: &str| {
        let table =
            member_table::MemberTable::new(fixtures::member(name, 1, fixtures::ALIVE, 1), now);
        gossip_exchange::ExchangeState::new(table)
    };
    let (mut one, mut two) = (state("one"), state("two"));
    let first = one.query(Some("two"), gossip_exchange::ExchangeKind::Round);
    exchange(&mut one, &mut two, first, now);
    one.table
        .merge(fixtures::member("a", 1, fixtures::ALIVE, 1), "peer", now);
    two.table
        .merge(fixtures::member("b", 1, fixtures::ALIVE, 1), "peer", now);
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
        let table =
            member_table::MemberTable::new(fixtures::member(name, 1, fixtures::ALIVE, 1), now);
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
