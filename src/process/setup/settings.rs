//! Settings of one router process, read from its YAML file.

use std::fmt;
use std::net;
use std::path;

/// Outcome of loading settings.
pub type Result<T> = std::result::Result<T, Vec<SettingsFault>>;

/// Everything a router learns from its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    pub seeds: Vec<String>,
    /// Logs.
    pub log: LogSettings,
    /// Address to send StatsD counters to; none by default.
    pub statsd: Option<net::SocketAddr>,
    /// Time for which callers may keep an address answer, in milliseconds.
    pub address_keep_ms: u64,
    /// Time after SIGTERM until running generations are moved to other routers, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Connections of callers at most.
    pub max_connections: usize,
    /// Time after which an idle connection of a caller is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// How log lines are written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severe level written.
    pub level: LogLevel,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize)]
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

/// Time for which callers keep an address answer when the settings give none, in milliseconds.
pub const DEFAULT_ADDRESS_KEEP_MS: u64 = 5_000;

/// Drain timeout when the settings give none, in milliseconds.
pub const DEFAULT_DRAIN_TIMEOUT_MS: u64 = 30_000;

/// Body limit when the settings give none, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Connection limit when the settings give none.
pub const DEFAULT_MAX_CONNECTIONS: usize = 10_000;

/// Idle timeout when the settings give none, in milliseconds.
pub const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct SettingsFault {
    /// The file.
    pub file: path::PathBuf,
    /// Line, from 1; 0 when the fault has none.
    pub line: u64,
    /// Field name with dots, such as `log.level`; empty when the file as a whole is at fault.
    pub field: String,
    /// One plain sentence that says what is allowed.
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
