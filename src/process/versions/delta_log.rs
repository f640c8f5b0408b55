//! Log of recent configuration deltas, so that peers need not be sent the full text.

use std::collections;

use crate::connection::peer_wire;
use crate::version::delta;
use crate::version::route;

/// Maximum number of deltas; a router that missed more gets the full text.
pub const MAX_DELTAS: usize = 64;

/// Deltas are sent only if their total size is at most the text size divided by this.
const MAX_SIZE_DIVISOR: usize = 2;

/// Deltas between consecutive active versions of this router, oldest first.
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
    /// Adds the delta from version `from` to the version activated next.
    pub fn add(&mut self, from: u64, delta: delta::TextDelta) {
        if self.entries.len() == MAX_DELTAS {
            self.entries.pop_front();
        }
        self.entries.push_back(VersionDelta { from, delta });
    }

    /// What to send to a peer that has version `number`, if `current` is the active version here.
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

/// Applies `deltas` to `base` in order.
///
/// # Errors
/// [`delta::DeltaError`] if one of them does not apply.
pub fn apply_all(base: &str, deltas: &[delta::TextDelta]) -> delta::Result<String> {
    let mut text = base.to_owned();
    for delta in deltas {
        text = delta.apply(&text)?;
    }
    Ok(text)
}
