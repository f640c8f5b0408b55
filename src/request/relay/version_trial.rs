//! Counts one attempt for the version of its endpoint.

use std::time;

use crate::request::relay::{context, rollout, stream_end};

/// An attempt that was sent to an endpoint; in flight until it is dropped.
///
/// An attempt that is dropped without an answer counts as lost if the request ran out of time, as the
/// endpoint was too slow. It counts as nothing if the caller left or the process ends.
#[derive(Debug)]
pub(super) struct VersionTrial<'a> {
    context: &'a context::RelayContext,
    request: &'a context::RelayRequest,
    version: &'a str,
    sent_at: time::Instant,
    is_answered: bool,
}

impl<'a> VersionTrial<'a> {
    /// Counts an attempt that is about to be sent.
    pub(super) fn begin(
        context: &'a context::RelayContext,
        request: &'a context::RelayRequest,
        lease: &'a context::EndpointLease,
    ) -> Self {
        let version = lease.endpoint.version.as_str();
        let route = request.route.name.as_str();
        let versions = &context.versions;
        versions.record_sent(&request.service, version, route);
        Self {
            context,
            request,
            version,
            sent_at: time::Instant::now(),
            is_answered: false,
        }
    }

    /// Records an answer, the first event of a stream, or a loss.
    pub(super) fn record(&mut self, outcome: rollout::VersionOutcome) {
        self.is_answered = true;
        let latency = self.sent_at.elapsed();
        self.context.versions.record_answer(
            &self.request.service,
            self.version,
            &self.request.route.name,
            outcome,
            latency,
        );
    }

    /// Records the first event of a stream. That of a resumed one says nothing, as it comes sooner if
    /// the engine has a copy.
    pub(super) fn record_first_event(&mut self, is_resumed: bool) {
        if is_resumed {
            return self.exempt();
        }
        self.record(rollout::VersionOutcome::Status(200));
    }

    /// Records how an attempt of a stream ended. A loss after the first event counts too.
    pub(super) fn record_end(&mut self, end: &stream_end::StreamEnd) {
        match end {
            stream_end::StreamEnd::Lost(_) | stream_end::StreamEnd::Unsent => {
                self.record(rollout::VersionOutcome::Lost);
            }
            stream_end::StreamEnd::Response(response) => {
                self.record(rollout::VersionOutcome::Status(response.head.status));
            }
            stream_end::StreamEnd::NotRun(_)
            | stream_end::StreamEnd::CallerGone
            | stream_end::StreamEnd::Complete => self.exempt(),
        }
    }

    /// Keeps the attempt from being counted as an answer, as the endpoint stated that the request did
    /// not run, or the caller left. Endpoints refuse requests when they are full, whatever their version.
    pub(super) fn exempt(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for VersionTrial<'_> {
    fn drop(&mut self) {
        if !self.is_answered && self.request.time_left().is_zero() {
            self.record(rollout::VersionOutcome::Lost);
        }
        let (service, route) = (&self.request.service, &self.request.route.name);
        let versions = &self.context.versions;
        versions.record_end(service, self.version, route);
    }
}
