//! Logs of attempts and orders, as the counts show them.

use kumquatpulley::connection::engine_wire;
use kumquatpulley::process::telemetry::timeline;

use super::stream;
use crate::oracle;

/// One attempt as the counts show it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct AttemptRecord {
    /// Attempt identifier.
    pub attempt: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens that came with the request.
    pub prefix: usize,
    /// Whether those tokens are one generation of the prompt.
    pub prefix_is_right: bool,
    /// Priority of the request.
    pub priority: u8,
    /// Tokens computed.
    pub tokens: usize,
    /// Prompt and prefix tokens computed.
    pub prefill: usize,
    /// Arrival, in microseconds since the Unix epoch.
    pub arrived_micros: u64,
    /// Times the stream was attached again.
    pub attachments: u32,
    /// How far it has come.
    pub state: stream::AttemptState,
}

/// One order as the counts show it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct OrderRecord {
    /// The order.
    pub order: engine_wire::EngineOrder,
    /// Whether it was taken.
    pub accepted: bool,
    /// Arrival, in microseconds since the Unix epoch.
    pub arrived_micros: u64,
}

impl AttemptRecord {
    /// Record of an attempt that arrives now.
    pub fn new(request: &engine_wire::EngineRequest) -> Self {
        Self {
            attempt: request.attempt.clone(),
            model: request.model.clone(),
            version: request.version.clone(),
            prompt: request.prompt.clone(),
            prefix: request.prefix.len(),
            prefix_is_right: oracle::TokenOracle::check(&request.prompt, &request.prefix).is_ok(),
            priority: request.priority,
            tokens: 0,
            prefill: 0,
            arrived_micros: timeline::wall_micros(),
            attachments: 0,
            state: stream::AttemptState::Waiting,
        }
    }
}

impl OrderRecord {
    /// Record of an order that arrives now.
    pub fn new(order: engine_wire::EngineOrder, accepted: bool) -> Self {
        Self {
            order,
            accepted,
            arrived_micros: timeline::wall_micros(),
        }
    }
}
