//! Prompt prefix cache with limited memory, which publishes its changes as events.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use xxhash_rust::xxh3;

/// Size of a block of prompt, in bytes.
const BLOCK_BYTES: usize = 64;
/// Maximum number of events stored for readers that lag behind.
const MAX_EVENTS: usize = 4096;

/// Change of a block's state.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The block was stored in memory.
    Stored,
    /// The block was evicted.
    Removed,
}

/// Cache event.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Event {
    /// Sequence number, which rises by one; a gap means that events were lost.
    pub seq: u64,
    /// Whether the block was stored or removed.
    pub what: Change,
    /// Hash of the prompt up to the end of the block.
    pub block: u64,
    /// Time of the event, in milliseconds since the start.
    pub at_ms: u64,
}

/// Prefix cache that evicts the least recently used block first.
pub struct PrefixCache {
    max_blocks: usize,
    last_used: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<Event>,
    /// Number of blocks found in the cache.
    pub hits: u64,
    /// Number of blocks that had to be computed.
    pub misses: u64,
}

impl PrefixCache {
    /// Creates a cache of at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            last_used: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
            hits: 0,
            misses: 0,
        }
    }

    /// Looks up `prompt` and stores its blocks; returns the number of blocks to compute.
    pub fn look_up(&mut self, prompt: &[u8], at_ms: u64) -> u64 {
        let ends = (1..=prompt.len() / BLOCK_BYTES).map(|blocks| blocks * BLOCK_BYTES);
        let blocks: Vec<u64> = ends.map(|end| xxh3::xxh3_64(&prompt[..end])).collect();
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        self.hits += cached as u64;
        self.misses += (blocks.len() - cached) as u64;
        for block in &blocks {
            self.insert(*block, at_ms);
        }
        (blocks.len() - cached) as u64
    }

    /// Removes all blocks and events, as a restart does.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.events.clear();
    }

    /// Returns the events with a sequence number above `after` up to the time `until_ms`, except
    /// every `gap`th event, which counts as lost; a `gap` of 0 loses none.
    pub fn events_between(&self, after: u64, until_ms: u64, gap: u64) -> Vec<Event> {
        let dropped = |seq: u64| gap > 0 && seq.is_multiple_of(gap);
        self.events
            .iter()
            .filter(|event| event.seq > after && event.at_ms <= until_ms && !dropped(event.seq))
            .copied()
            .collect()
    }

    fn insert(&mut self, block: u64, at_ms: u64) {
        self.clock += 1;
        if self.last_used.insert(block, self.clock).is_none() {
            self.add_event(Change::Stored, block, at_ms);
        }
        if self.last_used.len() <= self.max_blocks {
            return;
        }
        let oldest = self.last_used.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
        if let Some(oldest) = oldest {
            self.last_used.remove(&oldest);
            self.add_event(Change::Removed, oldest, at_ms);
        }
    }

    fn add_event(&mut self, what: Change, block: u64, at_ms: u64) {
        self.seq += 1;
        self.events.push_back(Event { seq: self.seq, what, block, at_ms });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
