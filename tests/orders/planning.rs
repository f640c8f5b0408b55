//! Which orders the planner issues, with a clock that the test controls.

use std::sync;
use std::time;

use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::order_client;
use kumquatpulley::process::orders::load_pacer;
use kumquatpulley::process::orders::order_planner;
use proptest::prelude::*;

use crate::fakes;

/// A planner with its engines and a clock that the test controls.
struct PlannerHarness {
    start: time::Instant,
    planner: order_planner::OrderPlanner,
    pacer: load_pacer::LoadPacer,
    engines: sync::Arc<fakes::FakeEngines>,
}

impl PlannerHarness {
    fn new(engines: usize) -> Self {
        let start = time::Instant::now();
        Self {
            start,
            planner: order_planner::OrderPlanner::new(),
            pacer: load_pacer::LoadPacer::new(start, 1),
            engines: fakes::FakeEngines::shared(engines),
        }
    }

    fn plan(&mut self, seconds: u64, version: &str) -> Vec<order_planner::PlannedOrder> {
        let now = self.start + time::Duration::from_secs(seconds);
        let engines = self.engines.statuses();
        self.planner
            .plan(now, &fakes::model(version), &engines, &mut self.pacer)
    }

    fn record_failure(&mut self, seconds: u64, endpoint: &str) {
        let now = self.start + time::Duration::from_secs(seconds);
        self.planner.record_failure(now, endpoint);
    }

    /// Plans once per second, delivers the orders to the engines and returns their number.
    fn run(&mut self, seconds: std::ops::Range<u64>, version: &str, fence: u64) -> usize {
        let mut count = 0;
        for second in seconds {
            for planned in self.plan(second, version) {
                let wanted = planned.wanted;
                let order = engine_wire::EngineOrder { fence, wanted };
                let taken = self.engines.receive(&planned.address, &order);
                if taken.is_err() {
                    self.record_failure(second, &planned.endpoint);
                }
                count += 1;
            }
        }
        count
    }
}

#[test]
fn engines_without_the_declared_model_get_one_order() {
    let mut harness = PlannerHarness::new(3);
    assert_eq!(harness.run(1..20, "7", 1), 3);
    assert!(harness.engines.all_hold("7"));
}

#[test]
fn leaving_engines_and_engines_without_report_get_no_orders() {
    let mut harness = PlannerHarness::new(3);
    harness.engines.change(0, |engine| engine.leaving = true);
    harness.engines.change(1, |engine| engine.report = None);
    harness.run(1..20, "7", 1);
    let received = harness.engines.received.lock().clone();
    assert_eq!(received, [("e-2".to_owned(), 1)]);
}

#[test]
fn at_most_a_quarter_of_the_engines_load_at_the_same_time() {
    let mut harness = PlannerHarness::new(8);
    let orders: usize = (1..10).map(|second| harness.plan(second, "7").len()).sum();
    assert_eq!(orders, 2, "no engine has reported the model yet");
}

#[test]
fn order_without_effect_is_repeated_only_after_a_delay() {
    let mut harness = PlannerHarness::new(1);
    assert_eq!(harness.plan(1, "7").len(), 1);
    let repeat_at = 1 + order_planner::REPEAT_AFTER.as_secs();
    let before: usize = (2..repeat_at)
        .map(|second| harness.plan(second, "7").len())
        .sum();
    assert_eq!(before, 0);
    assert_eq!(harness.plan(repeat_at, "7").len(), 1);
}

#[test]
fn restarted_engine_gets_a_new_order_immediately() {
    let mut harness = PlannerHarness::new(1);
    harness.run(1..3, "7", 1);
    let empty = engine_wire::EngineReport {
        incarnation: 2,
        ..engine_wire::EngineReport::default()
    };
    harness
        .engines
        .change(0, |engine| engine.report = Some(empty));
    assert_eq!(harness.plan(4, "7").len(), 1);
}

#[test]
fn version_declared_during_a_load_is_ordered_immediately() {
    let mut harness = PlannerHarness::new(1);
    assert_eq!(harness.plan(1, "7").len(), 1);
    let planned = harness.plan(2, "8");
    assert_eq!(planned[0].wanted.loaded, [fakes::loaded("8")]);
}

#[test]
fn engine_that_restarts_during_a_load_gets_a_new_order_immediately() {
    let mut harness = PlannerHarness::new(1);
    assert_eq!(harness.plan(1, "7").len(), 1);
    let restart = |engine: &mut fakes::FakeEngine| {
        engine.report.as_mut().unwrap().incarnation = 2;
    };
    harness.engines.change(0, restart);
    assert_eq!(harness.plan(2, "7").len(), 1);
}

#[test]
fn failed_order_is_retried_after_a_delay() {
    let mut harness = PlannerHarness::new(1);
    assert_eq!(harness.plan(1, "7").len(), 1);
    harness.record_failure(1, "e-0");
    assert_eq!(harness.plan(2, "7").len(), 0);
    assert_eq!(
        harness
            .plan(1 + order_planner::RETRY_AFTER.as_secs(), "7")
            .len(),
        1
    );
}

#[test]
fn failed_engine_does_not_delay_the_others() {
    let mut harness = PlannerHarness::new(2);
    let planned = harness.plan(1, "7");
    assert_eq!(planned[0].endpoint, "e-0");
    harness.record_failure(1, "e-0");
    let retry_at = 1 + order_planner::RETRY_AFTER.as_secs();
    let planned = harness.plan(retry_at, "7");
    assert_eq!(planned[0].endpoint, "e-1");
}

#[test]
fn previous_version_stays_loaded_for_the_retention_time() {
    let mut harness = PlannerHarness::new(2);
    harness.run(1..10, "7", 1);
    harness.run(10..30, "8", 1);
    assert_eq!(
        harness.engines.loaded(0),
        [fakes::loaded("8"), fakes::loaded("7")]
    );
    let expired_at = 30 + order_planner::PREVIOUS_RETENTION.as_secs();
    harness.run(expired_at..expired_at + 20, "8", 1);
    assert_eq!(harness.engines.loaded(0), [fakes::loaded("8")]);
    assert_eq!(harness.engines.loaded(1), [fakes::loaded("8")]);
}

#[test]
fn engine_in_another_role_is_ordered_to_serve() {
    let mut harness = PlannerHarness::new(1);
    harness.run(1..3, "7", 1);
    let set_role = |engine: &mut fakes::FakeEngine| {
        engine.report.as_mut().unwrap().role = "prefill".to_owned();
    };
    harness.engines.change(0, set_role);
    harness.run(3..4, "7", 1);
    let engines = harness.engines.engines.lock();
    assert_eq!(
        engines[0].report.as_ref().unwrap().role,
        engine_wire::ROLE_SERVE
    );
}

/// Delivers an order with fence 1, from an issuer that lost its lease to the one with fence 2.
fn send_stale_order(harness: &PlannerHarness) -> order_client::Result<()> {
    let stale = engine_wire::EngineOrder {
        fence: 1,
        wanted: engine_wire::WantedState {
            loaded: vec![fakes::loaded("6")],
            role: engine_wire::ROLE_SERVE.to_owned(),
        },
    };
    harness.engines.receive("e-0", &stale)
}

#[test]
fn engine_that_checks_fences_refuses_a_stale_order() {
    let mut harness = PlannerHarness::new(1);
    harness
        .engines
        .change(0, |engine| engine.checks_fencing = true);
    harness.run(1..3, "7", 2);
    assert_eq!(
        send_stale_order(&harness),
        Err(order_client::OrderError::StaleFence)
    );
    assert_eq!(harness.engines.loaded(0), [fakes::loaded("7")]);
}

#[test]
fn engine_that_ignores_fences_is_corrected_after_a_stale_order() {
    let mut harness = PlannerHarness::new(1);
    harness.run(1..3, "7", 2);
    send_stale_order(&harness).unwrap();
    assert_eq!(
        harness.engines.loaded(0),
        [fakes::loaded("6")],
        "the engine executed the stale order"
    );
    harness.run(3..4, "7", 2);
    assert!(harness.engines.all_hold("7"));
}

#[test]
fn stale_order_before_the_next_report_is_corrected_after_a_delay() {
    let mut harness = PlannerHarness::new(1);
    harness.run(1..2, "7", 2);
    send_stale_order(&harness).unwrap();
    let repeat_at = 1 + order_planner::REPEAT_AFTER.as_secs();
    harness.run(2..repeat_at, "7", 2);
    assert_eq!(
        harness.engines.loaded(0),
        [fakes::loaded("6")],
        "the last order may still be in flight"
    );
    harness.run(repeat_at..repeat_at + 1, "7", 2);
    assert!(harness.engines.all_hold("7"));
}

proptest! {
    #[test]
    fn loads_never_exceed_the_shared_rate(
        pauses in proptest::collection::vec((0_u64..400, 0_usize..4), 20..200),
    ) {
        const ISSUERS: usize = 4;
        let start = time::Instant::now();
        let mut now = start;
        let mut pacers = vec![load_pacer::LoadPacer::new(start, ISSUERS); ISSUERS];
        let mut loads = 0;
        for (millis, issuer) in pauses {
            now += time::Duration::from_millis(millis);
            loads += u32::from(pacers[issuer].take(now));
            loads += u32::from(pacers[issuer].take(now));
        }
        let elapsed = (now - start).as_secs_f64();
        let max_loads = load_pacer::SHARED_LOADS_PER_SECOND * elapsed;
        prop_assert!(f64::from(loads) <= max_loads + 0.001, "{loads} loads in {elapsed} s");
    }
}

#[test]
fn pacer_admits_loads_at_its_rate() {
    let start = time::Instant::now();
    let mut pacer = load_pacer::LoadPacer::new(start, 1);
    let seconds = 1..=10;
    let taken = seconds.filter(|second| pacer.take(start + time::Duration::from_secs(*second)));
    assert_eq!(taken.count(), 10);
}
