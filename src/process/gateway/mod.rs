//! Gateway: a router that forwards callers' requests to endpoints.
//!
//! It caches the configuration and the endpoints. Updates come from the platform's store through
//! `rows` and from other gateways through `peers` and `config_pull`. `freshness`, `endpoint_registry` and
//! `endpoint_fleet` hold the cached state and decide from it without I/O.

pub mod assembly;
pub mod block_list;
pub mod boot_clock;
pub mod budgets;
pub mod caller_server;
pub mod config_pull;
pub mod config_state;
pub mod counter_names;
mod crash_exchange;
pub mod crash_ledger;
pub mod crash_record;
mod crash_suspects;
pub mod endpoint_fleet;
pub mod endpoint_limit;
pub mod endpoint_notice;
pub mod endpoint_registry;
pub mod feature_success;
pub mod first_read;
mod fleet_entry;
mod fleet_permits;
pub mod freshness;
pub mod info_server;
pub mod node;
pub mod parted_rows;
pub mod peer_polls;
pub mod peers;
pub mod permit_ledger;
pub mod permits;
pub mod readers;
pub mod reload;
pub mod request_check;
pub mod request_guard;
pub mod request_reader;
pub mod rollout;
pub mod rows;
pub mod settings;
pub mod start;
pub mod status;
mod stop;
pub mod stop_schedule;
mod store_role;
pub mod store_watch;
pub mod stream_duration;
pub mod stream_versions;
pub mod token_exchange;
mod unfinished_request;
