//! Orders to engines, and the lease under which one router gives them.

pub mod engine_catalog;
pub mod issuer;
pub mod lease;
pub mod load_pacer;
pub mod order_planner;
pub mod report_poller;
