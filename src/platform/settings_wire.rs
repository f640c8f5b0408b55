//! The YAML settings file that the platform writes to each VM.

use std::collections;
use std::env;
use std::fmt;
use std::fs;
use std::net;
use std::time;

use crate::process::gateway::{reload, settings};

/// Result of reading the settings.
pub type Result<T> = std::result::Result<T, Vec<SettingsFault>>;

/// Environment variable that holds the path of the settings file.
pub const FILE_VARIABLE: &str = "KUMQUATPULLEY_NODE_FILE";

/// Metrics port; must match `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// Time for endpoints whose entries expired during a store outage to register again, including a
/// margin for network delay.
const REREGISTRATION_GRACE: time::Duration = time::Duration::from_millis(2_200);

/// Stop grace period if the file sets no `grace_s`.
const DEFAULT_STOP_GRACE_S: f64 = 8.0;

/// Time that callers may cache addresses if the file sets no `ttl_max_s`.
const DEFAULT_ADDRESS_TTL_S: f64 = 5.0;

/// Time limit for propagating a change if the file sets neither `drain_ms` nor `config_ms`. This
/// is the shortest limit in the platform's documentation.
const DEFAULT_PROPAGATION_MS: u64 = 2_000;

/// Name in `contracts` under which orders to roll out a software version are followed.
const ROLLOUT_CONTRACT: &str = "rollout";

/// Share of requests for a bad software version if the file sets no `expose_share`.
const DEFAULT_EXPOSE_SHARE: f64 = 0.1;

/// Requests for a bad software version beyond its share if the file sets no `expose_slack`.
const DEFAULT_EXPOSE_SLACK: f64 = 50.0;

/// Time until a bad software version gets nothing more if the file sets no `rollback_ms`.
const DEFAULT_ROLLBACK_MS: u64 = 5_000;

/// An error in the settings, with a hint on how to fix it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault(pub String);

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsFault {}

/// Content of the settings file. Unknown fields are ignored.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct NodeFile {
    /// Name of the VM; also the name of the router on it.
    node: String,
    /// IP address of the VM, on which metrics are served.
    ip: String,
    zone: String,
    listen: ListenTable,
    /// `listen.control` addresses of at most three VMs; some may be stale.
    seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    bootstrap: bool,
    limits: LimitTable,
    bounds: BoundTable,
    /// Names of the optional parts that the platform takes part in.
    contracts: Option<Vec<String>>,
    platform: StoreTable,
}

/// Addresses that the process listens on; `None` for roles that it does not have.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct ListenTable {
    /// Requests of callers.
    front: Option<String>,
    /// Readiness checks.
    ready: Option<String>,
    /// Connections from other routers.
    control: Option<String>,
    /// Lookups of the addresses that callers should use.
    directory: Option<String>,
}

#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct LimitTable {
    memory_mb: u64,
    max_fds: u64,
}

#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct BoundTable {
    strict_revoke: bool,
    revoke_ms: u64,
    /// Time limit until a draining endpoint gets no new requests.
    drain_ms: Option<u64>,
    /// Time limit until a new configuration is in force.
    config_ms: Option<u64>,
    grace_s: Option<f64>,
    ttl_max_s: Option<f64>,
    budget_ratio: f64,
    budget_slack: f64,
    budget_window_s: f64,
    expose_share: Option<f64>,
    expose_slack: Option<f64>,
    rollback_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct StoreTable {
    /// IP address and port of the store.
    addr: String,
}

/// Settings source that reads the file named by [`FILE_VARIABLE`].
#[derive(Clone, Copy, Debug)]
pub struct SettingsFile;

impl reload::SettingsSource for SettingsFile {
    fn read(&self) -> reload::Result<settings::GatewaySettings> {
        load().map_err(|faults| faults.iter().map(ToString::to_string).collect())
    }
}

/// Reads the settings file named by [`FILE_VARIABLE`].
///
/// # Errors
/// All faults found, each with a hint on how to fix it.
pub fn load() -> Result<settings::GatewaySettings> {
    let path = env::var(FILE_VARIABLE).map_err(|_unset| {
        fault(format!(
            "{FILE_VARIABLE} is not set; set it to the settings file of the VM"
        ))
    })?;
    let text = fs::read_to_string(&path)
        .map_err(|error| fault(format!("{path}: {error}; make the file readable")))?;
    parse(&text)
}

/// Parses the text of a settings file.
///
/// # Errors
/// All faults found, each with a hint on how to fix it.
pub fn parse(text: &str) -> Result<settings::GatewaySettings> {
    let file: NodeFile = serde_saphyr::from_str(text)
        .map_err(|error| fault(format!("the settings are not valid YAML: {error}")))?;
    settings::GatewaySettings::try_from(file)
}

fn fault(message: String) -> Vec<SettingsFault> {
    vec![SettingsFault(message)]
}

/// Parses addresses and collects all errors.
#[derive(Default)]
struct AddressReader {
    faults: Vec<SettingsFault>,
}

impl AddressReader {
    fn optional(&mut self, field: &str, text: Option<&str>) -> Option<net::SocketAddr> {
        let text = text?;
        let address = text.parse();
        if address.is_err() {
            let message = format!("{field}: {text:?} is no IP address with port; set one");
            self.faults.push(SettingsFault(message));
        }
        address.ok()
    }

    fn required(&mut self, field: &str, text: Option<&str>) -> net::SocketAddr {
        let text = text.filter(|text| !text.is_empty());
        if text.is_none() {
            let message = format!("{field} is missing; set an IP address with port");
            self.faults.push(SettingsFault(message));
        }
        self.optional(field, text).unwrap_or(UNSET_ADDRESS)
    }
}

/// Placeholder for a missing address; settings with a fault are never used.
const UNSET_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

impl TryFrom<NodeFile> for settings::GatewaySettings {
    type Error = Vec<SettingsFault>;

    fn try_from(file: NodeFile) -> Result<Self> {
        let mut reader = AddressReader::default();
        if file.node.is_empty() {
            let message = "node is missing; set a name that is unique among VMs".to_owned();
            reader.faults.push(SettingsFault(message));
        }
        let metrics_listen = format!("{}:{METRICS_PORT}", file.ip);
        let seeds: collections::BTreeSet<String> = file.seeds.into_iter().collect();
        let contracts = file.contracts.unwrap_or_default();
        let settings = Self {
            router: file.node,
            zone: file.zone,
            caller_listen: reader.required("listen.front", file.listen.front.as_deref()),
            ready_listen: reader.optional("listen.ready", file.listen.ready.as_deref()),
            address_listen: reader.optional("listen.directory", file.listen.directory.as_deref()),
            peer_listen: reader.required("listen.control", file.listen.control.as_deref()),
            metrics_listen: reader.optional("ip", Some(&metrics_listen)),
            seeds: seeds.into_iter().collect(),
            store: reader.required("platform.addr", Some(&file.platform.addr)),
            memory_bytes: file.limits.memory_mb * 1024 * 1024,
            max_descriptors: file.limits.max_fds,
            is_first_start: file.bootstrap,
            follows_rollouts: contracts.iter().any(|name| name == ROLLOUT_CONTRACT),
            bounds: settings::GatewayBounds::from(&file.bounds),
        };
        if reader.faults.is_empty() {
            return Ok(settings);
        }
        Err(reader.faults)
    }
}

impl From<&BoundTable> for settings::GatewayBounds {
    fn from(table: &BoundTable) -> Self {
        let key_age = time::Duration::from_millis(table.revoke_ms);
        let seconds =
            |value: f64| time::Duration::try_from_secs_f64(value).unwrap_or(time::Duration::ZERO);
        let changes = [table.drain_ms, table.config_ms];
        let change_ms = changes.into_iter().flatten().min();
        let change_ms = change_ms.unwrap_or(DEFAULT_PROPAGATION_MS);
        let rollback_ms = table.rollback_ms.unwrap_or(DEFAULT_ROLLBACK_MS);
        Self {
            propagation_limit: time::Duration::from_millis(change_ms),
            max_key_age: table.strict_revoke.then_some(key_age),
            stop_grace: seconds(table.grace_s.unwrap_or(DEFAULT_STOP_GRACE_S)),
            max_address_ttl: seconds(table.ttl_max_s.unwrap_or(DEFAULT_ADDRESS_TTL_S)),
            reregistration_grace: REREGISTRATION_GRACE,
            retry_ratio: table.budget_ratio,
            retry_slack: table.budget_slack,
            retry_window: seconds(table.budget_window_s.max(1.0)),
            expose_share: table.expose_share.unwrap_or(DEFAULT_EXPOSE_SHARE),
            expose_slack: table.expose_slack.unwrap_or(DEFAULT_EXPOSE_SLACK),
            rollback_limit: time::Duration::from_millis(rollback_ms),
        }
    }
}
