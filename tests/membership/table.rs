//! Tests of the member table, with explicit entries and times.

use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::endpoints::leaving;
use kumquatpulley::process::members::{member_expiry, member_rank, member_table};

use crate::{common, fixtures};

#[test]
fn a_rank_round_trips_and_unknown_bytes_are_rejected() {
    let draining = member_rank::MemberRank {
        stage: member_rank::LifecycleStage::Draining,
        liveness: member_rank::PeerLiveness::Suspect,
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
fn a_suspect_is_declared_dead_after_the_suspicion_timeout_and_no_sooner() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(fixtures::member("a", 1, fixtures::ALIVE, 1), "peer", now);
    assert!(table.set_liveness(
        &fixtures::member("a", 1, fixtures::ALIVE, 1),
        member_rank::PeerLiveness::Suspect,
        now
    ));
    let almost = now + fixtures::SECOND.mul_f64(0.9);
    assert!(table.expire_suspects(fixtures::SECOND, almost).is_empty());
    assert_eq!(
        table
            .expire_suspects(fixtures::SECOND, now + fixtures::SECOND)
            .len(),
        1
    );
    assert_eq!(table.get("a").unwrap().member.rank, fixtures::DEAD);
}

#[test]
fn a_refuted_suspect_is_not_declared_dead() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(fixtures::member("a", 1, fixtures::SUSPECT, 1), "peer", now);
    table.merge(fixtures::member("a", 1, fixtures::ALIVE, 2), "peer", now);
    assert!(
        table
            .expire_suspects(fixtures::SECOND, now + fixtures::SECOND * 9)
            .is_empty()
    );
    assert_eq!(table.get("a").unwrap().member.rank, fixtures::ALIVE);
}

#[test]
fn a_suspicion_of_an_outdated_version_is_ignored() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(fixtures::member("a", 1, fixtures::ALIVE, 2), "peer", now);
    assert!(!table.set_liveness(
        &fixtures::member("a", 1, fixtures::ALIVE, 1),
        member_rank::PeerLiveness::Suspect,
        now
    ));
}

#[test]
fn suspicion_timers_restart_after_a_pause_of_this_router() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(fixtures::member("a", 1, fixtures::SUSPECT, 1), "peer", now);
    let woken = now + fixtures::SECOND * 5;
    table.reset_suspicion_timers(woken);
    assert!(table.expire_suspects(fixtures::SECOND, woken).is_empty());
}

#[test]
fn a_dead_claim_about_this_router_is_refuted_in_the_same_incarnation() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.advance(member_rank::LifecycleStage::Draining, now);
    let accused = table.own().clone();
    let dead = fixtures::rank(
        member_rank::LifecycleStage::Draining,
        member_rank::PeerLiveness::Dead,
    );
    let verdict = peer_wire::MemberWire {
        rank: dead,
        ..accused.clone()
    };
    let outcome = table.merge(verdict.clone(), "peer", now);
    assert_eq!(outcome, member_table::MergeOutcome::Refuted);
    assert_eq!(table.own().incarnation, accused.incarnation);
    assert_eq!(
        fixtures::stage_of(table.own()),
        member_rank::LifecycleStage::Draining
    );
    assert_eq!(
        member_rank::merge(verdict, table.own().clone()),
        *table.own()
    );
}

/// Merges an entry of an earlier process of the same name; this router must supersede it with a
/// greater incarnation.
fn earlier_process_raises_the_incarnation(earlier: &peer_wire::MemberWire) {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(earlier.clone(), "peer", now);
    assert_eq!(table.own().incarnation, earlier.incarnation + 1);
    assert!(table.own_rank().is_live());
}

common::cases! {
    a_later_incarnation_is_superseded:
        earlier_process_raises_the_incarnation(&fixtures::member("own", 9, fixtures::ALIVE, 4));
    an_own_incarnation_that_has_left_is_superseded:
        earlier_process_raises_the_incarnation(&fixtures::member("own", 1, fixtures::LEFT, 7));
    a_later_version_from_an_earlier_process_is_superseded:
        earlier_process_raises_the_incarnation(&fixtures::member("own", 1, fixtures::ALIVE, 5));
}

#[test]
fn a_late_message_does_not_revive_a_dead_member() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(fixtures::member("a", 1, fixtures::ALIVE, 3), "peer", now);
    table.merge(fixtures::member("a", 1, fixtures::DEAD, 3), "peer", now);
    table.merge(fixtures::member("a", 1, fixtures::ALIVE, 3), "late", now);
    assert_eq!(table.get("a").unwrap().member.rank, fixtures::DEAD);
}

#[test]
fn expired_members_are_removed_and_not_added_again() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    table.merge(fixtures::member("a", 1, fixtures::ALIVE, 3), "peer", now);
    table.merge(fixtures::member("a", 1, fixtures::DEAD, 3), "peer", now);
    table.merge(fixtures::member("b", 1, fixtures::ALIVE, 3), "peer", now);
    let later = now + member_expiry::DEAD_RETENTION;
    table.remove_expired(later, fixtures::WALL_MICROS);
    assert!(table.get("a").is_none());
    assert!(table.get("b").is_some());
    table.merge(fixtures::member("a", 1, fixtures::DEAD, 3), "peer", later);
    table.merge(fixtures::member("c", 1, fixtures::LEFT, 3), "peer", later);
    assert_eq!(table.records().count(), 2);
}

#[test]
fn a_leaving_endpoint_stays_leaving_until_its_record_expires() {
    let now = time::Instant::now();
    let mut table = fixtures::table(now);
    let leaving = peer_wire::LeavingWire {
        endpoint: "runner-1".to_owned(),
        incarnation: 4,
        since: fixtures::WALL_MICROS,
    };
    let digest = table.digest().total();
    assert!(table.mark_leaving(&leaving, now, fixtures::WALL_MICROS));
    assert!(!table.mark_leaving(&leaving, now, fixtures::WALL_MICROS));
    table.remove_expired(now, fixtures::WALL_MICROS);
    assert!(table.leaving().contains("runner-1", 4));
    assert!(!table.leaving().contains("runner-1", 5));
    assert_ne!(table.digest().total(), digest);
    let later = fixtures::WALL_MICROS + u64::try_from(leaving::RETENTION.as_micros()).unwrap() + 1;
    table.remove_expired(now, later);
    assert!(table.leaving().is_empty());
    assert_eq!(table.digest().total(), digest);
    assert!(!table.mark_leaving(&leaving, now, later));
}

#[test]
fn leaving_endpoints_are_bounded_and_the_oldest_go_first() {
    let mut set = leaving::LeavingSet::default();
    for index in 0..=leaving::MAX_RECORDS {
        let leaving = peer_wire::LeavingWire {
            endpoint: format!("runner-{index}"),
            incarnation: 0,
            since: fixtures::WALL_MICROS + index as u64,
        };
        set.insert(&leaving, fixtures::WALL_MICROS);
    }
    set.expire(fixtures::WALL_MICROS);
    assert_eq!(set.len(), leaving::MAX_RECORDS);
    assert!(!set.contains("runner-0", 0));
}
