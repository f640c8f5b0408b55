//! What lives as long as one request: its key, verdict, cursor and the state of its attempts.

pub mod cursor;
pub mod driver;
pub mod generation;
pub mod intake;
pub mod key;
pub mod recovery;
pub mod sequencer;
pub mod source;
pub mod suspicion;
pub mod verdict;
