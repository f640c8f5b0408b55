//! Declarations as operators write them in YAML.

/// Everything that one configuration version declares.
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
    /// Routes that callers take to services.
    #[serde(default)]
    pub routes: Vec<DeclaredRoute>,
}

/// A service: model runners, or a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredService {
    /// Service name: lower-case letters, digits and hyphens.
    pub name: String,
    /// The model that the service's endpoints run; absent for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<DeclaredModel>,
    /// How a lost generation goes on.
    #[serde(default)]
    pub recovery: RecoveryKind,
    /// Endpoints that serve it.
    #[serde(default)]
    pub endpoints: Vec<DeclaredEndpoint>,
}

/// A model version to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredModel {
    /// Model name, as callers give it.
    pub name: String,
    /// Model version.
    pub version: String,
    /// Adapter on top of the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

/// How a lost generation goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryKind {
    /// Starts a replacement while the silent endpoint is probed: least resume latency.
    #[default]
    Fast,
    /// Probes first and replaces only when that fails: least extra work.
    Frugal,
}

/// One endpoint of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredEndpoint {
    /// Endpoint name, unique over all services: lower-case letters, digits and hyphens.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that the endpoint takes at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the endpoint refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the endpoint takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Slots of an endpoint that declares none.
pub const DEFAULT_SLOTS: u32 = 64;

const fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredWorkspace {
    /// Workspace name: lower-case letters, digits and hyphens.
    pub name: String,
    /// SHA-256 of each accepted bearer key, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Requests in flight over all routers at most.
    pub max_in_flight: u32,
    /// Requests waiting at one router at most.
    #[serde(default = "default_queue")]
    pub max_queue: u32,
}

/// Queue length of a workspace that declares none.
pub const DEFAULT_QUEUE: u32 = 256;

const fn default_queue() -> u32 {
    DEFAULT_QUEUE
}

/// A route from what callers ask for to a service: a model name or a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredRoute {
    /// Model name in `POST /v1/completions`; absent for a path route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Path prefix below `/s/<service>`, such as `/stock`; absent for a model route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Service that answers.
    pub service: String,
    /// Workspaces that may take the route; empty for all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<String>,
    /// Methods that may be repeated; by default GET and HEAD. Path routes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent_methods: Option<Vec<String>>,
}
