//! Replays of a burst of four times the usual calls, by the baseline and by the measured rule.

use std::time;

use kumquatpulley::request::relay::{call_wait, retry_delay};

use crate::common;
use crate::support::call_burst;

/// Each refused call is told the same delay.
struct FixedDelay;

impl call_burst::CallRule for FixedDelay {
    fn step(&mut self, _call: &call_burst::RefusedCall, _random: f64) -> call_burst::CallStep {
        call_burst::CallStep::Refuse(500)
    }
}

/// The rule of the gateway, with the state that each router has for it.
struct MeasuredRule {
    start: time::Instant,
    routers: Vec<(
        call_wait::RecentDurations,
        retry_delay::RecentCalls,
        Vec<u64>,
    )>,
}

impl MeasuredRule {
    fn new() -> Self {
        let router = (
            call_wait::RecentDurations::default(),
            retry_delay::RecentCalls::default(),
            Vec::new(),
        );
        Self {
            start: time::Instant::now(),
            routers: vec![router; call_burst::ROUTERS as usize],
        }
    }
}

impl call_burst::CallRule for MeasuredRule {
    fn step(&mut self, call: &call_burst::RefusedCall, random: f64) -> call_burst::CallStep {
        let now = self.start + time::Duration::from_millis(call.now);
        let (durations, recent, waiting) = &mut self.routers[call.router];
        waiting.retain(|until| *until > call.now);
        let left = |limit: u64, since: u64| {
            time::Duration::from_millis((since + limit).saturating_sub(call.now))
        };
        let time_left = left(call_burst::DEADLINE_MS, call.first);
        let full = call_wait::FullCall {
            // A router does not know that a caller has come back.
            goal_left: Some(left(call_burst::GOAL_MS, call.arrived)),
            time_left,
            usual_duration: durations.longest(),
            waits: call.waits,
            waiting_calls: waiting.len(),
        };
        if let Some(wait) = call_wait::next_wait(&full, random)
            && call.may_wait
        {
            let wait = u64::try_from(wait.as_millis()).expect("short");
            waiting.push(call.now + wait);
            return call_burst::CallStep::Wait(wait);
        }
        recent.record(true, now);
        let delay = retry_delay::retry_delay(recent.count(now), time_left, random);
        call_burst::CallStep::Refuse(u64::try_from(delay.as_millis()).expect("short"))
    }

    fn record_answer(&mut self, router: usize, now: u64, duration: u64) {
        let now = self.start + time::Duration::from_millis(now);
        let (durations, recent, _waiting) = &mut self.routers[router];
        durations.record(time::Duration::from_millis(duration));
        recent.record(false, now);
    }
}

/// Guards the replay itself: a burst that overloads no endpoint, or one that loses calls, could not
/// tell rules apart.
fn the_burst_overloads_the_endpoints() {
    let counts = call_burst::replayed_all(|| FixedDelay);
    println!("baseline: {counts:?}");
    assert!(counts.full > 0 && counts.refused > 0 && counts.late > 0);
    assert_eq!(
        counts.in_time + counts.late + counts.refused,
        counts.arrived
    );
}

/// Guards against waits and delays that cost calls: the rule serves no fewer in time than the same
/// delay for all, refuses no more, and holds none beyond its goal.
fn measured_delays_serve_more_calls() {
    let baseline = call_burst::replayed_all(|| FixedDelay);
    let measured = call_burst::replayed_all(MeasuredRule::new);
    println!("baseline: {baseline:?}\nmeasured: {measured:?}");
    assert!(measured.in_time >= baseline.in_time);
    assert!(measured.refused <= baseline.refused);
    assert!(measured.max_held_ms <= call_burst::GOAL_MS);
}

/// Guards against delays that callers do not honour, and against held calls that are late.
fn waits_and_delays_are_bounded() {
    let millis = time::Duration::from_millis;
    let call = call_wait::FullCall {
        goal_left: Some(millis(300)),
        time_left: millis(3_000),
        usual_duration: Some(millis(60)),
        waits: 0,
        waiting_calls: 0,
    };
    let wait = call_wait::next_wait(&call, 1.0).expect("time is left");
    assert!(wait + millis(60) <= millis(300));
    let refused = [
        call_wait::FullCall {
            goal_left: None,
            ..call
        },
        call_wait::FullCall {
            usual_duration: None,
            ..call
        },
        call_wait::FullCall {
            usual_duration: Some(millis(301)),
            ..call
        },
        call_wait::FullCall {
            time_left: millis(60),
            ..call
        },
        call_wait::FullCall {
            waits: call_wait::MAX_WAITS,
            ..call
        },
        call_wait::FullCall {
            waiting_calls: call_wait::MAX_WAITING_CALLS,
            ..call
        },
    ];
    for call in refused {
        assert_eq!(call_wait::next_wait(&call, 0.0), None, "{call:?}");
    }
    for (answered, refused) in [(0, 1), (1, 0), (1, 1), (100, 1), (0, 1_000)] {
        let count = retry_delay::CallCount { answered, refused };
        for left in [1, 30, 300, 3_000] {
            let delay = retry_delay::retry_delay(count, millis(left), 0.0);
            assert!(delay * 3 <= millis(left) + millis(1), "{count:?} {left}");
        }
    }
}

common::cases! {
    wait_bounds: waits_and_delays_are_bounded();
    call_burst: measured_delays_serve_more_calls();
    call_burst_overloads: the_burst_overloads_the_endpoints();
}
