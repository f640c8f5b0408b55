//! What relaying needs of the process, and the request that is relayed.

use std::sync;
use std::time;

use crate::connection::h1::head;
use crate::process::view;
use crate::request::relay::{dialect, fleet, response_memory};
use crate::request::verdict;
use crate::version::traffic;

/// Limits repeats over all routers together.
pub trait RetryLimiter: std::fmt::Debug + Send + Sync {
    /// Takes note of a caller's request for `service`.
    fn deposit(&self, service: &str, now: time::Instant);

    /// Whether a request for `service` may be sent to one more endpoint.
    fn withdraw(&self, service: &str, urgency: RetryUrgency, now: time::Instant) -> bool;
}

/// Which repeats go first when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryUrgency {
    /// A request of which the caller has nothing yet.
    Fresh,
    /// A stream that broke off midway, where the most work is at stake.
    Broken,
}

/// What all requests of a process share.
#[derive(Clone, Debug)]
pub struct RelayContext {
    /// Endpoints.
    pub fleet: sync::Arc<dyn fleet::EndpointFleet>,
    /// Names of the platform's headers.
    pub dialect: sync::Arc<dyn dialect::RequestDialect>,
    /// Limit on repeats.
    pub budget: sync::Arc<dyn RetryLimiter>,
    /// Counters.
    pub counters: sync::Arc<dyn view::CounterSink>,
    /// Memory for answers that are read whole.
    pub memory: sync::Arc<response_memory::ResponseMemory>,
}

/// A request that may be passed on.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Its head as received.
    pub head: head::RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// What the caller says.
    pub metadata: dialect::RequestMetadata,
    /// Its route.
    pub route: traffic::TrafficRoute,
    /// The service that serves it.
    pub service: String,
    /// Whether engines of the service keep copies of running requests.
    pub has_copies: bool,
    /// Whether engines of the service copy a running request when they are asked to.
    pub has_moves: bool,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Rank, 0 first.
    pub priority: u8,
    /// When the request was read.
    pub arrived: time::Instant,
    /// When the caller or the route gives up.
    pub deadline: time::Instant,
}

impl RelayRequest {
    /// Time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// The whole request for one endpoint.
    #[must_use]
    pub fn bytes(
        &self,
        dialect: &dyn dialect::RequestDialect,
        terms: &dialect::ForwardParams<'_>,
    ) -> Vec<u8> {
        let head = dialect.request_head(&self.head, terms);
        let mut bytes = head::write_request(&head, self.body.len());
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// How relaying ended, beside what was written to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// An endpoint's whole answer with this status was passed on.
    Served(u16),
    /// No endpoint's answer was passed on; the caller has nothing yet.
    Refused(verdict::RequestRefusal),
    /// A part of a stream was passed on and nothing can go on with it.
    BrokenOff,
    /// The caller went away.
    CallerGone,
}

/// A request counted at an endpoint until this is dropped.
#[derive(Debug)]
pub struct EndpointLease {
    fleet: sync::Arc<dyn fleet::EndpointFleet>,
    /// The endpoint.
    pub endpoint: fleet::ChosenEndpoint,
}

impl EndpointLease {
    /// Chooses an endpoint and counts the request there.
    #[must_use]
    pub fn acquire(
        fleet: &sync::Arc<dyn fleet::EndpointFleet>,
        need: &fleet::EndpointQuery<'_>,
    ) -> Option<Self> {
        let endpoint = fleet.acquire(need)?;
        Some(Self {
            fleet: sync::Arc::clone(fleet),
            endpoint,
        })
    }

    /// Takes note of what an attempt showed.
    pub fn observe(&self, sign: fleet::EndpointObservation) {
        let now = time::Instant::now();
        self.fleet.observe(self.endpoint.key, sign, now);
    }

    /// Takes note of what the endpoint says of itself in an answer.
    pub fn observe_notice(&self, status: u16, notice: dialect::EndpointNotice) {
        // Another endpoint speaks for itself.
        if status == 421 {
            return;
        }
        if notice.is_leaving {
            self.observe(fleet::EndpointObservation::Leaving);
        }
        if let Some(pause) = notice.pause {
            self.observe(fleet::EndpointObservation::Pausing(pause));
        }
    }
}

impl Drop for EndpointLease {
    fn drop(&mut self) {
        self.fleet.release(self.endpoint.key);
    }
}

/// Time after which a caller may come back when no endpoint had room or could be reached; in the
/// order of what a lost endpoint needs to be replaced or its entry to go.
pub const NO_ENDPOINT_DELAY: time::Duration = time::Duration::from_millis(500);

/// Longest part of a pause that is added by chance, so that callers do not all return at its end.
const RETRY_JITTER: f64 = 0.25;

impl RelayContext {
    /// The refusal of a request that no endpoint of `service` answered.
    #[must_use]
    pub fn refuse_unserved(
        &self,
        service: &str,
        ran: verdict::RunVerdict,
    ) -> verdict::RequestRefusal {
        let pause = self.fleet.pause_left(service, time::Instant::now());
        let delay = pause.map(|pause| pause.mul_f64(1.0 + RETRY_JITTER * fastrand::f64()));
        refuse_unserved(ran, delay.unwrap_or(NO_ENDPOINT_DELAY))
    }

    /// The refusal of a request for `service` whose time is over.
    #[must_use]
    pub fn refuse_expired(
        &self,
        service: &str,
        ran: verdict::RunVerdict,
    ) -> verdict::RequestRefusal {
        match ran {
            verdict::RunVerdict::NotRun => self.refuse_unserved(service, ran),
            verdict::RunVerdict::MayHaveRun => verdict::RequestRefusal::may_have_run(
                504,
                verdict::RefusalCode::DeadlineExceeded,
                "the endpoint did not answer in time; look up the effect before asking again",
            ),
        }
    }
}

/// The refusal of a request that no endpoint answered; one that did not run may come back after
/// `delay`.
#[must_use]
pub fn refuse_unserved(ran: verdict::RunVerdict, delay: time::Duration) -> verdict::RequestRefusal {
    match ran {
        verdict::RunVerdict::NotRun => verdict::RequestRefusal::not_run(
            503,
            verdict::RefusalCode::NoEndpoint,
            "no endpoint of the service took the request; ask again",
        )
        .retry_after(delay),
        verdict::RunVerdict::MayHaveRun => verdict::RequestRefusal::may_have_run(
            502,
            verdict::RefusalCode::EndpointFailed,
            "the endpoint gave no whole answer; look up the effect before asking again",
        ),
    }
}
