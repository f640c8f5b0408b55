//! Stream cursors: the `id:` of each server-sent event, from which any router can resume a stream.
//!
//! Text form: `<generation>.<position>.<attempt>.<hash>.<endpoint>.<model version>`, numbers in
//! hexadecimal. The hash covers workspace, request and delivered tokens, so that a cursor grants
//! no access beyond that of the bearer key.

use std::fmt;
use std::str;

use xxhash_rust::xxh3;

/// Result of parsing a cursor.
pub type Result<T> = std::result::Result<T, CursorError>;

/// Request header in which a caller sends the last cursor it received.
pub const CURSOR_HEADER: &str = "last-event-id";

const CURSOR_FIELDS: usize = 6;

/// Error for a text that is not a valid cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CursorError;

impl fmt::Display for CursorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Last-Event-ID is not a cursor; send the last id: line unchanged")
    }
}

impl std::error::Error for CursorError {}

/// Identifies one attempt to generate an answer on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AttemptId(pub u128);

impl AttemptId {
    /// Creates a random identifier.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for AttemptId {
    type Err = CursorError;

    fn from_str(text: &str) -> Result<Self> {
        let id = u128::from_str_radix(text, 16).or(Err(CursorError))?;
        Ok(Self(id))
    }
}

/// Identifies one answer from its first token to its last, across all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GenerationId(pub u64);

impl GenerationId {
    /// Creates a random identifier.
    #[must_use]
    pub fn random() -> Self {
        Self(fastrand::u64(..))
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Rolling hash over a request and the tokens delivered for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Returns the hash before the first token; `request` is the canonical request body.
    #[must_use]
    pub fn start(workspace: &str, request: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(
            request,
            xxh3::xxh3_64(workspace.as_bytes()),
        ))
    }

    /// Returns the hash after one more token.
    #[must_use]
    pub fn then(self, token: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(token.as_bytes(), self.0))
    }
}

/// Position of a stream after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamCursor {
    /// The answer that the event belongs to.
    pub generation: GenerationId,
    /// Number of tokens delivered, including that of the event.
    pub position: u32,
    /// The attempt that generated the last token.
    pub attempt: AttemptId,
    /// Hash of the request and all delivered tokens.
    pub hash: PrefixHash,
    /// Name of the endpoint that runs the attempt; no dots.
    pub endpoint: String,
    /// Model version of the answer.
    pub model_version: String,
}

impl fmt::Display for StreamCursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:x}.{}.{:016x}.{}.{}",
            self.generation,
            self.position,
            self.attempt,
            self.hash.0,
            self.endpoint,
            self.model_version
        )
    }
}

impl str::FromStr for StreamCursor {
    type Err = CursorError;

    fn from_str(text: &str) -> Result<Self> {
        let fields: Vec<&str> = text.splitn(CURSOR_FIELDS, '.').collect();
        let [generation, position, attempt, hash, endpoint, model_version] = fields[..] else {
            return Err(CursorError);
        };
        if endpoint.is_empty() || model_version.is_empty() {
            return Err(CursorError);
        }
        Ok(Self {
            generation: GenerationId(parse_u64(generation)?),
            position: u32::from_str_radix(position, 16).or(Err(CursorError))?,
            attempt: attempt.parse()?,
            hash: PrefixHash(parse_u64(hash)?),
            endpoint: endpoint.to_owned(),
            model_version: model_version.to_owned(),
        })
    }
}

fn parse_u64(text: &str) -> Result<u64> {
    u64::from_str_radix(text, 16).or(Err(CursorError))
}
