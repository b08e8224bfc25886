//! The last routing decisions, for the dump.

use std::collections::VecDeque;

use serde::Serialize;

use crate::policy::decision;

/// Decisions kept.
const MAX_DECISIONS: usize = 64;

/// One request and where it went.
#[derive(Clone, Debug, Serialize)]
pub struct Routed {
    /// The request, as its answer names it.
    pub id: String,
    /// Where it went and why.
    pub decision: decision::Decision,
}

/// A ring of the last decisions.
#[derive(Clone, Debug, Default)]
pub struct RecentDecisions {
    ring: VecDeque<Routed>,
}

impl RecentDecisions {
    /// An empty ring.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a decision; the oldest goes when the ring is full.
    pub fn push(&mut self, routed: Routed) {
        if self.ring.len() >= MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(routed);
    }

    /// Decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Routed> {
        self.ring.iter()
    }
}
