//! A router that passes requests on between callers and endpoints, with what it believes of both.
//!
//! What the platform's store says comes in through `rows`, what peers say through `peers`; beliefs
//! with an age are in `freshness` and `fleet`, and decide without I/O.

pub mod boot_clock;
pub mod budgets;
pub mod caller_server;
pub mod counter_names;
pub mod endpoint_book;
pub mod endpoint_fleet;
pub mod endpoint_rows;
pub mod endpoint_word;
pub mod freshness;
pub mod info_server;
pub mod node;
pub mod peers;
pub mod readers;
pub mod reload;
pub mod request_check;
pub mod rows;
pub mod settings;
pub mod start;
pub mod status;
pub mod store_watch;
pub mod stream_duration;
