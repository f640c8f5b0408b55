//! The table of member facts that one router holds: merging, changes by number, digests.
//!
//! The table does no I/O and takes time as an argument. Every change of a state fact gets the next
//! number, so that a peer can ask for what changed after the number that it has seen. Digests cover
//! live members and leaving endpoints, in buckets by name; facts about dead and left members are kept
//! for a while so that late messages cannot bring them back, and are no part of a digest.

use std::cmp;
use std::collections;
use std::time;

use crate::connection::peer_wire;
use crate::process::endpoints::leaving;
use crate::process::members::{member_digest, member_load, member_rank};

/// Members kept at most; facts about further ones are ignored.
pub const MAX_MEMBERS: usize = 16_384;

/// What the table keeps about one member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The greatest fact seen; without load.
    pub fact: peer_wire::MemberWire,
    /// Rank of the fact.
    pub rank: member_rank::MemberRank,
    /// Newest configuration number known to be in force there.
    pub config: u64,
    pub(super) sequence: u64,
    pub(super) source: Option<String>,
    pub(super) changed: time::Instant,
}

/// What merging a member fact did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The table knew as much.
    Known,
    /// The fact is newer; the member has this rank now.
    Changed(member_rank::MemberRank),
    /// The fact was about this router and wrong; its own fact was raised above it.
    Refuted,
}

/// All member facts that one router holds.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: member_digest::MemberKey,
    pub(super) records: slotmap::SlotMap<member_digest::MemberKey, MemberRecord>,
    pub(super) index: collections::HashMap<String, member_digest::MemberKey>,
    pub(super) leaving: leaving::LeavingSet,
    pub(super) loads: member_load::LoadBook,
    pub(super) changes: member_digest::ChangeLog,
    pub(super) digest: member_digest::BucketDigest,
    pub(super) suspects: Vec<member_digest::MemberKey>,
    changed: Option<time::Instant>,
    epoch: u64,
}

impl MemberTable {
    /// A table that holds this router's own fact alone.
    #[must_use]
    pub fn new(own: peer_wire::MemberWire, now: time::Instant) -> Self {
        let mut table = Self {
            own: member_digest::MemberKey::default(),
            records: slotmap::SlotMap::with_key(),
            index: collections::HashMap::new(),
            leaving: leaving::LeavingSet::default(),
            loads: member_load::LoadBook::default(),
            changes: member_digest::ChangeLog::default(),
            digest: member_digest::BucketDigest::default(),
            suspects: Vec::new(),
            changed: None,
            epoch: 0,
        };
        let rank = member_rank::MemberRank::alive(member_rank::LifeStage::Joining);
        table.own = table.insert(own, rank, None, now);
        table.changed = None;
        table
    }

    /// This router's own fact.
    #[must_use]
    pub fn own(&self) -> &peer_wire::MemberWire {
        &self.records[self.own].fact
    }

    /// This router's own rank.
    #[must_use]
    pub fn own_rank(&self) -> member_rank::MemberRank {
        self.records[self.own].rank
    }

    /// The record of a router.
    #[must_use]
    pub fn get(&self, router: &str) -> Option<&MemberRecord> {
        let key = self.index.get(router)?;
        self.records.get(*key)
    }

    /// All records, this router's own included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Number of members that may still run, this router included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let live = self.records.values().filter(|record| record.rank.is_live());
        live.count()
    }

    /// Grows with each change of the set of live members.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the newest change.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.changes.sequence()
    }

    /// When a state fact changed last; `None` when none came from elsewhere yet.
    #[must_use]
    pub const fn last_changed(&self) -> Option<time::Instant> {
        self.changed
    }

    /// The loads of all members.
    #[must_use]
    pub const fn loads(&self) -> &member_load::LoadBook {
        &self.loads
    }

    /// Takes a load of a known member that `source` sent.
    pub fn merge_load(&mut self, load: peer_wire::LoadWire, source: &str) {
        let Some(key) = self.index.get(&load.router).copied() else {
            return;
        };
        let record = &mut self.records[key];
        if record.fact.incarnation != load.incarnation {
            return;
        }
        record.config = record.config.max(load.config);
        self.loads.merge(load, source);
    }

    /// The leaving endpoints.
    #[must_use]
    pub const fn leaving(&self) -> &leaving::LeavingSet {
        &self.leaving
    }

    /// Digest of all live members and leaving endpoints.
    #[must_use]
    pub const fn digest(&self) -> &member_digest::BucketDigest {
        &self.digest
    }

    /// Merges a fact that `source` sent.
    pub fn merge(
        &mut self,
        fact: peer_wire::MemberWire,
        source: &str,
        now: time::Instant,
    ) -> MergeOutcome {
        let Ok(rank) = member_rank::MemberRank::try_from(fact.rank) else {
            return MergeOutcome::Known;
        };
        let Some(key) = self.index.get(&fact.router).copied() else {
            // A member that is gone and unknown would be kept for ever by passing it around.
            if !rank.is_live() || self.records.len() >= MAX_MEMBERS {
                return MergeOutcome::Known;
            }
            self.insert(fact, rank, Some(source.to_owned()), now);
            return MergeOutcome::Changed(rank);
        };
        if member_rank::compare(&fact, &self.records[key].fact) != cmp::Ordering::Greater {
            return MergeOutcome::Known;
        }
        if key == self.own {
            self.refute(&fact, rank, now);
            return MergeOutcome::Refuted;
        }
        self.replace(key, fact, rank, Some(source.to_owned()), now);
        MergeOutcome::Changed(rank)
    }

    /// Raises the own fact above a wrong one.
    ///
    /// A verdict against a version that this router made is answered by the next version. Anything
    /// else greater than the own fact was made by an earlier process of the same name, so that only a
    /// new incarnation is greater and cannot be taken for it.
    fn refute(
        &mut self,
        wrong: &peer_wire::MemberWire,
        rank: member_rank::MemberRank,
        now: time::Instant,
    ) {
        let mut fact = self.own().clone();
        let own_rank = self.own_rank();
        let same_life = wrong.incarnation == fact.incarnation
            && wrong.version == fact.version
            && rank.stage == own_rank.stage
            && rank.verdict > member_rank::PeerVerdict::Alive;
        if !same_life {
            fact.incarnation = wrong.incarnation.saturating_add(1);
        }
        fact.version += 1;
        self.replace(self.own, fact, own_rank, None, now);
    }

    /// Moves the own fact to a later stage; earlier stages are ignored.
    pub fn advance(&mut self, stage: member_rank::LifeStage, now: time::Instant) -> bool {
        if stage <= self.own_rank().stage {
            return false;
        }
        let mut fact = self.own().clone();
        fact.version += 1;
        let rank = member_rank::MemberRank::alive(stage);
        self.replace(self.own, fact, rank, None, now);
        true
    }

    /// Gives a verdict on a member, if its fact is still the one that was probed.
    pub fn judge(
        &mut self,
        probed: &peer_wire::MemberWire,
        verdict: member_rank::PeerVerdict,
        now: time::Instant,
    ) -> bool {
        let Some(key) = self.index.get(&probed.router).copied() else {
            return false;
        };
        let record = &self.records[key];
        let same = record.fact.incarnation == probed.incarnation
            && record.fact.version == probed.version
            && record.rank.stage < member_rank::LifeStage::Left;
        if key == self.own || !same || record.rank.verdict >= verdict {
            return false;
        }
        let rank = member_rank::MemberRank {
            stage: record.rank.stage,
            verdict,
        };
        let fact = record.fact.clone();
        self.replace(key, fact, rank, None, now);
        true
    }

    /// Adds a leaving endpoint; `true` when it is new.
    pub fn mark_leaving(
        &mut self,
        fact: &peer_wire::LeavingWire,
        now: time::Instant,
        now_micros: u64,
    ) -> bool {
        let Some(life) = self.leaving.insert(fact, now_micros) else {
            return false;
        };
        self.toggle_leaving(&life);
        self.changes.append(member_digest::ChangeKey::Leaving(life));
        self.changed = Some(now);
        true
    }

    /// Notes that a member has this configuration in force.
    pub fn note_config(&mut self, router: &str, number: u64) {
        let Some(key) = self.index.get(router).copied() else {
            return;
        };
        let record = &mut self.records[key];
        record.config = record.config.max(number);
    }

    fn insert(
        &mut self,
        fact: peer_wire::MemberWire,
        rank: member_rank::MemberRank,
        source: Option<String>,
        now: time::Instant,
    ) -> member_digest::MemberKey {
        let router = fact.router.clone();
        let key = self.records.insert(MemberRecord {
            fact: fact.clone(),
            rank: member_rank::MemberRank {
                stage: member_rank::LifeStage::Left,
                verdict: member_rank::PeerVerdict::Dead,
            },
            config: 0,
            sequence: 0,
            source: None,
            changed: now,
        });
        self.index.insert(router, key);
        self.replace(key, fact, rank, source, now);
        key
    }

    fn replace(
        &mut self,
        key: member_digest::MemberKey,
        mut fact: peer_wire::MemberWire,
        rank: member_rank::MemberRank,
        source: Option<String>,
        now: time::Instant,
    ) {
        fact.rank = rank.into();
        fact.demand = Vec::new();
        let was_live = self.records[key].rank.is_live();
        self.toggle_member(key);
        self.changes.remove(self.records[key].sequence);
        let sequence = self.changes.append(member_digest::ChangeKey::Member(key));
        let record = &mut self.records[key];
        let same_life = record.fact.incarnation == fact.incarnation;
        record.config = if same_life { record.config } else { 0 };
        record.config = record.config.max(fact.config);
        record.fact = fact;
        record.rank = rank;
        record.sequence = sequence;
        record.source = source;
        record.changed = now;
        self.toggle_member(key);
        self.suspects.retain(|suspect| *suspect != key);
        if rank.verdict == member_rank::PeerVerdict::Suspect && rank.is_live() {
            self.suspects.push(key);
        }
        self.changed = Some(now);
        self.epoch += u64::from(was_live != rank.is_live());
    }

    fn toggle_member(&mut self, key: member_digest::MemberKey) {
        let record = &self.records[key];
        if !record.rank.is_live() {
            return;
        }
        let hash = member_digest::member_hash(&record.fact);
        self.digest.toggle(&record.fact.router, hash);
    }

    pub(super) fn toggle_leaving(&mut self, life: &leaving::EndpointInstance) {
        let hash = leaving::record_hash(&life.endpoint, life.incarnation);
        self.digest.toggle(&life.endpoint, hash);
    }
}
