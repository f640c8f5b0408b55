//! Data model of the YAML declarations that operators write.

/// All declarations of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredSet {
    /// Services and their endpoints.
    #[serde(default)]
    pub services: Vec<DeclaredService>,
    /// Workspaces and their limits.
    #[serde(default)]
    pub workspaces: Vec<DeclaredWorkspace>,
    /// Routes from callers' requests to services.
    #[serde(default)]
    pub routes: Vec<DeclaredRoute>,
}

/// A service whose endpoints run a model, or a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredService {
    /// Service name: lower-case letters, digits and hyphens.
    pub name: String,
    /// Model that the service's endpoints run; `None` for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<DeclaredModel>,
    /// How a generation is recovered when its endpoint is lost.
    #[serde(default)]
    pub recovery: RecoveryKind,
    /// Endpoints of the service.
    #[serde(default)]
    pub endpoints: Vec<DeclaredEndpoint>,
}

/// Model, version and adapter that a service runs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredModel {
    /// Model name, as used in requests.
    pub name: String,
    /// Model version.
    pub version: String,
    /// Adapter applied to the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

/// How a generation is recovered when its endpoint is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryKind {
    /// Starts a replacement while the unresponsive endpoint is probed: lowest resume latency.
    #[default]
    Fast,
    /// Probes first and starts a replacement only if the probe fails: least extra work.
    Frugal,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredEndpoint {
    /// Endpoint name, unique across all services: lower-case letters, digits and hyphens.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the endpoint rejects orders with a stale fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint is draining and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Default number of slots of an endpoint.
pub const DEFAULT_SLOTS: u32 = 64;

const fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// A workspace, with its keys and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredWorkspace {
    /// Workspace name: lower-case letters, digits and hyphens.
    pub name: String,
    /// SHA-256 hash of each accepted bearer key, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Maximum number of in-flight requests across all routers.
    pub max_in_flight: u32,
    /// Maximum number of requests queued at one router.
    #[serde(default = "default_queue")]
    pub max_queue: u32,
}

/// Default queue limit of a workspace.
pub const DEFAULT_QUEUE: u32 = 256;

const fn default_queue() -> u32 {
    DEFAULT_QUEUE
}

/// A route from a model name or a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredRoute {
    /// Model name in `POST /v1/completions`; `None` for a path route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Path prefix below `/s/<service>`, such as `/stock`; `None` for a model route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Service that handles the requests.
    pub service: String,
    /// Workspaces that may use the route; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<String>,
    /// Methods whose requests may be retried; `None` for GET and HEAD. Path routes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent_methods: Option<Vec<String>>,
}
