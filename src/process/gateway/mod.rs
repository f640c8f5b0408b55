//! A router that passes requests on between callers and endpoints, with what it believes of both.
//!
//! What the platform's store says comes in through `rows`, what peers say through `peers`; beliefs
//! with an age are in `freshness` and `fleet`, and decide without I/O.

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
