//! JSON of the rows in which routers store the prompts that are blocked.

use crate::process::gateway::block_list;
use crate::request::relay::prompt_part;

/// Result of decoding a row.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

#[derive(Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct BlockWire {
    /// Hexadecimal IDs of the parts that a prompt must have to be blocked.
    parts: Vec<String>,
    /// End of the block, in milliseconds since the Unix epoch.
    until_ms: u64,
    /// Number of times that the prompt was blocked.
    count: u32,
}

/// Decodes the value of a row.
///
/// # Errors
/// The JSON error if `value` is not a blocked prompt.
pub fn decode(value: &[u8]) -> Result<block_list::BlockedPrompt> {
    let wire: BlockWire = serde_json::from_slice(value)?;
    let parts = wire.parts.iter();
    let mut parts: Vec<prompt_part::PromptPart> =
        parts.map(|id| prompt_part::PromptPart::parse(id)).collect();
    parts.sort_unstable();
    Ok(block_list::BlockedPrompt {
        parts,
        until_ms: wire.until_ms,
        count: wire.count,
    })
}

/// Encodes the value of a row.
#[must_use]
pub fn encode(entry: &block_list::BlockedPrompt) -> Vec<u8> {
    let wire = BlockWire {
        parts: entry.parts.iter().map(ToString::to_string).collect(),
        until_ms: entry.until_ms,
        count: entry.count,
    };
    // Strings and numbers always serialize.
    serde_json::to_vec(&wire).unwrap_or_default()
}
