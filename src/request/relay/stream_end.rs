//! How an attempt of a stream ends, and what follows.

use crate::request::relay::{attempt, buffered, context, fleet, retry, stream, stream_loss};
use crate::request::verdict;

/// How one attempt at an engine ended.
#[derive(Debug)]
pub(super) enum StreamEnd {
    Complete,
    /// The endpoint sent a complete response that is not a stream.
    Response(attempt::FullResponse),
    /// The endpoint states that the request did not run there; holds what this reveals about it.
    NotRun(fleet::EndpointObservation),
    /// No connection; nothing was sent.
    Unsent,
    Lost(stream_loss::LossCause),
    CallerGone,
}

/// What follows the end of an attempt.
pub(super) enum AttemptConclusion {
    Served,
    CallerGone,
    Response(attempt::FullResponse),
    Step(retry::NextStep),
}

impl stream::StreamRelay<'_> {
    /// Whether the request may have run; `is_sent` tells that an attempt is under way.
    pub(super) fn verdict(&self, is_sent: bool) -> verdict::RunVerdict {
        if self.possible_runs == 0 && !is_sent {
            return verdict::RunVerdict::NotRun;
        }
        verdict::RunVerdict::MayHaveRun
    }

    pub(super) fn finish_attempt(
        &mut self,
        lease: &context::EndpointLease,
        end: StreamEnd,
        is_from_copy: bool,
    ) -> AttemptConclusion {
        if !matches!(end, StreamEnd::Complete | StreamEnd::CallerGone) {
            self.versions.record_failure(&lease.endpoint.version);
        }
        let outcome = match end {
            StreamEnd::Complete => {
                self.record_success();
                self.copies.release(&self.context.dialect);
                lease.observe(fleet::EndpointObservation::Answered);
                return AttemptConclusion::Served;
            }
            StreamEnd::CallerGone => {
                self.copies.release(&self.context.dialect);
                return AttemptConclusion::CallerGone;
            }
            StreamEnd::NotRun(observation) => {
                // A holder that has lost the copy can still run the whole prompt.
                if !is_from_copy || observation == fleet::EndpointObservation::Replaced {
                    self.excluded.push(lease.endpoint.key);
                    lease.observe(observation);
                }
                retry::AttemptOutcome::NotRun
            }
            StreamEnd::Unsent => {
                self.excluded.push(lease.endpoint.key);
                lease.observe(fleet::EndpointObservation::Failed);
                retry::AttemptOutcome::NotRun
            }
            StreamEnd::Lost(cause) => {
                self.log_loss(lease, cause);
                self.possible_runs += 1;
                self.excluded.push(lease.endpoint.key);
                lease.observe(fleet::EndpointObservation::Failed);
                self.context.counters.count("relay.stream_lost");
                retry::AttemptOutcome::Lost
            }
            StreamEnd::Response(response) => {
                self.possible_runs += 1;
                self.excluded.push(lease.endpoint.key);
                let outcome = buffered::classify_response(self.context, self.request, &response);
                let state = self.retry_state();
                if retry::next_step(outcome, &state) == retry::NextStep::Deliver {
                    return AttemptConclusion::Response(response);
                }
                outcome
            }
        };
        let step = retry::next_step(outcome, &self.retry_state());
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            end:? = outcome,
            step:? = step,
            last_event:? = self.cursor.last();
            "stream attempt ended"
        );
        AttemptConclusion::Step(step)
    }

    /// Whether another engine may continue the stream if the current attempt is lost.
    pub(super) fn may_resume_elsewhere(&self) -> bool {
        let state = retry::RetryState {
            possible_runs: self.possible_runs + 1,
            ..self.retry_state()
        };
        retry::next_step(retry::AttemptOutcome::Lost, &state) == retry::NextStep::Repeat
    }

    fn retry_state(&self) -> retry::RetryState {
        let mut kind = self.request.route.kind;
        if !self.cursor.can_resume() {
            kind = crate::version::traffic::RepeatKind::Once;
        }
        retry::RetryState {
            kind,
            possible_runs: self.possible_runs,
            // Engines that refuse a stream that has begun do not end it.
            attempts: if self.is_interrupted() {
                self.possible_runs
            } else {
                self.attempts
            },
            max_runs: self.request.route.attempts,
            has_time: !self.request.time_left().is_zero(),
        }
    }
}
