//! What a request's headers mean, as a trait: each platform has names of its own.

use std::fmt;
use std::net;
use std::time;

use crate::connection::h1::head;
use crate::request::relay::{attempt, report};
use crate::request::verdict;

/// What the caller says of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this request; each try of a caller has its own.
    pub id: String,
    /// Host that the request is for.
    pub host: String,
    /// How long the caller waits.
    pub caller_timeout: Option<time::Duration>,
    /// Bearer key.
    pub key: Option<String>,
    /// Last event that the caller has of a broken stream.
    pub last_event: Option<u64>,
    /// Tokens of prompt and expected answer; 0 when the caller does not say.
    pub tokens: u64,
}

/// Where an engine finds the copy of a running request's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopySource {
    /// Address of the engine that holds a copy kept up by the engines, or of the one that a moved
    /// copy came from.
    pub address: net::SocketAddr,
    /// Identifier of the request that the copy belongs to, or the name of a moved copy.
    pub name: String,
}

/// What is sent beside the caller's own fields.
#[derive(Clone, Debug)]
pub struct ForwardParams<'a> {
    /// Time left for the endpoint.
    pub time_left: time::Duration,
    /// Endpoint that must serve the request, so that an address used again does not.
    pub endpoint: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Rank at the engine, 0 first; streams only.
    pub rank: Option<u8>,
    /// Engine that keeps a copy of the request's memory as it runs.
    pub copy_holder: Option<net::SocketAddr>,
    /// Copy to go on from.
    pub copy_source: Option<&'a CopySource>,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
}

/// What an endpoint's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Identifier of the request that is answered.
    pub request: Option<String>,
    /// Whether the endpoint vouches for the answer.
    pub is_sealed: bool,
    /// Whether the endpoint states that the request did not run.
    pub is_not_run: bool,
    /// Whether the body was changed on the way.
    pub is_altered: bool,
    /// What the endpoint says of itself.
    pub notice: EndpointNotice,
}

/// What an endpoint says of itself in an answer, whatever the answer is to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it is about to go.
    pub is_leaving: bool,
    /// How long it wants no requests of this router.
    pub pause: Option<time::Duration>,
}

/// Reads and writes the headers of one platform.
pub trait RequestDialect: fmt::Debug + Send + Sync {
    /// What the caller says.
    ///
    /// # Errors
    /// A refusal for a request that cannot be passed on as it is.
    fn request_metadata(&self, head: &head::RequestHead) -> verdict::Result<RequestMetadata>;

    /// The head for an endpoint: the caller's, without what is the system's to set.
    fn request_head(
        &self,
        head: &head::RequestHead,
        terms: &ForwardParams<'_>,
    ) -> head::RequestHead;

    /// What an answer says of itself.
    fn response_metadata(&self, head: &head::ResponseHead) -> ResponseMetadata;

    /// Head of a refusal, with the framing left to the writer.
    fn refusal_head(
        &self,
        refusal: &verdict::RequestRefusal,
        request: Option<&str>,
    ) -> head::ResponseHead;

    /// Request for a sign of life that takes no slot; the path only.
    fn report_path(&self) -> &'static str;

    /// Call to the engine at `source`: copy the memory of the run of `request` to `holder`, and answer
    /// when the copy is complete.
    fn move_copy(
        &self,
        source: net::SocketAddr,
        request: &str,
        holder: net::SocketAddr,
    ) -> (head::RequestHead, Vec<u8>);

    /// Name of a moved copy; `None` when the engine moved none.
    fn moved_copy(&self, answer: &attempt::FullResponse) -> Option<String>;

    /// Call to the engine at `source`: drop the moved copy of this name.
    fn free_copy(&self, source: net::SocketAddr, name: &str) -> head::RequestHead;

    /// Reads a report; `None` for an answer that is none.
    fn report(&self, answer: &attempt::FullResponse) -> Option<report::EngineReport>;
}
