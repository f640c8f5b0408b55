//! The rounds of a gossip node: whom to ask, how to probe, when to tell at once.

use std::sync;
use std::time;

use async_std::{future as timer, task};
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::peer_wire;
use crate::process::members::{gossip, gossip_exchange, gossip_target, member_rank};

/// Longest time between two looks at suspicions.
const TICK: time::Duration = time::Duration::from_millis(100);

/// A look this late means that the process was paused.
const PAUSE_LIMIT: time::Duration = time::Duration::from_millis(600);

/// Least time between two pushes of urgent facts.
const PUSH_SPACING: time::Duration = time::Duration::from_millis(50);

/// Time between two clean-ups of old facts.
const FORGET_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Rounds and pushes running at the same time at most.
const MAX_RUNNING: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    Alive,
    Dead,
    Unknown,
}

/// When the steps of a node are due.
#[derive(Debug)]
struct RoundClock {
    next_round: time::Instant,
    next_forget: time::Instant,
    last_push: time::Instant,
    last_look: time::Instant,
    is_urgent: bool,
    running: sync::Arc<()>,
}

impl RoundClock {
    fn start(now: time::Instant) -> Self {
        Self {
            next_round: now,
            next_forget: now + FORGET_INTERVAL,
            last_push: now,
            last_look: now,
            is_urgent: false,
            running: sync::Arc::new(()),
        }
    }

    fn is_busy(&self) -> bool {
        sync::Arc::strong_count(&self.running) > MAX_RUNNING
    }

    fn wait(&self, now: time::Instant) -> time::Duration {
        if self.is_busy() {
            return TICK;
        }
        let longest = if self.is_urgent { PUSH_SPACING } else { TICK };
        let wait = self.next_round.saturating_duration_since(now);
        wait.min(longest)
    }
}

impl gossip::GossipNode {
    /// Takes part in gossip until `token` stops it.
    pub async fn run(self: sync::Arc<Self>, token: stop_token::StopToken) {
        let mut clock = RoundClock::start(time::Instant::now());
        loop {
            let wait = clock.wait(time::Instant::now());
            let woken = timer::timeout(wait, self.wake.1.recv());
            let Ok(woken) = woken.timeout_at(token.clone()).await else {
                return;
            };
            clock.is_urgent |= woken.is_ok();
            self.step(&mut clock, time::Instant::now());
        }
    }

    fn step(self: &sync::Arc<Self>, clock: &mut RoundClock, now: time::Instant) {
        self.look(now, now.duration_since(clock.last_look));
        clock.last_look = now;
        if now >= clock.next_forget {
            clock.next_forget = now + FORGET_INTERVAL;
            let at = gossip::exchange_time();
            self.state.lock().table.forget(at.now, at.micros);
        }
        if clock.is_busy() {
            return;
        }
        if clock.is_urgent && now.duration_since(clock.last_push) >= PUSH_SPACING {
            clock.is_urgent = false;
            clock.last_push = now;
            let (node, slot) = (sync::Arc::clone(self), sync::Arc::clone(&clock.running));
            task::spawn(async move {
                node.push().await;
                drop(slot);
            });
        }
        if now >= clock.next_round {
            clock.next_round = now + self.jittered_round();
            let (node, slot) = (sync::Arc::clone(self), sync::Arc::clone(&clock.running));
            task::spawn(async move {
                node.run_round().await;
                drop(slot);
            });
        }
    }

    /// Tells urgent facts to the usual peers that lack them; also called once before leaving.
    pub async fn push(&self) {
        let targets: Vec<gossip_target::RoundTarget> = {
            let fingers = self.fingers();
            let state = self.state.lock();
            let behind = fingers.iter().filter(|router| state.is_behind(router));
            let records = behind.filter_map(|router| state.table.get(router));
            records.map(gossip_target::target_of).collect()
        };
        let kind = gossip_exchange::ExchangeKind::Push;
        let exchanges = targets.iter().map(|target| self.exchange(target, kind));
        future::join_all(exchanges).await;
    }

    /// Whether the router of this name answers at the address, over a new connection if need be.
    pub(super) async fn probe(&self, address: &str, router: &str) -> bool {
        let query = peer_wire::QueryBody::Probe {
            router: router.to_owned(),
        };
        let reply = self.link.ask(address, query, self.settings.probe_limit);
        matches!(reply.await, Ok(peer_wire::ReplyBody::Alive(true)))
    }

    fn look(&self, now: time::Instant, gap: time::Duration) {
        let mut state = self.state.lock();
        if gap >= PAUSE_LIMIT {
            state.table.restart_suspicions(now);
        }
        let dead = state.table.expire_suspects(self.settings.suspicion, now);
        drop(state);
        for fact in &dead {
            if let Ok(rank) = member_rank::MemberRank::try_from(fact.rank) {
                self.record_change(&fact.router, rank);
            }
        }
        if !dead.is_empty() {
            self.wake_up();
        }
    }

    fn jittered_round(&self) -> time::Duration {
        const JITTER: f64 = 0.2;
        let factor = 1.0 + JITTER * (2.0 * fastrand::f64() - 1.0);
        self.settings.round_interval.mul_f64(factor)
    }

    /// Exchanges facts with one peer, and with a seed when no member is known.
    pub async fn run_round(&self) {
        self.tell_load();
        let Some(target) = self.next_target() else {
            return;
        };
        let began = time::Instant::now();
        if self
            .exchange(&target, gossip_exchange::ExchangeKind::Round)
            .await
            == ProbeOutcome::Alive
        {
            return;
        }
        gossip::count(&self.counters.failures);
        let Some(fact) = target.expected else {
            return;
        };
        let outcome = self.confirm(&fact).await;
        let longest = self.settings.probe_limit + self.settings.indirect_limit;
        if began.elapsed() > longest + PAUSE_LIMIT {
            return;
        }
        match outcome {
            ProbeOutcome::Alive => gossip::count(&self.counters.saves),
            ProbeOutcome::Dead => self.suspect(&fact),
            ProbeOutcome::Unknown => {}
        }
    }

    fn suspect(&self, fact: &peer_wire::MemberWire) {
        let now = time::Instant::now();
        let liveness = member_rank::PeerLiveness::Suspect;
        let mut state = self.state.lock();
        if !state.table.judge(fact, liveness, now) {
            return;
        }
        let rank = state.table.get(&fact.router).map(|record| record.rank);
        drop(state);
        gossip::count(&self.counters.suspicions);
        if let Some(rank) = rank {
            self.record_change(&fact.router, rank);
        }
        self.wake_up();
    }

    /// Exchanges facts with a peer, and compares buckets when a fact seems lost.
    async fn exchange(
        &self,
        target: &gossip_target::RoundTarget,
        kind: gossip_exchange::ExchangeKind,
    ) -> ProbeOutcome {
        gossip::count(&self.counters.exchanges);
        let router = target.expected.as_ref().map(|fact| fact.router.as_str());
        let query = self.state.lock().query(router, kind);
        let reply = self.tell(&target.address, query).await;
        let Some((reply, effect)) = reply else {
            return ProbeOutcome::Unknown;
        };
        if router.is_some_and(|router| router != reply) {
            return ProbeOutcome::Dead;
        }
        if kind == gossip_exchange::ExchangeKind::Compare {
            self.state.lock().note_synced();
            self.send_buckets(target, effect.wanted).await;
        } else if effect.needs_buckets {
            gossip::count(&self.counters.comparisons);
            let kind = gossip_exchange::ExchangeKind::Compare;
            Box::pin(self.exchange(target, kind)).await;
        }
        ProbeOutcome::Alive
    }

    async fn send_buckets(&self, target: &gossip_target::RoundTarget, wanted: u64) {
        if wanted == 0 {
            return;
        }
        let query = self.state.lock().bucket_query(wanted);
        self.tell(&target.address, query).await;
    }

    /// Sends a query; gives the router that answered and what its answer changed.
    async fn tell(
        &self,
        address: &str,
        query: peer_wire::GossipWire,
    ) -> Option<(String, gossip_exchange::ExchangeEffect)> {
        let began = time::Instant::now();
        let sent = gossip_exchange::SentSequences::from(&query);
        let query = peer_wire::QueryBody::Gossip(query);
        let reply = self.link.ask(address, query, self.settings.probe_limit);
        let Ok(peer_wire::ReplyBody::Gossip(reply)) = reply.await else {
            return None;
        };
        self.gate.record_contact(began);
        let from = reply.from.clone();
        let at = gossip::exchange_time();
        let effect = self.state.lock().apply_reply(sent, reply, at);
        self.apply(&effect);
        Some((from, effect))
    }

    /// Probes a silent member once more, directly and through members of other availability zones.
    async fn confirm(&self, fact: &peer_wire::MemberWire) -> ProbeOutcome {
        let helpers = self.helpers(fact);
        let asks = helpers.iter().map(|helper| self.ask_helper(helper, fact));
        let direct = self.probe(&fact.peer_address, &fact.router);
        let (is_alive, words) = future::join(direct, future::join_all(asks)).await;
        if is_alive || words.contains(&ProbeOutcome::Alive) {
            return ProbeOutcome::Alive;
        }
        if words.is_empty() || words.contains(&ProbeOutcome::Dead) {
            return ProbeOutcome::Dead;
        }
        // Without word from any helper, this router may be the one that is cut off.
        if self.targets.lock().note_inconclusive(&fact.router) {
            return ProbeOutcome::Dead;
        }
        ProbeOutcome::Unknown
    }

    async fn ask_helper(&self, helper: &str, fact: &peer_wire::MemberWire) -> ProbeOutcome {
        let query = peer_wire::QueryBody::ProbeFor {
            router: fact.router.clone(),
            address: fact.peer_address.clone(),
        };
        let reply = self.link.ask(helper, query, self.settings.indirect_limit);
        match reply.await {
            Ok(peer_wire::ReplyBody::Alive(true)) => ProbeOutcome::Alive,
            Ok(peer_wire::ReplyBody::Alive(false)) => ProbeOutcome::Dead,
            _ => ProbeOutcome::Unknown,
        }
    }
}
