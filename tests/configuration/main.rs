//! Tests that an applied configuration is active on all routers within 5 s and never reverts.

#[path = "../common_platform/mod.rs"]
mod common_platform;
mod operator;
mod polling;
mod writing;
