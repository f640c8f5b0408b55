//! Tests of routers that poll for new versions.

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

/// Time limit for an applied version to be active on all routers.
const ACTIVATION_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Part of [`ACTIVATION_LIMIT`] for gossip from a poller to all routers.
const GOSSIP_LIMIT: time::Duration = time::Duration::from_secs(1);

#[test]
fn a_cell_ignores_older_equal_and_unparsable_versions() {
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
    assert!(cell.has_seen(6), "the unparsable version is not read again");
    assert!(!cell.has_seen(7));
}

proptest! {
    #[test]
    fn a_cell_version_never_decreases(numbers in proptest::collection::vec(1_u64..20, 1..40)) {
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
fn concurrent_offers_activate_the_highest_and_notify_in_order() {
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

/// Routers that poll the same table service.
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

    /// Waits until version `number` is active on all routers and returns the time that took.
    fn activation_time(&self, number: u64) -> time::Duration {
        let start = time::Instant::now();
        while start.elapsed() < 2 * ACTIVATION_LIMIT {
            if self.cells.iter().all(|cell| cell.number() == number) {
                return start.elapsed();
            }
            std::thread::sleep(time::Duration::from_millis(10));
        }
        let numbers: Vec<_> = self.cells.iter().map(|cell| cell.number()).collect();
        panic!("version {number} is not active on all routers: {numbers:?}");
    }
}

#[test]
fn pollers_activate_an_applied_version_in_time() {
    let platform = common_platform::FakePlatform::shared();
    let group = PollingGroup::start(&platform, 4);
    operator::apply(&operator::store_on(&platform), "a", None).unwrap();
    assert!(group.activation_time(1) < ACTIVATION_LIMIT);
    operator::apply(&operator::store_on(&platform), "b", None).unwrap();
    assert!(group.activation_time(2) < ACTIVATION_LIMIT);
}

#[test]
fn a_version_applied_after_an_outage_is_active_in_time() {
    const OUTAGE: time::Duration = time::Duration::from_secs(6);
    let platform = common_platform::FakePlatform::shared();
    let group = PollingGroup::start(&platform, 4);
    operator::apply(&operator::store_on(&platform), "a", None).unwrap();
    group.activation_time(1);
    platform.set_down(true);
    std::thread::sleep(OUTAGE);
    for cell in &group.cells {
        assert_eq!(cell.number(), 1, "the last version stays active");
    }
    platform.set_down(false);
    operator::apply(&operator::store_on(&platform), "b", None).unwrap();
    assert!(group.activation_time(2) < ACTIVATION_LIMIT);
}

#[test]
fn maximum_backoff_and_a_slow_read_stay_within_the_limit() {
    const FAILURES: u32 = 100;
    let mut interval = poll::POLL_INTERVAL;
    for _failure in 0..FAILURES {
        interval = poll::backoff_interval(interval);
    }
    let max_interval = (0..10_000_000)
        .step_by(997)
        .map(|it| poll::add_jitter(interval, it));
    let max_interval = max_interval.max().unwrap();
    let worst = max_interval + platform_client::READ_LIMIT + GOSSIP_LIMIT;
    assert!(worst < ACTIVATION_LIMIT, "{worst:?}");
}

/// Returns declarations of 200 services and a further one named `name`.
fn large(name: &str) -> String {
    let services = (0..200).map(|index| format!("  - name: service-{index}\n"));
    format!(
        "services:\n{}  - name: {name}\n",
        services.collect::<String>()
    )
}

/// Returns a cell that polled `large("a")` as version 1, before `large("b")` and `large("c")` were
/// applied as versions 2 and 3.
fn stale_cell(
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
fn a_poller_reads_only_deltas() {
    let platform = common_platform::FakePlatform::shared();
    let cell = stale_cell(&platform);
    let before = platform.bytes_read();
    task::block_on(poll::poll_once(&cell, &operator::store_on(&platform))).unwrap();
    let version = cell.current().unwrap();
    assert_eq!((version.number(), version.yaml()), (3, large("c").as_str()));
    let read = platform.bytes_read() - before;
    assert!(read < large("c").len() / 4, "{read} bytes");
}

#[test]
fn a_poller_reads_the_whole_text_if_a_delta_is_missing_or_invalid() {
    for damage in [None, Some("{}"), Some(r#"{"digest":1,"parts":[]}"#)] {
        let platform = common_platform::FakePlatform::shared();
        let cell = stale_cell(&platform);
        platform.replace(&row::delta_row(2), damage);
        task::block_on(poll::poll_once(&cell, &operator::store_on(&platform))).unwrap();
        let version = cell.current().unwrap();
        assert_eq!((version.number(), version.yaml()), (3, large("c").as_str()));
    }
}

#[test]
fn a_router_without_a_version_reads_it_even_if_not_a_poller() {
    let platform = common_platform::FakePlatform::shared();
    operator::apply(&operator::store_on(&platform), "a", None).unwrap();
    let group = PollingGroup::start(&platform, 2);
    group.pollers.store(false, atomic::Ordering::Relaxed);
    assert!(group.activation_time(1) < ACTIVATION_LIMIT);
    std::thread::sleep(time::Duration::from_millis(200));
    let before = platform.counts().0;
    std::thread::sleep(2 * poll::POLL_INTERVAL);
    assert_eq!(platform.counts().0, before, "only pollers keep reading");
}

#[test]
fn an_older_head_does_not_replace_a_newer_version() {
    let platform = common_platform::FakePlatform::shared();
    let store = operator::store_on(&platform);
    operator::apply(&store, "a", None).unwrap();
    let cell = sync::Arc::new(config::ConfigCell::new());
    cell.offer(7, &operator::declared("peer"));
    task::block_on(poll::poll_once(&cell, &store)).unwrap();
    assert_eq!(cell.number(), 7);
}
