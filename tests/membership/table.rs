//! What the member table does, fact by fact.

use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::endpoints::leaving;
use kumquatpulley::process::members::{member_expiry, member_rank, member_table};

use crate::{common, facts};

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
    let mut table = facts::table(now);
    table.merge(facts::fact("a", 1, facts::ALIVE, 1), "peer", now);
    assert!(table.judge(
        &facts::fact("a", 1, facts::ALIVE, 1),
        member_rank::PeerVerdict::Suspect,
        now
    ));
    let almost = now + facts::SECOND.mul_f64(0.9);
    assert!(table.expire_suspects(facts::SECOND, almost).is_empty());
    assert_eq!(
        table
            .expire_suspects(facts::SECOND, now + facts::SECOND)
            .len(),
        1
    );
    assert_eq!(table.get("a").unwrap().fact.rank, facts::DEAD);
}

#[test]
fn a_refuted_suspect_does_not_die() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.merge(facts::fact("a", 1, facts::SUSPECT, 1), "peer", now);
    table.merge(facts::fact("a", 1, facts::ALIVE, 2), "peer", now);
    assert!(
        table
            .expire_suspects(facts::SECOND, now + facts::SECOND * 9)
            .is_empty()
    );
    assert_eq!(table.get("a").unwrap().fact.rank, facts::ALIVE);
}

#[test]
fn a_verdict_on_an_outdated_fact_is_ignored() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.merge(facts::fact("a", 1, facts::ALIVE, 2), "peer", now);
    assert!(!table.judge(
        &facts::fact("a", 1, facts::ALIVE, 1),
        member_rank::PeerVerdict::Suspect,
        now
    ));
}

#[test]
fn suspicions_start_again_after_a_pause_of_this_router() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.merge(facts::fact("a", 1, facts::SUSPECT, 1), "peer", now);
    let woken = now + facts::SECOND * 5;
    table.restart_suspicions(woken);
    assert!(table.expire_suspects(facts::SECOND, woken).is_empty());
}

#[test]
fn a_dead_verdict_against_this_router_is_refuted_in_the_same_incarnation() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.advance(member_rank::LifeStage::Draining, now);
    let accused = table.own().clone();
    let dead = facts::rank(
        member_rank::LifeStage::Draining,
        member_rank::PeerVerdict::Dead,
    );
    let verdict = peer_wire::MemberWire {
        rank: dead,
        ..accused.clone()
    };
    let outcome = table.merge(verdict.clone(), "peer", now);
    assert_eq!(outcome, member_table::MergeOutcome::Refuted);
    assert_eq!(table.own().incarnation, accused.incarnation);
    assert_eq!(
        facts::stage_of(table.own()),
        member_rank::LifeStage::Draining
    );
    assert_eq!(
        member_rank::merge(verdict, table.own().clone()),
        *table.own()
    );
}

/// Merges a fact that an earlier process of the same name made.
fn earlier_process_raises_the_incarnation(earlier: &peer_wire::MemberWire) {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.merge(earlier.clone(), "peer", now);
    assert_eq!(table.own().incarnation, earlier.incarnation + 1);
    assert!(table.own_rank().is_live());
}

common::cases! {
    a_later_incarnation_is_overtaken:
        earlier_process_raises_the_incarnation(&facts::fact("own", 9, facts::ALIVE, 4));
    an_own_incarnation_that_has_left_is_overtaken:
        earlier_process_raises_the_incarnation(&facts::fact("own", 1, facts::LEFT, 7));
    a_later_version_that_was_not_made_here_is_overtaken:
        earlier_process_raises_the_incarnation(&facts::fact("own", 1, facts::ALIVE, 5));
}

#[test]
fn a_late_fact_does_not_bring_a_dead_member_back() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.merge(facts::fact("a", 1, facts::ALIVE, 3), "peer", now);
    table.merge(facts::fact("a", 1, facts::DEAD, 3), "peer", now);
    table.merge(facts::fact("a", 1, facts::ALIVE, 3), "late", now);
    assert_eq!(table.get("a").unwrap().fact.rank, facts::DEAD);
}

#[test]
fn gone_members_are_forgotten_and_not_learned_again() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    table.merge(facts::fact("a", 1, facts::ALIVE, 3), "peer", now);
    table.merge(facts::fact("a", 1, facts::DEAD, 3), "peer", now);
    table.merge(facts::fact("b", 1, facts::ALIVE, 3), "peer", now);
    let later = now + member_expiry::DEAD_RETENTION;
    table.forget(later, facts::WALL_MICROS);
    assert!(table.get("a").is_none());
    assert!(table.get("b").is_some());
    table.merge(facts::fact("a", 1, facts::DEAD, 3), "peer", later);
    table.merge(facts::fact("c", 1, facts::LEFT, 3), "peer", later);
    assert_eq!(table.records().count(), 2);
}

#[test]
fn a_leaving_endpoint_stays_leaving_until_its_fact_expires() {
    let now = time::Instant::now();
    let mut table = facts::table(now);
    let leaving = peer_wire::LeavingWire {
        endpoint: "runner-1".to_owned(),
        incarnation: 4,
        since: facts::WALL_MICROS,
    };
    let digest = table.digest().total();
    assert!(table.mark_leaving(&leaving, now, facts::WALL_MICROS));
    assert!(!table.mark_leaving(&leaving, now, facts::WALL_MICROS));
    table.forget(now, facts::WALL_MICROS);
    assert!(table.leaving().contains("runner-1", 4));
    assert!(!table.leaving().contains("runner-1", 5));
    assert_ne!(table.digest().total(), digest);
    let later = facts::WALL_MICROS + u64::try_from(leaving::RETENTION.as_micros()).unwrap() + 1;
    table.forget(now, later);
    assert!(table.leaving().is_empty());
    assert_eq!(table.digest().total(), digest);
    assert!(!table.mark_leaving(&leaving, now, later));
}

#[test]
fn leaving_endpoints_are_bounded_and_the_oldest_go_first() {
    let mut set = leaving::LeavingSet::default();
    for index in 0..=leaving::MAX_RECORDS {
        let fact = peer_wire::LeavingWire {
            endpoint: format!("runner-{index}"),
            incarnation: 0,
            since: facts::WALL_MICROS + index as u64,
        };
        set.insert(&fact, facts::WALL_MICROS);
    }
    set.expire(facts::WALL_MICROS);
    assert_eq!(set.len(), leaving::MAX_RECORDS);
    assert!(!set.contains("runner-0", 0));
}
