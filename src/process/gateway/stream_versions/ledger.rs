//! Which versions services have, and which one began each stream of this router; does no I/O.
//!
//! A caller takes a stream up at any router, also after all of them were killed. So the version of a
//! stream is written to the store, but only while its service has more than one version or had lately: a
//! few streams a second, where a roll-out is under way.

use std::collections;
use std::time;

use crate::process::gateway::boot_clock;

/// How long a stream may be taken up after its first event. Twice the usual timeout of a route.
pub const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Maximum number of streams that are remembered; the store knows those that were written.
const MAX_STREAMS: usize = 20_000;

/// Versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// Versions of the endpoints now.
    current: collections::BTreeSet<String>,
    /// When other versions were last seen.
    departed: collections::BTreeMap<String, boot_clock::BootInstant>,
}

/// Whether the store has the row of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowState {
    Unwritten,
    Written,
}

/// A stream that began at this router, or that it went on with.
#[derive(Clone, Debug)]
struct KnownStream {
    service: String,
    version: String,
    began_at: boot_clock::BootInstant,
    row: RowState,
    is_complete: bool,
}

/// A stream whose row has to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnwrittenStream {
    /// Id of the request that began it.
    pub request: String,
    /// Service name.
    pub service: String,
    /// Version that sent its first event.
    pub version: String,
    /// Time since its first event.
    pub age: time::Duration,
}

/// What the ledger knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerOrigin {
    /// It began at this version.
    Known(String),
    /// The service has had no other version than this one, as far as this router has seen.
    Sole(String),
    /// The service has no endpoint, and had none lately.
    NoEndpoint,
    /// The service has, or had, several versions.
    Mixed,
}

/// Versions of all services, and streams by the request that began them.
#[derive(Debug, Default)]
pub struct VersionLedger {
    services: collections::HashMap<String, ServiceVersions>,
    streams: collections::HashMap<String, KnownStream>,
}

impl VersionLedger {
    /// Replaces the versions that services have by those of `endpoints`, pairs of service and version.
    /// Returns whether rows have to be written because of it.
    pub fn observe<'a>(
        &mut self,
        endpoints: impl Iterator<Item = (&'a str, &'a str)>,
        now: boot_clock::BootInstant,
    ) -> bool {
        let mut current: collections::HashMap<&str, collections::BTreeSet<String>> =
            collections::HashMap::new();
        for (service, version) in endpoints {
            let versions = current.entry(service).or_default();
            if !versions.contains(version) {
                versions.insert(version.to_owned());
            }
        }
        for (service, known) in &mut self.services {
            let versions = current.remove(service.as_str()).unwrap_or_default();
            for version in std::mem::replace(&mut known.current, versions) {
                known.departed.insert(version, now);
            }
        }
        for (service, versions) in current {
            let known = self.services.entry(service.to_owned()).or_default();
            known.current = versions;
        }
        self.has_unwritten(now)
    }

    /// Adds a version that a service had at `seen_at`, as another router has written.
    pub fn add_departed(&mut self, service: &str, version: &str, seen_at: boot_clock::BootInstant) {
        let known = self.services.entry(service.to_owned()).or_default();
        let last = known.departed.entry(version.to_owned()).or_insert(seen_at);
        *last = seen_at.max(*last);
    }

    /// Records the first event of a stream. Returns whether a row has to be written.
    pub fn record(
        &mut self,
        request: &str,
        (service, version): (&str, &str),
        now: boot_clock::BootInstant,
    ) -> bool {
        if self.streams.len() >= MAX_STREAMS {
            self.expire(now);
        }
        if self.streams.len() < MAX_STREAMS && !self.streams.contains_key(request) {
            let stream = KnownStream {
                service: service.to_owned(),
                version: version.to_owned(),
                began_at: now,
                row: RowState::Unwritten,
                is_complete: false,
            };
            self.streams.insert(request.to_owned(), stream);
        }
        self.is_mixed(service, now)
    }

    /// Records that a stream is complete; its row is removed, or never written.
    pub fn complete(&mut self, request: &str) {
        let Some(stream) = self.streams.get_mut(request) else {
            return;
        };
        stream.is_complete = true;
        if stream.row == RowState::Unwritten {
            self.streams.remove(request);
        }
    }

    /// What is known of the stream of `service` that `request` began.
    #[must_use]
    pub fn origin(
        &self,
        service: &str,
        request: Option<&str>,
        now: boot_clock::BootInstant,
    ) -> LedgerOrigin {
        let stream = request.and_then(|request| self.streams.get(request));
        if let Some(stream) = stream.filter(|stream| stream.service == service) {
            return LedgerOrigin::Known(stream.version.clone());
        }
        let mut versions = self.recent_versions(service, now);
        match (versions.pop_first(), versions.is_empty()) {
            (None, _) => LedgerOrigin::NoEndpoint,
            (Some(version), true) => LedgerOrigin::Sole(version.to_owned()),
            (Some(_), false) => LedgerOrigin::Mixed,
        }
    }

    /// Streams whose rows have to be written, `count` at most.
    #[must_use]
    pub fn unwritten(&self, now: boot_clock::BootInstant, count: usize) -> Vec<UnwrittenStream> {
        let streams = self.unwritten_streams(now).take(count);
        let rows = streams.map(|(request, stream)| UnwrittenStream {
            request: request.clone(),
            service: stream.service.clone(),
            version: stream.version.clone(),
            age: now.since(stream.began_at),
        });
        rows.collect()
    }

    /// Requests whose rows can be removed, `count` at most.
    #[must_use]
    pub fn removable(&self, now: boot_clock::BootInstant, count: usize) -> Vec<String> {
        let is_removable = |stream: &KnownStream| {
            let is_old = now.since(stream.began_at) >= RETENTION;
            stream.row == RowState::Written && (stream.is_complete || is_old)
        };
        let streams = self.streams.iter();
        let streams = streams.filter(|(_request, stream)| is_removable(stream));
        let requests = streams.map(|(request, _stream)| request.clone());
        requests.take(count).collect()
    }

    /// Records that the store has the rows of these requests.
    pub fn set_written(&mut self, streams: &[UnwrittenStream]) {
        for written in streams {
            if let Some(stream) = self.streams.get_mut(&written.request) {
                stream.row = RowState::Written;
            }
        }
    }

    /// Records that the store no longer has the rows of these requests.
    pub fn set_removed(&mut self, requests: &[String]) {
        for request in requests {
            self.streams.remove(request);
        }
    }

    /// Records that the store was restored from a copy, which may lack rows.
    pub fn set_restored(&mut self) {
        for stream in self.streams.values_mut() {
            stream.row = RowState::Unwritten;
        }
    }

    /// Forgets streams that can no longer be taken up, and versions that no such stream began at.
    pub fn expire(&mut self, now: boot_clock::BootInstant) {
        let is_recent = |at: &boot_clock::BootInstant| now.since(*at) < RETENTION;
        self.streams.retain(|_request, stream| {
            stream.row == RowState::Written || is_recent(&stream.began_at)
        });
        for known in self.services.values_mut() {
            known
                .departed
                .retain(|_version, seen_at| is_recent(seen_at));
        }
        self.services
            .retain(|_service, known| !known.current.is_empty() || !known.departed.is_empty());
    }

    /// Versions that a stream of `service` that can be taken up may have begun at.
    fn recent_versions(
        &self,
        service: &str,
        now: boot_clock::BootInstant,
    ) -> collections::BTreeSet<&str> {
        let Some(known) = self.services.get(service) else {
            return collections::BTreeSet::new();
        };
        let departed = known.departed.iter();
        let departed = departed.filter(|(_version, seen_at)| now.since(**seen_at) < RETENTION);
        let departed = departed.map(|(version, _seen_at)| version.as_str());
        known
            .current
            .iter()
            .map(String::as_str)
            .chain(departed)
            .collect()
    }

    fn is_mixed(&self, service: &str, now: boot_clock::BootInstant) -> bool {
        self.recent_versions(service, now).len() > 1
    }

    fn unwritten_streams(
        &self,
        now: boot_clock::BootInstant,
    ) -> impl Iterator<Item = (&String, &KnownStream)> {
        let services = self.services.keys();
        let mixed: collections::HashSet<&str> = services
            .filter(|service| self.is_mixed(service, now))
            .map(String::as_str)
            .collect();
        let streams = self.streams.iter();
        streams.filter(move |(_request, stream)| {
            stream.row == RowState::Unwritten && mixed.contains(stream.service.as_str())
        })
    }

    fn has_unwritten(&self, now: boot_clock::BootInstant) -> bool {
        self.unwritten_streams(now).next().is_some()
    }
}
