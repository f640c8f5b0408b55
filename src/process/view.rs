//! What requests need to know of the process: its members and its endpoints, as traits.

use std::fmt;
use std::sync;
use std::time;

use crate::connection::peer_wire;
use crate::request::key;
use crate::request::suspicion;
use crate::version::declaration;

/// The routers, as this router sees them.
pub trait MemberView: fmt::Debug + Send + Sync {
    /// This router's present home name.
    fn home(&self) -> key::HomeName;

    /// Whether the home name is this router in this life, an earlier name of the same life included.
    fn is_own_home(&self, home: &key::HomeName) -> bool;

    /// The newest fact about a router that is not known to be dead.
    fn find(&self, router: &str) -> Option<peer_wire::MemberWire>;

    /// Routers that take new callers, this one included when it does.
    fn ready_members(&self) -> Vec<peer_wire::MemberWire>;
}

/// An endpoint chosen for one request; its slot is given back when this is dropped.
pub trait EndpointLease: fmt::Debug + Send + Sync {
    /// Endpoint name.
    fn name(&self) -> &str;

    /// IP address and port.
    fn address(&self) -> &str;

    /// Takes note that a connection to the endpoint failed or went silent.
    fn report_failure(&self) {}

    /// Takes note of a gap between two tokens of the endpoint.
    fn record_gap(&self, _gap: time::Duration) {}

    /// Silence between tokens that raises suspicion of the endpoint.
    fn silence_limit(&self) -> time::Duration {
        suspicion::SILENCE_CAP
    }
}

/// Chooses endpoints for plain services.
pub trait EndpointView: fmt::Debug + Send + Sync {
    /// A serving endpoint of `service` that is not in `excluded`, or `None`.
    fn pick(&self, service: &str, excluded: &[String]) -> Option<Box<dyn EndpointLease>>;

    /// Takes note that a connection to the endpoint failed.
    fn report_failure(&self, endpoint: &str);
}

/// What a generation needs of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequirement {
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapter on top of the model, if any.
    pub adapter: Option<String>,
    /// The prompt, for prefix affinity.
    pub prompt: sync::Arc<str>,
}

/// Chooses engines for generations.
pub trait EngineView: fmt::Debug + Send + Sync {
    /// A serving engine that holds the needed model and is not in `excluded`.
    fn pick(&self, need: &EngineRequirement, excluded: &[String])
    -> Option<Box<dyn EndpointLease>>;

    /// A version of the needed model that most serving engines hold, for the time until the
    /// declared one is loaded.
    fn most_loaded_version(&self, need: &EngineRequirement) -> Option<String>;

    /// The named engine of a service, whatever its state.
    fn find(&self, service: &str, endpoint: &str) -> Option<Box<dyn EndpointLease>>;

    /// What the service's declaration asks for now.
    fn declared_model(&self, service: &str) -> Option<declaration::DeclaredModel>;
}

/// Counts events.
pub trait CounterSink: fmt::Debug + Send + Sync {
    /// Adds one to the named counter.
    fn count(&self, name: &'static str);

    /// Records a duration under the name.
    fn time(&self, name: &'static str, duration: time::Duration);
}

/// Endpoints that take no new work, as the routers know from any source.
pub trait LeavingView: fmt::Debug + Send + Sync {
    /// Whether the endpoint in this incarnation is known to be leaving.
    fn is_leaving(&self, endpoint: &str, incarnation: u64) -> bool;

    /// Spreads that the endpoint in this incarnation is leaving.
    fn mark_leaving(&self, endpoint: &str, incarnation: u64);
}
