//! Entries of endpoints as the store has them, comparable in parts.
//!
//! Routers ask each other several times a second whether they hold the same entries. Entries are
//! divided into parts by their key: one digest tells whether anything differs, one a part where, and
//! one an entry which, so that only changed entries travel. Whole parts will not do: with thousands
//! of endpoints that come and go, some entry of nearly every part differs at nearly every question.

use std::collections;

use xxhash_rust::xxh3;

/// Parts: near the root of the number of entries in a large system, so that neither the digests of
/// parts nor those of a part's entries outweigh the entries that changed.
pub const PART_COUNT: usize = 64;

/// What the digest of a lapsed entry's mark is made of; no entry has this content.
const LAPSED_MARK: &[u8] = b"lapsed";

/// One digest a part.
pub type PartDigests = [u64; PART_COUNT];

/// What a holder lacks of one part, compared with another holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartDelta {
    /// Number of the part.
    pub part: u8,
    /// Keys and contents of rows that it lacks.
    pub rows: Vec<(String, Vec<u8>)>,
    /// Digests of rows that it holds and the other one does not.
    pub gone: Vec<u64>,
    /// Digest of the part at the other holder, of rows alone.
    pub digest: u64,
}

#[derive(Debug)]
struct HeldRow {
    value: Vec<u8>,
    digest: u64,
}

/// Entries by part and key.
#[derive(Debug)]
pub struct EndpointRows {
    parts: Vec<collections::BTreeMap<String, HeldRow>>,
    /// Digests of the rows alone; the order of changes does not matter to them.
    digests: PartDigests,
}

impl Default for EndpointRows {
    fn default() -> Self {
        let parts = std::iter::repeat_with(collections::BTreeMap::new);
        Self {
            parts: parts.take(PART_COUNT).collect(),
            digests: [0; PART_COUNT],
        }
    }
}

impl EndpointRows {
    /// Puts a row in place.
    pub fn insert(&mut self, key: String, value: Vec<u8>) {
        let part = part_of(&key);
        let digest = digest_of(&key, &value);
        self.digests[part] ^= digest;
        if let Some(held) = self.parts[part].insert(key, HeldRow { value, digest }) {
            self.digests[part] ^= held.digest;
        }
    }

    /// Drops all rows but those that `keeps`.
    pub fn retain(&mut self, mut keeps: impl FnMut(&str) -> bool) {
        for (part, digest) in self.parts.iter_mut().zip(&mut self.digests) {
            part.retain(|key, row| {
                let is_kept = keeps(key);
                if !is_kept {
                    *digest ^= row.digest;
                }
                is_kept
            });
        }
    }

    /// Digests of the rows together with the marks of those that lapsed.
    #[must_use]
    pub fn digests<'a>(&self, lapsed: impl Iterator<Item = &'a str>) -> PartDigests {
        let mut digests = self.digests;
        for key in lapsed {
            digests[part_of(key)] ^= digest_of(key, LAPSED_MARK);
        }
        digests
    }

    /// All rows.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let rows = self.parts.iter().flatten();
        rows.map(|(key, row)| (key.as_str(), row.value.as_slice()))
    }

    /// Digests of the rows of one part.
    #[must_use]
    pub fn row_digests(&self, part: u8) -> Vec<u64> {
        let rows = self.parts.get(usize::from(part));
        rows.map_or_else(Vec::new, |rows| {
            rows.values().map(|row| row.digest).collect()
        })
    }

    /// What a holder of rows with the digests `held` lacks of one part; `None` when there is no such
    /// part.
    #[must_use]
    pub fn delta(&self, part: u8, held: &[u64]) -> Option<PartDelta> {
        let rows = self.parts.get(usize::from(part))?;
        let mut gone: collections::BTreeSet<u64> = held.iter().copied().collect();
        let mut told = Vec::new();
        for (key, row) in rows {
            if !gone.remove(&row.digest) {
                told.push((key.clone(), row.value.clone()));
            }
        }
        Some(PartDelta {
            part,
            rows: told,
            gone: gone.into_iter().collect(),
            digest: self.digests[usize::from(part)],
        })
    }

    /// Takes in what another holder told; returns the keys of rows that are gone, or `None` with
    /// nothing changed when the news do not lead to what the other one holds, as the own rows have
    /// changed since the question.
    pub fn take(&mut self, news: Vec<PartDelta>) -> Option<Vec<String>> {
        let gone: Option<Vec<Vec<String>>> = news.iter().map(|news| self.gone_by(news)).collect();
        let gone: Vec<String> = gone?.into_iter().flatten().collect();
        for key in &gone {
            let part = part_of(key);
            if let Some(row) = self.parts[part].remove(key) {
                self.digests[part] ^= row.digest;
            }
        }
        for (key, value) in news.into_iter().flat_map(|news| news.rows) {
            self.insert(key, value);
        }
        Some(gone)
    }

    /// Keys of rows that are gone by the news of one part, if these lead to the other holder's digest.
    fn gone_by(&self, news: &PartDelta) -> Option<Vec<String>> {
        let rows = self.parts.get(usize::from(news.part))?;
        let mut digest = 0;
        let mut told = collections::BTreeSet::new();
        for (key, value) in &news.rows {
            if part_of(key) != usize::from(news.part) || !told.insert(key.as_str()) {
                return None;
            }
            digest ^= digest_of(key, value);
        }
        let mut gone = Vec::new();
        for (key, row) in rows {
            if told.contains(key.as_str()) {
                continue;
            }
            if news.gone.contains(&row.digest) {
                gone.push(key.clone());
            } else {
                digest ^= row.digest;
            }
        }
        (digest == news.digest).then_some(gone)
    }
}

/// Parts in which two holders differ; all when the other one's digests have another shape.
#[must_use]
pub fn differing_parts(own: &PartDigests, other: &[u64]) -> Vec<u8> {
    let parts = own.iter().enumerate();
    let parts = parts.filter(|(part, digest)| other.get(*part) != Some(*digest));
    let parts = parts.filter_map(|(part, _digest)| u8::try_from(part).ok());
    parts.collect()
}

/// One digest of all parts.
#[must_use]
pub fn combined_digest(parts: &PartDigests) -> u64 {
    let mut hash = xxh3::Xxh3Default::new();
    for digest in parts {
        hash.update(&digest.to_le_bytes());
    }
    hash.digest()
}

/// The part that a key belongs to.
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
