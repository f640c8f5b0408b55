//! Settings of a router process, their defaults and the errors of a settings file.

use std::fmt;
use std::net;
use std::path;

/// Result of loading settings; the error lists every invalid field.
pub type Result<T> = std::result::Result<T, Vec<SettingsFault>>;

/// Validated contents of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    /// Router name: lower-case letters, digits and hyphens, unique among all routers.
    pub router: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Listen address for callers.
    pub listen: net::SocketAddr,
    /// Listen address for other routers.
    pub peer_listen: net::SocketAddr,
    /// Listen address of the operator interface.
    pub admin_listen: net::SocketAddr,
    /// Host and port of the platform's table service and VM list.
    pub platform: String,
    /// Peers to contact first, each as host and port.
    pub seeds: Vec<String>,
    /// Log format and level.
    pub log: LogSettings,
    /// StatsD server address; `None` (the default) disables StatsD.
    pub statsd: Option<net::SocketAddr>,
    /// How long callers may cache an address response, in milliseconds.
    pub address_keep_ms: u64,
    /// Delay from SIGTERM until running generations are handed over to other routers, in
    /// milliseconds.
    pub drain_timeout_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum memory for request bodies of callers, in bytes.
    pub caller_memory_bytes: usize,
    /// Maximum number of caller connections.
    pub max_connections: usize,
    /// Idle timeout of a caller connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Log format and level.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Output format.
    pub format: LogFormat,
    /// Minimum severity that is logged.
    pub level: LogLevel,
}

/// Output format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need operator action.
    Error,
    /// Failures that the system recovers from.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Diagnostic details.
    Debug,
}

/// Default of `address_keep_ms`, in milliseconds.
pub const DEFAULT_ADDRESS_KEEP_MS: u64 = 5_000;

/// Default of `drain_timeout_ms`, in milliseconds.
pub const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 30_000;

/// Default of `max_body_bytes`, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Default of `caller_memory_bytes`, in bytes: 16 bodies of the default size. With a larger
/// `max_body_bytes`, the default is the smallest value that [`min_caller_memory`] allows.
pub const DEFAULT_CALLER_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// Smallest allowed `caller_memory_bytes`. An eighth of the memory is reserved for small requests, so
/// that a single body of the largest size needs more than its own size.
#[must_use]
pub const fn min_caller_memory(max_body_bytes: usize) -> usize {
    2 * max_body_bytes
}

/// Default of `max_connections`.
pub const DEFAULT_MAX_CONNECTIONS: usize = 10_000;

/// Default of `idle_timeout_ms`, in milliseconds.
pub const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct SettingsFault {
    /// Path of the settings file.
    pub file: path::PathBuf,
    /// Line number, starting at 1; 0 when no line applies, such as for a missing field.
    pub line: u64,
    /// Dotted field path, such as `log.level`; empty when the error concerns the whole file.
    pub field: String,
    /// What is wrong, or which values are allowed.
    pub message: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}", self.message)
    }
}

impl std::error::Error for SettingsFault {}
