//! Traffic rules of a configuration version: routes, services, workspaces and limits.

use std::collections;
use std::time;

/// Whether requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatKind {
    /// May run any number of times; safe to retry.
    Idempotent,
    /// Must run at most once.
    Once,
    /// An event stream; may be resumed only after the last event sent, if the route allows it.
    Stream {
        /// Whether another endpoint may resume the stream after the last event.
        is_resumable: bool,
    },
}

impl RepeatKind {
    /// Whether a request that may have run can be retried.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service name.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficRoute {
    /// Route name.
    pub name: String,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Path prefix; ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RepeatKind,
    /// Maximum time for a request.
    pub timeout: time::Duration,
    /// Target time to the response, or to the first event of a stream.
    pub goal: Option<time::Duration>,
    /// Target for the longest gap between events; streams only.
    pub gap_goal: Option<time::Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that requests are split between.
    pub services: Vec<ServiceShare>,
    /// Maximum number of endpoints that one request may be tried on.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// Properties of a service other than its endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceProfile {
    /// Service name.
    pub name: String,
    /// Whether its engines can back up the KV cache of a running request on each other.
    pub has_backups: bool,
    /// Whether its engines copy the KV cache of a running request on demand.
    pub has_moves: bool,
    /// Path at which its endpoints answer health checks; `None` if it names none.
    pub health_path: Option<String>,
}

/// A workspace as known to the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceProfile {
    /// Workspace name.
    pub name: String,
    /// Priority that overrides the priority of the route; `None` keeps it.
    pub priority: Option<u8>,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Timeout for receiving the head, and between parts of the body.
    pub head_timeout: time::Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: time::Duration,
}

impl Default for CallerLimits {
    /// Limits until a version is known, and for fields that a version does not set.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

/// Decoded content of a version, before indexing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficParts {
    /// Version number; newer versions have larger ones.
    pub number: u64,
    /// Routes in any order.
    pub routes: Vec<TrafficRoute>,
    /// Services in any order.
    pub services: Vec<ServiceProfile>,
    /// Workspaces with their API keys; `None` if no route requires a key.
    pub workspaces: Option<Vec<(WorkspaceProfile, Vec<String>)>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A configuration version, indexed for lookups.
#[derive(Debug)]
pub struct TrafficVersion {
    number: u64,
    routes: Vec<TrafficRoute>,
    by_host: collections::HashMap<String, Vec<usize>>,
    services: collections::HashMap<String, ServiceProfile>,
    /// Priorities of the stream routes of each service, the highest first.
    stream_priorities: collections::HashMap<String, collections::BTreeSet<u8>>,
    keys: Option<collections::HashMap<String, usize>>,
    workspaces: Vec<WorkspaceProfile>,
    limits: CallerLimits,
}

impl From<TrafficParts> for TrafficVersion {
    fn from(parts: TrafficParts) -> Self {
        let mut by_host: collections::HashMap<String, Vec<usize>> = collections::HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            // Longest prefix first, so that the first match is the longest one.
            indexes.sort_by_key(|index| std::cmp::Reverse(parts.routes[*index].prefix.len()));
        }
        let mut stream_priorities: collections::HashMap<String, collections::BTreeSet<u8>> =
            collections::HashMap::new();
        for route in parts.routes.iter().filter(|route| route.kind.is_stream()) {
            for share in &route.services {
                let priorities = stream_priorities.entry(share.service.clone());
                priorities.or_default().insert(route.priority);
            }
        }
        let mut keys = parts
            .workspaces
            .as_ref()
            .map(|_any| collections::HashMap::new());
        let mut workspaces = Vec::new();
        for (profile, workspace_keys) in parts.workspaces.into_iter().flatten() {
            for key in workspace_keys {
                if let Some(keys) = keys.as_mut() {
                    keys.insert(key, workspaces.len());
                }
            }
            workspaces.push(profile);
        }
        let services = parts.services.into_iter();
        Self {
            number: parts.number,
            routes: parts.routes,
            by_host,
            stream_priorities,
            services: services
                .map(|profile| (profile.name.clone(), profile))
                .collect(),
            keys,
            workspaces,
            limits: parts.limits,
        }
    }
}

impl TrafficVersion {
    /// Version number; newer versions have larger ones.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Limits for callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Looks up the route of `host`, which may include a port, with the longest prefix of `target`.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<&TrafficRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let path = target.split('?').next().unwrap_or_default();
        let indexes = self.by_host.get(&host.to_ascii_lowercase())?;
        let routes = indexes.iter().map(|index| &self.routes[*index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Whether requests need a key on routes that are not public.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Looks up the workspace that `key` belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceProfile> {
        let index = self.keys.as_ref()?.get(key)?;
        self.workspaces.get(*index)
    }

    /// Number of priorities above `priority` that stream routes of `service` have; `None` unless
    /// its stream routes have different priorities.
    #[must_use]
    pub fn stream_rank(&self, service: &str, priority: u8) -> Option<u32> {
        let priorities = self.stream_priorities.get(service)?;
        if priorities.len() < 2 {
            return None;
        }
        u32::try_from(priorities.range(..priority).count()).ok()
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceProfile> {
        self.services.get(name)
    }
}

impl TrafficRoute {
    /// Chooses the service for one request at random, by weight; `None` if the route has none.
    #[must_use]
    pub fn choose_service(&self, random: &mut fastrand::Rng) -> Option<&str> {
        let total: u32 = self.services.iter().map(|share| share.weight).sum();
        if total == 0 {
            return self.services.first().map(|share| share.service.as_str());
        }
        let mut rest = random.u32(..total);
        for share in &self.services {
            if rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        None
    }
}
