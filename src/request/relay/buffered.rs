//! Relays requests whose answer is passed on whole.

use std::sync::atomic;
use std::time;

use async_std::future;

use crate::connection::h1::sink;
use crate::request::relay::{attempt, context, dialect, fleet, retry};
use crate::request::verdict;

/// What one request knows of its attempts; shared with the time limit around them.
#[derive(Debug, Default)]
struct AttemptLog {
    ran: atomic::AtomicU32,
}

impl AttemptLog {
    fn verdict(&self) -> verdict::RunVerdict {
        if self.ran.load(atomic::Ordering::Relaxed) == 0 {
            return verdict::RunVerdict::NotRun;
        }
        verdict::RunVerdict::MayHaveRun
    }
}

/// Relays `request` and writes the answer, or tells why there is none.
pub async fn relay(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    sink: &mut sink::AnswerSink,
) -> context::RelayOutcome {
    let log = AttemptLog::default();
    let answering = find_answer(context, request, &log);
    let found = match future::timeout(request.time_left(), answering).await {
        Ok(found) => found,
        Err(_elapsed) => Err(context.refuse_expired(&request.service, log.verdict())),
    };
    match found {
        Err(refusal) => context::RelayOutcome::Refused(refusal),
        Ok(answer) => deliver(sink, answer).await,
    }
}

/// Passes a whole answer on.
pub(super) async fn deliver(
    sink: &mut sink::AnswerSink,
    mut answer: attempt::FullResponse,
) -> context::RelayOutcome {
    answer.head.headers.remove_hop_fields();
    match sink.send(&answer.head, &answer.body).await {
        Ok(()) => context::RelayOutcome::Served(answer.head.status),
        Err(_gone) => context::RelayOutcome::CallerGone,
    }
}

async fn find_answer(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    log: &AttemptLog,
) -> verdict::Result<attempt::FullResponse> {
    let mut excluded = Vec::new();
    let mut fallback = None;
    loop {
        let offered = u32::try_from(excluded.len()).unwrap_or(u32::MAX);
        let is_allowed = offered == 0 || may_repeat(context, request);
        let lease = is_allowed.then(|| acquire(context, request, &excluded));
        let Some(lease) = lease.flatten() else {
            return fallback
                .ok_or_else(|| context.refuse_unserved(&request.service, log.verdict()));
        };
        excluded.push(lease.endpoint.key);
        let (end, answer) = try_endpoint(context, request, &lease, log).await;
        let terms = retry::RetryState {
            kind: request.route.kind,
            possible_runs: log.ran.load(atomic::Ordering::Relaxed),
            attempts: offered + 1,
            max_runs: request.route.attempts,
            has_time: !request.time_left().is_zero(),
        };
        let step = retry::next_step(end, &terms);
        log::info!(
            request = request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            end:? = end,
            step:? = step;
            "attempt ended"
        );
        fallback = answer.or(fallback);
        match step {
            retry::NextStep::Repeat => context.counters.count("relay.repeated"),
            retry::NextStep::Deliver => {
                return fallback
                    .ok_or_else(|| context.refuse_unserved(&request.service, log.verdict()));
            }
            retry::NextStep::GiveUp(ran) => {
                return fallback.ok_or_else(|| context.refuse_unserved(&request.service, ran));
            }
        }
    }
}

fn may_repeat(context: &context::RelayContext, request: &context::RelayRequest) -> bool {
    let urgency = context::RetryUrgency::Fresh;
    let now = time::Instant::now();
    context.budget.withdraw(&request.service, urgency, now)
}

fn acquire(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    excluded: &[fleet::EndpointKey],
) -> Option<context::EndpointLease> {
    let need = fleet::EndpointQuery {
        service: &request.service,
        excluded,
        avoid_zone_of: None,
        only: None,
    };
    context::EndpointLease::acquire(&context.fleet, &need)
}

async fn try_endpoint(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    lease: &context::EndpointLease,
    log: &AttemptLog,
) -> (retry::AttemptOutcome, Option<attempt::FullResponse>) {
    let terms = dialect::ForwardParams {
        time_left: request.time_left(),
        endpoint: &lease.endpoint.name,
        workspace: request.workspace.as_deref(),
        rank: None,
        copy_holder: None,
        copy_source: None,
        last_event: request.metadata.last_event,
    };
    let bytes = request.bytes(context.dialect.as_ref(), &terms);
    // Counted before the first byte can leave, so that the time limit around this never says
    // "not run" of a request that was being written.
    log.ran.fetch_add(1, atomic::Ordering::Relaxed);
    context.counters.count("relay.attempt");
    let sent = attempt::send(lease.endpoint.address, &bytes).await;
    let Ok(mut open) = sent else {
        log.ran.fetch_sub(1, atomic::Ordering::Relaxed);
        lease.observe(fleet::EndpointObservation::Failed);
        return (retry::AttemptOutcome::NotRun, None);
    };
    let answer = match open.head().await {
        Ok(head) => {
            lease.observe_notice(head.status, context.dialect.response_metadata(&head).notice);
            open.whole(&request.head.method, head, &context.memory)
                .await
        }
        Err(error) => Err(error),
    };
    let Ok(answer) = answer else {
        lease.observe(fleet::EndpointObservation::Failed);
        return (retry::AttemptOutcome::Lost, None);
    };
    let end = classify_response(context, request, &answer);
    match end {
        retry::AttemptOutcome::NotRun => {
            log.ran.fetch_sub(1, atomic::Ordering::Relaxed);
            lease.observe(refusal_observation(answer.head.status));
            (end, None)
        }
        retry::AttemptOutcome::Lost => {
            lease.observe(fleet::EndpointObservation::Failed);
            (end, None)
        }
        retry::AttemptOutcome::Answered(_) => {
            lease.observe(fleet::EndpointObservation::Answered);
            (end, Some(answer))
        }
    }
}

/// What a refusal as not run shows of the endpoint.
pub(super) fn refusal_observation(status: u16) -> fleet::EndpointObservation {
    if status == 421 {
        return fleet::EndpointObservation::Replaced;
    }
    fleet::EndpointObservation::Full
}

/// What a whole answer is worth: only one that names this request and is vouched for counts.
pub(super) fn classify_response(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    answer: &attempt::FullResponse,
) -> retry::AttemptOutcome {
    let marks = context.dialect.response_metadata(&answer.head);
    let is_foreign = |id: &String| *id != request.metadata.id;
    if marks.request.as_ref().is_some_and(is_foreign) {
        return retry::AttemptOutcome::Lost;
    }
    if marks.is_not_run || answer.head.status == 421 {
        return retry::AttemptOutcome::NotRun;
    }
    // These statuses promise that nothing ran, which this endpoint did not state.
    if matches!(answer.head.status, 408 | 429 | 503) {
        return retry::AttemptOutcome::Lost;
    }
    let is_success = (200..300).contains(&answer.head.status);
    if marks.is_altered || (is_success && (!marks.is_sealed || marks.request.is_none())) {
        return retry::AttemptOutcome::Lost;
    }
    retry::AttemptOutcome::Answered(answer.head.status)
}
