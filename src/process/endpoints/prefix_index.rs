//! Approximate index of the prompt prefix blocks in one endpoint's cache, built from cache events.
//!
//! Events arrive late and some are lost. Each lost event may have been an eviction, so the index
//! drops its oldest block for each one. A wrong entry makes an endpoint recompute a prefix but
//! never produces a wrong answer.

use std::collections;

use xxhash_rust::xxh3;

use crate::connection::engine_wire;

/// Maximum number of blocks looked up for one prompt.
pub const MAX_PROMPT_BLOCKS: usize = 1024;

/// Default maximum number of blocks indexed for one endpoint.
pub const DEFAULT_ENDPOINT_BLOCKS: usize = 4096;

/// Cumulative prefix hashes: entry `n` covers the first `n + 1` whole blocks of `prompt`.
///
/// They equal [`engine_wire::prefix_block_hash`]; at most [`MAX_PROMPT_BLOCKS`] are computed.
#[must_use]
pub fn prompt_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = xxh3::Xxh3::new();
    let blocks = prompt.chunks_exact(engine_wire::PREFIX_BLOCK_BYTES);
    blocks
        .take(MAX_PROMPT_BLOCKS)
        .map(|block| {
            hasher.update(block);
            hasher.digest()
        })
        .collect()
}

/// Cached blocks of one endpoint, bounded in number.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    max_blocks: usize,
    incarnation: u64,
    last_sequence: u64,
    /// Maps each block to the stamp of its current pair in `by_age`.
    blocks: collections::HashMap<u64, u64>,
    /// Pairs of stamp and block, oldest first. Pairs whose stamp differs from that in `blocks` are
    /// stale and skipped.
    by_age: collections::VecDeque<(u64, u64)>,
    next_stamp: u64,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self::new(DEFAULT_ENDPOINT_BLOCKS)
    }
}

impl PrefixIndex {
    /// Creates an empty index that holds at most `max_blocks` blocks.
    #[must_use]
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            incarnation: 0,
            last_sequence: 0,
            blocks: collections::HashMap::new(),
            by_age: collections::VecDeque::new(),
            next_stamp: 0,
        }
    }

    /// Sequence number of the latest event applied; the next request asks for events after it.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Number of indexed blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index has no blocks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Applies events of one incarnation of the endpoint.
    ///
    /// A newer incarnation starts with an empty cache; events of an older one are ignored.
    pub fn apply(&mut self, incarnation: u64, events: &[engine_wire::CacheEvent]) {
        if incarnation < self.incarnation {
            return;
        }
        if incarnation > self.incarnation {
            self.clear();
            self.incarnation = incarnation;
        }
        for event in events {
            self.apply_event(event);
        }
    }

    /// Adds the blocks of a prompt sent to the endpoint before its cache events arrive.
    pub fn insert_expected(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.store(*block);
        }
    }

    /// Number of leading blocks of a prompt that are in the index.
    #[must_use]
    pub fn matched_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count()
    }

    fn clear(&mut self) {
        *self = Self::new(self.max_blocks);
    }

    fn apply_event(&mut self, event: &engine_wire::CacheEvent) {
        let is_out_of_order = event.sequence <= self.last_sequence;
        if !is_out_of_order {
            let lost = event.sequence - self.last_sequence - 1;
            self.evict_oldest(usize::try_from(lost).unwrap_or(usize::MAX));
            self.last_sequence = event.sequence;
        }
        if !event.stored {
            self.blocks.remove(&event.block);
            return;
        }
        // An eviction after this event may have been lost, so an out-of-order store is ignored.
        if !is_out_of_order {
            self.store(event.block);
        }
    }

    fn store(&mut self, block: u64) {
        if self.max_blocks == 0 {
            return;
        }
        if self.blocks.len() >= self.max_blocks && !self.blocks.contains_key(&block) {
            self.evict_oldest(1);
        }
        self.next_stamp += 1;
        self.blocks.insert(block, self.next_stamp);
        self.by_age.push_back((self.next_stamp, block));
        self.compact();
    }

    fn evict_oldest(&mut self, count: usize) {
        let mut evicted = 0;
        while evicted < count {
            let Some((stamp, block)) = self.by_age.pop_front() else {
                return;
            };
            if self.blocks.get(&block) == Some(&stamp) {
                self.blocks.remove(&block);
                evicted += 1;
            }
        }
    }

    /// Removes stale pairs once `by_age` exceeds twice the block limit.
    fn compact(&mut self) {
        if self.by_age.len() <= 2 * self.max_blocks {
            return;
        }
        let blocks = &self.blocks;
        self.by_age
            .retain(|(stamp, block)| blocks.get(block) == Some(stamp));
    }
}
