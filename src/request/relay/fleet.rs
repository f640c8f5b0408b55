//! What a request needs to know of endpoints, as a trait.

use std::fmt;
use std::net;
use std::time;

slotmap::new_key_type! {
    /// Names one life of an endpoint in the fleet.
    pub struct EndpointKey;
}

/// An endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// Its key.
    pub key: EndpointKey,
    /// Its name, which it checks.
    pub name: String,
    /// Address and port.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// What is asked of a choice.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'a> {
    /// Service name.
    pub service: &'a str,
    /// Endpoints that are not wanted.
    pub excluded: &'a [EndpointKey],
    /// An endpoint whose availability zone is avoided.
    pub avoid_zone_of: Option<EndpointKey>,
    /// The one endpoint that will do.
    pub only: Option<EndpointKey>,
}

/// What an attempt showed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointObservation {
    /// It answered.
    Answered,
    /// It had no room.
    Full,
    /// It could not be reached, broke off or went silent.
    Failed,
    /// Another process answers at its address.
    Replaced,
    /// It says that it is about to go.
    Leaving,
    /// It wants no requests of this router for so long.
    Pausing(time::Duration),
}

/// The endpoints of all services.
pub trait EndpointFleet: fmt::Debug + Send + Sync {
    /// Chooses an endpoint and counts the request there until [`EndpointFleet::release`].
    fn acquire(&self, need: &EndpointQuery<'_>) -> Option<ChosenEndpoint>;

    /// Chooses up to `count` endpoints by chance without counting a request there.
    fn sample(&self, need: &EndpointQuery<'_>, count: usize) -> Vec<ChosenEndpoint>;

    /// Whether the endpoint is known, takes new work and did not fail when it was last tried.
    fn is_healthy(&self, key: EndpointKey) -> bool;

    /// Requests that this router sent to the endpoint within the time that a report lags.
    fn recent_requests(&self, key: EndpointKey, now: time::Instant) -> u32;

    /// Time until an endpoint of `service` takes requests again; `None` unless all that stay pause.
    fn pause_left(&self, service: &str, now: time::Instant) -> Option<time::Duration>;

    /// Ends what [`EndpointFleet::acquire`] began.
    fn release(&self, key: EndpointKey);

    /// Takes note of what an attempt showed.
    fn observe(&self, key: EndpointKey, sign: EndpointObservation, now: time::Instant);
}
