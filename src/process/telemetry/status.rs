//! What a router tells operators about itself, as JSON.

use std::collections;

use crate::connection::peer_wire;
use crate::process::endpoints::endpoint_entry;
use crate::process::members::member_rank;

/// State of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouterStatus {
    /// Router name.
    pub router: String,
    /// Home name of new keys.
    pub home: String,
    /// Availability zone.
    pub zone: String,
    /// `joining`, `ready` or `draining`.
    pub state: String,
    /// Configuration number in force; 0 before the first.
    pub config: u64,
    /// Routers that this one knows.
    pub members: Vec<MemberStatus>,
    /// Endpoints of the version in force.
    pub endpoints: Vec<EndpointStatus>,
    /// Workspaces of the version in force.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Counters since the start.
    pub counters: collections::BTreeMap<String, u64>,
}

/// One router as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberStatus {
    /// Router name.
    pub router: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: String,
    /// Its availability zone.
    pub zone: String,
    /// Configuration number in force at it.
    pub config: u64,
    /// Address for callers.
    pub caller_address: String,
    /// Address for operators.
    pub admin_address: String,
}

impl From<peer_wire::MemberWire> for MemberStatus {
    fn from(member: peer_wire::MemberWire) -> Self {
        let rank = member_rank::MemberRank::try_from(member.rank);
        Self {
            router: member.router,
            incarnation: member.incarnation,
            state: rank
                .map_or("unknown", member_rank::MemberRank::as_str)
                .to_owned(),
            zone: member.zone,
            config: member.config,
            caller_address: member.caller_address,
            admin_address: member.admin_address,
        }
    }
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointStatus {
    /// Endpoint name.
    pub name: String,
    /// Service name.
    pub service: String,
    /// IP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// State.
    pub state: endpoint_entry::EndpointState,
    /// Requests that it generates, as reported.
    pub running: u32,
    /// Requests that wait there, as reported.
    pub waiting: u32,
    /// Requests that it takes at the same time.
    pub slots: u32,
    /// Requests of this router at it.
    pub in_flight: u32,
    /// Models that it holds, as `<model>/<version>`.
    pub versions: Vec<String>,
}

impl EndpointStatus {
    /// Status of an endpoint in the given state.
    #[must_use]
    pub fn new(
        entry: &endpoint_entry::EndpointEntry,
        state: endpoint_entry::EndpointState,
    ) -> Self {
        let report = entry.report().unwrap_or_default();
        let loaded = report.loaded.iter();
        Self {
            name: entry.declared.name.clone(),
            service: entry.service.clone(),
            address: entry.declared.address.clone(),
            zone: entry.declared.zone.clone(),
            state,
            running: report.running,
            waiting: report.waiting,
            slots: entry.declared.slots,
            in_flight: entry.in_flight(),
            versions: loaded
                .map(|model| format!("{}/{}", model.model, model.version))
                .collect(),
        }
    }
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WorkspaceStatus {
    /// Workspace name.
    pub name: String,
    /// Requests in flight over all routers at most.
    pub max_in_flight: u32,
    /// This router's share of them.
    pub share: u32,
    /// Requests running, waiting and lately refused at this router.
    pub demand: u32,
}
