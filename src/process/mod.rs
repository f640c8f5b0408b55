//! What lives as long as the process.

pub mod admission;
pub(crate) mod admission_queue;
pub mod budget;
pub mod limit;
pub mod settings;
pub mod timeline;
pub mod view;
