//! HTTP client for the streams and reports of a model engine.

use std::fmt;
use std::time;

use crate::connection::engine_wire;
use crate::connection::http;
use crate::connection::sse;
use crate::request::cursor;

/// Result of a call to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// Maximum size of a load report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Maximum size of a list of cache events, in bytes.
const MAX_EVENTS_BYTES: usize = 1024 * 1024;

const STREAM_LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(400),
    head: time::Duration::from_millis(1_500),
};

const CONTROL_LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(400),
    head: time::Duration::from_secs(1),
};

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The connection failed or timed out.
    Unreachable(String),
    /// The engine answered with this HTTP status.
    Refused(u16),
    /// A request cannot be encoded, or an answer cannot be parsed.
    Malformed(String),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(message) | Self::Unreachable(message) | Self::Malformed(message) => {
                f.write_str(message)
            }
            Self::Refused(status) => write!(f, "engine refused with status {status}"),
        }
    }
}

impl std::error::Error for EngineError {}

impl From<http::ExchangeError> for EngineError {
    fn from(error: http::ExchangeError) -> Self {
        if error.bytes_sent == 0 {
            return Self::NotSent(error.message);
        }
        Self::Unreachable(error.message)
    }
}

/// One item of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineItem {
    /// A token or the end of the generation.
    Event(engine_wire::EngineEvent),
    /// A comment, sent as a keep-alive.
    Alive,
}

/// An open stream; closing it leaves the generation running at the engine.
#[derive(Debug)]
pub struct EngineStream {
    reader: sse::EventReader<http_types::Body>,
}

impl EngineStream {
    /// Reads the next item.
    ///
    /// # Errors
    /// [`EngineError`] when the stream fails or ends without its last event.
    pub async fn next(&mut self) -> Result<EngineItem> {
        match self.reader.next().await {
            Ok(Some(sse::StreamItem::Comment)) => Ok(EngineItem::Alive),
            Ok(Some(sse::StreamItem::Event(event))) => parse_event(&event),
            Ok(None) => Err(EngineError::Unreachable("stream ended early".to_owned())),
            Err(error) => Err(EngineError::Unreachable(error.to_string())),
        }
    }
}

fn parse_event(event: &sse::StreamEvent) -> Result<EngineItem> {
    let parsed = serde_json::from_str(&event.data);
    let event = parsed.map_err(|error| EngineError::Malformed(error.to_string()))?;
    Ok(EngineItem::Event(event))
}

/// Starts or continues a generation.
///
/// # Errors
/// [`EngineError`] when the engine does not open a stream.
pub async fn start(address: &str, request: &engine_wire::EngineRequest) -> Result<EngineStream> {
    let body = serde_json::to_string(request)
        .map_err(|error| EngineError::Malformed(error.to_string()))?;
    let mut message = http::request(http_types::Method::Post, address, "/v1/completions");
    message.set_body(body);
    message.insert_header("content-type", "application/json");
    open(address, message).await
}

/// Attaches to a running stream at position `from`.
///
/// # Errors
/// [`EngineError::Refused`] with 404 when the engine does not know the stream.
pub async fn attach(address: &str, attempt: cursor::AttemptId, from: u32) -> Result<EngineStream> {
    let path = format!("/v1/streams/{attempt}?from={from}");
    open(
        address,
        http::request(http_types::Method::Get, address, &path),
    )
    .await
}

async fn open(address: &str, message: http_types::Request) -> Result<EngineStream> {
    let mut response = http::send(address, message, STREAM_LIMITS).await?;
    if !response.status().is_success() {
        return Err(EngineError::Refused(u16::from(response.status())));
    }
    Ok(EngineStream {
        reader: sse::EventReader::new(response.take_body()),
    })
}

/// Cancels a stream; cancelling an unknown one succeeds.
///
/// # Errors
/// [`EngineError`] when the engine cannot be reached.
pub async fn cancel(address: &str, attempt: cursor::AttemptId) -> Result<()> {
    let path = format!("/v1/streams/{attempt}");
    let message = http::request(http_types::Method::Delete, address, &path);
    http::send(address, message, CONTROL_LIMITS).await?;
    Ok(())
}

/// Reads the engine's load report.
///
/// # Errors
/// [`EngineError`] when the engine cannot be reached or the report cannot be read.
pub async fn report(address: &str) -> Result<engine_wire::EngineReport> {
    read_json(address, "/load", MAX_REPORT_BYTES).await
}

/// Reads the cache events after the one numbered `after`.
///
/// # Errors
/// [`EngineError`] when the engine cannot be reached or the events cannot be read.
pub async fn cache_events(address: &str, after: u64) -> Result<Vec<engine_wire::CacheEvent>> {
    let path = format!("/cache-events?after={after}");
    read_json(address, &path, MAX_EVENTS_BYTES).await
}

async fn read_json<T: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    max_bytes: usize,
) -> Result<T> {
    let method = http_types::Method::Get;
    let answer = http::send_json(method, address, path, None, CONTROL_LIMITS, max_bytes);
    let (status, body) = answer.await?;
    if status != 200 {
        return Err(EngineError::Refused(status));
    }
    serde_json::from_slice(&body).map_err(|error| EngineError::Malformed(error.to_string()))
}
