//! Which router issues orders, as decided by a lease in the table service.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use kumquatpulley::connection::order_client;
use kumquatpulley::connection::platform;
use kumquatpulley::process::orders::issuer;
use kumquatpulley::process::telemetry::timeline;

use crate::common_platform;
use crate::fakes;

/// Engine directory of one router; the test controls whether it is a candidate.
#[derive(Debug)]
pub struct FakeDirectory {
    engines: sync::Arc<fakes::FakeEngines>,
    is_candidate: atomic::AtomicBool,
    is_declared: atomic::AtomicBool,
}

impl issuer::EngineDirectory for FakeDirectory {
    fn services(&self) -> Vec<issuer::ModelService> {
        if !self.is_declared.load(atomic::Ordering::Relaxed) {
            return Vec::new();
        }
        vec![issuer::ModelService {
            name: fakes::SERVICE.to_owned(),
            model: fakes::model("7"),
            engines: self.engines.statuses(),
        }]
    }

    fn is_candidate(&self, _service: &str) -> bool {
        self.is_candidate.load(atomic::Ordering::Relaxed)
    }
}

pub struct IssuerHarness {
    platform: sync::Arc<common_platform::FakePlatform>,
    engines: sync::Arc<fakes::FakeEngines>,
}

impl IssuerHarness {
    pub fn new(engines: usize) -> Self {
        Self {
            platform: common_platform::FakePlatform::shared(),
            engines: fakes::FakeEngines::shared(engines),
        }
    }

    pub fn router(&self, name: &str) -> (sync::Arc<issuer::OrderIssuer>, sync::Arc<FakeDirectory>) {
        let directory = sync::Arc::new(FakeDirectory {
            engines: sync::Arc::clone(&self.engines),
            is_candidate: atomic::AtomicBool::new(true),
            is_declared: atomic::AtomicBool::new(true),
        });
        let platform = sync::Arc::clone(&self.platform);
        let sink = sync::Arc::clone(&self.engines);
        let issuer = issuer::OrderIssuer::new(
            name.to_owned(),
            platform as sync::Arc<dyn platform::PlatformService>,
            sink as sync::Arc<dyn order_client::OrderSink>,
            sync::Arc::clone(&directory) as sync::Arc<dyn issuer::EngineDirectory>,
            sync::Arc::new(timeline::EventRing::new(name)),
        );
        (sync::Arc::new(issuer), directory)
    }
}

/// Runs rounds of all issuers in turn until `is_done` returns true; panics after 5 s.
pub fn run_rounds_until(issuers: &[&issuer::OrderIssuer], is_done: impl Fn() -> bool) {
    let start = time::Instant::now();
    while start.elapsed() < time::Duration::from_secs(5) {
        for issuer in issuers {
            task::block_on(issuer.round());
        }
        if is_done() {
            return;
        }
        std::thread::sleep(time::Duration::from_millis(20));
    }
    panic!("condition not met within 5 s");
}

#[test]
fn one_of_two_routers_issues_all_orders() {
    let harness = IssuerHarness::new(4);
    let (first, _directory) = harness.router("r1");
    let (second, _directory) = harness.router("r2");
    run_rounds_until(&[&first, &second], || harness.engines.all_hold("7"));
    assert_eq!(first.fence(fakes::SERVICE), Some(1));
    assert_eq!(second.fence(fakes::SERVICE), None);
    assert!(first.holds_lease() && !second.holds_lease());
    let received = harness.engines.received.lock();
    assert!(received.iter().all(|(_engine, fence)| *fence == 1));
}

#[test]
fn router_that_is_no_longer_a_candidate_hands_over_with_a_higher_fence() {
    let harness = IssuerHarness::new(1);
    let (first, directory) = harness.router("r1");
    let (second, _directory) = harness.router("r2");
    run_rounds_until(&[&first], || first.holds_lease());
    directory
        .is_candidate
        .store(false, atomic::Ordering::Relaxed);
    task::block_on(first.round());
    assert_eq!(first.fence(fakes::SERVICE), None);
    run_rounds_until(&[&second], || second.holds_lease());
    assert_eq!(second.fence(fakes::SERVICE), Some(2));
}

#[test]
fn stopped_router_releases_its_lease() {
    let harness = IssuerHarness::new(1);
    let (first, _directory) = harness.router("r1");
    let (second, _directory) = harness.router("r2");
    let stop = stop_token::StopSource::new();
    let running = sync::Arc::clone(&first);
    let token = stop.token();
    let run = task::spawn(async move { running.run(token).await });
    while !first.holds_lease() {
        std::thread::sleep(time::Duration::from_millis(10));
    }
    drop(stop);
    task::block_on(run);
    run_rounds_until(&[&second], || second.fence(fakes::SERVICE) == Some(2));
}

#[test]
fn lease_of_a_service_that_is_no_longer_declared_is_released() {
    let harness = IssuerHarness::new(1);
    let (first, directory) = harness.router("r1");
    run_rounds_until(&[&first], || first.holds_lease());
    directory
        .is_declared
        .store(false, atomic::Ordering::Relaxed);
    task::block_on(first.round());
    assert!(!first.holds_lease());
    let (second, _directory) = harness.router("r2");
    run_rounds_until(&[&second], || second.holds_lease());
}

#[test]
fn no_order_is_sent_without_the_table_service() {
    let harness = IssuerHarness::new(1);
    harness.platform.set_down(true);
    let (first, _directory) = harness.router("r1");
    for _round in 0..10 {
        task::block_on(first.round());
    }
    std::thread::sleep(time::Duration::from_millis(600));
    task::block_on(first.round());
    assert!(harness.engines.received.lock().is_empty());
}

#[test]
fn lease_whose_write_answer_was_lost_is_held_after_the_next_read() {
    let harness = IssuerHarness::new(1);
    let lost = common_platform::WriteFault::AnswerLost(Box::new(|_rows| {}));
    harness.platform.plan(lost);
    let (first, _directory) = harness.router("r1");
    run_rounds_until(&[&first], || harness.engines.all_hold("7"));
    assert_eq!(first.fence(fakes::SERVICE), Some(1));
}

#[test]
fn each_service_has_two_candidate_routers() {
    let routers: Vec<String> = (0..20).map(|index| format!("r{index}")).collect();
    for service in ["quotes", "seating", "advice"] {
        let candidates = routers
            .iter()
            .filter(|router| issuer::is_candidate(service, router, &routers));
        assert_eq!(candidates.count(), issuer::CANDIDATES_PER_SERVICE);
    }
    assert!(!issuer::is_candidate("quotes", "draining", &routers));
}
