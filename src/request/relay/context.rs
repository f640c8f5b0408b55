//! State that relayed requests share, the request itself and its outcome.

use std::net;
use std::sync;
use std::time;

use crate::connection::h1::{head, segments};
use crate::process::limits::byte_budget;
use crate::process::view;
use crate::request::relay::{
    attempt, dialect, fleet, permit, request_feature, request_guard, response_memory, service_load,
    stream_origin, version_choice,
};
use crate::request::verdict;
use crate::version::traffic;

/// Retry budget per service, shared by all routers.
pub trait RetryLimiter: std::fmt::Debug + Send + Sync {
    /// Adds to the budget for one caller request to `service`.
    fn deposit(&self, service: &str, now: time::Instant);

    /// Takes one retry from the budget of `service`; `false` when it is used up and the request
    /// must not be sent to another endpoint.
    fn withdraw(&self, service: &str, urgency: RetryUrgency, now: time::Instant) -> bool;
}

/// Priority of a retry when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryUrgency {
    /// No part of the response has reached the caller.
    Fresh,
    /// A stream that was interrupted midway; giving it up wastes the most work.
    Broken,
}

/// Dependencies shared by all requests of the process.
#[derive(Clone, Debug)]
pub struct RelayContext {
    /// Endpoints of all services and their state.
    pub fleet: sync::Arc<dyn fleet::EndpointFleet>,
    /// Header names and engine calls of the platform.
    pub dialect: sync::Arc<dyn dialect::RequestDialect>,
    /// Permits for requests to endpoints that limit their rate.
    pub permits: sync::Arc<dyn permit::PermitSource>,
    /// Keeps requests from endpoints that would crash on them.
    pub guard: sync::Arc<dyn request_guard::RequestGuard>,
    /// Software versions that attempts may use while one is rolled out.
    pub versions: sync::Arc<dyn version_choice::VersionRules>,
    /// Software versions that began streams.
    pub origins: sync::Arc<dyn stream_origin::OriginMemory>,
    /// Retry budget.
    pub budget: sync::Arc<dyn RetryLimiter>,
    /// Durations and refusals of calls, by service.
    pub loads: sync::Arc<service_load::ServiceLoads>,
    /// Receives counts and durations.
    pub counters: sync::Arc<dyn view::CounterSink>,
    /// Memory for what the process holds of callers, responses that are buffered whole included.
    pub memory: sync::Arc<byte_budget::ByteBudget>,
    /// Cancelled when the process is about to exit; requests in flight then end at once.
    pub aborting: stop_token::StopToken,
}

/// An authorized request that can be relayed.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Head as received from the caller.
    pub head: head::RequestHead,
    /// Complete body.
    pub body: segments::SegmentedBody,
    /// Address that the request came from.
    pub caller: net::IpAddr,
    /// Values of the caller's headers.
    pub metadata: dialect::RequestMetadata,
    /// Matching route.
    pub route: traffic::TrafficRoute,
    /// Name of the service chosen for the request.
    pub service: String,
    /// Whether engines of the service maintain KV copies of running requests on other engines.
    pub has_copies: bool,
    /// Whether engines of the service copy the KV cache of a running request on demand.
    pub has_moves: bool,
    /// Path at which endpoints of the service answer health checks; `None` if it has none.
    pub health_path: Option<String>,
    /// What the request has in common with others: the fingerprint of the whole request, then the
    /// shared parts of its prompt.
    pub features: Vec<request_feature::RequestFeature>,
    /// Workspace of the caller; `None` if no key is known, on a route that needs none.
    pub workspace: Option<String>,
    /// Whether endpoints do not get the caller's Authorization header.
    pub drops_key: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of higher priorities that compete for engines of the service; `None` for calls, and if
    /// all streams of the service have the same priority.
    pub stream_rank: Option<u32>,
    /// When the request had been read.
    pub arrived: time::Instant,
    /// Earlier of the caller's deadline and the route's timeout.
    pub deadline: time::Instant,
}

impl RelayRequest {
    /// Time left until the deadline; zero once it has passed.
    #[must_use]
    pub fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Encodes the head for one endpoint; the body follows it.
    #[must_use]
    pub fn encode_head(
        &self,
        dialect: &dyn dialect::RequestDialect,
        params: &dialect::ForwardParams<'_>,
    ) -> Vec<u8> {
        let head = dialect.request_head(&self.head, params);
        head::write_request(&head, self.body.len())
    }

    /// Sends the request with this head to `address`.
    ///
    /// # Errors
    /// As [`attempt::send_parts`].
    pub async fn send(
        &self,
        address: net::SocketAddr,
        head: &[u8],
    ) -> attempt::Result<attempt::OpenAttempt> {
        let mut parts = vec![head];
        parts.extend(self.body.parts());
        attempt::send_parts(address, &parts).await
    }
}

/// How relaying a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// An endpoint's complete response with this status was delivered.
    Served(u16),
    /// No response could be delivered; nothing has been sent to the caller yet.
    Refused(verdict::RequestRefusal),
    /// Part of a stream was delivered and no endpoint can resume it.
    BrokenOff,
    /// The caller closed the connection.
    CallerGone,
}

/// Counts a request as in flight at an endpoint until this is dropped.
#[derive(Debug)]
pub struct EndpointLease {
    fleet: sync::Arc<dyn fleet::EndpointFleet>,
    /// Endpoint that the request is sent to.
    pub endpoint: fleet::ChosenEndpoint,
    acquired_at: time::Instant,
}

impl EndpointLease {
    /// Chooses an endpoint and counts the request there; `None` when no endpoint matches `query`.
    fn acquire(
        fleet: &sync::Arc<dyn fleet::EndpointFleet>,
        query: &fleet::EndpointQuery<'_>,
    ) -> Option<Self> {
        let endpoint = fleet.acquire(query)?;
        Some(Self {
            fleet: sync::Arc::clone(fleet),
            endpoint,
            acquired_at: time::Instant::now(),
        })
    }

    /// Records what an attempt revealed about the endpoint.
    pub fn observe(&self, observation: fleet::EndpointObservation) {
        let now = time::Instant::now();
        self.fleet.observe(self.endpoint.key, observation, now);
    }
}

impl Drop for EndpointLease {
    fn drop(&mut self) {
        self.fleet.release(self.endpoint.key);
    }
}

/// Retry-After when no endpoint had capacity or was reachable; about the time until a lost
/// endpoint is replaced or its entry expires.
pub const NO_ENDPOINT_DELAY: time::Duration = time::Duration::from_millis(500);

/// Retry-After of a request that the end of the process interrupts; other routers can take it at
/// once.
const ABORTED_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Time for which a request asks for permits before it goes to an endpoint without a limit; a few
/// asks, as a caller notices longer delays.
const MAX_ASKING_TIME: time::Duration = time::Duration::from_millis(20);

const BLOCKED_PROMPT_MESSAGE: &str =
    "engines crash on a part of this prompt; change the prompt, or ask the operators about it";

const BLOCKED_REQUEST_MESSAGE: &str =
    "endpoints crash on this request; change it, or ask the operators about it";

/// Maximum random addition to a pause, as a fraction of it, so that callers do not all retry at
/// once.
const RETRY_JITTER: f64 = 0.25;

impl RelayContext {
    /// Chooses an endpoint for `request` and counts the request there, with a permit if the endpoint
    /// limits its rate; `None` when no endpoint matches `query`.
    pub async fn acquire(
        &self,
        request: &str,
        query: &fleet::EndpointQuery<'_>,
    ) -> Option<EndpointLease> {
        let began = time::Instant::now();
        // A refused permit keeps the fleet from offering the endpoint again at once.
        while began.elapsed() < MAX_ASKING_TIME {
            let lease = EndpointLease::acquire(&self.fleet, query)?;
            if !lease.endpoint.is_limited || self.permits.obtain(request, &lease.endpoint).await {
                return Some(lease);
            }
        }
        let query = fleet::EndpointQuery {
            is_unlimited: true,
            ..query.clone()
        };
        EndpointLease::acquire(&self.fleet, &query)
    }

    /// Memory for the responses to `request`.
    pub(super) fn response_memory(
        &self,
        request: &RelayRequest,
    ) -> response_memory::ResponseMemory {
        response_memory::ResponseMemory::shared(&self.memory, request.caller)
    }

    /// Parses the head of a response to `request`, and records what the endpoint announced about
    /// itself.
    pub(super) fn observe_head(
        &self,
        request: &RelayRequest,
        lease: &EndpointLease,
        head: &head::ResponseHead,
    ) -> dialect::ResponseMetadata {
        let metadata = self.dialect.response_metadata(head);
        // 421: a different endpoint answers at this address, and the notice is about that one.
        if head.status != 421 {
            self.observe_notice(request, lease, &metadata);
        }
        metadata
    }

    fn observe_notice(
        &self,
        request: &RelayRequest,
        lease: &EndpointLease,
        metadata: &dialect::ResponseMetadata,
    ) {
        let notice = metadata.notice;
        // Only an answer that the endpoint certainly wrote for this request shows that it names no
        // limit any more.
        let is_own = metadata.request.as_ref() == Some(&request.metadata.id);
        if notice.limit.is_some() || (is_own && metadata.is_sealed) {
            let age = match notice.limit {
                Some(_) => time::Duration::ZERO,
                None => lease.acquired_at.elapsed(),
            };
            let key = lease.endpoint.key;
            if self.fleet.record_limit(key, notice.limit, age) {
                sync::Arc::clone(&self.permits).announce(&lease.endpoint);
            }
        }
        if notice.is_leaving {
            lease.observe(fleet::EndpointObservation::Leaving);
        }
        if let Some(pause) = notice.pause {
            lease.observe(fleet::EndpointObservation::Pausing(pause));
        }
    }

    /// Refusal for a request that no endpoint of `service` answered. It may be retried when the
    /// endpoints' pause ends, or after [`NO_ENDPOINT_DELAY`].
    #[must_use]
    pub fn refuse_unserved(
        &self,
        service: &str,
        verdict: verdict::RunVerdict,
    ) -> verdict::RequestRefusal {
        let pause = self.fleet.pause_left(service, time::Instant::now());
        let delay = pause.map(|pause| pause.mul_f64(1.0 + RETRY_JITTER * fastrand::f64()));
        refuse_unserved(verdict, delay.unwrap_or(NO_ENDPOINT_DELAY))
    }

    /// Refusal for a request that is blocked; `None` if it may be sent.
    #[must_use]
    pub fn refuse_blocked(
        &self,
        request: &RelayRequest,
        verdict: verdict::RunVerdict,
    ) -> Option<verdict::RequestRefusal> {
        let delay = self.guard.block_left(&request.features)?;
        let (code, message) = if request.metadata.shared_parts.is_empty() {
            (
                verdict::RefusalCode::RequestBlocked,
                BLOCKED_REQUEST_MESSAGE,
            )
        } else {
            (verdict::RefusalCode::PromptBlocked, BLOCKED_PROMPT_MESSAGE)
        };
        Some(match verdict {
            verdict::RunVerdict::NotRun => {
                verdict::RequestRefusal::not_run(503, code, message).retry_after(delay)
            }
            verdict::RunVerdict::MayHaveRun => {
                verdict::RequestRefusal::may_have_run(502, code, message)
            }
        })
    }

    /// Refusal for a request to `service` whose deadline has passed.
    #[must_use]
    pub fn refuse_expired(
        &self,
        service: &str,
        verdict: verdict::RunVerdict,
    ) -> verdict::RequestRefusal {
        match verdict {
            verdict::RunVerdict::NotRun => self.refuse_unserved(service, verdict),
            verdict::RunVerdict::MayHaveRun => verdict::RequestRefusal::may_have_run(
                504,
                verdict::RefusalCode::DeadlineExceeded,
                "the endpoint did not respond in time; check for effects before retrying",
            ),
        }
    }
}

/// Refusal for a request that the end of the process interrupts.
#[must_use]
pub fn refuse_aborted(verdict: verdict::RunVerdict) -> verdict::RequestRefusal {
    let code = verdict::RefusalCode::NotReady;
    match verdict {
        verdict::RunVerdict::NotRun => {
            let message = "this router stops; use another address";
            verdict::RequestRefusal::not_run(503, code, message).retry_after(ABORTED_RETRY_DELAY)
        }
        verdict::RunVerdict::MayHaveRun => verdict::RequestRefusal::may_have_run(
            502,
            code,
            "this router stopped before the endpoint answered; check for effects before retrying",
        ),
    }
}

/// Refusal for a request that no endpoint answered; one that did not run may be retried after
/// `delay`.
#[must_use]
pub fn refuse_unserved(
    verdict: verdict::RunVerdict,
    delay: time::Duration,
) -> verdict::RequestRefusal {
    match verdict {
        verdict::RunVerdict::NotRun => verdict::RequestRefusal::not_run(
            503,
            verdict::RefusalCode::NoEndpoint,
            "no endpoint of the service accepted the request; retry later",
        )
        .retry_after(delay),
        verdict::RunVerdict::MayHaveRun => verdict::RequestRefusal::may_have_run(
            502,
            verdict::RefusalCode::EndpointFailed,
            "the endpoint sent no complete response; check for effects before retrying",
        ),
    }
}
