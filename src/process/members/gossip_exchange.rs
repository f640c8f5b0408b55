//! What one exchange of facts says and does: queries, answers and what they change.
//!
//! The module does no I/O and takes time as an argument.

use std::collections;
use std::time;

use crate::connection::peer_wire;
use crate::process::members::{member_delta, member_load, member_rank, member_table};

/// State facts in one message at most, unless whole buckets were asked for.
pub const MAX_DELTA_ENTRIES: usize = 64;

/// State facts of whole buckets in one message at most.
pub const MAX_BUCKET_ENTRIES: usize = 8192;

/// Bytes of loads in one message, about.
pub const LOAD_BUDGET_BYTES: usize = 256;

/// Peers whose progress is kept; more than a router exchanges facts with.
pub const MAX_TRACKED_PEERS: usize = 64;

/// Time without changes after which differing digests mean a lost fact, not one on its way.
pub const QUIET_PERIOD: time::Duration = time::Duration::from_secs(2);

/// How far a peer and this router have told each other their changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerProgress {
    incarnation: u64,
    received: Option<u64>,
    acknowledged: Option<u64>,
    load_received: u64,
    load_acknowledged: u64,
    config: u64,
    last_used: u64,
}

/// What an exchange changed.
#[derive(Debug, Default)]
pub struct ExchangeEffect {
    /// Members whose rank changed.
    pub changed: Vec<(String, member_rank::MemberRank)>,
    /// Whether others should hear of it at once.
    pub is_urgent: bool,
    /// Own incarnation after the own fact had to be raised.
    pub refuted: Option<u64>,
    /// Whether the peer has a newer configuration.
    pub has_newer_config: bool,
    /// Whether the buckets should be compared with the peer now.
    pub needs_comparison: bool,
    /// Buckets whose facts the peer wants.
    pub wanted: u64,
}

/// What an exchange is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// A regular round: changes, and loads within their budget.
    Round,
    /// An urgent change, without loads.
    Push,
    /// A round that compares buckets.
    Compare,
}

/// How far a query brings the peer that takes it in.
#[derive(Clone, Copy, Debug)]
pub struct SentSequences {
    last_sequence: u64,
    last_load_sequence: u64,
    is_delta: bool,
    has_loads: bool,
}

impl From<&peer_wire::GossipWire> for SentSequences {
    fn from(query: &peer_wire::GossipWire) -> Self {
        Self {
            last_sequence: query.upto,
            last_load_sequence: query.load_upto,
            is_delta: query.have.is_some(),
            has_loads: query.load_have.is_some(),
        }
    }
}

/// When something happened, on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTime {
    /// Monotonic time.
    pub now: time::Instant,
    /// Microseconds since the Unix epoch.
    pub micros: u64,
}

/// The facts of one router and its progress with its peers.
#[derive(Debug)]
pub struct ExchangeState {
    /// The facts.
    pub table: member_table::MemberTable,
    /// Number of the configuration in force.
    pub config: u64,
    progress: collections::HashMap<String, PeerProgress>,
    use_count: u64,
    is_synced: bool,
}

impl ExchangeState {
    /// State with the given table, without progress.
    #[must_use]
    pub fn new(table: member_table::MemberTable) -> Self {
        Self {
            table,
            config: 0,
            progress: collections::HashMap::new(),
            use_count: 0,
            is_synced: false,
        }
    }

    /// A query to `peer`, or to an address whose router is not known.
    #[must_use]
    pub fn query(&self, peer: Option<&str>, kind: ExchangeKind) -> peer_wire::GossipWire {
        let progress = peer.and_then(|peer| self.progress.get(peer).copied());
        let progress = progress.unwrap_or_default();
        let mut batch = self.batch_since(progress.acknowledged, peer.unwrap_or_default());
        let suspected = peer.and_then(|peer| self.table.get(peer));
        let suspected =
            suspected.filter(|record| record.rank.liveness > member_rank::PeerLiveness::Alive);
        if let Some(record) = suspected {
            batch.members.push(record.member.clone());
        }
        let peer = peer.unwrap_or_default();
        let load_acknowledged = (kind != ExchangeKind::Push).then_some(progress.load_acknowledged);
        let loads = self.loads_since(load_acknowledged, peer);
        let mut query = self.message(batch, loads);
        query.have = progress.received;
        query.load_have = load_acknowledged.map(|_| progress.load_received);
        if kind == ExchangeKind::Compare {
            query.buckets = self.table.digest().buckets().to_vec();
        }
        query
    }

    /// A query that brings the facts of the buckets that a peer wants.
    #[must_use]
    pub fn bucket_query(&self, wanted: u64) -> peer_wire::GossipWire {
        let mut batch = self.table.entries_in_buckets(wanted);
        batch.members.truncate(MAX_BUCKET_ENTRIES);
        batch.leaving.truncate(MAX_BUCKET_ENTRIES);
        self.message(batch, member_load::LoadBatch::default())
    }

    /// Whether `peer` lacks a state fact or the configuration number.
    #[must_use]
    pub fn is_behind(&self, peer: &str) -> bool {
        let Some(progress) = self.progress.get(peer) else {
            return true;
        };
        if progress.config < self.config {
            return true;
        }
        let Some(acknowledged) = progress.acknowledged else {
            return true;
        };
        let batch = self.table.delta(acknowledged, peer, 1);
        !batch.members.is_empty() || !batch.leaving.is_empty()
    }

    /// Takes a query in and answers it.
    pub fn answer(
        &mut self,
        query: peer_wire::GossipWire,
        at: ExchangeTime,
    ) -> (peer_wire::GossipWire, ExchangeEffect) {
        let (received, load_received) = (query.have, query.load_have);
        let from = query.from.clone();
        let differing = match query.buckets.as_slice() {
            [] => 0,
            theirs => self.table.digest().differing(theirs),
        };
        let wanted = query.wanted | differing;
        let effect = self.apply_message(query, at);
        let mut batch = self.batch_since(received, &from);
        if wanted != 0 {
            let entries = self.table.entries_in_buckets(wanted);
            batch.members = entries.members;
            batch.leaving = entries.leaving;
            batch.members.truncate(MAX_BUCKET_ENTRIES);
            batch.leaving.truncate(MAX_BUCKET_ENTRIES);
        }
        let loads = self.loads_since(load_received, &from);
        let mut reply = self.message(batch, loads);
        reply.wanted = differing;
        (reply, effect)
    }

    /// Takes in the reply to a query that brought the peer up to these numbers.
    pub fn apply_reply(
        &mut self,
        sent: SentSequences,
        reply: peer_wire::GossipWire,
        at: ExchangeTime,
    ) -> ExchangeEffect {
        // Changes from before the first contact are in no delta; comparing buckets brings them.
        let is_first = !self.progress.contains_key(&reply.from);
        self.record_progress(sent, &reply);
        let digest = reply.digest;
        let mut effect = self.apply_message(reply, at);
        let quiet = |changed| at.now.duration_since(changed) >= QUIET_PERIOD;
        let is_quiet = self.table.last_changed().is_none_or(quiet);
        let differs = digest != self.table.digest().total();
        effect.needs_comparison = differs && (is_quiet || is_first || !self.is_synced);
        effect
    }

    /// Notes that the buckets were compared with a peer.
    pub const fn mark_synced(&mut self) {
        self.is_synced = true;
    }

    fn batch_since(&self, since: Option<u64>, peer: &str) -> member_delta::StateBatch {
        if let Some(since) = since {
            return self.table.delta(since, peer, MAX_DELTA_ENTRIES);
        }
        // A peer without progress compares digests; it only has to learn whom it talks to.
        member_delta::StateBatch {
            members: vec![self.table.own().clone()],
            leaving: Vec::new(),
            last_sequence: self.table.sequence(),
        }
    }

    fn loads_since(&self, since: Option<u64>, peer: &str) -> member_load::LoadBatch {
        let batch = |since| self.table.loads().batch(since, peer, LOAD_BUDGET_BYTES);
        since.map(batch).unwrap_or_default()
    }

    fn message(
        &self,
        batch: member_delta::StateBatch,
        loads: member_load::LoadBatch,
    ) -> peer_wire::GossipWire {
        let own = self.table.own();
        peer_wire::GossipWire {
            from: own.router.clone(),
            incarnation: own.incarnation,
            digest: self.table.digest().total(),
            version: self.config,
            have: None,
            upto: batch.last_sequence,
            buckets: Vec::new(),
            wanted: 0,
            members: batch.members,
            leaving: batch.leaving,
            loads: loads.loads,
            load_have: None,
            load_upto: loads.last_sequence,
        }
    }

    fn record_progress(&mut self, sent: SentSequences, reply: &peer_wire::GossipWire) {
        // Without a delta the peer got none of the changes up to the number; only first contact counts.
        if !sent.is_delta && self.progress.contains_key(&reply.from) {
            return;
        }
        self.use_count += 1;
        if self.progress.len() >= MAX_TRACKED_PEERS && !self.progress.contains_key(&reply.from) {
            let oldest = self.progress.iter().min_by_key(|(_, kept)| kept.last_used);
            let oldest = oldest.map(|(peer, _)| peer.clone());
            oldest.and_then(|peer| self.progress.remove(&peer));
        }
        let previous = self.progress.get(&reply.from).copied().unwrap_or_default();
        let loads = if sent.has_loads {
            (reply.load_upto, sent.last_load_sequence)
        } else {
            (previous.load_received, previous.load_acknowledged)
        };
        let progress = PeerProgress {
            incarnation: reply.incarnation,
            received: Some(reply.upto),
            acknowledged: Some(sent.last_sequence),
            load_received: loads.0,
            load_acknowledged: loads.1,
            config: reply.version,
            last_used: self.use_count,
        };
        let previous = self.progress.insert(reply.from.clone(), progress);
        // Another process answered under the name, so that its numbers start again.
        if previous.is_some_and(|previous| previous.incarnation != reply.incarnation) {
            self.progress.remove(&reply.from);
        }
    }

    fn apply_message(
        &mut self,
        message: peer_wire::GossipWire,
        at: ExchangeTime,
    ) -> ExchangeEffect {
        let mut effect = ExchangeEffect {
            wanted: message.wanted,
            has_newer_config: message.version > self.config,
            ..ExchangeEffect::default()
        };
        for member in message.members {
            let router = member.router.clone();
            match self.table.merge(member, &message.from, at.now) {
                member_table::MergeOutcome::Unchanged => {}
                member_table::MergeOutcome::Refuted => {
                    effect.refuted = Some(self.table.own().incarnation);
                    effect.is_urgent = true;
                }
                member_table::MergeOutcome::Changed(rank) => {
                    effect.is_urgent |= !rank.is_serving();
                    effect.changed.push((router, rank));
                }
            }
        }
        for leaving in &message.leaving {
            effect.is_urgent |= self.table.mark_leaving(leaving, at.now, at.micros);
        }
        for load in message.loads {
            self.table.merge_load(load, &message.from);
        }
        self.table.record_config(&message.from, message.version);
        effect
    }
}
