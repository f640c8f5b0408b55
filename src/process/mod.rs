//! What lives as long as the process.

pub mod admission;
pub(crate) mod admission_queue;
pub mod budget;
pub mod config;
pub mod endpoint;
pub mod issuer;
pub mod lease;
pub mod limit;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod order;
pub mod pace;
pub mod poll;
pub mod registry;
pub mod settings;
pub mod settings_file;
mod settings_tree;
pub mod timeline;
pub mod view;
