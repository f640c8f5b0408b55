//! The gossip node of a router: its facts, its answers to peers, and its view of all routers.
//!
//! The rounds that carry facts and find dead routers are in `gossip_round`.

use std::fmt;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::channel;

use crate::connection::{peer, peer_wire};
use crate::process::members::{
    gossip_exchange, gossip_load, gossip_target, member_rank, member_table,
};
use crate::process::pause;
use crate::process::telemetry::timeline;

/// Times of the rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Mean time between rounds.
    pub round_interval: time::Duration,
    /// Time for a peer to answer an exchange or a probe.
    pub probe_timeout: time::Duration,
    /// Time for helpers to probe a peer and answer.
    pub indirect_probe_timeout: time::Duration,
    /// Time from suspicion to the verdict that a member is dead.
    pub suspicion_timeout: time::Duration,
    /// Least time between two loads that this router tells.
    pub load_interval: time::Duration,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            round_interval: time::Duration::from_millis(400),
            probe_timeout: time::Duration::from_millis(400),
            indirect_probe_timeout: time::Duration::from_millis(600),
            suspicion_timeout: time::Duration::from_millis(800),
            load_interval: time::Duration::from_secs(1),
        }
    }
}

/// Who a router is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Router name.
    pub router: String,
    /// Incarnation made at the start, such as [`timeline::wall_micros`].
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address for callers, host and port.
    pub caller_address: String,
    /// Address for peers, host and port.
    pub peer_address: String,
    /// Address for operators, host and port.
    pub admin_address: String,
}

/// Gives peer addresses to try when no member answers: settings and the VM list.
pub trait SeedSource: fmt::Debug + Send + Sync {
    /// Peer addresses, host and port.
    fn addresses(&self) -> Vec<String>;
}

impl SeedSource for Vec<String> {
    fn addresses(&self) -> Vec<String> {
        self.clone()
    }
}

/// What the rounds have done so far.
#[derive(Debug, Default)]
pub struct GossipCounters {
    /// Exchanges that this router began.
    pub exchanges: atomic::AtomicU64,
    /// Exchanges that got no answer.
    pub failures: atomic::AtomicU64,
    /// Members that a direct probe missed and another probe reached.
    pub false_alarms: atomic::AtomicU64,
    /// Suspicions that this router raised.
    pub suspicions: atomic::AtomicU64,
    /// Suspicions and wrong facts about itself that this router refuted.
    pub refutations: atomic::AtomicU64,
    /// Exchanges that compared buckets.
    pub comparisons: atomic::AtomicU64,
}

/// One router's part in gossip.
#[derive(Debug)]
pub struct GossipNode {
    pub(super) settings: GossipSettings,
    pub(super) router: String,
    pub(super) zone: String,
    pub(super) seeds: sync::Arc<dyn SeedSource>,
    pub(super) link: sync::Arc<dyn peer::PeerLink>,
    pub(super) state: parking_lot::Mutex<gossip_exchange::ExchangeState>,
    pub(super) pending_load: parking_lot::Mutex<gossip_load::PendingLoad>,
    pub(super) targets: parking_lot::Mutex<gossip_target::TargetList>,
    pub(super) counters: GossipCounters,
    pub(super) wake_signal: (channel::Sender<()>, channel::Receiver<()>),
    ring: sync::Arc<timeline::EventRing>,
    pub(super) incarnations: parking_lot::Mutex<Vec<u64>>,
    pub(super) pause_gate: sync::Arc<pause::PauseGate>,
    config_signal: (channel::Sender<()>, channel::Receiver<()>),
}

impl GossipNode {
    /// A node that knows of itself alone and is joining.
    #[must_use]
    pub fn new(
        identity: MemberIdentity,
        settings: GossipSettings,
        seeds: sync::Arc<dyn SeedSource>,
        link: sync::Arc<dyn peer::PeerLink>,
        ring: sync::Arc<timeline::EventRing>,
    ) -> Self {
        let rank = member_rank::MemberRank::alive(member_rank::LifecycleStage::Joining);
        let own = peer_wire::MemberWire {
            router: identity.router.clone(),
            incarnation: identity.incarnation,
            rank: rank.into(),
            version: 1,
            zone: identity.zone.clone(),
            caller_address: identity.caller_address,
            peer_address: identity.peer_address,
            admin_address: identity.admin_address,
            config: 0,
            demand: Vec::new(),
        };
        let table = member_table::MemberTable::new(own, time::Instant::now());
        Self {
            settings,
            router: identity.router,
            zone: identity.zone,
            seeds,
            link,
            state: parking_lot::Mutex::new(gossip_exchange::ExchangeState::new(table)),
            pending_load: parking_lot::Mutex::default(),
            targets: parking_lot::Mutex::default(),
            counters: GossipCounters::default(),
            wake_signal: channel::bounded(1),
            ring,
            incarnations: parking_lot::Mutex::new(vec![identity.incarnation]),
            pause_gate: sync::Arc::default(),
            config_signal: channel::bounded(1),
        }
    }

    /// Counts of what the rounds did.
    #[must_use]
    pub const fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// Answers an exchange that a peer began.
    pub fn handle(&self, query: peer_wire::GossipWire) -> peer_wire::GossipWire {
        let (reply, effect) = self.state.lock().answer(query, exchange_time());
        self.apply(&effect);
        reply
    }

    /// Answers the queries of gossip and probing; `None` for all others.
    pub async fn handle_query(&self, query: &peer_wire::QueryBody) -> Option<peer_wire::ReplyBody> {
        match query {
            peer_wire::QueryBody::Gossip(wire) => {
                Some(peer_wire::ReplyBody::Gossip(self.handle(wire.clone())))
            }
            peer_wire::QueryBody::Probe { router } => {
                Some(peer_wire::ReplyBody::Alive(*router == self.router))
            }
            peer_wire::QueryBody::ProbeFor { router, address } => {
                let is_alive = self.probe(address, router).await;
                Some(peer_wire::ReplyBody::Alive(is_alive))
            }
            _ => None,
        }
    }

    /// Tells all routers that this configuration is in force here; lower numbers are ignored.
    pub fn set_config(&self, number: u64) {
        let mut state = self.state.lock();
        if number <= state.config {
            return;
        }
        state.config = number;
        state.table.record_config(&self.router, number);
        drop(state);
        self.wake_up();
    }

    /// Tells all routers that an endpoint takes no new work in this incarnation.
    pub fn mark_leaving(&self, endpoint: &str, incarnation: u64) {
        let at = exchange_time();
        let leaving = peer_wire::LeavingWire {
            endpoint: endpoint.to_owned(),
            incarnation,
            since: at.micros,
        };
        let mut state = self.state.lock();
        let is_new = state.table.mark_leaving(&leaving, at.now, at.micros);
        drop(state);
        if is_new {
            self.record_leaving(endpoint);
            self.wake_up();
        }
    }

    /// Whether any router said that the endpoint is leaving in this incarnation.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &str, incarnation: u64) -> bool {
        let state = self.state.lock();
        state.table.leaving().contains(endpoint, incarnation)
    }

    /// Tells all routers that this one takes callers.
    pub fn set_ready(&self) {
        self.advance(member_rank::LifecycleStage::Ready);
    }

    /// Tells all routers that this one takes no new callers.
    pub fn set_draining(&self) {
        self.advance(member_rank::LifecycleStage::Draining);
    }

    /// Tells all routers that this one has stopped.
    pub fn set_left(&self) {
        self.advance(member_rank::LifecycleStage::Left);
    }

    /// Opens when an exchange succeeds; while closed, this router is not named to callers.
    #[must_use]
    pub const fn pause_gate(&self) -> &sync::Arc<pause::PauseGate> {
        &self.pause_gate
    }

    /// Waits until a peer has shown a newer configuration than this router's.
    pub async fn wait_for_newer_config(&self) {
        // The node holds a sender, so that the channel is never closed.
        self.config_signal.1.recv().await.unwrap_or_default();
    }

    /// Digest of the live members and leaving endpoints; equal at routers that agree.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.state.lock().table.digest().total()
    }

    pub(super) fn apply(&self, effect: &gossip_exchange::ExchangeEffect) {
        for (router, rank) in &effect.changed {
            self.record_change(router, *rank);
        }
        if let Some(incarnation) = effect.refuted {
            count(&self.counters.refutations);
            self.record_incarnation(incarnation);
        }
        if effect.has_newer_config {
            // A full channel already holds the news.
            let _is_full = self.config_signal.0.try_send(());
        }
        if effect.is_urgent {
            self.wake_up();
        }
    }

    pub(super) fn record_change(&self, router: &str, rank: member_rank::MemberRank) {
        let state = rank.as_str().to_owned();
        log::info!("router {router} is {state}");
        let member = router.to_owned();
        self.ring
            .record(None, timeline::EventKind::MemberChanged { member, state });
    }

    pub(super) fn wake_up(&self) {
        // A full channel already holds the wake-up.
        let _is_full = self.wake_signal.0.try_send(());
    }

    fn record_leaving(&self, endpoint: &str) {
        let kind = timeline::EventKind::EndpointChanged {
            endpoint: endpoint.to_owned(),
            state: "leaving".to_owned(),
        };
        self.ring.record(None, kind);
    }

    /// Keeps the incarnation after a refutation, which may have raised it.
    fn record_incarnation(&self, incarnation: u64) {
        let mut incarnations = self.incarnations.lock();
        if incarnations.contains(&incarnation) {
            return;
        }
        incarnations.push(incarnation);
        log::warn!(
            "router name {} was in use before with a later incarnation; \
             give each running router a name of its own",
            self.router
        );
    }

    fn advance(&self, stage: member_rank::LifecycleStage) {
        let is_changed = self.state.lock().table.advance(stage, time::Instant::now());
        if is_changed {
            self.wake_up();
        }
    }
}

pub(super) fn exchange_time() -> gossip_exchange::ExchangeTime {
    gossip_exchange::ExchangeTime {
        now: time::Instant::now(),
        micros: timeline::wall_micros(),
    }
}

pub(super) fn count(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
