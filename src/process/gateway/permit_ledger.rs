//! Shares out the request limits of endpoints among all routers, one request at a time.
//!
//! An endpoint's limit is for all routers together and can be far below one request a second for
//! each. Fixed shares would then be unused at most routers and too small at the few that have
//! requests. So one router, the endpoint's owner, grants a permit for each request. It answers any
//! load: a burst at one router, requests spread over all, retries and resumed streams alike.
//!
//! Routers may disagree for a few seconds about who the owner is. A new owner therefore begins with
//! no permits saved and at a part of the rate. The module does no I/O and takes the time as an
//! argument.

use std::collections;
use std::time;

use crate::process::gateway::{endpoint_limit, endpoint_notice};
use crate::process::limits::token_bucket;

/// Time for which a new owner grants at [`NEW_OWNER_SHARE`] of the rate; longer than news about a
/// member takes to reach all routers.
const NEW_OWNER_TIME: time::Duration = time::Duration::from_secs(6);

/// Share of the rate at which a new owner grants, as the owner before it may still grant.
const NEW_OWNER_SHARE: f64 = 0.25;

/// Permits saved while there are no requests: a number, and what accrues in some time.
const SAVED_PERMITS: f64 = 2.0;
const SAVED_TIME: time::Duration = time::Duration::from_millis(250);

/// Lowest rate of permits, in requests a second, so that an endpoint whose limit is zero still gets
/// the request whose answer shows that the limit ended.
const MIN_RATE: f64 = 0.2;

/// Asks for each permit above which refused routers wait for [`CROWDED_WAIT`] or longer, as each
/// ask costs both routers time.
const ASKS_PER_PERMIT: f64 = 4.0;

/// Shortest wait of a refused router while there are many asks.
const CROWDED_WAIT: time::Duration = time::Duration::from_millis(500);

/// Range of the wait of a refused router.
const WAIT_RANGE: [time::Duration; 2] = [
    time::Duration::from_millis(20),
    time::Duration::from_secs(2),
];

/// Time without asks after which an endpoint is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Maximum number of endpoints; further ones get no permits.
const MAX_ENDPOINTS: usize = 16_384;

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The endpoint has no limit any more.
    Unlimited,
    /// One request may be sent now.
    Granted,
    /// No request may be sent; a permit may be free after `wait`.
    Denied {
        /// Time after which to ask again.
        wait: time::Duration,
    },
}

/// Limits of the endpoints that this router owns.
#[derive(Debug, Default)]
pub struct PermitLedger {
    entries: collections::HashMap<endpoint_notice::EndpointIncarnation, LedgerEntry>,
}

#[derive(Debug)]
struct LedgerEntry {
    limit: endpoint_limit::EndpointLimit,
    owned_since: time::Instant,
    bucket: token_bucket::TokenBucket,
    asks: AskRate,
}

/// Estimate of the asks in the last second.
#[derive(Clone, Copy, Debug)]
struct AskRate {
    asks: f64,
    updated_at: time::Instant,
}

impl AskRate {
    fn record(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.asks = self.asks * (-elapsed.as_secs_f64()).exp() + 1.0;
        self.updated_at = now;
    }
}

impl PermitLedger {
    /// Takes an observation of an endpoint's limit; returns the newest one, or `None` if there are
    /// too many endpoints.
    pub fn observe(
        &mut self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        limit: endpoint_limit::LimitObservation,
        now: time::Instant,
    ) -> Option<endpoint_limit::LimitObservation> {
        let entry = self.entry(endpoint, now)?;
        entry.limit.observe(limit);
        entry.limit.newest()
    }

    /// Decides about one request to an endpoint whose limit was observed before.
    ///
    /// `reachable_share` is the share of the routers that this router can reach. The others may
    /// have an owner of their own.
    pub fn decide(
        &mut self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        reachable_share: f64,
        now: time::Instant,
    ) -> PermitDecision {
        let Some(entry) = self.entry(endpoint, now) else {
            let [_shortest, wait] = WAIT_RANGE;
            return PermitDecision::Denied { wait };
        };
        entry.decide(reachable_share, now)
    }

    /// Forgets an endpoint that another router owns now.
    pub fn forget(&mut self, endpoint: &endpoint_notice::EndpointIncarnation) {
        self.entries.remove(endpoint);
    }

    fn entry(
        &mut self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        now: time::Instant,
    ) -> Option<&mut LedgerEntry> {
        if !self.entries.contains_key(endpoint) {
            self.entries.retain(|_endpoint, entry| {
                now.saturating_duration_since(entry.asks.updated_at) < RETENTION
            });
            if self.entries.len() >= MAX_ENDPOINTS {
                log::warn!(endpoint = endpoint.0.as_str(); "too many endpoints with request limits");
                return None;
            }
            log::info!(endpoint = endpoint.0.as_str(); "this router shares out the request limit");
        }
        let entry = self.entries.entry(endpoint.clone());
        Some(entry.or_insert_with(|| LedgerEntry::new(now)))
    }
}

impl LedgerEntry {
    fn new(now: time::Instant) -> Self {
        let mut bucket = token_bucket::TokenBucket::new(0.0);
        // Permits accrue from now on, also before the first ask.
        bucket.refill(now, 0.0, 0.0);
        Self {
            limit: endpoint_limit::EndpointLimit::default(),
            owned_since: now,
            bucket,
            asks: AskRate {
                asks: 0.0,
                updated_at: now,
            },
        }
    }

    fn decide(&mut self, reachable_share: f64, now: time::Instant) -> PermitDecision {
        self.asks.record(now);
        let Some(limit) = self.limit.rate() else {
            return PermitDecision::Unlimited;
        };
        let is_new = now.saturating_duration_since(self.owned_since) < NEW_OWNER_TIME;
        let share = if is_new { NEW_OWNER_SHARE } else { 1.0 };
        let rate = limit.per_second().max(MIN_RATE) * share * reachable_share.clamp(0.0, 1.0);
        let max_saved = SAVED_PERMITS + rate * SAVED_TIME.as_secs_f64();
        self.bucket.refill(now, rate, max_saved);
        if self.bucket.take() {
            return PermitDecision::Granted;
        }
        PermitDecision::Denied {
            wait: self.wait(rate),
        }
    }

    /// Time until the next permit, longer when so many routers ask that most are refused.
    fn wait(&self, rate: f64) -> time::Duration {
        let [shortest, longest] = WAIT_RANGE;
        let crowding = self.asks.asks / (rate * ASKS_PER_PERMIT);
        let mut seconds = self.bucket.missing() / rate;
        if crowding > 1.0 {
            seconds = seconds.max(CROWDED_WAIT.as_secs_f64()) * crowding;
        }
        let wait = time::Duration::try_from_secs_f64(seconds);
        wait.unwrap_or(longest).clamp(shortest, longest)
    }
}
