//! Ring buffer of the last routing decisions, for the dump.

use std::collections::VecDeque;

use serde::Serialize;

use crate::policy::decision;

/// Maximum number of stored decisions.
const MAX_DECISIONS: usize = 64;

/// A request with its routing decision.
#[derive(Clone, Debug, Serialize)]
pub struct Routed {
    /// Request id, as in the X-Request-Id header of the answer.
    pub id: String,
    /// Decision for the request.
    pub decision: decision::Decision,
}

/// Ring buffer of the last decisions.
#[derive(Clone, Debug, Default)]
pub struct RecentDecisions {
    ring: VecDeque<Routed>,
}

impl RecentDecisions {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a decision and removes the oldest if the buffer is full.
    pub fn push(&mut self, routed: Routed) {
        if self.ring.len() >= MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(routed);
    }

    /// Iterates over the decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Routed> {
        self.ring.iter()
    }
}
