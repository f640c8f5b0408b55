//! This router's shares of the workspace limits, recomputed from the demand at all routers.

use std::collections;
use std::sync;
use std::time;

use crate::connection::peer_wire;
use crate::process::limits::admission;
use crate::process::limits::admission_params;
use crate::process::limits::limit_split;
use crate::version::route;

/// Interval between recomputations of the shares.
pub const SHARE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Shares of this router by workspace name.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    limits: parking_lot::RwLock<collections::HashMap<String, admission_params::LocalLimit>>,
}

impl WorkspaceShares {
    /// The local limit of a workspace; zero for an undeclared one.
    #[must_use]
    pub fn limit(&self, workspace: &str) -> admission_params::LocalLimit {
        let limits = self.limits.read();
        let limit = limits.get(workspace).copied();
        limit.unwrap_or(admission_params::LocalLimit {
            share: 0,
            max_queue: 0,
        })
    }

    /// Recomputes all shares and passes them to `gate`.
    ///
    /// The limits of `version` are split among `router` and `others`, the other routers that accept
    /// callers. `own` is the demand at `router`.
    pub fn divide(
        &self,
        version: &route::ActiveVersion,
        router: &str,
        own: &[admission::WorkspaceDemand],
        others: &[peer_wire::MemberWire],
        gate: &sync::Arc<admission::AdmissionGate>,
    ) {
        let mut limits = collections::HashMap::new();
        let demands = demands_by_workspace(others);
        let idle_routers = others.iter().map(|member| limit_split::RouterDemand {
            router: &member.router,
            requests: 0,
        });
        let idle_routers: Vec<_> = idle_routers.collect();
        for workspace in version.workspaces() {
            let name = workspace.name.as_str();
            let own_demand = own.iter().find(|demand| demand.workspace == name);
            let own_demand = limit_split::RouterDemand {
                router,
                requests: own_demand.map_or(0, |demand| demand.requests),
            };
            let mut others = idle_routers.clone();
            for (index, requests) in demands.get(name).into_iter().flatten() {
                others[*index].requests = *requests;
            }
            let share =
                limit_split::split_limit(workspace.max_in_flight, name, own_demand, &others);
            let limit = admission_params::LocalLimit {
                share,
                max_queue: workspace.max_queue,
            };
            gate.update_share(name, limit);
            limits.insert(name.to_owned(), limit);
        }
        *self.limits.write() = limits;
    }
}

/// Groups demand by workspace, as pairs of index into `members` and number of requests.
fn demands_by_workspace(
    members: &[peer_wire::MemberWire],
) -> collections::HashMap<&str, Vec<(usize, u32)>> {
    let mut demands: collections::HashMap<&str, Vec<(usize, u32)>> = collections::HashMap::new();
    for (index, member) in members.iter().enumerate() {
        for demand in &member.demand {
            let entry = demands.entry(&demand.workspace).or_default();
            entry.push((index, demand.requests));
        }
    }
    demands
}
