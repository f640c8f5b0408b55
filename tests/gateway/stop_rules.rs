//! Which requests the judge of planned stops counts as lost.

use std::net;
use std::time;

use crate::common;
use crate::support::stop_judge;

const BOUNDS: stop_judge::StopBounds = stop_judge::StopBounds {
    grace: time::Duration::from_secs(8),
    loss_slack: time::Duration::from_millis(200),
};

/// Time from the start of a case to the SIGTERM, in milliseconds.
const STOP_MS: i64 = 10_000;

/// One request; times are in milliseconds after the SIGTERM.
#[derive(Clone, Copy, Debug)]
struct StopCase {
    sent: i64,
    ended: i64,
    end: stop_judge::CallEnd,
    time_limit_ms: u64,
    has_successor: bool,
    run: Option<CaseRun>,
}

/// What an endpoint saw of it.
#[derive(Clone, Copy, Debug)]
struct CaseRun {
    read: i64,
    begun: Option<i64>,
    end: Option<(i64, stop_judge::RunEnd)>,
}

/// A stream that is cut at the end of the grace period.
const CUT: StopCase = StopCase {
    sent: 3_500,
    ended: 7_640,
    end: stop_judge::CallEnd::Closed,
    time_limit_ms: 20_000,
    has_successor: false,
    run: Some(CUT_RUN),
};

const CUT_RUN: CaseRun = CaseRun {
    read: 3_510,
    begun: Some(3_520),
    end: Some((7_645, stop_judge::RunEnd::GatewayGone)),
};

/// A request that no endpoint got.
const UNSENT: StopCase = StopCase {
    sent: 7_300,
    ended: 7_600,
    run: None,
    ..CUT
};

fn find(case: StopCase, is_excused: bool) -> Vec<String> {
    let start = time::Instant::now();
    let at = |millis: i64| {
        let millis = u64::try_from(STOP_MS + millis).expect("after the start");
        start + time::Duration::from_millis(millis)
    };
    let gateway = net::IpAddr::from([127, 0, 0, 1]);
    let view = stop_judge::CallerView {
        id: "r1".to_owned(),
        gateway,
        sent: at(case.sent),
        last_byte: at(case.sent),
        ended: at(case.ended),
        status: None,
        end: case.end,
        time_limit: time::Duration::from_millis(case.time_limit_ms),
        has_successor: case.has_successor,
    };
    let run = case.run.map(|run| stop_judge::EndpointRun {
        id: "r1".to_owned(),
        read: at(run.read),
        begun: run.begun.map(at),
        end: run.end.map(|(ended, end)| (at(ended), end)),
    });
    let runs: Vec<stop_judge::EndpointRun> = run.into_iter().collect();
    let signals = [(gateway, 0), (net::IpAddr::from([127, 0, 0, 2]), -100)];
    let signals = signals.map(|(gateway, millis)| stop_judge::StopSignal {
        gateway,
        at: at(millis),
    });
    let lost = stop_judge::find_lost(&[view], &runs, &signals, BOUNDS, |_view| is_excused);
    for request in &lost {
        assert!(request.text.contains(&request.id), "{}", request.text);
    }
    lost.into_iter().map(|request| request.id).collect()
}

fn is_counted(case: StopCase) {
    assert_eq!(find(case, false), ["r1"], "{case:?}");
    assert!(find(case, true).is_empty(), "{case:?}");
}

fn is_not_counted(case: StopCase) {
    assert!(find(case, false).is_empty(), "{case:?}");
}

fn with_end(at: i64, end: stop_judge::RunEnd) -> StopCase {
    let end = Some((at, end));
    let run = Some(CaseRun { end, ..CUT_RUN });
    StopCase { run, ..CUT }
}

/// An unsafe request that an endpoint refused may be refused; one that ran may not.
fn refusals_of_requests_that_ran_are_found() {
    let now = time::Instant::now();
    let view = |id: &str, status| stop_judge::CallerView {
        id: id.to_owned(),
        gateway: net::IpAddr::from([127, 0, 0, 1]),
        sent: now,
        last_byte: now,
        ended: now,
        status: Some(status),
        end: stop_judge::CallEnd::Answered,
        time_limit: time::Duration::from_secs(3),
        has_successor: false,
    };
    let run = |id: &str, begun| stop_judge::EndpointRun {
        id: id.to_owned(),
        read: now,
        begun,
        end: None,
    };
    let views = [view("ran", 503), view("queued", 503), view("failed", 502)];
    let runs = [
        run("ran", Some(now)),
        run("queued", None),
        run("failed", Some(now)),
    ];
    assert_eq!(stop_judge::find_false_refusals(&views, &runs), ["ran"]);
}

common::cases! {
    late_stream_cut: is_counted(CUT);
    early_stream_cut_too_soon: is_counted(StopCase { sent: -500, ended: 6_600, ..with_end(6_610, stop_judge::RunEnd::GatewayGone) });
    early_stream_cut_at_the_end: is_not_counted(StopCase { sent: 2_990, ..CUT });
    early_stream_queued_at_the_end: is_counted(StopCase { sent: 100, run: Some(CaseRun { begun: None, ..CUT_RUN }), ..CUT });
    early_stream_still_running: is_not_counted(StopCase { sent: 100, run: Some(CaseRun { end: None, ..CUT_RUN }), ..CUT });
    sent_before_the_signal: is_counted(StopCase { sent: -3_000, ended: 100, ..with_end(110, stop_judge::RunEnd::GatewayGone) });
    ended_before_the_signal: is_not_counted(StopCase { sent: -3_000, ended: -1, ..CUT });
    ended_long_after_the_signal: is_not_counted(StopCase { ended: 9_001, ..CUT });
    answered: is_not_counted(StopCase { end: stop_judge::CallEnd::Answered, ..CUT });
    given_up: is_not_counted(StopCase { end: stop_judge::CallEnd::GivenUp, ..CUT });
    reset_after_passing_on: is_counted(StopCase { end: stop_judge::CallEnd::Reset, ..CUT });
    broken_off_by_the_endpoint: is_not_counted(with_end(7_600, stop_judge::RunEnd::BrokenOff));
    finished_and_not_delivered: is_counted(with_end(7_000, stop_judge::RunEnd::Finished));
    refused_and_not_answered: is_counted(with_end(3_600, stop_judge::RunEnd::Refused));
    over_its_time_limit: is_not_counted(StopCase { time_limit_ms: 4_000, ..CUT });
    read_and_closed: is_counted(UNSENT);
    crossed_the_close: is_not_counted(StopCase { sent: 7_401, ..UNSENT });
    unread_and_reset: is_not_counted(StopCase { end: stop_judge::CallEnd::Reset, ..UNSENT });
    reset_by_the_next_request: is_counted(StopCase { end: stop_judge::CallEnd::Reset, has_successor: true, ..UNSENT });
    false_refusals: refusals_of_requests_that_ran_are_found();
}
