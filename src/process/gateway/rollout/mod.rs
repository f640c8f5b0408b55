//! Roll-outs: move the traffic of a service to endpoints of a new software version.
//!
//! `order`, `plan`, `plan_book`, `evidence`, `evidence_ledger`, `judge`, `ramp` and `coordination` hold
//! state and decide without I/O; time is an argument. `coordinator`, `reporter` and `control` exchange
//! messages with the store and the other routers. `known_versions` and `version_policy` apply the plans
//! to the requests of this router.

pub mod control;
pub mod coordination;
pub mod coordinator;
pub mod evidence;
pub mod evidence_ledger;
mod exchange;
pub mod judge;
pub mod known_versions;
pub mod order;
pub mod plan;
pub mod plan_book;
pub mod ramp;
pub mod record;
pub mod reporter;
mod rollout_store;
pub mod version_policy;
