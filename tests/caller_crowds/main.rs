//! Crowds of clients outside the limits: a process stays alive and within its memory and descriptors,
//! ordinary callers get answers, and refusals are true.

#[path = "../common/mod.rs"]
mod common;
#[path = "../common/crowd.rs"]
mod crowd;
mod gateway_crowds;
mod gateway_process;
#[expect(
    dead_code,
    reason = "support of the gateway's tests, of which these use a part"
)]
#[path = "../gateway/support/mod.rs"]
mod support;
