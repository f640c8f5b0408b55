//! Coordinates the roll-outs of the services that this router owns: takes the reports of all routers,
//! decides, answers with the plan, and keeps the state in the store.
//!
//! The owner of a service is one of the routers that accept callers, chosen by rendezvous hashing.
//! Calls to the store run beside the decisions, which they must not hold up.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::future;
use stop_token::future::FutureExt as _;
use xxhash_rust::xxh3;

use crate::connection::{peer, peer_wire, rollout_wire};
use crate::process::gateway::rollout::{
    coordination, evidence, order, plan, plan_book, ramp, rollout_store,
};
use crate::process::gateway::{boot_clock, rows};
use crate::process::view;

/// Interval of the decisions.
const DECISION_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Timeout for telling another router that a roll-out ended; a few round trips within a region.
const TELL_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Attempts to tell it. Routers that miss it learn it from the reply to their next report.
const MAX_TELLS: u32 = 3;

/// Pause after a call to the store that failed, so that an outage does not cause many calls.
const STORE_RETRY: time::Duration = time::Duration::from_millis(500);

/// Ramp of an order of which only the plan is known, which has ended.
const UNKNOWN_RAMP: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// What a coordinator works with.
#[derive(Clone, Debug)]
pub struct CoordinatorParts {
    /// Chooses the owners of services.
    pub owners: sync::Arc<dyn view::OwnerView>,
    /// The routers that report.
    pub members: sync::Arc<dyn view::MemberView>,
    /// Connections to them.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Client of the platform's store.
    pub store: sync::Arc<dyn rows::RowStore>,
    /// Encodes and decodes its rows.
    pub codec: sync::Arc<dyn rows::RowCodec>,
    /// Counters.
    pub counters: sync::Arc<dyn view::CounterSink>,
    /// The plans that this router goes by.
    pub plans: sync::Arc<plan_book::PlanBook>,
    /// The orders that this router knows.
    pub orders: sync::Arc<parking_lot::Mutex<order::OrderBook>>,
    /// What a bad version may get.
    pub bounds: ramp::ExposureBounds,
}

#[derive(Debug)]
struct OwnedRollout {
    coordination: coordination::Coordination,
    /// Whether a call to the store runs.
    is_calling: bool,
    next_call_at: boot_clock::BootInstant,
}

/// The roll-outs of the services that this router owns.
#[derive(Debug)]
pub struct RolloutCoordinator {
    parts: CoordinatorParts,
    rollouts: parking_lot::Mutex<collections::BTreeMap<String, OwnedRollout>>,
}

impl RolloutCoordinator {
    /// Creates a coordinator without any roll-out.
    #[must_use]
    pub fn new(parts: CoordinatorParts) -> Self {
        Self {
            parts,
            rollouts: parking_lot::Mutex::default(),
        }
    }

    /// Takes the report of a router; returns the plan, or `None` if this router does not coordinate the
    /// service or does not know the order yet.
    #[must_use]
    pub fn answer_report(&self, report: evidence::RouterReport) -> Option<plan::RolloutPlan> {
        let owner = self.parts.owners.owner_of(owner_seed(&report.service))?;
        if !owner.is_own {
            return None;
        }
        let now = boot_clock::BootInstant::now();
        // What has ended here holds, whatever is known of the reports.
        let own = self.parts.plans.plan(&report.service, now);
        if let Some(ended) = own.filter(|plan| plan.phase.is_final()) {
            return Some(ended);
        }
        let mut rollouts = self.rollouts.lock();
        let rollout = rollouts.get_mut(&report.service)?;
        rollout.coordination.take_report(report, now);
        Some(rollout.coordination.plan().clone())
    }

    /// Decides on all roll-outs that this router owns, and starts the calls that follow.
    pub fn decide_all(self: &sync::Arc<Self>, now: boot_clock::BootInstant) {
        let mut routers = None;
        for known in self.parts.plans.all_plans(now) {
            let owner = self.parts.owners.owner_of(owner_seed(&known.service));
            let Some(owner) = owner.filter(|owner| owner.is_own) else {
                self.rollouts.lock().remove(&known.service);
                continue;
            };
            if known.phase == plan::RolloutPhase::Complete {
                self.rollouts.lock().remove(&known.service);
                continue;
            }
            let routers = routers.get_or_insert_with(|| self.router_set(owner.reachable_share));
            self.decide(&known, routers, now);
        }
    }

    fn router_set(&self, reachable_share: f64) -> coordination::RouterSet {
        let ready = self.parts.members.ready_members().into_iter();
        coordination::RouterSet {
            ready: ready.map(|member| member.router).collect(),
            reachable_share,
        }
    }

    fn decide(
        self: &sync::Arc<Self>,
        known: &plan::RolloutPlan,
        routers: &coordination::RouterSet,
        now: boot_clock::BootInstant,
    ) {
        let mut rollouts = self.rollouts.lock();
        let is_current = rollouts
            .get(&known.service)
            .is_some_and(|rollout| rollout.coordination.order().version == known.order_version);
        if !is_current {
            let order = self.order_of(known);
            log::info!(
                service = known.service.as_str(), to = known.to.as_str(),
                order = known.order_version, ready = routers.ready.len();
                "coordinating a roll-out"
            );
            let rollout = OwnedRollout {
                coordination: coordination::Coordination::new(order, now),
                is_calling: false,
                next_call_at: now,
            };
            rollouts.insert(known.service.clone(), rollout);
        }
        let Some(rollout) = rollouts.get_mut(&known.service) else {
            return;
        };
        if known.phase == plan::RolloutPhase::Reverted {
            rollout.coordination.revert();
        }
        let before = rollout.coordination.plan().clone();
        let plan = rollout.coordination.decide(routers, self.parts.bounds, now);
        let plan = plan.clone();
        if plan != before {
            self.log_decision(&rollout.coordination, &before);
        }
        let call = (!rollout.is_calling && now >= rollout.next_call_at)
            .then(|| rollout.coordination.store_task(now))
            .flatten();
        rollout.is_calling |= call.is_some();
        drop(rollouts);
        let is_changed = self.parts.plans.take_plan(plan.clone(), now);
        if is_changed && plan.phase.is_final() {
            task::spawn(sync::Arc::clone(self).announce(plan.clone()));
        }
        if let Some(call) = call {
            task::spawn(sync::Arc::clone(self).call_store(plan, call));
        }
    }

    fn order_of(&self, known: &plan::RolloutPlan) -> order::RolloutOrder {
        let order = self.parts.orders.lock().order(&known.service);
        let order = order.filter(|order| order.version == known.order_version);
        order.unwrap_or_else(|| order::RolloutOrder {
            service: known.service.clone(),
            content: order::OrderContent {
                to: known.to.clone(),
                ramp: UNKNOWN_RAMP,
            },
            version: known.order_version,
        })
    }

    fn log_decision(&self, coordination: &coordination::Coordination, before: &plan::RolloutPlan) {
        let plan = coordination.plan();
        let fault = coordination.fault();
        let summary = coordination.summary();
        log::info!(
            service = plan.service.as_str(), to = plan.to.as_str(), order = plan.order_version,
            phase = plan.phase.name(), share_millis = plan.share_millis,
            phase_before = before.phase.name(), share_before = before.share_millis,
            requests = summary.requests, sent_new = summary.sent_new,
            answers_new = summary.answers_new, bad_new = summary.bad_new,
            answers_old = summary.answers_old, bad_old = summary.bad_old,
            routers = summary.routers, fault:? = fault;
            "roll-out plan changed"
        );
        self.parts.counters.count(match plan.phase {
            plan::RolloutPhase::Complete => "rollout.complete",
            plan::RolloutPhase::Reverted => "rollout.reverted",
            _open => "rollout.plan_changed",
        });
    }

    /// Tells all ready routers that a roll-out ended.
    async fn announce(self: sync::Arc<Self>, plan: plan::RolloutPlan) {
        let members = self.parts.members.ready_members().into_iter();
        let tells = members.map(|member| {
            let wire = rollout_wire::RolloutPlanWire::from(plan.clone());
            let link = &self.parts.link;
            async move {
                for _attempt in 0..MAX_TELLS {
                    let query = rollout_wire::RolloutQueryWire::Plan(wire.clone());
                    let query = peer_wire::QueryBody::Rollout(Box::new(query));
                    if link
                        .ask(&member.peer_address, query, TELL_TIMEOUT)
                        .await
                        .is_ok()
                    {
                        return;
                    }
                }
            }
        });
        future::join_all(tells).await;
    }

    async fn call_store(
        self: sync::Arc<Self>,
        plan: plan::RolloutPlan,
        call: coordination::StoreTask,
    ) {
        let asked_at = boot_clock::BootInstant::now();
        let (store, codec) = (self.parts.store.as_ref(), self.parts.codec.as_ref());
        let outcome = match call {
            coordination::StoreTask::Read => {
                let read = rollout_store::read(store, codec, &plan.service).await;
                StoreOutcome::Read(read.ok())
            }
            coordination::StoreTask::Write(wanted) => {
                let write = rollout_store::write(store, codec, &plan.service, &wanted).await;
                StoreOutcome::Written(write.is_ok())
            }
        };
        let mut rollouts = self.rollouts.lock();
        let Some(rollout) = rollouts.get_mut(&plan.service) else {
            return;
        };
        // A later order has its own calls.
        if rollout.coordination.order().version != plan.order_version {
            return;
        }
        rollout.is_calling = false;
        let has_failed = matches!(
            outcome,
            StoreOutcome::Read(None) | StoreOutcome::Written(false)
        );
        if has_failed {
            let now = boot_clock::BootInstant::now();
            rollout.next_call_at = boot_clock::BootInstant(now.0 + STORE_RETRY);
        }
        match outcome {
            StoreOutcome::Read(rows) => rollout.coordination.take_rows(rows, asked_at),
            StoreOutcome::Written(_) => rollout.coordination.end_write(),
        }
    }

    /// Decides until `token` is cancelled.
    pub async fn run(self: sync::Arc<Self>, token: stop_token::StopToken) {
        let deciding = async {
            loop {
                self.decide_all(boot_clock::BootInstant::now());
                task::sleep(DECISION_INTERVAL).await;
            }
        };
        let _stopped = deciding.timeout_at(token).await;
    }
}

/// How a call to the store ended.
enum StoreOutcome {
    /// The rows, if the store answered.
    Read(Option<coordination::StoredRows>),
    /// Whether the write is known to have succeeded.
    Written(bool),
}

/// Seed of the choice of a service's coordinator.
#[must_use]
pub fn owner_seed(service: &str) -> u64 {
    xxh3::xxh3_64(service.as_bytes())
}
