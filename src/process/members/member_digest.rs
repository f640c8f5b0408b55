//! Digests of state facts in buckets by name, and the numbered log of their changes.

use std::collections;

use xxhash_rust::xxh3;

use crate::connection::peer_wire;
use crate::process::endpoints::leaving;

/// Buckets of a digest.
pub const BUCKETS: usize = 64;

/// Combined hashes of facts; independent of the order in which they came.
#[derive(Clone, Debug)]
pub struct BucketDigest {
    buckets: [u64; BUCKETS],
}

impl Default for BucketDigest {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKETS],
        }
    }
}

impl BucketDigest {
    /// Adds the hash of a fact about `name`, or takes it away when it is there.
    pub fn toggle(&mut self, name: &str, hash: u64) {
        self.buckets[bucket_of(name)] ^= hash;
    }

    /// Digest of all buckets together.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.buckets.iter().fold(0, |total, bucket| total ^ bucket)
    }

    /// The digests of the buckets.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Bit set of the buckets in which `theirs` differs; all when `theirs` has another length.
    #[must_use]
    pub fn differing(&self, theirs: &[u64]) -> u64 {
        if theirs.len() != BUCKETS {
            return u64::MAX;
        }
        let pairs = self.buckets.iter().zip(theirs).enumerate();
        let differing = pairs.filter(|(_, (ours, theirs))| ours != theirs);
        differing.fold(0, |mask, (bucket, _)| mask | 1 << bucket)
    }
}

/// Whether the bucket of `name` is in a bit set.
#[must_use]
pub fn is_in(mask: u64, name: &str) -> bool {
    mask & (1 << bucket_of(name)) != 0
}

/// Hash of a member fact.
#[must_use]
pub fn member_hash(fact: &peer_wire::MemberWire) -> u64 {
    let numbers = [fact.incarnation, fact.version, u64::from(fact.rank)];
    let seed = numbers.iter().fold(0, |seed, number| {
        xxh3::xxh3_64_with_seed(&number.to_le_bytes(), seed)
    });
    xxh3::xxh3_64_with_seed(fact.router.as_bytes(), seed)
}

fn bucket_of(name: &str) -> usize {
    let hash = xxh3::xxh3_64(name.as_bytes());
    usize::try_from(hash).unwrap_or_default() % BUCKETS
}

slotmap::new_key_type! {
    /// Key of one member in the table.
    pub struct MemberKey;
}

/// What a change was about.
#[derive(Clone, Debug)]
pub enum ChangeKey {
    /// A member.
    Member(MemberKey),
    /// A leaving endpoint.
    Leaving(leaving::EndpointInstance),
}

/// The last change of each fact, by number.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: collections::BTreeMap<u64, ChangeKey>,
    sequence: u64,
}

impl ChangeLog {
    /// Gives a change the next number.
    pub fn append(&mut self, change: ChangeKey) -> u64 {
        self.sequence += 1;
        self.changes.insert(self.sequence, change);
        self.sequence
    }

    /// Drops a change that a later one of the same fact replaces.
    pub fn remove(&mut self, sequence: u64) {
        self.changes.remove(&sequence);
    }

    /// Drops the changes that `is_kept` rejects.
    pub fn retain(&mut self, is_kept: impl Fn(&ChangeKey) -> bool) {
        self.changes.retain(|_, change| is_kept(change));
    }

    /// Number of the newest change.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The changes after number `since`, oldest first.
    pub fn after(&self, since: u64) -> impl Iterator<Item = (u64, &ChangeKey)> {
        let range = self.changes.range(since.saturating_add(1)..);
        range.map(|(sequence, change)| (*sequence, change))
    }
}
