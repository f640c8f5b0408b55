//! Table of the endpoints declared in the active configuration version, with endpoint selection.

use std::collections;
use std::sync;

use crate::process::endpoints::endpoint_entry;
use crate::process::endpoints::placement;
use crate::process::endpoints::prefix_index;
use crate::process::endpoints::subset;
use crate::process::view;
use crate::version::declaration;

/// Maximum number of endpoints of one service that a router sends new requests to.
pub const SUBSET_SIZE: usize = 128;

slotmap::new_key_type! {
    /// Identifies an endpoint in the table.
    pub struct EndpointKey;
}

/// The endpoints of all services, replaced as a whole when a new version becomes active.
#[derive(Debug)]
pub struct EndpointTable {
    router: String,
    zone: String,
    policy: Box<dyn placement::PlacementPolicy>,
    leaving: sync::Arc<dyn view::LeavingView>,
    arena: parking_lot::RwLock<TableArena>,
}

#[derive(Debug, Default)]
struct TableArena {
    entries: slotmap::SlotMap<EndpointKey, sync::Arc<endpoint_entry::EndpointEntry>>,
    by_service: collections::HashMap<String, Vec<EndpointKey>>,
    /// The endpoints of each service that this router sends new requests to.
    subsets: collections::HashMap<String, Vec<EndpointKey>>,
    models: collections::HashMap<String, declaration::DeclaredModel>,
}

impl EndpointTable {
    /// Creates an empty table for the router named `router` in availability zone `zone`.
    #[must_use]
    pub fn new(
        router: String,
        zone: String,
        policy: Box<dyn placement::PlacementPolicy>,
        leaving: sync::Arc<dyn view::LeavingView>,
    ) -> Self {
        Self {
            router,
            zone,
            policy,
            leaving,
            arena: parking_lot::RwLock::default(),
        }
    }

    /// Replaces the declared services. Endpoints whose declaration is unchanged keep their state.
    pub fn replace(&self, services: &[declaration::DeclaredService]) {
        let mut arena = TableArena::default();
        let old = self.all();
        let by_name: collections::HashMap<&str, &sync::Arc<endpoint_entry::EndpointEntry>> = old
            .iter()
            .map(|entry| (entry.declared.name.as_str(), entry))
            .collect();
        for service in services {
            let mut keys = Vec::with_capacity(service.endpoints.len());
            for declared in &service.endpoints {
                let kept = by_name.get(declared.name.as_str()).filter(|entry| {
                    entry.declared == *declared
                        && entry.service == service.name
                        && entry.is_engine == service.model.is_some()
                });
                let entry = kept.map_or_else(
                    || endpoint_entry::new_entry(service, declared),
                    |entry| sync::Arc::clone(entry),
                );
                keys.push(arena.entries.insert(entry));
            }
            let subset = self.choose_subset(&service.endpoints);
            let subset = subset.into_iter().map(|index| keys[index]).collect();
            arena.subsets.insert(service.name.clone(), subset);
            arena.by_service.insert(service.name.clone(), keys);
            if let Some(model) = &service.model {
                arena.models.insert(service.name.clone(), model.clone());
            }
        }
        *self.arena.write() = arena;
    }

    /// The endpoints of all services, including those outside this router's subsets.
    pub fn all(&self) -> Vec<sync::Arc<endpoint_entry::EndpointEntry>> {
        self.arena
            .read()
            .entries
            .values()
            .map(sync::Arc::clone)
            .collect()
    }

    /// Current state of an endpoint.
    pub fn state(&self, entry: &endpoint_entry::EndpointEntry) -> endpoint_entry::EndpointState {
        entry.state(&*self.leaving)
    }

    fn choose_subset(&self, endpoints: &[declaration::DeclaredEndpoint]) -> Vec<usize> {
        let endpoints: Vec<_> = endpoints
            .iter()
            .map(|declared| subset::SubsetEndpoint {
                name: &declared.name,
                is_same_zone: declared.zone == self.zone,
            })
            .collect();
        subset::choose_subset(&self.router, &endpoints, SUBSET_SIZE)
    }

    /// The endpoints of all services that this router sends new requests to.
    pub fn subset_entries(&self) -> Vec<sync::Arc<endpoint_entry::EndpointEntry>> {
        let arena = self.arena.read();
        let keys = arena.subsets.values().flatten();
        keys.map(|key| sync::Arc::clone(&arena.entries[*key]))
            .collect()
    }

    fn service_subset(&self, service: &str) -> Vec<sync::Arc<endpoint_entry::EndpointEntry>> {
        let arena = self.arena.read();
        let keys = arena.subsets.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .map(|key| sync::Arc::clone(&arena.entries[*key]))
            .collect()
    }

    fn find_entry(
        &self,
        service: &str,
        endpoint: &str,
    ) -> Option<sync::Arc<endpoint_entry::EndpointEntry>> {
        let arena = self.arena.read();
        let mut entries = arena
            .by_service
            .get(service)?
            .iter()
            .map(|key| &arena.entries[*key]);
        entries
            .find(|entry| entry.declared.name == endpoint)
            .map(sync::Arc::clone)
    }

    /// Endpoints that can take a new request: the serving ones or, if there are none, the suspect
    /// ones.
    fn candidates(
        &self,
        service: &str,
        excluded: &[String],
        fits: impl Fn(&endpoint_entry::EndpointEntry) -> bool,
    ) -> Vec<sync::Arc<endpoint_entry::EndpointEntry>> {
        let mut serving = Vec::new();
        let mut suspect = Vec::new();
        for entry in self.service_subset(service) {
            if excluded.contains(&entry.declared.name) || !fits(&entry) {
                continue;
            }
            match self.state(&entry) {
                endpoint_entry::EndpointState::Serving => serving.push(entry),
                endpoint_entry::EndpointState::Suspect => suspect.push(entry),
                endpoint_entry::EndpointState::Leaving | endpoint_entry::EndpointState::Unknown => {
                }
            }
        }
        if serving.is_empty() { suspect } else { serving }
    }

    /// Selects an endpoint with the placement policy and records the prompt as sent to it.
    fn choose(
        &self,
        candidates: Vec<sync::Arc<endpoint_entry::EndpointEntry>>,
        prompt: &str,
    ) -> Option<sync::Arc<endpoint_entry::EndpointEntry>> {
        let blocks = prefix_index::prompt_blocks(prompt.as_bytes());
        let snapshots: Vec<_> = candidates
            .iter()
            .map(|entry| entry.candidate(&self.zone, &blocks))
            .collect();
        let request = placement::PlacementRequest {
            prompt_blocks: blocks.len(),
        };
        let chosen = self
            .policy
            .choose(&request, &snapshots, &mut fastrand::Rng::new())?;
        let entry = candidates.into_iter().nth(chosen)?;
        entry.record_sent_prompt(&blocks);
        Some(entry)
    }
}

impl view::EndpointView for EndpointTable {
    fn pick(&self, service: &str, excluded: &[String]) -> Option<Box<dyn view::EndpointLease>> {
        let candidates = self.candidates(service, excluded, |_entry| true);
        Some(endpoint_entry::SlotLease::acquire(
            self.choose(candidates, "")?,
        ))
    }

    fn report_failure(&self, endpoint: &str) {
        for entry in self.all() {
            if entry.declared.name == endpoint {
                entry.mark_suspect();
            }
        }
    }
}

impl view::EngineView for EndpointTable {
    fn pick(
        &self,
        need: &view::EngineRequirement,
        excluded: &[String],
    ) -> Option<Box<dyn view::EndpointLease>> {
        let candidates = self.candidates(&need.service, excluded, |entry| entry.can_serve(need));
        Some(endpoint_entry::SlotLease::acquire(
            self.choose(candidates, &need.prompt)?,
        ))
    }

    fn most_loaded_version(&self, need: &view::EngineRequirement) -> Option<String> {
        let mut counts = collections::BTreeMap::<String, u32>::new();
        for entry in self.candidates(&need.service, &[], |_entry| true) {
            for version in entry.loaded_versions(need) {
                *counts.entry(version).or_default() += 1;
            }
        }
        counts
            .into_iter()
            .max_by_key(|(_version, count)| *count)
            .map(|(version, _count)| version)
    }

    fn find(&self, service: &str, endpoint: &str) -> Option<Box<dyn view::EndpointLease>> {
        Some(endpoint_entry::SlotLease::acquire(
            self.find_entry(service, endpoint)?,
        ))
    }

    fn declared_model(&self, service: &str) -> Option<declaration::DeclaredModel> {
        self.arena.read().models.get(service).cloned()
    }
}
