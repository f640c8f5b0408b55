//! Forwards calls to the home router of their idempotency key.

use std::time;

use futures::FutureExt as _;
use futures::future;

use crate::connection::peer;
use crate::connection::peer_wire;
use crate::process::telemetry::timeline;
use crate::request::attempt;
use crate::request::call;
use crate::request::copy;
use crate::request::key;
use crate::request::refusal;
use crate::request::verdict;

/// Interval between health probes of the home while its reply is pending.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Timeout of one probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Added to the deadline when waiting for the home, so that the home's own timeout fires first.
const FORWARD_GRACE: time::Duration = time::Duration::from_millis(200);

/// `Retry-After` delay of a refusal because the home is unreachable.
const HOME_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Forwards `copy` to `home` and returns the outcome.
///
/// Refuses without waiting when the home is unknown, dead or unreachable.
pub(crate) async fn forward(
    state: &call::RunnerState,
    copy: &copy::CallCopy,
    home: &key::HomeName,
) -> peer_wire::CallOutcomeWire {
    let Some(member) = state.members.find(&home.router) else {
        return refusal::refused(refuse_unsent(state, copy, home));
    };
    attempt::wait_for_gate(&*state.gate, copy.deadline).await;
    if copy.remaining().is_zero() || !state.gate.may_send() {
        let message = "the call was not forwarded in time; ask again";
        let code = verdict::RefusalCode::DeadlineExceeded;
        return refusal::refused(
            copy.refuse(504, code, message)
                .retry_after(refusal::RETRY_DELAY),
        );
    }
    let event = timeline::EventKind::CallForwarded {
        home: home.to_string(),
    };
    state.ring.record(Some(&copy.call.key), event);
    match ask_with_probes(state, copy, &member.peer_address, home).await {
        Ok(peer_wire::ReplyBody::Call(outcome)) => outcome,
        Ok(_reply) => refusal::refused(refuse_unreachable(home)),
        Err(peer::PeerError::NotSent(_message)) => {
            refusal::refused(refuse_unsent(state, copy, home))
        }
        Err(peer::PeerError::NoReply(_message)) => refusal::refused(refuse_unreachable(home)),
    }
}

/// Sends the call to the home and probes it meanwhile to detect a link that drops traffic.
async fn ask_with_probes(
    state: &call::RunnerState,
    copy: &copy::CallCopy,
    address: &str,
    home: &key::HomeName,
) -> peer::Result<peer_wire::ReplyBody> {
    let remaining = copy.remaining();
    let mut message = copy.call.clone();
    message.deadline_millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let query = peer_wire::QueryBody::Call(message);
    let answer = state.link.ask(address, query, remaining + FORWARD_GRACE);
    let probe_failure = wait_for_probe_failure(state, address, home).boxed();
    match future::select(answer, probe_failure).await {
        future::Either::Left((answer, _probe_failure)) => answer,
        future::Either::Right((error, _answer)) => Err(error),
    }
}

/// Probes `address` until a probe fails, and returns that error.
async fn wait_for_probe_failure(
    state: &call::RunnerState,
    address: &str,
    home: &key::HomeName,
) -> peer::PeerError {
    loop {
        async_std::task::sleep(PROBE_INTERVAL).await;
        let probe = peer_wire::QueryBody::Probe {
            router: home.router.clone(),
        };
        let reply = state.link.ask(address, probe, PROBE_TIMEOUT).await;
        if let Err(error) = reply {
            return peer::PeerError::NoReply(error.to_string());
        }
    }
}

/// Refusal when the call was not sent to the home.
///
/// Only a first send is certain not to have run; an earlier copy may have reached the home.
fn refuse_unsent(
    state: &call::RunnerState,
    copy: &copy::CallCopy,
    home: &key::HomeName,
) -> verdict::RequestRefusal {
    if !copy.call.first_send {
        return refuse_unreachable(home);
    }
    let message = format!("home {home} cannot be reached; make a new key with the given home");
    verdict::RequestRefusal::not_run(421, verdict::RefusalCode::WrongHome, message)
        .home(state.members.home().to_string())
        .retry_after(refusal::RETRY_DELAY)
}

/// Refusal when the home may have received a copy of the call and only it knows the outcome.
fn refuse_unreachable(home: &key::HomeName) -> verdict::RequestRefusal {
    let message = format!("home {home} cannot be reached; ask again later with the same key");
    verdict::RequestRefusal::may_have_run(502, verdict::RefusalCode::HomeUnreachable, message)
        .retry_after(HOME_RETRY_DELAY)
}
