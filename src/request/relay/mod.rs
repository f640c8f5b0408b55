//! Passing one caller's request on to endpoints: what to send, what an outcome means, and the answer.
//!
//! Decisions are in `decision` and `events` and do no I/O; `plain` and `stream` carry them out.

pub mod answer_room;
pub mod attempt;
pub mod choice;
pub mod context;
pub mod copy;
pub mod decision;
pub mod dialect;
pub mod events;
pub mod fleet;
pub mod plain;
pub mod report;
pub mod silence;
pub mod stream;
mod stream_engine;
mod stream_reader;
