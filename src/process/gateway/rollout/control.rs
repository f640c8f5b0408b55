//! Orders and plans of a router that follows roll-outs: what it takes from the store and from peers, and
//! what it passes on.

use std::sync;
use std::time;

use xxhash_rust::xxh3;

use crate::connection::{peer_wire, rollout_wire};
use crate::process::gateway::rollout::{coordinator, evidence, exchange, order, plan, reporter};
use crate::process::gateway::{boot_clock, rows};

/// Timeout of a query to a peer for its orders.
const ORDERS_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The roll-outs that one router follows.
#[derive(Debug)]
pub struct RolloutControl {
    parts: coordinator::CoordinatorParts,
    coordinator: sync::Arc<coordinator::RolloutCoordinator>,
}

impl RolloutControl {
    /// Creates a control that knows no orders but those of `parts`.
    #[must_use]
    pub fn new(parts: coordinator::CoordinatorParts) -> Self {
        let coordinator = coordinator::RolloutCoordinator::new(parts.clone());
        Self {
            parts,
            coordinator: sync::Arc::new(coordinator),
        }
    }

    /// The coordinator of the services that this router owns.
    #[must_use]
    pub const fn coordinator(&self) -> &sync::Arc<coordinator::RolloutCoordinator> {
        &self.coordinator
    }

    /// A reporter of the counts of `evidence`.
    #[must_use]
    pub fn reporter(
        &self,
        router: String,
        evidence: sync::Arc<dyn evidence::EvidenceSource>,
    ) -> reporter::RolloutReporter {
        reporter::RolloutReporter {
            router,
            owners: sync::Arc::clone(&self.parts.owners),
            link: sync::Arc::clone(&self.parts.link),
            evidence,
            plans: sync::Arc::clone(&self.parts.plans),
            coordinator: sync::Arc::clone(&self.coordinator),
        }
    }

    /// Takes rows of the store that were asked for at `asked_at`: all of them, or the changes.
    pub fn apply_rows(
        &self,
        batch: &rows::RowBatch,
        asked_at: boot_clock::BootInstant,
        is_full: bool,
    ) {
        let mut present = Vec::new();
        let mut changed = Vec::new();
        let mut orders = self.parts.orders.lock();
        for row in &batch.rows {
            let Some(service) = self.parts.codec.order_service(&row.key) else {
                continue;
            };
            present.push(service);
            let value = row.value.as_deref();
            let entry = order::OrderEntry {
                service: service.to_owned(),
                content: value.and_then(|value| self.parts.codec.order(&row.key, value)),
                version: order::order_version(batch.era, row.version),
            };
            if orders.merge(entry.clone()) {
                changed.push(entry);
            }
        }
        if is_full {
            changed.extend(orders.withdraw_missing(batch.era, &present));
        }
        drop(orders);
        for entry in &changed {
            self.follow(entry, "store");
        }
        self.parts.plans.record_orders_read(asked_at);
    }

    /// Goes by a changed order.
    fn follow(&self, entry: &order::OrderEntry, source: &str) {
        let now = boot_clock::BootInstant::now();
        let service = entry.service.as_str();
        if let Some(content) = &entry.content {
            let ramp_ms = u64::try_from(content.ramp.as_millis()).unwrap_or(u64::MAX);
            let (to, order) = (content.to.as_str(), entry.version);
            log::info!(service, to, ramp_ms, order, source; "roll-out ordered");
            let waiting = plan::RolloutPlan {
                service: entry.service.clone(),
                to: content.to.clone(),
                order_version: entry.version,
                phase: plan::RolloutPhase::Waiting,
                share_millis: 0,
            };
            self.parts.plans.take_plan(waiting, now);
            return;
        }
        let known = self.parts.plans.plan(service, now);
        let Some(open) = known.filter(|known| !known.phase.is_final()) else {
            return;
        };
        log::warn!(service, to = open.to.as_str(), source; "order withdrawn; roll-out reverted");
        let reverted = plan::RolloutPlan {
            phase: plan::RolloutPhase::Reverted,
            share_millis: 0,
            ..open
        };
        self.parts.plans.take_plan(reverted, now);
    }

    /// Answers another router.
    #[must_use]
    pub fn answer(&self, query: rollout_wire::RolloutQueryWire) -> rollout_wire::RolloutReplyWire {
        match query {
            rollout_wire::RolloutQueryWire::Orders { digest } => {
                let (own, orders) = self.orders_for_peer();
                let now = boot_clock::BootInstant::now();
                let age = self.parts.plans.orders_age(now);
                rollout_wire::RolloutReplyWire::Orders {
                    orders: if own == digest { Vec::new() } else { orders },
                    age_micros: age.map(peer_wire::micros),
                }
            }
            rollout_wire::RolloutQueryWire::Report(report) => {
                let answer = self.coordinator.answer_report(report.into());
                rollout_wire::RolloutReplyWire::Plan(answer.map(Into::into))
            }
            rollout_wire::RolloutQueryWire::Plan(told) => {
                self.take_ended(told.into());
                rollout_wire::RolloutReplyWire::Taken
            }
        }
    }

    /// Asks the peer at `address` for its orders and takes them.
    pub async fn query_orders(&self, address: &str) {
        let asked_at = boot_clock::BootInstant::now();
        let (digest, _orders) = self.orders_for_peer();
        let query = rollout_wire::RolloutQueryWire::Orders { digest };
        let query = peer_wire::QueryBody::Rollout(Box::new(query));
        let reply = self.parts.link.ask(address, query, ORDERS_TIMEOUT).await;
        let Ok(peer_wire::ReplyBody::Rollout(reply)) = reply else {
            return;
        };
        let rollout_wire::RolloutReplyWire::Orders { orders, age_micros } = *reply else {
            return;
        };
        for wire in &orders {
            let entry = exchange::received_order(wire);
            if self.parts.orders.lock().merge(entry.clone()) {
                self.follow(&entry, "peer");
            }
            if let (Some(phase), Some(content)) = (wire.ended, &entry.content) {
                let phase = plan::RolloutPhase::from(phase);
                self.take_ended(plan::RolloutPlan {
                    service: entry.service.clone(),
                    to: content.to.clone(),
                    order_version: entry.version,
                    phase,
                    share_millis: ended_share(phase),
                });
            }
        }
        if let Some(age) = age_micros {
            let read_at = asked_at.before(time::Duration::from_micros(age));
            self.parts.plans.record_orders_read(read_at);
        }
    }

    /// Takes the plan of a roll-out that ended. Others come from the coordinator's replies only, since
    /// their age matters.
    fn take_ended(&self, told: plan::RolloutPlan) {
        if !told.phase.is_final() {
            return;
        }
        let now = boot_clock::BootInstant::now();
        let (service, to) = (told.service.clone(), told.to.clone());
        let phase = told.phase.name();
        if self.parts.plans.take_plan(told, now) {
            log::info!(service = service.as_str(), to = to.as_str(), phase; "roll-out ended");
        }
    }

    /// All orders for a peer, and their digest.
    fn orders_for_peer(&self) -> (u64, Vec<rollout_wire::OrderWire>) {
        let now = boot_clock::BootInstant::now();
        let orders = self.parts.orders.lock();
        let mut digest = orders.digest();
        let entries = orders.entries().map(|entry| {
            let plan = self.parts.plans.plan(&entry.service, now);
            let plan = plan.filter(|plan| plan.order_version == entry.version);
            let ended = plan.map(|plan| plan.phase).filter(|phase| phase.is_final());
            if let Some(phase) = ended {
                let seed = entry.version.wrapping_mul(2);
                let text = format!("{}/{}", entry.service, phase.name());
                digest ^= xxh3::xxh3_64_with_seed(text.as_bytes(), seed);
            }
            exchange::sent_order(entry, ended)
        });
        let entries = entries.collect();
        (digest, entries)
    }
}

const fn ended_share(phase: plan::RolloutPhase) -> u16 {
    match phase {
        plan::RolloutPhase::Complete => plan::FULL_SHARE,
        _other => 0,
    }
}
