//! Router status as served to operators in JSON.

use std::collections;

use crate::connection::peer_wire;
use crate::process::endpoints::endpoint_entry;
use crate::process::members::member_rank;

/// Status of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouterStatus {
    /// Router name.
    pub router: String,
    /// Home name that this router puts into new request keys.
    pub home: String,
    /// Availability zone.
    pub zone: String,
    /// `joining`, `ready` or `draining`.
    pub state: String,
    /// Active configuration version; 0 before the first one is loaded.
    pub config: u64,
    /// Routers known to this router.
    pub members: Vec<MemberStatus>,
    /// Endpoints in the active configuration version.
    pub endpoints: Vec<EndpointStatus>,
    /// Workspaces in the active configuration version.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Roll-outs that the router knows; absent in the status of earlier versions.
    #[serde(default)]
    pub rollouts: Vec<RolloutStatus>,
    /// Bytes held for callers; 0 from routers that do not report it.
    #[serde(default)]
    pub caller_bytes: u64,
    /// Counter values since process start, by name.
    pub counters: collections::BTreeMap<String, u64>,
}

/// Another router's state as known to this router.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberStatus {
    /// Router name.
    pub router: String,
    /// Incarnation number of the router process.
    pub incarnation: u64,
    /// Membership state; `unknown` when the received value is not recognized.
    pub state: String,
    /// Availability zone.
    pub zone: String,
    /// Configuration version active on that router.
    pub config: u64,
    /// Address that serves callers.
    pub caller_address: String,
    /// Address of the operator interface.
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

/// Status of one endpoint.
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
    /// State as seen by this router.
    pub state: endpoint_entry::EndpointState,
    /// Requests being generated, as reported by the endpoint.
    pub running: u32,
    /// Requests queued at the endpoint, as reported by it.
    pub waiting: u32,
    /// Declared number of concurrent requests.
    pub slots: u32,
    /// Requests from this router in flight at the endpoint.
    pub in_flight: u32,
    /// Loaded models, as `<model>/<version>`.
    pub versions: Vec<String>,
}

impl EndpointStatus {
    /// Builds the status from the entry's declaration and its latest report, with `state`.
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

/// A roll-out as one router goes by it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RolloutStatus {
    /// Service name.
    pub service: String,
    /// Version that the traffic moves to.
    pub to: String,
    /// `waiting`, `ramping`, `draining`, `complete` or `reverted`.
    pub phase: String,
    /// Share of new requests for the version, in thousandths.
    pub share_millis: u16,
}

/// Concurrency limit and usage of one workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WorkspaceStatus {
    /// Workspace name.
    pub name: String,
    /// Maximum requests in flight across all routers.
    pub max_in_flight: u32,
    /// This router's share of `max_in_flight`.
    pub share: u32,
    /// Requests running, queued and recently refused at this router.
    pub demand: u32,
}
