//! Relays one caller's request to endpoints: endpoint selection, retries and delivery of the
//! response.
//!
//! `call_wait`, `events`, `report`, `retry`, `retry_delay`, `selection`, `stall` and
//! `trunk_reservation` hold decisions that do no I/O;
//! `buffered` and `stream` carry them out.

pub mod attempt;
pub mod buffered;
pub mod call_wait;
pub mod context;
mod crash_report;
pub mod dialect;
pub mod events;
pub mod fleet;
mod full_call;
pub mod incarnation;
pub mod kv_copy;
pub mod permit;
pub mod report;
pub mod request_feature;
pub mod request_guard;
pub mod request_rate;
pub mod response_memory;
pub mod retry;
pub mod retry_delay;
pub mod rollout;
pub mod selection;
pub mod service_load;
pub mod stall;
pub mod stream;
mod stream_end;
mod stream_loss;
pub mod stream_origin;
mod stream_placement;
mod stream_reader;
mod stream_take_up;
pub mod trunk_reservation;
pub mod version_choice;
mod version_trial;
