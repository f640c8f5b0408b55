//! Properties of the model engine stand-in: fixed ones, and those that faults change.

use std::time;

/// Fixed properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Endpoint name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that run together.
    pub slots: u32,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_us_per_token: u64,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// Weight store, host and port.
    pub weights: Option<String>,
}

/// Properties that faults change.
#[derive(Clone, Debug)]
pub struct EngineSwitches {
    /// Gap between tokens.
    pub token_gap: time::Duration,
    /// Age of reports.
    pub report_lag: time::Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Tokens until the process ends.
    pub tokens_left: Option<u64>,
    /// No progress before this time.
    pub frozen_until: Option<time::Instant>,
    /// Whether reports say that the engine is leaving.
    pub leaving: bool,
}
