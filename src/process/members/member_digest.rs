//! Digests of entries, in buckets by name, and the log of their numbered changes.

use std::collections;

use xxhash_rust::xxh3;

use crate::connection::peer_wire;
use crate::process::endpoints::leaving;

/// Number of buckets in a digest; bucket sets are bit masks in a `u64`.
pub const BUCKET_COUNT: usize = 64;

/// XOR of entry hashes in each bucket, independent of the order in which entries were added.
#[derive(Clone, Debug)]
pub struct BucketDigest {
    buckets: [u64; BUCKET_COUNT],
}

impl Default for BucketDigest {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKET_COUNT],
        }
    }
}

impl BucketDigest {
    /// Adds the hash of an entry about `name`, or removes it if it was added before.
    pub fn toggle(&mut self, name: &str, hash: u64) {
        self.buckets[bucket_of(name)] ^= hash;
    }

    /// Combined digest of all buckets.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.buckets.iter().fold(0, |total, bucket| total ^ bucket)
    }

    /// Digest of each bucket.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// Bit set of the buckets in which `theirs` differs; all buckets if the lengths differ.
    #[must_use]
    pub fn differing(&self, theirs: &[u64]) -> u64 {
        if theirs.len() != BUCKET_COUNT {
            return u64::MAX;
        }
        let pairs = self.buckets.iter().zip(theirs).enumerate();
        let differing = pairs.filter(|(_, (ours, theirs))| ours != theirs);
        differing.fold(0, |mask, (bucket, _)| mask | 1 << bucket)
    }
}

/// Whether the bucket of `name` is in the bit set `mask`.
#[must_use]
pub fn is_in_buckets(mask: u64, name: &str) -> bool {
    mask & (1 << bucket_of(name)) != 0
}

/// Hash of a member entry, over its name, incarnation, version and rank.
#[must_use]
pub fn member_hash(member: &peer_wire::MemberWire) -> u64 {
    let numbers = [member.incarnation, member.version, u64::from(member.rank)];
    let seed = numbers.iter().fold(0, |seed, number| {
        xxh3::xxh3_64_with_seed(&number.to_le_bytes(), seed)
    });
    xxh3::xxh3_64_with_seed(member.router.as_bytes(), seed)
}

fn bucket_of(name: &str) -> usize {
    let hash = xxh3::xxh3_64(name.as_bytes());
    usize::try_from(hash).unwrap_or_default() % BUCKET_COUNT
}

slotmap::new_key_type! {
    /// Key of one member record in the table.
    pub struct MemberKey;
}

/// Entry that a change affected.
#[derive(Clone, Debug)]
pub enum ChangeKey {
    /// Member entry.
    Member(MemberKey),
    /// Leaving record of one endpoint incarnation.
    Leaving(leaving::EndpointInstance),
}

/// Latest change of each entry, by change number.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: collections::BTreeMap<u64, ChangeKey>,
    sequence: u64,
}

impl ChangeLog {
    /// Appends a change and returns its number.
    pub fn append(&mut self, change: ChangeKey) -> u64 {
        self.sequence += 1;
        self.changes.insert(self.sequence, change);
        self.sequence
    }

    /// Removes a change, as when a later change of the same entry replaces it.
    pub fn remove(&mut self, sequence: u64) {
        self.changes.remove(&sequence);
    }

    /// Keeps only the changes for which `is_kept` returns `true`.
    pub fn retain(&mut self, is_kept: impl Fn(&ChangeKey) -> bool) {
        self.changes.retain(|_, change| is_kept(change));
    }

    /// Number of the latest change; 0 before the first.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Changes after change number `since`, oldest first.
    pub fn after(&self, since: u64) -> impl Iterator<Item = (u64, &ChangeKey)> {
        let range = self.changes.range(since.saturating_add(1)..);
        range.map(|(sequence, change)| (*sequence, change))
    }
}
