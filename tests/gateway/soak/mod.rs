//! A randomized soak: real gateways as processes, faults from outside, promises checked meanwhile.
//!
//! One short run of a fixed seed and the seeds that ever failed are part of the usual tests. Many
//! seeds by hand: `KUMQUATPULLEY_SOAK_SEEDS=50 cargo test --test gateway soak -- --ignored --nocapture`;
//! `KUMQUATPULLEY_SOAK_FIRST` names the first seed, else it is drawn; `KUMQUATPULLEY_SOAK_GATEWAYS` the
//! number of gateways, 200 at most. Endpoints name request limits unless `KUMQUATPULLEY_SOAK_LIMITS` is 0, and
//! some prompts crash them unless `KUMQUATPULLEY_SOAK_CRASHES` is 0; the store comes back from copies unless
//! `KUMQUATPULLEY_SOAK_RESTORES` is 0, and gateways are stopped in series unless `KUMQUATPULLEY_SOAK_STOPS` is 0.

mod bed;
mod clients;
mod disruptions;
mod limit_days;
mod relay;
mod restore_days;
mod stop_days;
mod stop_steps;

use std::env;
use std::time;

use crate::common;

/// Time of faults in a usual run.
const FAULT_TIME: time::Duration = time::Duration::from_secs(12);

/// Time of faults in a run with planned stops, most of which are in the calm time.
const STOP_FAULT_TIME: time::Duration = time::Duration::from_secs(4);

/// Gateways of a usual run.
const GATEWAYS: u8 = 3;

/// Gateways of a zone in which some are two questions away from the one that reads the store.
const DEEP_ZONE: u8 = 20;

const CALM_ENDPOINTS: bed::SoakPlan = bed::SoakPlan {
    gateways: GATEWAYS,
    has_limits: false,
    has_crashes: false,
    has_restores: false,
    stops: bed::PlannedStops::None,
};

fn soak(seed: u64, plan: bed::SoakPlan) {
    soak_for(seed, FAULT_TIME, plan);
}

fn soak_for(seed: u64, faults: time::Duration, plan: bed::SoakPlan) {
    let findings = bed::run(seed, faults, plan);
    assert!(findings.is_empty(), "seed {seed}:\n{}", findings.join("\n"));
}

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

#[test]
#[ignore = "runs for as long as seeds are asked for; see the head of this file"]
fn many_seeds() {
    let first = number("KUMQUATPULLEY_SOAK_FIRST").unwrap_or_else(|| fastrand::u64(..1 << 32));
    let count = number("KUMQUATPULLEY_SOAK_SEEDS").unwrap_or(5);
    let gateways = number("KUMQUATPULLEY_SOAK_GATEWAYS").unwrap_or(u64::from(GATEWAYS));
    let is_on = |variable| number(variable).unwrap_or(1) != 0;
    let plan = bed::SoakPlan {
        gateways: u8::try_from(gateways.clamp(1, 200)).expect("a small number"),
        has_limits: is_on("KUMQUATPULLEY_SOAK_LIMITS"),
        has_crashes: is_on("KUMQUATPULLEY_SOAK_CRASHES"),
        has_restores: is_on("KUMQUATPULLEY_SOAK_RESTORES"),
        stops: if is_on("KUMQUATPULLEY_SOAK_STOPS") {
            bed::PlannedStops::TwoSeries
        } else {
            bed::PlannedStops::None
        },
    };
    let mut failed = Vec::new();
    for seed in first..first + count {
        let findings = bed::run(seed, FAULT_TIME, plan);
        println!("seed {seed}: {} findings", findings.len());
        if !findings.is_empty() {
            println!("{}", findings.join("\n"));
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "{} of {count} seeds failed: {failed:?}",
        failed.len()
    );
}

common::cases! {
    // Keyed requests were refused at calm routers: calls waited half of the age at which keys end.
    fixed_seed: soak(20_261_204, CALM_ENDPOINTS);
    // Endpoints that once answered as another one were never used again.
    endpoints_shut_out: soak(3_001, CALM_ENDPOINTS);
    // Routers that ask through one another, with faults at any of them.
    deep_zone: soak(20_261_205, bed::SoakPlan { gateways: DEEP_ZONE, ..CALM_ENDPOINTS });
    // Endpoints got several times the limit that they had named to all gateways.
    request_limits: soak(7_001, bed::SoakPlan { has_limits: true, ..CALM_ENDPOINTS });
    // A part of some prompts crashed one endpoint after the other.
    crashing_prompt: soak(7_002, bed::SoakPlan { has_crashes: true, ..CALM_ENDPOINTS });
    // Readers went on from a version of the store that had been given out again.
    restored_store: soak(7_003, bed::SoakPlan { has_restores: true, ..CALM_ENDPOINTS });
    // Sound prompts were blocked because an endpoint cut off answers and did not crash.
    truncating_endpoint: soak(7_503, bed::SoakPlan { has_limits: true, has_crashes: true, ..CALM_ENDPOINTS });
    // Stopping gateways cut streams that they had taken, and closed others without an answer.
    planned_stops: soak_for(7_004, STOP_FAULT_TIME, bed::SoakPlan { stops: bed::PlannedStops::TwoSeries, ..CALM_ENDPOINTS });
}
