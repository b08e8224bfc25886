//! How many gateways there are, from their words in the store.

use std::{collections::BTreeMap, time};

use crate::name;

/// Time between two words of a gateway. Seldom, as each costs a call; a gateway that has ended
/// only makes the others more careful for a while.
pub const EVERY: time::Duration = time::Duration::from_secs(6);
/// Time without a new word after which a gateway has ended: three of its words.
const SILENT: time::Duration = time::Duration::from_secs(18);
/// Gateways assumed before the first count: more than any site of today has.
const UNKNOWN: usize = 16;

/// Gateways that spoke lately.
#[derive(Debug, Default)]
pub struct Presence {
    /// Version of the latest word of each, and when it was first seen here.
    words: BTreeMap<name::Host, (u64, time::Duration)>,
}

impl Presence {
    /// Takes the latest words of all.
    pub fn update(&mut self, words: BTreeMap<name::Host, u64>, now: time::Duration) {
        self.words.retain(|host, _| words.contains_key(host));
        for (host, version) in words {
            let known = self.words.entry(host).or_insert((version, now));
            if known.0 != version {
                *known = (version, now);
            }
        }
    }

    /// Gateways that count; at least one.
    pub fn count(&self, now: time::Duration) -> usize {
        match self.words.values().filter(|(_, at)| *at + SILENT >= now).count() {
            0 if self.words.is_empty() => UNKNOWN,
            count => count.max(1),
        }
    }
}
