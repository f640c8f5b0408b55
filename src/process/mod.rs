//! What lives as long as the process.

pub mod budget;
pub mod endpoint;
pub mod registry;
pub mod settings;
pub mod timeline;
pub mod view;
