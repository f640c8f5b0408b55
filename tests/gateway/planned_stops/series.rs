//! Two overlapping series of planned stops, as in a rolling restart that is begun again.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::common;
use crate::planned_stops::{LONG_GRACE, millis};
use crate::support::system::System;
use crate::support::{fleet_caller, planned_stop, stop_judge, stop_series};

/// Gateways of a run, of which two are never stopped.
const GATEWAYS: u8 = 6;

const CALLERS: u64 = 60;

/// Grace period of the short run.
const SHORT_GRACE: time::Duration = time::Duration::from_secs(5);

/// Time of load before the first stop.
const CALM_TIME: time::Duration = time::Duration::from_secs(1);

/// At least one of this many streams has to be served, as for requests after a fault.
const STREAMS_A_SERVED_ONE: u64 = 4;

/// The first series stops all gateways but two. The second one stops three of them again while the
/// first still runs, and so meets gateways that have relayed few streams.
fn plan(grace: time::Duration, random: &mut fastrand::Rng) -> stop_series::StopPlan {
    let mut plan = stop_series::StopPlan::default();
    plan.add_series(
        CALM_TIME,
        0..usize::from(GATEWAYS) - 2,
        1_000..2_000,
        random,
    );
    let second = CALM_TIME + grace + millis(1_000);
    plan.add_series(second, 0..3, 1_000..2_000, random);
    plan
}

/// Guards against requests that are cut when a gateway stops again soon after its start.
fn overlapping_series(grace: time::Duration, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut system = System::start_with_grace(GATEWAYS, grace);
    let gateways: Vec<net::IpAddr> = system.gateways.iter().map(|gateway| gateway.ip).collect();
    let desk = sync::Arc::<fleet_caller::FleetDesk>::default();
    let callers = (0..CALLERS)
        .map(|number| fleet_caller::FleetCaller::new(&desk, &gateways, number, seed).spawn());
    let callers: Vec<thread::JoinHandle<()>> = callers.collect();
    let signals = stop_series::run(&mut system, plan(grace, &mut random));
    desk.is_over.store(true, atomic::Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller does not panic");
    }
    let served = desk.served_streams.load(atomic::Ordering::SeqCst);
    let unserved = desk.unserved_streams.load(atomic::Ordering::SeqCst);
    println!(
        "{served} streams served, {unserved} never, {} stops",
        signals.len()
    );
    let report = planned_stop::StopReport {
        results: desk.results.lock().expect("not poisoned").clone(),
        runs: [system.first.runs(), system.second.runs()].concat(),
        bounds: stop_judge::StopBounds {
            grace,
            loss_slack: planned_stop::LOSS_SLACK,
        },
        signals,
        disruption: None,
        exited: None,
    };
    report.check();
    assert!(
        (served + unserved) <= served * STREAMS_A_SERVED_ONE,
        "{served} streams served, {unserved} never"
    );
}

#[test]
#[ignore = "runs for several minutes"]
fn many_series() {
    for seed in 0..5 {
        overlapping_series(LONG_GRACE, seed);
    }
}

common::cases! {
    two_series: overlapping_series(SHORT_GRACE, 1);
}
