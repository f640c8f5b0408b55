//! Line-based deltas between two texts, small enough to send on every configuration change.

use std::collections;
use std::fmt;

use xxhash_rust::xxh3;

/// Result of applying a delta.
pub type Result<T> = std::result::Result<T, DeltaError>;

/// Maximum number of occurrences of a line that are tried as the start of a copy.
const MAX_CANDIDATES: usize = 8;

/// Maximum size of a text produced by a delta.
const MAX_TEXT_BYTES: usize = 64 * 1024 * 1024;

/// Why a delta could not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta is for another base text, or is corrupted.
    WrongBase,
    /// The resulting text would exceed the size limit.
    TooLarge,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::WrongBase => "the delta does not match the base text; request the whole text",
            Self::TooLarge => "the resulting text is too large; request the whole text",
        })
    }
}

impl std::error::Error for DeltaError {}

/// Instructions for building a text from a base text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TextDelta {
    /// XXH3 hash of the resulting text, which detects a wrong base.
    digest: u64,
    parts: Vec<DeltaPart>,
}

/// A part of the resulting text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
enum DeltaPart {
    /// `count` lines of the base, from index `line`, which starts at 0.
    Copy { line: u32, count: u32 },
    /// Added lines, which are not copied from the base.
    Text(String),
}

impl TextDelta {
    /// Computes the delta from `base` to `next`.
    #[must_use]
    pub fn between(base: &str, next: &str) -> Self {
        let base: Vec<&str> = base.split_inclusive('\n').collect();
        let lines: Vec<&str> = next.split_inclusive('\n').collect();
        let positions = index_lines(&base);
        let mut parts = Vec::new();
        let mut cursor = 0;
        let mut at = 0;
        while at < lines.len() {
            let (start, count) = longest_run(&base, &lines[at..], cursor, &positions);
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

    /// Applies the delta to `base`.
    ///
    /// # Errors
    /// [`DeltaError`] if the delta is for another base or the result is too large.
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

    /// Approximate encoded size of the delta.
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

type LinePositions<'a> = collections::HashMap<&'a str, Vec<usize>>;

fn index_lines<'a>(base: &[&'a str]) -> LinePositions<'a> {
    let mut positions = LinePositions::new();
    for (index, line) in base.iter().enumerate() {
        positions.entry(line).or_default().push(index);
    }
    positions
}

/// Returns start and length of the longest run of base lines that `lines` starts with.
///
/// A run at `cursor` is used even if a longer one exists, as most changes keep the line order.
fn longest_run(
    base: &[&str],
    lines: &[&str],
    cursor: usize,
    positions: &LinePositions<'_>,
) -> (usize, usize) {
    let run_at = |start: usize| {
        let pairs = base[start..].iter().zip(lines);
        pairs.take_while(|(old, new)| old == new).count()
    };
    let continued = run_at(cursor.min(base.len()));
    if continued > 0 {
        return (cursor, continued);
    }
    let Some(candidates) = lines.first().and_then(|line| positions.get(line)) else {
        return (0, 0);
    };
    // Occurrences after the cursor are tried first, so that removed lines are skipped.
    let split = candidates.partition_point(|position| *position < cursor);
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
