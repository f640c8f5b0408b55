//! What a lost stream shows about its prompt: whether the engine crashed on it.

use std::sync;
use std::time;

use crate::request::relay::{attempt, context, prompt_guard, stream};
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

    /// Reports an engine that crashed when it began to answer. One that only closed the connection
    /// still answers a probe.
    pub(super) async fn report_crash(&self, lease: &context::EndpointLease, cause: LossCause) {
        let parts = self.request.metadata.shared_parts.as_slice();
        let progress = &self.progress;
        if cause != LossCause::Closed
            || !progress.has_head
            || progress.events > prompt_guard::MAX_CRASH_EVENTS
            || parts.is_empty()
        {
            return;
        }
        let running = progress.sent_at.elapsed();
        if attempt::is_alive(lease.endpoint.address, self.context.dialect.as_ref()).await {
            return;
        }
        let crash = prompt_guard::PromptCrash {
            request: &self.request.metadata.id,
            endpoint: &lease.endpoint.name,
            parts,
            running,
        };
        sync::Arc::clone(&self.context.prompts)
            .report_crash(crash)
            .await;
    }

    /// Records that the prompt has not crashed its engine: once the stream has got beyond its first
    /// events, and at its end.
    pub(super) fn record_success(&self) {
        let parts = &self.request.metadata.shared_parts;
        if !parts.is_empty() {
            self.context.prompts.record_success(parts);
        }
    }

    pub(super) fn log_loss(&self, lease: &context::EndpointLease, cause: LossCause) {
        let elapsed = self.progress.sent_at.elapsed();
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            cause:? = cause,
            has_head = self.progress.has_head,
            events = self.progress.events,
            partial_bytes = self.progress.partial_bytes,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            "stream lost"
        );
    }
}
