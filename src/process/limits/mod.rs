//! How much a workspace may ask for, who waits, and what is repeated.

pub mod admission;
pub mod admission_params;
pub(crate) mod admission_queue;
pub mod budget;
pub mod limit_split;
pub mod share;
