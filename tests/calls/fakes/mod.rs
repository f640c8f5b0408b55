//! Fakes for the dependencies of the call runner: TCP service, peer links, members, platform.

pub mod network;
pub mod platform;
pub mod service;
