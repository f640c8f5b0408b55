//! Engines reach the declared model by the orders of one issuer, also when orders come late.

#[expect(dead_code, reason = "orders meet a part of the fake's faults")]
#[path = "../common_platform/mod.rs"]
mod common_platform;
mod fakes;
mod issuing;
mod planning;
mod watching;
