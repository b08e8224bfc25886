//! A prompt prefix cache in limited memory, with its events.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use xxhash_rust::xxh3;

/// Bytes of prompt in one block.
const BLOCK: usize = 64;
/// Events kept for readers that come late.
const KEPT: usize = 4096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// The block is in memory.
    Stored,
    /// The block was evicted.
    Removed,
}

/// One cache event.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Event {
    /// Counts up by one; a gap means that events were lost.
    pub seq: u64,
    /// Stored or removed.
    pub what: What,
    /// Hash of the prompt up to the end of the block.
    pub block: u64,
    /// When it happened, in milliseconds since the start.
    pub at_ms: u64,
}

/// The cache: least recently used blocks go first.
pub struct Prefix {
    limit: usize,
    used: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<Event>,
    /// Blocks found.
    pub hits: u64,
    /// Blocks that had to be computed.
    pub misses: u64,
}

impl Prefix {
    /// A cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
            hits: 0,
            misses: 0,
        }
    }

    /// Looks `prompt` up and stores it; returns the blocks that must be computed.
    pub fn take(&mut self, prompt: &[u8], at_ms: u64) -> u64 {
        let ends = (1..=prompt.len() / BLOCK).map(|blocks| blocks * BLOCK);
        let blocks: Vec<u64> = ends.map(|end| xxh3::xxh3_64(&prompt[..end])).collect();
        let found = blocks.iter().take_while(|block| self.used.contains_key(block)).count();
        self.hits += found as u64;
        self.misses += (blocks.len() - found) as u64;
        for block in &blocks {
            self.store(*block, at_ms);
        }
        (blocks.len() - found) as u64
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.used.clear();
        self.events.clear();
    }

    /// Events after `after` that happened before `until_ms`, but for every `gap`th.
    pub fn events(&self, after: u64, until_ms: u64, gap: u64) -> Vec<Event> {
        let lost = |seq: u64| gap > 0 && seq.is_multiple_of(gap);
        self.events
            .iter()
            .filter(|event| event.seq > after && event.at_ms <= until_ms && !lost(event.seq))
            .copied()
            .collect()
    }

    fn store(&mut self, block: u64, at_ms: u64) {
        self.clock += 1;
        if self.used.insert(block, self.clock).is_none() {
            self.push(What::Stored, block, at_ms);
        }
        if self.used.len() <= self.limit {
            return;
        }
        let oldest = self.used.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
        if let Some(oldest) = oldest {
            self.used.remove(&oldest);
            self.push(What::Removed, oldest, at_ms);
        }
    }

    fn push(&mut self, what: What, block: u64, at_ms: u64) {
        self.seq += 1;
        self.events.push_back(Event { seq: self.seq, what, block, at_ms });
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }
}
