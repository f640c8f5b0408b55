//! Storms of log lines are cut by kind, and what is left out is told.

use kumquatpulley::process::telemetry::log_budget;

fn kind(line: u32) -> log_budget::LineKind {
    log_budget::LineKind {
        module: "relay".to_owned(),
        line,
    }
}

fn admitted(budget: &mut log_budget::LineBudget, line: u32, is_urgent: bool, count: u32) -> usize {
    let lines = (0..count).filter(|_line| budget.admit(kind(line), is_urgent));
    lines.count()
}

#[test]
fn a_storm_of_served_requests_leaves_room_for_those_that_failed() {
    let mut budget = log_budget::LineBudget::default();
    let served = admitted(&mut budget, 1, false, 10_000);
    let failed = admitted(&mut budget, 2, true, 10_000);
    assert!(served > 0 && failed >= 2 * served, "{served}, {failed}");
    assert_eq!(admitted(&mut budget, 3, false, 1), 1, "a kind of its own");
}

#[test]
fn what_was_left_out_is_told_once_in_the_next_second() {
    let mut budget = log_budget::LineBudget::default();
    let written = admitted(&mut budget, 1, false, 1_000);
    assert!(budget.turn(0).is_empty(), "the second is not over");
    let left_out = budget.turn(1);
    let count = u64::try_from(1_000 - written).expect("few");
    let expected = log_budget::LeftOut {
        kind: kind(1),
        count,
    };
    assert_eq!(left_out, [expected]);
    assert!(budget.turn(1).is_empty());
    assert!(budget.admit(kind(1), false), "a new second, a new budget");
}

/// Kinds are places in the source; even if they were not, memory stays bounded.
#[test]
fn the_number_of_kinds_is_bounded() {
    let mut budget = log_budget::LineBudget::default();
    let usual = (0..100_000).filter(|line| budget.admit(kind(*line), false));
    assert!(usual.count() <= 512);
    assert!(
        budget.admit(kind(100_001), true),
        "failures are told all the same"
    );
}
