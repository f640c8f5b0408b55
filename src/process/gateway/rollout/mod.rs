//! Roll-outs: move the traffic of a service to endpoints of a new software version.
//!
//! `order`, `plan`, `plan_book`, `evidence`, `evidence_ledger`, `judge`, `ramp` and `coordination` hold
//! state and decide without I/O; time is an argument. `known_versions` and `version_policy` do the same
//! for the requests.

pub mod coordination;
pub mod evidence;
pub mod evidence_ledger;
pub mod judge;
pub mod known_versions;
pub mod order;
pub mod plan;
pub mod plan_book;
pub mod ramp;
pub mod record;
pub mod version_policy;
