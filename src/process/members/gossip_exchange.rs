//! State machine of a gossip exchange: builds queries and replies and applies received ones.
//!
//! The module does no I/O and takes the time as an argument. Each router numbers its changes, and
//! an exchange sends the changes after the number that the peer has acknowledged (a delta).
//! Digests are compared as well, and differing buckets are sent whole. This repairs lost entries
//! and brings changes from before the first contact.

use std::collections;
use std::time;

use crate::connection::peer_wire;
use crate::process::members::{member_delta, member_load, member_rank, member_table};

/// Maximum number of entries in a delta; does not apply to requested buckets.
pub const MAX_DELTA_ENTRIES: usize = 64;

/// Maximum number of member entries, and of leaving records, in a message with whole buckets.
pub const MAX_BUCKET_ENTRIES: usize = 8192;

/// Approximate size of the loads in one message.
pub const LOAD_BUDGET_BYTES: usize = 256;

/// Maximum number of peers whose progress is kept; a router exchanges entries with fewer.
pub const MAX_TRACKED_PEERS: usize = 64;

/// Period without changes after which differing digests indicate a lost entry rather than one that
/// is still being delivered.
pub const QUIET_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Synchronization progress between this router and one peer, as change numbers of either side.
///
/// `received` counts changes of the peer, `acknowledged` changes of this router. `last_used`
/// orders peers for eviction.
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

/// Effects of a received message on the local state, for the caller to act on.
#[derive(Debug, Default)]
pub struct ExchangeEffect {
    /// Members with a new entry, and their rank now.
    pub changed: Vec<(String, member_rank::MemberRank)>,
    /// Whether the change should be pushed to peers immediately.
    pub is_urgent: bool,
    /// Own incarnation after a refutation; `None` when nothing was refuted.
    pub refuted: Option<u64>,
    /// Whether the peer has a newer configuration than this router.
    pub has_newer_config: bool,
    /// Whether the bucket digests should be compared with the peer now.
    pub needs_comparison: bool,
    /// Bit set of the buckets whose entries the peer requests.
    pub wanted: u64,
}

/// Purpose of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// Regular round: a delta, and loads within [`LOAD_BUDGET_BYTES`].
    Round,
    /// Push of urgent changes, without loads.
    Push,
    /// Round that also sends the bucket digests for comparison.
    Compare,
}

/// Change numbers that the peer will have seen once it has applied a query.
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

/// One point in time on the monotonic and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTime {
    /// Monotonic time.
    pub now: time::Instant,
    /// Wall-clock time in microseconds since the Unix epoch.
    pub micros: u64,
}

/// Member table of one router and its synchronization progress with its peers.
#[derive(Debug)]
pub struct ExchangeState {
    /// Member entries, leaving records and loads.
    pub table: member_table::MemberTable,
    /// Number of the configuration in force at this router.
    pub config: u64,
    progress: collections::HashMap<String, PeerProgress>,
    use_count: u64,
    is_synced: bool,
}

impl ExchangeState {
    /// Creates a state with the given table and no progress with any peer.
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

    /// Builds a query to `peer`, or to a router of unknown name.
    ///
    /// If the peer is suspected or declared dead, the query includes its entry so that the peer
    /// can refute it.
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

    /// Builds a query that sends the entries of the buckets that a peer requested.
    #[must_use]
    pub fn bucket_query(&self, wanted: u64) -> peer_wire::GossipWire {
        let mut batch = self.table.bucket_entries(wanted);
        batch.members.truncate(MAX_BUCKET_ENTRIES);
        batch.leaving.truncate(MAX_BUCKET_ENTRIES);
        self.message(batch, member_load::LoadBatch::default())
    }

    /// Whether `peer` may lack an entry or the present configuration number.
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

    /// Applies a query and builds the reply.
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
            let entries = self.table.bucket_entries(wanted);
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

    /// Applies the reply to a query; `sent` holds the change numbers of that query.
    pub fn apply_reply(
        &mut self,
        sent: SentSequences,
        reply: peer_wire::GossipWire,
        at: ExchangeTime,
    ) -> ExchangeEffect {
        // Deltas do not contain changes made before the first contact with a process; a comparison finds
        // them.
        let known = self.progress.get(&reply.from);
        let is_first = known.is_none_or(|known| known.incarnation != reply.incarnation);
        self.record_progress(sent, &reply);
        let digest = reply.digest;
        let mut effect = self.apply_message(reply, at);
        let quiet = |changed| at.now.duration_since(changed) >= QUIET_PERIOD;
        let is_quiet = self.table.last_changed().is_none_or(quiet);
        let differs = digest != self.table.digest().total();
        effect.needs_comparison = differs && (is_quiet || is_first || !self.is_synced);
        effect
    }

    /// Records that the bucket digests were compared with a peer at least once.
    pub const fn mark_synced(&mut self) {
        self.is_synced = true;
    }

    fn batch_since(&self, since: Option<u64>, peer: &str) -> member_delta::StateBatch {
        if let Some(since) = since {
            return self.table.delta(since, peer, MAX_DELTA_ENTRIES);
        }
        // A peer without progress will compare digests; for now it only needs this router's entry.
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
        // Without a delta the peer did not receive the changes up to this number, so its progress
        // stays as it is. The first contact is recorded all the same.
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
        // A different process answered under this name; its change numbers start over.
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
