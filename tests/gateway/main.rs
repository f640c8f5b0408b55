//! The gateway: framing, decisions, beliefs, the platform's formats, whole runs on loopback, and a
//! randomized soak.

#[path = "../common/mod.rs"]
mod common;

mod burst;
mod cached_state;
mod decisions;
mod endless;
mod endpoint_notices;
mod formats;
mod framing;
mod soak;
mod support;
mod whole;
