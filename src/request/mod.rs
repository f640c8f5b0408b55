//! Per-request state and logic: idempotency key, verdict, stream cursor and attempts.

pub(crate) mod attempt;
pub mod call;
mod cancel;
pub mod claim;
pub(crate) mod copy;
pub mod cursor;
pub mod digest;
pub mod driver;
mod driver_steps;
pub(crate) mod forward;
pub mod generation;
pub mod intake;
pub mod key;
pub(crate) mod key_shard;
pub mod outcome;
pub mod reader;
pub mod recovery;
pub mod refusal;
pub mod relay;
pub mod sequencer;
pub mod source;
pub mod suspicion;
pub mod verdict;
