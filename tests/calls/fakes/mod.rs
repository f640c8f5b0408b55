//! Fakes at the borders of the call runner: a service over TCP, peer links, members, platform.

pub mod network;
pub mod platform;
pub mod service;
