//! The endpoints that requests may be sent to, with this router's own observations of each.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::process::endpoints::placement;
use crate::process::gateway::rollout::{known_versions, plan_book};
use crate::process::gateway::{
    boot_clock, endpoint_limit, endpoint_notice, endpoint_registry, fleet_entry,
};
use crate::process::telemetry::status;
use crate::request::relay::{fleet, request_rate, version_choice};

#[derive(Debug, Default)]
pub(super) struct FleetState {
    pub(super) entries: slotmap::SlotMap<fleet::EndpointKey, fleet_entry::FleetEntry>,
    by_service: collections::HashMap<String, Vec<fleet::EndpointKey>>,
    pub(super) by_incarnation:
        collections::HashMap<endpoint_notice::EndpointIncarnation, fleet::EndpointKey>,
    removed_notices: endpoint_notice::RemovedNotices,
    /// Orders of roll-outs; `None` where none are followed.
    orders: Option<sync::Arc<plan_book::PlanBook>>,
    versions: known_versions::KnownVersions,
}

/// Endpoints of all services, as one router sees them, with its in-flight requests at each.
#[derive(Debug)]
pub struct RouterFleet {
    pub(super) state: parking_lot::Mutex<FleetState>,
    policy: Box<dyn placement::PlacementPolicy>,
    zone: String,
    is_initialized: atomic::AtomicBool,
}

impl RouterFleet {
    /// Creates an empty fleet for a router in `zone`; `policy` chooses among eligible endpoints.
    #[must_use]
    pub fn new(zone: String, policy: Box<dyn placement::PlacementPolicy>) -> Self {
        Self {
            state: parking_lot::Mutex::default(),
            policy,
            zone,
            is_initialized: atomic::AtomicBool::default(),
        }
    }

    /// Holds back endpoints of a version that is new to its service until the orders in `book` have been
    /// read.
    #[must_use]
    pub fn with_orders(self, book: sync::Arc<plan_book::PlanBook>) -> Self {
        self.state.lock().orders = Some(book);
        self
    }

    /// Whether all endpoints of `service` have this version, and there are any.
    #[must_use]
    pub fn has_only(&self, service: &str, version: &str) -> bool {
        let state = self.state.lock();
        let keys = state.by_service.get(service);
        let is_only = |key: &fleet::EndpointKey| state.entries[*key].record.version == version;
        keys.is_some_and(|keys| !keys.is_empty() && keys.iter().all(is_only))
    }

    /// Requests in flight at the endpoints of `service` with other versions than `version`.
    #[must_use]
    pub fn in_flight_besides(&self, service: &str, version: &str) -> u64 {
        let state = self.state.lock();
        let keys = state.by_service.get(service).into_iter().flatten();
        let entries = keys.map(|key| &state.entries[*key]);
        let others = entries.filter(|entry| entry.record.version != version);
        others.map(|entry| u64::from(entry.in_flight)).sum()
    }

    /// Replaces the endpoints by those of the registry. What this router observed of an endpoint
    /// is kept as long as its incarnation is the same.
    pub fn update<'a>(&self, records: impl Iterator<Item = &'a endpoint_registry::EndpointRecord>) {
        let now = time::Instant::now();
        let mut state = self.state.lock();
        let mut added: collections::HashMap<(String, u64), fleet_entry::FleetEntry> =
            collections::HashMap::new();
        let mut keys: collections::HashMap<(String, u64), fleet::EndpointKey> =
            collections::HashMap::new();
        for (key, entry) in &state.entries {
            keys.insert(entry.incarnation(), key);
        }
        for record in records {
            let incarnation = (record.name.clone(), record.incarnation);
            if let Some(key) = keys.remove(&incarnation) {
                state.entries[key].record = record.clone();
                continue;
            }
            let notice = state.removed_notices.take(&incarnation);
            let entry = fleet_entry::FleetEntry::new(record.clone(), notice);
            added.insert(incarnation, entry);
        }
        for key in keys.into_values() {
            if let Some(entry) = state.entries.remove(key) {
                state
                    .removed_notices
                    .keep(entry.incarnation(), entry.notice, now);
            }
        }
        for entry in added.into_values() {
            state.entries.insert(entry);
        }
        state.rebuild_index();
        state.hold_new_versions();
        drop(state);
        // Set last: callers send requests as soon as this makes the router ready.
        self.is_initialized.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether a list of endpoints, possibly empty, is in place.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.is_initialized.load(atomic::Ordering::SeqCst)
    }

    /// Number of known endpoints, and number of those that accept new requests.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock();
        let now = time::Instant::now();
        let open = state.entries.values().filter(|entry| entry.is_open(now));
        (state.entries.len(), open.count())
    }

    /// State of each endpoint for operators, sorted by name. Fields from engine reports are empty,
    /// as this router fetches reports for single requests and does not keep them.
    #[must_use]
    pub fn statuses(&self, now: time::Instant) -> Vec<status::EndpointStatus> {
        let state = self.state.lock();
        let entries = state.entries.values();
        let mut statuses: Vec<_> = entries.map(|entry| entry.status(now)).collect();
        drop(state);
        statuses.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        statuses
    }

    fn pick(
        &self,
        state: &FleetState,
        query: &fleet::EndpointQuery<'_>,
    ) -> Option<fleet::EndpointKey> {
        if let Some(key) = query.only {
            let entry = state.entries.get(key)?;
            return state
                .suits(entry, query, time::Instant::now())
                .then_some(key);
        }
        let keys = state.eligible(query);
        let candidates: Vec<placement::Candidate> = keys
            .iter()
            .map(|key| state.entries[*key].candidate(&self.zone))
            .collect();
        let request = placement::PlacementRequest::default();
        let chosen = self
            .policy
            .choose(&request, &candidates, &mut fastrand::Rng::new())?;
        Some(keys[chosen])
    }
}

impl FleetState {
    /// Endpoints that may be chosen. Failed ones and those of the zone to avoid are included only
    /// if no others are left.
    fn eligible(&self, query: &fleet::EndpointQuery<'_>) -> Vec<fleet::EndpointKey> {
        let now = time::Instant::now();
        let Some(keys) = self.by_service.get(query.service) else {
            return Vec::new();
        };
        let is_allowed = |key: &&fleet::EndpointKey| {
            !query.excluded.contains(key) && self.suits(&self.entries[**key], query, now)
        };
        let open: Vec<fleet::EndpointKey> = keys.iter().filter(is_allowed).copied().collect();
        let keys = self.best_rank(&open, query.versions, now);
        let avoided_zone = query.avoid_zone_of.and_then(|key| self.entries.get(key));
        let avoided_zone = avoided_zone.map(|entry| entry.record.zone.as_str());
        let is_elsewhere = |key: &&fleet::EndpointKey| {
            Some(self.entries[**key].record.zone.as_str()) != avoided_zone
        };
        let elsewhere: Vec<fleet::EndpointKey> =
            keys.iter().filter(is_elsewhere).copied().collect();
        if elsewhere.is_empty() {
            keys
        } else {
            elsewhere
        }
    }

    /// Whether a request may be sent to the endpoint of `entry`.
    fn suits(
        &self,
        entry: &fleet_entry::FleetEntry,
        query: &fleet::EndpointQuery<'_>,
        now: time::Instant,
    ) -> bool {
        entry.suits(query, now) && !self.is_held(entry)
    }

    /// Whether an order that forbids the use of the endpoint may be unknown.
    fn is_held(&self, entry: &fleet_entry::FleetEntry) -> bool {
        let (Some(orders), Some(since)) = (&self.orders, entry.held_since) else {
            return false;
        };
        !orders.has_orders_since(since)
    }

    /// The best of `open`. An endpoint that recently failed is better than none.
    fn best_rank(
        &self,
        open: &[fleet::EndpointKey],
        versions: &version_choice::VersionFilter,
        now: time::Instant,
    ) -> Vec<fleet::EndpointKey> {
        let rank = |key: fleet::EndpointKey| {
            let entry = &self.entries[key];
            let is_avoided = entry.is_avoided(now);
            (is_avoided, !versions.drawn.allows(&entry.record.version))
        };
        let ranked: Vec<_> = open.iter().map(|key| (rank(*key), *key)).collect();
        let best = ranked.iter().map(|(rank, _key)| *rank).min();
        let ranked = ranked.into_iter();
        let keys = ranked.filter(|(rank, _key)| Some(*rank) == best);
        keys.map(|(_rank, key)| key).collect()
    }

    /// Marks endpoints of versions that are new to their service.
    fn hold_new_versions(&mut self) {
        if self.orders.is_none() {
            return;
        }
        let records = self.entries.values().map(|entry| &entry.record);
        self.versions.learn(records, boot_clock::BootInstant::now());
        for entry in self.entries.values_mut() {
            let record = &entry.record;
            entry.held_since = self.versions.learned_at(&record.service, &record.version);
        }
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();
        self.by_incarnation.clear();
        for (key, entry) in &self.entries {
            self.by_incarnation.insert(entry.incarnation(), key);
            let service = entry.record.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
    }

    fn chosen_endpoint(&self, key: fleet::EndpointKey) -> Option<fleet::ChosenEndpoint> {
        let entry = self.entries.get(key)?;
        Some(fleet::ChosenEndpoint {
            key,
            name: entry.record.name.clone(),
            incarnation: entry.record.incarnation,
            address: entry.record.address,
            zone: entry.record.zone.clone(),
            version: entry.record.version.clone(),
            is_limited: entry.notice.limit.rate().is_some(),
        })
    }
}

impl fleet::EndpointFleet for RouterFleet {
    fn acquire(&self, query: &fleet::EndpointQuery<'_>) -> Option<fleet::ChosenEndpoint> {
        let mut state = self.state.lock();
        let key = self.pick(&state, query)?;
        let entry = &mut state.entries[key];
        entry.record_send(time::Instant::now());
        state.chosen_endpoint(key)
    }

    fn sample(&self, query: &fleet::EndpointQuery<'_>, count: usize) -> Vec<fleet::ChosenEndpoint> {
        let state = self.state.lock();
        let mut keys = state.eligible(query);
        fastrand::shuffle(&mut keys);
        let keys = keys.into_iter().take(count);
        keys.filter_map(|key| state.chosen_endpoint(key)).collect()
    }

    fn has_version(&self, service: &str, versions: &version_choice::VersionFilter) -> bool {
        let state = self.state.lock();
        let keys = state.by_service.get(service).into_iter().flatten();
        let mut entries = keys.map(|key| &state.entries[*key]);
        entries.any(|entry| !entry.is_leaving() && versions.allows(&entry.record.version))
    }

    fn is_healthy(&self, key: fleet::EndpointKey) -> bool {
        let state = self.state.lock();
        let entry = state.entries.get(key);
        let now = time::Instant::now();
        entry.is_some_and(|entry| {
            entry.is_open(now) && entry.failures == 0 && !entry.is_replaced(now)
        })
    }

    fn is_replaced(&self, key: fleet::EndpointKey) -> bool {
        let state = self.state.lock();
        let entry = state.entries.get(key);
        entry.is_none_or(|entry| entry.is_replaced(time::Instant::now()))
    }

    fn recent_requests(&self, key: fleet::EndpointKey, now: time::Instant) -> u32 {
        let mut state = self.state.lock();
        let entry = state.entries.get_mut(key);
        entry.map_or(0, |entry| entry.recent_requests(now))
    }

    fn pause_left(&self, service: &str, now: time::Instant) -> Option<time::Duration> {
        let state = self.state.lock();
        let keys = state.by_service.get(service)?;
        let entries = keys.iter().map(|key| &state.entries[*key]);
        let staying = entries.filter(|entry| !entry.is_leaving());
        let pauses: Option<Vec<time::Duration>> =
            staying.map(|entry| entry.wait_left(now)).collect();
        pauses?.into_iter().min()
    }

    fn release(&self, key: fleet::EndpointKey) {
        if let Some(entry) = self.state.lock().entries.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    fn record_limit(
        &self,
        key: fleet::EndpointKey,
        rate: Option<request_rate::RequestRate>,
        age: time::Duration,
    ) -> bool {
        let at = boot_clock::BootInstant::now().before(age);
        let observation = endpoint_limit::LimitObservation { rate, at };
        let mut state = self.state.lock();
        let entry = state.entries.get_mut(key);
        entry.is_some_and(|entry| entry.observe_limit(observation))
    }

    fn observe(
        &self,
        key: fleet::EndpointKey,
        observation: fleet::EndpointObservation,
        now: time::Instant,
    ) {
        if let Some(entry) = self.state.lock().entries.get_mut(key) {
            entry.observe(observation, now);
        }
    }
}
