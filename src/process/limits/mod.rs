//! Workspace limits, admission control and the retry budget.

pub mod admission;
pub mod admission_params;
pub(crate) mod admission_queue;
pub mod budget;
pub mod byte_budget;
mod byte_ledger;
pub mod caller_memory;
pub mod limit_split;
pub mod segment_pool;
pub mod share;
pub mod token_bucket;
pub mod token_transfer;
