//! Engines reach the declared model by the orders of one issuer, also when orders come late.

#[expect(dead_code, reason = "orders meet a part of the fake's faults")]
mod common_platform;

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use futures::future;
use futures::future::FutureExt as _;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::order_client;
use kumquatpulley::connection::platform;
use kumquatpulley::process::issuer;
use kumquatpulley::process::order;
use kumquatpulley::process::pace;
use kumquatpulley::process::timeline;
use kumquatpulley::version::declaration;
use parking_lot::Mutex;
use proptest::prelude::*;

const SERVICE: &str = "quotes";

fn model(version: &str) -> declaration::DeclaredModel {
    declaration::DeclaredModel {
        name: "quote-writer".to_owned(),
        version: version.to_owned(),
        adapter: None,
    }
}

fn loaded(version: &str) -> engine_wire::LoadedModel {
    order::loaded_model(&model(version))
}

/// Engines that load at once.
#[derive(Debug, Default)]
struct FakeEngines {
    engines: Mutex<Vec<FakeEngine>>,
    received: Mutex<Vec<(String, u64)>>,
}

#[derive(Clone, Debug)]
struct FakeEngine {
    name: String,
    checks_fencing: bool,
    highest_fence: u64,
    leaving: bool,
    report: Option<engine_wire::EngineReport>,
}

impl FakeEngines {
    /// `count` engines without a model, of which none checks fencing numbers.
    fn shared(count: usize) -> sync::Arc<Self> {
        let engine = |index: usize| FakeEngine {
            name: format!("e-{index}"),
            checks_fencing: false,
            highest_fence: 0,
            leaving: false,
            report: Some(engine_wire::EngineReport {
                incarnation: 1,
                ..engine_wire::EngineReport::default()
            }),
        };
        sync::Arc::new(Self {
            engines: Mutex::new((0..count).map(engine).collect()),
            received: Mutex::default(),
        })
    }

    fn change(&self, index: usize, change: impl FnOnce(&mut FakeEngine)) {
        change(&mut self.engines.lock()[index]);
    }

    fn loaded(&self, index: usize) -> Vec<engine_wire::LoadedModel> {
        let engines = self.engines.lock();
        let report = engines[index].report.as_ref();
        report.map_or_else(Vec::new, |report| report.loaded.clone())
    }

    fn all_hold(&self, version: &str) -> bool {
        let count = self.engines.lock().len();
        (0..count).all(|index| self.loaded(index).contains(&loaded(version)))
    }

    fn statuses(&self) -> Vec<order::EngineStatus> {
        let engines = self.engines.lock();
        let status = |engine: &FakeEngine| order::EngineStatus {
            name: engine.name.clone(),
            address: engine.name.clone(),
            leaving: engine.leaving,
            report: engine.report.clone(),
        };
        engines.iter().map(status).collect()
    }

    fn receive(&self, address: &str, order: &engine_wire::EngineOrder) -> order_client::Result<()> {
        let mut engines = self.engines.lock();
        let engine = engines.iter_mut().find(|engine| engine.name == address);
        let engine = engine.expect("orders go to engines");
        if engine.checks_fencing && order.fence < engine.highest_fence {
            return Err(order_client::OrderError::OldFence);
        }
        engine.highest_fence = engine.highest_fence.max(order.fence);
        self.received.lock().push((address.to_owned(), order.fence));
        let report = engine.report.as_mut().expect("the engine reports");
        report.loaded.clone_from(&order.wanted.loaded);
        report.role.clone_from(&order.wanted.role);
        Ok(())
    }
}

impl order_client::OrderSink for FakeEngines {
    fn send<'a>(
        &'a self,
        address: &'a str,
        order: &'a engine_wire::EngineOrder,
    ) -> future::BoxFuture<'a, order_client::Result<()>> {
        future::ready(self.receive(address, order)).boxed()
    }
}

/// A planner with its engines, under a time that the test gives.
struct PlanBench {
    start: time::Instant,
    planner: order::OrderPlanner,
    pacer: pace::LoadPacer,
    engines: sync::Arc<FakeEngines>,
}

impl PlanBench {
    fn new(engines: usize) -> Self {
        let start = time::Instant::now();
        Self {
            start,
            planner: order::OrderPlanner::new(),
            pacer: pace::LoadPacer::new(start, 1),
            engines: FakeEngines::shared(engines),
        }
    }

    fn plan(&mut self, seconds: u64, version: &str) -> Vec<order::PlannedOrder> {
        let now = self.start + time::Duration::from_secs(seconds);
        let engines = self.engines.statuses();
        self.planner
            .plan(now, &model(version), &engines, &mut self.pacer)
    }

    fn fail(&mut self, seconds: u64, endpoint: &str) {
        let now = self.start + time::Duration::from_secs(seconds);
        self.planner.note_failure(now, endpoint);
    }

    /// Plans each second and lets the engines take the orders; tells how many there were.
    fn run(&mut self, seconds: std::ops::Range<u64>, version: &str, fence: u64) -> usize {
        let mut count = 0;
        for second in seconds {
            for planned in self.plan(second, version) {
                let wanted = planned.wanted;
                let order = engine_wire::EngineOrder { fence, wanted };
                let taken = self.engines.receive(&planned.address, &order);
                if taken.is_err() {
                    self.fail(second, &planned.endpoint);
                }
                count += 1;
            }
        }
        count
    }
}

#[test]
fn engines_without_the_declared_model_are_ordered_once() {
    let mut bench = PlanBench::new(3);
    assert_eq!(bench.run(1..20, "7", 1), 3);
    assert!(bench.engines.all_hold("7"));
}

#[test]
fn leaving_and_silent_engines_get_no_orders() {
    let mut bench = PlanBench::new(3);
    bench.engines.change(0, |engine| engine.leaving = true);
    bench.engines.change(1, |engine| engine.report = None);
    bench.run(1..20, "7", 1);
    let received = bench.engines.received.lock().clone();
    assert_eq!(received, [("e-2".to_owned(), 1)]);
}

#[test]
fn at_most_a_quarter_of_the_engines_load_at_the_same_time() {
    let mut bench = PlanBench::new(8);
    let orders: usize = (1..10).map(|second| bench.plan(second, "7").len()).sum();
    assert_eq!(orders, 2, "none of them has reported the model yet");
}

#[test]
fn an_order_without_effect_is_repeated_only_after_a_time() {
    let mut bench = PlanBench::new(1);
    assert_eq!(bench.plan(1, "7").len(), 1);
    let repeat = 1 + order::REPEAT_AFTER.as_secs();
    let before: usize = (2..repeat)
        .map(|second| bench.plan(second, "7").len())
        .sum();
    assert_eq!(before, 0);
    assert_eq!(bench.plan(repeat, "7").len(), 1);
}

#[test]
fn a_restarted_engine_is_ordered_again_at_once() {
    let mut bench = PlanBench::new(1);
    bench.run(1..3, "7", 1);
    let empty = engine_wire::EngineReport {
        incarnation: 2,
        ..engine_wire::EngineReport::default()
    };
    bench
        .engines
        .change(0, |engine| engine.report = Some(empty));
    assert_eq!(bench.plan(4, "7").len(), 1);
}

#[test]
fn a_version_declared_during_a_load_is_ordered_at_once() {
    let mut bench = PlanBench::new(1);
    assert_eq!(bench.plan(1, "7").len(), 1);
    let planned = bench.plan(2, "8");
    assert_eq!(planned[0].wanted.loaded, [loaded("8")]);
}

#[test]
fn an_engine_that_restarts_during_a_load_is_ordered_again_at_once() {
    let mut bench = PlanBench::new(1);
    assert_eq!(bench.plan(1, "7").len(), 1);
    let restart = |engine: &mut FakeEngine| {
        engine.report.as_mut().unwrap().incarnation = 2;
    };
    bench.engines.change(0, restart);
    assert_eq!(bench.plan(2, "7").len(), 1);
}

#[test]
fn a_failed_order_is_planned_again() {
    let mut bench = PlanBench::new(1);
    assert_eq!(bench.plan(1, "7").len(), 1);
    bench.fail(1, "e-0");
    assert_eq!(bench.plan(2, "7").len(), 0);
    assert_eq!(bench.plan(1 + order::RETRY_AFTER.as_secs(), "7").len(), 1);
}

#[test]
fn an_engine_that_fails_does_not_hold_up_the_others() {
    let mut bench = PlanBench::new(2);
    let planned = bench.plan(1, "7");
    assert_eq!(planned[0].endpoint, "e-0");
    bench.fail(1, "e-0");
    let later = 1 + order::RETRY_AFTER.as_secs();
    let planned = bench.plan(later, "7");
    assert_eq!(planned[0].endpoint, "e-1");
}

#[test]
fn the_version_before_stays_loaded_until_it_is_not_needed() {
    let mut bench = PlanBench::new(2);
    bench.run(1..10, "7", 1);
    bench.run(10..30, "8", 1);
    assert_eq!(bench.engines.loaded(0), [loaded("8"), loaded("7")]);
    let over = 30 + order::KEEP_PREVIOUS.as_secs();
    bench.run(over..over + 20, "8", 1);
    assert_eq!(bench.engines.loaded(0), [loaded("8")]);
    assert_eq!(bench.engines.loaded(1), [loaded("8")]);
}

#[test]
fn another_role_is_corrected() {
    let mut bench = PlanBench::new(1);
    bench.run(1..3, "7", 1);
    let drain = |engine: &mut FakeEngine| {
        engine.report.as_mut().unwrap().role = "prefill".to_owned();
    };
    bench.engines.change(0, drain);
    bench.run(3..4, "7", 1);
    let engines = bench.engines.engines.lock();
    assert_eq!(
        engines[0].report.as_ref().unwrap().role,
        engine_wire::ROLE_SERVE
    );
}

/// Sends an order of an issuer that has lost its lease, after the orders of the next one.
fn send_stale_order(bench: &PlanBench) -> order_client::Result<()> {
    let stale = engine_wire::EngineOrder {
        fence: 1,
        wanted: engine_wire::WantedState {
            loaded: vec![loaded("6")],
            role: engine_wire::ROLE_SERVE.to_owned(),
        },
    };
    bench.engines.receive("e-0", &stale)
}

#[test]
fn an_engine_that_checks_numbers_refuses_a_stale_order() {
    let mut bench = PlanBench::new(1);
    bench
        .engines
        .change(0, |engine| engine.checks_fencing = true);
    bench.run(1..3, "7", 2);
    assert_eq!(
        send_stale_order(&bench),
        Err(order_client::OrderError::OldFence)
    );
    assert_eq!(bench.engines.loaded(0), [loaded("7")]);
}

#[test]
fn an_engine_that_ignores_numbers_is_corrected_after_a_stale_order() {
    let mut bench = PlanBench::new(1);
    bench.run(1..3, "7", 2);
    send_stale_order(&bench).unwrap();
    assert_eq!(
        bench.engines.loaded(0),
        [loaded("6")],
        "it took the stale order"
    );
    bench.run(3..4, "7", 2);
    assert!(bench.engines.all_hold("7"));
}

#[test]
fn a_stale_order_that_comes_before_the_next_report_is_corrected_after_a_time() {
    let mut bench = PlanBench::new(1);
    bench.run(1..2, "7", 2);
    send_stale_order(&bench).unwrap();
    let repeat = 1 + order::REPEAT_AFTER.as_secs();
    bench.run(2..repeat, "7", 2);
    assert_eq!(
        bench.engines.loaded(0),
        [loaded("6")],
        "the order may be under way"
    );
    bench.run(repeat..repeat + 1, "7", 2);
    assert!(bench.engines.all_hold("7"));
}

proptest! {
    #[test]
    fn loads_never_exceed_the_shared_rate(
        pauses in proptest::collection::vec((0_u64..400, 0_usize..4), 20..200),
    ) {
        const ISSUERS: usize = 4;
        let start = time::Instant::now();
        let mut now = start;
        let mut pacers = vec![pace::LoadPacer::new(start, ISSUERS); ISSUERS];
        let mut loads = 0;
        for (millis, issuer) in pauses {
            now += time::Duration::from_millis(millis);
            loads += u32::from(pacers[issuer].take(now));
            loads += u32::from(pacers[issuer].take(now));
        }
        let elapsed = (now - start).as_secs_f64();
        let most = pace::SHARED_LOADS_PER_SECOND * elapsed;
        prop_assert!(f64::from(loads) <= most + 0.001, "{loads} loads in {elapsed} s");
    }
}

#[test]
fn a_pacer_lets_loads_through_at_its_rate() {
    let start = time::Instant::now();
    let mut pacer = pace::LoadPacer::new(start, 1);
    let seconds = 1..=10;
    let taken = seconds.filter(|second| pacer.take(start + time::Duration::from_secs(*second)));
    assert_eq!(taken.count(), 10);
}

/// What one router knows of the engines.
#[derive(Debug)]
struct FakeDirectory {
    engines: sync::Arc<FakeEngines>,
    candidate: atomic::AtomicBool,
    declared: atomic::AtomicBool,
}

impl issuer::EngineDirectory for FakeDirectory {
    fn services(&self) -> Vec<issuer::ModelService> {
        if !self.declared.load(atomic::Ordering::Relaxed) {
            return Vec::new();
        }
        vec![issuer::ModelService {
            name: SERVICE.to_owned(),
            model: model("7"),
            engines: self.engines.statuses(),
        }]
    }

    fn is_candidate(&self, _service: &str) -> bool {
        self.candidate.load(atomic::Ordering::Relaxed)
    }
}

struct IssuerBench {
    platform: sync::Arc<common_platform::FakePlatform>,
    engines: sync::Arc<FakeEngines>,
}

impl IssuerBench {
    fn new(engines: usize) -> Self {
        Self {
            platform: common_platform::FakePlatform::shared(),
            engines: FakeEngines::shared(engines),
        }
    }

    fn router(&self, name: &str) -> (sync::Arc<issuer::OrderIssuer>, sync::Arc<FakeDirectory>) {
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
fn rounds_until(issuers: &[&issuer::OrderIssuer], done: impl Fn() -> bool) {
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
    assert_eq!(first.fence(SERVICE), Some(1));
    assert_eq!(second.fence(SERVICE), None);
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
    assert_eq!(first.fence(SERVICE), None);
    rounds_until(&[&second], || second.holds_lease());
    assert_eq!(second.fence(SERVICE), Some(2));
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
    rounds_until(&[&second], || second.fence(SERVICE) == Some(2));
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
    assert_eq!(first.fence(SERVICE), Some(1));
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
