//! Replays of roll-outs with good and bad versions: what a bad version gets, and when a good one is
//! complete.

use kumquatpulley::process::gateway::rollout::plan;

use crate::common;
use crate::support::rollout_conditions::{Behaviour, Conditions, Disturbance, GOOD};
use crate::support::rollout_replay;
use crate::support::rollout_replay::BOUNDS;

/// Seeds of one run; `KUMQUATPULLEY_REPLAY_FIRST` names the first one.
const SEEDS: u64 = 4;

fn seeds() -> std::ops::Range<u64> {
    let first = std::env::var("KUMQUATPULLEY_REPLAY_FIRST").ok();
    let first = first.and_then(|text| text.parse().ok()).unwrap_or(0);
    first..first + SEEDS
}

const BAD_AT_ONCE: Behaviour = Behaviour { bad: 0.3, ..GOOD };

const BAD_ALWAYS: Behaviour = Behaviour { bad: 1.0, ..GOOD };

const BAD_LATER: Behaviour = Behaviour {
    bad: 0.3,
    from_ms: 7_000,
    ..GOOD
};

const SLOW: Behaviour = Behaviour {
    slow: (1.0, 4.0),
    ..GOOD
};

const PARTLY_SLOW: Behaviour = Behaviour {
    slow: (0.3, 6.0),
    ..GOOD
};

const BAD_UNDER_LOAD: Behaviour = Behaviour {
    bad: 0.3,
    from_share: 250,
    ..GOOD
};

const BAD_ON_ONE_ROUTE: Behaviour = Behaviour {
    bad: 0.5,
    on_one_route: true,
    ..GOOD
};

/// Usual conditions of the first deployment's calls.
const CALLS: Conditions = Conditions {
    routers: 146,
    rate: 600.0,
    latency_ms: 60.0,
    noise: 0.005,
    behaviour: GOOD,
    disturbance: Disturbance::Calm,
};

const FEW: Conditions = Conditions {
    rate: 10.0,
    routers: 10,
    ..CALLS
};

/// A bad version must not get more than the operators allow, nor anything once it is known as bad.
fn it_is_reverted(conditions: Conditions) {
    for seed in seeds() {
        let outcome = rollout_replay::run(conditions, seed);
        assert_eq!(
            outcome.phase,
            plan::RolloutPhase::Reverted,
            "seed {seed}: {outcome:?}"
        );
        let requests = u32::try_from(outcome.requests).expect("few");
        let allowed = BOUNDS.share * f64::from(requests) + BOUNDS.slack;
        let sent = u32::try_from(outcome.sent_new).expect("few");
        assert!(f64::from(sent) <= allowed, "seed {seed}: {outcome:?}");
        if let Some(known_ms) = outcome.known_bad_ms {
            let latest = known_ms + rollout_replay::ROLLBACK_MS;
            assert!(outcome.last_new_ms <= latest, "seed {seed}: {outcome:?}");
        }
    }
}

/// A version that fails only with all requests is noticed while it has them. Its share counts over the
/// time until the old version would have drained, as no ramp to all requests fits into less.
fn it_is_reverted_at_full_share(conditions: Conditions) {
    for seed in seeds() {
        let outcome = rollout_replay::run(conditions, seed);
        assert_eq!(
            outcome.phase,
            plan::RolloutPhase::Reverted,
            "seed {seed}: {outcome:?}"
        );
        let time = rollout_replay::RAMP_MS + rollout_replay::DRAIN_MS;
        let time = u32::try_from(time).expect("seconds");
        let allowed = BOUNDS.share * conditions.rate * f64::from(time) / 1e3 + BOUNDS.slack;
        let sent = u32::try_from(outcome.sent_new).expect("few");
        assert!(f64::from(sent) <= allowed, "seed {seed}: {outcome:?}");
    }
}

/// A good version that is late or reverted is as costly as a bad one that stays.
fn it_is_complete(conditions: Conditions) {
    for seed in seeds() {
        let outcome = rollout_replay::run(conditions, seed);
        assert_eq!(
            outcome.phase,
            plan::RolloutPhase::Complete,
            "seed {seed}: {outcome:?}"
        );
        let latest = rollout_replay::RAMP_MS + rollout_replay::DRAIN_MS;
        assert!(outcome.ended_ms <= latest, "seed {seed}: {outcome:?}");
    }
}

/// Without the store the end of the ramp cannot be written, and the old version must not be left.
fn it_stays_at_half(conditions: Conditions) {
    let outcome = rollout_replay::run(conditions, 0);
    assert_eq!(outcome.phase, plan::RolloutPhase::Ramping, "{outcome:?}");
    assert_eq!(outcome.max_share, 500, "{outcome:?}");
}

const fn with(conditions: Conditions, routers: u32, behaviour: Behaviour) -> Conditions {
    Conditions {
        routers,
        behaviour,
        ..conditions
    }
}

const fn beside(disturbance: Disturbance, behaviour: Behaviour) -> Conditions {
    Conditions {
        behaviour,
        disturbance,
        ..CALLS
    }
}

common::cases! {
    good_at_10: it_is_complete(with(CALLS, 10, GOOD));
    good_at_100: it_is_complete(with(CALLS, 100, GOOD));
    good_at_146: it_is_complete(with(CALLS, 146, GOOD));
    good_at_once_more_requests: it_is_complete(Conditions { rate: 3_000.0, ..CALLS });
    good_with_few_requests: it_is_complete(FEW);
    good_with_very_few_requests: it_is_complete(Conditions { rate: 3.0, ..FEW });
    good_beside_faults_of_both: it_is_complete(Conditions { noise: 0.05, ..CALLS });
    good_at_a_bound_of_the_histogram: it_is_complete(Conditions { latency_ms: 80.0, ..CALLS });
    good_and_fast: it_is_complete(Conditions { latency_ms: 15.0, ..CALLS });
    good_and_long: it_is_complete(Conditions { latency_ms: 1_200.0, rate: 60.0, ..CALLS });
    bad_at_once_at_10: it_is_reverted(with(CALLS, 10, BAD_AT_ONCE));
    bad_at_once_at_100: it_is_reverted(with(CALLS, 100, BAD_AT_ONCE));
    bad_at_once_at_146: it_is_reverted(with(CALLS, 146, BAD_AT_ONCE));
    bad_always: it_is_reverted(with(CALLS, 146, BAD_ALWAYS));
    bad_later_at_10: it_is_reverted(with(CALLS, 10, BAD_LATER));
    bad_later_at_100: it_is_reverted(with(CALLS, 100, BAD_LATER));
    bad_later_at_146: it_is_reverted(with(CALLS, 146, BAD_LATER));
    slow_at_10: it_is_reverted(with(CALLS, 10, SLOW));
    slow_at_100: it_is_reverted(with(CALLS, 100, SLOW));
    slow_at_146: it_is_reverted(with(CALLS, 146, SLOW));
    partly_slow_at_146: it_is_reverted(with(CALLS, 146, PARTLY_SLOW));
    bad_under_load_at_10: it_is_reverted(with(CALLS, 10, BAD_UNDER_LOAD));
    bad_under_load_at_100: it_is_reverted(with(CALLS, 100, BAD_UNDER_LOAD));
    bad_under_load_at_146: it_is_reverted(with(CALLS, 146, BAD_UNDER_LOAD));
    bad_under_half_load: it_is_reverted(with(CALLS, 146, Behaviour { from_share: 500, ..BAD_UNDER_LOAD }));
    bad_under_full_load: it_is_reverted_at_full_share(Conditions {
        behaviour: Behaviour { from_share: 1_000, ..BAD_UNDER_LOAD }, latency_ms: 400.0, ..CALLS });
    bad_on_one_route_at_10: it_is_reverted(with(CALLS, 10, BAD_ON_ONE_ROUTE));
    bad_on_one_route_at_100: it_is_reverted(with(CALLS, 100, BAD_ON_ONE_ROUTE));
    bad_on_one_route_at_146: it_is_reverted(with(CALLS, 146, BAD_ON_ONE_ROUTE));
    bad_with_few_requests: it_is_reverted(Conditions { behaviour: BAD_AT_ONCE, ..FEW });
    slow_with_few_requests: it_is_reverted(Conditions { behaviour: SLOW, ..FEW });
    bad_always_with_very_few_requests: it_is_reverted(
        Conditions { rate: 3.0, behaviour: BAD_ALWAYS, ..FEW });
    bad_beside_faults_of_both: it_is_reverted(
        Conditions { noise: 0.05, behaviour: BAD_AT_ONCE, ..CALLS });
    good_beside_restarts: it_is_complete(beside(Disturbance::Restarts, GOOD));
    good_beside_a_cut: it_is_complete(beside(Disturbance::CutOff, GOOD));
    good_with_two_coordinators: it_is_complete(beside(Disturbance::LostCoordinator, GOOD));
    bad_beside_restarts: it_is_reverted(beside(Disturbance::Restarts, BAD_LATER));
    bad_beside_a_cut: it_is_reverted(beside(Disturbance::CutOff, BAD_LATER));
    bad_with_two_coordinators: it_is_reverted(beside(Disturbance::LostCoordinator, BAD_LATER));
    bad_while_the_store_is_away: it_is_reverted(beside(Disturbance::StoreAway, BAD_LATER));
    good_while_the_store_is_away: it_stays_at_half(beside(Disturbance::StoreAway, GOOD));
}
