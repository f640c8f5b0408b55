//! Operator library: builders for services, workspaces and routes that print the YAML.
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

/// File name in the faults of declarations that were built.
pub const BUILT_FILE: &str = "declarations";

/// Builds everything that one configuration version declares.
#[derive(Clone, Debug, Default)]
pub struct SetBuilder {
    set: declaration::DeclaredSet,
}

impl SetBuilder {
    /// Declarations of nothing.
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

    /// The declarations, unchecked.
    #[must_use]
    pub fn into_set(self) -> declaration::DeclaredSet {
        self.set
    }

    /// The YAML that `kumquatpulley apply` takes unchanged.
    ///
    /// # Errors
    /// All faults, with their lines in the YAML that would have been printed.
    pub fn to_yaml(&self) -> check::Result<String> {
        let yaml = print(&self.set)?;
        check::parse(BUILT_FILE, &yaml)?;
        Ok(yaml)
    }
}

/// Prints declarations as YAML, without checking them.
///
/// # Errors
/// A fault that names what cannot be written in YAML.
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

/// Builds a service.
#[derive(Clone, Debug)]
pub struct ServiceBuilder {
    service: declaration::DeclaredService,
}

impl ServiceBuilder {
    /// A plain HTTP service.
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

    /// A service whose endpoints run a model.
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

    /// Sets the adapter on top of the model; a plain service has none.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<String>) -> Self {
        if let Some(model) = &mut self.service.model {
            model.adapter = Some(adapter.into());
        }
        self
    }

    /// Sets how a lost generation goes on.
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

/// Builds an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBuilder {
    endpoint: declaration::DeclaredEndpoint,
}

impl EndpointBuilder {
    /// An endpoint at `address`, an IP address and port.
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

    /// Sets how many requests it takes at the same time.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.endpoint.slots = slots;
        self
    }

    /// States that it refuses orders that carry an old fencing number.
    #[must_use]
    pub fn checks_fencing(mut self) -> Self {
        self.endpoint.checks_fencing = true;
        self
    }

    /// States that it takes no new work.
    #[must_use]
    pub fn leaving(mut self) -> Self {
        self.endpoint.leaving = true;
        self
    }
}

/// Builds a workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceBuilder {
    workspace: declaration::DeclaredWorkspace,
}

impl WorkspaceBuilder {
    /// A workspace with at most `max_in_flight` requests over all routers.
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

    /// Accepts a bearer key; only its hash is declared.
    #[must_use]
    pub fn key(self, bearer_key: &str) -> Self {
        self.key_hash(route::hash_key(bearer_key))
    }

    /// Accepts the bearer key with this SHA-256, in hexadecimal.
    #[must_use]
    pub fn key_hash(mut self, hash: impl Into<String>) -> Self {
        self.workspace.key_hashes.push(hash.into());
        self
    }

    /// Sets how many requests may wait at one router.
    #[must_use]
    pub fn max_queue(mut self, max_queue: u32) -> Self {
        self.workspace.max_queue = max_queue;
        self
    }
}

/// Builds a route.
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

    /// A route from a model name to a service that runs that model.
    #[must_use]
    pub fn model(model: impl Into<String>, service: impl Into<String>) -> Self {
        let mut builder = Self::to(service);
        builder.route.model = Some(model.into());
        builder
    }

    /// A route from a path prefix below `/s/<service>` to a plain service.
    #[must_use]
    pub fn path(prefix: impl Into<String>, service: impl Into<String>) -> Self {
        let mut builder = Self::to(service);
        builder.route.path = Some(prefix.into());
        builder
    }

    /// Lets a workspace take the route; without any, all may.
    #[must_use]
    pub fn workspace(mut self, workspace: impl Into<String>) -> Self {
        self.route.workspaces.push(workspace.into());
        self
    }

    /// Sets the methods that may be repeated, in place of GET and HEAD.
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
