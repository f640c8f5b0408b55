//! One endpoint as one router sees it: its entry, what it announced, and what attempts revealed.

use std::collections;
use std::time;

use crate::process::endpoints::{endpoint_entry, placement};
use crate::process::gateway::{boot_clock, endpoint_limit, endpoint_notice, endpoint_registry};
use crate::process::telemetry::status;
use crate::request::relay::{fleet, request_rate};

/// Time for which an endpoint is avoided after its first failure; doubles with each consecutive
/// one.
const INITIAL_AVOIDANCE: time::Duration = time::Duration::from_millis(400);

/// Longest time for which an endpoint is avoided after failures.
const MAX_AVOIDANCE: time::Duration = time::Duration::from_millis(1_600);

/// Time for which an endpoint that had no free capacity is avoided.
const FULL_AVOIDANCE: time::Duration = time::Duration::from_millis(100);

/// Time for which an endpoint is avoided after another one answered at its address. It matches the
/// time in which the store drops the entry of a dead endpoint. It is limited because a single
/// wrong answer would otherwise exclude the endpoint for good.
const REPLACED_AVOIDANCE: time::Duration = time::Duration::from_secs(4);

/// Time after sending for which a request may be missing from the engine's load report.
const REPORT_LAG: time::Duration = time::Duration::from_millis(250);

/// Permits for one endpoint that a router asks for at a time. More would not be granted at once.
const MAX_OPEN_ASKS: u32 = 4;

/// Delay for callers whose request no endpoint takes because so many permits are asked for.
const OPEN_ASK_WAIT: time::Duration = time::Duration::from_millis(50);

/// An endpoint and the newest observation of its limit.
pub(super) type KnownLimit = (
    endpoint_notice::EndpointIncarnation,
    endpoint_limit::LimitObservation,
);

/// One endpoint with this router's requests and observations.
#[derive(Debug)]
pub(super) struct FleetEntry {
    pub(super) record: endpoint_registry::EndpointRecord,
    pub(super) in_flight: u32,
    pub(super) failures: u32,
    /// When the version of the endpoint was learned of, if an order that forbids its use may be unknown.
    pub(super) held_since: Option<boot_clock::BootInstant>,
    avoided_until: Option<time::Instant>,
    /// Whether the last observation was of another endpoint at the address.
    was_replaced: bool,
    pub(super) notice: endpoint_notice::EndpointNotice,
    /// Until when no permit is asked for; only used while the endpoint limits its rate.
    pub(super) permits_denied_until: Option<time::Instant>,
    /// Permits that are being asked for.
    pub(super) open_asks: u32,
    /// When requests were sent, oldest first; entries older than [`REPORT_LAG`] are dropped.
    sent: collections::VecDeque<time::Instant>,
}

impl FleetEntry {
    /// Creates the entry of an endpoint that announced `notice` before, if anything.
    pub(super) fn new(
        record: endpoint_registry::EndpointRecord,
        notice: endpoint_notice::EndpointNotice,
    ) -> Self {
        Self {
            record,
            in_flight: 0,
            failures: 0,
            held_since: None,
            avoided_until: None,
            was_replaced: false,
            notice,
            permits_denied_until: None,
            open_asks: 0,
            sent: collections::VecDeque::new(),
        }
    }

    /// Counts a request that is about to be sent.
    pub(super) fn record_send(&mut self, now: time::Instant) {
        self.in_flight += 1;
        self.drop_old_sent(now);
        self.sent.push_back(now);
    }

    /// Number of requests sent within [`REPORT_LAG`].
    pub(super) fn recent_requests(&mut self, now: time::Instant) -> u32 {
        self.drop_old_sent(now);
        u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    /// Records what an attempt revealed.
    pub(super) fn observe(&mut self, observation: fleet::EndpointObservation, now: time::Instant) {
        match observation {
            fleet::EndpointObservation::Answered => {
                self.failures = 0;
                self.avoided_until = None;
                self.was_replaced = false;
            }
            fleet::EndpointObservation::Full => self.avoided_until = Some(now + FULL_AVOIDANCE),
            fleet::EndpointObservation::Failed => {
                let avoidance = INITIAL_AVOIDANCE * 2_u32.saturating_pow(self.failures.min(4));
                self.avoided_until = Some(now + avoidance.min(MAX_AVOIDANCE));
                self.failures = self.failures.saturating_add(1);
                log::warn!(
                    endpoint = self.record.name.as_str(),
                    failures = self.failures;
                    "endpoint failed; avoided for a while"
                );
            }
            fleet::EndpointObservation::Replaced => {
                self.avoided_until = Some(now + REPLACED_AVOIDANCE);
                self.was_replaced = true;
                log::warn!(
                    endpoint = self.record.name.as_str();
                    "another endpoint answers at the address"
                );
            }
            fleet::EndpointObservation::Leaving if self.notice.is_leaving => {}
            fleet::EndpointObservation::Leaving => {
                self.notice.is_leaving = true;
                log::info!(
                    endpoint = self.record.name.as_str(),
                    entry_says_leaving = self.record.is_leaving;
                    "endpoint says that it leaves; it gets nothing new"
                );
            }
            fleet::EndpointObservation::Pausing(pause) => {
                self.notice.pause(pause, now);
                log::info!(
                    endpoint = self.record.name.as_str(),
                    pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
                    is_cut = pause > endpoint_notice::MAX_PAUSE;
                    "endpoint wants no requests for a while"
                );
            }
        }
    }

    pub(super) fn incarnation(&self) -> endpoint_notice::EndpointIncarnation {
        (self.record.name.clone(), self.record.incarnation)
    }

    pub(super) fn known_limit(&self) -> Option<KnownLimit> {
        Some((self.incarnation(), self.notice.limit.newest()?))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.notice.is_leaving
    }

    pub(super) fn is_open(&self, now: time::Instant) -> bool {
        !self.is_leaving() && self.notice.accepts_requests(now)
    }

    /// Whether a request may be sent, or a permit for it be asked for if `query` allows that.
    pub(super) fn suits(&self, query: &fleet::EndpointQuery<'_>, now: time::Instant) -> bool {
        let is_limited = self.notice.limit.rate().is_some();
        self.is_open(now)
            && self.permit_wait(now).is_none()
            && !(is_limited && query.is_unlimited)
            && query.versions.allows(&self.record.version)
    }

    /// Time until a permit may be asked for; `None` when it may be now or none is needed.
    pub(super) fn permit_wait(&self, now: time::Instant) -> Option<time::Duration> {
        self.notice.limit.rate()?;
        if self.open_asks >= MAX_OPEN_ASKS {
            return Some(OPEN_ASK_WAIT);
        }
        let until = self.permits_denied_until.filter(|until| now < *until)?;
        Some(until.duration_since(now))
    }

    /// Time until the endpoint wants requests again; `None` when it does now.
    pub(super) fn wait_left(&self, now: time::Instant) -> Option<time::Duration> {
        self.notice.pause_left(now).max(self.permit_wait(now))
    }

    pub(super) fn is_avoided(&self, now: time::Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint is avoided because another one answers at its address.
    pub(super) fn is_replaced(&self, now: time::Instant) -> bool {
        self.was_replaced && self.is_avoided(now)
    }

    pub(super) fn status(&self, now: time::Instant) -> status::EndpointStatus {
        let state = if self.is_leaving() {
            endpoint_entry::EndpointState::Leaving
        } else if self.is_avoided(now) || !self.is_open(now) {
            endpoint_entry::EndpointState::Suspect
        } else {
            endpoint_entry::EndpointState::Serving
        };
        status::EndpointStatus {
            name: self.record.name.clone(),
            service: self.record.service.clone(),
            address: self.record.address.to_string(),
            zone: self.record.zone.clone(),
            state,
            running: 0,
            waiting: 0,
            slots: self.record.slots,
            in_flight: self.in_flight,
            versions: Vec::new(),
        }
    }

    /// Takes an observation of the endpoint's limit; returns whether the limit changed.
    pub(super) fn observe_limit(&mut self, observation: endpoint_limit::LimitObservation) -> bool {
        let is_changed = self.notice.limit.observe(observation);
        if is_changed {
            let age = boot_clock::BootInstant::now().since(observation.at);
            log::info!(
                endpoint = self.record.name.as_str(),
                requests_per_second:? = observation.rate.map(request_rate::RequestRate::per_second),
                age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                "endpoint changed its request limit"
            );
        }
        is_changed
    }

    fn drop_old_sent(&mut self, now: time::Instant) {
        let is_old = |sent_at: &time::Instant| now.duration_since(*sent_at) > REPORT_LAG;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }

    pub(super) fn candidate(&self, zone: &str) -> placement::Candidate {
        placement::Candidate {
            is_same_zone: self.record.zone == zone,
            in_flight: self.in_flight,
            in_flight_at_report: 0,
            reported_load: 0,
            slots: self.record.slots,
            cached_blocks: 0,
        }
    }
}
