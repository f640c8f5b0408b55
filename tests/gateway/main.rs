//! The gateway: framing, decisions, beliefs, the platform's formats, whole runs on loopback, and a
//! randomized soak.

#[path = "../common/mod.rs"]
mod common;

mod beliefs;
mod burst;
mod decisions;
mod endless_responses;
mod formats;
mod framing;
mod soak;
mod support;
mod whole;
mod word;
