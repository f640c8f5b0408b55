//! Gateway: a router that forwards callers' requests to endpoints.
//!
//! It caches the configuration and the endpoints. Updates come from the platform's store through
//! `rows` and from other gateways through `peers`. `freshness`, `endpoint_registry` and
//! `endpoint_fleet` hold the cached state and decide from it without I/O.

pub mod boot_clock;
pub mod budgets;
pub mod check;
pub mod endpoint_fleet;
pub mod endpoint_notice;
pub mod endpoint_registry;
pub mod endpoint_rows;
pub mod follow;
pub mod freshness;
pub mod front;
pub mod node;
pub mod outcome;
pub mod peers;
pub mod readers;
pub mod reload;
pub mod rows;
pub mod settings;
pub mod side;
pub mod start;
pub mod status;
pub mod stopping;
