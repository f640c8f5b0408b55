//! Prompt prefixes in limited memory, with events that come late and with gaps.

use std::collections;
use std::time;

use kumquatpulley::connection::engine_wire;

/// Prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// One event in this many is lost.
const LOST_EVENT_STRIDE: u64 = 64;

/// Events kept for readers.
const KEPT_EVENTS: usize = 4096;

/// Blocks of prompt prefixes, least recently used first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: collections::VecDeque<u64>,
    events: collections::VecDeque<(time::Instant, engine_wire::CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: collections::VecDeque::new(),
            events: collections::VecDeque::new(),
            sequence: 0,
        }
    }

    /// Stores the blocks of `prompt` and returns the number of its tokens that were not cached.
    pub fn load(&mut self, prompt: &str, now: time::Instant) -> usize {
        let bytes = prompt.as_bytes();
        let total = bytes.len() / engine_wire::PREFIX_BLOCK_BYTES;
        let mut cached = 0;
        for count in 1..=total {
            let block = engine_wire::prefix_block_hash(bytes, count);
            let found = self.touch(block);
            if found && cached + 1 == count {
                cached = count;
            }
            if !found {
                self.store(block, now);
            }
        }
        (bytes.len() - cached * engine_wire::PREFIX_BLOCK_BYTES).div_ceil(BYTES_PER_TOKEN)
    }

    /// Events numbered above `after` that are at least `lag` old.
    pub fn events(
        &self,
        after: u64,
        now: time::Instant,
        lag: time::Duration,
    ) -> Vec<engine_wire::CacheEvent> {
        let is_due = |made: time::Instant| now.saturating_duration_since(made) >= lag;
        self.events
            .iter()
            .filter(|(made, event)| event.sequence > after && is_due(*made))
            .map(|(_made, event)| event.clone())
            .collect()
    }

    fn touch(&mut self, block: u64) -> bool {
        let Some(index) = self.blocks.iter().position(|held| *held == block) else {
            return false;
        };
        self.blocks.remove(index);
        self.blocks.push_back(block);
        true
    }

    fn store(&mut self, block: u64, now: time::Instant) {
        if self.capacity == 0 {
            return;
        }
        if self.blocks.len() == self.capacity
            && let Some(evicted) = self.blocks.pop_front()
        {
            self.publish(evicted, false, now);
        }
        self.blocks.push_back(block);
        self.publish(block, true, now);
    }

    fn publish(&mut self, block: u64, stored: bool, now: time::Instant) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(LOST_EVENT_STRIDE) {
            return;
        }
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        let event = engine_wire::CacheEvent {
            sequence: self.sequence,
            block,
            stored,
        };
        self.events.push_back((now, event));
    }
}
