//! The last changes of configuration, kept so that a peer need not be sent the whole text.

use std::collections;

use crate::connection::peer_wire;
use crate::version::delta;
use crate::version::route;

/// Changes kept; a router that missed more is sent the whole text.
pub const MAX_DELTAS: usize = 64;

/// Changes are sent instead of the text while they take at most one byte in this many of it.
const MAX_SIZE_DIVISOR: usize = 2;

/// Changes between versions that were in force here one after the other.
#[derive(Debug, Default)]
pub struct DeltaLog {
    entries: collections::VecDeque<VersionDelta>,
}

#[derive(Debug)]
struct VersionDelta {
    from: u64,
    delta: delta::TextDelta,
}

impl DeltaLog {
    /// Adds the change from version `from` to the one that came into force next.
    pub fn add(&mut self, from: u64, delta: delta::TextDelta) {
        if self.entries.len() == MAX_DELTAS {
            self.entries.pop_front();
        }
        self.entries.push_back(VersionDelta { from, delta });
    }

    /// What to send to a peer that has version `number`, when `current` is in force here.
    #[must_use]
    pub fn text_since(
        &self,
        number: u64,
        current: &route::ActiveVersion,
    ) -> peer_wire::VersionText {
        let missing = self.entries.iter().skip_while(|entry| entry.from != number);
        let deltas: Vec<_> = missing.map(|entry| entry.delta.clone()).collect();
        let size: usize = deltas.iter().map(delta::TextDelta::size_bytes).sum();
        if deltas.is_empty() || size > current.yaml().len() / MAX_SIZE_DIVISOR {
            return peer_wire::VersionText::Whole(current.yaml().to_owned());
        }
        peer_wire::VersionText::Deltas {
            from: number,
            deltas,
        }
    }
}

/// Applies `deltas` one after the other.
///
/// # Errors
/// [`delta::DeltaError`] when one of them does not fit.
pub fn apply_all(base: &str, deltas: &[delta::TextDelta]) -> delta::Result<String> {
    let mut text = base.to_owned();
    for delta in deltas {
        text = delta.apply(&text)?;
    }
    Ok(text)
}
