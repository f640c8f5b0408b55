//! Request limits that endpoints name in their answers, and that all gateways keep together.

use std::time;

use kumquatpulley::process::gateway::{boot_clock, endpoint_limit};
use kumquatpulley::request::relay::request_rate;

use crate::common;

fn observed(millirequests: Option<u64>, millis: u64) -> endpoint_limit::LimitObservation {
    endpoint_limit::LimitObservation {
        rate: millirequests.map(request_rate::RequestRate),
        at: boot_clock::BootInstant(time::Duration::from_millis(millis)),
    }
}

/// An answer that was on its way when the limit was named says nothing about it.
fn a_limit_ends_only_with_a_newer_answer() {
    let mut limit = endpoint_limit::EndpointLimit::default();
    assert!(!limit.observe(observed(None, 10)));
    assert!(limit.observe(observed(Some(2_700), 20)));
    assert!(!limit.observe(observed(None, 15)));
    assert_eq!(limit.rate(), Some(request_rate::RequestRate(2_700)));
    assert!(!limit.observe(observed(Some(2_700), 30)));
    assert!(!limit.observe(observed(None, 25)));
    assert!(limit.observe(observed(Some(900), 40)));
    assert!(limit.observe(observed(None, 41)));
    assert_eq!(limit.rate(), None);
    assert!(!limit.observe(observed(Some(900), 39)));
    assert_eq!(limit.rate(), None);
}

common::cases! {
    observation_order: a_limit_ends_only_with_a_newer_answer();
}
