//! Which endpoint holds which blocks of prompt prefixes in its cache, as its late events tell.
//!
//! Events come late and some are lost. As many blocks as events were lost may have been evicted
//! unseen; the blocks known for longest are evicted in their place. A wrong entry costs an endpoint
//! the computation of a prefix, never a wrong answer.

use std::collections;

use xxhash_rust::xxh3;

use crate::connection::engine_wire;

/// Blocks of one prompt that are looked up at most.
pub const MAX_PROMPT_BLOCKS: usize = 1024;

/// Blocks kept for one endpoint unless set otherwise.
pub const DEFAULT_ENDPOINT_BLOCKS: usize = 4096;

/// Hashes of the first 1, 2, 3 … whole blocks of `prompt`; see [`engine_wire::prefix_block_hash`].
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

/// Cached blocks of one endpoint.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    max_blocks: usize,
    incarnation: u64,
    last_sequence: u64,
    /// Block and the stamp under which it stands in `order`.
    blocks: collections::HashMap<u64, u64>,
    /// Blocks by age, oldest first; outdated pairs are skipped.
    by_age: collections::VecDeque<(u64, u64)>,
    next_stamp: u64,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self::new(DEFAULT_ENDPOINT_BLOCKS)
    }
}

impl PrefixIndex {
    /// An empty index of at most `max_blocks` blocks.
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

    /// Sequence number of the newest event taken in, to ask for those after it.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Blocks held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Takes in events of one incarnation of the endpoint; a new incarnation has an empty cache.
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

    /// Takes note of a prompt that was sent to the endpoint, ahead of the events.
    pub fn insert_expected(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.store(*block);
        }
    }

    /// Leading blocks of a prompt that the endpoint holds.
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
        // A later eviction may have been lost, so a late event adds nothing.
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

    /// Keeps outdated pairs from piling up.
    fn compact(&mut self) {
        if self.by_age.len() <= 2 * self.max_blocks {
            return;
        }
        let blocks = &self.blocks;
        self.by_age
            .retain(|(stamp, block)| blocks.get(block) == Some(stamp));
    }
}
