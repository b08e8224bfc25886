//! What one backend server's prefix cache is thought to hold.
//!
//! Known from this entry's own requests and from the engine's cache events,
//! which come late and with gaps. The estimate is bounded and forgets.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem, time,
};

use crate::policy::prefix;

/// Most keys remembered of one server.
pub const MAX_KEYS: usize = 1024;
/// Age at which a key that was not used again is thought evicted.
const KEY_TTL: time::Duration = time::Duration::from_secs(300);
/// Age beyond which a key is dropped when events were missed.
const KEY_TTL_AFTER_GAP: time::Duration = time::Duration::from_secs(15);

/// A cache event as the engine publishes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The prefix with this key is held.
    Stored(u64),
    /// The prefix with this key was given up.
    Evicted(u64),
}

/// Keys thought held, with the time each was last used.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    last_used: BTreeMap<u64, time::Duration>,
    by_last_use: BTreeSet<(time::Duration, u64)>,
    last_seq: u64,
}

impl PrefixCache {
    /// Notes a request that was sent there.
    pub fn record_request(&mut self, prefix: &prefix::PrefixKeys, now: time::Duration) {
        for key in prefix.keys() {
            self.insert(*key, now);
        }
    }

    /// Takes the event numbered `seq`. Numbers count from 1; a number already
    /// seen is ignored, and a gap drops the keys that may have gone in it.
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

    /// Forgets everything: the server restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Share of `prefix` thought held, from 0 to 1.
    pub fn cached_share(&self, prefix: &prefix::PrefixKeys, now: time::Duration) -> f64 {
        let keys = prefix.keys();
        let cached = keys.iter().take_while(|key| self.contains(**key, now)).count();
        match keys.len() {
            0 => 0.0,
            total => cached as f64 / total as f64,
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether nothing is thought held.
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
