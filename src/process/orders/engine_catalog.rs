//! Catalog of model services and engines for the order issuer, built from the active configuration
//! version and the load reports.

use std::sync;

use crate::process::endpoints::endpoint_entry;
use crate::process::endpoints::endpoint_table;
use crate::process::orders::issuer;
use crate::process::orders::order_planner;
use crate::process::readiness;
use crate::process::versions::config;
use crate::process::view;

/// Services of the active version, with their engines' reports.
#[derive(Debug)]
pub struct EngineCatalog {
    /// Holds the active configuration version.
    pub config: sync::Arc<config::ConfigCell>,
    /// Endpoints with their load reports.
    pub endpoints: sync::Arc<endpoint_table::EndpointTable>,
    /// Live routers, from which the lease candidates are chosen.
    pub members: sync::Arc<dyn view::MemberView>,
    /// Tells whether this router may be a lease candidate.
    pub readiness: sync::Arc<readiness::RouterReadiness>,
}

impl EngineCatalog {
    fn engine_status(&self, entry: &endpoint_entry::EndpointEntry) -> order_planner::EngineStatus {
        let state = self.endpoints.state(entry);
        let is_serving = state == endpoint_entry::EndpointState::Serving;
        order_planner::EngineStatus {
            name: entry.declared.name.clone(),
            address: entry.declared.address.clone(),
            leaving: state == endpoint_entry::EndpointState::Leaving,
            // An engine that is currently unreachable is treated like one without a report.
            report: entry.report().filter(|_report| is_serving),
        }
    }
}

impl issuer::EngineDirectory for EngineCatalog {
    fn services(&self) -> Vec<issuer::ModelService> {
        let Some(version) = self.config.current() else {
            return Vec::new();
        };
        let entries = self.endpoints.all();
        let mut services = Vec::new();
        for service in version.services() {
            let Some(model) = &service.model else {
                continue;
            };
            let own = entries.iter().filter(|entry| entry.service == service.name);
            services.push(issuer::ModelService {
                name: service.name.clone(),
                model: model.clone(),
                engines: own.map(|entry| self.engine_status(entry)).collect(),
            });
        }
        services
    }

    fn is_candidate(&self, service: &str) -> bool {
        if !self.readiness.may_be_listed() {
            return false;
        }
        let own = self.members.home().router;
        let ready = self.members.ready_members();
        let routers: Vec<String> = ready.into_iter().map(|member| member.router).collect();
        issuer::is_candidate(service, &own, &routers)
    }
}
