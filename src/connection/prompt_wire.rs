//! Bincode messages between routers about prompts that crash engines.

/// An engine that crashed when it began to answer a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PromptCrashWire {
    /// Hash of the request identifier.
    pub request: u64,
    /// Hash of the engine's name.
    pub endpoint: u64,
    /// Shared parts of the prompt.
    pub parts: Vec<u64>,
    /// Time since the crash, in microseconds.
    pub age_micros: u64,
    /// Time from the sending of the request to the crash, in microseconds.
    pub running_micros: u64,
}

/// What a router knows of some parts of prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PromptEvidenceWire {
    /// Crashes of prompts that have one of the parts.
    pub crashes: Vec<PromptCrashWire>,
    /// Parts with the time since a prompt with it was last answered, in microseconds.
    pub successes: Vec<(u64, u64)>,
}

/// Prompts with certain parts that are blocked for a time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BlockedPromptWire {
    /// Parts that a prompt must have to be blocked.
    pub parts: Vec<u64>,
    /// End of the block, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Number of times that the prompt was blocked.
    pub count: u32,
}
