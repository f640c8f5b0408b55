//! What a lost stream shows about its request: whether the engine crashed on it.

use std::time;

use crate::request::relay::{attempt, context, crash_report, request_guard, stream};
use crate::request::verdict;

/// Result of reading a stream.
pub(super) type Result<T> = std::result::Result<T, LossCause>;

/// Why a stream counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// The engine closed or reset the connection.
    Closed,
    /// The engine sent no event in time, or does not report the request as held.
    Unresponsive,
    /// The response is malformed or not the engine's own.
    Invalid,
}

impl From<attempt::AttemptError> for LossCause {
    fn from(error: attempt::AttemptError) -> Self {
        match error {
            attempt::AttemptError::Unsent | attempt::AttemptError::Closed => Self::Closed,
            attempt::AttemptError::Broken => Self::Invalid,
        }
    }
}

/// What the current attempt has received from its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptProgress {
    pub(super) sent_at: time::Instant,
    pub(super) has_head: bool,
    /// Complete events, also repeated ones; without comments.
    pub(super) events: u64,
    /// Bytes of an incomplete event.
    pub(super) partial_bytes: usize,
}

impl AttemptProgress {
    pub(super) fn new() -> Self {
        Self {
            sent_at: time::Instant::now(),
            has_head: false,
            events: 0,
            partial_bytes: 0,
        }
    }
}

impl stream::StreamRelay<'_> {
    pub(super) fn refuse_blocked(&self) -> Option<verdict::RequestRefusal> {
        self.context
            .refuse_blocked(self.request, self.verdict(false))
    }

    /// Reports an engine that crashed when it began to answer, or before. One that only closed the
    /// connection still answers a probe.
    pub(super) async fn report_crash(&self, lease: &context::EndpointLease, cause: LossCause) {
        let progress = &self.progress;
        if cause != LossCause::Closed || progress.events > request_guard::MAX_CRASH_EVENTS {
            return;
        }
        let times = crash_report::LossTimes::now(progress.sent_at);
        let (address, dialect) = (lease.endpoint.address, self.context.dialect.as_ref());
        let has_crashed = if progress.has_head {
            !attempt::is_alive(address, dialect).await
        } else {
            let probed = attempt::probe(address, dialect.report_path()).await;
            crash_report::is_crash(probed, times.running())
        };
        if has_crashed {
            crash_report::report(self.context, self.request, lease, times).await;
        }
    }

    /// Records that the request has not crashed its engine: once the stream has got beyond its first
    /// events, and at its end.
    pub(super) fn record_success(&self) {
        self.context.guard.record_success(&self.request.features);
    }

    pub(super) fn log_loss(&self, lease: &context::EndpointLease, cause: LossCause) {
        let elapsed = self.progress.sent_at.elapsed();
        if cause == LossCause::Unresponsive {
            self.context.counters.count(if self.has_healthy_copy() {
                "relay.silent_with_copy"
            } else {
                "relay.silent_without_copy"
            });
        }
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            cause:? = cause,
            has_head = self.progress.has_head,
            events = self.progress.events,
            partial_bytes = self.progress.partial_bytes,
            has_copy = self.has_healthy_copy(),
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            "stream lost"
        );
    }
}
