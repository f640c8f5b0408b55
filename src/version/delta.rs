//! Difference between two texts, small enough to send for every change of configuration.

use std::collections;
use std::fmt;

use xxhash_rust::xxh3;

/// Outcome of applying a delta.
pub type Result<T> = std::result::Result<T, DeltaError>;

/// Places of an equal line that are tried as the start of a copy.
const MAX_CANDIDATES: usize = 8;

/// Largest text that a delta may make, in bytes.
const MAX_TEXT_BYTES: usize = 64 * 1024 * 1024;

/// Why a delta does not lead to its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// It was made for another base, or was damaged.
    WrongBase,
    /// The text would be larger than a text may be.
    TooLarge,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongBase => "the difference is for another text; ask for the whole text",
            Self::TooLarge => "the text would be too large; ask for the whole text",
        })
    }
}

impl std::error::Error for DeltaError {}

/// How to make a text out of a base text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TextDelta {
    /// Hash of the text that it makes.
    digest: u64,
    parts: Vec<DeltaPart>,
}

/// A part of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
enum DeltaPart {
    /// Lines of the base.
    Copy { line: u32, count: u32 },
    /// New lines.
    Text(String),
}

impl TextDelta {
    /// The delta that makes `next` out of `base`.
    #[must_use]
    pub fn between(base: &str, next: &str) -> Self {
        let base: Vec<&str> = base.split_inclusive('\n').collect();
        let lines: Vec<&str> = next.split_inclusive('\n').collect();
        let places = places_of(&base);
        let mut parts = Vec::new();
        let mut cursor = 0;
        let mut at = 0;
        while at < lines.len() {
            let (start, count) = longest_run(&base, &lines[at..], cursor, &places);
            if count == 0 {
                add_text(&mut parts, lines[at]);
                at += 1;
                continue;
            }
            parts.push(DeltaPart::Copy {
                line: as_u32(start),
                count: as_u32(count),
            });
            cursor = start + count;
            at += count;
        }
        Self {
            digest: xxh3::xxh3_64(next.as_bytes()),
            parts,
        }
    }

    /// Makes the text out of `base`.
    ///
    /// # Errors
    /// [`DeltaError`] when the delta was made for another base.
    pub fn apply(&self, base: &str) -> Result<String> {
        let lines: Vec<&str> = base.split_inclusive('\n').collect();
        let mut text = String::new();
        for part in &self.parts {
            match part {
                DeltaPart::Text(added) => text.push_str(added),
                DeltaPart::Copy { line, count } => {
                    let start = *line as usize;
                    let end = start.saturating_add(*count as usize);
                    let copied = lines.get(start..end).ok_or(DeltaError::WrongBase)?;
                    text.extend(copied.iter().copied());
                }
            }
            if text.len() > MAX_TEXT_BYTES {
                return Err(DeltaError::TooLarge);
            }
        }
        if xxh3::xxh3_64(text.as_bytes()) != self.digest {
            return Err(DeltaError::WrongBase);
        }
        Ok(text)
    }

    /// About the bytes that the delta takes in a message.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        const PART_BYTES: usize = 12;
        let part_size = |part: &DeltaPart| match part {
            DeltaPart::Copy { .. } => PART_BYTES,
            DeltaPart::Text(text) => PART_BYTES + text.len(),
        };
        self.parts.iter().map(part_size).sum()
    }
}

type LinePlaces<'a> = collections::HashMap<&'a str, Vec<usize>>;

fn places_of<'a>(base: &[&'a str]) -> LinePlaces<'a> {
    let mut places = LinePlaces::new();
    for (index, line) in base.iter().enumerate() {
        places.entry(line).or_default().push(index);
    }
    places
}

/// Start and length of the longest run of base lines with which `lines` begins.
///
/// A run that goes on at `cursor` is taken as it is: most changes leave the order alone.
fn longest_run(
    base: &[&str],
    lines: &[&str],
    cursor: usize,
    places: &LinePlaces<'_>,
) -> (usize, usize) {
    let run_at = |start: usize| {
        let pairs = base[start..].iter().zip(lines);
        pairs.take_while(|(old, new)| old == new).count()
    };
    let going_on = run_at(cursor.min(base.len()));
    if going_on > 0 {
        return (cursor, going_on);
    }
    let Some(candidates) = lines.first().and_then(|line| places.get(line)) else {
        return (0, 0);
    };
    // Places after the cursor come first, so that a removed part is passed over.
    let split = candidates.partition_point(|place| *place < cursor);
    let ordered = candidates[split..].iter().chain(&candidates[..split]);
    let runs = ordered
        .take(MAX_CANDIDATES)
        .map(|start| (*start, run_at(*start)));
    runs.max_by_key(|(_start, count)| *count).unwrap_or((0, 0))
}

fn add_text(parts: &mut Vec<DeltaPart>, line: &str) {
    if let Some(DeltaPart::Text(text)) = parts.last_mut() {
        text.push_str(line);
        return;
    }
    parts.push(DeltaPart::Text(line.to_owned()));
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
