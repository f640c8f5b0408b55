//! The endpoints of the version in force: what they report, and which one a request goes to.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use parking_lot::Mutex;
use parking_lot::RwLock;

use crate::connection::engine_wire;
use crate::process::placement;
use crate::process::prefix_index;
use crate::process::subset;
use crate::process::view;
use crate::request::suspicion;
use crate::version::declaration;

/// Time for which an endpoint that failed is used only when no other can serve.
pub const SUSPECT_TIME: time::Duration = time::Duration::from_secs(2);

/// Endpoints of a service that one router sends new work to.
pub const SUBSET_SIZE: usize = 128;

slotmap::new_key_type! {
    /// Identifies an endpoint in the table.
    pub struct EndpointKey;
}

/// State of one endpoint, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It takes new work.
    Serving,
    /// A connection to it failed a moment ago.
    Suspect,
    /// It takes no new work in this incarnation.
    Leaving,
    /// It has not reported yet.
    Unknown,
}

/// One endpoint with what is known of it.
#[derive(Debug)]
pub struct EndpointEntry {
    /// Service that it belongs to.
    pub service: String,
    /// Whether it runs models.
    pub is_engine: bool,
    /// What the declarations say.
    pub declared: declaration::DeclaredEndpoint,
    in_flight: atomic::AtomicU32,
    status: Mutex<EndpointStatus>,
}

#[derive(Debug, Default)]
struct EndpointStatus {
    report: Option<engine_wire::EngineReport>,
    in_flight_at_report: u32,
    cache: prefix_index::PrefixIndex,
    suspect_since: Option<time::Instant>,
    vm_leaving: bool,
    gaps: suspicion::GapEstimator,
}

impl EndpointEntry {
    /// The newest load report.
    pub fn report(&self) -> Option<engine_wire::EngineReport> {
        self.status.lock().report.clone()
    }

    /// Takes in a load report, which shows that the endpoint can be reached.
    pub fn set_report(&self, report: engine_wire::EngineReport) {
        let mut status = self.status.lock();
        status.report = Some(report);
        status.in_flight_at_report = self.in_flight();
        status.suspect_since = None;
    }

    /// Takes note of what the VM list says.
    pub fn set_vm_leaving(&self, is_leaving: bool) {
        self.status.lock().vm_leaving = is_leaving;
    }

    /// Takes note that a connection failed.
    pub fn set_suspect(&self) {
        self.status.lock().suspect_since = Some(time::Instant::now());
    }

    /// Requests of this router at the endpoint.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }

    /// Incarnation that the endpoint reports; 0 when it reports none.
    pub fn incarnation(&self) -> u64 {
        self.status
            .lock()
            .report
            .as_ref()
            .map_or(0, |report| report.incarnation)
    }

    /// Present state.
    pub fn state(&self, leaving: &dyn view::LeavingView) -> EndpointState {
        let status = self.status.lock();
        let report = status.report.as_ref();
        let incarnation = report.map_or(0, |report| report.incarnation);
        let says_leaving = report.is_some_and(|report| report.leaving);
        let is_suspect = status
            .suspect_since
            .is_some_and(|since| since.elapsed() < SUSPECT_TIME);
        let is_unknown = self.is_engine && report.is_none();
        let is_listed = self.declared.leaving || status.vm_leaving || says_leaving;
        drop(status);
        if is_listed || leaving.is_leaving(&self.declared.name, incarnation) {
            return EndpointState::Leaving;
        }
        if is_unknown {
            return EndpointState::Unknown;
        }
        if is_suspect {
            return EndpointState::Suspect;
        }
        EndpointState::Serving
    }

    /// Whether the endpoint reports the needed model and takes new work.
    fn holds(&self, need: &view::EngineNeed) -> bool {
        let status = self.status.lock();
        let Some(report) = &status.report else {
            return false;
        };
        if !report.role.is_empty() && report.role != engine_wire::ROLE_SERVE {
            return false;
        }
        report.loaded.iter().any(|loaded| {
            loaded.model == need.model
                && loaded.version == need.version
                && loaded.adapter == need.adapter
        })
    }

    /// Versions of the needed model that the endpoint reports.
    fn versions_of(&self, need: &view::EngineNeed) -> Vec<String> {
        let report = self.report().unwrap_or_default();
        let loaded = report.loaded.into_iter();
        let fitting =
            loaded.filter(|loaded| loaded.model == need.model && loaded.adapter == need.adapter);
        fitting.map(|loaded| loaded.version).collect()
    }

    /// Number of the newest cache event taken in.
    pub fn cache_sequence(&self) -> u64 {
        self.status.lock().cache.last_sequence()
    }

    /// Takes in cache events of the incarnation that reported last.
    pub fn apply_cache_events(&self, events: &[engine_wire::CacheEvent]) {
        let mut status = self.status.lock();
        let incarnation = status
            .report
            .as_ref()
            .map_or(0, |report| report.incarnation);
        status.cache.apply(incarnation, events);
    }

    fn candidate(&self, zone: &str, prompt_blocks: &[u64]) -> placement::Candidate {
        let status = self.status.lock();
        let report = status.report.as_ref();
        placement::Candidate {
            near: self.declared.zone == zone,
            in_flight: self.in_flight(),
            in_flight_at_report: status.in_flight_at_report,
            reported: report.map_or(0, |report| report.running + report.waiting),
            slots: self.declared.slots,
            cached_blocks: status.cache.matched_blocks(prompt_blocks),
        }
    }
}

/// The endpoints of all services.
#[derive(Debug)]
pub struct EndpointTable {
    router: String,
    zone: String,
    policy: Box<dyn placement::PlacementPolicy>,
    leaving: sync::Arc<dyn view::LeavingView>,
    arena: RwLock<TableArena>,
}

#[derive(Debug, Default)]
struct TableArena {
    entries: slotmap::SlotMap<EndpointKey, sync::Arc<EndpointEntry>>,
    by_service: collections::HashMap<String, Vec<EndpointKey>>,
    /// The part of each service that this router sends new work to.
    used: collections::HashMap<String, Vec<EndpointKey>>,
    models: collections::HashMap<String, declaration::DeclaredModel>,
}

impl EndpointTable {
    /// An empty table of the router in the availability zone.
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
            arena: RwLock::default(),
        }
    }

    /// Puts the declared services in force; endpoints that stay keep what is known of them.
    pub fn replace(&self, services: &[declaration::DeclaredService]) {
        let mut arena = TableArena::default();
        let old = self.all();
        for service in services {
            let mut keys = Vec::with_capacity(service.endpoints.len());
            for declared in &service.endpoints {
                let kept = old.iter().find(|entry| {
                    entry.declared == *declared
                        && entry.service == service.name
                        && entry.is_engine == service.model.is_some()
                });
                let entry = kept.map_or_else(|| new_entry(service, declared), sync::Arc::clone);
                keys.push(arena.entries.insert(entry));
            }
            let used = self.subset(&service.endpoints);
            let used = used.into_iter().map(|index| keys[index]).collect();
            arena.used.insert(service.name.clone(), used);
            arena.by_service.insert(service.name.clone(), keys);
            if let Some(model) = &service.model {
                arena.models.insert(service.name.clone(), model.clone());
            }
        }
        *self.arena.write() = arena;
    }

    /// All endpoints.
    pub fn all(&self) -> Vec<sync::Arc<EndpointEntry>> {
        self.arena
            .read()
            .entries
            .values()
            .map(sync::Arc::clone)
            .collect()
    }

    /// Present state of an endpoint.
    pub fn state(&self, entry: &EndpointEntry) -> EndpointState {
        entry.state(&*self.leaving)
    }

    fn subset(&self, endpoints: &[declaration::DeclaredEndpoint]) -> Vec<usize> {
        let endpoints: Vec<_> = endpoints
            .iter()
            .map(|declared| subset::SubsetEndpoint {
                name: &declared.name,
                near: declared.zone == self.zone,
            })
            .collect();
        subset::choose_subset(&self.router, &endpoints, SUBSET_SIZE)
    }

    /// Endpoints that this router sends new work to, over all services.
    pub fn used(&self) -> Vec<sync::Arc<EndpointEntry>> {
        let arena = self.arena.read();
        let keys = arena.used.values().flatten();
        keys.map(|key| sync::Arc::clone(&arena.entries[*key]))
            .collect()
    }

    fn used_of(&self, service: &str) -> Vec<sync::Arc<EndpointEntry>> {
        let arena = self.arena.read();
        let keys = arena.used.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .map(|key| sync::Arc::clone(&arena.entries[*key]))
            .collect()
    }

    fn named(&self, service: &str, endpoint: &str) -> Option<sync::Arc<EndpointEntry>> {
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

    /// Endpoints that may take new work: serving ones, else suspected ones.
    fn candidates(
        &self,
        service: &str,
        excluded: &[String],
        fits: impl Fn(&EndpointEntry) -> bool,
    ) -> Vec<sync::Arc<EndpointEntry>> {
        let mut serving = Vec::new();
        let mut suspect = Vec::new();
        for entry in self.used_of(service) {
            if excluded.contains(&entry.declared.name) || !fits(&entry) {
                continue;
            }
            match self.state(&entry) {
                EndpointState::Serving => serving.push(entry),
                EndpointState::Suspect => suspect.push(entry),
                EndpointState::Leaving | EndpointState::Unknown => {}
            }
        }
        if serving.is_empty() { suspect } else { serving }
    }

    /// The candidate that the placement policy chooses for a prompt.
    fn choose(
        &self,
        candidates: Vec<sync::Arc<EndpointEntry>>,
        prompt: &str,
    ) -> Option<sync::Arc<EndpointEntry>> {
        let blocks = prefix_index::prompt_blocks(prompt.as_bytes());
        let known: Vec<_> = candidates
            .iter()
            .map(|entry| entry.candidate(&self.zone, &blocks))
            .collect();
        let request = placement::PlacementRequest {
            prompt_blocks: blocks.len(),
        };
        let chosen = self
            .policy
            .choose(&request, &known, &mut fastrand::Rng::new())?;
        let entry = candidates.into_iter().nth(chosen)?;
        entry.status.lock().cache.expect(&blocks);
        Some(entry)
    }
}

fn new_entry(
    service: &declaration::DeclaredService,
    declared: &declaration::DeclaredEndpoint,
) -> sync::Arc<EndpointEntry> {
    sync::Arc::new(EndpointEntry {
        service: service.name.clone(),
        is_engine: service.model.is_some(),
        declared: declared.clone(),
        in_flight: atomic::AtomicU32::new(0),
        status: Mutex::default(),
    })
}

impl view::EndpointView for EndpointTable {
    fn pick(&self, service: &str, excluded: &[String]) -> Option<Box<dyn view::EndpointLease>> {
        let candidates = self.candidates(service, excluded, |_entry| true);
        Some(SlotLease::boxed(self.choose(candidates, "")?))
    }

    fn report_failure(&self, endpoint: &str) {
        for entry in self.all() {
            if entry.declared.name == endpoint {
                entry.set_suspect();
            }
        }
    }
}

impl view::EngineView for EndpointTable {
    fn pick(
        &self,
        need: &view::EngineNeed,
        excluded: &[String],
    ) -> Option<Box<dyn view::EndpointLease>> {
        let candidates = self.candidates(&need.service, excluded, |entry| entry.holds(need));
        Some(SlotLease::boxed(self.choose(candidates, &need.prompt)?))
    }

    fn held_version(&self, need: &view::EngineNeed) -> Option<String> {
        let mut counts = collections::BTreeMap::<String, u32>::new();
        for entry in self.candidates(&need.service, &[], |_entry| true) {
            for version in entry.versions_of(need) {
                *counts.entry(version).or_default() += 1;
            }
        }
        counts
            .into_iter()
            .max_by_key(|(_version, count)| *count)
            .map(|(version, _count)| version)
    }

    fn find(&self, service: &str, endpoint: &str) -> Option<Box<dyn view::EndpointLease>> {
        Some(SlotLease::boxed(self.named(service, endpoint)?))
    }

    fn declared_model(&self, service: &str) -> Option<declaration::DeclaredModel> {
        self.arena.read().models.get(service).cloned()
    }
}

/// One request's place at an endpoint.
#[derive(Debug)]
struct SlotLease {
    entry: sync::Arc<EndpointEntry>,
}

impl SlotLease {
    fn boxed(entry: sync::Arc<EndpointEntry>) -> Box<dyn view::EndpointLease> {
        entry.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Box::new(Self { entry })
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.entry.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl view::EndpointLease for SlotLease {
    fn name(&self) -> &str {
        &self.entry.declared.name
    }

    fn address(&self) -> &str {
        &self.entry.declared.address
    }

    fn report_failure(&self) {
        self.entry.set_suspect();
    }

    fn record_gap(&self, gap: time::Duration) {
        self.entry.status.lock().gaps.record(gap);
    }

    fn silence_limit(&self) -> time::Duration {
        self.entry.status.lock().gaps.limit()
    }
}
