//! Replays of requests that reach a stopping router, against what it accepts.

use std::time;

use kumquatpulley::process::gateway::{stop_schedule, stream_duration};

use crate::common;

/// Grace period of the users' deployments.
const GRACE: time::Duration = time::Duration::from_secs(8);

/// Streams sent later than this after the signal must not be aborted.
const EXCUSED_TIME: time::Duration = time::Duration::from_secs(3);

/// Longest time that a caller waits for a stream.
const STREAM_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Pause between two arrivals.
const ARRIVAL_PAUSE: time::Duration = time::Duration::from_millis(20);

fn seconds(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

fn estimate(durations: &[f64]) -> stream_duration::DurationEstimate {
    let mut estimate = stream_duration::DurationEstimate::default();
    for duration in durations {
        estimate.record(seconds(*duration));
    }
    estimate
}

/// Times after the signal at which requests are accepted that arrive throughout the grace period.
fn accepted(
    grace: time::Duration,
    timeout: time::Duration,
    is_stream: bool,
    estimate: &stream_duration::DurationEstimate,
) -> Vec<time::Duration> {
    let signal = time::Instant::now();
    let schedule = stop_schedule::StopSchedule::new(signal, grace);
    let arrivals = (0..).map(|number| ARRIVAL_PAUSE * number);
    let arrivals = arrivals.take_while(|after| *after < grace);
    arrivals
        .filter(|after| {
            let arrival = stop_schedule::RequestArrival {
                at: signal + *after,
                deadline: signal + *after + timeout,
                is_stream,
            };
            schedule.admits(arrival, estimate)
        })
        .collect()
}

/// A stream that arrives late on a kept connection would be aborted at the end of the grace period.
fn no_late_stream_is_accepted(grace: time::Duration, durations: &[f64]) {
    let accepted = accepted(grace, STREAM_TIMEOUT, true, &estimate(durations));
    let late = accepted
        .iter()
        .find(|after| **after > EXCUSED_TIME && **after + STREAM_TIMEOUT > grace);
    assert_eq!(late, None);
}

/// A router that has relayed no stream since its start cannot tell how long one takes.
fn no_stream_of_unknown_duration_is_accepted() {
    assert!(accepted(GRACE, STREAM_TIMEOUT, true, &estimate(&[])).is_empty());
}

/// Streams that end in time need not start again elsewhere.
fn streams_that_end_in_time_are_accepted() {
    let accepted = accepted(GRACE, STREAM_TIMEOUT, true, &estimate(&[1.0; 40]));
    assert!(accepted.contains(&seconds(0.0)));
    assert!(accepted.contains(&seconds(2.0)));
}

/// Streams of very different durations: those that take longest would be aborted.
fn spread_durations_leave_a_margin() {
    let durations: Vec<f64> = (0..40).map(|number| f64::from(number % 5) + 2.0).collect();
    let accepted = accepted(GRACE, STREAM_TIMEOUT, true, &estimate(&durations));
    assert!(accepted.is_empty(), "{accepted:?}");
}

/// A call that would be aborted before its deadline is refused, and no other.
fn calls_are_accepted_until_their_deadline_passes_the_abort(timeout: f64) {
    let timeout = seconds(timeout);
    let accepted = accepted(GRACE, timeout, false, &estimate(&[]));
    let signal = time::Instant::now();
    let schedule = stop_schedule::StopSchedule::new(signal, GRACE);
    let last = accepted.last().expect("some call is accepted");
    assert!(signal + *last + timeout <= schedule.aborts_at());
    let next = signal + *last + ARRIVAL_PAUSE;
    assert!(next + timeout > schedule.aborts_at() || next >= schedule.closes_at());
}

fn long_calls_are_accepted_early_only() {
    let accepted = accepted(GRACE, STREAM_TIMEOUT, false, &estimate(&[]));
    assert!(accepted.contains(&seconds(1.0)));
    assert!(accepted.iter().all(|after| *after <= EXCUSED_TIME));
}

fn the_schedule_keeps_its_order(grace: time::Duration) {
    let signal = time::Instant::now();
    let schedule = stop_schedule::StopSchedule::new(signal, grace);
    assert!(schedule.closes_at() < schedule.aborts_at());
    assert!(schedule.aborts_at() < schedule.exits_at());
    assert!(schedule.exits_at() < signal + grace);
    // An endpoint that is still at work this late excuses the abort.
    assert!(schedule.aborts_at() > signal + grace.mul_f64(5.0 / 6.0));
}

common::cases! {
    // A restarted router took streams up to the last second of its next stop, and aborted them.
    no_stream_ended_yet: no_late_stream_is_accepted(GRACE, &[]);
    short_streams: no_late_stream_is_accepted(GRACE, &[0.5; 100]);
    short_streams_long_grace: no_late_stream_is_accepted(GRACE * 4, &[0.5; 100]);
    resumed_stream_first: no_late_stream_is_accepted(GRACE, &[0.2]);
    unknown_duration: no_stream_of_unknown_duration_is_accepted();
    streams_in_time: streams_that_end_in_time_are_accepted();
    spread_durations: spread_durations_leave_a_margin();
    // Calls were accepted until the last tenth of a stop, and aborted before their deadline.
    calls: calls_are_accepted_until_their_deadline_passes_the_abort(1.5);
    short_calls: calls_are_accepted_until_their_deadline_passes_the_abort(0.1);
    long_calls: long_calls_are_accepted_early_only();
    schedule: the_schedule_keeps_its_order(GRACE);
    short_schedule: the_schedule_keeps_its_order(GRACE / 8);
}
