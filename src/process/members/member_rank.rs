//! Order of member facts.
//!
//! Facts of one router are ordered by incarnation, then life stage, then version, then verdict, and
//! last by their remaining content so that the order is total. Merging keeps the greatest fact, so it
//! is commutative, associative and idempotent.
//!
//! Incarnation, stage and version are made by the router itself alone, and within an incarnation the
//! stage only ever grows: draining and left never go back. The verdict is made by its peers about one
//! version. A router that learns of a verdict against its own present version answers with the next
//! version, which is greater than the verdict; as only the router makes versions, this shows that it
//! ran after the verdict. A dead router makes no version, so its verdict stays.

use std::cmp;
use std::fmt;

use crate::connection::peer_wire;

/// Outcome of reading a rank.
pub type Result<T> = std::result::Result<T, RankError>;

/// A rank byte that no router of this version sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankError(pub u8);

impl fmt::Display for RankError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "member rank {} is unknown; check that versions match",
            self.0
        )
    }
}

impl std::error::Error for RankError {}

/// Life stage that a router tells of itself; only grows within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LifecycleStage {
    /// Started, without a configuration yet.
    Joining = 0,
    /// Takes callers.
    Ready = 1,
    /// Finishes what runs and takes no new callers.
    Draining = 2,
    /// Has stopped.
    Left = 3,
}

/// What peers think of one version of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerLiveness {
    /// Nothing speaks against it.
    Alive = 0,
    /// Neither direct nor indirect probes were answered.
    Suspect = 1,
    /// The suspicion was not refuted in time.
    Dead = 2,
}

/// Stage and verdict, one byte on the wire: stage in the low four bits, verdict in the high four.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberRank {
    /// Told by the router itself.
    pub stage: LifecycleStage,
    /// Told by its peers.
    pub liveness: PeerLiveness,
}

const STAGE_BITS: u8 = 4;
const STAGE_MASK: u8 = 0x0f;

impl MemberRank {
    /// The rank that a router gives itself.
    #[must_use]
    pub const fn alive(stage: LifecycleStage) -> Self {
        Self {
            stage,
            liveness: PeerLiveness::Alive,
        }
    }

    /// Whether the router may still run.
    #[must_use]
    pub fn is_live(self) -> bool {
        self.stage < LifecycleStage::Left && self.liveness < PeerLiveness::Dead
    }

    /// Whether the router takes new callers and nothing speaks against it.
    #[must_use]
    pub fn is_serving(self) -> bool {
        self.stage == LifecycleStage::Ready && self.liveness == PeerLiveness::Alive
    }

    /// Name for operators and events.
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

/// Orders two facts about the same router; load is no part of it.
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

/// The greater of two facts about the same router.
#[must_use]
pub fn merge(left: peer_wire::MemberWire, right: peer_wire::MemberWire) -> peer_wire::MemberWire {
    if compare(&left, &right) == cmp::Ordering::Less {
        return right;
    }
    left
}
