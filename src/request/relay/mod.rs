//! Passing one caller's request on to endpoints: what to send, what an outcome means, and the answer.
//!
//! Decisions are in `decision` and `events` and do no I/O; `plain` and `stream` carry them out.

pub mod attempt;
pub mod buffered;
pub mod context;
pub mod dialect;
pub mod events;
pub mod fleet;
pub mod kv_copy;
pub mod report;
pub mod response_memory;
pub mod retry;
pub mod selection;
pub mod stall;
pub mod stream;
mod stream_placement;
mod stream_reader;
