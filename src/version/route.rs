//! A configuration version, indexed for lookups by requests.

use std::collections;

use sha2::Digest as _;

use crate::version::check;
use crate::version::declaration;

/// Methods whose requests may be retried on path routes without `idempotent_methods`.
pub const IDEMPOTENT_METHODS: [&str; 2] = ["GET", "HEAD"];

/// A service in an active configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedService {
    /// Service name.
    pub name: String,
    /// Model that the endpoints run; `None` for a plain service.
    pub model: Option<declaration::DeclaredModel>,
    /// How a generation is recovered when its endpoint is lost.
    pub recovery: declaration::RecoveryKind,
    /// Endpoints of the service.
    pub endpoints: Vec<ServedEndpoint>,
}

/// An endpoint in an active configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedEndpoint {
    /// Endpoint name.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint rejects orders with a stale fencing token.
    pub checks_fencing: bool,
    /// Whether the endpoint is draining and gets no new requests.
    pub leaving: bool,
}

/// A workspace in an active configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedWorkspace {
    /// Workspace name.
    pub name: String,
    /// Maximum number of in-flight requests across all routers.
    pub max_in_flight: u32,
    /// Maximum number of requests queued at one router.
    pub max_queue: u32,
}

impl From<declaration::DeclaredService> for ServedService {
    fn from(service: declaration::DeclaredService) -> Self {
        Self {
            name: service.name,
            model: service.model,
            recovery: service.recovery,
            endpoints: service.endpoints.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<declaration::DeclaredEndpoint> for ServedEndpoint {
    fn from(endpoint: declaration::DeclaredEndpoint) -> Self {
        Self {
            name: endpoint.name,
            address: endpoint.address,
            zone: endpoint.zone,
            slots: endpoint.slots,
            checks_fencing: endpoint.checks_fencing,
            leaving: endpoint.leaving,
        }
    }
}

impl From<declaration::DeclaredWorkspace> for ServedWorkspace {
    fn from(workspace: declaration::DeclaredWorkspace) -> Self {
        Self {
            name: workspace.name,
            max_in_flight: workspace.max_in_flight,
            max_queue: workspace.max_queue,
        }
    }
}

/// Result of a path route lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathRoute<'a> {
    /// Service that handles the request.
    pub service: &'a ServedService,
    /// Whether a request with the given method may be retried.
    pub idempotent: bool,
}

/// Index into [`ActiveVersion::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServiceKey(usize);

/// Index into [`ActiveVersion::workspaces`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkspaceKey(usize);

#[derive(Clone, Debug)]
struct RouteEntry {
    service: ServiceKey,
    /// Workspaces that may use the route; empty for all.
    workspaces: Vec<WorkspaceKey>,
    /// Path prefix with a trailing `/`, so that it matches whole segments; empty for a model route.
    prefix: String,
    idempotent_methods: Vec<String>,
}

impl RouteEntry {
    fn admits(&self, workspace: WorkspaceKey) -> bool {
        self.workspaces.is_empty() || self.workspaces.contains(&workspace)
    }

    /// Precedence: the longest prefix wins, then a route limited to certain workspaces.
    fn precedence(&self) -> (usize, bool) {
        (self.prefix.len(), !self.workspaces.is_empty())
    }
}

/// An immutable configuration version, indexed for lookups.
#[derive(Clone, Debug)]
pub struct ActiveVersion {
    number: u64,
    yaml: String,
    services: Vec<ServedService>,
    workspaces: Vec<ServedWorkspace>,
    service_names: collections::HashMap<String, ServiceKey>,
    workspace_names: collections::HashMap<String, WorkspaceKey>,
    key_hashes: collections::HashMap<String, WorkspaceKey>,
    model_routes: collections::HashMap<String, Vec<RouteEntry>>,
    path_routes: collections::HashMap<String, Vec<RouteEntry>>,
}

impl ActiveVersion {
    /// Validates and indexes version `number`.
    ///
    /// # Errors
    /// All faults of the declarations.
    pub fn build(number: u64, yaml: &str) -> check::Result<Self> {
        let set = check::parse(&format!("version {number}"), yaml)?;
        let mut version = Self {
            number,
            yaml: yaml.to_owned(),
            services: Vec::new(),
            workspaces: Vec::new(),
            service_names: collections::HashMap::new(),
            workspace_names: collections::HashMap::new(),
            key_hashes: collections::HashMap::new(),
            model_routes: collections::HashMap::new(),
            path_routes: collections::HashMap::new(),
        };
        for service in set.services {
            version.add_service(service);
        }
        for workspace in set.workspaces {
            version.add_workspace(workspace);
        }
        for route in set.routes {
            version.add_route(route);
        }
        Ok(version)
    }

    fn add_service(&mut self, service: declaration::DeclaredService) {
        let key = ServiceKey(self.services.len());
        self.service_names.insert(service.name.clone(), key);
        self.services.push(service.into());
    }

    fn add_workspace(&mut self, workspace: declaration::DeclaredWorkspace) {
        let key = WorkspaceKey(self.workspaces.len());
        self.workspace_names.insert(workspace.name.clone(), key);
        for hash in &workspace.key_hashes {
            self.key_hashes.insert(hash.to_ascii_lowercase(), key);
        }
        self.workspaces.push(workspace.into());
    }

    fn add_route(&mut self, route: declaration::DeclaredRoute) {
        let Some(service) = self.service_names.get(&route.service).copied() else {
            return;
        };
        let names = &self.workspace_names;
        let workspaces = route.workspaces.iter();
        let workspaces = workspaces.filter_map(|name| names.get(name).copied());
        let default_methods = || IDEMPOTENT_METHODS.map(str::to_owned).to_vec();
        let entry = RouteEntry {
            service,
            workspaces: workspaces.collect(),
            prefix: route
                .path
                .as_deref()
                .map(with_trailing_slash)
                .unwrap_or_default(),
            idempotent_methods: route.idempotent_methods.unwrap_or_else(default_methods),
        };
        let entries = match route.model {
            Some(model) => self.model_routes.entry(model).or_default(),
            None => self.path_routes.entry(route.service).or_default(),
        };
        entries.push(entry);
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.precedence()));
    }

    /// Version number; a version with a higher number replaces this one.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The declarations as YAML, exactly as applied.
    #[must_use]
    pub fn yaml(&self) -> &str {
        &self.yaml
    }

    /// All services, in declaration order.
    #[must_use]
    pub fn services(&self) -> &[ServedService] {
        &self.services
    }

    /// All workspaces, in declaration order.
    #[must_use]
    pub fn workspaces(&self) -> &[ServedWorkspace] {
        &self.workspaces
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServedService> {
        let key = self.service_names.get(name)?;
        self.services.get(key.0)
    }

    /// Looks up a workspace by name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&ServedWorkspace> {
        let key = self.workspace_names.get(name)?;
        self.workspaces.get(key.0)
    }

    /// Looks up the workspace that a bearer key belongs to.
    #[must_use]
    pub fn workspace_of(&self, bearer_key: &str) -> Option<&ServedWorkspace> {
        let key = self.key_hashes.get(&hash_key(bearer_key))?;
        self.workspaces.get(key.0)
    }

    /// Looks up the service that handles requests of `workspace` for `model`.
    #[must_use]
    pub fn model_route(&self, workspace: &str, model: &str) -> Option<&ServedService> {
        let workspace = *self.workspace_names.get(workspace)?;
        let mut entries = self.model_routes.get(model)?.iter();
        let entry = entries.find(|entry| entry.admits(workspace))?;
        self.services.get(entry.service.0)
    }

    /// Looks up the route for a request to `path` below `/s/<service>`; the query is ignored.
    #[must_use]
    pub fn path_route(
        &self,
        workspace: &str,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<PathRoute<'_>> {
        let workspace = *self.workspace_names.get(workspace)?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let path = with_trailing_slash(path);
        let mut entries = self.path_routes.get(service)?.iter();
        let is_match =
            |entry: &&RouteEntry| entry.admits(workspace) && path.starts_with(&entry.prefix);
        let entry = entries.find(is_match)?;
        let service = self.services.get(entry.service.0)?;
        let idempotent = entry.idempotent_methods.iter().any(|it| it == method);
        Some(PathRoute {
            service,
            idempotent,
        })
    }
}

/// Returns the path with a trailing `/`, so that prefixes match only at segment boundaries.
fn with_trailing_slash(path: &str) -> String {
    let path = path.trim_end_matches('/');
    format!("{path}/")
}

/// Returns the SHA-256 hash of a bearer key in lower-case hexadecimal, as used in declarations.
#[must_use]
pub fn hash_key(bearer_key: &str) -> String {
    use std::fmt::Write as _;
    let digest = sha2::Sha256::digest(bearer_key.as_bytes());
    let mut text = String::with_capacity(digest.len() * 2);
    for byte in digest {
        // Writing to a string cannot fail.
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}
