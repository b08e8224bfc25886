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
pub const KEYS: usize = 1024;
/// Age at which a key that was not used again is thought evicted.
const KEPT: time::Duration = time::Duration::from_secs(300);
/// Age beyond which a key is dropped when events were missed.
const KEPT_OVER_GAP: time::Duration = time::Duration::from_secs(15);

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
pub struct Cache {
    used: BTreeMap<u64, time::Duration>,
    order: BTreeSet<(time::Duration, u64)>,
    seen: u64,
}

impl Cache {
    /// Notes a request that was sent there.
    pub fn sent(&mut self, chain: &prefix::Chain, now: time::Duration) {
        for key in chain.keys() {
            self.store(*key, now);
        }
    }

    /// Takes the event numbered `seq`. Numbers count from 1; a number already
    /// seen is ignored, and a gap drops the keys that may have gone in it.
    pub fn event(&mut self, seq: u64, event: Event, now: time::Duration) {
        if seq <= self.seen {
            return;
        }
        if seq > self.seen + 1 {
            self.forget_before(now.saturating_sub(KEPT_OVER_GAP));
        }
        self.seen = seq;
        match event {
            Event::Stored(key) => self.store(key, now),
            Event::Evicted(key) => self.remove(key),
        }
    }

    /// Forgets everything: the server restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Share of `chain` thought held, from 0 to 1.
    pub fn share(&self, chain: &prefix::Chain, now: time::Duration) -> f64 {
        let keys = chain.keys();
        let held = keys.iter().take_while(|key| self.holds(**key, now)).count();
        match keys.len() {
            0 => 0.0,
            all => held as f64 / all as f64,
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether nothing is thought held.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    fn holds(&self, key: u64, now: time::Duration) -> bool {
        self.used.get(&key).is_some_and(|used| now.saturating_sub(*used) < KEPT)
    }

    fn store(&mut self, key: u64, now: time::Duration) {
        self.remove(key);
        self.used.insert(key, now);
        self.order.insert((now, key));
        if self.used.len() > KEYS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.used.remove(&oldest);
        }
    }

    fn remove(&mut self, key: u64) {
        if let Some(used) = self.used.remove(&key) {
            self.order.remove(&(used, key));
        }
    }

    fn forget_before(&mut self, then: time::Duration) {
        let kept = self.order.split_off(&(then, 0));
        for (_, key) in mem::replace(&mut self.order, kept) {
            self.used.remove(&key);
        }
    }
}
