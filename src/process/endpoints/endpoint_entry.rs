//! State of one endpoint: its declaration, its latest load report and its in-flight requests.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::connection::engine_wire;
use crate::process::endpoints::placement;
use crate::process::endpoints::prefix_index;
use crate::process::view;
use crate::request::suspicion;
use crate::version::declaration;

/// Time after a failure during which an endpoint is used only if no other one can serve.
pub const SUSPECT_DURATION: time::Duration = time::Duration::from_secs(2);

/// State of one endpoint, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Accepts new requests.
    Serving,
    /// A connection to it failed within the last [`SUSPECT_DURATION`].
    Suspect,
    /// Accepts no new requests in this incarnation.
    Leaving,
    /// An engine that has not reported yet.
    Unknown,
}

/// One endpoint with its declaration, latest report and in-flight count.
#[derive(Debug)]
pub struct EndpointEntry {
    /// Name of the service that the endpoint belongs to.
    pub service: String,
    /// Whether the endpoint runs a model; engines must report before they get requests.
    pub is_engine: bool,
    /// Declaration from the active configuration version.
    pub declared: declaration::DeclaredEndpoint,
    in_flight: atomic::AtomicU32,
    status: parking_lot::Mutex<EndpointStatus>,
}

#[derive(Debug, Default)]
struct EndpointStatus {
    report: Option<engine_wire::EngineReport>,
    in_flight_at_report: u32,
    cache: prefix_index::PrefixIndex,
    suspect_since: Option<time::Instant>,
    is_vm_leaving: bool,
    gaps: suspicion::GapEstimator,
}

impl EndpointEntry {
    /// The latest load report; `None` before the first one.
    pub fn report(&self) -> Option<engine_wire::EngineReport> {
        self.status.lock().report.clone()
    }

    /// Stores a load report. A report shows that the endpoint is reachable, so it clears suspicion.
    pub fn set_report(&self, report: engine_wire::EngineReport) {
        let mut status = self.status.lock();
        status.report = Some(report);
        status.in_flight_at_report = self.in_flight();
        status.suspect_since = None;
    }

    /// Records whether the platform's VM list marks the endpoint as leaving.
    pub fn set_vm_leaving(&self, is_leaving: bool) {
        self.status.lock().is_vm_leaving = is_leaving;
    }

    /// Records a failed connection; the endpoint is suspect for [`SUSPECT_DURATION`].
    pub fn mark_suspect(&self) {
        self.status.lock().suspect_since = Some(time::Instant::now());
    }

    /// In-flight requests from this router to the endpoint.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }

    /// Incarnation from the latest report; 0 without a report.
    pub fn incarnation(&self) -> u64 {
        self.status
            .lock()
            .report
            .as_ref()
            .map_or(0, |report| report.incarnation)
    }

    /// Current state. An endpoint is leaving if its declaration, the VM list, its report or
    /// `leaving` says so.
    pub fn state(&self, leaving: &dyn view::LeavingView) -> EndpointState {
        let status = self.status.lock();
        let report = status.report.as_ref();
        let incarnation = report.map_or(0, |report| report.incarnation);
        let is_reported_leaving = report.is_some_and(|report| report.leaving);
        let is_suspect = status
            .suspect_since
            .is_some_and(|since| since.elapsed() < SUSPECT_DURATION);
        let is_unknown = self.is_engine && report.is_none();
        let is_marked_leaving =
            self.declared.leaving || status.is_vm_leaving || is_reported_leaving;
        drop(status);
        if is_marked_leaving || leaving.is_leaving(&self.declared.name, incarnation) {
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

    /// Whether the endpoint has the needed model loaded and is in the serving role.
    pub(super) fn can_serve(&self, need: &view::EngineRequirement) -> bool {
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

    /// Loaded versions of the needed model and adapter, from the latest report.
    pub(super) fn loaded_versions(&self, need: &view::EngineRequirement) -> Vec<String> {
        let report = self.report().unwrap_or_default();
        let loaded = report.loaded.into_iter();
        let matching =
            loaded.filter(|loaded| loaded.model == need.model && loaded.adapter == need.adapter);
        matching.map(|loaded| loaded.version).collect()
    }

    /// Adds the blocks of a prompt sent to the endpoint before its cache events arrive.
    pub(super) fn record_sent_prompt(&self, prompt_blocks: &[u64]) {
        self.status.lock().cache.insert_expected(prompt_blocks);
    }

    /// Sequence number of the latest cache event applied.
    pub fn cache_sequence(&self) -> u64 {
        self.status.lock().cache.last_sequence()
    }

    /// Applies cache events, which belong to the incarnation in the latest report.
    pub fn apply_cache_events(&self, events: &[engine_wire::CacheEvent]) {
        let mut status = self.status.lock();
        let incarnation = status
            .report
            .as_ref()
            .map_or(0, |report| report.incarnation);
        status.cache.apply(incarnation, events);
    }

    pub(super) fn candidate(&self, zone: &str, prompt_blocks: &[u64]) -> placement::Candidate {
        let status = self.status.lock();
        let report = status.report.as_ref();
        placement::Candidate {
            is_same_zone: self.declared.zone == zone,
            in_flight: self.in_flight(),
            in_flight_at_report: status.in_flight_at_report,
            reported_load: report.map_or(0, |report| report.running + report.waiting),
            slots: self.declared.slots,
            cached_blocks: status.cache.matched_blocks(prompt_blocks),
        }
    }
}

pub(super) fn new_entry(
    service: &declaration::DeclaredService,
    declared: &declaration::DeclaredEndpoint,
) -> sync::Arc<EndpointEntry> {
    sync::Arc::new(EndpointEntry {
        service: service.name.clone(),
        is_engine: service.model.is_some(),
        declared: declared.clone(),
        in_flight: atomic::AtomicU32::new(0),
        status: parking_lot::Mutex::default(),
    })
}

/// In-flight slot of one request at an endpoint, released when dropped.
#[derive(Debug)]
pub(super) struct SlotLease {
    entry: sync::Arc<EndpointEntry>,
}

impl SlotLease {
    pub(super) fn acquire(entry: sync::Arc<EndpointEntry>) -> Box<dyn view::EndpointLease> {
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
        self.entry.mark_suspect();
    }

    fn record_gap(&self, gap: time::Duration) {
        self.entry.status.lock().gaps.record(gap);
    }

    fn silence_limit(&self) -> time::Duration {
        self.entry.status.lock().gaps.limit()
    }
}
