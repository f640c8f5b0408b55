//! Relays requests whose answer is passed on whole.

use std::sync::atomic;
use std::time;

use async_std::future;

use crate::connection::h1::sink;
use crate::request::relay::{attempt, context, decision, dialect, fleet};
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
) -> context::RelayEnd {
    let log = AttemptLog::default();
    let answering = find_answer(context, request, &log);
    let found = match future::timeout(request.time_left(), answering).await {
        Ok(found) => found,
        Err(_elapsed) => Err(context.refuse_late(&request.service, log.verdict())),
    };
    match found {
        Err(refusal) => context::RelayEnd::Refused(refusal),
        Ok(answer) => deliver(sink, answer).await,
    }
}

/// Passes a whole answer on.
pub(super) async fn deliver(
    sink: &mut sink::AnswerSink,
    mut answer: attempt::WholeAnswer,
) -> context::RelayEnd {
    answer.head.headers.remove_hop_fields();
    match sink.send(&answer.head, &answer.body).await {
        Ok(()) => context::RelayEnd::Served(answer.head.status),
        Err(_gone) => context::RelayEnd::CallerGone,
    }
}

async fn find_answer(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    log: &AttemptLog,
) -> verdict::Result<attempt::WholeAnswer> {
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
        let terms = decision::RepeatTerms {
            kind: request.route.kind,
            ran: log.ran.load(atomic::Ordering::Relaxed),
            offered: offered + 1,
            attempts: request.route.attempts,
            has_time: !request.time_left().is_zero(),
        };
        let step = decision::next_step(end, &terms);
        log::info!(
            request = request.terms.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            end:? = end,
            step:? = step;
            "attempt ended"
        );
        fallback = answer.or(fallback);
        match step {
            decision::NextStep::Repeat => context.counters.count("relay.repeated"),
            decision::NextStep::Deliver => {
                return fallback
                    .ok_or_else(|| context.refuse_unserved(&request.service, log.verdict()));
            }
            decision::NextStep::GiveUp(ran) => {
                return fallback.ok_or_else(|| context.refuse_unserved(&request.service, ran));
            }
        }
    }
}

fn may_repeat(context: &context::RelayContext, request: &context::RelayRequest) -> bool {
    let urgency = context::RepeatUrgency::Fresh;
    let now = time::Instant::now();
    context.budget.withdraw(&request.service, urgency, now)
}

fn acquire(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    excluded: &[fleet::EndpointKey],
) -> Option<context::EndpointLease> {
    let need = fleet::ChoiceNeed {
        service: &request.service,
        excluded,
        apart_from: None,
        only: None,
    };
    context::EndpointLease::acquire(&context.fleet, &need)
}

async fn try_endpoint(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    lease: &context::EndpointLease,
    log: &AttemptLog,
) -> (decision::AttemptEnd, Option<attempt::WholeAnswer>) {
    let terms = dialect::SendTerms {
        time_left: request.time_left(),
        endpoint: &lease.endpoint.name,
        workspace: request.workspace.as_deref(),
        rank: None,
        copy_holder: None,
        copy_source: None,
        last_event: request.terms.last_event,
    };
    let bytes = request.bytes(context.dialect.as_ref(), &terms);
    // Counted before the first byte can leave, so that the time limit around this never says
    // "not run" of a request that was being written.
    log.ran.fetch_add(1, atomic::Ordering::Relaxed);
    context.counters.count("relay.attempt");
    let sent = attempt::send(lease.endpoint.address, &bytes).await;
    let Ok(mut open) = sent else {
        log.ran.fetch_sub(1, atomic::Ordering::Relaxed);
        lease.note(fleet::EndpointSign::Failed);
        return (decision::AttemptEnd::NotRun, None);
    };
    let answer = match open.head().await {
        Ok(head) => {
            lease.hear(head.status, context.dialect.answer_marks(&head).word);
            open.whole(&request.head.method, head, &context.room).await
        }
        Err(error) => Err(error),
    };
    let Ok(answer) = answer else {
        lease.note(fleet::EndpointSign::Failed);
        return (decision::AttemptEnd::Lost, None);
    };
    let end = judge(context, request, &answer);
    match end {
        decision::AttemptEnd::NotRun => {
            log.ran.fetch_sub(1, atomic::Ordering::Relaxed);
            lease.note(refusal_sign(answer.head.status));
            (end, None)
        }
        decision::AttemptEnd::Lost => {
            lease.note(fleet::EndpointSign::Failed);
            (end, None)
        }
        decision::AttemptEnd::Answered(_) => {
            lease.note(fleet::EndpointSign::Answered);
            (end, Some(answer))
        }
    }
}

/// What a refusal as not run shows of the endpoint.
pub(super) fn refusal_sign(status: u16) -> fleet::EndpointSign {
    if status == 421 {
        return fleet::EndpointSign::Replaced;
    }
    fleet::EndpointSign::Full
}

/// What a whole answer is worth: only one that names this request and is vouched for counts.
pub(super) fn judge(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    answer: &attempt::WholeAnswer,
) -> decision::AttemptEnd {
    let marks = context.dialect.answer_marks(&answer.head);
    let is_foreign = |id: &String| *id != request.terms.id;
    if marks.request.as_ref().is_some_and(is_foreign) {
        return decision::AttemptEnd::Lost;
    }
    if marks.is_not_run || answer.head.status == 421 {
        return decision::AttemptEnd::NotRun;
    }
    // These statuses promise that nothing ran, which this endpoint did not state.
    if matches!(answer.head.status, 408 | 429 | 503) {
        return decision::AttemptEnd::Lost;
    }
    let is_success = (200..300).contains(&answer.head.status);
    if marks.is_altered || (is_success && (!marks.is_sealed || marks.request.is_none())) {
        return decision::AttemptEnd::Lost;
    }
    decision::AttemptEnd::Answered(answer.head.status)
}
