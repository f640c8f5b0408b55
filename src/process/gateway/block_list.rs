//! The requests that are blocked because they crash endpoints; the same at all routers.
//!
//! Entries are merged from peers and the store, and the later one of two wins, so their order does
//! not matter. An entry is kept for some time after it expired: if the request still crashes endpoints,
//! one crash blocks it again, for twice as long. The module takes the time as an argument, in
//! milliseconds since the Unix epoch, as entries outlive a process.

use std::collections;
use std::time;

use xxhash_rust::xxh3;

use crate::process::gateway::crash_ledger;
use crate::request::relay::request_feature;

/// Time of the first block of a request; doubles with each further one.
const FIRST_BLOCK: time::Duration = time::Duration::from_secs(10 * 60);

/// Longest time of a block, and time for which an expired entry is kept.
const LONGEST_BLOCK: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Maximum number of entries; those that expire first are dropped.
const MAX_ENTRIES: usize = 256;

type FeatureSet = collections::HashSet<request_feature::RequestFeature>;

/// Requests with certain features, and until when they are blocked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedRequest {
    /// Features that a request must have to be blocked, in ascending order.
    pub features: crash_ledger::SuspectFeatures,
    /// End of the block, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Number of times that the request was blocked.
    pub count: u32,
}

impl BlockedRequest {
    /// Text that identifies the features, the same at all routers.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{:016x}", hash_features(&self.features))
    }

    fn covers(&self, features: &FeatureSet) -> bool {
        self.features
            .iter()
            .all(|feature| features.contains(feature))
    }
}

/// All entries that this router knows.
#[derive(Clone, Debug, Default)]
pub struct BlockList {
    entries: Vec<BlockedRequest>,
}

impl BlockList {
    /// Time for which a request with these features is blocked; `None` if it is not.
    #[must_use]
    pub fn block_left(
        &self,
        features: &[request_feature::RequestFeature],
        now_ms: u64,
    ) -> Option<time::Duration> {
        if self.entries.is_empty() {
            return None;
        }
        let features = features.iter().copied().collect();
        let entries = self.entries.iter();
        let blocking = entries.filter(|entry| now_ms < entry.until_ms && entry.covers(&features));
        let until = blocking.map(|entry| entry.until_ms).max()?;
        Some(time::Duration::from_millis(until - now_ms))
    }

    /// Features of expired entries for a request that crashed an endpoint again.
    #[must_use]
    pub fn expired_matches(
        &self,
        features: &[request_feature::RequestFeature],
        now_ms: u64,
    ) -> Vec<crash_ledger::SuspectFeatures> {
        let features = features.iter().copied().collect();
        let entries = self.entries.iter();
        let expired = entries.filter(|entry| entry.until_ms <= now_ms && entry.covers(&features));
        expired.map(|entry| entry.features.clone()).collect()
    }

    /// Blocks requests that have all of `features`, which must be in ascending order; returns the entry.
    pub fn block(
        &mut self,
        features: crash_ledger::SuspectFeatures,
        now_ms: u64,
    ) -> BlockedRequest {
        let known = self.entries.iter().find(|entry| entry.features == features);
        let count = known.map_or(0, |entry| entry.count);
        let time = FIRST_BLOCK.saturating_mul(2_u32.saturating_pow(count));
        let entry = BlockedRequest {
            features,
            until_ms: now_ms.saturating_add(millis(time.min(LONGEST_BLOCK))),
            count: count.saturating_add(1),
        };
        self.merge(entry.clone(), now_ms);
        entry
    }

    /// Adds an entry of a peer or of the store unless a later one is known; returns whether it
    /// changed the list.
    pub fn merge(&mut self, mut entry: BlockedRequest, now_ms: u64) -> bool {
        self.drop_old(now_ms);
        // A wrong clock must not block a request for good.
        let latest = now_ms.saturating_add(millis(LONGEST_BLOCK));
        entry.until_ms = entry.until_ms.min(latest);
        if entry.features.is_empty() || is_old(&entry, now_ms) {
            return false;
        }
        let known = self.entries.iter_mut();
        let mut same = known.filter(|known| known.features == entry.features);
        if let Some(known) = same.next() {
            let is_later = known.until_ms < entry.until_ms;
            if is_later {
                *known = entry;
            }
            return is_later;
        }
        if self.entries.len() >= MAX_ENTRIES {
            let first = self.entries.iter().enumerate();
            let first = first.min_by_key(|(_index, known)| known.until_ms);
            if let Some((index, _known)) = first {
                self.entries.swap_remove(index);
            }
        }
        self.entries.push(entry);
        true
    }

    /// All entries, expired ones included.
    #[must_use]
    pub fn entries(&self) -> &[BlockedRequest] {
        &self.entries
    }

    /// Digest that is the same at routers with the same entries; 0 without any.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.entries.iter().map(|entry| {
            xxh3::xxh3_64_with_seed(
                &entry.until_ms.to_be_bytes(),
                hash_features(&entry.features),
            )
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    fn drop_old(&mut self, now_ms: u64) {
        self.entries.retain(|entry| !is_old(entry, now_ms));
    }
}

fn is_old(entry: &BlockedRequest, now_ms: u64) -> bool {
    entry.until_ms.saturating_add(millis(LONGEST_BLOCK)) <= now_ms
}

fn hash_features(features: &[request_feature::RequestFeature]) -> u64 {
    let bytes: Vec<u8> = features
        .iter()
        .flat_map(|feature| feature.0.to_be_bytes())
        .collect();
    xxh3::xxh3_64(&bytes)
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
