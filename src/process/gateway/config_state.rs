//! The configuration in force at a gateway, and when it was last known to be the newest.

use std::sync;
use std::time;

use crate::process::gateway::{boot_clock, freshness, node, parted_rows};
use crate::process::telemetry::timeline;
use crate::version::traffic;

/// What a gateway knows of the configuration.
#[derive(Debug, Default)]
pub struct ConfigState {
    /// The version in force; `None` until the store or a peer has sent one.
    pub version: Option<sync::Arc<traffic::TrafficVersion>>,
    /// Whether this process has known a version with keys, which callers may go on sending.
    pub has_known_keys: bool,
    /// The rows of this version, to be passed on to peers.
    pub rows: parted_rows::PartedRows,
    /// When the version in force was last known to be the newest.
    pub clock: freshness::FreshnessClock,
}

/// A decoded version that is not in force yet.
struct CandidateVersion {
    version: traffic::TrafficVersion,
    rows: parted_rows::PartedRows,
    /// Size of the whole version.
    bytes: usize,
    decode_time: time::Duration,
}

impl node::GatewayNode {
    pub(super) fn has_fresh_version(&self) -> bool {
        let state = self.config_state.lock();
        let now = boot_clock::BootInstant::now();
        state.version.is_some()
            && state
                .clock
                .may_accept_key(self.settings.bounds.max_key_age, now)
    }

    /// Puts the version of a store's row in force if it is newer; returns the row's number, or `None`
    /// if the row holds no valid configuration.
    pub fn apply_version(&self, key: &str, value: &[u8], source: &str) -> Option<u64> {
        let received_at = time::Instant::now();
        let version = self.codec.traffic(key, value)?;
        let number = version.number();
        let rows = if self.version_number() < Some(number) {
            self.codec.split_config(value)?
        } else {
            parted_rows::PartedRows::default()
        };
        let candidate = CandidateVersion {
            version,
            rows,
            bytes: value.len(),
            decode_time: received_at.elapsed(),
        };
        self.activate(candidate, source);
        Some(number)
    }

    /// Puts the version with these rows in force if it is newer; returns its number, or `None` if they
    /// hold no valid configuration.
    pub(super) fn apply_rows(&self, rows: parted_rows::PartedRows, source: &str) -> Option<u64> {
        let received_at = time::Instant::now();
        let (key, value) = self.codec.join_config(&rows);
        let version = self.codec.traffic(&key, &value)?;
        let number = version.number();
        let candidate = CandidateVersion {
            version,
            rows,
            bytes: value.len(),
            decode_time: received_at.elapsed(),
        };
        self.activate(candidate, source);
        Some(number)
    }

    fn activate(&self, candidate: CandidateVersion, source: &str) {
        let CandidateVersion {
            version,
            rows,
            bytes,
            decode_time,
        } = candidate;
        let number = version.number();
        let mut state = self.config_state.lock();
        let current = state.version.as_ref().map(|version| version.number());
        if let Some(current) = current.filter(|current| *current >= number) {
            drop(state);
            if current > number {
                log::info!(version = current, found = number, source; "older version ignored");
            }
            return;
        }
        let routes = version.route_count();
        let idle_timeout_ms = node::whole_millis(version.limits().idle_timeout);
        state.has_known_keys |= version.requires_keys();
        state.version = Some(sync::Arc::new(version));
        state.rows = rows;
        // What confirmed the version before says nothing about this one.
        state.clock = freshness::FreshnessClock::default();
        drop(state);
        let decode_ms = node::whole_millis(decode_time);
        log::info!(
            version = number, routes, idle_timeout_ms, source, bytes, decode_ms;
            "version in force"
        );
        let kind = timeline::EventKind::VersionInForce { number };
        self.ring.record(None, kind);
        self.gossip.set_config(number);
    }

    /// Number of the version in force; `None` if there is none yet.
    #[must_use]
    pub fn version_number(&self) -> Option<u64> {
        let state = self.config_state.lock();
        state.version.as_ref().map(|version| version.number())
    }

    /// Records that the version in force was the newest at `asked_at`, when the query was sent.
    pub fn confirm_version(&self, asked_at: boot_clock::BootInstant) {
        self.config_state.lock().clock.confirm(asked_at);
    }

    /// Time since the version in force was last known to be the newest; `None` if it never was.
    #[must_use]
    pub fn version_age(&self) -> Option<time::Duration> {
        let now = boot_clock::BootInstant::now();
        self.config_state.lock().clock.age(now)
    }
}
