//! Draws versions by the plans of roll-outs, and counts how the versions do while an order is open.

use std::collections;
use std::sync;
use std::time;

use crate::process::gateway::rollout::{evidence, plan, plan_book};
use crate::process::gateway::{boot_clock, endpoint_fleet};
use crate::request::relay::{rollout, version_choice};

/// Counts of one service since its order became known.
#[derive(Debug)]
struct ServiceTally {
    to: String,
    order_version: u64,
    routes: Vec<evidence::RouteEvidence>,
    requests: u64,
}

impl ServiceTally {
    fn new(plan: &plan::RolloutPlan) -> Self {
        Self {
            to: plan.to.clone(),
            order_version: plan.order_version,
            routes: Vec::new(),
            requests: 0,
        }
    }

    /// Counts of a route and a version.
    fn counts(&mut self, route: &str, version: &str) -> &mut evidence::AnswerCounts {
        let is_new = version == self.to;
        let evidence = self.route(route);
        if is_new {
            &mut evidence.new
        } else {
            &mut evidence.old
        }
    }

    /// Counts of a route: its own, or those of the others beyond [`evidence::MAX_ROUTES`].
    fn route(&mut self, route: &str) -> &mut evidence::RouteEvidence {
        let own = self.routes.iter().position(|known| known.route == route);
        let others = self
            .routes
            .iter()
            .filter(|known| known.route != evidence::OTHER_ROUTES);
        let name = if own.is_some() || others.count() < evidence::MAX_ROUTES {
            route
        } else {
            evidence::OTHER_ROUTES
        };
        let index = self.routes.iter().position(|known| known.route == name);
        let index = index.unwrap_or_else(|| {
            self.routes.push(evidence::RouteEvidence {
                route: name.to_owned(),
                ..Default::default()
            });
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }
}

/// Tallies by service; one for each open order, so as many as the plan book holds at most.
type ServiceTallies = collections::HashMap<String, sync::Arc<parking_lot::Mutex<ServiceTally>>>;

/// The version policy of a gateway.
#[derive(Debug)]
pub struct RolloutPolicy {
    plans: sync::Arc<plan_book::PlanBook>,
    fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    tallies: parking_lot::RwLock<ServiceTallies>,
}

impl RolloutPolicy {
    /// Creates a policy that goes by `plans`; requests in flight are those of `fleet`.
    #[must_use]
    pub fn new(
        plans: sync::Arc<plan_book::PlanBook>,
        fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    ) -> Self {
        Self {
            plans,
            fleet,
            tallies: parking_lot::RwLock::default(),
        }
    }

    fn plan(&self, service: &str) -> Option<plan::RolloutPlan> {
        self.plans.plan(service, boot_clock::BootInstant::now())
    }

    /// Whether the new version seems to have taken over although this router has not been told: no share
    /// is known, and the service has no endpoint of another version. Without this a router that starts
    /// after a roll-out, or that is cut off from the coordinator at its end, would refuse all requests.
    fn has_taken_over(&self, plan: &plan::RolloutPlan) -> bool {
        plan.phase == plan::RolloutPhase::Waiting && self.fleet.has_only(&plan.service, &plan.to)
    }

    /// The tally of a service; `None` unless it has an open order.
    fn tally(&self, service: &str) -> Option<sync::Arc<parking_lot::Mutex<ServiceTally>>> {
        self.tallies.read().get(service).cloned()
    }

    /// The tally of the order of `plan`, which starts with the first call.
    fn tally_of(&self, plan: &plan::RolloutPlan) -> sync::Arc<parking_lot::Mutex<ServiceTally>> {
        let is_current = |tally: &sync::Arc<parking_lot::Mutex<ServiceTally>>| {
            tally.lock().order_version >= plan.order_version
        };
        if let Some(tally) = self.tally(&plan.service).filter(is_current) {
            return tally;
        }
        let mut tallies = self.tallies.write();
        if let Some(tally) = tallies.get(&plan.service).filter(|tally| is_current(tally)) {
            return sync::Arc::clone(tally);
        }
        let tally = sync::Arc::new(parking_lot::Mutex::new(ServiceTally::new(plan)));
        tallies.insert(plan.service.clone(), sync::Arc::clone(&tally));
        tally
    }

    /// Drops the tally of a service whose roll-out has ended.
    fn end_tally(&self, service: &str) {
        if self.tally(service).is_some() {
            self.tallies.write().remove(service);
        }
    }
}

impl rollout::VersionPolicy for RolloutPolicy {
    fn draw(&self, service: &str, random: f64) -> rollout::VersionDraw {
        let Some(plan) = self.plan(service) else {
            return rollout::VersionDraw::Any;
        };
        if self.has_taken_over(&plan) {
            return rollout::VersionDraw::Only(plan.to);
        }
        plan.draw(random)
    }

    fn record_sent(&self, service: &str, version: &str, route: &str) {
        if let Some(tally) = self.tally(service) {
            tally.lock().counts(route, version).sent += 1;
        }
    }

    fn record_answer(
        &self,
        service: &str,
        version: &str,
        route: &str,
        outcome: rollout::VersionOutcome,
        latency: time::Duration,
    ) {
        let Some(tally) = self.tally(service) else {
            return;
        };
        let mut tally = tally.lock();
        let counts = tally.counts(route, version);
        if outcome.is_bad() {
            counts.bad += 1;
        } else {
            counts.latencies.record(latency);
        }
    }

    /// Requests in flight are counted by the fleet, including those sent before the order was known.
    fn record_end(&self, _service: &str, _version: &str, _route: &str) {}
}

impl version_choice::VersionRules for RolloutPolicy {
    fn record_request(&self, service: &str) {
        let Some(plan) = self.plan(service) else {
            return;
        };
        if plan.phase.is_final() {
            return self.end_tally(service);
        }
        self.tally_of(&plan).lock().requests += 1;
    }

    fn may_resume(&self, service: &str, version: &str) -> bool {
        self.plan(service).is_none_or(|plan| {
            if version == plan.to {
                plan.allows_new()
            } else {
                plan.phase != plan::RolloutPhase::Complete
            }
        })
    }
}

impl evidence::EvidenceSource for RolloutPolicy {
    fn report(&self, router: &str, plan: &plan::RolloutPlan) -> evidence::RouterReport {
        let tally = self.tally_of(plan);
        let tally = tally.lock();
        evidence::RouterReport {
            router: router.to_owned(),
            service: plan.service.clone(),
            order_version: plan.order_version,
            routes: tally.routes.clone(),
            in_flight_old: self.fleet.in_flight_besides(&plan.service, &plan.to),
            requests_total: tally.requests,
        }
    }
}
