//! What admission is asked: limits and order.

use crate::request::verdict;

/// Outcome of admission.
pub type Result<T> = verdict::Result<T>;

/// Part of a workspace's limit that this router may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalLimit {
    /// Requests running at this router at most.
    pub share: u32,
    /// Requests waiting at this router at most.
    pub max_queue: u32,
}

/// Order of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Work that begins.
    New,
    /// Work that was lost elsewhere and goes on.
    Resumed,
}
