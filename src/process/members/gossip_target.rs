//! Selection of the next peer of a gossip round and of helpers for indirect probes.

use std::collections;

use crate::connection::peer_wire;
use crate::process::members::{gossip, member_rank, member_ring, member_table};

/// Interval, in rounds, at which a router outside the regular peers is contacted, so that groups
/// separated by a network partition find each other again.
const HEALING_INTERVAL_ROUNDS: u64 = 8;

/// First rounds of which every second one goes to a seed, until a seed has answered. Otherwise routers that
/// found each other before they reached a seed would stay a group of their own until a healing round.
const JOINING_ROUNDS: u64 = HEALING_INTERVAL_ROUNDS;

/// Maximum number of helpers for one indirect probe.
const HELPER_COUNT: usize = 3;

/// Inconclusive probes, with no answer from any helper, after which a member is suspected anyway.
/// A successful probe in between does not reset the count.
const MAX_INCONCLUSIVE_PROBES: u32 = 3;

/// Regular peers of a node (`fingers`) and the position in the round robin over them.
#[derive(Debug, Default)]
pub struct TargetList {
    epoch: Option<u64>,
    fingers: Vec<String>,
    next_finger: usize,
    rounds: u64,
    has_reached_seed: bool,
    inconclusive_probes: collections::HashMap<String, u32>,
}

/// Peer to contact in a round.
#[derive(Clone, Debug)]
pub(super) struct RoundTarget {
    pub(super) address: String,
    /// Entry of the member to suspect if there is no answer; `None` if it is not known which
    /// router listens at the address.
    pub(super) expected: Option<peer_wire::MemberWire>,
}

impl TargetList {
    const fn is_seed_due(&self) -> bool {
        !self.has_reached_seed && self.rounds < JOINING_ROUNDS && !self.rounds.is_multiple_of(2)
    }

    /// Counts a probe of a member that no helper answered; returns `true` and resets the count
    /// when it reaches [`MAX_INCONCLUSIVE_PROBES`].
    pub(super) fn record_inconclusive(&mut self, router: &str) -> bool {
        let misses = self
            .inconclusive_probes
            .entry(router.to_owned())
            .or_default();
        *misses += 1;
        if *misses < MAX_INCONCLUSIVE_PROBES {
            return false;
        }
        self.inconclusive_probes.remove(router);
        true
    }
}

impl gossip::GossipNode {
    /// Peer addresses of up to [`HELPER_COUNT`] members that can probe `member`.
    ///
    /// Members outside the availability zones of both this router and `member` come first.
    pub(super) fn helpers(&self, member: &peer_wire::MemberWire) -> Vec<String> {
        let state = self.state.lock();
        let can_help = |record: &&member_table::MemberRecord| {
            record.rank.is_live()
                && record.rank.liveness == member_rank::PeerLiveness::Alive
                && record.member.router != self.router
                && record.member.router != member.router
        };
        let helpers = state.table.records().filter(can_help);
        let mut helpers: Vec<(bool, u32, &str)> = helpers
            .map(|record| {
                let zone = &record.member.zone;
                let is_near = *zone == member.zone || *zone == self.zone;
                (
                    is_near,
                    fastrand::u32(..),
                    record.member.peer_address.as_str(),
                )
            })
            .collect();
        helpers.sort_unstable();
        let helpers = helpers.iter().take(HELPER_COUNT);
        helpers
            .map(|(_, _, address)| (*address).to_owned())
            .collect()
    }

    /// Next peer to contact: the fingers take turns in random order. A healing target is used
    /// instead when there are no fingers, and once every [`HEALING_INTERVAL_ROUNDS`] rounds; a seed
    /// in some of the first rounds.
    pub(super) fn next_target(&self) -> Option<RoundTarget> {
        let fingers = self.fingers();
        let mut targets = self.targets.lock();
        targets.rounds += 1;
        let is_healing = targets.rounds.is_multiple_of(HEALING_INTERVAL_ROUNDS);
        let is_seed_due = targets.is_seed_due();
        drop(targets);
        if fingers.is_empty() || is_healing {
            return self.healing_target();
        }
        if is_seed_due && let Some(seed) = fastrand::choice(self.seed_targets()) {
            return Some(seed);
        }
        let mut targets = self.targets.lock();
        if targets.next_finger >= targets.fingers.len() {
            targets.next_finger = 0;
            fastrand::shuffle(&mut targets.fingers);
        }
        let router = targets.fingers.get(targets.next_finger)?.clone();
        targets.next_finger += 1;
        drop(targets);
        let state = self.state.lock();
        state.table.get(&router).map(target_of)
    }

    /// Random target outside the regular rotation: a dead member, a seed or any live member.
    ///
    /// Members that have left are skipped.
    fn healing_target(&self) -> Option<RoundTarget> {
        let state = self.state.lock();
        let others = state.table.records();
        let others = others.filter(|record| record.member.router != self.router);
        let mut dead = Vec::new();
        let mut live = Vec::new();
        for record in others {
            match (record.rank.is_live(), record.rank.stage) {
                (true, _) => live.push(target_of(record)),
                (false, member_rank::LifecycleStage::Left) => {}
                (false, _) => dead.push(unverified_target(&record.member.peer_address)),
            }
        }
        drop(state);
        let mut kinds = [dead, live, self.seed_targets()];
        fastrand::shuffle(&mut kinds);
        let kind = kinds.iter().find(|kind| !kind.is_empty())?;
        fastrand::choice(kind).cloned()
    }

    /// All seeds but this router.
    fn seed_targets(&self) -> Vec<RoundTarget> {
        let own = self.state.lock().table.own().peer_address.clone();
        let seeds = self.seeds.addresses();
        let others = seeds.iter().filter(|address| **address != own);
        others.map(|address| unverified_target(address)).collect()
    }

    /// Records that the router at `address` answered.
    pub(super) fn record_answer(&self, address: &str) {
        if self.targets.lock().has_reached_seed {
            return;
        }
        let is_seed = self.seeds.addresses().iter().any(|seed| seed == address);
        self.targets.lock().has_reached_seed |= is_seed;
    }

    /// Regular peers of this node, recomputed when the set of live members has changed.
    pub(super) fn fingers(&self) -> Vec<String> {
        let state = self.state.lock();
        let mut targets = self.targets.lock();
        if targets.epoch != Some(state.table.epoch()) {
            let live = state.table.records().filter(|record| record.rank.is_live());
            let live: Vec<&str> = live.map(|record| record.member.router.as_str()).collect();
            targets.fingers = member_ring::fingers(&self.router, &live);
            targets.epoch = Some(state.table.epoch());
            targets.next_finger = targets.fingers.len();
        }
        targets.fingers.clone()
    }
}

pub(super) fn target_of(record: &member_table::MemberRecord) -> RoundTarget {
    RoundTarget {
        address: record.member.peer_address.clone(),
        expected: Some(record.member.clone()),
    }
}

fn unverified_target(address: &str) -> RoundTarget {
    RoundTarget {
        address: address.to_owned(),
        expected: None,
    }
}
