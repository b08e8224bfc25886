//! Fingerprints of requests that were answered recently, and so do not crash servers.

use std::{collections::BTreeSet, time};

use crate::name;

/// Time for which an answer shows that the fingerprints of its request do no harm, at least; it is up
/// to twice as long.
const CLEARANCE_TIME: time::Duration = time::Duration::from_secs(60);
/// Number of harmless fingerprints that are remembered for one [`CLEARANCE_TIME`].
const MAX_CLEARED_FINGERPRINTS: usize = 8192;

/// Fingerprints of answered requests, in two generations that replace each other.
#[derive(Debug, Default)]
pub struct ClearedFingerprints {
    current: BTreeSet<name::Fingerprint>,
    previous: BTreeSet<name::Fingerprint>,
    current_since: time::Duration,
}

impl ClearedFingerprints {
    /// Adds a fingerprint of a request that was answered at `now`.
    pub fn insert(&mut self, fingerprint: &name::Fingerprint, now: time::Duration) {
        self.remove_expired(now);
        if self.current.contains(fingerprint) {
            return;
        }
        if self.current.len() >= MAX_CLEARED_FINGERPRINTS {
            self.begin_generation(now);
        }
        self.current.insert(fingerprint.clone());
    }

    /// Whether a request with `fingerprint` was answered recently.
    pub fn contains(&mut self, fingerprint: &name::Fingerprint, now: time::Duration) -> bool {
        self.remove_expired(now);
        self.current.contains(fingerprint) || self.previous.contains(fingerprint)
    }

    fn remove_expired(&mut self, now: time::Duration) {
        match now.saturating_sub(self.current_since) {
            age if age >= 2 * CLEARANCE_TIME => {
                self.previous.clear();
                self.current.clear();
                self.current_since = now;
            }
            age if age >= CLEARANCE_TIME => self.begin_generation(now),
            _ => {}
        }
    }

    fn begin_generation(&mut self, now: time::Duration) {
        self.previous = std::mem::take(&mut self.current);
        self.current_since = now;
    }
}
