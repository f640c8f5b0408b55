//! The engines to order, as this router sees them.

use std::sync;

use crate::process::config;
use crate::process::endpoint;
use crate::process::issuer;
use crate::process::order;
use crate::process::view;
use crate::version::route;

/// Model services of the version in force, with the engines' newest reports.
#[derive(Clone, Debug)]
pub struct RouterDirectory {
    /// The version in force.
    pub config: sync::Arc<config::ConfigCell>,
    /// The endpoints.
    pub endpoints: sync::Arc<endpoint::EndpointTable>,
    /// The routers.
    pub members: sync::Arc<dyn view::MemberView>,
}

impl issuer::EngineDirectory for RouterDirectory {
    fn services(&self) -> Vec<issuer::ModelService> {
        let Some(version) = self.config.current() else {
            return Vec::new();
        };
        let entries = self.endpoints.all();
        let services = version.services().iter();
        let services = services.filter_map(|service| self.model_service(service, &entries));
        services.collect()
    }

    fn is_candidate(&self, service: &str) -> bool {
        let own = self.members.home().router;
        let ready = self.members.ready_members();
        let routers: Vec<String> = ready.into_iter().map(|member| member.router).collect();
        issuer::is_candidate(service, &own, &routers)
    }
}

impl RouterDirectory {
    fn model_service(
        &self,
        service: &route::ServedService,
        entries: &[sync::Arc<endpoint::EndpointEntry>],
    ) -> Option<issuer::ModelService> {
        let model = service.model.clone()?;
        let entries = entries.iter().filter(|entry| entry.service == service.name);
        Some(issuer::ModelService {
            name: service.name.clone(),
            model,
            engines: entries.map(|entry| self.engine_status(entry)).collect(),
        })
    }

    fn engine_status(&self, entry: &endpoint::EndpointEntry) -> order::EngineStatus {
        let state = self.endpoints.state(entry);
        let is_serving = state == endpoint::EndpointState::Serving;
        order::EngineStatus {
            name: entry.declared.name.clone(),
            address: entry.declared.address.clone(),
            leaving: state == endpoint::EndpointState::Leaving,
            // An engine that cannot be reached now counts as one that does not report.
            report: entry.report().filter(|_report| is_serving),
        }
    }
}
