//! Parts of prompts that were answered recently, and so do not crash servers.

use std::{collections::BTreeSet, time};

use crate::name;

/// Time for which an answered prompt shows that its parts do no harm, at least; it is up to
/// twice as long.
const CLEARANCE_TIME: time::Duration = time::Duration::from_secs(60);
/// Number of harmless parts that are remembered for one [`CLEARANCE_TIME`].
const MAX_CLEARED_PARTS: usize = 8192;

/// Parts of answered prompts, in two generations that replace each other.
#[derive(Debug, Default)]
pub struct ClearedParts {
    current: BTreeSet<name::PromptPart>,
    previous: BTreeSet<name::PromptPart>,
    current_since: time::Duration,
}

impl ClearedParts {
    /// Adds the parts of a prompt that was answered at `now`.
    pub fn insert(&mut self, parts: &[name::PromptPart], now: time::Duration) {
        self.remove_expired(now);
        if self.current.len() + parts.len() > MAX_CLEARED_PARTS {
            self.begin_generation(now);
        }
        for part in parts {
            if !self.current.contains(part) {
                self.current.insert(part.clone());
            }
        }
    }

    /// Whether a prompt with `part` was answered recently.
    pub fn contains(&mut self, part: &name::PromptPart, now: time::Duration) -> bool {
        self.remove_expired(now);
        self.current.contains(part) || self.previous.contains(part)
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
