//! Order issuer: for each model service, the router that holds its lease sends orders to the
//! engines, which load models accordingly.

use std::collections;
use std::fmt;
use std::sync;
use std::time;

use async_std::task;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::engine_wire;
use crate::connection::order_client;
use crate::connection::platform;
use crate::process::orders::lease;
use crate::process::orders::load_pacer;
use crate::process::orders::order_planner;
use crate::process::telemetry::timeline;
use crate::version::declaration;

/// Interval between rounds.
pub const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum calls to the table service per lease and round.
const MAX_LEASE_STEPS: u32 = 3;

/// Timeout for releasing all leases when the process stops.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Number of routers that may take the lease of a service, including the holder.
pub const CANDIDATES_PER_SERVICE: usize = 2;

/// Name of the lease of a service.
#[must_use]
pub fn lease_name(service: &str) -> String {
    format!("orders/{service}")
}

/// Whether the router `own` may take the lease of `service`, by rendezvous hashing over `routers`.
///
/// Routers with the same member list choose the same candidates. If their lists differ, there are
/// more or fewer candidates, but the lease still admits only one holder.
#[must_use]
pub fn is_candidate(service: &str, own: &str, routers: &[String]) -> bool {
    if !routers.iter().any(|router| router == own) {
        return false;
    }
    let score = |router: &str| {
        let text = format!("{service}/{router}");
        xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    };
    let own_score = score(own);
    let ranked_higher = routers.iter().filter(|router| score(router) > own_score);
    ranked_higher.count() < CANDIDATES_PER_SERVICE
}

/// Source of the model services and their engines, as this router sees them.
pub trait EngineDirectory: fmt::Debug + Send + Sync {
    /// Model services of the active configuration version.
    fn services(&self) -> Vec<ModelService>;

    /// Whether this router may take or keep the lease of `service`.
    fn is_candidate(&self, service: &str) -> bool;
}

/// A model service with its engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelService {
    /// Service name.
    pub name: String,
    /// Declared model.
    pub model: declaration::DeclaredModel,
    /// Status of the service's engines.
    pub engines: Vec<order_planner::EngineStatus>,
}

/// Maintains leases and issues orders for all model services.
#[derive(Debug)]
pub struct OrderIssuer {
    router: String,
    platform: sync::Arc<dyn platform::PlatformService>,
    sink: sync::Arc<dyn order_client::OrderSink>,
    directory: sync::Arc<dyn EngineDirectory>,
    ring: sync::Arc<timeline::EventRing>,
    services: parking_lot::Mutex<collections::HashMap<String, sync::Arc<ServiceIssuer>>>,
}

/// Lease and planner of one service; rounds do not overlap.
#[derive(Debug)]
struct ServiceIssuer {
    lease: parking_lot::Mutex<lease::LeaseState>,
    plan: parking_lot::Mutex<IssuerPlan>,
}

#[derive(Debug)]
struct IssuerPlan {
    /// Fencing number under which the orders were planned; a new number starts a new plan.
    fence: Option<u64>,
    planner: order_planner::OrderPlanner,
    pacer: load_pacer::LoadPacer,
}

impl OrderIssuer {
    /// Creates an issuer that holds no lease.
    #[must_use]
    pub fn new(
        router: String,
        platform: sync::Arc<dyn platform::PlatformService>,
        sink: sync::Arc<dyn order_client::OrderSink>,
        directory: sync::Arc<dyn EngineDirectory>,
        ring: sync::Arc<timeline::EventRing>,
    ) -> Self {
        Self {
            router,
            platform,
            sink,
            directory,
            ring,
            services: parking_lot::Mutex::default(),
        }
    }

    /// Runs rounds until `token` is cancelled, then releases all leases.
    pub async fn run(&self, token: stop_token::StopToken) {
        let rounds = async {
            loop {
                self.round().await;
                task::sleep(ROUND_INTERVAL).await;
            }
        };
        let _stopped: Result<(), _> = rounds.timeout_at(token).await;
        // Leases not released within the timeout expire.
        let _released = async_std::future::timeout(RELEASE_TIMEOUT, self.release_all()).await;
    }

    /// Fencing number for orders to the engines of `service`; `None` if the lease is not held.
    #[must_use]
    pub fn fence(&self, service: &str) -> Option<u64> {
        let issuer = self.services.lock().get(service).cloned()?;
        let lease = issuer.lease.lock();
        lease.fence(time::Instant::now())
    }

    /// Whether this router holds the lease of any service.
    ///
    /// A holder must read the configuration from the table service itself, so that it does not send
    /// orders from a stale version for long.
    #[must_use]
    pub fn holds_lease(&self) -> bool {
        let now = time::Instant::now();
        let services = self.services.lock();
        services
            .values()
            .any(|issuer| issuer.lease.lock().may_act(now))
    }

    /// Runs one round: renews or acquires leases, then sends the orders that are due.
    pub async fn round(&self) {
        let services = self.directory.services();
        let issuer_count = services.len();
        let rounds = services
            .iter()
            .map(|service| self.service_round(service, issuer_count));
        future::join_all(rounds).await;
        self.release_undeclared(&services).await;
    }

    async fn service_round(&self, service: &ModelService, issuer_count: usize) {
        let issuer = self.issuer(&service.name, issuer_count);
        let is_wanted = self.directory.is_candidate(&service.name);
        self.step_lease(&service.name, &issuer, is_wanted).await;
        let orders = issuer.plan(service, issuer_count);
        let sends = orders.iter().map(|order| self.send(&issuer, order));
        future::join_all(sends).await;
    }

    fn issuer(&self, service: &str, issuer_count: usize) -> sync::Arc<ServiceIssuer> {
        let mut services = self.services.lock();
        let issuer = services.entry(service.to_owned()).or_insert_with(|| {
            let state = lease::LeaseState::new(lease_name(service), self.router.clone());
            sync::Arc::new(ServiceIssuer {
                lease: parking_lot::Mutex::new(state),
                plan: parking_lot::Mutex::new(IssuerPlan::new(None, issuer_count)),
            })
        });
        sync::Arc::clone(issuer)
    }

    async fn step_lease(&self, service: &str, issuer: &ServiceIssuer, is_wanted: bool) {
        let before = issuer.lease.lock().fence(time::Instant::now());
        for _step in 0..MAX_LEASE_STEPS {
            let nonce = uuid::Uuid::new_v4().simple().to_string();
            let step = issuer
                .lease
                .lock()
                .next(time::Instant::now(), is_wanted, &nonce);
            match step {
                lease::LeaseStep::Wait(_time) => break,
                lease::LeaseStep::Read => {
                    let row = lease::lease_row(&lease_name(service));
                    let rows = self.platform.read(vec![row]).await;
                    let row = rows.map(|rows| rows.into_iter().next().flatten());
                    issuer.lease.lock().on_read(time::Instant::now(), &row);
                }
                lease::LeaseStep::Write(write) => {
                    let outcome = self.platform.write(vec![write]).await;
                    issuer.lease.lock().on_write(time::Instant::now(), &outcome);
                }
            }
        }
        let after = issuer.lease.lock().fence(time::Instant::now());
        self.record_lease(service, before, after);
    }

    fn record_lease(&self, service: &str, before: Option<u64>, after: Option<u64>) {
        if before == after {
            return;
        }
        let Some(fence) = after.or(before) else {
            return;
        };
        let kind = timeline::EventKind::LeaseChanged {
            lease: lease_name(service),
            fence,
            held: after.is_some(),
        };
        self.ring.record(None, kind);
    }

    async fn send(&self, issuer: &ServiceIssuer, planned: &order_planner::PlannedOrder) {
        // The lease may have expired since the order was planned.
        let fence = issuer.lease.lock().fence(time::Instant::now());
        let Some(fence) = fence else {
            issuer.record_failure(planned);
            return;
        };
        let order = engine_wire::EngineOrder {
            fence,
            wanted: planned.wanted.clone(),
        };
        if self.sink.send(&planned.address, &order).await.is_err() {
            issuer.record_failure(planned);
            return;
        }
        let kind = timeline::EventKind::OrderSent {
            endpoint: planned.endpoint.clone(),
            fence,
        };
        self.ring.record(None, kind);
    }

    async fn release_undeclared(&self, services: &[ModelService]) {
        let is_declared = |name: &str| services.iter().any(|service| service.name == name);
        let undeclared: Vec<_> = {
            let mut known = self.services.lock();
            known
                .extract_if(|name, _issuer| !is_declared(name))
                .collect()
        };
        for (name, issuer) in undeclared {
            self.step_lease(&name, &issuer, false).await;
        }
    }

    async fn release_all(&self) {
        let services: Vec<_> = self.services.lock().drain().collect();
        let releases = services
            .iter()
            .map(|(name, issuer)| self.step_lease(name, issuer, false));
        future::join_all(releases).await;
    }
}

impl ServiceIssuer {
    fn record_failure(&self, planned: &order_planner::PlannedOrder) {
        let now = time::Instant::now();
        self.plan
            .lock()
            .planner
            .record_failure(now, &planned.endpoint);
    }

    /// Orders that are due; empty if the lease is not held.
    fn plan(
        &self,
        service: &ModelService,
        issuer_count: usize,
    ) -> Vec<order_planner::PlannedOrder> {
        let now = time::Instant::now();
        let Some(fence) = self.lease.lock().fence(now) else {
            return Vec::new();
        };
        let mut plan = self.plan.lock();
        if plan.fence != Some(fence) {
            *plan = IssuerPlan::new(Some(fence), issuer_count);
        }
        let IssuerPlan { planner, pacer, .. } = &mut *plan;
        pacer.set_issuer_count(now, issuer_count);
        planner.plan(now, &service.model, &service.engines, pacer)
    }
}

impl IssuerPlan {
    fn new(fence: Option<u64>, issuer_count: usize) -> Self {
        Self {
            fence,
            planner: order_planner::OrderPlanner::new(),
            pacer: load_pacer::LoadPacer::new(time::Instant::now(), issuer_count),
        }
    }
}
