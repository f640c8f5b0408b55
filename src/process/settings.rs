//! Settings of one router process, read from its YAML file.

use std::net;

/// Everything a router learns from its settings file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Router name: lower-case letters, digits and hyphens, unique over all routers.
    pub router: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for peers.
    pub peer_listen: net::SocketAddr,
    /// Address for operators.
    pub admin_listen: net::SocketAddr,
    /// Address of the platform's table service and VM list, host and port.
    pub platform: String,
    /// Peer addresses to try first, host and port.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Address to send StatsD counters to; none by default.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
    /// Time for which callers may keep an address answer, in milliseconds.
    #[serde(default = "default_address_keep_ms")]
    pub address_keep_ms: u64,
    /// Time after SIGTERM until running generations are moved to other routers, in milliseconds.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Largest accepted request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Connections of callers at most.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Time after which an idle connection of a caller is closed, in milliseconds.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
}

/// How log lines are written.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severe level written.
    pub level: LogLevel,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the system handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details.
    Debug,
}

const fn default_address_keep_ms() -> u64 {
    5_000
}

const fn default_drain_timeout_ms() -> u64 {
    30_000
}

const fn default_max_body_bytes() -> usize {
    4 * 1024 * 1024
}

const fn default_max_connections() -> usize {
    10_000
}

const fn default_idle_timeout_ms() -> u64 {
    60_000
}
