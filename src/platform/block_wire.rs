//! JSON of the rows in which routers store the requests that are blocked.

use crate::process::gateway::block_list;
use crate::request::relay::request_feature;

/// Result of decoding a row.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct BlockWire {
    /// Features that a request must have to be blocked, in hexadecimal.
    parts: Vec<String>,
    /// End of the block, in milliseconds since the Unix epoch.
    until_ms: u64,
    /// Number of times that the request was blocked.
    count: u32,
}

/// Decodes the value of a row.
///
/// # Errors
/// The JSON error if `value` is not a blocked request.
pub fn decode(value: &[u8]) -> Result<block_list::BlockedRequest> {
    let wire: BlockWire = serde_json::from_slice(value)?;
    let parts = wire.parts.iter();
    let mut features: Vec<request_feature::RequestFeature> = parts
        .map(|id| request_feature::RequestFeature::part(id))
        .collect();
    features.sort_unstable();
    Ok(block_list::BlockedRequest {
        features,
        until_ms: wire.until_ms,
        count: wire.count,
    })
}

/// Encodes the value of a row.
#[must_use]
pub fn encode(entry: &block_list::BlockedRequest) -> Vec<u8> {
    let wire = BlockWire {
        parts: entry.features.iter().map(ToString::to_string).collect(),
        until_ms: entry.until_ms,
        count: entry.count,
    };
    // Strings and numbers always serialize.
    serde_json::to_vec(&wire).unwrap_or_default()
}
