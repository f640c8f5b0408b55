//! Traits through which request handling accesses members, endpoints and metrics of the process.

use std::fmt;
use std::sync;
use std::time;

use crate::connection::peer_wire;
use crate::request::key;
use crate::request::suspicion;
use crate::version::declaration;

/// View of the routers in the cluster, as known to this router.
pub trait MemberView: fmt::Debug + Send + Sync {
    /// This router's current home name.
    fn home(&self) -> key::HomeName;

    /// Whether the home name is a current or earlier name of this process.
    ///
    /// The name changes when the router has to raise its incarnation.
    fn is_own_home(&self, home: &key::HomeName) -> bool;

    /// Newest entry of a router; `None` if it is unknown, dead or has left.
    fn find(&self, router: &str) -> Option<peer_wire::MemberWire>;

    /// Routers that accept new callers, including this one if it does.
    fn ready_members(&self) -> Vec<peer_wire::MemberWire>;

    /// Number of routers among which limits are shared at `now`: those that run, and those that
    /// were lost recently and may run behind a network partition.
    fn sharing_routers(&self, _now: time::Instant) -> usize {
        self.ready_members().len()
    }
}

/// The router that decides for all routers about something that they share.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedOwner {
    /// Address for peers, host and port.
    pub peer_address: String,
    /// Whether it is this router.
    pub is_own: bool,
    /// Share of the routers that this router believes to be running, among those and the ones that
    /// were lost recently; from 0 to 1.
    pub reachable_share: f64,
}

/// Choice of owners among the routers that accept callers.
pub trait OwnerView: fmt::Debug + Send + Sync {
    /// Owner of the thing with this hash; the same at all routers with the same members. `None` if
    /// no router accepts callers.
    fn owner_of(&self, seed: u64) -> Option<SharedOwner>;
}

/// Reservation of a slot at an endpoint for one request; dropping it releases the slot.
pub trait EndpointLease: fmt::Debug + Send + Sync {
    /// Endpoint name.
    fn name(&self) -> &str;

    /// IP address and port of the endpoint.
    fn address(&self) -> &str;

    /// Reports that a connection to the endpoint failed or stopped responding.
    fn report_failure(&self) {}

    /// Records the time between two tokens of the endpoint.
    fn record_gap(&self, _gap: time::Duration) {}

    /// Time without a token after which the endpoint is suspected to have failed.
    fn silence_limit(&self) -> time::Duration {
        suspicion::SILENCE_CAP
    }
}

/// Selects endpoints for plain services.
pub trait EndpointView: fmt::Debug + Send + Sync {
    /// Selects a serving endpoint of `service` that is not in `excluded`, if there is one.
    fn pick(&self, service: &str, excluded: &[String]) -> Option<Box<dyn EndpointLease>>;

    /// Reports that a connection to the endpoint failed.
    fn report_failure(&self, endpoint: &str);
}

/// Requirements of a generation on its engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequirement {
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapter applied to the model, if any.
    pub adapter: Option<String>,
    /// Prompt text, used for prefix affinity.
    pub prompt: sync::Arc<str>,
}

/// Selects engines for generations.
pub trait EngineView: fmt::Debug + Send + Sync {
    /// Selects a serving engine that has loaded the required model and is not in `excluded`.
    fn pick(&self, need: &EngineRequirement, excluded: &[String])
    -> Option<Box<dyn EndpointLease>>;

    /// Version of the required model that most serving engines have loaded, for use until the
    /// declared version is loaded.
    fn most_loaded_version(&self, need: &EngineRequirement) -> Option<String>;

    /// Finds an engine of a service by name, regardless of its state.
    fn find(&self, service: &str, endpoint: &str) -> Option<Box<dyn EndpointLease>>;

    /// Model that the current declaration of the service specifies.
    fn declared_model(&self, service: &str) -> Option<declaration::DeclaredModel>;
}

/// Receiver of counter and duration metrics.
pub trait CounterSink: fmt::Debug + Send + Sync {
    /// Increments the named counter.
    fn count(&self, name: &'static str);

    /// Records a duration in the named timer.
    fn time(&self, name: &'static str, duration: time::Duration);
}

/// Endpoints known to take no new work, from the VM list, their own reports or other routers.
pub trait LeavingView: fmt::Debug + Send + Sync {
    /// Whether this incarnation of the endpoint is known to be leaving.
    fn is_leaving(&self, endpoint: &str, incarnation: u64) -> bool;

    /// Announces to all routers that this incarnation of the endpoint is leaving.
    fn mark_leaving(&self, endpoint: &str, incarnation: u64);
}
