//! Orders to engines, and the lease under which one router gives them.

pub mod directory;
pub mod issuer;
pub mod lease;
pub mod order;
pub mod order_watch;
pub mod pace;
