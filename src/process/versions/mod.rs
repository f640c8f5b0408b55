//! The configuration version in force, and how newer ones come in.

pub mod config;
pub mod delta_log;
pub mod poll;
pub mod update_tasks;
