//! Settings of a gateway, independent of the format in which a platform writes them.

use std::net;
use std::time;

/// All settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Router name, unique among running routers.
    pub router: String,
    /// Availability zone of this router.
    pub zone: String,
    /// Listen address for callers.
    pub caller_listen: net::SocketAddr,
    /// Listen address for readiness checks; `None` if there is none.
    pub ready_listen: Option<net::SocketAddr>,
    /// Listen address for lookups of router addresses; `None` if there is none.
    pub address_listen: Option<net::SocketAddr>,
    /// Listen address for peers.
    pub peer_listen: net::SocketAddr,
    /// Listen address for metrics and operator pages; `None` if there is none.
    pub metrics_listen: Option<net::SocketAddr>,
    /// Peer addresses to contact first.
    pub seeds: Vec<String>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// File descriptor limit of the process.
    pub max_descriptors: u64,
    /// Whether the whole system starts for the first time, so that no router has any state yet.
    pub is_first_start: bool,
    /// Whether orders to roll out a software version are followed.
    pub follows_rollouts: bool,
    /// Limits that the platform's operators set.
    pub bounds: GatewayBounds,
}

/// Limits that the platform's operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayBounds {
    /// Age of the configuration from which API keys are no longer accepted; `None` for no limit.
    pub max_key_age: Option<time::Duration>,
    /// Time within which all routers have to know of a change in the store.
    pub propagation_limit: time::Duration,
    /// Grace period from SIGTERM to SIGKILL.
    pub stop_grace: time::Duration,
    /// Longest time for which callers may cache an address answer.
    pub max_address_ttl: time::Duration,
    /// Time within which endpoints whose entries expired during a store outage register again.
    pub reregistration_grace: time::Duration,
    /// Retries allowed per request, over all routers.
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio in one window, over all routers.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    pub retry_window: time::Duration,
    /// Share of a service's requests that a bad software version may get, from 0 to 1.
    pub expose_share: f64,
    /// Requests that a bad software version may get beyond its share.
    pub expose_slack: f64,
    /// Time from the 50th bad answer of a software version until nothing more is sent to it.
    pub rollback_limit: time::Duration,
}
