//! The report of an engine about itself, and the move of a run's memory.

use std::net;

use crate::request::relay::report;

/// Outcome of decoding.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// State of an engine that takes no new work.
const LEAVING_STATE: &str = "draining";

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ReportWire {
    #[serde(default)]
    state: Option<String>,
    /// Requests that wait.
    #[serde(default)]
    queued: u32,
    /// Requests that are computed.
    #[serde(default)]
    active: u32,
    /// Tokens of memory that cannot yield.
    #[serde(default)]
    kv_used: u64,
    #[serde(default)]
    kv_total: u64,
    /// Requests that the engine holds: identifier, tokens in memory, events made, rank. Absent at
    /// engines that do not list them.
    runs: Option<Vec<(String, u64, u64, serde_json::Value)>>,
}

/// The call that copies a run's memory; without `last`, the run goes on.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct MoveWire<'a> {
    /// Identifier of the request that runs.
    id: &'a str,
    /// Address of the engine that gets the copy.
    to: String,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct MovedWire {
    /// Name of the copy.
    handle: serde_json::Value,
}

/// Encodes the call that copies the memory of a run to `holder`.
#[must_use]
pub fn encode_move(request: &str, holder: net::SocketAddr) -> Vec<u8> {
    let wire = MoveWire {
        id: request,
        to: holder.to_string(),
    };
    // Two texts always serialize.
    serde_json::to_vec(&wire).unwrap_or_default()
}

/// Decodes the name of a moved copy, which is text or a number.
///
/// # Errors
/// The decoder's error for bytes that are no such answer.
pub fn decode_moved(value: &[u8]) -> Result<String> {
    let wire: MovedWire = serde_json::from_slice(value)?;
    Ok(match wire.handle {
        serde_json::Value::String(name) => name,
        other => other.to_string(),
    })
}

/// Decodes a report.
///
/// # Errors
/// The decoder's error for bytes that are no report.
pub fn decode(value: &[u8]) -> Result<report::EngineReport> {
    let wire: ReportWire = serde_json::from_slice(value)?;
    Ok(report::EngineReport::from(wire))
}

impl From<ReportWire> for report::EngineReport {
    fn from(wire: ReportWire) -> Self {
        let runs = wire.runs.map(|runs| {
            let runs = runs.into_iter();
            let runs = runs.map(|(request, tokens, events, _rank)| report::EngineRun {
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
