//! Forwarding of calls to the home router of their key.

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

/// Time between probes of the home while its answer is awaited.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Limit for the reply to a probe.
const PROBE_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Time for which a forward goes on past the deadline, so that the home's own answer comes first.
const FORWARD_GRACE: time::Duration = time::Duration::from_millis(200);

/// Time after which a caller may ask again when a home may be reachable once more.
const HOME_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Forwards `copy` to `home` and returns what became of it.
///
/// A home that is unknown, dead or unreachable is not waited for.
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
    match ask(state, copy, &member.peer_address, home).await {
        Ok(peer_wire::ReplyBody::Call(outcome)) => outcome,
        Ok(_reply) => refusal::refused(refuse_silent(home)),
        Err(peer::PeerError::NotSent(_message)) => {
            refusal::refused(refuse_unsent(state, copy, home))
        }
        Err(peer::PeerError::NoReply(_message)) => refusal::refused(refuse_silent(home)),
    }
}

/// Asks the home, and probes it meanwhile so that a silent link is noticed.
async fn ask(
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
    let silence = notice_silence(state, address, home).boxed();
    match future::select(answer, silence).await {
        future::Either::Left((answer, _silence)) => answer,
        future::Either::Right((error, _answer)) => Err(error),
    }
}

/// Ends when a probe of `address` goes unanswered.
async fn notice_silence(
    state: &call::RunnerState,
    address: &str,
    home: &key::HomeName,
) -> peer::PeerError {
    loop {
        async_std::task::sleep(PROBE_INTERVAL).await;
        let probe = peer_wire::QueryBody::Probe {
            router: home.router.clone(),
        };
        let reply = state.link.ask(address, probe, PROBE_LIMIT).await;
        if let Err(error) = reply {
            return peer::PeerError::NoReply(error.to_string());
        }
    }
}

/// The call never left this router.
fn refuse_unsent(
    state: &call::RunnerState,
    copy: &copy::CallCopy,
    home: &key::HomeName,
) -> verdict::RequestRefusal {
    if !copy.call.first_send {
        return refuse_silent(home);
    }
    let message = format!("home {home} cannot be reached; make a new key with the given home");
    verdict::RequestRefusal::not_run(421, verdict::RefusalCode::WrongHome, message)
        .home(state.members.home().to_string())
        .retry_after(refusal::RETRY_DELAY)
}

/// Only the home knows what became of the call.
fn refuse_silent(home: &key::HomeName) -> verdict::RequestRefusal {
    let message = format!("home {home} cannot be reached; ask again later with the same key");
    verdict::RequestRefusal::may_have_run(502, verdict::RefusalCode::HomeUnreachable, message)
        .retry_after(HOME_RETRY_DELAY)
}
