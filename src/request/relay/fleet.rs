//! Endpoint selection and endpoint health, behind a trait.

use std::fmt;
use std::net;
use std::time;

use crate::request::relay::{request_rate, version_choice};

slotmap::new_key_type! {
    /// Identifies one incarnation of an endpoint; a restarted endpoint gets a new key.
    pub struct EndpointKey;
}

/// An endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// Key in the fleet.
    pub key: EndpointKey,
    /// Name, which the endpoint compares with that in the request.
    pub name: String,
    /// Start time that its entry names, in milliseconds since the Unix epoch; 0 when unknown.
    pub incarnation: u64,
    /// Address and port for requests.
    pub address: net::SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Whether it limits the rate of requests, so that each one needs a permit.
    pub is_limited: bool,
}

/// Criteria for choosing endpoints.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'a> {
    /// Name of the service that they belong to.
    pub service: &'a str,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointKey],
    /// Avoids this endpoint's availability zone while there are endpoints in others.
    pub avoid_zone_of: Option<EndpointKey>,
    /// Restricts the choice to this endpoint.
    pub only: Option<EndpointKey>,
    /// Restricts the choice to endpoints that need no permit.
    pub is_unlimited: bool,
    /// Restricts the choice to endpoints of these software versions.
    pub versions: &'a version_choice::VersionFilter,
}

/// What an attempt revealed about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointObservation {
    /// Responded.
    Answered,
    /// Had no capacity.
    Full,
    /// Unreachable, closed the connection early or stalled.
    Failed,
    /// A different endpoint responds at its address.
    Replaced,
    /// Announced that it is shutting down.
    Leaving,
    /// Asked this router to send no requests for this time.
    Pausing(time::Duration),
}

/// The endpoints of all services.
pub trait EndpointFleet: fmt::Debug + Send + Sync {
    /// Chooses an endpoint and counts a request in flight there until [`EndpointFleet::release`].
    fn acquire(&self, query: &EndpointQuery<'_>) -> Option<ChosenEndpoint>;

    /// Chooses up to `count` random endpoints, without counting a request there.
    fn sample(&self, query: &EndpointQuery<'_>, count: usize) -> Vec<ChosenEndpoint>;

    /// Whether `service` has an endpoint that is not leaving and whose version `versions` allows, even
    /// if it takes no requests at the moment.
    fn has_version(&self, service: &str, versions: &version_choice::VersionFilter) -> bool;

    /// Whether the endpoint is known, accepts new requests and did not fail at its last attempt.
    fn is_healthy(&self, key: EndpointKey) -> bool;

    /// Whether another endpoint, or another incarnation, was observed at the address lately, or the
    /// endpoint is not known any more. A KV copy there is lost.
    fn is_replaced(&self, key: EndpointKey) -> bool;

    /// Requests that this router sent to the endpoint so recently that its report may not include
    /// them.
    fn recent_requests(&self, key: EndpointKey, now: time::Instant) -> u32;

    /// Time until the first endpoint of `service` accepts requests again; `None` unless all
    /// endpoints that are not shutting down are pausing or refuse permits.
    fn pause_left(&self, service: &str, now: time::Instant) -> Option<time::Duration>;

    /// Ends the request that [`EndpointFleet::acquire`] counted.
    fn release(&self, key: EndpointKey);

    /// Records the request limit that an answer of the endpoint named, or that it named none.
    /// `age` is the time since the endpoint said so. Returns whether the limit changed.
    fn record_limit(
        &self,
        key: EndpointKey,
        rate: Option<request_rate::RequestRate>,
        age: time::Duration,
    ) -> bool;

    /// Records what an attempt revealed.
    fn observe(&self, key: EndpointKey, observation: EndpointObservation, now: time::Instant);
}
