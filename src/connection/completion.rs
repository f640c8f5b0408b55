//! `POST /v1/completions`: parses the request; answers with an event stream or one JSON object.

use std::io as std_io;
use std::sync;
use std::time;

use async_std::future;
use futures::TryStreamExt as _;
use futures::stream;

use crate::connection::peer_wire;
use crate::connection::refusal;
use crate::connection::sse;
use crate::process::view;
use crate::request::generation;
use crate::request::reader;
use crate::request::verdict;

/// Time without an event after which the stream sends a keep-alive comment.
pub const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Longest delay of the response head, so that an early failure can set the HTTP status.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// `max_tokens` of a request that does not set it.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Largest accepted `max_tokens`.
const MAX_TOKENS_LIMIT: u32 = 1_000_000;

/// JSON body of a completion request.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionRequest {
    /// Model name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Tokens that the caller has, for a request that resumes after a cursor.
    #[serde(default)]
    pub received: Option<Vec<String>>,
    /// Identifier of the end user; accepted and ignored.
    #[serde(default)]
    pub user: Option<String>,
}

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Parses and validates the request body.
///
/// # Errors
/// A refusal with status 400 that names the invalid field.
pub fn parse(body: &[u8]) -> verdict::Result<CompletionRequest> {
    let bad = |message: String| {
        verdict::RequestRefusal::not_run(400, verdict::RefusalCode::BadRequest, message)
    };
    let request: CompletionRequest = serde_json::from_slice(body)
        .map_err(|error| bad(format!("request body is not a completion request: {error}")))?;
    if request.max_tokens == 0 || request.max_tokens > MAX_TOKENS_LIMIT {
        return Err(bad(format!("max_tokens must be 1 to {MAX_TOKENS_LIMIT}")));
    }
    Ok(request)
}

/// JSON object in one `data:` field, or the whole body of an unstreamed answer.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct CompletionChunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<CompletionUsage>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Debug)]
#[derive(serde::Serialize)]
struct CompletionUsage {
    completion_tokens: u32,
}

fn chunk(id: &str, model: &str, text: &str, end: Option<(&str, u32)>) -> String {
    let chunk = CompletionChunk {
        id,
        object: "text_completion",
        model,
        choices: [CompletionChoice {
            index: 0,
            text,
            finish_reason: end.map(|(reason, _count)| reason),
        }],
        usage: end.map(|(_reason, completion_tokens)| CompletionUsage { completion_tokens }),
    };
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// State of one event stream.
struct AnswerStream {
    reader: reader::GenerationReader,
    members: sync::Arc<dyn view::MemberView>,
    first: Option<reader::ReaderItem>,
    key: String,
    model: String,
    is_ended: bool,
}

impl AnswerStream {
    async fn next_text(&mut self) -> String {
        if let Some(item) = self.first.take() {
            return self.encode(item);
        }
        match future::timeout(KEEP_ALIVE_INTERVAL, self.reader.next()).await {
            Ok(item) => self.encode(item),
            Err(_elapsed) => sse::KEEP_ALIVE.to_owned(),
        }
    }

    fn encode(&mut self, item: reader::ReaderItem) -> String {
        match item {
            reader::ReaderItem::Token { text, cursor } => {
                let data = chunk(&self.key, &self.model, &text, None);
                sse::StreamEvent {
                    id: Some(cursor.to_string()),
                    name: None,
                    data,
                }
                .encode()
            }
            reader::ReaderItem::Restart { reason } => {
                let data = serde_json::json!({ "reason": reason }).to_string();
                named_event("restart", data)
            }
            reader::ReaderItem::Ended { phase, count } => self.encode_end(phase, count),
        }
    }

    fn encode_end(&mut self, phase: generation::GenerationPhase, count: u32) -> String {
        self.is_ended = true;
        match phase {
            generation::GenerationPhase::Finished { reason } => {
                let data = chunk(&self.key, &self.model, "", Some((&reason, count)));
                let last = sse::StreamEvent {
                    id: None,
                    name: None,
                    data,
                }
                .encode();
                format!("{last}data: {}\n\n", sse::DONE)
            }
            generation::GenerationPhase::Moved { router } => {
                let addresses = moved_addresses(&*self.members, router.as_deref());
                named_event(
                    "moved",
                    serde_json::json!({ "addresses": addresses }).to_string(),
                )
            }
            generation::GenerationPhase::Failed(refusal) => {
                named_event("error", refusal::body(&refusal).to_string())
            }
            generation::GenerationPhase::Cancelled | generation::GenerationPhase::Running => {
                named_event("error", refusal::body(&cancelled()).to_string())
            }
        }
    }
}

fn cancelled() -> verdict::RequestRefusal {
    verdict::RequestRefusal::may_have_run(
        503,
        verdict::RefusalCode::EndpointFailed,
        "the generation was cancelled; retry with the last cursor",
    )
    .retry_after(KEEP_ALIVE_INTERVAL)
}

fn named_event(name: &str, data: String) -> String {
    sse::StreamEvent {
        id: None,
        name: Some(name.to_owned()),
        data,
    }
    .encode()
}

/// Caller addresses of the other ready routers; the one that took over the generation comes first.
fn moved_addresses(members: &dyn view::MemberView, router: Option<&str>) -> Vec<String> {
    let own = members.home().router;
    let mut ready: Vec<peer_wire::MemberWire> = members.ready_members();
    ready.retain(|member| member.router != own);
    ready.sort_by_key(|member| Some(member.router.as_str()) != router);
    ready
        .into_iter()
        .map(|member| member.caller_address)
        .collect()
}

/// Data that a response needs besides the reader of its generation.
#[derive(Debug)]
pub struct ResponseContext {
    /// Request key, returned as the `id` of the response.
    pub key: String,
    /// Model name.
    pub model: String,
    /// Known routers, listed for the caller when the generation moves.
    pub members: sync::Arc<dyn view::MemberView>,
    /// Admission permit, released when the response is complete or the caller disconnects.
    pub permit: Box<dyn Send + Sync + std::fmt::Debug>,
}

/// Responds with an event stream.
///
/// # Errors
/// A refusal if the generation fails before its first token and before the response head is sent.
pub async fn stream(
    mut reader: reader::GenerationReader,
    context: ResponseContext,
) -> verdict::Result<tide::Response> {
    let first = future::timeout(HEAD_TIMEOUT, reader.next()).await.ok();
    if let Some(reader::ReaderItem::Ended {
        phase: generation::GenerationPhase::Failed(refusal),
        ..
    }) = first
    {
        return Err(refusal);
    }
    let key = context.key.clone();
    let answer = AnswerStream {
        reader,
        members: context.members,
        first,
        key: context.key,
        model: context.model,
        is_ended: false,
    };
    let permit = context.permit;
    let texts = stream::unfold((answer, permit), |(mut answer, permit)| async move {
        if answer.is_ended {
            return None;
        }
        let text = answer.next_text().await;
        Some((Ok::<_, std_io::Error>(text.into_bytes()), (answer, permit)))
    });
    let body = tide::Body::from_reader(Box::pin(texts).into_async_read(), None);
    Ok(tide::Response::builder(200)
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .header("idempotency-key", key)
        .body(body)
        .build())
}

/// Responds with the whole answer as one JSON object.
///
/// # Errors
/// A refusal if the generation fails, moves to another router or is cancelled.
pub async fn collect(
    mut reader: reader::GenerationReader,
    context: ResponseContext,
) -> verdict::Result<tide::Response> {
    let mut text = String::new();
    loop {
        match reader.next().await {
            reader::ReaderItem::Token { text: token, .. } => text.push_str(&token),
            reader::ReaderItem::Restart { .. } => text.clear(),
            reader::ReaderItem::Ended { phase, count } => {
                return whole_answer(&context, &text, phase, count);
            }
        }
    }
}

fn whole_answer(
    context: &ResponseContext,
    text: &str,
    phase: generation::GenerationPhase,
    count: u32,
) -> verdict::Result<tide::Response> {
    match phase {
        generation::GenerationPhase::Finished { reason } => {
            let body = chunk(&context.key, &context.model, text, Some((&reason, count)));
            Ok(tide::Response::builder(200)
                .content_type("application/json")
                .header("idempotency-key", context.key.as_str())
                .body(body)
                .build())
        }
        generation::GenerationPhase::Failed(refusal) => Err(refusal),
        generation::GenerationPhase::Moved { .. } => Err(verdict::RequestRefusal::may_have_run(
            503,
            verdict::RefusalCode::NotReady,
            "the generation moved to another router; retry there with the same key",
        )
        .retry_after(KEEP_ALIVE_INTERVAL)),
        generation::GenerationPhase::Cancelled | generation::GenerationPhase::Running => {
            Err(cancelled())
        }
    }
}
