//! Total order of member entries, which decides conflicts when they are merged.
//!
//! Entries of one router are ordered by incarnation, then lifecycle stage, then version, then
//! liveness, and finally by their remaining content so that the order is total. Merging keeps the
//! greatest entry and is therefore commutative, associative and idempotent.
//!
//! Only the router itself sets its incarnation, stage and version. Within an incarnation the stage
//! never decreases, so draining and left are never undone. Its peers set the liveness of one
//! version. A router that learns that it is suspected or declared dead publishes the next version,
//! which takes precedence. Only the router can create versions, so the new one proves that it ran
//! after the suspicion. A dead router creates no version and stays dead.

use std::cmp;
use std::fmt;

use crate::connection::peer_wire;

/// Result of decoding a rank.
pub type Result<T> = std::result::Result<T, RankError>;

/// Rank byte that is not valid in this software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankError(pub u8);

impl fmt::Display for RankError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unknown member rank {}; check that all routers run compatible versions",
            self.0
        )
    }
}

impl std::error::Error for RankError {}

/// Lifecycle stage that a router reports about itself; never decreases within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LifecycleStage {
    /// Started, but has no configuration yet.
    Joining = 0,
    /// Accepts callers.
    Ready = 1,
    /// Finishes running requests and accepts no new callers.
    Draining = 2,
    /// Stopped in an orderly way.
    Left = 3,
}

/// Liveness of a router as judged by its peers, for one version of its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerLiveness {
    /// Not suspected.
    Alive = 0,
    /// No direct or indirect probe was answered.
    Suspect = 1,
    /// Did not refute the suspicion before the timeout.
    Dead = 2,
}

/// Stage and liveness; encoded as one byte with the stage in the low four bits and the liveness in
/// the high four.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberRank {
    /// Set by the router itself.
    pub stage: LifecycleStage,
    /// Set by its peers.
    pub liveness: PeerLiveness,
}

const STAGE_BITS: u8 = 4;
const STAGE_MASK: u8 = 0x0f;

impl MemberRank {
    /// Rank that a router publishes about itself.
    #[must_use]
    pub const fn alive(stage: LifecycleStage) -> Self {
        Self {
            stage,
            liveness: PeerLiveness::Alive,
        }
    }

    /// Whether the router may still be running, that is, neither left nor dead.
    #[must_use]
    pub fn is_live(self) -> bool {
        self.stage < LifecycleStage::Left && self.liveness < PeerLiveness::Dead
    }

    /// Whether the router accepts new callers and is not suspected.
    #[must_use]
    pub fn is_serving(self) -> bool {
        self.stage == LifecycleStage::Ready && self.liveness == PeerLiveness::Alive
    }

    /// State name shown to operators and in timeline events.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match (self.liveness, self.stage) {
            (_, LifecycleStage::Left) => "left",
            (PeerLiveness::Dead, _) => "dead",
            (PeerLiveness::Suspect, _) => "suspect",
            (PeerLiveness::Alive, LifecycleStage::Joining) => "joining",
            (PeerLiveness::Alive, LifecycleStage::Ready) => "ready",
            (PeerLiveness::Alive, LifecycleStage::Draining) => "draining",
        }
    }
}

impl From<MemberRank> for u8 {
    fn from(rank: MemberRank) -> Self {
        ((rank.liveness as Self) << STAGE_BITS) | rank.stage as Self
    }
}

impl TryFrom<u8> for MemberRank {
    type Error = RankError;

    fn try_from(byte: u8) -> Result<Self> {
        let stage = match byte & STAGE_MASK {
            0 => LifecycleStage::Joining,
            1 => LifecycleStage::Ready,
            2 => LifecycleStage::Draining,
            3 => LifecycleStage::Left,
            _ => return Err(RankError(byte)),
        };
        let liveness = match byte >> STAGE_BITS {
            0 => PeerLiveness::Alive,
            1 => PeerLiveness::Suspect,
            2 => PeerLiveness::Dead,
            _ => return Err(RankError(byte)),
        };
        Ok(Self { stage, liveness })
    }
}

/// Compares the precedence of two entries of the same router, ignoring their loads.
#[must_use]
pub fn compare(left: &peer_wire::MemberWire, right: &peer_wire::MemberWire) -> cmp::Ordering {
    order_key(left).cmp(&order_key(right))
}

type OrderKey<'a> = (u64, u8, u64, u8, [&'a str; 4]);

fn order_key(member: &peer_wire::MemberWire) -> OrderKey<'_> {
    let addresses = [
        member.zone.as_str(),
        member.caller_address.as_str(),
        member.peer_address.as_str(),
        member.admin_address.as_str(),
    ];
    (
        member.incarnation,
        member.rank & STAGE_MASK,
        member.version,
        member.rank >> STAGE_BITS,
        addresses,
    )
}

/// Returns the greater of two entries of the same router.
#[must_use]
pub fn merge(left: peer_wire::MemberWire, right: peer_wire::MemberWire) -> peer_wire::MemberWire {
    if compare(&left, &right) == cmp::Ordering::Less {
        return right;
    }
    left
}
