//! Decides after each attempt whether to deliver the response, retry or give up; does no I/O.

use crate::request::verdict;
use crate::version::traffic;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint sent a complete response with this status.
    Answered(u16),
    /// The endpoint states that the request did not run, or nothing was sent.
    NotRun,
    /// The request was sent and no complete response came back.
    Lost,
}

/// Next step for a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Deliver the response to the caller.
    Deliver,
    /// Send the request to another endpoint.
    Repeat,
    /// Give up and tell the caller whether the request may have run.
    GiveUp(verdict::RunVerdict),
}

/// State of a request when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether the route allows the request to run more than once.
    pub kind: traffic::RepeatKind,
    /// Attempts at which the request may have run, including the last one.
    pub possible_runs: u32,
    /// All attempts so far, including the last one and those that were refused.
    pub attempts: u32,
    /// Maximum number of attempts at which the request may run.
    pub max_runs: u32,
    /// Whether the deadline leaves time for another attempt.
    pub has_time: bool,
}

/// Attempts, including refused ones, before the request is returned to the caller. Lets a request
/// pass an overloaded endpoint while others have capacity, and bounds the cost of one request to
/// all of them.
pub const MAX_ATTEMPTS: u32 = 6;

/// Returns the next step after an attempt with this `outcome`.
#[must_use]
pub fn next_step(outcome: AttemptOutcome, state: &RetryState) -> NextStep {
    let may_try_another = state.has_time && state.attempts < MAX_ATTEMPTS;
    let may_repeat =
        may_try_another && state.kind.may_repeat() && state.possible_runs < state.max_runs;
    let run_verdict = if state.possible_runs == 0 {
        verdict::RunVerdict::NotRun
    } else {
        verdict::RunVerdict::MayHaveRun
    };
    match outcome {
        // A server error at one endpoint does not predict one at the next.
        AttemptOutcome::Answered(status) if status >= 500 && may_repeat => NextStep::Repeat,
        AttemptOutcome::Answered(_) => NextStep::Deliver,
        AttemptOutcome::NotRun if may_try_another && (state.possible_runs == 0 || may_repeat) => {
            NextStep::Repeat
        }
        AttemptOutcome::Lost if may_repeat => NextStep::Repeat,
        AttemptOutcome::NotRun | AttemptOutcome::Lost => NextStep::GiveUp(run_verdict),
    }
}
