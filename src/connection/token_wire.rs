//! Bincode message with which a router asks another one for retry tokens.

/// A question for retry tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RetryTokensWire {
    /// Name of the service whose streams wait for them.
    pub service: String,
    /// Most tokens that the sender can use.
    pub wanted: u32,
}
