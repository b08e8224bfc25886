//! Estimate of the prefixes in one backend server's prefix cache.
//!
//! The estimate is built from this entry's own requests and from the engine's
//! cache events, which arrive late and with gaps. It is bounded in size, and
//! its keys expire.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem, time,
};

use crate::policy::prefix;

/// Maximum number of keys tracked per server.
pub const MAX_KEYS: usize = 1024;
/// Time after its last use at which a key is assumed evicted.
const KEY_TTL: time::Duration = time::Duration::from_secs(300);
/// Time after its last use at which a key is dropped when a gap in the events is found.
const KEY_TTL_AFTER_GAP: time::Duration = time::Duration::from_secs(15);

/// Cache event published by the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The prefix with this key was stored in the cache.
    Stored(u64),
    /// The prefix with this key was evicted from the cache.
    Evicted(u64),
}

/// Keys assumed to be in a server's cache, with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    last_used: BTreeMap<u64, time::Duration>,
    by_last_use: BTreeSet<(time::Duration, u64)>,
    last_seq: u64,
}

impl PrefixCache {
    /// Records a request that was sent to the server, whose prefixes the server now caches.
    pub fn record_request(&mut self, prefix: &prefix::PrefixKeys, now: time::Duration) {
        for key in prefix.keys() {
            self.insert(*key, now);
        }
    }

    /// Applies the event with sequence number `seq`.
    ///
    /// Sequence numbers start at 1. Events already applied are ignored. After a
    /// gap, keys not used for `KEY_TTL_AFTER_GAP` are dropped, since one of the
    /// lost events may have reported their eviction.
    pub fn apply_event(&mut self, seq: u64, event: Event, now: time::Duration) {
        if seq <= self.last_seq {
            return;
        }
        if seq > self.last_seq + 1 {
            self.evict_before(now.saturating_sub(KEY_TTL_AFTER_GAP));
        }
        self.last_seq = seq;
        match event {
            Event::Stored(key) => self.insert(key, now),
            Event::Evicted(key) => self.remove(key),
        }
    }

    /// Removes all keys and resets the sequence number, for a server that restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the share of the keys of `prefix` assumed to be cached, from 0 to 1.
    pub fn cached_share(&self, prefix: &prefix::PrefixKeys, now: time::Duration) -> f64 {
        let keys = prefix.keys();
        let cached = keys.iter().take_while(|key| self.contains(**key, now)).count();
        match keys.len() {
            0 => 0.0,
            total => cached as f64 / total as f64,
        }
    }

    /// Returns the number of tracked keys.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether no keys are tracked.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    fn contains(&self, key: u64, now: time::Duration) -> bool {
        self.last_used.get(&key).is_some_and(|used| now.saturating_sub(*used) < KEY_TTL)
    }

    fn insert(&mut self, key: u64, now: time::Duration) {
        self.remove(key);
        self.last_used.insert(key, now);
        self.by_last_use.insert((now, key));
        if self.last_used.len() > MAX_KEYS
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.last_used.remove(&oldest);
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(used) = self.last_used.remove(&key) {
            self.by_last_use.remove(&(used, key));
        }
    }

    fn evict_before(&mut self, cutoff: time::Duration) {
        let kept = self.by_last_use.split_off(&(cutoff, 0));
        for (_, key) in mem::replace(&mut self.by_last_use, kept) {
            self.last_used.remove(&key);
        }
    }
}
