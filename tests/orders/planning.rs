//! What is ordered, under a time that the test gives.

use std::sync;
use std::time;

use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::order_client;
use kumquatpulley::process::orders::load_pacer;
use kumquatpulley::process::orders::order_planner;
use proptest::prelude::*;

use crate::fakes;

/// A planner with its engines, under a time that the test gives.
struct PlanBench {
    start: time::Instant,
    planner: order_planner::OrderPlanner,
    pacer: load_pacer::LoadPacer,
    engines: sync::Arc<fakes::FakeEngines>,
}

impl PlanBench {
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

    fn fail(&mut self, seconds: u64, endpoint: &str) {
        let now = self.start + time::Duration::from_secs(seconds);
        self.planner.record_failure(now, endpoint);
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
    let repeat_at = 1 + order_planner::REPEAT_AFTER.as_secs();
    let before: usize = (2..repeat_at)
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
    assert_eq!(planned[0].wanted.loaded, [fakes::loaded("8")]);
}

#[test]
fn an_engine_that_restarts_during_a_load_is_ordered_again_at_once() {
    let mut bench = PlanBench::new(1);
    assert_eq!(bench.plan(1, "7").len(), 1);
    let restart = |engine: &mut fakes::FakeEngine| {
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
    assert_eq!(
        bench
            .plan(1 + order_planner::RETRY_AFTER.as_secs(), "7")
            .len(),
        1
    );
}

#[test]
fn an_engine_that_fails_does_not_hold_up_the_others() {
    let mut bench = PlanBench::new(2);
    let planned = bench.plan(1, "7");
    assert_eq!(planned[0].endpoint, "e-0");
    bench.fail(1, "e-0");
    let later = 1 + order_planner::RETRY_AFTER.as_secs();
    let planned = bench.plan(later, "7");
    assert_eq!(planned[0].endpoint, "e-1");
}

#[test]
fn the_version_before_stays_loaded_until_it_is_not_needed() {
    let mut bench = PlanBench::new(2);
    bench.run(1..10, "7", 1);
    bench.run(10..30, "8", 1);
    assert_eq!(
        bench.engines.loaded(0),
        [fakes::loaded("8"), fakes::loaded("7")]
    );
    let over = 30 + order_planner::PREVIOUS_RETENTION.as_secs();
    bench.run(over..over + 20, "8", 1);
    assert_eq!(bench.engines.loaded(0), [fakes::loaded("8")]);
    assert_eq!(bench.engines.loaded(1), [fakes::loaded("8")]);
}

#[test]
fn another_role_is_corrected() {
    let mut bench = PlanBench::new(1);
    bench.run(1..3, "7", 1);
    let drain = |engine: &mut fakes::FakeEngine| {
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
            loaded: vec![fakes::loaded("6")],
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
    assert_eq!(bench.engines.loaded(0), [fakes::loaded("7")]);
}

#[test]
fn an_engine_that_ignores_numbers_is_corrected_after_a_stale_order() {
    let mut bench = PlanBench::new(1);
    bench.run(1..3, "7", 2);
    send_stale_order(&bench).unwrap();
    assert_eq!(
        bench.engines.loaded(0),
        [fakes::loaded("6")],
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
    let repeat_at = 1 + order_planner::REPEAT_AFTER.as_secs();
    bench.run(2..repeat, "7", 2);
    assert_eq!(
        bench.engines.loaded(0),
        [fakes::loaded("6")],
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
        let mut pacers = vec![load_pacer::LoadPacer::new(start, ISSUERS); ISSUERS];
        let mut loads = 0;
        for (millis, issuer) in pauses {
            now += time::Duration::from_millis(millis);
            loads += u32::from(pacers[issuer].take(now));
            loads += u32::from(pacers[issuer].take(now));
        }
        let elapsed = (now - start).as_secs_f64();
        let most = load_pacer::SHARED_LOADS_PER_SECOND * elapsed;
        prop_assert!(f64::from(loads) <= most + 0.001, "{loads} loads in {elapsed} s");
    }
}

#[test]
fn a_pacer_lets_loads_through_at_its_rate() {
    let start = time::Instant::now();
    let mut pacer = load_pacer::LoadPacer::new(start, 1);
    let seconds = 1..=10;
    let taken = seconds.filter(|second| pacer.take(start + time::Duration::from_secs(*second)));
    assert_eq!(taken.count(), 10);
}
