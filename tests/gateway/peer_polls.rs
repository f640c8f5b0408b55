//! Which failed polls of a peer are logged.

use kumquatpulley::process::gateway::peer_polls;

use crate::common;

fn only_the_first_failure_in_a_row_is_a_change() {
    let mut failures = peer_polls::PollFailures::default();
    assert!(failures.record_failure("a"));
    assert!(!failures.record_failure("a"));
    assert!(failures.record_failure("b"));
    assert_eq!(failures.record_answer("a"), Some(2));
    assert_eq!(failures.record_answer("a"), None);
    assert!(failures.record_failure("a"));
}

common::cases! {
    failures_in_a_row: only_the_first_failure_in_a_row_is_a_change();
}
