//! Blocks requests that crash endpoints, together with the other routers.
//!
//! A router that sees a crash tells a few others, chosen by the request's features, so that these hear
//! of all crashes of a feature. Their replies hold what they know. If a feature is suspected then, all
//! other routers are asked too, as one of them may have seen a request with it work. A router decides
//! with the evidence of those that it reaches, and with its own if it reaches none.
//!
//! A block is told to all routers. Those that miss it find it in their next query to a peer, and
//! routers that start when no other one runs find it in the store.

use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;
use xxhash_rust::xxh3;

use crate::connection::{crash_wire, peer, peer_wire};
use crate::process::gateway::{
    block_list, boot_clock, crash_exchange, crash_ledger, crash_record, feature_success, rows,
};
use crate::process::members::gossip;
use crate::process::telemetry::timeline;
use crate::process::view;
use crate::request::relay::{request_feature, request_guard};

/// Timeout for the replies of other routers; a few round trips within a region.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Time from the first suspicion to the decision, in which routers report what else was lost in the
/// same crash.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(100);

/// Attempts to tell another router of a block; it also finds the block in its next query to a peer.
const MAX_TELLS: u32 = 3;

/// Pause between two attempts to write a block to the store.
const WRITE_RETRY: time::Duration = time::Duration::from_secs(1);

/// Attempts to write a block to the store, for longer than its usual outages. Readers of the store
/// add what it lacks when it answers again.
const MAX_WRITES: u32 = 120;

/// Crashes and blocks that this router knows.
#[derive(Debug)]
pub struct RouterRequestGuard {
    gossip: sync::Arc<gossip::GossipNode>,
    link: sync::Arc<dyn peer::PeerLink>,
    store: sync::Arc<dyn rows::RowStore>,
    codec: sync::Arc<dyn rows::RowCodec>,
    counters: sync::Arc<dyn view::CounterSink>,
    ledger: parking_lot::Mutex<crash_ledger::CrashLedger>,
    blocks: parking_lot::Mutex<block_list::BlockList>,
}

impl RouterRequestGuard {
    /// Creates a guard that knows no crash and no block.
    #[must_use]
    pub fn new(
        gossip: sync::Arc<gossip::GossipNode>,
        link: sync::Arc<dyn peer::PeerLink>,
        store: sync::Arc<dyn rows::RowStore>,
        codec: sync::Arc<dyn rows::RowCodec>,
        counters: sync::Arc<dyn view::CounterSink>,
    ) -> Self {
        Self {
            gossip,
            link,
            store,
            codec,
            counters,
            ledger: parking_lot::Mutex::default(),
            blocks: parking_lot::Mutex::default(),
        }
    }

    /// Takes the crash that another router reports; returns what this one knows of the
    /// request's features.
    #[must_use]
    pub fn answer_crash(
        &self,
        wire: &crash_wire::RequestCrashWire,
    ) -> crash_wire::CrashEvidenceWire {
        let now = boot_clock::BootInstant::now();
        let crash = crash_exchange::received_crash(wire, now);
        let mut ledger = self.ledger.lock();
        let evidence = ledger.evidence_about(&crash.features, now);
        ledger.record_crash(crash, now);
        drop(ledger);
        crash_exchange::sent_evidence(&evidence, now)
    }

    /// Takes blocks that another router told.
    pub fn merge_blocks(&self, blocks: Vec<crash_wire::BlockedRequestWire>, source: &str) {
        let entries = blocks.into_iter().map(block_list::BlockedRequest::from);
        self.merge_entries(entries, source);
    }

    /// Takes blocks that the store holds.
    pub fn merge_rows<'a>(&self, values: impl Iterator<Item = &'a [u8]>) {
        let entries = values.filter_map(|value| self.codec.blocked_request(value));
        self.merge_entries(entries, "store");
    }

    /// Writes the blocks that `stored`, all rows of the store, do not hold.
    pub async fn add_missing_rows(&self, stored: &[rows::RowChange]) {
        for entry in self.missing_from(stored) {
            if let Err(error) = self.put(&entry).await {
                let cause = error.to_string();
                log::warn!(cause = cause.as_str(); "cannot write a blocked request; the next full read retries");
            }
        }
    }

    fn missing_from(&self, stored: &[rows::RowChange]) -> Vec<block_list::BlockedRequest> {
        let blocks = self.blocks.lock();
        let is_missing = |entry: &&block_list::BlockedRequest| {
            let row = stored.iter().find(|row| row.key == entry.key());
            let value = row.and_then(|row| row.value.as_deref());
            value != Some(self.codec.encode_blocked_request(entry).as_slice())
        };
        blocks
            .entries()
            .iter()
            .filter(is_missing)
            .cloned()
            .collect()
    }

    /// Digest of all blocks.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.blocks.lock().digest()
    }

    /// All blocks, for a peer.
    #[must_use]
    pub fn blocks_for_peer(&self) -> Vec<crash_wire::BlockedRequestWire> {
        let blocks = self.blocks.lock();
        let entries = blocks.entries().iter().cloned();
        entries.map(crash_wire::BlockedRequestWire::from).collect()
    }

    fn merge_entries(
        &self,
        entries: impl Iterator<Item = block_list::BlockedRequest>,
        source: &str,
    ) {
        let now_ms = wall_millis();
        for entry in entries {
            let features = request_feature::join(&entry.features);
            let until_ms = entry.until_ms;
            if self.blocks.lock().merge(entry, now_ms) {
                let left_ms = until_ms.saturating_sub(now_ms);
                log::info!(features = features.as_str(), left_ms, source; "request blocked elsewhere");
            }
        }
    }

    /// Tells routers of a crash and adds what they know to the ledger; returns how many replied.
    ///
    /// Asks the collectors of the request's features. If a feature is suspected then and the request is not
    /// blocked yet, it asks all routers once the others had time to report what they lost in the crash.
    async fn gather_evidence(&self, crash: &crash_record::CrashRecord) -> usize {
        let peers = self.peers();
        let collectors = crash_exchange::collectors(&peers, &crash.features);
        let count = self.ask_peers(crash, &collectors).await;
        if !self.is_undecided(crash) {
            return count;
        }
        task::sleep(SETTLE_TIME).await;
        count.max(self.ask_peers(crash, &peers).await)
    }

    /// Whether a feature of a lost request is suspected and the request is not blocked yet.
    fn is_undecided(&self, crash: &crash_record::CrashRecord) -> bool {
        let blocks = self.blocks.lock();
        let block_left = blocks.block_left(&crash.features, wall_millis());
        drop(blocks);
        let ledger = self.ledger.lock();
        let suspects = ledger.suspects_until(&crash.features, crash.crashed_at);
        block_left.is_none() && !suspects.is_empty()
    }

    /// Tells `peers` of a crash and adds what they know to the ledger; returns how many replied.
    async fn ask_peers(&self, crash: &crash_record::CrashRecord, peers: &[String]) -> usize {
        let asked_at = boot_clock::BootInstant::now();
        let wire = crash_exchange::sent_crash(crash, asked_at);
        let asks = peers.iter().map(|address| {
            let query = peer_wire::QueryBody::RequestCrash(wire.clone());
            self.link.ask(address, query, ASK_TIMEOUT)
        });
        let replies = future::join_all(asks).await;
        let mut ledger = self.ledger.lock();
        let mut count = 0;
        for reply in replies {
            let Ok(peer_wire::ReplyBody::CrashEvidence(evidence)) = reply else {
                continue;
            };
            count += 1;
            let evidence = crash_exchange::received_evidence(&evidence, asked_at);
            for crash in evidence.crashes {
                ledger.record_crash(crash, asked_at);
            }
            for success in evidence.successes {
                ledger.record_success(success);
            }
        }
        count
    }

    /// Blocks what the evidence shows about the features of a request that crashed its endpoint.
    fn block_suspects(
        &self,
        request: &str,
        crash: &crash_record::CrashRecord,
    ) -> Vec<block_list::BlockedRequest> {
        let now_ms = wall_millis();
        let features = crash.features.as_slice();
        let ledger = self.ledger.lock();
        let mut suspects = ledger.suspects_until(features, crash.crashed_at);
        let crashes = ledger.crashes_of(features).len();
        drop(ledger);
        let mut blocks = self.blocks.lock();
        suspects.extend(blocks.expired_matches(features, now_ms));
        let mut blocked = Vec::new();
        for suspect in suspects {
            if blocks.block_left(&suspect, now_ms).is_some() {
                continue;
            }
            let entry = blocks.block(suspect, now_ms);
            log::warn!(
                request,
                features = request_feature::join(&entry.features).as_str(),
                crashes,
                count = entry.count,
                left_ms = entry.until_ms.saturating_sub(now_ms);
                "request blocked; endpoints crash on it"
            );
            self.counters.count("relay.request_blocked");
            blocked.push(entry);
        }
        blocked
    }

    async fn announce(&self, blocked: &[block_list::BlockedRequest]) {
        let peers = self.peers();
        let tells = peers.iter().map(|address| self.tell(address, blocked));
        future::join_all(tells).await;
    }

    async fn tell(&self, address: &str, blocked: &[block_list::BlockedRequest]) {
        let wires: Vec<crash_wire::BlockedRequestWire> =
            blocked.iter().cloned().map(Into::into).collect();
        for _tell in 0..MAX_TELLS {
            let query = peer_wire::QueryBody::BlockedRequests(wires.clone());
            if self.link.ask(address, query, ASK_TIMEOUT).await.is_ok() {
                return;
            }
        }
        log::info!(peer = address; "peer not told of a blocked request; it learns it in its next query");
    }

    /// Writes a block to the store; gives up when the store stays away for long.
    async fn write(&self, entry: &block_list::BlockedRequest) {
        for _write in 0..MAX_WRITES {
            match self.put(entry).await {
                Ok(()) => return,
                Err(error) => {
                    let cause = error.to_string();
                    log::warn!(cause = cause.as_str(); "cannot write a blocked request; retrying");
                }
            }
            task::sleep(WRITE_RETRY.mul_f64(0.5 + fastrand::f64())).await;
        }
        let key = entry.key();
        log::error!(key = key.as_str(); "blocked request not written; a restart of all routers forgets it");
    }

    async fn put(&self, entry: &block_list::BlockedRequest) -> rows::Result<()> {
        let (key, value) = (entry.key(), self.codec.encode_blocked_request(entry));
        let topic = rows::RowTopic::BlockedRequests;
        self.store.put(topic, &key, &value).await
    }

    /// Peer addresses of the other routers that accept callers.
    fn peers(&self) -> Vec<String> {
        let own = view::MemberView::home(self.gossip.as_ref()).router;
        let others = self
            .gossip
            .ready_members_matching(|member| member.router != own);
        others
            .into_iter()
            .map(|member| member.peer_address)
            .collect()
    }
}

impl request_guard::RequestGuard for RouterRequestGuard {
    fn block_left(&self, features: &[request_feature::RequestFeature]) -> Option<time::Duration> {
        self.blocks.lock().block_left(features, wall_millis())
    }

    fn record_success(&self, features: &[request_feature::RequestFeature]) {
        let at = boot_clock::BootInstant::now();
        let mut ledger = self.ledger.lock();
        for feature in features {
            let feature = *feature;
            ledger.record_success(feature_success::FeatureSuccess { feature, at });
        }
    }

    fn report_crash(
        self: sync::Arc<Self>,
        crash: request_guard::RequestCrash<'_>,
    ) -> future::BoxFuture<'_, ()> {
        async move {
            let guard = self;
            let reported_at = boot_clock::BootInstant::now();
            let crashed_at = reported_at.before(crash.lost_for);
            let record = crash_record::CrashRecord {
                request: xxh3::xxh3_64(crash.request.as_bytes()),
                endpoint: xxh3::xxh3_64(crash.endpoint.as_bytes()),
                features: crash.features.to_vec(),
                sent_at: crashed_at.before(crash.running),
                crashed_at,
            };
            guard.counters.count("relay.request_crash");
            guard
                .ledger
                .lock()
                .record_crash(record.clone(), reported_at);
            let replies = guard.gather_evidence(&record).await;
            let elapsed = boot_clock::BootInstant::now().since(reported_at);
            log::info!(
                request = crash.request,
                endpoint = crash.endpoint,
                features = request_feature::join(crash.features).as_str(),
                replies,
                elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
                "endpoint crashed on a request"
            );
            let blocked = guard.block_suspects(crash.request, &record);
            if blocked.is_empty() {
                return;
            }
            task::spawn(async move {
                let writes = blocked.iter().map(|entry| guard.write(entry));
                future::join(guard.announce(&blocked), future::join_all(writes)).await;
            });
        }
        .boxed()
    }
}

fn wall_millis() -> u64 {
    timeline::wall_micros() / 1_000
}
