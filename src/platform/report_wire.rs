//! JSON formats of engine load reports and of calls that copy the KV cache of a request.

use std::net;

use crate::request::relay::report;

/// Result of decoding an engine response.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// `state` of an engine that accepts no new requests.
const LEAVING_STATE: &str = "draining";

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ReportWire {
    #[serde(default)]
    state: Option<String>,
    /// Requests waiting in the queue.
    #[serde(default)]
    queued: u32,
    /// Requests being computed.
    #[serde(default)]
    active: u32,
    /// KV cache in use that cannot be evicted, in tokens.
    #[serde(default)]
    kv_used: u64,
    /// KV cache size, in tokens.
    #[serde(default)]
    kv_total: u64,
    /// Requests on the engine: ID, tokens in the KV cache, events generated, priority. `None` if
    /// the engine does not list them.
    runs: Option<Vec<(String, u64, u64, serde_json::Value)>>,
}

/// Request to copy the KV cache of a request. The request keeps running, as `last` is not sent.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct MoveWire<'a> {
    /// ID of the running request.
    id: &'a str,
    /// Address of the engine that receives the copy.
    to: String,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct MovedWire {
    /// Handle of the copy: a string or a number.
    handle: serde_json::Value,
}

/// Encodes the body of a call that copies the KV cache of `request` to `holder`.
#[must_use]
pub fn encode_move(request: &str, holder: net::SocketAddr) -> Vec<u8> {
    let wire = MoveWire {
        id: request,
        to: holder.to_string(),
    };
    // Strings always serialize.
    serde_json::to_vec(&wire).unwrap_or_default()
}

/// Decodes the handle of a copy, which may be a string or a number, as a string.
///
/// # Errors
/// The JSON error if `value` is not a valid response.
pub fn decode_moved(value: &[u8]) -> Result<String> {
    let wire: MovedWire = serde_json::from_slice(value)?;
    Ok(match wire.handle {
        serde_json::Value::String(name) => name,
        other => other.to_string(),
    })
}

/// Decodes an engine report.
///
/// # Errors
/// The JSON error if `value` is not a valid report.
pub fn decode(value: &[u8]) -> Result<report::EngineReport> {
    let wire: ReportWire = serde_json::from_slice(value)?;
    Ok(report::EngineReport::from(wire))
}

impl From<ReportWire> for report::EngineReport {
    fn from(wire: ReportWire) -> Self {
        let runs = wire.runs.map(|runs| {
            let runs = runs.into_iter();
            let runs = runs.map(|(request, tokens, events, _priority)| report::EngineRun {
                request,
                tokens,
                events,
            });
            runs.collect()
        });
        Self {
            is_leaving: wire.state.as_deref() == Some(LEAVING_STATE),
            waiting: wire.queued,
            running: wire.active,
            memory_used: wire.kv_used,
            memory_total: wire.kv_total,
            runs,
        }
    }
}
