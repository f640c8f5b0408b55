//! One connection of a caller client: sends a completion request and reads the event stream.

use std::fmt;
use std::time;

use async_std::future;
use http_types::headers;

use crate::connection::caller_wire;
use crate::connection::http;
use crate::connection::sse;
use crate::request::cursor;
use crate::request::verdict;

/// Result of an operation on one connection.
pub type Result<T> = std::result::Result<T, StreamEnd>;

/// Request header with the caller's timeout, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-kumquatpulley-deadline-ms";

/// Request header with the request key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Timeout for connecting to a router.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

const MAX_REFUSAL_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;
const STATUS_UNAVAILABLE: u16 = 503;

/// Why a connection ended before the answer was complete.
#[derive(Clone, Debug)]
pub enum StreamEnd {
    /// The connection failed or timed out, or sent an invalid answer.
    Broken(String),
    /// The router refused the request or abandoned the generation.
    Refused(verdict::RequestRefusal),
    /// The generation can be resumed at one of these addresses.
    Moved(Vec<String>),
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(cause) => f.write_str(cause),
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Moved(_) => f.write_str("the generation moved to another router"),
        }
    }
}

impl std::error::Error for StreamEnd {}

/// Item read from the stream of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerItem {
    /// A token and the cursor after it.
    Token {
        /// The token's text.
        text: String,
        /// Cursor after the token, from the `id:` field.
        id: Option<String>,
    },
    /// The answer starts over; earlier tokens are discarded.
    Restart {
        /// Why the answer could not be resumed.
        reason: String,
    },
    /// The answer is complete.
    Finished {
        /// `stop` or `length`.
        reason: String,
        /// Number of tokens in the complete answer, as counted by the engine.
        count: u32,
    },
}

/// A completion request to one router.
#[derive(Clone, Debug)]
pub struct AnswerRequest {
    /// Request key.
    pub key: String,
    /// Bearer key of the workspace.
    pub bearer: String,
    /// JSON body of the request.
    pub body: serde_json::Value,
    /// Cursor after the last received token; `None` starts the answer.
    pub cursor: Option<String>,
    /// Timeout sent in [`DEADLINE_HEADER`].
    pub deadline: time::Duration,
    /// Time without an event or comment after which the connection is abandoned.
    pub idle_timeout: time::Duration,
}

/// Open event stream of an answer.
#[derive(Debug)]
pub struct AnswerStream {
    events: sse::EventReader<http_types::Body>,
    idle_timeout: time::Duration,
}

/// Sends the request to the router at `address` and waits for the response head.
///
/// # Errors
/// [`StreamEnd`] if the exchange fails or the router refuses the request.
pub async fn open(address: &str, request: &AnswerRequest) -> Result<AnswerStream> {
    let limits = http::ExchangeLimits {
        connect: CONNECT_TIMEOUT,
        head: request.idle_timeout,
    };
    let mut response = http::send(address, message(address, request), limits)
        .await
        .map_err(|error| StreamEnd::Broken(error.to_string()))?;
    let status = u16::from(response.status());
    let mut body = response.take_body();
    if status != STATUS_OK {
        return Err(read_refusal(status, &mut body, request.idle_timeout).await);
    }
    Ok(AnswerStream {
        events: sse::EventReader::new(body),
        idle_timeout: request.idle_timeout,
    })
}

fn message(address: &str, request: &AnswerRequest) -> http_types::Request {
    let mut message = http::request(http_types::Method::Post, address, "/v1/completions");
    message.set_body(request.body.to_string());
    message.insert_header(headers::CONTENT_TYPE, "application/json");
    message.insert_header(headers::AUTHORIZATION, format!("Bearer {}", request.bearer));
    message.insert_header(KEY_HEADER, request.key.as_str());
    message.insert_header(DEADLINE_HEADER, request.deadline.as_millis().to_string());
    if let Some(cursor) = &request.cursor {
        message.insert_header(cursor::CURSOR_HEADER, cursor.as_str());
    }
    message
}

async fn read_refusal(
    status: u16,
    body: &mut http_types::Body,
    limit: time::Duration,
) -> StreamEnd {
    let bytes = match http::read_body(body, limit, MAX_REFUSAL_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return StreamEnd::Broken(error.to_string()),
    };
    match serde_json::from_slice::<caller_wire::RefusalBody>(&bytes) {
        Ok(body) => StreamEnd::Refused(body.error.with_status(status)),
        Err(_error) => StreamEnd::Broken(format!(
            "router responded with status {status} and no valid refusal"
        )),
    }
}

impl AnswerStream {
    /// Reads the next token, restart or end; skips comments.
    ///
    /// # Errors
    /// [`StreamEnd`] if the connection ends before the answer is complete.
    pub async fn next(&mut self) -> Result<AnswerItem> {
        loop {
            let item = future::timeout(self.idle_timeout, self.events.next()).await;
            let item = item.map_err(|_elapsed| idle_error(self.idle_timeout))?;
            let item = item.map_err(|error| StreamEnd::Broken(error.to_string()))?;
            match item {
                Some(sse::StreamItem::Event(event)) => return read_event(event),
                Some(sse::StreamItem::Comment) => {}
                None => return Err(StreamEnd::Broken("stream ended prematurely".to_owned())),
            }
        }
    }
}

fn idle_error(idle_timeout: time::Duration) -> StreamEnd {
    StreamEnd::Broken(format!("no event or comment for {idle_timeout:?}"))
}

fn read_event(event: sse::StreamEvent) -> Result<AnswerItem> {
    match event.name.as_deref() {
        None => read_chunk(event),
        Some("restart") => {
            let notice: caller_wire::RestartNotice = parse(&event.data)?;
            Ok(AnswerItem::Restart {
                reason: notice.reason,
            })
        }
        Some("moved") => {
            let notice: caller_wire::MovedNotice = parse(&event.data)?;
            Err(StreamEnd::Moved(notice.addresses))
        }
        Some("error") => {
            let body: caller_wire::RefusalBody = parse(&event.data)?;
            Err(StreamEnd::Refused(
                body.error.with_status(STATUS_UNAVAILABLE),
            ))
        }
        Some(name) => Err(StreamEnd::Broken(format!("unknown event type {name}"))),
    }
}

fn read_chunk(event: sse::StreamEvent) -> Result<AnswerItem> {
    let chunk: caller_wire::AnswerChunk = parse(&event.data)?;
    let choice = chunk.choices.into_iter().next();
    let choice = choice.ok_or_else(|| StreamEnd::Broken("event contains no choice".to_owned()))?;
    let Some(reason) = choice.finish_reason else {
        return Ok(AnswerItem::Token {
            text: choice.text,
            id: event.id,
        });
    };
    let Some(usage) = chunk.usage else {
        return Err(StreamEnd::Broken(
            "last event contains no token count".to_owned(),
        ));
    };
    Ok(AnswerItem::Finished {
        reason,
        count: usage.completion_tokens,
    })
}

fn parse<T: serde::de::DeserializeOwned>(data: &str) -> Result<T> {
    serde_json::from_str(data)
        .map_err(|error| StreamEnd::Broken(format!("invalid event data: {error}")))
}
