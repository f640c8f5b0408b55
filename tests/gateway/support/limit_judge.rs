//! Counts at an endpoint whether the gateways together kept the request limit that it named.

use std::collections;
use std::net;
use std::time;

use crate::support::fakes;

/// Time from the first answer with a limit until the limit binds.
pub const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);

/// Span in which requests are counted; any span of this length counts.
const WINDOW: time::Duration = time::Duration::from_secs(4);

/// Time for which a gateway that passed an answer with the limit on is not yet counted.
const TOLD_DELAY: time::Duration = time::Duration::from_millis(500);

/// Multiple of the limit, and number of requests beyond it, that are allowed in a window.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerView {
    pub id: String,
    /// Gateway that it was sent to.
    pub gateway: net::IpAddr,
    /// When the answer had arrived; `None` if none did.
    pub answered: Option<time::Instant>,
}

/// Whether a gateway was killed or started again at `at` or shortly before, given all such times.
pub fn was_restarted(
    restarts: &[(net::IpAddr, time::Instant)],
    gateway: net::IpAddr,
    at: time::Instant,
) -> bool {
    let mut restarts = restarts.iter().filter(|(known, _at)| *known == gateway);
    restarts.any(|(_ip, restart)| *restart <= at && at < *restart + CONTACT_TIME)
}

/// Returns a line for each limit that was exceeded at `endpoint`. Requests that `is_excused`
/// accepts, given the gateway and the time of arrival, are not counted.
pub fn find_excesses(
    endpoint: &fakes::FakeEndpoint,
    views: &[CallerView],
    is_excused: impl Fn(net::IpAddr, time::Instant) -> bool,
) -> Vec<String> {
    let arrivals = endpoint.received().into_iter().map(|request| {
        let id = request.field("Kumquatpulley-Request-Id");
        (request.at, id.unwrap_or_default())
    });
    let arrivals: Vec<(time::Instant, String)> = arrivals.collect();
    let named_to: collections::HashSet<String> = endpoint.named_to().into_iter().collect();
    let mut findings = Vec::new();
    for limit in limit_spans(&endpoint.limits()) {
        let told = told_times(views, &named_to, &limit);
        let Some(first) = told.values().min() else {
            continue;
        };
        let binds = *first + CONTACT_TIME;
        let gateways: collections::HashMap<&str, net::IpAddr> = views
            .iter()
            .map(|view| (view.id.as_str(), view.gateway))
            .collect();
        let counted = arrivals.iter().filter(|(at, id)| {
            let gateway = gateways.get(id.as_str());
            let is_told = gateway.is_some_and(|gateway| {
                let told = told.get(gateway);
                told.is_some_and(|told| *told + TOLD_DELAY <= *at) && !is_excused(*gateway, *at)
            });
            is_told && binds <= *at && *at < limit.ends
        });
        let mut counted: Vec<time::Instant> = counted.map(|(at, _id)| *at).collect();
        counted.sort_unstable();
        findings.extend(limit.worst_excess(&counted, &endpoint.name));
    }
    findings
}

/// A time for which the endpoint named limits without interruption.
#[derive(Clone, Debug)]
struct LimitSpan {
    begins: time::Instant,
    ends: time::Instant,
    changes: Vec<(time::Instant, f64)>,
}

impl LimitSpan {
    /// Requests that the limit allows from `from` to `to`.
    fn allowance(&self, from: time::Instant, to: time::Instant) -> f64 {
        let ends = self.changes.iter().skip(1).map(|(at, _rate)| *at);
        let ends = ends.chain([self.ends]);
        let parts = self.changes.iter().zip(ends).map(|((at, rate), end)| {
            let time = end.min(to).saturating_duration_since((*at).max(from));
            time.as_secs_f64() * rate
        });
        parts.sum()
    }

    /// The window with the most requests beyond those allowed, if any has more.
    fn worst_excess(&self, counted: &[time::Instant], endpoint: &str) -> Option<String> {
        let windows = counted.iter().enumerate().map(|(first, at)| {
            let until = *at + WINDOW;
            let count = counted[first..].partition_point(|later| *later < until);
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            let allowed = ALLOWED_FACTOR * self.allowance(*at, until) + ALLOWED_EXTRA;
            (count, allowed, *at)
        });
        let excess = windows.filter(|(count, allowed, _at)| f64::from(*count) > *allowed);
        let worst = excess.max_by(|one, other| {
            let beyond =
                |(count, allowed, _at): &(u32, f64, time::Instant)| f64::from(*count) - allowed;
            beyond(one).total_cmp(&beyond(other))
        });
        worst.map(|(count, allowed, at)| {
            let after = at.duration_since(self.begins);
            format!(
                "{endpoint} got {count} requests in {WINDOW:?}, allowed {allowed:.1}, \
                 {after:?} after it named a limit ({:?})",
                self.changes
            )
        })
    }
}

/// Spans in which a limit was named; the last one may still last.
fn limit_spans(changes: &[fakes::LimitChange]) -> Vec<LimitSpan> {
    let mut spans: Vec<LimitSpan> = Vec::new();
    let mut is_open = false;
    for change in changes {
        if is_open && let Some(span) = spans.last_mut() {
            match change.rate {
                Some(rate) => span.changes.push((change.at, rate)),
                None => span.ends = change.at,
            }
        } else if let Some(rate) = change.rate {
            spans.push(LimitSpan {
                begins: change.at,
                ends: time::Instant::now(),
                changes: vec![(change.at, rate)],
            });
        }
        is_open = change.rate.is_some();
    }
    spans
}

/// When each gateway first passed on an answer that named the limit of a span.
fn told_times(
    views: &[CallerView],
    named_to: &collections::HashSet<String>,
    limit: &LimitSpan,
) -> collections::HashMap<net::IpAddr, time::Instant> {
    let mut told: collections::HashMap<net::IpAddr, time::Instant> = collections::HashMap::new();
    for view in views.iter().filter(|view| named_to.contains(&view.id)) {
        let answered = view
            .answered
            .filter(|at| limit.begins <= *at && *at < limit.ends);
        if let Some(answered) = answered {
            let first = told.entry(view.gateway).or_insert(answered);
            *first = answered.min(*first);
        }
    }
    told
}
