//! Components of one router that its requests share, and its replies to peers and operators.

use std::sync;
use std::time;

use async_std::channel;
use futures::FutureExt as _;
use futures::future;

use crate::connection::peer;
use crate::connection::peer_wire;
use crate::process::endpoints::endpoint_table;
use crate::process::endpoints::watch;
use crate::process::limits::admission;
use crate::process::limits::admission_params;
use crate::process::limits::caller_memory;
use crate::process::limits::share;
use crate::process::members::address;
use crate::process::members::gossip;
use crate::process::readiness;
use crate::process::registry;
use crate::process::setup::settings;
use crate::process::telemetry::metrics;
use crate::process::telemetry::status;
use crate::process::telemetry::timeline;
use crate::process::versions::config;
use crate::process::view;
use crate::request::call;
use crate::request::intake;
use crate::request::key;
use crate::request::verdict;
use crate::version::route;

/// Components of one router.
#[derive(Debug)]
pub struct RouterNode {
    /// Settings of the process.
    pub settings: settings::RouterSettings,
    /// Events of the process.
    pub ring: sync::Arc<timeline::EventRing>,
    /// Counters of the process.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
    /// Active configuration version.
    pub config: sync::Arc<config::ConfigCell>,
    /// Gossip with the other routers.
    pub gossip: sync::Arc<gossip::GossipNode>,
    /// View of the membership for request handling.
    pub members: sync::Arc<dyn view::MemberView>,
    /// Endpoints of the active version.
    pub endpoints: sync::Arc<endpoint_table::EndpointTable>,
    /// Generations of the process.
    pub registry: sync::Arc<registry::GenerationRegistry>,
    /// Finds or starts generations.
    pub intake: intake::GenerationIntake,
    /// Runs calls to plain services.
    pub calls: call::CallRunner,
    /// Admits requests by workspace.
    pub gate: sync::Arc<admission::AdmissionGate>,
    /// Memory for request bodies and answers of callers.
    pub caller_memory: sync::Arc<caller_memory::CallerMemory>,
    /// This router's shares of the workspace limits.
    pub shares: share::WorkspaceShares,
    /// Counter of requests in flight, from callers and for peers.
    pub requests: readiness::RequestCounter,
    /// Readiness to accept and send work.
    pub readiness: sync::Arc<readiness::RouterReadiness>,
    /// Reads load reports and the VM list.
    pub watcher: watch::EndpointWatcher,
    /// Sender of drain requests.
    pub drain_sender: channel::Sender<()>,
}

impl RouterNode {
    /// Home name for new keys.
    #[must_use]
    pub fn home(&self) -> key::HomeName {
        self.members.home()
    }

    /// Version used to serve requests; `None` while the router is not ready.
    #[must_use]
    pub fn serving_version(&self) -> Option<sync::Arc<route::ActiveVersion>> {
        if !self.readiness.may_serve() {
            return None;
        }
        self.config.current()
    }

    /// Router addresses for a caller, preferably in the given availability zone.
    #[must_use]
    pub fn address_answer(&self, zone: Option<&str>) -> address::AddressAnswer {
        let own = self.home().router;
        let mut ready = self.members.ready_members();
        if !self.readiness.may_be_listed() {
            ready.retain(|member| member.router != own);
        }
        let addresses = address::preferred(ready, zone, &mut fastrand::Rng::new());
        address::AddressAnswer {
            addresses,
            keep_ms: self.settings.address_keep_ms,
        }
    }

    /// Waits until the workspace's share admits one more request.
    ///
    /// # Errors
    /// A refusal if the wait would be too long.
    pub async fn admit(
        &self,
        workspace: &str,
        priority: admission_params::Priority,
        deadline: time::Instant,
    ) -> verdict::Result<admission::AdmissionPermit> {
        let limit = self.shares.limit(workspace);
        self.gate.admit(workspace, limit, priority, deadline).await
    }

    /// Recomputes the shares of the workspace limits from the demand of all routers.
    pub fn update_shares(&self) {
        let own = self.gate.demand(time::Instant::now());
        let demand = own.iter().map(|demand| peer_wire::DemandWire {
            workspace: demand.workspace.clone(),
            requests: demand.requests,
        });
        self.gossip.set_demand(demand.collect());
        let Some(version) = self.config.current() else {
            return;
        };
        let router = &self.settings.router;
        let others = self.members.ready_members();
        self.shares
            .divide(&version, router, &own, &others, &self.gate);
    }

    /// Bytes held for callers.
    fn caller_bytes(&self) -> u64 {
        u64::try_from(self.caller_memory.held()).unwrap_or(u64::MAX)
    }

    /// Sets the gauges of the process.
    pub fn update_gauges(&self) {
        self.metrics.gauge("caller.held_bytes", self.caller_bytes());
    }

    /// Counts a refusal and records it as an event.
    pub fn record_refusal(&self, refusal: &verdict::RequestRefusal) {
        self.metrics.count("request.refused");
        let code = serde_json::to_value(refusal.code).unwrap_or_default();
        self.ring.record(
            None,
            timeline::EventKind::Refused {
                code: code.as_str().unwrap_or_default().to_owned(),
                verdict: refusal.verdict.to_string(),
            },
        );
    }

    /// Asks the process to drain and stop; asking again has no effect.
    pub fn request_drain(&self) {
        // A full channel means that a drain has already been requested.
        let _asked_before = self.drain_sender.try_send(());
    }

    /// Status report for operators.
    #[must_use]
    pub fn status(&self) -> status::RouterStatus {
        let endpoints = self.endpoints.all();
        let endpoints = endpoints
            .iter()
            .map(|entry| status::EndpointStatus::new(entry, self.endpoints.state(entry)));
        let counters = self.metrics.snapshot();
        status::RouterStatus {
            router: self.settings.router.clone(),
            home: self.home().to_string(),
            zone: self.settings.zone.clone(),
            state: self.readiness.name().to_owned(),
            config: self.config.number(),
            members: self
                .gossip
                .members()
                .into_iter()
                .map(status::MemberStatus::from)
                .collect(),
            endpoints: endpoints.collect(),
            workspaces: self.workspace_statuses(),
            rollouts: Vec::new(),
            caller_bytes: self.caller_bytes(),
            counters: counters
                .into_iter()
                .map(|(name, count)| (name.to_owned(), count))
                .collect(),
        }
    }

    fn workspace_statuses(&self) -> Vec<status::WorkspaceStatus> {
        let Some(version) = self.config.current() else {
            return Vec::new();
        };
        let demand = self.gate.demand(time::Instant::now());
        let status = |workspace: &route::ServedWorkspace| {
            let own = demand
                .iter()
                .find(|demand| demand.workspace == workspace.name);
            status::WorkspaceStatus {
                name: workspace.name.clone(),
                max_in_flight: workspace.max_in_flight,
                share: self.shares.limit(&workspace.name).share,
                demand: own.map_or(0, |demand| demand.requests),
            }
        };
        version.workspaces().iter().map(status).collect()
    }

    async fn reply(&self, query: peer_wire::QueryBody) -> peer_wire::ReplyBody {
        if let Some(reply) = self.gossip.handle_query(&query).await {
            return reply;
        }
        match query {
            peer_wire::QueryBody::TakeOver {
                key,
                workspace,
                router,
            } => {
                let handed = self.intake.hand_over(workspace, key, router).await;
                peer_wire::ReplyBody::TakeOver(handed)
            }
            peer_wire::QueryBody::Call(wire) => {
                let _request = self.requests.enter();
                peer_wire::ReplyBody::Call(self.calls.run_at_home(wire).await)
            }
            peer_wire::QueryBody::NewerVersion { number } => {
                peer_wire::ReplyBody::NewerVersion(self.config.update_since(number))
            }
            _ => peer_wire::ReplyBody::Refused("the query is not known here".to_owned()),
        }
    }
}

impl peer::PeerHandler for RouterNode {
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody> {
        self.reply(query).boxed()
    }
}
