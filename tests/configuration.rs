//! An accepted configuration is in force everywhere within 5 s and never reverts.

mod common_platform;

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use common_platform::rows;
use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform_client;
use kumquatpulley::process::config;
use kumquatpulley::process::poll;
use kumquatpulley::version::row;
use kumquatpulley::version::store;
use parking_lot::Mutex;
use proptest::prelude::*;

/// Time within which an accepted version is in force everywhere.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Time of it that gossip takes from a poller to every router.
const GOSSIP_SHARE: time::Duration = time::Duration::from_secs(1);

fn declared(name: &str) -> String {
    format!("services:\n  - name: {name}\n")
}

fn store_on(platform: &sync::Arc<common_platform::FakePlatform>) -> store::VersionStore {
    let platform = sync::Arc::clone(platform);
    store::VersionStore::new(platform as sync::Arc<dyn platform::PlatformService>)
}

fn apply(
    store: &store::VersionStore,
    name: &str,
    base: Option<u64>,
) -> store::Result<store::ApplyOutcome> {
    task::block_on(store.apply(&declared(name), base))
}

fn newest(store: &store::VersionStore) -> (u64, String) {
    let newest = task::block_on(store.newest()).expect("the table service answers");
    newest.expect("there is a version")
}

/// Makes another operator's version the newest one, in the rows themselves.
fn write_other(rows: &mut rows::RowMap, number: u64, name: &str) {
    let head = serde_json::json!({"number": number, "nonce": "other"});
    let version = serde_json::json!({"nonce": "other", "yaml": declared(name)});
    rows::put(rows, row::HEAD_ROW, &head.to_string());
    rows::put(rows, &row::version_row(number), &version.to_string());
}

#[test]
fn versions_are_numbered_from_one_and_read_back() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    assert_eq!(task::block_on(store.newest()).unwrap(), None);
    let outcome = apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    let outcome = apply(&store, "b", Some(1)).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 2 });
    assert_eq!(newest(&store), (2, declared("b")));
    assert_eq!(task::block_on(store.read(1)).unwrap(), Some(declared("a")));
    assert_eq!(task::block_on(store.read(3)).unwrap(), None);
}

#[test]
fn the_same_declarations_make_no_version() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    apply(&store, "a", None).unwrap();
    let outcome = apply(&store, "a", Some(1)).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Unchanged { number: 1 });
    assert_eq!(newest(&store).0, 1);
}

#[test]
fn faulty_declarations_are_never_stored() {
    let platform = common_platform::FakePlatform::shared();
    let outcome = apply(&store_on(&platform), "Not.A.Name", None);
    assert!(matches!(outcome, Err(store::StoreError::Refused(_))));
    assert_eq!(platform.keys(), Vec::<String>::new());
}

#[test]
fn the_second_of_two_operators_on_one_base_changes_nothing() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    apply(&store, "a", None).unwrap();
    apply(&store, "first", Some(1)).unwrap();
    let lost = apply(&store, "second", Some(1)).unwrap();
    let yaml = declared("first");
    assert_eq!(lost, store::ApplyOutcome::Lost { number: 2, yaml });
    assert_eq!(newest(&store), (2, declared("first")));
}

#[test]
fn an_operator_overtaken_between_read_and_write_changes_nothing() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    apply(&store, "a", None).unwrap();
    let other = |rows: &mut rows::RowMap| write_other(rows, 2, "first");
    platform.plan(common_platform::WriteFault::Overtaken(Box::new(other)));
    let lost = apply(&store, "second", None).unwrap();
    let yaml = declared("first");
    assert_eq!(lost, store::ApplyOutcome::Lost { number: 2, yaml });
    assert_eq!(newest(&store), (2, declared("first")));
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    platform.plan(common_platform::WriteFault::AnswerLost(Box::new(
        |_rows| {},
    )));
    let outcome = apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    assert_eq!(platform.counts().1, 1, "the write was not sent again");
}

#[test]
fn a_lost_answer_is_settled_although_another_version_followed() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    let other = |rows: &mut rows::RowMap| write_other(rows, 2, "next");
    platform.plan(common_platform::WriteFault::AnswerLost(Box::new(other)));
    let outcome = apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    assert_eq!(newest(&store), (2, declared("next")));
}

#[test]
fn a_lost_request_is_sent_again() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    platform.plan(common_platform::WriteFault::RequestLost);
    let outcome = apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
}

#[test]
fn a_late_write_never_makes_a_second_version() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    platform.plan(common_platform::WriteFault::Late);
    let outcome = apply(&store, "a", None).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 1 });
    assert_eq!(newest(&store), (1, declared("a")));
    assert_eq!(platform.keys().len(), 2, "one head and one version");
}

#[test]
fn a_late_write_loses_to_the_version_that_overtook_it() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    apply(&store, "a", None).unwrap();
    platform.plan(common_platform::WriteFault::Late);
    let other = |rows: &mut rows::RowMap| write_other(rows, 2, "first");
    platform.plan(common_platform::WriteFault::Overtaken(Box::new(other)));
    let lost = apply(&store, "second", Some(1)).unwrap();
    assert!(matches!(lost, store::ApplyOutcome::Lost { number: 2, .. }));
    assert_eq!(newest(&store), (2, declared("first")));
}

#[test]
fn an_outage_refuses_an_apply_at_once() {
    let platform = common_platform::FakePlatform::shared();
    platform.set_down(true);
    let outcome = apply(&store_on(&platform), "a", None);
    assert!(matches!(outcome, Err(store::StoreError::Unreachable(_))));
}

#[test]
fn an_outage_after_the_write_is_told_as_unsettled() {
    let platform = common_platform::FakePlatform::shared();
    for _write in 0..store::SETTLE_TRIES {
        platform.plan(common_platform::WriteFault::RequestLost);
    }
    let outcome = apply(&store_on(&platform), "a", None);
    let unsettled = matches!(outcome, Err(store::StoreError::Unsettled { number: 1, .. }));
    assert!(unsettled, "{outcome:?}");
    assert_eq!(platform.counts().1, u64::from(store::SETTLE_TRIES));
}

#[test]
fn a_rollback_is_a_new_version_with_the_old_text() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    apply(&store, "a", None).unwrap();
    apply(&store, "b", None).unwrap();
    let outcome = task::block_on(store.rollback(1)).unwrap();
    assert_eq!(outcome, store::ApplyOutcome::Applied { number: 3 });
    assert_eq!(newest(&store), (3, declared("a")));
    let missing = task::block_on(store.rollback(9));
    assert_eq!(missing, Err(store::StoreError::NoVersion(9)));
}

#[test]
fn of_many_operators_at_once_each_version_has_one_writer() {
    const OPERATORS: usize = 8;
    let platform = common_platform::FakePlatform::shared();
    let threads = (0..OPERATORS).map(|operator| {
        let store = store_on(&platform);
        std::thread::spawn(move || apply(&store, &format!("operator-{operator}"), None).unwrap())
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
    assert_eq!(newest(&store_on(&platform)).0, applied.len() as u64);
}

#[test]
fn a_cell_ignores_lower_equal_and_unreadable_versions() {
    let cell = config::ConfigCell::new();
    assert!(cell.current().is_none());
    assert_eq!(cell.offer(5, &declared("a")), config::OfferOutcome::InForce);
    assert_eq!(cell.offer(5, &declared("b")), config::OfferOutcome::Known);
    assert_eq!(cell.offer(4, &declared("b")), config::OfferOutcome::Older);
    assert_eq!(
        cell.offer(6, "services: ["),
        config::OfferOutcome::Unparsable
    );
    let version = cell.current().unwrap();
    assert_eq!(
        (version.number(), version.yaml()),
        (5, declared("a").as_str())
    );
    assert_eq!(cell.refused_count(), 1);
    assert!(cell.has_seen(6), "the unreadable version is not read again");
    assert!(!cell.has_seen(7));
}

proptest! {
    #[test]
    fn a_cell_only_moves_upward(numbers in proptest::collection::vec(1_u64..20, 1..40)) {
        let cell = config::ConfigCell::new();
        let seen = sync::Arc::new(Mutex::new(Vec::new()));
        let log = sync::Arc::clone(&seen);
        cell.subscribe(move |version| log.lock().push(version.number()));
        let mut highest = 0;
        for number in &numbers {
            cell.offer(*number, &declared(&format!("v{number}")));
            highest = highest.max(*number);
            prop_assert_eq!(cell.number(), highest);
        }
        prop_assert!(seen.lock().is_sorted_by(|left, right| left < right));
        prop_assert_eq!(seen.lock().last().copied(), Some(highest));
    }
}

#[test]
fn racing_offers_end_at_the_highest_and_are_told_in_order() {
    const THREADS: u64 = 8;
    const OFFERS: u64 = 50;
    let cell = sync::Arc::new(config::ConfigCell::new());
    let seen = sync::Arc::new(Mutex::new(Vec::new()));
    let log = sync::Arc::clone(&seen);
    cell.subscribe(move |version| log.lock().push(version.number()));
    let threads = (0..THREADS).map(|thread| {
        let cell = sync::Arc::clone(&cell);
        std::thread::spawn(move || {
            for offer in 0..OFFERS {
                cell.offer(1 + offer * THREADS + thread, &declared("a"));
            }
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.join().unwrap();
    }
    assert_eq!(cell.number(), THREADS * OFFERS);
    let seen = seen.lock();
    assert!(seen.is_sorted_by(|left, right| left < right), "{seen:?}");
}

/// Routers that poll one table service.
struct PollingGroup {
    cells: Vec<sync::Arc<config::ConfigCell>>,
    pollers: sync::Arc<atomic::AtomicBool>,
    _stop: stop_token::StopSource,
}

impl PollingGroup {
    fn start(platform: &sync::Arc<common_platform::FakePlatform>, count: usize) -> Self {
        let stop = stop_token::StopSource::new();
        let pollers = sync::Arc::new(atomic::AtomicBool::new(true));
        let mut cells = Vec::new();
        for _router in 0..count {
            let cell = sync::Arc::new(config::ConfigCell::new());
            let flag = sync::Arc::clone(&pollers);
            let is_poller = Box::new(move || flag.load(atomic::Ordering::Relaxed));
            let polling = poll::run(
                sync::Arc::clone(&cell),
                store_on(platform),
                is_poller,
                stop.token(),
            );
            task::spawn(polling);
            cells.push(cell);
        }
        Self {
            cells,
            pollers,
            _stop: stop,
        }
    }

    /// Time until every router has `number` in force.
    fn time_until(&self, number: u64) -> time::Duration {
        let start = time::Instant::now();
        while start.elapsed() < 2 * IN_FORCE_LIMIT {
            if self.cells.iter().all(|cell| cell.number() == number) {
                return start.elapsed();
            }
            std::thread::sleep(time::Duration::from_millis(10));
        }
        let numbers: Vec<_> = self.cells.iter().map(|cell| cell.number()).collect();
        panic!("version {number} is not in force everywhere: {numbers:?}");
    }
}

#[test]
fn pollers_have_an_applied_version_in_force_in_time() {
    let platform = common_platform::FakePlatform::shared();
    let group = PollingGroup::start(&platform, 4);
    apply(&store_on(&platform), "a", None).unwrap();
    assert!(group.time_until(1) < IN_FORCE_LIMIT);
    apply(&store_on(&platform), "b", None).unwrap();
    assert!(group.time_until(2) < IN_FORCE_LIMIT);
}

#[test]
fn a_version_applied_after_an_outage_is_in_force_in_time() {
    const OUTAGE: time::Duration = time::Duration::from_secs(6);
    let platform = common_platform::FakePlatform::shared();
    let group = PollingGroup::start(&platform, 4);
    apply(&store_on(&platform), "a", None).unwrap();
    group.time_until(1);
    platform.set_down(true);
    std::thread::sleep(OUTAGE);
    for cell in &group.cells {
        assert_eq!(cell.number(), 1, "the last version stays in force");
    }
    platform.set_down(false);
    apply(&store_on(&platform), "b", None).unwrap();
    assert!(group.time_until(2) < IN_FORCE_LIMIT);
}

#[test]
fn a_poller_that_backed_off_and_meets_a_slow_answer_is_still_in_time() {
    const FAILURES: u32 = 100;
    let mut interval = poll::POLL_INTERVAL;
    for _failure in 0..FAILURES {
        interval = poll::next_interval(interval);
    }
    let longest = (0..10_000_000)
        .step_by(997)
        .map(|it| poll::spread(interval, it));
    let longest = longest.max().unwrap();
    let worst = longest + platform_client::READ_LIMIT + GOSSIP_SHARE;
    assert!(worst < IN_FORCE_LIMIT, "{worst:?}");
}

/// Declarations of 200 services, the last of the given name.
fn large(name: &str) -> String {
    let services = (0..200).map(|index| format!("  - name: service-{index}\n"));
    format!(
        "services:\n{}  - name: {name}\n",
        services.collect::<String>()
    )
}

/// A cell that polled `large("a")` as version 1 before `large("b")` and `large("c")` followed.
fn cell_behind(platform: &sync::Arc<common_platform::FakePlatform>) -> config::ConfigCell {
    let store = store_on(platform);
    let cell = config::ConfigCell::new();
    let apply = |name: &str| task::block_on(store.apply(&large(name), None)).expect("no fault");
    apply("a");
    task::block_on(poll::poll_once(&cell, &store)).expect("no fault");
    apply("b");
    apply("c");
    assert_eq!(cell.number(), 1);
    cell
}

#[test]
fn a_poller_reads_only_what_changed() {
    let platform = common_platform::FakePlatform::shared();
    let cell = cell_behind(&platform);
    let before = platform.bytes_read();
    task::block_on(poll::poll_once(&cell, &store_on(&platform))).unwrap();
    let version = cell.current().unwrap();
    assert_eq!((version.number(), version.yaml()), (3, large("c").as_str()));
    let read = platform.bytes_read() - before;
    assert!(read < large("c").len() / 4, "{read} bytes");
}

#[test]
fn a_poller_that_finds_no_fitting_change_reads_the_whole_text() {
    for damage in [None, Some("{}"), Some(r#"{"digest":1,"parts":[]}"#)] {
        let platform = common_platform::FakePlatform::shared();
        let cell = cell_behind(&platform);
        platform.replace(&row::delta_row(2), damage);
        task::block_on(poll::poll_once(&cell, &store_on(&platform))).unwrap();
        let version = cell.current().unwrap();
        assert_eq!((version.number(), version.yaml()), (3, large("c").as_str()));
    }
}

#[test]
fn a_router_without_a_version_reads_it_though_it_is_no_poller() {
    let platform = common_platform::FakePlatform::shared();
    apply(&store_on(&platform), "a", None).unwrap();
    let group = PollingGroup::start(&platform, 2);
    group.pollers.store(false, atomic::Ordering::Relaxed);
    assert!(group.time_until(1) < IN_FORCE_LIMIT);
    std::thread::sleep(time::Duration::from_millis(200));
    let before = platform.counts().0;
    std::thread::sleep(2 * poll::POLL_INTERVAL);
    assert_eq!(platform.counts().0, before, "only pollers read on");
}

#[test]
fn an_older_head_never_takes_a_version_back() {
    let platform = common_platform::FakePlatform::shared();
    let store = store_on(&platform);
    apply(&store, "a", None).unwrap();
    let cell = config::ConfigCell::new();
    cell.offer(7, &declared("peer"));
    task::block_on(poll::poll_once(&cell, &store)).unwrap();
    assert_eq!(cell.number(), 7);
}
