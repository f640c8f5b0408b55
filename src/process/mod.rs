//! What lives as long as the process.

pub mod config;
pub mod poll;
pub mod settings;
pub mod timeline;
pub mod view;
