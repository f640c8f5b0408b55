//! Platform-specific header names and engine calls, behind a trait.

use std::fmt;
use std::net;
use std::time;

use crate::connection::h1::head;
use crate::request::relay::{attempt, report, request_feature, request_rate};
use crate::request::verdict;

/// Request metadata from the caller's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Request identifier; a caller uses a new one for each attempt.
    pub id: String,
    /// Value of the Host header.
    pub host: String,
    /// How long the caller waits, from the sending of the request; `None` when not stated.
    pub caller_timeout: Option<time::Duration>,
    /// Bearer token; `None` without an Authorization header of that scheme.
    pub key: Option<String>,
    /// Last event of an interrupted stream that the caller received; the stream resumes after it.
    pub last_event: Option<u64>,
    /// Identifier of the request that brought the first event of the interrupted stream; `None` when
    /// not stated.
    pub resumes: Option<String>,
    /// Tokens of the prompt plus the expected output; 0 when not stated.
    pub tokens: u64,
    /// Leading parts of the prompt that other requests may have too; without the last part, which
    /// belongs to this request or its session.
    pub shared_parts: Vec<request_feature::RequestFeature>,
}

/// Where an engine finds the KV copy of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// Engine that holds the copy when the engines maintain it; for a moved copy, the engine that
    /// it was copied from.
    pub address: net::SocketAddr,
    /// Request identifier for a maintained copy; handle of a moved copy.
    pub name: String,
}

/// Headers that the router adds to a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardParams<'a> {
    /// Time left until the request's deadline.
    pub time_left: time::Duration,
    /// Name of the endpoint that must serve the request; another one at a reused address rejects
    /// the request.
    pub endpoint: &'a str,
    /// Workspace of the caller, if its key belongs to one.
    pub workspace: Option<&'a str>,
    /// Whether the caller's Authorization header is dropped, as it may hold a key of this system.
    pub drops_key: bool,
    /// Scheduling priority at the engine, 0 highest; streams only.
    pub rank: Option<u8>,
    /// Engine to which the serving engine copies the request's KV cache while it runs.
    pub copy_holder: Option<net::SocketAddr>,
    /// KV copy to resume from.
    pub copy_source: Option<&'a CopySource>,
    /// Event after which the stream resumes.
    pub last_event: Option<u64>,
}

/// Response metadata from the endpoint's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Identifier of the request that this responds to; `None` when absent. Several identifiers
    /// are joined with commas, so that they equal none of the requests.
    pub request: Option<String>,
    /// Whether the endpoint's seal, its proof that it wrote the response, is present.
    pub is_sealed: bool,
    /// Whether the endpoint states that the request did not run.
    pub is_not_run: bool,
    /// Whether an intermediary encoded the body.
    pub is_altered: bool,
    /// What the endpoint announces about itself.
    pub notice: EndpointNotice,
}

impl ResponseMetadata {
    /// Whether the response is to another request than `request`, as far as it says so.
    #[must_use]
    pub fn is_foreign(&self, request: &str) -> bool {
        self.request.as_deref().is_some_and(|id| id != request)
    }

    /// Whether the endpoint states of `request` that it did not run.
    ///
    /// A response that names no request counts, as each attempt has a connection of its own.
    #[must_use]
    pub fn refuses(&self, request: &str) -> bool {
        self.is_not_run && !self.is_foreign(request)
    }
}

/// Announcements of an endpoint about itself, which any of its responses may carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How long this router should send it no requests.
    pub pause: Option<time::Duration>,
    /// Rate of requests that it accepts from all routers together.
    pub limit: Option<request_rate::RequestRate>,
}

/// Reads and writes the headers and engine calls of one platform.
pub trait RequestDialect: fmt::Debug + Send + Sync {
    /// Parses the caller's headers.
    ///
    /// # Errors
    /// A refusal for a request whose headers are missing, repeated or malformed.
    fn request_metadata(&self, head: &head::RequestHead) -> verdict::Result<RequestMetadata>;

    /// Builds the head for an endpoint: the caller's head without headers that only the system may
    /// set, plus `params`.
    fn request_head(
        &self,
        head: &head::RequestHead,
        params: &ForwardParams<'_>,
    ) -> head::RequestHead;

    /// Parses the headers of an endpoint's response.
    fn response_metadata(&self, head: &head::ResponseHead) -> ResponseMetadata;

    /// Builds the head of a refusal; the writer adds the framing headers.
    fn refusal_head(
        &self,
        refusal: &verdict::RequestRefusal,
        request: Option<&str>,
    ) -> head::ResponseHead;

    /// Path of the engine's report, which also serves as a health check and occupies no slot.
    fn report_path(&self) -> &'static str;

    /// Builds the call that makes the engine at `source` copy the KV cache of `request` to
    /// `holder`; the engine responds when the copy is complete.
    fn move_copy(
        &self,
        source: net::SocketAddr,
        request: &str,
        holder: net::SocketAddr,
    ) -> (head::RequestHead, Vec<u8>);

    /// Handle of the moved copy; `None` when the response has none.
    fn moved_copy(&self, response: &attempt::FullResponse) -> Option<String>;

    /// Builds the call that makes the engine at `source` drop the moved copy with handle `name`.
    fn free_copy(&self, source: net::SocketAddr, name: &str) -> head::RequestHead;

    /// Parses a report; `None` when the response is malformed.
    fn report(&self, response: &attempt::FullResponse) -> Option<report::EngineReport>;
}
