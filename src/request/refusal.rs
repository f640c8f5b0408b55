//! Builds refusals of calls and converts them to and from their wire form.

use std::time;

use crate::connection::peer_wire;
use crate::request::copy;
use crate::request::verdict;

/// `Retry-After` delay of refusals due to an unavailable endpoint, platform or router.
pub const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Turns `not-run` into `may-have-run` unless this is the key's first send.
///
/// A router that has not asked the key's home cannot know whether an earlier copy of the call ran.
#[must_use]
pub fn qualify_refusal(
    mut refusal: verdict::RequestRefusal,
    first_send: bool,
) -> verdict::RequestRefusal {
    if !first_send {
        refusal.verdict = verdict::RunVerdict::MayHaveRun;
    }
    refusal
}

/// Wraps the refusal in a call outcome.
pub(crate) fn refused(refusal: verdict::RequestRefusal) -> peer_wire::CallOutcomeWire {
    peer_wire::CallOutcomeWire::Refused(refusal.into())
}

/// Refusal when the key could not be claimed in the table service.
pub(crate) fn refuse_claim(copy: &copy::CallCopy, message: &str) -> verdict::RequestRefusal {
    let message = format!("{message}; ask again with the same key");
    copy.refuse(503, verdict::RefusalCode::PlatformUnavailable, &message)
        .retry_after(RETRY_DELAY)
}

/// Refusal when the outcome of the call is unknown to the router that may send it.
pub(crate) fn refuse_forgotten() -> verdict::RequestRefusal {
    verdict::RequestRefusal::may_have_run(
        409,
        verdict::RefusalCode::OutcomeForgotten,
        "the outcome of the key is not known; look up its effect before a new key",
    )
}

/// Refusal when the router leaves and starts no more work.
pub(crate) fn refuse_closed() -> verdict::RequestRefusal {
    let message = "the router is leaving; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NotReady, message)
        .retry_after(RETRY_DELAY)
}

/// Refusal when the call was answered, but only its status is still stored.
pub(crate) fn refuse_trimmed(status: u16) -> verdict::RequestRefusal {
    verdict::RequestRefusal::may_have_run(
        409,
        verdict::RefusalCode::OutcomeForgotten,
        format!("the call was answered with {status}, the body is no longer kept; look it up"),
    )
}

impl From<verdict::RequestRefusal> for peer_wire::RefusalWire {
    fn from(refusal: verdict::RequestRefusal) -> Self {
        let millis = |delay: time::Duration| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self {
            status: refusal.status,
            code: refusal.code,
            verdict: refusal.verdict,
            message: refusal.message,
            retry_after_millis: refusal.retry_after.map(millis),
            home: refusal.home,
        }
    }
}

impl From<peer_wire::RefusalWire> for verdict::RequestRefusal {
    fn from(refusal: peer_wire::RefusalWire) -> Self {
        Self {
            status: refusal.status,
            code: refusal.code,
            verdict: refusal.verdict,
            message: refusal.message,
            retry_after: refusal.retry_after_millis.map(time::Duration::from_millis),
            home: refusal.home,
        }
    }
}
