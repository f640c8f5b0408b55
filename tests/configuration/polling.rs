//! Routers that take versions.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use kumquatpulley::connection::platform_client;
use kumquatpulley::process::versions::config;
use kumquatpulley::process::versions::poll;
use kumquatpulley::version::row;
use proptest::prelude::*;

use crate::common_platform;
use crate::operator;

/// Time within which an accepted version is in force everywhere.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Time of it that gossip takes from a poller to every router.
const GOSSIP_SHARE: time::Duration = time::Duration::from_secs(1);

#[test]
fn a_cell_ignores_lower_equal_and_unreadable_versions() {
    let cell = config::ConfigCell::new();
    assert!(cell.current().is_none());
    assert_eq!(
        cell.offer(5, &operator::declared("a")),
        config::OfferOutcome::Activated
    );
    assert_eq!(
        cell.offer(5, &operator::declared("b")),
        config::OfferOutcome::AlreadyActive
    );
    assert_eq!(
        cell.offer(4, &operator::declared("b")),
        config::OfferOutcome::Older
    );
    assert_eq!(
        cell.offer(6, "services: ["),
        config::OfferOutcome::Unparsable
    );
    let version = cell.current().unwrap();
    assert_eq!(
        (version.number(), version.yaml()),
        (5, operator::declared("a").as_str())
    );
    assert_eq!(cell.refused_count(), 1);
    assert!(cell.has_seen(6), "the unreadable version is not read again");
    assert!(!cell.has_seen(7));
}

proptest! {
    #[test]
    fn a_cell_only_moves_upward(numbers in proptest::collection::vec(1_u64..20, 1..40)) {
        let cell = config::ConfigCell::new();
        let seen = sync::Arc::new(parking_lot::Mutex::new(Vec::new()));
        let log = sync::Arc::clone(&seen);
        cell.subscribe(move |version| log.lock().push(version.number()));
        let mut highest = 0;
        for number in &numbers {
            cell.offer(*number, &operator::declared(&format!("v{number}")));
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
    let seen = sync::Arc::new(parking_lot::Mutex::new(Vec::new()));
    let log = sync::Arc::clone(&seen);
    cell.subscribe(move |version| log.lock().push(version.number()));
    let threads = (0..THREADS).map(|thread| {
        let cell = sync::Arc::clone(&cell);
        std::thread::spawn(move || {
            for offer in 0..OFFERS {
                cell.offer(1 + offer * THREADS + thread, &operator::declared("a"));
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
                operator::store_on(platform),
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
    operator::apply(&operator::store_on(&platform), "a", None).unwrap();
    assert!(group.time_until(1) < IN_FORCE_LIMIT);
    operator::apply(&operator::store_on(&platform), "b", None).unwrap();
    assert!(group.time_until(2) < IN_FORCE_LIMIT);
}

#[test]
fn a_version_applied_after_an_outage_is_in_force_in_time() {
    const OUTAGE: time::Duration = time::Duration::from_secs(6);
    let platform = common_platform::FakePlatform::shared();
    let group = PollingGroup::start(&platform, 4);
    operator::apply(&operator::store_on(&platform), "a", None).unwrap();
    group.time_until(1);
    platform.set_down(true);
    std::thread::sleep(OUTAGE);
    for cell in &group.cells {
        assert_eq!(cell.number(), 1, "the last version stays in force");
    }
    platform.set_down(false);
    operator::apply(&operator::store_on(&platform), "b", None).unwrap();
    assert!(group.time_until(2) < IN_FORCE_LIMIT);
}

#[test]
fn a_poller_that_backed_off_and_meets_a_slow_answer_is_still_in_time() {
    const FAILURES: u32 = 100;
    let mut interval = poll::POLL_INTERVAL;
    for _failure in 0..FAILURES {
        interval = poll::backoff_interval(interval);
    }
    let longest = (0..10_000_000)
        .step_by(997)
        .map(|it| poll::add_jitter(interval, it));
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
fn cell_behind(
    platform: &sync::Arc<common_platform::FakePlatform>,
) -> sync::Arc<config::ConfigCell> {
    let store = operator::store_on(platform);
    let cell = sync::Arc::new(config::ConfigCell::new());
    let apply_large =
        |name: &str| task::block_on(store.apply(&large(name), None)).expect("no fault");
    apply_large("a");
    task::block_on(poll::poll_once(&cell, &store)).expect("no fault");
    apply_large("b");
    apply_large("c");
    assert_eq!(cell.number(), 1);
    cell
}

#[test]
fn a_poller_reads_only_what_changed() {
    let platform = common_platform::FakePlatform::shared();
    let cell = cell_behind(&platform);
    let before = platform.bytes_read();
    task::block_on(poll::poll_once(&cell, &operator::store_on(&platform))).unwrap();
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
        task::block_on(poll::poll_once(&cell, &operator::store_on(&platform))).unwrap();
        let version = cell.current().unwrap();
        assert_eq!((version.number(), version.yaml()), (3, large("c").as_str()));
    }
}

#[test]
fn a_router_without_a_version_reads_it_though_it_is_no_poller() {
    let platform = common_platform::FakePlatform::shared();
    operator::apply(&operator::store_on(&platform), "a", None).unwrap();
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
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    let cell = sync::Arc::new(config::ConfigCell::new());
    cell.offer(7, &operator::declared("peer"));
    task::block_on(poll::poll_once(&cell, &store)).unwrap();
    assert_eq!(cell.number(), 7);
}
