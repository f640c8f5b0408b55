//! Plans the orders that make the engines of a service load the declared model.
//!
//! Works by reconciliation: the planner remembers only the latest order to each engine and compares
//! the engine's reported state with the wanted one. An engine that executed a stale order,
//! restarted or lost an order reports a different state and gets a new order.

use std::collections;
use std::time;

use crate::connection::engine_wire;
use crate::process::orders::load_pacer;
use crate::version::declaration;

/// Time after which an order is repeated if the engine still reports another state; allows for the
/// load time and the delay of the report.
pub const REPEAT_AFTER: time::Duration = time::Duration::from_secs(30);

/// Delay before a failed order is retried.
pub const RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Time for which the previous model version stays loaded after all engines have loaded the
/// declared one, so that running generations can resume at another engine.
pub const PREVIOUS_RETENTION: time::Duration = time::Duration::from_secs(600);

/// At most one in this many engines of a service loads at a time, but always at least one.
pub const LOADING_DIVISOR: usize = 4;

/// Status of an engine, as the order issuer sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Endpoint name.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Whether the endpoint is leaving; it gets no orders then.
    pub leaving: bool,
    /// Latest load report; `None` before the first one or while the engine is not serving.
    pub report: Option<engine_wire::EngineReport>,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Endpoint name.
    pub endpoint: String,
    /// IP address and port.
    pub address: String,
    /// State that the engine should reach.
    pub wanted: engine_wire::WantedState,
}

/// The latest order to an engine.
#[derive(Clone, Debug)]
struct SentOrder {
    wanted: engine_wire::WantedState,
    incarnation: u64,
    /// When the order is repeated if the engine still reports another state.
    repeat_at: time::Instant,
    has_failed: bool,
}

impl SentOrder {
    /// Whether the engine may still be executing the order; a restart loses it.
    fn is_recent(&self, now: time::Instant, report: &engine_wire::EngineReport) -> bool {
        self.incarnation == report.incarnation && now < self.repeat_at
    }
}

/// Plans the orders of one service.
#[derive(Clone, Debug, Default)]
pub struct OrderPlanner {
    sent: collections::HashMap<String, SentOrder>,
    /// Since when all reporting engines have `complete_model` loaded; `None` if one has not.
    complete_since: Option<time::Instant>,
    /// Declared model that `complete_since` refers to.
    complete_model: Option<engine_wire::LoadedModel>,
}

impl OrderPlanner {
    /// Creates a planner without any sent orders.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the orders to send at `now` and records them as sent.
    ///
    /// Orders that load weights are limited by `pacer` and by the number of engines that are
    /// already loading.
    pub fn plan(
        &mut self,
        now: time::Instant,
        model: &declaration::DeclaredModel,
        engines: &[EngineStatus],
        pacer: &mut load_pacer::LoadPacer,
    ) -> Vec<PlannedOrder> {
        let target = loaded_model(model);
        let mut reported = reported_engines(engines);
        self.sent
            .retain(|name, _order| engines.iter().any(|engine| engine.name == *name));
        self.update_completion(now, &target, &reported);
        // Failed engines come last, so that unreachable ones do not use up the rate. Then engines
        // without any model come first, since they serve no requests, and then the least busy ones.
        reported.sort_by_key(|(engine, report)| {
            let order = self.sent.get(&engine.name);
            (
                order.is_some_and(|order| order.has_failed),
                !report.loaded.is_empty(),
                report.running,
                engine.name.clone(),
            )
        });
        let mut loading = self.loading_count(now, &target, &reported);
        let max_loading = reported.len().div_ceil(LOADING_DIVISOR).max(1);
        let mut orders = Vec::new();
        for (engine, report) in reported {
            let wanted = self.wanted_state(now, &target, report);
            if is_reached(&wanted, report) {
                // The order is complete; if the reported state changes later, a new one is needed.
                self.sent.remove(&engine.name);
                continue;
            }
            if self.is_in_flight(now, engine, report, &wanted) {
                continue;
            }
            let is_load = !report.loaded.contains(&target);
            if is_load && (loading >= max_loading || !pacer.take(now)) {
                continue;
            }
            loading += usize::from(is_load);
            self.record_sent(now, engine, report, &wanted);
            orders.push(PlannedOrder {
                endpoint: engine.name.clone(),
                address: engine.address.clone(),
                wanted,
            });
        }
        orders
    }

    /// Records that sending an order failed; it is retried after [`RETRY_AFTER`].
    pub fn record_failure(&mut self, now: time::Instant, endpoint: &str) {
        if let Some(order) = self.sent.get_mut(endpoint) {
            order.repeat_at = now + RETRY_AFTER;
            order.has_failed = true;
        }
    }

    fn update_completion(
        &mut self,
        now: time::Instant,
        target: &engine_wire::LoadedModel,
        reported: &[(&EngineStatus, &engine_wire::EngineReport)],
    ) {
        let is_complete = reported
            .iter()
            .all(|(_engine, report)| report.loaded.contains(target));
        if !is_complete || self.complete_model.as_ref() != Some(target) {
            self.complete_model = Some(target.clone());
            self.complete_since = None;
        }
        if is_complete && self.complete_since.is_none() {
            self.complete_since = Some(now);
        }
    }

    /// State that the engine should reach: the declared model and, until [`PREVIOUS_RETENTION`]
    /// after all engines have loaded it, the previous version if this engine has it loaded.
    fn wanted_state(
        &self,
        now: time::Instant,
        target: &engine_wire::LoadedModel,
        report: &engine_wire::EngineReport,
    ) -> engine_wire::WantedState {
        let is_expired = |since: time::Instant| now >= since + PREVIOUS_RETENTION;
        let is_previous_needed = !self.complete_since.is_some_and(is_expired);
        // Only another version of the same model can have running generations of this service.
        let is_previous =
            |held: &&engine_wire::LoadedModel| held.model == target.model && *held != target;
        let previous = report.loaded.iter().rfind(is_previous);
        let previous = previous.filter(|_model| is_previous_needed);
        let loaded = std::iter::once(target).chain(previous);
        engine_wire::WantedState {
            loaded: loaded.cloned().collect(),
            role: engine_wire::ROLE_SERVE.to_owned(),
        }
    }

    fn is_in_flight(
        &self,
        now: time::Instant,
        engine: &EngineStatus,
        report: &engine_wire::EngineReport,
        wanted: &engine_wire::WantedState,
    ) -> bool {
        let sent = self.sent.get(&engine.name);
        sent.is_some_and(|order| order.wanted == *wanted && order.is_recent(now, report))
    }

    fn loading_count(
        &self,
        now: time::Instant,
        target: &engine_wire::LoadedModel,
        reported: &[(&EngineStatus, &engine_wire::EngineReport)],
    ) -> usize {
        let loading = reported.iter().filter(|(engine, report)| {
            let order = self.sent.get(&engine.name);
            let is_loading = order.is_some_and(|order| {
                order.is_recent(now, report) && order.wanted.loaded.contains(target)
            });
            is_loading && !report.loaded.contains(target)
        });
        loading.count()
    }

    fn record_sent(
        &mut self,
        now: time::Instant,
        engine: &EngineStatus,
        report: &engine_wire::EngineReport,
        wanted: &engine_wire::WantedState,
    ) {
        let order = SentOrder {
            wanted: wanted.clone(),
            incarnation: report.incarnation,
            repeat_at: now + REPEAT_AFTER,
            has_failed: false,
        };
        self.sent.insert(engine.name.clone(), order);
    }
}

/// Engines that can get orders: those that report and are not leaving.
fn reported_engines(engines: &[EngineStatus]) -> Vec<(&EngineStatus, &engine_wire::EngineReport)> {
    let reported = engines.iter().filter_map(|engine| {
        let report = engine.report.as_ref()?;
        (!engine.leaving && !report.leaving).then_some((engine, report))
    });
    reported.collect()
}

/// Whether the engine reports the wanted state, ignoring the order of models. An empty role means
/// that the engine serves.
fn is_reached(wanted: &engine_wire::WantedState, report: &engine_wire::EngineReport) -> bool {
    let role = if report.role.is_empty() {
        engine_wire::ROLE_SERVE
    } else {
        &report.role
    };
    role == wanted.role
        && wanted.loaded.len() == report.loaded.len()
        && wanted
            .loaded
            .iter()
            .all(|model| report.loaded.contains(model))
}

/// Converts a declared model to the form that engines report.
#[must_use]
pub fn loaded_model(model: &declaration::DeclaredModel) -> engine_wire::LoadedModel {
    engine_wire::LoadedModel {
        model: model.name.clone(),
        version: model.version.clone(),
        adapter: model.adapter.clone(),
    }
}
