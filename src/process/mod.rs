//! What lives as long as the process.

pub mod logging;
pub mod metrics;
pub mod node;
pub mod settings;
pub mod settings_file;
mod settings_tree;
pub mod timeline;
pub mod view;
