//! One connection of a caller: a completion request and the events of its answer.

use std::fmt;
use std::time;

use async_std::future;
use http_types::headers;

use crate::connection::caller_wire;
use crate::connection::http;
use crate::connection::sse;
use crate::request::cursor;
use crate::request::verdict;

/// Outcome of a step on one connection.
pub type Result<T> = std::result::Result<T, StreamEnd>;

/// Request header with the time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-kumquatpulley-deadline-ms";

/// Request header with the key of the request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Limit for making a connection to a router.
pub const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);

const MAX_REFUSAL_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;
const STATUS_UNAVAILABLE: u16 = 503;

/// Why a connection gives no more of the answer.
#[derive(Clone, Debug)]
pub enum StreamEnd {
    /// The connection failed, went silent or sent what is no answer.
    Broken(String),
    /// The router refused the request or gave it up.
    Refused(verdict::RequestRefusal),
    /// The generation goes on at one of these addresses.
    Moved(Vec<String>),
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(cause) => f.write_str(cause),
            Self::Refused(refusal) => refusal.fmt(f),
            Self::Moved(_) => f.write_str("router asked to go on elsewhere"),
        }
    }
}

impl std::error::Error for StreamEnd {}

/// What an answer's stream gave next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerItem {
    /// One token, with the cursor after it.
    Token {
        /// The token's text.
        text: String,
        /// The event's `id:`.
        id: Option<String>,
    },
    /// The answer begins again.
    Restart {
        /// Why it could not go on.
        reason: String,
    },
    /// The answer is whole.
    Finished {
        /// `stop` or `length`.
        reason: String,
        /// Tokens of the whole answer, as the engine counts them.
        count: u32,
    },
}

/// What to ask a router for.
#[derive(Clone, Debug)]
pub struct AnswerRequest {
    /// Key of the request.
    pub key: String,
    /// Bearer key of the workspace.
    pub bearer: String,
    /// JSON body.
    pub body: serde_json::Value,
    /// Cursor after the last token held.
    pub cursor: Option<String>,
    /// Time that the caller waits.
    pub deadline: time::Duration,
    /// Silence after which the connection counts as dead.
    pub idle_timeout: time::Duration,
}

/// The open answer.
#[derive(Debug)]
pub struct AnswerStream {
    events: sse::EventReader<http_types::Body>,
    idle_timeout: time::Duration,
}

/// Sends the request to the router at `address` and waits for the head of its answer.
///
/// # Errors
/// [`StreamEnd`] when there is no stream to read.
pub async fn open(address: &str, request: &AnswerRequest) -> Result<AnswerStream> {
    let limits = http::ExchangeLimits {
        connect: CONNECT_LIMIT,
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
        Err(_error) => StreamEnd::Broken(format!("router answered {status} without a reason")),
    }
}

impl AnswerStream {
    /// The next token, restart or end.
    ///
    /// # Errors
    /// [`StreamEnd`] when this connection gives no more of the answer.
    pub async fn next(&mut self) -> Result<AnswerItem> {
        loop {
            let item = future::timeout(self.idle_timeout, self.events.next()).await;
            let item = item.map_err(|_elapsed| silent(self.idle_timeout))?;
            let item = item.map_err(|error| StreamEnd::Broken(error.to_string()))?;
            match item {
                Some(sse::StreamItem::Event(event)) => return read_event(event),
                Some(sse::StreamItem::Comment) => {}
                None => return Err(StreamEnd::Broken("stream ended early".to_owned())),
            }
        }
    }
}

fn silent(idle_timeout: time::Duration) -> StreamEnd {
    StreamEnd::Broken(format!("stream was silent for {idle_timeout:?}"))
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
        Some(name) => Err(StreamEnd::Broken(format!("unknown event {name}"))),
    }
}

fn read_chunk(event: sse::StreamEvent) -> Result<AnswerItem> {
    let chunk: caller_wire::AnswerChunk = parse(&event.data)?;
    let choice = chunk.choices.into_iter().next();
    let choice = choice.ok_or_else(|| StreamEnd::Broken("event without a choice".to_owned()))?;
    let Some(reason) = choice.finish_reason else {
        return Ok(AnswerItem::Token {
            text: choice.text,
            id: event.id,
        });
    };
    let Some(usage) = chunk.usage else {
        return Err(StreamEnd::Broken("last event without a count".to_owned()));
    };
    Ok(AnswerItem::Finished {
        reason,
        count: usage.completion_tokens,
    })
}

fn parse<T: serde::de::DeserializeOwned>(data: &str) -> Result<T> {
    serde_json::from_str(data)
        .map_err(|error| StreamEnd::Broken(format!("unreadable event: {error}")))
}
