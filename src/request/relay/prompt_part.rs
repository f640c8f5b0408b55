//! Identity of a part of a prompt, which many requests may share.

use std::fmt;

use xxhash_rust::xxh3;

/// Identifies one part of a prompt by the ID that callers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Parses a hexadecimal ID. An ID that is not a 64-bit number is hashed, so that it is compared
    /// as text.
    #[must_use]
    pub fn parse(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16);
        Self(number.unwrap_or_else(|_not_a_number| xxh3::xxh3_64(id.as_bytes())))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Formats parts for a log line, separated by commas.
#[must_use]
pub fn join(parts: &[PromptPart]) -> String {
    let parts: Vec<String> = parts.iter().map(PromptPart::to_string).collect();
    parts.join(",")
}
