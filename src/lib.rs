//! Serving system for long model generations on engines that fail without warning.
//!
//! The modules are organized by the lifetime of their state: [`request`] for one request,
//! [`connection`] for one connection, [`version`] for one configuration version, [`process`] for
//! one process.

pub mod connection;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;
