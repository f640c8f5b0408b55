//! Raw rows, partitioned so that two routers can compare them by digest.
//!
//! Routers compare their rows several times a second. The hash of its key assigns each row to a
//! part. A combined digest shows whether anything differs, a digest per part shows where, and a
//! digest per row shows which rows, so that only changed rows are sent. Sending whole parts would
//! cost too much: with thousands of endpoints that come and go, some row of nearly every part
//! differs in nearly every comparison.

use std::collections;

use xxhash_rust::xxh3;

/// Number of parts. It is near the square root of the number of rows in a large system, so that
/// neither the digests of all parts nor those of one part's rows outweigh the changed rows.
pub const PART_COUNT: usize = 64;

/// Hashed with the key of a lapsed entry in place of its content; no entry has this content.
const LAPSED_MARK: &[u8] = b"lapsed";

/// One digest per part, indexed by part number.
pub type PartDigests = [u64; PART_COUNT];

/// Changes that bring one part of a router's rows to the state of another router, the source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartDelta {
    /// Number of the part.
    pub part: u8,
    /// Keys and contents of the rows to insert or replace.
    pub rows: Vec<(String, Vec<u8>)>,
    /// Digests of the rows that the source does not have.
    pub removed: Vec<u64>,
    /// Digest of the part's rows at the source, without the marks of lapsed entries.
    pub digest: u64,
}

#[derive(Clone, Debug)]
struct StoredRow {
    value: Vec<u8>,
    digest: u64,
}

/// Rows by part and key, with their digests.
#[derive(Clone, Debug)]
pub struct PartedRows {
    parts: Vec<collections::BTreeMap<String, StoredRow>>,
    /// XOR of the row digests of each part, without the marks of lapsed entries; does not depend
    /// on the order of changes.
    digests: PartDigests,
}

impl Default for PartedRows {
    fn default() -> Self {
        let parts = std::iter::repeat_with(collections::BTreeMap::new);
        Self {
            parts: parts.take(PART_COUNT).collect(),
            digests: [0; PART_COUNT],
        }
    }
}

impl FromIterator<(String, Vec<u8>)> for PartedRows {
    fn from_iter<I: IntoIterator<Item = (String, Vec<u8>)>>(iter: I) -> Self {
        let mut parted = Self::default();
        for (key, value) in iter {
            parted.insert(key, value);
        }
        parted
    }
}

impl PartedRows {
    /// Inserts a row, or replaces the one with the same key.
    pub fn insert(&mut self, key: String, value: Vec<u8>) {
        let part = part_of(&key);
        let digest = digest_of(&key, &value);
        self.digests[part] ^= digest;
        if let Some(replaced) = self.parts[part].insert(key, StoredRow { value, digest }) {
            self.digests[part] ^= replaced.digest;
        }
    }

    /// Removes all rows for whose key `should_keep` returns false.
    pub fn retain(&mut self, mut should_keep: impl FnMut(&str) -> bool) {
        for (part, digest) in self.parts.iter_mut().zip(&mut self.digests) {
            part.retain(|key, row| {
                let is_kept = should_keep(key);
                if !is_kept {
                    *digest ^= row.digest;
                }
                is_kept
            });
        }
    }

    /// Digests of all parts, including a mark for each entry in `lapsed`.
    #[must_use]
    pub fn digests<'a>(&self, lapsed: impl Iterator<Item = &'a str>) -> PartDigests {
        let mut digests = self.digests;
        for key in lapsed {
            digests[part_of(key)] ^= digest_of(key, LAPSED_MARK);
        }
        digests
    }

    /// Keys and contents of all rows.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let rows = self.parts.iter().flatten();
        rows.map(|(key, row)| (key.as_str(), row.value.as_slice()))
    }

    /// Digests of the rows of one part; empty if there is no such part.
    #[must_use]
    pub fn row_digests(&self, part: u8) -> Vec<u64> {
        let rows = self.parts.get(usize::from(part));
        rows.map_or_else(Vec::new, |rows| {
            rows.values().map(|row| row.digest).collect()
        })
    }

    /// The changes of one part for a router whose rows in it have the digests `held`; `None` if
    /// there is no such part.
    #[must_use]
    pub fn delta(&self, part: u8, held: &[u64]) -> Option<PartDelta> {
        let mut unlimited = usize::MAX;
        self.delta_within(part, held, &mut unlimited)
    }

    /// Like [`Self::delta`], but leaves out further rows once `room` bytes are used, and subtracts
    /// what it used. The part still differs if rows were left out.
    #[must_use]
    pub fn delta_within(&self, part: u8, held: &[u64], room: &mut usize) -> Option<PartDelta> {
        let rows = self.parts.get(usize::from(part))?;
        let mut removed: collections::BTreeSet<u64> = held.iter().copied().collect();
        let mut changed = Vec::new();
        for (key, row) in rows {
            if !removed.remove(&row.digest) && *room > 0 {
                *room = room.saturating_sub(key.len() + row.value.len());
                changed.push((key.clone(), row.value.clone()));
            }
        }
        Some(PartDelta {
            part,
            rows: changed,
            removed: removed.into_iter().collect(),
            digest: self.digests[usize::from(part)],
        })
    }

    /// Applies the deltas of another router and returns the keys of the removed rows. If a delta
    /// does not lead to that router's digest, as happens when the rows here changed after the
    /// query, nothing is changed and `None` returned.
    pub fn apply(&mut self, deltas: Vec<PartDelta>) -> Option<Vec<String>> {
        let removed: Option<Vec<Vec<String>>> = deltas
            .iter()
            .map(|delta| self.removed_keys(delta))
            .collect();
        let removed: Vec<String> = removed?.into_iter().flatten().collect();
        for key in &removed {
            let part = part_of(key);
            if let Some(row) = self.parts[part].remove(key) {
                self.digests[part] ^= row.digest;
            }
        }
        for (key, value) in deltas.into_iter().flat_map(|delta| delta.rows) {
            self.insert(key, value);
        }
        Some(removed)
    }

    /// Applies a delta that may lack rows, without checking its digest.
    pub fn merge(&mut self, delta: PartDelta) {
        let part = usize::from(delta.part);
        let removed: collections::BTreeSet<u64> = delta.removed.into_iter().collect();
        if let Some((rows, digest)) = self.parts.get_mut(part).zip(self.digests.get_mut(part)) {
            rows.retain(|_key, row| {
                let is_kept = !removed.contains(&row.digest);
                if !is_kept {
                    *digest ^= row.digest;
                }
                is_kept
            });
        }
        for (key, value) in delta.rows {
            self.insert(key, value);
        }
    }

    /// Keys of the rows that a delta removes; `None` if the delta is invalid or does not lead to
    /// its digest.
    fn removed_keys(&self, delta: &PartDelta) -> Option<Vec<String>> {
        let rows = self.parts.get(usize::from(delta.part))?;
        let mut digest = 0;
        let mut changed = collections::BTreeSet::new();
        for (key, value) in &delta.rows {
            if part_of(key) != usize::from(delta.part) || !changed.insert(key.as_str()) {
                return None;
            }
            digest ^= digest_of(key, value);
        }
        let mut removed = Vec::new();
        for (key, row) in rows {
            if changed.contains(key.as_str()) {
                continue;
            }
            if delta.removed.contains(&row.digest) {
                removed.push(key.clone());
            } else {
                digest ^= row.digest;
            }
        }
        (digest == delta.digest).then_some(removed)
    }
}

/// Numbers of the parts whose digests differ. A part that `other` has no digest for counts as
/// differing.
#[must_use]
pub fn differing_parts(own: &PartDigests, other: &[u64]) -> Vec<u8> {
    let parts = own.iter().enumerate();
    let parts = parts.filter(|(part, digest)| other.get(*part) != Some(*digest));
    let parts = parts.filter_map(|(part, _digest)| u8::try_from(part).ok());
    parts.collect()
}

/// A single digest over the digests of all parts.
#[must_use]
pub fn combined_digest(parts: &PartDigests) -> u64 {
    let mut hash = xxh3::Xxh3Default::new();
    for digest in parts {
        hash.update(&digest.to_le_bytes());
    }
    hash.digest()
}

/// Number of the part that a key belongs to.
#[must_use]
pub fn part_of(key: &str) -> usize {
    usize::from(xxh3::xxh3_64(key.as_bytes()).to_le_bytes()[0]) % PART_COUNT
}

fn digest_of(key: &str, value: &[u8]) -> u64 {
    let mut hash = xxh3::Xxh3Default::new();
    hash.update(key.as_bytes());
    hash.update(&[0]);
    hash.update(value);
    hash.digest()
}
