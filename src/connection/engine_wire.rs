//! JSON messages between a router and a model engine.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /v1/completions` | [`EngineRequest`] | event stream of [`EngineEvent`] |
//! | `GET /v1/streams/<attempt>?from=N` | | the same stream from position N, or 404 |
//! | `DELETE /v1/streams/<attempt>` | | 204, also when the stream is unknown |
//! | `GET /load` | | [`EngineReport`] |
//! | `GET /cache-events?after=N` | | list of [`CacheEvent`], delayed and with gaps |
//! | `POST /orders` | [`EngineOrder`] | 200, or 409 when the fencing number is stale |

/// A generation to start, or to continue after `prefix`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineRequest {
    /// Attempt identifier, 32 hexadecimal digits; names the stream for re-attachment.
    pub attempt: String,
    /// Model name.
    pub model: String,
    /// Model version; the engine refuses with 409 when it does not hold it.
    pub version: String,
    /// Adapter on top of the model, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Tokens already delivered; the engine continues at position `prefix.len()`.
    #[serde(default)]
    pub prefix: Vec<String>,
    /// Maximum number of tokens in the whole answer, prefix included.
    pub max_tokens: u32,
    /// Higher values are scheduled first; see [`PRIORITY_NEW`] and [`PRIORITY_RESUMED`].
    #[serde(default)]
    pub priority: u8,
}

/// Priority of a new generation.
pub const PRIORITY_NEW: u8 = 0;

/// Priority of a generation resumed after another engine lost it.
pub const PRIORITY_RESUMED: u8 = 1;

/// One `data:` line of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum EngineEvent {
    /// One generated token.
    Token {
        /// Position in the whole answer, from 0.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The last event.
    Finished {
        /// Number of tokens in the whole answer, prefix included.
        count: u32,
        /// `stop` or `length`.
        finish_reason: String,
    },
}

/// Load and loaded models of an engine; reports lag behind the current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct EngineReport {
    /// Increases with each restart of the engine.
    pub incarnation: u64,
    /// Number of requests being generated.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Loaded models.
    pub loaded: Vec<LoadedModel>,
    /// [`ROLE_SERVE`], or another role, which takes no new work.
    pub role: String,
    /// Whether the engine is shutting down and takes no new work.
    pub leaving: bool,
}

/// A model version that an engine can serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
}

/// A prompt prefix was stored in or evicted from an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// [`prefix_block_hash`] of the block.
    pub block: u64,
    /// True when the block was stored, false when it was evicted.
    pub stored: bool,
}

/// Size of one cache block, in bytes of the prompt.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Hash of the prompt's first `blocks` blocks of [`PREFIX_BLOCK_BYTES`] bytes.
#[must_use]
pub fn prefix_block_hash(prompt: &[u8], blocks: usize) -> u64 {
    let end = prompt.len().min(blocks * PREFIX_BLOCK_BYTES);
    xxhash_rust::xxh3::xxh3_64(&prompt[..end])
}

/// An order with the fencing number of its issuer's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineOrder {
    /// Fencing number; increases with each new holder of the lease.
    pub fence: u64,
    /// State that the engine must reach.
    pub wanted: WantedState,
}

/// Desired state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WantedState {
    /// Models to keep loaded; all others are unloaded.
    pub loaded: Vec<LoadedModel>,
    /// Desired role.
    pub role: String,
}

/// Role of an engine that takes new work.
pub const ROLE_SERVE: &str = "serve";
