//! Table of the member entries, leaving records and loads that one router holds.
//!
//! The table does no I/O and takes the time as an argument. Each change of an entry gets the next
//! change number, so that a peer can request the changes after the last number it has seen.
//! Digests cover live members and leaving endpoints, in buckets by name. Entries of dead and left
//! members are kept for a while so that late messages cannot revive them, but are not part of a
//! digest.

use std::cmp;
use std::collections;
use std::time;

use crate::connection::peer_wire;
use crate::process::endpoints::leaving;
use crate::process::members::{member_digest, member_load, member_rank};

/// Maximum number of members; entries of further members are ignored.
pub const MAX_MEMBERS: usize = 16_384;

/// State of one member in the table.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Entry with the highest precedence seen so far, without load.
    pub member: peer_wire::MemberWire,
    /// Decoded rank of the entry.
    pub rank: member_rank::MemberRank,
    /// Highest configuration number known to be in force at the member.
    pub config: u64,
    pub(super) sequence: u64,
    pub(super) source: Option<String>,
    pub(super) changed_at: time::Instant,
}

/// Outcome of merging a member entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry was not newer, or was invalid, or was not accepted as a new member.
    Unchanged,
    /// The entry was newer; the member now has this rank.
    Changed(member_rank::MemberRank),
    /// The entry was a wrong one about this router, whose own entry now supersedes it.
    Refuted,
}

/// Member entries, leaving records and loads that one router holds.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: member_digest::MemberKey,
    pub(super) records: slotmap::SlotMap<member_digest::MemberKey, MemberRecord>,
    pub(super) index: collections::HashMap<String, member_digest::MemberKey>,
    pub(super) leaving: leaving::LeavingSet,
    pub(super) loads: member_load::LoadTable,
    pub(super) changes: member_digest::ChangeLog,
    pub(super) digest: member_digest::BucketDigest,
    pub(super) suspects: Vec<member_digest::MemberKey>,
    last_change: Option<time::Instant>,
    epoch: u64,
}

impl MemberTable {
    /// Creates a table that holds only this router's own entry, in the joining stage.
    #[must_use]
    pub fn new(own: peer_wire::MemberWire, now: time::Instant) -> Self {
        let mut table = Self {
            own: member_digest::MemberKey::default(),
            records: slotmap::SlotMap::with_key(),
            index: collections::HashMap::new(),
            leaving: leaving::LeavingSet::default(),
            loads: member_load::LoadTable::default(),
            changes: member_digest::ChangeLog::default(),
            digest: member_digest::BucketDigest::default(),
            suspects: Vec::new(),
            last_change: None,
            epoch: 0,
        };
        let rank = member_rank::MemberRank::alive(member_rank::LifecycleStage::Joining);
        table.own = table.insert(own, rank, None, now);
        table.last_change = None;
        table
    }

    /// This router's own entry.
    #[must_use]
    pub fn own(&self) -> &peer_wire::MemberWire {
        &self.records[self.own].member
    }

    /// This router's own rank.
    #[must_use]
    pub fn own_rank(&self) -> member_rank::MemberRank {
        self.records[self.own].rank
    }

    /// Record of a router; `None` if it is unknown.
    #[must_use]
    pub fn get(&self, router: &str) -> Option<&MemberRecord> {
        let key = self.index.get(router)?;
        self.records.get(*key)
    }

    /// All records, this router's own included.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Number of members that are neither left nor dead, this router included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        let live = self.records.values().filter(|record| record.rank.is_live());
        live.count()
    }

    /// Counter that increases whenever the set of live members changes.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of the latest change.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.changes.sequence()
    }

    /// Time of the last change of an entry; `None` before the first change after startup.
    #[must_use]
    pub const fn last_changed(&self) -> Option<time::Instant> {
        self.last_change
    }

    /// Loads of all members.
    #[must_use]
    pub const fn loads(&self) -> &member_load::LoadTable {
        &self.loads
    }

    /// Merges a load that `source` sent; ignores loads of unknown members and other incarnations.
    pub fn merge_load(&mut self, load: peer_wire::LoadWire, source: &str) {
        let Some(key) = self.index.get(&load.router).copied() else {
            return;
        };
        let record = &mut self.records[key];
        if record.member.incarnation != load.incarnation {
            return;
        }
        record.config = record.config.max(load.config);
        self.loads.merge(load, source);
    }

    /// Leaving endpoints.
    #[must_use]
    pub const fn leaving(&self) -> &leaving::LeavingSet {
        &self.leaving
    }

    /// Digest of all live members and leaving endpoints.
    #[must_use]
    pub const fn digest(&self) -> &member_digest::BucketDigest {
        &self.digest
    }

    /// Merges a member entry that `source` sent.
    pub fn merge(
        &mut self,
        member: peer_wire::MemberWire,
        source: &str,
        now: time::Instant,
    ) -> MergeOutcome {
        let Ok(rank) = member_rank::MemberRank::try_from(member.rank) else {
            return MergeOutcome::Unchanged;
        };
        let Some(key) = self.index.get(&member.router).copied() else {
            // Routers would pass the entry of an unknown dead or left member around forever, as
            // each would add it again after it expired elsewhere.
            if !rank.is_live() || self.records.len() >= MAX_MEMBERS {
                return MergeOutcome::Unchanged;
            }
            self.insert(member, rank, Some(source.to_owned()), now);
            return MergeOutcome::Changed(rank);
        };
        if member_rank::compare(&member, &self.records[key].member) != cmp::Ordering::Greater {
            return MergeOutcome::Unchanged;
        }
        if key == self.own {
            self.refute(&member, rank, now);
            return MergeOutcome::Refuted;
        }
        self.replace(key, member, rank, Some(source.to_owned()), now);
        MergeOutcome::Changed(rank)
    }

    /// Replaces the own entry by one that supersedes a wrong entry about this router.
    ///
    /// A suspicion or death of the present version is refuted by the next version. Any other
    /// greater entry comes from an earlier process of the same name. Only a greater incarnation
    /// supersedes that entry and cannot be confused with it.
    fn refute(
        &mut self,
        wrong: &peer_wire::MemberWire,
        rank: member_rank::MemberRank,
        now: time::Instant,
    ) {
        let mut member = self.own().clone();
        let own_rank = self.own_rank();
        let is_liveness_only = wrong.incarnation == member.incarnation
            && wrong.version == member.version
            && rank.stage == own_rank.stage
            && rank.liveness > member_rank::PeerLiveness::Alive;
        if !is_liveness_only {
            member.incarnation = wrong.incarnation.saturating_add(1);
        }
        member.version += 1;
        self.replace(self.own, member, own_rank, None, now);
    }

    /// Moves the own entry to a later stage; returns `false` and does nothing for any other stage.
    pub fn advance(&mut self, stage: member_rank::LifecycleStage, now: time::Instant) -> bool {
        if stage <= self.own_rank().stage {
            return false;
        }
        let mut member = self.own().clone();
        member.version += 1;
        let rank = member_rank::MemberRank::alive(stage);
        self.replace(self.own, member, rank, None, now);
        true
    }

    /// Raises the liveness state of a member, for example from alive to suspect.
    ///
    /// Does nothing and returns `false` if the entry is no longer the one that was probed.
    pub fn set_liveness(
        &mut self,
        probed: &peer_wire::MemberWire,
        liveness: member_rank::PeerLiveness,
        now: time::Instant,
    ) -> bool {
        let Some(key) = self.index.get(&probed.router).copied() else {
            return false;
        };
        let record = &self.records[key];
        let is_current = record.member.incarnation == probed.incarnation
            && record.member.version == probed.version
            && record.rank.stage < member_rank::LifecycleStage::Left;
        if key == self.own || !is_current || record.rank.liveness >= liveness {
            return false;
        }
        let rank = member_rank::MemberRank {
            stage: record.rank.stage,
            liveness,
        };
        let member = record.member.clone();
        self.replace(key, member, rank, None, now);
        true
    }

    /// Adds a leaving record; returns `true` if it is new.
    pub fn mark_leaving(
        &mut self,
        leaving: &peer_wire::LeavingWire,
        now: time::Instant,
        now_micros: u64,
    ) -> bool {
        let Some(instance) = self.leaving.insert(leaving, now_micros) else {
            return false;
        };
        self.toggle_leaving(&instance);
        self.changes
            .append(member_digest::ChangeKey::Leaving(instance));
        self.last_change = Some(now);
        true
    }

    /// Records that a member has this configuration in force; ignores lower numbers.
    pub fn record_config(&mut self, router: &str, number: u64) {
        let Some(key) = self.index.get(router).copied() else {
            return;
        };
        let record = &mut self.records[key];
        record.config = record.config.max(number);
    }

    fn insert(
        &mut self,
        member: peer_wire::MemberWire,
        rank: member_rank::MemberRank,
        source: Option<String>,
        now: time::Instant,
    ) -> member_digest::MemberKey {
        let router = member.router.clone();
        let key = self.records.insert(MemberRecord {
            member: member.clone(),
            rank: member_rank::MemberRank {
                stage: member_rank::LifecycleStage::Left,
                liveness: member_rank::PeerLiveness::Dead,
            },
            config: 0,
            sequence: 0,
            source: None,
            changed_at: now,
        });
        self.index.insert(router, key);
        self.replace(key, member, rank, source, now);
        key
    }

    fn replace(
        &mut self,
        key: member_digest::MemberKey,
        mut member: peer_wire::MemberWire,
        rank: member_rank::MemberRank,
        source: Option<String>,
        now: time::Instant,
    ) {
        member.rank = rank.into();
        member.demand = Vec::new();
        let was_live = self.records[key].rank.is_live();
        self.toggle_member(key);
        self.changes.remove(self.records[key].sequence);
        let sequence = self.changes.append(member_digest::ChangeKey::Member(key));
        let record = &mut self.records[key];
        let is_same_incarnation = record.member.incarnation == member.incarnation;
        record.config = if is_same_incarnation {
            record.config
        } else {
            0
        };
        record.config = record.config.max(member.config);
        record.member = member;
        record.rank = rank;
        record.sequence = sequence;
        record.source = source;
        record.changed_at = now;
        self.toggle_member(key);
        self.suspects.retain(|suspect| *suspect != key);
        if rank.liveness == member_rank::PeerLiveness::Suspect && rank.is_live() {
            self.suspects.push(key);
        }
        self.last_change = Some(now);
        self.epoch += u64::from(was_live != rank.is_live());
    }

    fn toggle_member(&mut self, key: member_digest::MemberKey) {
        let record = &self.records[key];
        if !record.rank.is_live() {
            return;
        }
        let hash = member_digest::member_hash(&record.member);
        self.digest.toggle(&record.member.router, hash);
    }

    pub(super) fn toggle_leaving(&mut self, instance: &leaving::EndpointInstance) {
        let hash = leaving::record_hash(&instance.endpoint, instance.incarnation);
        self.digest.toggle(&instance.endpoint, hash);
    }
}
