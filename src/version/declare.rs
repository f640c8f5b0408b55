//! Operator library: builders that generate the YAML of services, workspaces and routes.
//!
//! ```
//! use kumquatpulley::version::declare;
//!
//! let portal = declare::ServiceBuilder::plain("portal")
//!     .endpoint(declare::EndpointBuilder::new("p-1", "10.0.1.1:8000", "zone-a"));
//! let yaml = declare::SetBuilder::new()
//!     .service(portal)
//!     .workspace(declare::WorkspaceBuilder::new("brides", 40).key("a bearer key"))
//!     .route(declare::RouteBuilder::path("/stock", "portal").idempotent_methods(["GET", "PUT"]))
//!     .to_yaml()
//!     .expect("the declarations are valid");
//! assert!(yaml.contains("name: portal"));
//! ```

use crate::version::check;
use crate::version::declaration;
use crate::version::route;

/// File name in faults of declarations made with the builders.
pub const BUILT_FILE: &str = "declarations";

/// Builder for all declarations of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct SetBuilder {
    set: declaration::DeclaredSet,
}

impl SetBuilder {
    /// Creates an empty set of declarations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: ServiceBuilder) -> Self {
        self.set.services.push(service.service);
        self
    }

    /// Adds a workspace.
    #[must_use]
    pub fn workspace(mut self, workspace: WorkspaceBuilder) -> Self {
        self.set.workspaces.push(workspace.workspace);
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: RouteBuilder) -> Self {
        self.set.routes.push(route.route);
        self
    }

    /// Returns the declarations without validating them.
    #[must_use]
    pub fn into_set(self) -> declaration::DeclaredSet {
        self.set
    }

    /// Returns the declarations as YAML, ready for `kumquatpulley apply`.
    ///
    /// # Errors
    /// All faults, with their lines in the generated YAML.
    pub fn to_yaml(&self) -> check::Result<String> {
        let yaml = print(&self.set)?;
        check::parse(BUILT_FILE, &yaml)?;
        Ok(yaml)
    }
}

/// Serializes declarations as YAML, without validating them.
///
/// # Errors
/// A fault with the reason why the declarations cannot be serialized.
pub fn print(set: &declaration::DeclaredSet) -> check::Result<String> {
    serde_saphyr::to_string(set).map_err(|error| {
        vec![check::DeclarationFault {
            file: BUILT_FILE.to_owned(),
            line: 1,
            field: "document".to_owned(),
            message: format!("cannot be written as YAML: {error}"),
        }]
    })
}

/// Builder for a service.
#[derive(Clone, Debug)]
pub struct ServiceBuilder {
    service: declaration::DeclaredService,
}

impl ServiceBuilder {
    /// Creates a plain HTTP service.
    #[must_use]
    pub fn plain(name: impl Into<String>) -> Self {
        Self {
            service: declaration::DeclaredService {
                name: name.into(),
                model: None,
                recovery: declaration::RecoveryKind::default(),
                endpoints: Vec::new(),
            },
        }
    }

    /// Creates a service whose endpoints run `model` at `version`.
    #[must_use]
    pub fn model(
        name: impl Into<String>,
        model: impl Into<String>,
        version: impl Into<String>,
    ) -> Self {
        let mut builder = Self::plain(name);
        builder.service.model = Some(declaration::DeclaredModel {
            name: model.into(),
            version: version.into(),
            adapter: None,
        });
        builder
    }

    /// Sets the adapter applied to the model; no effect on a plain service.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<String>) -> Self {
        if let Some(model) = &mut self.service.model {
            model.adapter = Some(adapter.into());
        }
        self
    }

    /// Sets how a generation is recovered when its endpoint is lost.
    #[must_use]
    pub fn recovery(mut self, recovery: declaration::RecoveryKind) -> Self {
        self.service.recovery = recovery;
        self
    }

    /// Adds an endpoint.
    #[must_use]
    pub fn endpoint(mut self, endpoint: EndpointBuilder) -> Self {
        self.service.endpoints.push(endpoint.endpoint);
        self
    }
}

/// Builder for an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBuilder {
    endpoint: declaration::DeclaredEndpoint,
}

impl EndpointBuilder {
    /// Creates an endpoint at `address`, an IP address and port, in availability zone `zone`.
    #[must_use]
    pub fn new(
        name: impl Into<String>,
        address: impl Into<String>,
        zone: impl Into<String>,
    ) -> Self {
        Self {
            endpoint: declaration::DeclaredEndpoint {
                name: name.into(),
                address: address.into(),
                zone: zone.into(),
                slots: declaration::DEFAULT_SLOTS,
                checks_fencing: false,
                leaving: false,
            },
        }
    }

    /// Sets the maximum number of concurrent requests.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.endpoint.slots = slots;
        self
    }

    /// Declares that the endpoint rejects orders with a stale fencing token.
    #[must_use]
    pub fn checks_fencing(mut self) -> Self {
        self.endpoint.checks_fencing = true;
        self
    }

    /// Declares that the endpoint is draining and gets no new requests.
    #[must_use]
    pub fn leaving(mut self) -> Self {
        self.endpoint.leaving = true;
        self
    }
}

/// Builder for a workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceBuilder {
    workspace: declaration::DeclaredWorkspace,
}

impl WorkspaceBuilder {
    /// Creates a workspace with at most `max_in_flight` in-flight requests across all routers.
    #[must_use]
    pub fn new(name: impl Into<String>, max_in_flight: u32) -> Self {
        Self {
            workspace: declaration::DeclaredWorkspace {
                name: name.into(),
                key_hashes: Vec::new(),
                max_in_flight,
                max_queue: declaration::DEFAULT_QUEUE,
            },
        }
    }

    /// Adds an accepted bearer key; only its hash is stored.
    #[must_use]
    pub fn key(self, bearer_key: &str) -> Self {
        self.key_hash(route::hash_key(bearer_key))
    }

    /// Adds the SHA-256 hash of an accepted bearer key, in hexadecimal.
    #[must_use]
    pub fn key_hash(mut self, hash: impl Into<String>) -> Self {
        self.workspace.key_hashes.push(hash.into());
        self
    }

    /// Sets the maximum number of requests queued at one router.
    #[must_use]
    pub fn max_queue(mut self, max_queue: u32) -> Self {
        self.workspace.max_queue = max_queue;
        self
    }
}

/// Builder for a route.
#[derive(Clone, Debug)]
pub struct RouteBuilder {
    route: declaration::DeclaredRoute,
}

impl RouteBuilder {
    fn to(service: impl Into<String>) -> Self {
        Self {
            route: declaration::DeclaredRoute {
                model: None,
                path: None,
                service: service.into(),
                workspaces: Vec::new(),
                idempotent_methods: None,
            },
        }
    }

    /// Creates a route from a model name to a service that runs that model.
    #[must_use]
    pub fn model(model: impl Into<String>, service: impl Into<String>) -> Self {
        let mut builder = Self::to(service);
        builder.route.model = Some(model.into());
        builder
    }

    /// Creates a route from a path prefix below `/s/<service>` to a plain service.
    #[must_use]
    pub fn path(prefix: impl Into<String>, service: impl Into<String>) -> Self {
        let mut builder = Self::to(service);
        builder.route.path = Some(prefix.into());
        builder
    }

    /// Allows a workspace to use the route; if none is added, all may.
    #[must_use]
    pub fn workspace(mut self, workspace: impl Into<String>) -> Self {
        self.route.workspaces.push(workspace.into());
        self
    }

    /// Sets the methods whose requests may be retried, in place of GET and HEAD.
    #[must_use]
    pub fn idempotent_methods<T: Into<String>>(
        mut self,
        methods: impl IntoIterator<Item = T>,
    ) -> Self {
        let methods = methods.into_iter().map(Into::into);
        self.route.idempotent_methods = Some(methods.collect());
        self
    }
}
