//! Tells whether a lost connection was that of an endpoint that crashed, and reports the crash.

use std::sync;
use std::time;

use crate::request::relay::{attempt, context, request_guard};

/// Time for which an endpoint that still accepts connections must have had a request before its loss
/// counts as a crash. Where an endpoint has ended, something may go on to close new connections.
const MIN_RUNNING_TIME: time::Duration = time::Duration::from_millis(30);

/// Whether an endpoint that closed a connection `running` after a request was sent has crashed, given
/// its reaction to a new connection.
#[must_use]
pub(super) fn is_crash(probed: attempt::ProbeResult, running: time::Duration) -> bool {
    match probed {
        attempt::ProbeResult::Alive => false,
        attempt::ProbeResult::Closes => running >= MIN_RUNNING_TIME,
        attempt::ProbeResult::Refuses => true,
    }
}

/// When a request was sent to an endpoint and when it was lost there.
#[derive(Clone, Copy, Debug)]
pub(super) struct LossTimes {
    pub(super) sent_at: time::Instant,
    pub(super) lost_at: time::Instant,
}

impl LossTimes {
    /// Of a request that was sent at `sent_at` and is lost now.
    pub(super) fn now(sent_at: time::Instant) -> Self {
        let lost_at = time::Instant::now();
        Self { sent_at, lost_at }
    }

    pub(super) fn running(&self) -> time::Duration {
        self.lost_at.saturating_duration_since(self.sent_at)
    }
}

/// Reports the crash of an endpoint as one that any feature of the request may have caused.
pub(super) async fn report(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    lease: &context::EndpointLease,
    times: LossTimes,
) {
    let crash = request_guard::RequestCrash {
        request: &request.metadata.id,
        endpoint: &lease.endpoint.name,
        features: &request.features,
        running: times.running(),
        lost_for: times.lost_at.elapsed(),
    };
    sync::Arc::clone(&context.guard).report_crash(crash).await;
}
