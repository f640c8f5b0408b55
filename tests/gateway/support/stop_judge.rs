//! Finds requests whose connection ended without a complete answer around a SIGTERM, as the rule
//! LOST defines it; does no I/O.
//!
//! Sockets do not show whether a process read a request that it did not pass on. Such a request
//! counts as read unless its connection was reset with nothing sent after it, as the kernel does
//! for a socket that is closed with unread bytes.

use std::collections;
use std::io;
use std::net;
use std::time;

/// Time after the grace period in which connections still end because of the SIGTERM.
const STOP_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Latest time after the SIGTERM at which a request may be sent that the end of the process is
/// allowed to cut.
const LATEST_EXCUSED_SEND: time::Duration = time::Duration::from_secs(3);

/// Fraction of the grace period after which an endpoint may still be at work.
const LATE_WORK_FRACTION: f64 = 5.0 / 6.0;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A complete answer, whatever its status.
    Answered,
    /// The connection was closed before a complete answer.
    Closed,
    /// The connection was reset before a complete answer.
    Reset,
    /// The caller closed the connection, or there never was one.
    GivenUp,
}

impl CallEnd {
    /// The end of a request whose answer could not be read completely.
    pub fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Self::Reset,
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Self::GivenUp,
            _ => Self::Closed,
        }
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerView {
    pub id: String,
    pub gateway: net::IpAddr,
    pub sent: time::Instant,
    /// When its last byte was sent.
    pub last_byte: time::Instant,
    pub ended: time::Instant,
    /// Status of the answer, if its head arrived.
    pub status: Option<u16>,
    pub end: CallEnd,
    /// Earlier of the caller's deadline and the route's timeout.
    pub time_limit: time::Duration,
    /// Whether the caller sent more on the connection before the end.
    pub has_successor: bool,
}

/// How an endpoint's work on a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The endpoint sent its whole answer.
    Finished,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// The endpoint broke off its answer.
    BrokenOff,
    /// The gateway closed the connection.
    GatewayGone,
}

/// A request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct EndpointRun {
    pub id: String,
    /// When it was read.
    pub read: time::Instant,
    /// When work on it began; `None` while it is queued.
    pub begun: Option<time::Instant>,
    /// When and how it ended; `None` while it has not.
    pub end: Option<(time::Instant, RunEnd)>,
}

/// A SIGTERM of a gateway.
#[derive(Clone, Copy, Debug)]
pub struct StopSignal {
    pub gateway: net::IpAddr,
    pub at: time::Instant,
}

/// Bounds of the platform's settings.
#[derive(Clone, Copy, Debug)]
pub struct StopBounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Duration,
    /// Time in which a connection may end after a request that is not passed on.
    pub loss_slack: time::Duration,
}

/// A request that breaks the rule.
#[derive(Clone, Debug)]
pub struct LostRequest {
    pub id: String,
    /// What callers and endpoints saw of it.
    pub text: String,
}

/// Returns the requests that were lost around one of `signals`. Requests that `is_excused` accepts
/// had an unplanned disruption and are not counted.
pub fn find_lost(
    views: &[CallerView],
    runs: &[EndpointRun],
    signals: &[StopSignal],
    bounds: StopBounds,
    is_excused: impl Fn(&CallerView) -> bool,
) -> Vec<LostRequest> {
    let mut by_id: collections::HashMap<&str, Vec<&EndpointRun>> = collections::HashMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let mut lost = Vec::new();
    for view in views.iter().filter(|view| is_cut(view)) {
        let runs = by_id.get(view.id.as_str()).map_or(&[][..], Vec::as_slice);
        let own = signals
            .iter()
            .filter(|signal| signal.gateway == view.gateway);
        let mut around = own.filter(|signal| ends_around(view, signal, bounds));
        let Some(signal) = around.next_back() else {
            continue;
        };
        if is_lost(view, runs, signal, bounds) && !is_excused(view) {
            lost.push(LostRequest {
                id: view.id.clone(),
                text: describe(view, runs, signal),
            });
        }
    }
    lost
}

/// Returns the ids of unsafe requests that were answered as not run and have run.
pub fn find_false_refusals(views: &[CallerView], runs: &[EndpointRun]) -> Vec<String> {
    let begun = runs.iter().filter(|run| run.begun.is_some());
    let begun: collections::HashSet<&str> = begun.map(|run| run.id.as_str()).collect();
    let refused = views.iter().filter(|view| {
        matches!(view.status, Some(408 | 421 | 429 | 503)) && begun.contains(view.id.as_str())
    });
    refused.map(|view| view.id.clone()).collect()
}

fn is_cut(view: &CallerView) -> bool {
    matches!(view.end, CallEnd::Closed | CallEnd::Reset) && view.ended < view.sent + view.time_limit
}

fn ends_around(view: &CallerView, signal: &StopSignal, bounds: StopBounds) -> bool {
    signal.at <= view.ended && view.ended <= signal.at + bounds.grace + STOP_MARGIN
}

fn is_lost(
    view: &CallerView,
    runs: &[&EndpointRun],
    signal: &StopSignal,
    bounds: StopBounds,
) -> bool {
    let Some(last) = runs.iter().max_by_key(|run| run.read) else {
        let is_unread = view.end == CallEnd::Reset && !view.has_successor;
        return !is_unread && view.ended > view.last_byte + bounds.loss_slack;
    };
    let is_broken_off = last
        .end
        .is_some_and(|(at, end)| end == RunEnd::BrokenOff && at <= view.ended);
    !is_broken_off && !is_late_work(view, runs, signal, bounds)
}

/// Whether an endpoint was at work in the last sixth of the grace period on a request that was sent
/// early enough.
fn is_late_work(
    view: &CallerView,
    runs: &[&EndpointRun],
    signal: &StopSignal,
    bounds: StopBounds,
) -> bool {
    let from = signal.at + bounds.grace.mul_f64(LATE_WORK_FRACTION);
    let until = signal.at + bounds.grace;
    let is_at_work = |run: &&EndpointRun| {
        run.begun.is_some_and(|begun| begun < until) && run.end.is_none_or(|(at, _end)| from <= at)
    };
    view.sent <= signal.at + LATEST_EXCUSED_SEND && runs.iter().any(is_at_work)
}

fn describe(view: &CallerView, runs: &[&EndpointRun], signal: &StopSignal) -> String {
    let at = |instant: time::Instant| {
        let after = instant.checked_duration_since(signal.at);
        after.map_or_else(
            || format!("-{:?}", signal.at - instant),
            |after| format!("{after:?}"),
        )
    };
    let call = format!(
        "{} at {}: sent {} after SIGTERM, last byte {}, {:?} {}, status {:?}",
        view.id,
        view.gateway,
        at(view.sent),
        at(view.last_byte),
        view.end,
        at(view.ended),
        view.status
    );
    let runs = runs.iter().map(|run| {
        let begun = run.begun.map_or_else(|| "never".to_owned(), at);
        let end = run.end.map(|(ended, end)| format!("{end:?} {}", at(ended)));
        let end = end.unwrap_or_else(|| "not ended".to_owned());
        format!("; passed on {}, begun {begun}, {end}", at(run.read))
    });
    runs.fold(call, |text, run| text + &run)
}
