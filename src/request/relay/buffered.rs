//! Relays requests whose response is buffered whole before it is delivered.

use std::pin;
use std::sync::atomic;
use std::time;

use async_std::future;
use futures::future as futures_future;
use stop_token::future::FutureExt as _;

use crate::connection::h1::sink;
use crate::process::limits::byte_budget;
use crate::request::relay::{
    attempt, context, crash_report, dialect, fleet, request_feature, retry, rollout,
    version_choice, version_trial,
};
use crate::request::verdict;

/// Attempts of one request, shared with the timeout around them.
#[derive(Debug, Default)]
struct AttemptTracker {
    possible_runs: atomic::AtomicU32,
    attempts: atomic::AtomicU32,
    /// Attempts that endpoints refused because they are full.
    full_refusals: atomic::AtomicU32,
}

impl AttemptTracker {
    fn verdict(&self) -> verdict::RunVerdict {
        if self.possible_runs.load(atomic::Ordering::Relaxed) == 0 {
            return verdict::RunVerdict::NotRun;
        }
        verdict::RunVerdict::MayHaveRun
    }

    /// Whether all attempts so far were refused by endpoints that are full.
    fn is_refused_as_full(&self) -> bool {
        let attempts = self.attempts.load(atomic::Ordering::Relaxed);
        attempts > 0 && attempts == self.full_refusals.load(atomic::Ordering::Relaxed)
    }

    /// Refusal for the request, which no endpoint answered.
    fn refuse(
        &self,
        context: &context::RelayContext,
        request: &context::RelayRequest,
    ) -> verdict::RequestRefusal {
        if self.is_refused_as_full() {
            return context.refuse_full(request);
        }
        context.refuse_unserved(&request.service, self.verdict())
    }
}

/// Relays `request` and delivers the response; nothing is written when the outcome is a refusal.
pub async fn relay(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    sink: &mut sink::AnswerSink,
) -> context::RelayOutcome {
    let tracker = AttemptTracker::default();
    let finding = find_response(context, request, &tracker);
    let finding = future::timeout(request.time_left(), finding);
    let found = match finding.timeout_at(context.aborting.clone()).await {
        Ok(Ok(found)) => found,
        Ok(Err(_elapsed)) => Err(context.refuse_expired(&request.service, tracker.verdict())),
        Err(_aborted) => Err(context::refuse_aborted(tracker.verdict())),
    };
    match found {
        Err(refusal) => context::RelayOutcome::Refused(refusal),
        Ok(response) => deliver(context, sink, response).await,
    }
}

/// Delivers a complete response to the caller. One that its caller does not read gives way when the
/// memory for callers is short.
pub(super) async fn deliver(
    context: &context::RelayContext,
    sink: &mut sink::AnswerSink,
    mut response: attempt::FullResponse,
) -> context::RelayOutcome {
    response.head.headers.remove_hop_fields();
    let status = response.head.status;
    let reservation = response.reservation.as_deref();
    let record_progress = || {
        if let Some(reservation) = reservation {
            reservation.record_progress(time::Instant::now());
        }
    };
    let sending = sink.send_watched(&response.head, &response.body, record_progress);
    let sending = pin::pin!(sending);
    let evicted = pin::pin!(evicted(reservation));
    match futures_future::select(sending, evicted).await {
        futures_future::Either::Left((Ok(()), _evicted)) => context::RelayOutcome::Served(status),
        futures_future::Either::Left((Err(_gone), _evicted)) => context::RelayOutcome::CallerGone,
        futures_future::Either::Right(((), _sending)) => {
            context.counters.count("caller.answer_evicted");
            log::warn!(
                bytes = response.body.len(),
                held = context.memory.held(),
                limit = context.memory.limit();
                "no memory for an answer that its caller does not read"
            );
            context::RelayOutcome::CallerGone
        }
    }
}

/// Completes when the memory of a response has to be freed, which is possible from now on.
async fn evicted(reservation: Option<&byte_budget::ByteReservation>) {
    let Some(reservation) = reservation else {
        return futures_future::pending().await;
    };
    reservation.record_progress(time::Instant::now());
    // A reservation that is kept cannot have been evicted.
    let _kept_until_now = reservation.allow_eviction();
    reservation.evicted().await;
}

async fn find_response(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    tracker: &AttemptTracker,
) -> verdict::Result<attempt::FullResponse> {
    let mut excluded = Vec::new();
    let mut fallback = None;
    let mut waits = 0;
    let mut versions = version_choice::VersionChoice::new(fastrand::f64());
    loop {
        if let Some(refusal) = context.refuse_blocked(request, tracker.verdict()) {
            return fallback.ok_or(refusal);
        }
        let attempts = tracker.attempts.load(atomic::Ordering::Relaxed);
        let is_allowed = attempts == 0 || take_retry(context, request);
        let lease = if is_allowed {
            let versions = versions.filter(context.versions.as_ref(), &request.service);
            acquire(context, request, &excluded, &versions).await
        } else {
            None
        };
        let Some(lease) = lease else {
            let is_full = is_allowed && !excluded.is_empty() && tracker.is_refused_as_full();
            if is_full && context.wait_for_capacity(request, waits).await {
                waits += 1;
                excluded.clear();
                continue;
            }
            return fallback.ok_or_else(|| tracker.refuse(context, request));
        };
        // The request may have been blocked while it waited for a permit.
        if let Some(refusal) = context.refuse_blocked(request, tracker.verdict()) {
            return fallback.ok_or(refusal);
        }
        excluded.push(lease.endpoint.key);
        tracker.attempts.fetch_add(1, atomic::Ordering::Relaxed);
        let (outcome, response) = try_endpoint(context, request, &lease, tracker).await;
        if !matches!(outcome, retry::AttemptOutcome::Answered(status) if status < 500) {
            versions.record_failure(&lease.endpoint.version);
        }
        let state = retry::RetryState {
            kind: request.route.kind,
            possible_runs: tracker.possible_runs.load(atomic::Ordering::Relaxed),
            attempts: attempts + 1,
            max_runs: request.route.attempts,
            has_time: !request.time_left().is_zero(),
        };
        let step = retry::next_step(outcome, &state);
        log::info!(
            request = request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            end:? = outcome,
            step:? = step;
            "attempt ended"
        );
        fallback = response.or(fallback);
        match step {
            retry::NextStep::Repeat => context.counters.count("relay.repeated"),
            retry::NextStep::Deliver | retry::NextStep::GiveUp(_) => {
                return fallback.ok_or_else(|| tracker.refuse(context, request));
            }
        }
    }
}

fn take_retry(context: &context::RelayContext, request: &context::RelayRequest) -> bool {
    let urgency = context::RetryUrgency::Fresh;
    let now = time::Instant::now();
    context.budget.withdraw(&request.service, urgency, now)
}

async fn acquire(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    excluded: &[fleet::EndpointKey],
    versions: &version_choice::VersionFilter,
) -> Option<context::EndpointLease> {
    let query = fleet::EndpointQuery {
        service: &request.service,
        excluded,
        avoid_zone_of: None,
        only: None,
        is_unlimited: false,
        versions,
    };
    context.acquire(&request.metadata.id, &query).await
}

async fn try_endpoint(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    lease: &context::EndpointLease,
    tracker: &AttemptTracker,
) -> (retry::AttemptOutcome, Option<attempt::FullResponse>) {
    let params = dialect::ForwardParams {
        time_left: request.time_left(),
        endpoint: &lease.endpoint.name,
        workspace: request.workspace.as_deref(),
        drops_key: request.drops_key,
        rank: None,
        copy_holder: None,
        copy_source: None,
        last_event: request.metadata.last_event,
    };
    let bytes = request.encode_head(context.dialect.as_ref(), &params);
    // Counted before the first byte is sent, so that the timeout never reports a partly sent
    // request as "not run".
    tracker
        .possible_runs
        .fetch_add(1, atomic::Ordering::Relaxed);
    context.counters.count("relay.attempt");
    let sent_at = time::Instant::now();
    let mut trial = version_trial::VersionTrial::begin(context, request, lease);
    let sent = request.send(lease.endpoint.address, &bytes).await;
    let Ok(mut open) = sent else {
        tracker
            .possible_runs
            .fetch_sub(1, atomic::Ordering::Relaxed);
        trial.record(rollout::VersionOutcome::Lost);
        lease.observe(fleet::EndpointObservation::Failed);
        return (retry::AttemptOutcome::NotRun, None);
    };
    let response = match open.head().await {
        Ok(head) => {
            context.observe_head(request, lease, &head);
            open.read_whole(
                &request.head.method,
                head,
                &context.response_memory(request),
            )
            .await
        }
        Err(error) => Err(error),
    };
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            trial.record(rollout::VersionOutcome::Lost);
            lease.observe(fleet::EndpointObservation::Failed);
            examine_loss(context, request, lease, error, sent_at).await;
            return (retry::AttemptOutcome::Lost, None);
        }
    };
    let outcome = classify_response(context, request, &response);
    match outcome {
        retry::AttemptOutcome::NotRun => {
            trial.exempt();
            tracker
                .possible_runs
                .fetch_sub(1, atomic::Ordering::Relaxed);
            if response.head.status == 503 {
                tracker
                    .full_refusals
                    .fetch_add(1, atomic::Ordering::Relaxed);
            }
            lease.observe(refusal_observation(response.head.status));
            (outcome, None)
        }
        retry::AttemptOutcome::Lost => {
            trial.record(rollout::VersionOutcome::Lost);
            lease.observe(fleet::EndpointObservation::Failed);
            (outcome, None)
        }
        retry::AttemptOutcome::Answered(status) => {
            trial.record(rollout::VersionOutcome::Status(status));
            // Failures say nothing about how long the service takes.
            if status < 500 {
                let now = time::Instant::now();
                let service = request.service.as_str();
                context.loads.record_answer(service, now - sent_at, now);
            }
            lease.observe(fleet::EndpointObservation::Answered);
            context.guard.record_success(&request.features);
            (outcome, Some(response))
        }
    }
}

/// Logs a call without a complete response, and reports the endpoint if it has crashed.
async fn examine_loss(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    lease: &context::EndpointLease,
    cause: attempt::AttemptError,
    sent_at: time::Instant,
) {
    let times = crash_report::LossTimes::now(sent_at);
    let running = times.running();
    let mut probed = None;
    if cause == attempt::AttemptError::Closed {
        let path = request.health_path.as_deref();
        let path = path.unwrap_or_else(|| context.dialect.report_path());
        probed = Some(attempt::probe(lease.endpoint.address, path).await);
    }
    log::info!(
        request = request.metadata.id.as_str(),
        endpoint = lease.endpoint.name.as_str(),
        features = request_feature::join(&request.features).as_str(),
        cause:? = cause,
        probed:? = probed,
        elapsed_ms = u64::try_from(running.as_millis()).unwrap_or(u64::MAX);
        "call lost"
    );
    if probed.is_some_and(|probed| crash_report::is_crash(probed, running)) {
        crash_report::report(context, request, lease, times).await;
    }
}

/// Returns what a response that states "not run" reveals about the endpoint.
pub(super) fn refusal_observation(status: u16) -> fleet::EndpointObservation {
    if status == 421 {
        return fleet::EndpointObservation::Replaced;
    }
    fleet::EndpointObservation::Full
}

/// Classifies a complete response. A success counts only if it names this request and is sealed.
pub(super) fn classify_response(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    response: &attempt::FullResponse,
) -> retry::AttemptOutcome {
    let metadata = context.dialect.response_metadata(&response.head);
    if metadata.is_foreign(&request.metadata.id) {
        return retry::AttemptOutcome::Lost;
    }
    if metadata.refuses(&request.metadata.id) {
        return retry::AttemptOutcome::NotRun;
    }
    // Callers read these statuses as "did not run", but the endpoint did not state that.
    if matches!(response.head.status, 408 | 429 | 503) {
        return retry::AttemptOutcome::Lost;
    }
    let is_success = (200..300).contains(&response.head.status);
    if metadata.is_altered || (is_success && (!metadata.is_sealed || metadata.request.is_none())) {
        return retry::AttemptOutcome::Lost;
    }
    retry::AttemptOutcome::Answered(response.head.status)
}
