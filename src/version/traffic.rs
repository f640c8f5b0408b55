//! What one configuration version says about traffic: routes, services, workspaces and limits.

use std::collections;
use std::time;

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// An event stream; may run again only from the last event passed on, where the route says so.
    Stream {
        /// Whether another endpoint may go on after the last event.
        is_resumable: bool,
    },
}

impl RepeatKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service name.
    pub service: String,
    /// Share in proportion to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrafficRoute {
    /// Route name.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Beginning of the path; ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RepeatKind,
    /// Longest time that a request is kept.
    pub timeout: time::Duration,
    /// Wanted time to the answer, or to the first event of a stream.
    pub goal: Option<time::Duration>,
    /// Longest wanted pause between events; streams only.
    pub gap_goal: Option<time::Duration>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that serve the route.
    pub services: Vec<ServiceShare>,
    /// Endpoints that one request may run at, at most.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub is_public: bool,
}

/// What is known of a service beside its endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceProfile {
    /// Service name.
    pub name: String,
    /// Whether its engines keep copies of a running request's memory at each other.
    pub has_backups: bool,
    /// Whether its engines copy a running request's memory when they are asked to.
    pub has_moves: bool,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceProfile {
    /// Workspace name.
    pub name: String,
    /// Rank that goes before that of the route.
    pub priority: Option<u8>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request head.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for the head to arrive, and between parts of the body.
    pub head_timeout: time::Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: time::Duration,
}

impl Default for CallerLimits {
    /// What holds while no version is known; each version brings its own.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

/// The parts of a version, as an adapter decodes them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficParts {
    /// Version number; newer versions have larger ones.
    pub number: u64,
    /// Routes in any order.
    pub routes: Vec<TrafficRoute>,
    /// Services in any order.
    pub services: Vec<ServiceProfile>,
    /// Workspaces with their keys; `None` when no key is ever asked for.
    pub workspaces: Option<Vec<(WorkspaceProfile, Vec<String>)>>,
    /// Bounds for callers.
    pub limits: CallerLimits,
}

/// One version, indexed for lookups.
#[derive(Debug)]
pub struct TrafficVersion {
    number: u64,
    routes: Vec<TrafficRoute>,
    by_host: collections::HashMap<String, Vec<usize>>,
    services: collections::HashMap<String, ServiceProfile>,
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
            // The first match is then the longest one.
            indexes.sort_by_key(|index| std::cmp::Reverse(parts.routes[*index].prefix.len()));
        }
        let mut keys = parts
            .workspaces
            .as_ref()
            .map(|_any| collections::HashMap::new());
        let mut workspaces = Vec::new();
        for (profile, held) in parts.workspaces.into_iter().flatten() {
            for key in held {
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
    /// Version number.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Bounds for callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route with the longest prefix of `target` at `host`, which may carry a port.
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

    /// The workspace that holds `key`.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceProfile> {
        let index = self.keys.as_ref()?.get(key)?;
        self.workspaces.get(*index)
    }

    /// The profile of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceProfile> {
        self.services.get(name)
    }
}

impl TrafficRoute {
    /// The service for one request, by weight.
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
