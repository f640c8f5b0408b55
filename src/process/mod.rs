//! Components that live as long as the process.

pub mod catch_up;
pub mod drain;
pub mod endpoints;
pub mod gateway;
pub mod limits;
pub mod members;
pub mod node;
pub mod orders;
pub mod pause;
pub mod readiness;
pub mod registry;
pub mod setup;
pub mod start;
pub mod telemetry;
pub mod versions;
pub mod view;
