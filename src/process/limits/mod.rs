//! How much a workspace may ask for, who waits, and what is repeated.

pub mod admission;
pub(crate) mod admission_queue;
pub mod admission_terms;
pub mod budget;
pub mod limit;
pub mod share;
