//! The endpoints that requests may be sent to, with what this router saw of each.

use std::collections;
use std::sync::atomic;
use std::time;

use crate::process::endpoints::{endpoint_entry, placement};
use crate::process::gateway::{endpoint_notice, endpoint_registry};
use crate::process::telemetry::status;
use crate::request::relay::fleet;

/// Time for which an endpoint that failed is avoided; doubles with each failure in a row.
const FIRST_AVOIDANCE: time::Duration = time::Duration::from_millis(400);

/// Longest time for which an endpoint that failed is avoided.
const LONGEST_AVOIDANCE: time::Duration = time::Duration::from_millis(1_600);

/// Time for which an endpoint that had no room is avoided.
const FULL_AVOIDANCE: time::Duration = time::Duration::from_millis(100);

/// Time for which an endpoint is avoided at whose address another one answered: that in which the
/// entry of an endpoint that is gone lapses. Not for good, or one wrong answer would shut it out.
const REPLACED_AVOIDANCE: time::Duration = time::Duration::from_secs(4);

/// Age up to which a request sent may be missing in an engine's report.
const REPORT_LAG: time::Duration = time::Duration::from_millis(250);

#[derive(Debug)]
struct FleetEntry {
    record: endpoint_registry::EndpointRecord,
    in_flight: u32,
    failures: u32,
    avoided_until: Option<time::Instant>,
    word: endpoint_notice::EndpointNotice,
    sent: collections::VecDeque<time::Instant>,
}

#[derive(Debug, Default)]
struct FleetState {
    entries: slotmap::SlotMap<fleet::EndpointKey, FleetEntry>,
    by_service: collections::HashMap<String, Vec<fleet::EndpointKey>>,
    removed: endpoint_notice::RemovedNotices,
}

/// Endpoints of all services and this router's requests at them.
#[derive(Debug)]
pub struct RouterFleet {
    state: parking_lot::Mutex<FleetState>,
    policy: Box<dyn placement::PlacementPolicy>,
    zone: String,
    is_initialized: atomic::AtomicBool,
}

impl RouterFleet {
    /// An empty fleet of a router in `zone`.
    #[must_use]
    pub fn new(zone: String, policy: Box<dyn placement::PlacementPolicy>) -> Self {
        Self {
            state: parking_lot::Mutex::default(),
            policy,
            zone,
            is_initialized: atomic::AtomicBool::default(),
        }
    }

    /// Takes over what the book holds; what this router saw of a life of an endpoint stays.
    pub fn update<'a>(&self, records: impl Iterator<Item = &'a endpoint_registry::EndpointRecord>) {
        let now = time::Instant::now();
        let mut state = self.state.lock();
        let mut held: collections::HashMap<(String, u64), FleetEntry> = collections::HashMap::new();
        let mut keys: collections::HashMap<(String, u64), fleet::EndpointKey> =
            collections::HashMap::new();
        for (key, entry) in &state.entries {
            keys.insert(entry.life(), key);
        }
        for record in records {
            let life = (record.name.clone(), record.incarnation);
            if let Some(key) = keys.remove(&life) {
                state.entries[key].record = record.clone();
                continue;
            }
            let word = state.removed.take(&life);
            held.insert(
                life,
                FleetEntry {
                    record: record.clone(),
                    in_flight: 0,
                    failures: 0,
                    avoided_until: None,
                    word,
                    sent: collections::VecDeque::new(),
                },
            );
        }
        for key in keys.into_values() {
            if let Some(entry) = state.entries.remove(key) {
                state.removed.keep(entry.life(), entry.word, now);
            }
        }
        for entry in held.into_values() {
            state.entries.insert(entry);
        }
        state.index();
        drop(state);
        // Only now: whoever takes this router for ready sends at once.
        self.is_initialized.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether a list of endpoints was taken over, even an empty one.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.is_initialized.load(atomic::Ordering::SeqCst)
    }

    /// Endpoints known, and those of them that take new work.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock();
        let now = time::Instant::now();
        let open = state.entries.values().filter(|entry| entry.is_open(now));
        (state.entries.len(), open.count())
    }

    /// State of each endpoint for operators, by name. What an engine reports is asked for by request
    /// and not kept.
    #[must_use]
    pub fn statuses(&self, now: time::Instant) -> Vec<status::EndpointStatus> {
        let state = self.state.lock();
        let entries = state.entries.values();
        let mut statuses: Vec<_> = entries.map(|entry| entry.status(now)).collect();
        drop(state);
        statuses.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        statuses
    }

    fn pick(&self, state: &FleetState, need: &fleet::ChoiceNeed<'_>) -> Option<fleet::EndpointKey> {
        if let Some(key) = need.only {
            let entry = state.entries.get(key)?;
            return entry.is_open(time::Instant::now()).then_some(key);
        }
        let keys = state.wanted(need);
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
    /// Endpoints that a choice may fall on.
    fn wanted(&self, need: &fleet::ChoiceNeed<'_>) -> Vec<fleet::EndpointKey> {
        let now = time::Instant::now();
        let Some(keys) = self.by_service.get(need.service) else {
            return Vec::new();
        };
        let is_wanted = |key: &&fleet::EndpointKey| {
            !need.excluded.contains(key) && self.entries[**key].is_open(now)
        };
        let open: Vec<fleet::EndpointKey> = keys.iter().filter(is_wanted).copied().collect();
        let is_sound = |key: &&fleet::EndpointKey| !self.entries[**key].is_avoided(now);
        let sound: Vec<fleet::EndpointKey> = open.iter().filter(is_sound).copied().collect();
        // An endpoint that failed is better than none.
        let keys = if sound.is_empty() { open } else { sound };
        let other_zone = need.apart_from.and_then(|key| self.entries.get(key));
        let other_zone = other_zone.map(|entry| entry.record.zone.as_str());
        let is_apart = |key: &&fleet::EndpointKey| {
            Some(self.entries[**key].record.zone.as_str()) != other_zone
        };
        let apart: Vec<fleet::EndpointKey> = keys.iter().filter(is_apart).copied().collect();
        if apart.is_empty() { keys } else { apart }
    }

    fn index(&mut self) {
        self.by_service.clear();
        for (key, entry) in &self.entries {
            let service = entry.record.service.clone();
            self.by_service.entry(service).or_default().push(key);
        }
    }

    fn chosen(&self, key: fleet::EndpointKey) -> Option<fleet::ChosenEndpoint> {
        let entry = self.entries.get(key)?;
        Some(fleet::ChosenEndpoint {
            key,
            name: entry.record.name.clone(),
            address: entry.record.address,
            zone: entry.record.zone.clone(),
        })
    }
}

impl FleetEntry {
    fn life(&self) -> endpoint_notice::EndpointIncarnation {
        (self.record.name.clone(), self.record.incarnation)
    }

    fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.word.is_leaving
    }

    fn is_open(&self, now: time::Instant) -> bool {
        !self.is_leaving() && self.word.accepts_requests(now)
    }

    fn is_avoided(&self, now: time::Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    fn status(&self, now: time::Instant) -> status::EndpointStatus {
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

    fn forget_sent(&mut self, now: time::Instant) {
        let is_old = |sent: &time::Instant| now.duration_since(*sent) > REPORT_LAG;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }

    fn candidate(&self, zone: &str) -> placement::Candidate {
        placement::Candidate {
            near: self.record.zone == zone,
            in_flight: self.in_flight,
            in_flight_at_report: 0,
            reported: 0,
            slots: self.record.slots,
            cached_blocks: 0,
        }
    }
}

impl fleet::EndpointFleet for RouterFleet {
    fn acquire(&self, need: &fleet::ChoiceNeed<'_>) -> Option<fleet::ChosenEndpoint> {
        let mut state = self.state.lock();
        let key = self.pick(&state, need)?;
        let entry = &mut state.entries[key];
        entry.in_flight += 1;
        let now = time::Instant::now();
        entry.forget_sent(now);
        entry.sent.push_back(now);
        state.chosen(key)
    }

    fn sample(&self, need: &fleet::ChoiceNeed<'_>, count: usize) -> Vec<fleet::ChosenEndpoint> {
        let state = self.state.lock();
        let mut keys = state.wanted(need);
        fastrand::shuffle(&mut keys);
        let keys = keys.into_iter().take(count);
        keys.filter_map(|key| state.chosen(key)).collect()
    }

    fn is_sound(&self, key: fleet::EndpointKey) -> bool {
        let state = self.state.lock();
        let entry = state.entries.get(key);
        let now = time::Instant::now();
        entry.is_some_and(|entry| entry.is_open(now) && entry.failures == 0)
    }

    fn recent(&self, key: fleet::EndpointKey, now: time::Instant) -> u32 {
        let mut state = self.state.lock();
        let Some(entry) = state.entries.get_mut(key) else {
            return 0;
        };
        entry.forget_sent(now);
        u32::try_from(entry.sent.len()).unwrap_or(u32::MAX)
    }

    fn pause_left(&self, service: &str, now: time::Instant) -> Option<time::Duration> {
        let state = self.state.lock();
        let keys = state.by_service.get(service)?;
        let entries = keys.iter().map(|key| &state.entries[*key]);
        let staying = entries.filter(|entry| !entry.is_leaving());
        let pauses: Option<Vec<time::Duration>> =
            staying.map(|entry| entry.word.pause_left(now)).collect();
        pauses?.into_iter().min()
    }

    fn release(&self, key: fleet::EndpointKey) {
        if let Some(entry) = self.state.lock().entries.get_mut(key) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    fn note(&self, key: fleet::EndpointKey, sign: fleet::EndpointSign, now: time::Instant) {
        let mut state = self.state.lock();
        let Some(entry) = state.entries.get_mut(key) else {
            return;
        };
        match sign {
            fleet::EndpointSign::Answered => {
                entry.failures = 0;
                entry.avoided_until = None;
            }
            fleet::EndpointSign::Full => entry.avoided_until = Some(now + FULL_AVOIDANCE),
            fleet::EndpointSign::Failed => {
                let avoidance = FIRST_AVOIDANCE * 2_u32.saturating_pow(entry.failures.min(4));
                entry.avoided_until = Some(now + avoidance.min(LONGEST_AVOIDANCE));
                entry.failures = entry.failures.saturating_add(1);
                log::warn!(
                    endpoint = entry.record.name.as_str(),
                    failures = entry.failures;
                    "endpoint failed; avoided for a while"
                );
            }
            fleet::EndpointSign::Replaced => {
                entry.avoided_until = Some(now + REPLACED_AVOIDANCE);
                log::warn!(
                    endpoint = entry.record.name.as_str();
                    "another endpoint answers at the address"
                );
            }
            fleet::EndpointSign::Leaving if entry.word.is_leaving => {}
            fleet::EndpointSign::Leaving => {
                entry.word.is_leaving = true;
                log::info!(
                    endpoint = entry.record.name.as_str(),
                    entry_says_leaving = entry.record.is_leaving;
                    "endpoint says that it leaves; it gets nothing new"
                );
            }
            fleet::EndpointSign::Pausing(pause) => {
                entry.word.pause(pause, now);
                log::info!(
                    endpoint = entry.record.name.as_str(),
                    pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
                    is_cut = pause > endpoint_notice::MAX_PAUSE;
                    "endpoint wants no requests for a while"
                );
            }
        }
    }
}
