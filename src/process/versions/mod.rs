//! The active configuration version and its updates from the table service and from peers.

pub mod config;
pub mod delta_log;
pub mod poll;
pub mod update_tasks;
