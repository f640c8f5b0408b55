//! Notices that endpoints attach to their answers: that they are shutting down, want no requests
//! for a while, or limit the rate of requests.
//!
//! They cover endpoints that shut down while the store is unreachable or its list is stale, and
//! endpoints that stay full for seconds. A notice holds for one incarnation of an endpoint, even
//! if its entry in the store is removed and comes back. The time is an argument, and no I/O is
//! done.

use std::collections;
use std::time;

use crate::process::gateway::endpoint_limit;

/// Upper bound of a pause that an endpoint asks for. Longer ones are cut to it, so that one
/// malformed answer does not exclude an endpoint for good.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(60);

/// Time for which the notice of an endpoint is kept after its entry was removed; well above the
/// time in which entries that lapsed during a store outage come back.
const NOTICE_RETENTION: time::Duration = time::Duration::from_secs(120);

/// Maximum number of removed endpoints whose notices are kept; the oldest is evicted first.
const MAX_REMOVED_ENDPOINTS: usize = 4_096;

/// One incarnation of an endpoint: its name and start time, in milliseconds since the Unix epoch.
pub type EndpointIncarnation = (String, u64);

/// What one incarnation of an endpoint announced about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it is shutting down; never reset within an incarnation.
    pub is_leaving: bool,
    /// Until when it wants no requests; `None` if it never asked for a pause.
    pub paused_until: Option<time::Instant>,
    /// Rate of requests that it accepts from all routers together.
    pub limit: endpoint_limit::EndpointLimit,
}

impl EndpointNotice {
    /// Records a pause that begins at `now`. A shorter pause does not end an earlier one sooner.
    pub fn pause(&mut self, pause: time::Duration, now: time::Instant) {
        let until = now + pause.min(MAX_PAUSE);
        self.paused_until = Some(
            self.paused_until
                .map_or(until, |earlier| earlier.max(until)),
        );
    }

    /// Time until the endpoint wants requests again; `None` when it is not paused.
    #[must_use]
    pub fn pause_left(&self, now: time::Instant) -> Option<time::Duration> {
        let left = self.paused_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether requests may be sent to the endpoint.
    #[must_use]
    pub fn accepts_requests(&self, now: time::Instant) -> bool {
        !self.is_leaving && self.pause_left(now).is_none()
    }
}

/// Notices of endpoints whose entries were removed.
#[derive(Debug, Default)]
pub struct RemovedNotices {
    notices: collections::HashMap<EndpointIncarnation, EndpointNotice>,
    order: collections::VecDeque<(time::Instant, EndpointIncarnation)>,
}

impl RemovedNotices {
    /// Keeps the notice of an endpoint whose entry was removed, unless it is the default one, and
    /// evicts old notices.
    pub fn keep(
        &mut self,
        incarnation: EndpointIncarnation,
        notice: EndpointNotice,
        now: time::Instant,
    ) {
        if notice == EndpointNotice::default() {
            return;
        }
        self.notices.insert(incarnation.clone(), notice);
        self.order.push_back((now, incarnation));
        self.evict_old(now);
    }

    /// Removes and returns the notice of an endpoint whose entry came back; the default one if
    /// none is kept.
    pub fn take(&mut self, incarnation: &EndpointIncarnation) -> EndpointNotice {
        self.notices.remove(incarnation).unwrap_or_default()
    }

    fn evict_old(&mut self, now: time::Instant) {
        let is_old = |at: &time::Instant| now.duration_since(*at) > NOTICE_RETENTION;
        while let Some((at, _incarnation)) = self.order.front() {
            if !is_old(at) && self.order.len() <= MAX_REMOVED_ENDPOINTS {
                return;
            }
            if let Some((_at, incarnation)) = self.order.pop_front() {
                self.notices.remove(&incarnation);
            }
        }
    }
}
