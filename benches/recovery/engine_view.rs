//! The engines of one lane as a driver sees them, and counts of what the driver does.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use kumquatpulley::process::view;
use kumquatpulley::request::suspicion;
use kumquatpulley::version::declaration;

/// One engine: its name, where it is reached, and its gaps between tokens over all runs.
#[derive(Debug)]
pub struct EnginePlace {
    /// Endpoint name.
    pub name: String,
    /// Host and port of the relay before it.
    pub address: String,
    /// Gaps between its tokens.
    pub gaps: parking_lot::Mutex<suspicion::GapEstimator>,
}

/// The engines, for one run.
#[derive(Debug)]
pub struct LaneView {
    /// The engines; the first is picked first.
    pub places: Vec<sync::Arc<EnginePlace>>,
    /// Silence that raises suspicion, where it does not follow the engine's gaps.
    pub fixed_silence: Option<time::Duration>,
    /// Times that the driver looked for an engine to attach again.
    pub probes: atomic::AtomicU64,
}

impl LaneView {
    fn lease(&self, place: &sync::Arc<EnginePlace>) -> Box<dyn view::EndpointLease> {
        Box::new(LaneLease {
            place: sync::Arc::clone(place),
            fixed_silence: self.fixed_silence,
        })
    }
}

impl view::EngineView for LaneView {
    fn pick(
        &self,
        _need: &view::EngineRequirement,
        excluded: &[String],
    ) -> Option<Box<dyn view::EndpointLease>> {
        let mut places = self.places.iter();
        let place = places.find(|place| !excluded.contains(&place.name))?;
        Some(self.lease(place))
    }

    fn most_loaded_version(&self, _need: &view::EngineRequirement) -> Option<String> {
        None
    }

    fn find(&self, _service: &str, endpoint: &str) -> Option<Box<dyn view::EndpointLease>> {
        let place = self.places.iter().find(|place| place.name == endpoint)?;
        self.probes.fetch_add(1, atomic::Ordering::Relaxed);
        Some(self.lease(place))
    }

    fn declared_model(&self, _service: &str) -> Option<declaration::DeclaredModel> {
        None
    }
}

#[derive(Debug)]
struct LaneLease {
    place: sync::Arc<EnginePlace>,
    fixed_silence: Option<time::Duration>,
}

impl view::EndpointLease for LaneLease {
    fn name(&self) -> &str {
        &self.place.name
    }

    fn address(&self) -> &str {
        &self.place.address
    }

    fn record_gap(&self, gap: time::Duration) {
        self.place.gaps.lock().record(gap);
    }

    fn silence_limit(&self) -> time::Duration {
        let own = || self.place.gaps.lock().limit();
        self.fixed_silence.unwrap_or_else(own)
    }
}

/// Counts of one run.
#[derive(Debug, Default)]
pub struct RunCounts {
    counts: parking_lot::Mutex<collections::HashMap<&'static str, u64>>,
}

impl RunCounts {
    /// The named count.
    pub fn get(&self, name: &str) -> u64 {
        self.counts.lock().get(name).copied().unwrap_or_default()
    }
}

impl view::CounterSink for RunCounts {
    fn count(&self, name: &'static str) {
        *self.counts.lock().entry(name).or_default() += 1;
    }

    fn time(&self, _name: &'static str, _duration: time::Duration) {}
}
