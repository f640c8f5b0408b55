//! Set of endpoint incarnations that accept no new requests.
//!
//! A record is never revoked before it expires; a restarted endpoint has a new incarnation and so a
//! separate record. Records expire by their own age, which bounds memory and lets all routers drop
//! them at the same time.

use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::connection::peer_wire;
use crate::process::telemetry::timeline;

/// Age at which a record expires.
pub const RETENTION: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Maximum number of records; the oldest are dropped first.
pub const MAX_RECORDS: usize = 32_768;

/// One endpoint in one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointInstance {
    /// Endpoint name.
    pub endpoint: String,
    /// Incarnation from the endpoint's report; 0 if it reports none.
    pub incarnation: u64,
}

/// Endpoint instances known to be leaving, each with the time since when, in Unix microseconds.
#[derive(Debug, Default)]
pub struct LeavingSet {
    since: collections::HashMap<EndpointInstance, u64>,
}

impl LeavingSet {
    /// Adds a record and returns its key, or `None` if it is already known or has expired.
    ///
    /// A timestamp too far in the future is clamped.
    pub fn insert(
        &mut self,
        record: &peer_wire::LeavingWire,
        now_micros: u64,
    ) -> Option<EndpointInstance> {
        if record.since < retention_cutoff(now_micros) {
            return None;
        }
        let instance = EndpointInstance {
            endpoint: record.endpoint.clone(),
            incarnation: record.incarnation,
        };
        if self.since.contains_key(&instance) {
            return None;
        }
        let stamp = timeline::HybridStamp {
            micros: record.since,
            counter: 0,
        };
        let since = timeline::clamp(stamp, now_micros).micros;
        self.since.insert(instance.clone(), since);
        Some(instance)
    }

    /// Whether the endpoint is leaving in this incarnation.
    #[must_use]
    pub fn contains(&self, endpoint: &str, incarnation: u64) -> bool {
        let instance = EndpointInstance {
            endpoint: endpoint.to_owned(),
            incarnation,
        };
        self.since.contains_key(&instance)
    }

    /// Drops expired records and the oldest beyond [`MAX_RECORDS`]; returns the dropped keys.
    pub fn expire(&mut self, now_micros: u64) -> Vec<EndpointInstance> {
        let cutoff = retention_cutoff(now_micros).max(self.capacity_cutoff());
        let mut dropped = Vec::new();
        self.since.retain(|instance, since| {
            if *since >= cutoff {
                return true;
            }
            dropped.push(instance.clone());
            false
        });
        dropped
    }

    fn capacity_cutoff(&self) -> u64 {
        let surplus = self.since.len().saturating_sub(MAX_RECORDS);
        if surplus == 0 {
            return 0;
        }
        let mut timestamps: Vec<u64> = self.since.values().copied().collect();
        timestamps.sort_unstable();
        timestamps[surplus]
    }

    /// All endpoint instances in the set.
    pub fn instances(&self) -> impl Iterator<Item = &EndpointInstance> {
        self.since.keys()
    }

    /// The record of one endpoint instance, in the form sent to peers.
    #[must_use]
    pub fn get(&self, instance: &EndpointInstance) -> Option<peer_wire::LeavingWire> {
        let since = *self.since.get(instance)?;
        Some(peer_wire::LeavingWire {
            endpoint: instance.endpoint.clone(),
            incarnation: instance.incarnation,
            since,
        })
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.since.len()
    }

    /// Whether the set has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }
}

/// Hash of one record, for the digests that routers compare.
#[must_use]
pub fn record_hash(endpoint: &str, incarnation: u64) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.as_bytes(), incarnation)
}

fn retention_cutoff(now_micros: u64) -> u64 {
    let retention = u64::try_from(RETENTION.as_micros()).unwrap_or(u64::MAX);
    now_micros.saturating_sub(retention)
}
