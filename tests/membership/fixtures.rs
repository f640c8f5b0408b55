//! Member entries and tables used as test fixtures.

use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::members::{member_rank, member_table};

pub const SECOND: time::Duration = time::Duration::from_secs(1);
pub const WALL_MICROS: u64 = 1_900_000_000_000_000;

pub fn member(router: &str, incarnation: u64, rank: u8, version: u64) -> peer_wire::MemberWire {
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

pub fn rank(stage: member_rank::LifecycleStage, liveness: member_rank::PeerLiveness) -> u8 {
    member_rank::MemberRank { stage, liveness }.into()
}

// Encoded ranks: the stage is ready, or left in the last one.
pub const ALIVE: u8 = 0x01;
pub const SUSPECT: u8 = 0x11;
pub const DEAD: u8 = 0x21;
pub const LEFT: u8 = 0x03;

pub fn table(now: time::Instant) -> member_table::MemberTable {
    member_table::MemberTable::new(member("own", 1, ALIVE, 1), now)
}

pub fn stage_of(member: &peer_wire::MemberWire) -> member_rank::LifecycleStage {
    member_rank::MemberRank::try_from(member.rank)
        .expect("unknown rank")
        .stage
}

pub fn merge_all(
    table: &mut member_table::MemberTable,
    members: Vec<peer_wire::MemberWire>,
    source: &str,
    now: time::Instant,
) {
    for member in members {
        table.merge(member, source, now);
    }
}
