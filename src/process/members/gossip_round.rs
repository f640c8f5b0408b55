//! Gossip rounds, urgent pushes and failure detection of a gossip node.
//!
//! As in SWIM, a member that does not answer an exchange is probed again, directly and through
//! helpers. If that fails too, it becomes suspect, and it is declared dead unless it refutes the
//! suspicion before the suspicion timeout.

use std::sync;
use std::time;

use async_std::{future as timer, task};
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::peer_wire;
use crate::process::members::{gossip, gossip_exchange, gossip_target, member_rank};

/// Maximum interval between two checks for expired suspicions.
const MAX_TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A check this long after the previous one means that the process was paused.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(600);

/// Minimum interval between two pushes of urgent changes.
const MIN_PUSH_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Interval between two removals of expired entries.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Maximum number of rounds and pushes in flight.
const MAX_IN_FLIGHT: usize = 16;

/// Result of an exchange or a probe; `Unknown` means that nobody gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    Alive,
    Dead,
    Unknown,
}

/// Times at which the steps of the gossip loop are due.
///
/// Each task in flight holds a clone of `in_flight`.
#[derive(Debug)]
struct RoundSchedule {
    next_round: time::Instant,
    next_cleanup: time::Instant,
    last_push: time::Instant,
    last_check: time::Instant,
    is_urgent: bool,
    in_flight: sync::Arc<()>,
}

impl RoundSchedule {
    fn start(now: time::Instant) -> Self {
        Self {
            next_round: now,
            next_cleanup: now + CLEANUP_INTERVAL,
            last_push: now,
            last_check: now,
            is_urgent: false,
            in_flight: sync::Arc::new(()),
        }
    }

    fn is_busy(&self) -> bool {
        sync::Arc::strong_count(&self.in_flight) > MAX_IN_FLIGHT
    }

    fn next_wait(&self, now: time::Instant) -> time::Duration {
        if self.is_busy() {
            return MAX_TICK_INTERVAL;
        }
        let longest = if self.is_urgent {
            MIN_PUSH_INTERVAL
        } else {
            MAX_TICK_INTERVAL
        };
        let wait = self.next_round.saturating_duration_since(now);
        wait.min(longest)
    }
}

impl gossip::GossipNode {
    /// Runs the gossip loop until `token` stops it.
    pub async fn run(self: sync::Arc<Self>, token: stop_token::StopToken) {
        let mut schedule = RoundSchedule::start(time::Instant::now());
        loop {
            let wait = schedule.next_wait(time::Instant::now());
            let woken = timer::timeout(wait, self.wake_signal.1.recv());
            let Ok(woken) = woken.timeout_at(token.clone()).await else {
                return;
            };
            schedule.is_urgent |= woken.is_ok();
            self.step(&mut schedule, time::Instant::now());
        }
    }

    fn step(self: &sync::Arc<Self>, schedule: &mut RoundSchedule, now: time::Instant) {
        self.check_suspects(now, now.duration_since(schedule.last_check));
        schedule.last_check = now;
        if now >= schedule.next_cleanup {
            schedule.next_cleanup = now + CLEANUP_INTERVAL;
            let at = gossip::exchange_time();
            self.state.lock().table.remove_expired(at.now, at.micros);
        }
        if schedule.is_busy() {
            return;
        }
        if schedule.is_urgent && now.duration_since(schedule.last_push) >= MIN_PUSH_INTERVAL {
            schedule.is_urgent = false;
            schedule.last_push = now;
            let (node, slot) = (
                sync::Arc::clone(self),
                sync::Arc::clone(&schedule.in_flight),
            );
            task::spawn(async move {
                node.push_urgent().await;
                drop(slot);
            });
        }
        if now >= schedule.next_round {
            schedule.next_round = now + self.jittered_round();
            let (node, slot) = (
                sync::Arc::clone(self),
                sync::Arc::clone(&schedule.in_flight),
            );
            task::spawn(async move {
                node.run_round().await;
                drop(slot);
            });
        }
    }

    /// Pushes urgent changes to the regular peers that lack them.
    pub async fn push_urgent(&self) {
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

    /// Whether the router of this name answers at the address; may open a new connection.
    pub(super) async fn probe(&self, address: &str, router: &str) -> bool {
        let query = peer_wire::QueryBody::Probe {
            router: router.to_owned(),
        };
        let reply = self.link.ask(address, query, self.settings.probe_timeout);
        matches!(reply.await, Ok(peer_wire::ReplyBody::Alive(true)))
    }

    fn check_suspects(&self, now: time::Instant, gap: time::Duration) {
        let mut state = self.state.lock();
        if gap >= PAUSE_THRESHOLD {
            state.table.reset_suspicion_timers(now);
        }
        let dead = state
            .table
            .expire_suspects(self.settings.suspicion_timeout, now);
        drop(state);
        for member in &dead {
            if let Ok(rank) = member_rank::MemberRank::try_from(member.rank) {
                self.record_change(&member.router, rank);
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

    /// Runs one round: exchanges entries with one peer and marks it as suspect if it has failed.
    pub async fn run_round(&self) {
        self.publish_load();
        let Some(target) = self.next_target() else {
            return;
        };
        let began = time::Instant::now();
        if self
            .exchange(&target, gossip_exchange::ExchangeKind::Round)
            .await
            == ProbeOutcome::Alive
        {
            self.record_answer(&target.address);
            return;
        }
        gossip::count(&self.counters.failures);
        let Some(member) = target.expected else {
            return;
        };
        let outcome = self.confirm_failure(&member).await;
        let longest = self.settings.probe_timeout + self.settings.indirect_probe_timeout;
        if began.elapsed() > longest + PAUSE_THRESHOLD {
            return;
        }
        match outcome {
            ProbeOutcome::Alive => gossip::count(&self.counters.false_alarms),
            ProbeOutcome::Dead => self.suspect(&member),
            ProbeOutcome::Unknown => {}
        }
    }

    fn suspect(&self, member: &peer_wire::MemberWire) {
        let now = time::Instant::now();
        let liveness = member_rank::PeerLiveness::Suspect;
        let mut state = self.state.lock();
        if !state.table.set_liveness(member, liveness, now) {
            return;
        }
        let rank = state.table.get(&member.router).map(|record| record.rank);
        drop(state);
        gossip::count(&self.counters.suspicions);
        if let Some(rank) = rank {
            self.record_change(&member.router, rank);
        }
        self.wake_up();
    }

    /// Exchanges entries with a peer, and compares bucket digests if an entry seems lost.
    async fn exchange(
        &self,
        target: &gossip_target::RoundTarget,
        kind: gossip_exchange::ExchangeKind,
    ) -> ProbeOutcome {
        gossip::count(&self.counters.exchanges);
        let router = target
            .expected
            .as_ref()
            .map(|member| member.router.as_str());
        let query = self.state.lock().query(router, kind);
        let reply = self.send_query(&target.address, query).await;
        let Some((reply, effect)) = reply else {
            return ProbeOutcome::Unknown;
        };
        if router.is_some_and(|router| router != reply) {
            return ProbeOutcome::Dead;
        }
        if kind == gossip_exchange::ExchangeKind::Compare {
            self.state.lock().mark_synced();
            self.send_bucket_entries(target, effect.wanted).await;
        } else if effect.needs_comparison {
            gossip::count(&self.counters.comparisons);
            let kind = gossip_exchange::ExchangeKind::Compare;
            Box::pin(self.exchange(target, kind)).await;
        }
        ProbeOutcome::Alive
    }

    async fn send_bucket_entries(&self, target: &gossip_target::RoundTarget, wanted: u64) {
        if wanted == 0 {
            return;
        }
        let query = self.state.lock().bucket_query(wanted);
        self.send_query(&target.address, query).await;
    }

    /// Sends a query and applies the reply; returns the router that answered and the effects.
    ///
    /// Returns `None` if no valid reply arrives before the probe timeout.
    async fn send_query(
        &self,
        address: &str,
        query: peer_wire::GossipWire,
    ) -> Option<(String, gossip_exchange::ExchangeEffect)> {
        let began = time::Instant::now();
        let sent = gossip_exchange::SentSequences::from(&query);
        let query = peer_wire::QueryBody::Gossip(query);
        let reply = self.link.ask(address, query, self.settings.probe_timeout);
        let Ok(peer_wire::ReplyBody::Gossip(reply)) = reply.await else {
            return None;
        };
        self.pause_gate.record_contact(began);
        let from = reply.from.clone();
        let at = gossip::exchange_time();
        let effect = self.state.lock().apply_reply(sent, reply, at);
        self.apply(&effect);
        Some((from, effect))
    }

    /// Probes an unresponsive member again, directly and through helpers, preferably in other
    /// availability zones.
    async fn confirm_failure(&self, member: &peer_wire::MemberWire) -> ProbeOutcome {
        let helpers = self.helpers(member);
        let indirect = helpers.iter().map(|helper| self.ask_helper(helper, member));
        let direct = self.probe(&member.peer_address, &member.router);
        let (is_alive, answers) = future::join(direct, future::join_all(indirect)).await;
        if is_alive || answers.contains(&ProbeOutcome::Alive) {
            return ProbeOutcome::Alive;
        }
        if answers.is_empty() || answers.contains(&ProbeOutcome::Dead) {
            return ProbeOutcome::Dead;
        }
        // No helper answered either, so this router may be the one that is disconnected.
        if self.targets.lock().record_inconclusive(&member.router) {
            return ProbeOutcome::Dead;
        }
        ProbeOutcome::Unknown
    }

    async fn ask_helper(&self, helper: &str, member: &peer_wire::MemberWire) -> ProbeOutcome {
        let query = peer_wire::QueryBody::ProbeFor {
            router: member.router.clone(),
            address: member.peer_address.clone(),
        };
        let reply = self
            .link
            .ask(helper, query, self.settings.indirect_probe_timeout);
        match reply.await {
            Ok(peer_wire::ReplyBody::Alive(true)) => ProbeOutcome::Alive,
            Ok(peer_wire::ReplyBody::Alive(false)) => ProbeOutcome::Dead,
            _ => ProbeOutcome::Unknown,
        }
    }
}
