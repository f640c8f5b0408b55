//! Sends a call to the endpoints of its service, with or without retries.

use std::sync;
use std::time;

use async_std::task;

use crate::connection::http;
use crate::connection::peer_wire;
use crate::connection::service;
use crate::process::telemetry::timeline;
use crate::request::call;
use crate::request::copy;
use crate::request::refusal;
use crate::request::verdict;

/// Maximum time a call waits while the router catches up after a pause. Waiting is preferred
/// because a refusal by the home router would use up the key.
const GATE_WAIT_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Interval between checks of a closed send gate.
const GATE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Sends a non-idempotent call; it is not retried once any byte of it has been sent.
pub(crate) async fn run_once(
    state: &call::RunnerState,
    copy: &copy::CallCopy,
) -> peer_wire::CallOutcomeWire {
    // The key table counts the call as running by now.
    if !state.gate.may_start() {
        return refusal::refused(refusal::refuse_closed());
    }
    let mut excluded = Vec::new();
    for _try in 0..state.limits.max_tries {
        if let Some(refusal) = refuse_send(state, copy.deadline).await {
            return refusal::refused(refusal);
        }
        let terms = terms(state, copy.deadline, state.limits.answer);
        let Some(result) = try_endpoint(state, &copy.call, &terms, &excluded).await else {
            break;
        };
        match result {
            Ok(answer) => return answered(answer),
            Err(failure) if failure.error.bytes_sent == 0 => {
                excluded.extend(failure.failed_endpoint());
            }
            Err(failure) => return refusal::refused(refuse_failed_exchange(&failure.error)),
        }
    }
    let refusal = refuse_send(state, copy.deadline).await;
    refusal::refused(refusal.unwrap_or_else(refuse_no_endpoint))
}

/// Sends an idempotent call, retrying on other endpoints until the deadline.
pub(crate) async fn run_idempotent(
    state: &sync::Arc<call::RunnerState>,
    call: peer_wire::CallWire,
) -> peer_wire::CallOutcomeWire {
    let started = time::Instant::now();
    let limit = time::Duration::from_millis(call.deadline_millis);
    let deadline = started.checked_add(limit).unwrap_or(started);
    let mut excluded = Vec::new();
    let mut last = None;
    for _try in 0..state.limits.max_tries {
        if let Some(refusal) = refuse_send(state, deadline).await {
            return refusal::refused(last.unwrap_or(refusal));
        }
        if !excluded.is_empty() && !state.budget.withdraw(time::Instant::now()) {
            break;
        }
        let left = deadline.saturating_duration_since(time::Instant::now());
        let terms = terms(state, deadline, attempt_limit(left, excluded.len(), state));
        let Some(result) = try_endpoint(state, &call, &terms, &excluded).await else {
            break;
        };
        match result {
            Ok(answer) => {
                state.budget.deposit(time::Instant::now());
                return answered(answer);
            }
            Err(failure) => {
                last = Some(combine_failures(last, &failure.error));
                excluded.extend(failure.failed_endpoint());
            }
        }
    }
    refusal::refused(last.unwrap_or_else(refuse_no_endpoint))
}

#[derive(Debug)]
struct TryFailure {
    endpoint: String,
    error: http::ExchangeError,
    /// Whether this router's own gate or deadline kept every byte of the request back.
    is_withheld: bool,
}

impl TryFailure {
    /// The endpoint, if it is at fault.
    fn failed_endpoint(self) -> Option<String> {
        (!self.is_withheld).then_some(self.endpoint)
    }
}

/// Sends the call to one endpoint that is not excluded; `None` if no such endpoint is available.
async fn try_endpoint(
    state: &call::RunnerState,
    call: &peer_wire::CallWire,
    terms: &service::SendTerms,
    excluded: &[String],
) -> Option<Result<service::ServiceAnswer, TryFailure>> {
    let lease = state.endpoints.pick(&call.service, excluded)?;
    let endpoint = lease.name().to_owned();
    let event = timeline::EventKind::CallSent {
        endpoint: endpoint.clone(),
    };
    state.ring.record(Some(&call.key), event);
    match service::exchange(lease.address(), call, terms).await {
        Ok(answer) => {
            let event = timeline::EventKind::CallAnswered {
                status: answer.status,
            };
            state.ring.record(Some(&call.key), event);
            Some(Ok(answer))
        }
        Err(error) => {
            let is_blocked = error.stage == http::ExchangeStage::Withheld || !terms.allows_send();
            let is_withheld = error.bytes_sent == 0 && is_blocked;
            if !is_withheld {
                state.endpoints.report_failure(&endpoint);
            }
            Some(Err(TryFailure {
                endpoint,
                error,
                is_withheld,
            }))
        }
    }
}

fn terms(
    state: &call::RunnerState,
    deadline: time::Instant,
    answer_limit: time::Duration,
) -> service::SendTerms {
    let left = deadline.saturating_duration_since(time::Instant::now());
    service::SendTerms {
        send_before: deadline,
        gate: sync::Arc::clone(&state.gate),
        connect_limit: state.limits.connect.min(left),
        answer_limit,
        max_answer_bytes: state.limits.max_answer_bytes,
    }
}

/// Time limit of one attempt: an equal share of the time left, so that an unresponsive endpoint
/// leaves time to retry on others.
fn attempt_limit(
    left: time::Duration,
    failures: usize,
    state: &call::RunnerState,
) -> time::Duration {
    let tries = state.limits.max_tries.saturating_sub(failures).max(1);
    let tries = u32::try_from(tries).unwrap_or(1);
    state.limits.answer.min(left / tries)
}

/// Waits briefly for the send gate to open, then returns a refusal if the call may not be sent.
async fn refuse_send(
    state: &call::RunnerState,
    deadline: time::Instant,
) -> Option<verdict::RequestRefusal> {
    wait_for_gate(&*state.gate, deadline).await;
    if time::Instant::now() >= deadline {
        let message = "the deadline expired before the call was sent; use a longer deadline";
        let code = verdict::RefusalCode::DeadlineExceeded;
        return Some(verdict::RequestRefusal::not_run(504, code, message));
    }
    if !state.gate.may_send() {
        let message = "the router is catching up after a pause; retry";
        let code = verdict::RefusalCode::NotReady;
        let refusal = verdict::RequestRefusal::not_run(503, code, message);
        return Some(refusal.retry_after(refusal::RETRY_DELAY));
    }
    None
}

/// Waits until the gate opens, for at most [`GATE_WAIT_LIMIT`] and not past the deadline.
pub(crate) async fn wait_for_gate(gate: &dyn service::SendGate, deadline: time::Instant) {
    let until = deadline.min(time::Instant::now() + GATE_WAIT_LIMIT);
    while !gate.may_send() && time::Instant::now() < until {
        task::sleep(GATE_POLL_INTERVAL).await;
    }
}

fn refuse_no_endpoint() -> verdict::RequestRefusal {
    let message = "no endpoint of the service is reachable; retry";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NoEndpoint, message)
        .retry_after(refusal::RETRY_DELAY)
}

fn refuse_failed_exchange(error: &http::ExchangeError) -> verdict::RequestRefusal {
    let verdict = verdict::RunVerdict::from_bytes_sent(error.bytes_sent);
    let message = format!("{error}; check whether the call took effect before using a new key");
    let (status, code) = match error.stage {
        http::ExchangeStage::Timeout => (504, verdict::RefusalCode::DeadlineExceeded),
        http::ExchangeStage::Connect
        | http::ExchangeStage::Exchange
        | http::ExchangeStage::Withheld => (502, verdict::RefusalCode::EndpointFailed),
    };
    verdict::RequestRefusal::new(status, code, verdict, message)
}

/// Refusal for the latest failed attempt of an idempotent call; stays `MayHaveRun` if an earlier
/// attempt may have run.
fn combine_failures(
    last: Option<verdict::RequestRefusal>,
    error: &http::ExchangeError,
) -> verdict::RequestRefusal {
    let mut refusal = refuse_failed_exchange(error).retry_after(refusal::RETRY_DELAY);
    refusal.message = format!("{error}; retry");
    if last.is_some_and(|last| last.verdict == verdict::RunVerdict::MayHaveRun) {
        refusal.verdict = verdict::RunVerdict::MayHaveRun;
    }
    refusal
}

fn answered(answer: service::ServiceAnswer) -> peer_wire::CallOutcomeWire {
    peer_wire::CallOutcomeWire::Answered {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}
