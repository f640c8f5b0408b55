//! Parameters of admission: local limits and request priority.

use crate::request::verdict;

/// Result of admission; the error is the refusal sent to the caller.
pub type Result<T> = verdict::Result<T>;

/// This router's part of a workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalLimit {
    /// Maximum running requests at this router.
    pub share: u32,
    /// Maximum queued requests at this router.
    pub max_queue: u32,
}

/// Priority in the admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// A request that has not started yet.
    New,
    /// A request that was interrupted elsewhere and resumes here; admitted before new ones.
    Resumed,
}
