//! What lives as long as one request: its key, verdict, cursor and the state of its attempts.

pub mod cursor;
pub mod key;
pub mod verdict;
