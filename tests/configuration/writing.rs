//! Tests of operators that write versions, with conflicts, lost messages and outages.

use async_std::task;
use kumquatpulley::version::row;
use kumquatpulley::version::store;

use crate::common_platform;
use crate::common_platform::rows;
use crate::operator;

fn newest(store: &store::VersionStore) -> (u64, String) {
    let newest = task::block_on(store.newest()).expect("the table service answers");
    newest.expect("there is a version")
}

/// Writes a version of another operator directly to the rows, as the newest one.
fn write_other(rows: &mut rows::RowMap, number: u64, name: &str) {
    let head = serde_json::json!({"number": number, "nonce": "other"});
    let version = serde_json::json!({"nonce": "other", "yaml": operator::declared(name)});
    rows::put(rows, row::HEAD_ROW, &head.to_string());
    rows::put(rows, &row::version_row(number), &version.to_string());
}
#[test]
fn versions_are_numbered_from_one_and_read_back() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    assert_eq!(task::block_on(store.newest()).unwrap(), None);
    let outcome = operator::apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    let outcome = operator::apply(&store, "b", Some(1)).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 2 });
    assert_eq!(newest(&store), (2, operator::declared("b")));
    assert_eq!(
        task::block_on(store.read(1)).unwrap(),
        Some(operator::declared("a"))
    );
    assert_eq!(task::block_on(store.read(3)).unwrap(), None);
}

#[test]
fn identical_declarations_create_no_version() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    let outcome = operator::apply(&store, "a", Some(1)).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Unchanged { number: 1 });
    assert_eq!(newest(&store).0, 1);
}

#[test]
fn invalid_declarations_are_never_stored() {
    let platform = common_platform::FakePlatform::shared();
    let outcome = operator::apply(&operator::store_on(&platform), "Not.A.Name", None);
    assert!(matches!(outcome, Err(store::StoreError::Refused(_))));
    assert_eq!(platform.keys(), Vec::<String>::new());
}

#[test]
fn the_second_of_two_operators_with_the_same_base_changes_nothing() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    operator::apply(&store, "first", Some(1)).unwrap();
    let lost = operator::apply(&store, "second", Some(1)).unwrap();
    let yaml = operator::declared("first");
    assert_eq!(lost, store::ApplyOutcome::Lost { number: 2, yaml });
    assert_eq!(newest(&store), (2, operator::declared("first")));
}

#[test]
fn a_conflict_between_read_and_write_changes_nothing() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    let other = |rows: &mut rows::RowMap| write_other(rows, 2, "first");
    platform.plan(common_platform::WriteFault::Overtaken(Box::new(other)));
    let lost = operator::apply(&store, "second", None).unwrap();
    let yaml = operator::declared("first");
    assert_eq!(lost, store::ApplyOutcome::Lost { number: 2, yaml });
    assert_eq!(newest(&store), (2, operator::declared("first")));
}

#[test]
fn a_lost_response_is_resolved_by_reading_back() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    platform.plan(common_platform::WriteFault::AnswerLost(Box::new(
        |_rows| {},
    )));
    let outcome = operator::apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    assert_eq!(platform.counts().1, 1, "the write is not sent again");
}

#[test]
fn a_lost_response_is_resolved_even_if_another_version_followed() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    let other = |rows: &mut rows::RowMap| write_other(rows, 2, "next");
    platform.plan(common_platform::WriteFault::AnswerLost(Box::new(other)));
    let outcome = operator::apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    assert_eq!(newest(&store), (2, operator::declared("next")));
}

#[test]
fn a_lost_request_is_retried() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    platform.plan(common_platform::WriteFault::RequestLost);
    let outcome = operator::apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
}

#[test]
fn a_delayed_write_creates_no_second_version() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    platform.plan(common_platform::WriteFault::Late);
    let outcome = operator::apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    assert_eq!(newest(&store), (1, operator::declared("a")));
    assert_eq!(platform.keys().len(), 2, "one head row and one version row");
}

#[test]
fn a_delayed_write_loses_to_a_version_written_before_it() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    platform.plan(common_platform::WriteFault::Late);
    let other = |rows: &mut rows::RowMap| write_other(rows, 2, "first");
    platform.plan(common_platform::WriteFault::Overtaken(Box::new(other)));
    let lost = operator::apply(&store, "second", Some(1)).unwrap();
    assert!(matches!(lost, store::ApplyOutcome::Lost { number: 2, .. }));
    assert_eq!(newest(&store), (2, operator::declared("first")));
}

#[test]
fn apply_fails_immediately_during_an_outage() {
    let platform = common_platform::FakePlatform::shared();
    platform.set_down(true);
    let outcome = operator::apply(&operator::store_on(&platform), "a", None);
    assert!(matches!(outcome, Err(store::StoreError::Unreachable(_))));
}

#[test]
fn an_outage_after_the_write_is_reported_as_unsettled() {
    let platform = common_platform::FakePlatform::shared();
    for _write in 0..store::MAX_WRITE_ATTEMPTS {
        platform.plan(common_platform::WriteFault::RequestLost);
    }
    let outcome = operator::apply(&operator::store_on(&platform), "a", None);
    let unsettled = matches!(outcome, Err(store::StoreError::Unsettled { number: 1, .. }));
    assert!(unsettled, "{outcome:?}");
    assert_eq!(platform.counts().1, u64::from(store::MAX_WRITE_ATTEMPTS));
}

#[test]
fn a_rollback_creates_a_new_version_with_the_old_text() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    operator::apply(&store, "b", None).unwrap();
    let outcome = task::block_on(store.rollback(1)).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 3 });
    assert_eq!(newest(&store), (3, operator::declared("a")));
    let missing = task::block_on(store.rollback(9));
    assert_eq!(missing, Err(store::StoreError::NoVersion(9)));
}

#[test]
fn concurrent_operators_never_write_the_same_version() {
    const OPERATORS: usize = 8;
    let platform = common_platform::FakePlatform::shared();
    let threads = (0..OPERATORS).map(|operator| {
        let store = operator::store_on(&platform);
        std::thread::spawn(move || {
            operator::apply(&store, &format!("operator-{operator}"), None).unwrap()
        })
    });
    let threads: Vec<_> = threads.collect();
    let outcomes: Vec<_> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    let number = |outcome: &store::ApplyOutcome| match outcome {
        store::ApplyOutcome::Applied { number } => Some(*number),
        _ => None,
    };
    let mut applied: Vec<u64> = outcomes.iter().filter_map(number).collect();
    applied.sort_unstable();
    let expected: Vec<u64> = (1..=applied.len() as u64).collect();
    assert_eq!(applied, expected);
    assert_eq!(
        newest(&operator::store_on(&platform)).0,
        applied.len() as u64
    );
}
