//! The orders of one issuer make engines load the declared model, even if orders arrive late.

#[expect(dead_code, reason = "these tests use some of the fake's faults")]
#[path = "../common_platform/mod.rs"]
mod common_platform;
mod fakes;
mod issuing;
mod planning;
mod polling;
