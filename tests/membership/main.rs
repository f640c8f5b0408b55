//! Tests of member tables, exchanges and pause detection, without any I/O.

use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::members::{member_load, member_rank, member_ring};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

#[path = "../common/mod.rs"]
mod common;
mod exchange;
mod fixtures;
mod joining;
mod pause;
mod table;

fn any_rank() -> impl Strategy<Value = u8> {
    (0u8..4, 0u8..3).prop_map(|(stage, liveness)| stage | liveness << 4)
}

fn any_member() -> impl Strategy<Value = peer_wire::MemberWire> {
    let ports = prop::sample::select(vec!["10.0.0.1:81", "10.0.0.2:81"]);
    (0u64..3, any_rank(), 0u64..3, ports).prop_map(|(incarnation, rank, version, port)| {
        peer_wire::MemberWire {
            peer_address: port.to_owned(),
            ..fixtures::member("a", incarnation, rank, version)
        }
    })
}

/// Entries of several routers with a fixed zone and address for each router, as in a real cluster.
fn any_members() -> impl Strategy<Value = Vec<peer_wire::MemberWire>> {
    let router = prop::sample::select(vec!["a", "b", "c", "d"]);
    let one = (router, 1u64..4, any_rank(), 0u64..4);
    let one = one.prop_map(|(router, incarnation, rank, version)| {
        fixtures::member(router, incarnation, rank, version)
    });
    prop::collection::vec(one, 0..24)
}

proptest! {
    #[test]
    fn merge_is_commutative(left in any_member(), right in any_member()) {
        let one = member_rank::merge(left.clone(), right.clone());
        prop_assert_eq!(one, member_rank::merge(right, left));
    }

    #[test]
    fn merge_is_associative(a in any_member(), b in any_member(), c in any_member()) {
        let one = member_rank::merge(member_rank::merge(a.clone(), b.clone()), c.clone());
        prop_assert_eq!(one, member_rank::merge(a, member_rank::merge(b, c)));
    }

    #[test]
    fn merge_is_idempotent(a in any_member(), b in any_member()) {
        prop_assert_eq!(&member_rank::merge(a.clone(), a.clone()), &a);
        let once = member_rank::merge(a.clone(), b.clone());
        prop_assert_eq!(&member_rank::merge(once.clone(), b), &once);
    }

    #[test]
    fn a_stage_never_goes_back_within_an_incarnation(members in any_members()) {
        let now = time::Instant::now();
        let mut table = fixtures::table(now);
        for member in members {
            let router = member.router.clone();
            let before = table.get(&router).map(|record| record.member.clone());
            table.merge(member, "peer", now);
            let Some(before) = before else { continue };
            let after = &table.get(&router).unwrap().member;
            prop_assert!(after.incarnation >= before.incarnation);
            if after.incarnation == before.incarnation {
                prop_assert!(fixtures::stage_of(after) >= fixtures::stage_of(&before));
            }
        }
    }

    #[test]
    fn tables_agree_whatever_the_order(members in any_members(), seed in any::<u64>()) {
        let now = time::Instant::now();
        let (mut one, mut two) = (fixtures::table(now), fixtures::table(now));
        // A table accepts dead and left entries only for members that it knows.
        for router in ["a", "b", "c", "d"] {
            one.merge(fixtures::member(router, 0, fixtures::ALIVE, 0), "peer", now);
            two.merge(fixtures::member(router, 0, fixtures::ALIVE, 0), "peer", now);
        }
        let mut shuffled = members.clone();
        shuffled.extend_from_slice(&members[..members.len() / 2]);
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        fixtures::merge_all(&mut one, members, "peer", now);
        fixtures::merge_all(&mut two, shuffled, "other", now);
        prop_assert_eq!(one.digest().total(), two.digest().total());
        for router in ["a", "b", "c", "d"] {
            prop_assert_eq!(&one.get(router).unwrap().member, &two.get(router).unwrap().member);
        }
    }

    #[test]
    fn differing_buckets_reconcile_two_tables(left in any_members(), right in any_members()) {
        let now = time::Instant::now();
        let (mut one, mut two) = (fixtures::table(now), fixtures::table(now));
        fixtures::merge_all(&mut one, left, "peer", now);
        fixtures::merge_all(&mut two, right, "peer", now);
        let wanted = one.digest().differing(two.digest().buckets());
        let (from_one, from_two) = (one.bucket_entries(wanted), two.bucket_entries(wanted));
        fixtures::merge_all(&mut one, from_two.members, "two", now);
        fixtures::merge_all(&mut two, from_one.members, "one", now);
        prop_assert_eq!(one.digest().total(), two.digest().total());
    }

    #[test]
    fn deltas_bring_a_peer_up_to_date(members in any_members(), limit in 1usize..5) {
        let now = time::Instant::now();
        let (mut one, mut two) = (fixtures::table(now), fixtures::table(now));
        for member in members {
            one.merge(member, "peer", now);
        }
        let mut seen = 0;
        for _ in 0..32 {
            let batch = one.delta(seen, "two", limit);
            prop_assert!(batch.members.len() <= limit);
            prop_assert!(batch.last_sequence >= seen);
            seen = batch.last_sequence;
            fixtures::merge_all(&mut two, batch.members, "one", now);
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
