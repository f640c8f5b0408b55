//! Orders that tell engines which models to load, and the lease that lets one router send them.

pub mod engine_catalog;
pub mod issuer;
pub mod lease;
pub mod load_pacer;
pub mod order_planner;
pub mod report_poller;
