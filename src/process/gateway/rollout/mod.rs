//! Roll-outs: move the traffic of a service to endpoints of a new software version.
//!
//! `plan`, `evidence` and `plan_book` hold state and decide without I/O; time is an argument.

pub mod evidence;
pub mod known_versions;
pub mod plan;
pub mod plan_book;
pub mod version_policy;
