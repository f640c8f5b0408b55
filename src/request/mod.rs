//! What lives as long as one request: its key, verdict, cursor and the state of its attempts.

pub(crate) mod attempt;
pub mod call;
pub mod claim;
pub(crate) mod copy;
pub mod cursor;
pub mod driver;
pub mod generation;
pub mod intake;
pub mod key;
pub mod recovery;
pub mod sequencer;
pub mod source;
pub mod suspicion;
pub mod digest;
pub(crate) mod forward;
pub mod key;
pub mod outcome;
pub mod refusal;
pub mod verdict;
