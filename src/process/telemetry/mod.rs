//! Observability for operators: logs, metrics, the event timeline and status.

pub mod log_budget;
pub mod logging;
pub mod metrics;
pub mod status;
pub mod timeline;
pub mod wall_clock;
