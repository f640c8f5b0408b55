//! Request limits of endpoints, and the permits that are being asked for, as the fleet keeps them.

use std::time;

use crate::process::gateway::{endpoint_fleet, endpoint_limit, endpoint_notice, fleet_entry};
use crate::request::relay::fleet;

impl endpoint_fleet::RouterFleet {
    /// Begins to ask for a permit; returns the endpoint and its limit, or `None` if it has no limit
    /// any more. Ends with [`RouterFleet::end_ask`].
    pub(super) fn begin_ask(&self, key: fleet::EndpointKey) -> Option<fleet_entry::KnownLimit> {
        let mut state = self.state.lock();
        let entry = state.entries.get_mut(key)?;
        entry.notice.limit.rate()?;
        entry.open_asks += 1;
        entry.known_limit()
    }

    /// Ends what [`RouterFleet::begin_ask`] began.
    pub(super) fn end_ask(&self, key: fleet::EndpointKey) {
        if let Some(entry) = self.state.lock().entries.get_mut(key) {
            entry.open_asks = entry.open_asks.saturating_sub(1);
        }
    }

    /// The newest observation of the endpoint's limit; `None` if it never had one.
    pub(super) fn newest_limit(&self, key: fleet::EndpointKey) -> Option<fleet_entry::KnownLimit> {
        self.state.lock().entries.get(key)?.known_limit()
    }

    /// Takes an observation of the endpoint's limit that another router made.
    pub(super) fn merge_limit(
        &self,
        key: fleet::EndpointKey,
        observation: endpoint_limit::LimitObservation,
    ) {
        if let Some(entry) = self.state.lock().entries.get_mut(key) {
            entry.observe_limit(observation);
        }
    }

    /// As [`RouterFleet::merge_limit`], for an endpoint that another router names.
    pub(super) fn merge_named_limit(
        &self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        observation: endpoint_limit::LimitObservation,
    ) {
        let mut state = self.state.lock();
        let key = state.by_incarnation.get(endpoint).copied();
        if let Some(entry) = key.and_then(|key| state.entries.get_mut(key)) {
            entry.observe_limit(observation);
        }
    }

    /// Asks for no permit for the endpoint before `until`.
    pub(super) fn deny_permits(&self, key: fleet::EndpointKey, until: time::Instant) {
        if let Some(entry) = self.state.lock().entries.get_mut(key) {
            entry.permits_denied_until = Some(until);
        }
    }
}
