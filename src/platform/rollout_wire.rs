//! JSON of the rows about roll-outs: the operators' order, the state that they read, and the system's
//! own row with the start of the ramp.

use std::fmt;
use std::time;

use crate::process::gateway::rollout::{order, record};

/// Result of decoding a row.
pub type Result<T> = std::result::Result<T, RolloutRowError>;

/// Start of the keys of orders and of their states.
const KEY_PREFIX: &str = "rollout/";

/// Longest time for a ramp; a longer one is taken as an error of the writer.
const MAX_RAMP: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// A row about a roll-out that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRowError(pub String);

impl fmt::Display for RolloutRowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the row is not valid: {}; write it again", self.0)
    }
}

impl std::error::Error for RolloutRowError {}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct OrderWire {
    service: String,
    to: String,
    /// Time that the ramp may take, in seconds.
    ramp_s: f64,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct StatusWire<'a> {
    state: StateWire,
    to: &'a str,
}

#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWire {
    Running,
    Complete,
    Reverted,
}

#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct RecordWire {
    /// Version of the row with the order.
    order_ver: u64,
    to: String,
    /// Start of the ramp, on the clock of the store.
    started_ms: u64,
    state: StateWire,
}

impl From<record::RecordState> for StateWire {
    fn from(state: record::RecordState) -> Self {
        match state {
            record::RecordState::Running => Self::Running,
            record::RecordState::Complete => Self::Complete,
            record::RecordState::Reverted => Self::Reverted,
        }
    }
}

impl From<StateWire> for record::RecordState {
    fn from(wire: StateWire) -> Self {
        match wire {
            StateWire::Running => Self::Running,
            StateWire::Complete => Self::Complete,
            StateWire::Reverted => Self::Reverted,
        }
    }
}

/// Service whose order a row holds; `None` for other rows.
#[must_use]
pub fn service(key: &str) -> Option<&str> {
    let service = key.strip_prefix(KEY_PREFIX)?;
    (!service.is_empty()).then_some(service)
}

/// Key of the rows of a service.
#[must_use]
pub fn key(service: &str) -> String {
    format!("{KEY_PREFIX}{service}")
}

/// Decodes an order.
///
/// # Errors
/// [`RolloutRowError`] if `value` is no order for the service that the key names.
pub fn decode_order(key: &str, value: &[u8]) -> Result<order::OrderContent> {
    let wire: OrderWire = serde_json::from_slice(value).map_err(invalid)?;
    if service(key) != Some(wire.service.as_str()) {
        return Err(invalid("key and content name different services"));
    }
    if wire.to.is_empty() {
        return Err(invalid("the version is empty"));
    }
    let ramp = time::Duration::try_from_secs_f64(wire.ramp_s).map_err(invalid)?;
    if ramp > MAX_RAMP {
        return Err(invalid("the ramp takes more than a day"));
    }
    Ok(order::OrderContent { to: wire.to, ramp })
}

/// Decodes the system's own row of a roll-out.
///
/// # Errors
/// [`RolloutRowError`] if `value` is not such a row.
pub fn decode_record(value: &[u8]) -> Result<record::RolloutRecord> {
    let wire: RecordWire = serde_json::from_slice(value).map_err(invalid)?;
    Ok(record::RolloutRecord {
        order_row: wire.order_ver,
        to: wire.to,
        started_ms: wire.started_ms,
        state: wire.state.into(),
    })
}

/// Encodes the system's own row of a roll-out.
#[must_use]
pub fn encode_record(record: &record::RolloutRecord) -> Vec<u8> {
    let wire = RecordWire {
        order_ver: record.order_row,
        to: record.to.clone(),
        started_ms: record.started_ms,
        state: record.state.into(),
    };
    // Strings and numbers always serialize.
    serde_json::to_vec(&wire).unwrap_or_default()
}

/// Encodes the row that tells operators of a roll-out's state.
#[must_use]
pub fn encode_status(record: &record::RolloutRecord) -> Vec<u8> {
    let wire = StatusWire {
        state: record.state.into(),
        to: &record.to,
    };
    // Strings always serialize.
    serde_json::to_vec(&wire).unwrap_or_default()
}

fn invalid(error: impl fmt::Display) -> RolloutRowError {
    RolloutRowError(error.to_string())
}
