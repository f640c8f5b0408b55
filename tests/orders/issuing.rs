//! Who orders, under a lease in the table service.

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

/// What one router knows of the engines.
#[derive(Debug)]
pub struct FakeDirectory {
    engines: sync::Arc<fakes::FakeEngines>,
    candidate: atomic::AtomicBool,
    declared: atomic::AtomicBool,
}

impl issuer::EngineDirectory for FakeDirectory {
    fn services(&self) -> Vec<issuer::ModelService> {
        if !self.declared.load(atomic::Ordering::Relaxed) {
            return Vec::new();
        }
        vec![issuer::ModelService {
            name: fakes::SERVICE.to_owned(),
            model: fakes::model("7"),
            engines: self.engines.statuses(),
        }]
    }

    fn is_candidate(&self, _service: &str) -> bool {
        self.candidate.load(atomic::Ordering::Relaxed)
    }
}

pub struct IssuerBench {
    platform: sync::Arc<common_platform::FakePlatform>,
    engines: sync::Arc<fakes::FakeEngines>,
}

impl IssuerBench {
    pub fn new(engines: usize) -> Self {
        Self {
            platform: common_platform::FakePlatform::shared(),
            engines: fakes::FakeEngines::shared(engines),
        }
    }

    pub fn router(&self, name: &str) -> (sync::Arc<issuer::OrderIssuer>, sync::Arc<FakeDirectory>) {
        let directory = sync::Arc::new(FakeDirectory {
            engines: sync::Arc::clone(&self.engines),
            candidate: atomic::AtomicBool::new(true),
            declared: atomic::AtomicBool::new(true),
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

/// Runs rounds of all issuers in turn, for at most 5 s, until `done`.
pub fn rounds_until(issuers: &[&issuer::OrderIssuer], done: impl Fn() -> bool) {
    let start = time::Instant::now();
    while start.elapsed() < time::Duration::from_secs(5) {
        for issuer in issuers {
            task::block_on(issuer.round());
        }
        if done() {
            return;
        }
        std::thread::sleep(time::Duration::from_millis(20));
    }
    panic!("not done within 5 s");
}

#[test]
fn one_of_two_routers_issues_all_orders() {
    let bench = IssuerBench::new(4);
    let (first, _directory) = bench.router("r1");
    let (second, _directory) = bench.router("r2");
    rounds_until(&[&first, &second], || bench.engines.all_hold("7"));
    assert_eq!(first.fence(fakes::SERVICE), Some(1));
    assert_eq!(second.fence(fakes::SERVICE), None);
    assert!(first.holds_lease() && !second.holds_lease());
    let received = bench.engines.received.lock();
    assert!(received.iter().all(|(_engine, fence)| *fence == 1));
}

#[test]
fn a_router_that_is_no_candidate_any_more_hands_over_with_a_higher_number() {
    let bench = IssuerBench::new(1);
    let (first, directory) = bench.router("r1");
    let (second, _directory) = bench.router("r2");
    rounds_until(&[&first], || first.holds_lease());
    directory.candidate.store(false, atomic::Ordering::Relaxed);
    task::block_on(first.round());
    assert_eq!(first.fence(fakes::SERVICE), None);
    rounds_until(&[&second], || second.holds_lease());
    assert_eq!(second.fence(fakes::SERVICE), Some(2));
}

#[test]
fn a_stopped_router_gives_its_lease_back() {
    let bench = IssuerBench::new(1);
    let (first, _directory) = bench.router("r1");
    let (second, _directory) = bench.router("r2");
    let stop = stop_token::StopSource::new();
    let running = sync::Arc::clone(&first);
    let token = stop.token();
    let run = task::spawn(async move { running.run(token).await });
    while !first.holds_lease() {
        std::thread::sleep(time::Duration::from_millis(10));
    }
    drop(stop);
    task::block_on(run);
    rounds_until(&[&second], || second.fence(fakes::SERVICE) == Some(2));
}

#[test]
fn a_service_that_is_not_declared_any_more_gives_its_lease_back() {
    let bench = IssuerBench::new(1);
    let (first, directory) = bench.router("r1");
    rounds_until(&[&first], || first.holds_lease());
    directory.declared.store(false, atomic::Ordering::Relaxed);
    task::block_on(first.round());
    assert!(!first.holds_lease());
    let (second, _directory) = bench.router("r2");
    rounds_until(&[&second], || second.holds_lease());
}

#[test]
fn no_order_is_sent_without_the_table_service() {
    let bench = IssuerBench::new(1);
    bench.platform.set_down(true);
    let (first, _directory) = bench.router("r1");
    for _round in 0..10 {
        task::block_on(first.round());
    }
    std::thread::sleep(time::Duration::from_millis(600));
    task::block_on(first.round());
    assert!(bench.engines.received.lock().is_empty());
}

#[test]
fn a_lease_whose_answer_was_lost_is_held_after_reading_back() {
    let bench = IssuerBench::new(1);
    let lost = common_platform::WriteFault::AnswerLost(Box::new(|_rows| {}));
    bench.platform.plan(lost);
    let (first, _directory) = bench.router("r1");
    rounds_until(&[&first], || bench.engines.all_hold("7"));
    assert_eq!(first.fence(fakes::SERVICE), Some(1));
}

#[test]
fn two_routers_stand_by_for_each_service() {
    let routers: Vec<String> = (0..20).map(|index| format!("r{index}")).collect();
    for service in ["quotes", "seating", "advice"] {
        let candidates = routers
            .iter()
            .filter(|router| issuer::is_candidate(service, router, &routers));
        assert_eq!(candidates.count(), issuer::CANDIDATES_PER_SERVICE);
    }
    assert!(!issuer::is_candidate("quotes", "draining", &routers));
}
