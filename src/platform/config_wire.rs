//! JSON decoding of the configuration that operators write to the platform store.

use std::time;

use crate::version::traffic;

/// Result of decoding a configuration.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// Endpoints that one request may be tried on if its route sets no `attempts`.
const DEFAULT_ATTEMPTS: u32 = 1;

/// Request timeout of routes that set no `timeout_ms`.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;

/// Longer times are cut to this, as a clock cannot count to the end of any time.
const LONGEST_TIME: time::Duration = time::Duration::from_secs(365 * 24 * 60 * 60);

/// Priority of routes that set none; 0 is the highest.
const DEFAULT_PRIORITY: u8 = 5;

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ConfigWire {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteWire>,
    #[serde(default)]
    services: Vec<ServiceWire>,
    #[serde(default)]
    limits: LimitsWire,
    /// Workspaces; `None` disables API key checks.
    tenants: Option<Vec<TenantWire>>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct RouteWire {
    #[serde(default)]
    name: String,
    host: String,
    prefix: String,
    /// `safe`, `unsafe` or `stream`; any other value is treated as `unsafe`.
    kind: String,
    timeout_ms: Option<f64>,
    /// Target time to the response, or to the first event of a stream.
    goal_ms: Option<f64>,
    gap_goal_ms: Option<f64>,
    priority: Option<u8>,
    /// Target service; ignored if `split` is not empty.
    service: Option<String>,
    #[serde(default)]
    split: Vec<SplitWire>,
    attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    can_resume: bool,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct SplitWire {
    service: String,
    weight: f64,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ServiceWire {
    name: String,
    health_path: Option<String>,
    /// Capabilities of model engines; `None` for other services.
    engine: Option<EngineWire>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct EngineWire {
    /// Whether an engine can keep a KV cache backup of a running request on another engine.
    #[serde(default)]
    backups: bool,
    /// Whether an engine copies the KV cache of a running request on demand.
    #[serde(default)]
    moves: bool,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct LimitsWire {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct TenantWire {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
}

/// Decodes a configuration version.
///
/// # Errors
/// The JSON error if `value` is not a valid configuration.
pub fn decode(value: &[u8]) -> Result<traffic::TrafficVersion> {
    let wire: ConfigWire = serde_json::from_slice(value)?;
    Ok(traffic::TrafficVersion::from(traffic::TrafficParts::from(
        wire,
    )))
}

impl From<ConfigWire> for traffic::TrafficParts {
    fn from(wire: ConfigWire) -> Self {
        let workspaces = wire.tenants.map(|tenants| {
            let tenants = tenants.into_iter();
            let workspaces = tenants.map(|tenant| {
                let profile = traffic::WorkspaceProfile {
                    name: tenant.name,
                    priority: tenant.priority,
                };
                (profile, tenant.api_keys)
            });
            workspaces.collect()
        });
        Self {
            number: wire.version,
            routes: wire.routes.into_iter().map(From::from).collect(),
            services: wire.services.into_iter().map(From::from).collect(),
            workspaces,
            limits: traffic::CallerLimits::from(wire.limits),
        }
    }
}

impl From<RouteWire> for traffic::TrafficRoute {
    fn from(wire: RouteWire) -> Self {
        let kind = match wire.kind.as_str() {
            "safe" => traffic::RepeatKind::Idempotent,
            "stream" => traffic::RepeatKind::Stream {
                is_resumable: wire.can_resume,
            },
            // Unknown kinds are not retried, as that might not be safe.
            _ => traffic::RepeatKind::Once,
        };
        let timeout = millis(wire.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
        let mut services: Vec<traffic::ServiceShare> =
            wire.split.into_iter().map(From::from).collect();
        if let Some(service) = wire.service.filter(|_name| services.is_empty()) {
            services.push(traffic::ServiceShare { service, weight: 1 });
        }
        Self {
            name: wire.name,
            host: wire.host.to_ascii_lowercase(),
            prefix: wire.prefix,
            kind,
            timeout,
            goal: wire.goal_ms.map(millis),
            gap_goal: wire.gap_goal_ms.map(millis),
            priority: wire.priority.unwrap_or(DEFAULT_PRIORITY),
            services,
            attempts: wire.attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
            is_public: wire.public,
        }
    }
}

impl From<SplitWire> for traffic::ServiceShare {
    fn from(wire: SplitWire) -> Self {
        /// Weights are stored as integers, in units of 1/1,000.
        const UNITS_PER_WEIGHT: f64 = 1_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the range of the type"
        )]
        let weight =
            (wire.weight * UNITS_PER_WEIGHT).clamp(0.0, f64::from(u32::MAX / 1_000)) as u32;
        Self {
            service: wire.service,
            weight,
        }
    }
}

impl From<ServiceWire> for traffic::ServiceProfile {
    fn from(wire: ServiceWire) -> Self {
        Self {
            name: wire.name,
            has_backups: wire.engine.as_ref().is_some_and(|engine| engine.backups),
            has_moves: wire.engine.is_some_and(|engine| engine.moves),
            // Anything else cannot be the target of a request.
            health_path: wire.health_path.filter(|path| is_target(path)),
        }
    }
}

impl From<LimitsWire> for traffic::CallerLimits {
    fn from(wire: LimitsWire) -> Self {
        let default = Self::default();
        let millis = |value: Option<u64>, default| {
            let duration = value.map_or(default, time::Duration::from_millis);
            duration.min(LONGEST_TIME)
        };
        Self {
            head_bytes: wire.max_header_bytes.unwrap_or(default.head_bytes),
            body_bytes: wire.max_body_bytes.unwrap_or(default.body_bytes),
            head_timeout: millis(wire.header_timeout_ms, default.head_timeout),
            idle_timeout: millis(wire.idle_timeout_ms, default.idle_timeout),
        }
    }
}

fn is_target(path: &str) -> bool {
    path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic())
}

fn millis(value: f64) -> time::Duration {
    let duration = time::Duration::try_from_secs_f64(value / 1_000.0);
    duration.map_or(LONGEST_TIME, |duration| duration.min(LONGEST_TIME))
}
