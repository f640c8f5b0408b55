//! The plans of roll-outs that this router goes by.
//!
//! Ages count on the clock that goes on while the VM is suspended, so that a router that was resumed
//! does not go by the plan from before.

use std::collections;
use std::time;

use crate::process::gateway::boot_clock;
use crate::process::gateway::rollout::plan;

/// Time without a reply of the coordinator after which nothing new is sent to the new version. The
/// coordinator replies every 500 ms; a bad version has to be without requests 5 s after it showed.
pub const MAX_PLAN_AGE: time::Duration = time::Duration::from_secs(2);

/// Maximum number of services with a roll-out; further orders are not followed.
pub const MAX_SERVICES: usize = 256;

#[derive(Clone, Debug)]
struct KnownPlan {
    plan: plan::RolloutPlan,
    taken_at: boot_clock::BootInstant,
}

/// The newest plan of each service.
#[derive(Debug, Default)]
pub struct PlanBook {
    plans: parking_lot::RwLock<collections::BTreeMap<String, KnownPlan>>,
    orders_read_at: parking_lot::Mutex<Option<boot_clock::BootInstant>>,
}

impl PlanBook {
    /// The plan to go by at `now`; `None` if no order is known for the service. Without a reply of the
    /// coordinator for [`MAX_PLAN_AGE`] it has no share for the new version.
    #[must_use]
    pub fn plan(&self, service: &str, now: boot_clock::BootInstant) -> Option<plan::RolloutPlan> {
        let plans = self.plans.read();
        let known = plans.get(service)?;
        let plan = known.plan.clone();
        if now.since(known.taken_at) < MAX_PLAN_AGE {
            return Some(plan);
        }
        Some(plan.without_coordinator())
    }

    /// Takes a plan that is current at `now`; returns whether it changed what this router goes by.
    ///
    /// An order with a greater version replaces the roll-out. Within one order, `Complete` is final, and
    /// `Reverted` yields to `Complete` only, as the old endpoints stop once the store says complete.
    pub fn take_plan(&self, plan: plan::RolloutPlan, now: boot_clock::BootInstant) -> bool {
        let mut plans = self.plans.write();
        let Some(known) = plans.get_mut(&plan.service) else {
            let has_room = plans.len() < MAX_SERVICES;
            if has_room {
                let service = plan.service.clone();
                let known = KnownPlan {
                    plan,
                    taken_at: now,
                };
                plans.insert(service, known);
            }
            return has_room;
        };
        if !replaces(&plan, &known.plan) {
            return false;
        }
        let is_changed = known.plan != plan;
        *known = KnownPlan {
            plan,
            taken_at: now,
        };
        is_changed
    }

    /// Plans of services whose roll-out has not ended, as last taken.
    #[must_use]
    pub fn open_services(&self) -> Vec<plan::RolloutPlan> {
        let plans = self.plans.read();
        let open = plans.values().filter(|known| !known.plan.phase.is_final());
        open.map(|known| known.plan.clone()).collect()
    }

    /// All plans to go by at `now`, in the order of their services.
    #[must_use]
    pub fn all_plans(&self, now: boot_clock::BootInstant) -> Vec<plan::RolloutPlan> {
        let services: Vec<String> = self.plans.read().keys().cloned().collect();
        let plans = services
            .iter()
            .filter_map(|service| self.plan(service, now));
        plans.collect()
    }

    /// Records that the orders were read completely by a query that was sent at `asked_at`.
    pub fn record_orders_read(&self, asked_at: boot_clock::BootInstant) {
        let mut read_at = self.orders_read_at.lock();
        *read_at = (*read_at).max(Some(asked_at));
    }

    /// Time since the orders were last known to be complete; `None` if they never were.
    #[must_use]
    pub fn orders_age(&self, now: boot_clock::BootInstant) -> Option<time::Duration> {
        let read_at = *self.orders_read_at.lock();
        read_at.map(|read_at| now.since(read_at))
    }

    /// Whether the orders were read after `learned_at`, when an endpoint of an unknown version was
    /// learned of. Until then an order may exist that forbids its use.
    #[must_use]
    pub fn has_orders_since(&self, learned_at: boot_clock::BootInstant) -> bool {
        self.orders_read_at
            .lock()
            .is_some_and(|read_at| read_at >= learned_at)
    }
}

fn replaces(plan: &plan::RolloutPlan, known: &plan::RolloutPlan) -> bool {
    if plan.order_version != known.order_version {
        return plan.order_version > known.order_version;
    }
    match known.phase {
        plan::RolloutPhase::Complete => false,
        plan::RolloutPhase::Reverted => plan.phase == plan::RolloutPhase::Complete,
        _open => true,
    }
}
