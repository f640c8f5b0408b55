//! Gossip node of a router: its own entry, its answers to peers and its state of the cluster.
//!
//! The periodic rounds that exchange entries and detect failed routers are in `gossip_round`.

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

/// Intervals and timeouts of the gossip rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// Mean interval between rounds; each one is jittered.
    pub round_interval: time::Duration,
    /// Timeout of an exchange or a direct probe.
    pub probe_timeout: time::Duration,
    /// Timeout of an indirect probe, including the helper's own probe.
    pub indirect_probe_timeout: time::Duration,
    /// How long a member stays suspect before it is declared dead.
    pub suspicion_timeout: time::Duration,
    /// Minimum interval between two publications of this router's load.
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

/// Identity of a router at startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Router name, unique in the cluster.
    pub router: String,
    /// Incarnation chosen at startup, usually [`timeline::wall_micros`]; a later process of the
    /// same name should use a greater one.
    pub incarnation: u64,
    /// Availability zone of the router.
    pub zone: String,
    /// Address for callers, host and port.
    pub caller_address: String,
    /// Address for peers, host and port.
    pub peer_address: String,
    /// Address for operators, host and port.
    pub admin_address: String,
}

/// Source of the peer addresses to contact when no member answers.
pub trait SeedSource: fmt::Debug + Send + Sync {
    /// Current seed addresses, host and port.
    fn addresses(&self) -> Vec<String>;
}

impl SeedSource for Vec<String> {
    fn addresses(&self) -> Vec<String> {
        self.clone()
    }
}

/// Counters of the gossip rounds since startup.
#[derive(Debug, Default)]
pub struct GossipCounters {
    /// Exchanges that this router started.
    pub exchanges: atomic::AtomicU64,
    /// Rounds whose exchange got no answer or was answered by a different router.
    pub failures: atomic::AtomicU64,
    /// Members that failed an exchange but then answered a direct or indirect probe.
    pub false_alarms: atomic::AtomicU64,
    /// Members that this router marked as suspect.
    pub suspicions: atomic::AtomicU64,
    /// Wrong entries about itself, suspicions included, that this router refuted.
    pub refutations: atomic::AtomicU64,
    /// Exchanges that led to a comparison of bucket digests.
    pub comparisons: atomic::AtomicU64,
}

/// Gossip state and operations of one router.
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
    /// Creates a node in the joining stage that knows only itself.
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

    /// Counters of the gossip rounds.
    #[must_use]
    pub const fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// Answers an exchange that a peer started.
    pub fn handle(&self, query: peer_wire::GossipWire) -> peer_wire::GossipWire {
        let (reply, effect) = self.state.lock().answer(query, exchange_time());
        self.apply(&effect);
        reply
    }

    /// Answers gossip and probe queries; returns `None` for all other queries.
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

    /// Announces the configuration number in force at this router; ignores lower numbers.
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

    /// Announces that this incarnation of an endpoint takes no new work.
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

    /// Whether any router announced that this incarnation of the endpoint is leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &str, incarnation: u64) -> bool {
        let state = self.state.lock();
        state.table.leaving().contains(endpoint, incarnation)
    }

    /// Announces that this router accepts callers.
    pub fn set_ready(&self) {
        self.advance(member_rank::LifecycleStage::Ready);
    }

    /// Announces that this router accepts no new callers.
    pub fn set_draining(&self) {
        self.advance(member_rank::LifecycleStage::Draining);
    }

    /// Announces that this router has stopped.
    pub fn set_left(&self) {
        self.advance(member_rank::LifecycleStage::Left);
    }

    /// Gate that a successful exchange opens; while it is closed, this router leaves itself out of
    /// [`view::MemberView::ready_members`].
    ///
    /// [`view::MemberView::ready_members`]: crate::process::view::MemberView::ready_members
    #[must_use]
    pub const fn pause_gate(&self) -> &sync::Arc<pause::PauseGate> {
        &self.pause_gate
    }

    /// Waits until a peer reports a newer configuration than this router's.
    pub async fn wait_for_newer_config(&self) {
        // The node keeps a sender, so the channel is never closed and `recv` cannot fail.
        self.config_signal.1.recv().await.unwrap_or_default();
    }

    /// Digest of the live members and leaving endpoints; equal on routers with the same state.
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
            // A full channel already holds a notification.
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
        // A full channel already holds a wake-up.
        let _is_full = self.wake_signal.0.try_send(());
    }

    fn record_leaving(&self, endpoint: &str) {
        let kind = timeline::EventKind::EndpointChanged {
            endpoint: endpoint.to_owned(),
            state: "leaving".to_owned(),
        };
        self.ring.record(None, kind);
    }

    /// Records the own incarnation after a refutation, which may have raised it, and warns when it
    /// is new.
    fn record_incarnation(&self, incarnation: u64) {
        let mut incarnations = self.incarnations.lock();
        if incarnations.contains(&incarnation) {
            return;
        }
        incarnations.push(incarnation);
        log::warn!(
            "router name {} was already used with a later incarnation; \
             give each running router a unique name",
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
