//! What requests need to know of the process: its members and its endpoints, as traits.

use std::fmt;

use crate::connection::peer_wire;
use crate::request::key;

/// The routers, as this router sees them.
pub trait MemberView: fmt::Debug + Send + Sync {
    /// This router's present home name.
    fn home(&self) -> key::HomeName;

    /// Whether the home name is this router in this life, an earlier name of the same life included.
    fn owns(&self, home: &key::HomeName) -> bool;

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
}

/// Chooses endpoints for plain services.
pub trait EndpointView: fmt::Debug + Send + Sync {
    /// A serving endpoint of `service` that is not in `excluded`, or `None`.
    fn pick(&self, service: &str, excluded: &[String]) -> Option<Box<dyn EndpointLease>>;

    /// Takes note that a connection to the endpoint failed.
    fn report_failure(&self, endpoint: &str);
}
