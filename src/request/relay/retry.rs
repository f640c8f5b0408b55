//! What to do after one attempt at an endpoint: pure decisions.

use crate::request::verdict;
use crate::version::traffic;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer of the endpoint with this status.
    Answered(u16),
    /// The endpoint states that the request did not run, or nothing was sent to it.
    NotRun,
    /// The request was sent and there is no whole answer.
    Lost,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the answer on.
    Deliver,
    /// Send the request to another endpoint.
    Repeat,
    /// Give up; the caller learns whether the request may have run.
    GiveUp(verdict::RunVerdict),
}

/// What is known of a request when an attempt ends.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// What may be repeated.
    pub kind: traffic::RepeatKind,
    /// Endpoints at which the request may have run, the last attempt included.
    pub possible_runs: u32,
    /// Endpoints that the request was offered to, the last attempt included.
    pub attempts: u32,
    /// Endpoints that it may run at, at most.
    pub max_runs: u32,
    /// Whether time is left for another attempt.
    pub has_time: bool,
}

/// Endpoints that refused a request before it is given back to the caller; answers load that sheds
/// at one endpoint while others have room, and bounds what one request costs all of them.
pub const MAX_ATTEMPTS: u32 = 6;

/// The step after an attempt that ended as `end`.
#[must_use]
pub fn next_step(end: AttemptOutcome, terms: &RetryState) -> NextStep {
    let may_offer = terms.has_time && terms.attempts < MAX_ATTEMPTS;
    let may_repeat = may_offer && terms.kind.may_repeat() && terms.possible_runs < terms.max_runs;
    let may_have_run = if terms.possible_runs == 0 {
        verdict::RunVerdict::NotRun
    } else {
        verdict::RunVerdict::MayHaveRun
    };
    match end {
        // A server error of one endpoint says little about the next one.
        AttemptOutcome::Answered(status) if status >= 500 && may_repeat => NextStep::Repeat,
        AttemptOutcome::Answered(_) => NextStep::Deliver,
        AttemptOutcome::NotRun if may_offer && (terms.possible_runs == 0 || may_repeat) => {
            NextStep::Repeat
        }
        AttemptOutcome::Lost if may_repeat => NextStep::Repeat,
        AttemptOutcome::NotRun | AttemptOutcome::Lost => NextStep::GiveUp(may_have_run),
    }
}
