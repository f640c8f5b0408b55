//! JSON formats of engine load reports and of calls that copy the KV cache of a request.

use std::net;

use serde::de::Error as _;

use crate::request::relay::report;

/// Result of decoding an engine response.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// Maximum length of the handle of a copy.
const MAX_HANDLE_BYTES: usize = 200;

/// `state` of an engine that accepts no new requests.
const LEAVING_STATE: &str = "draining";

/// A report; each field is decoded by itself, so that an odd one does not hide the others.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct ReportWire<'a> {
    /// Start of the engine, in milliseconds since the Unix epoch; the same as in its entry.
    #[serde(borrow)]
    born: Option<&'a serde_json::value::RawValue>,
    state: Option<&'a serde_json::value::RawValue>,
    /// Requests waiting in the queue.
    queued: Option<&'a serde_json::value::RawValue>,
    /// Requests being computed.
    active: Option<&'a serde_json::value::RawValue>,
    /// KV cache in use that cannot be evicted, in tokens.
    kv_used: Option<&'a serde_json::value::RawValue>,
    /// KV cache size, in tokens.
    kv_total: Option<&'a serde_json::value::RawValue>,
    /// Requests on the engine: ID, tokens in the KV cache, events generated, priority. `None` if
    /// the engine does not list them.
    runs: Option<&'a serde_json::value::RawValue>,
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
    handle: HandleWire,
}

/// Handle of a copy.
#[derive(Debug)]
#[derive(serde::Deserialize)]
#[serde(untagged)]
enum HandleWire {
    Name(String),
    Number(serde_json::Number),
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
/// The JSON error if `value` is not a valid response, or the handle cannot be sent in a header.
pub fn decode_moved(value: &[u8]) -> Result<String> {
    let wire: MovedWire = serde_json::from_slice(value)?;
    let name = match wire.handle {
        HandleWire::Name(name) => name,
        HandleWire::Number(number) => number.to_string(),
    };
    // Requests name the copy in a header, which a line break would end.
    let is_token = name.bytes().all(|byte| byte.is_ascii_graphic());
    if name.is_empty() || name.len() > MAX_HANDLE_BYTES || !is_token {
        return Err(serde_json::Error::custom(
            "the handle is empty, too long or not of visible ASCII characters",
        ));
    }
    Ok(name)
}

/// Decodes an engine report. Numbers are cut to the range of their type; fields that cannot be read
/// count as absent.
///
/// # Errors
/// The JSON error if `value` is not a JSON object.
pub fn decode(value: &[u8]) -> Result<report::EngineReport> {
    let wire: ReportWire<'_> = serde_json::from_slice(value)?;
    Ok(report::EngineReport::from(wire))
}

impl From<ReportWire<'_>> for report::EngineReport {
    fn from(wire: ReportWire<'_>) -> Self {
        Self {
            incarnation: number(wire.born),
            is_leaving: wire.state.and_then(text).as_deref() == Some(LEAVING_STATE),
            waiting: u32::try_from(number(wire.queued)).unwrap_or(u32::MAX),
            running: u32::try_from(number(wire.active)).unwrap_or(u32::MAX),
            memory_used: number(wire.kv_used),
            memory_total: number(wire.kv_total),
            runs: wire.runs.and_then(engine_runs),
        }
    }
}

/// The requests on an engine; `None` if one of them cannot be told, as any request may be that one.
fn engine_runs(list: &serde_json::value::RawValue) -> Option<Vec<report::EngineRun>> {
    let runs: Vec<&serde_json::value::RawValue> = serde_json::from_str(list.get()).ok()?;
    runs.into_iter().map(engine_run).collect()
}

fn engine_run(run: &serde_json::value::RawValue) -> Option<report::EngineRun> {
    let fields: Vec<&serde_json::value::RawValue> = serde_json::from_str(run.get()).ok()?;
    let mut fields = fields.into_iter();
    Some(report::EngineRun {
        request: fields.next().and_then(text)?,
        tokens: number(fields.next()),
        events: number(fields.next()),
    })
}

fn text(value: &serde_json::value::RawValue) -> Option<String> {
    serde_json::from_str(value.get()).ok()
}

/// A number cut to the range of the type; 0 for anything else.
fn number(value: Option<&serde_json::value::RawValue>) -> u64 {
    let Some(text) = value.map(serde_json::value::RawValue::get) else {
        return 0;
    };
    let whole = text.parse::<u64>();
    whole.unwrap_or_else(|_not_whole| {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the cast cuts to the range of the type"
        )]
        let cut = text.parse::<f64>().unwrap_or_default() as u64;
        cut
    })
}
