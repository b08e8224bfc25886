//! History of one group's map for operators: changes, the reasons for keeping the map, and skew.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::group::{map, plan};

/// Maximum number of entries; consecutive equal events share an entry.
const MAX_ENTRIES: usize = 200;
/// Time over which the skew is averaged.
const SKEW_WINDOW: time::Duration = time::Duration::from_secs(3600);
/// Maximum number of skew samples.
const MAX_SKEW_SAMPLES: usize = 720;

/// An event in the history of a group's map.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// The map was kept.
    Kept {
        /// Reason for keeping it.
        why: plan::KeepReason,
    },
    /// A change was begun.
    Begun {
        /// Expert copies to load.
        moves: usize,
        /// Bytes to load.
        bytes: u64,
        /// Expected mean skew without the change.
        before: f64,
        /// Expected mean skew with the change.
        after: f64,
        /// Group time that the change saves over the horizon, in seconds.
        saving: f64,
        /// Group time that the change costs, in seconds.
        cost: f64,
        /// Whether an operator requested the change.
        asked: bool,
    },
    /// A change came into force.
    Committed {
        /// The map that is now in use.
        id: map::Id,
    },
    /// A change was aborted; the old map stays in use.
    Aborted {
        /// The map of the aborted change.
        id: map::Id,
    },
    /// A rank needs more time per token than others and should be drained.
    Straggler {
        /// The rank.
        rank: usize,
        /// Time per token of the rank over the median.
        factor: f64,
    },
}

/// One event, or several consecutive equal ones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// Time of the first event, since the process started.
    pub first: time::Duration,
    /// Time of the last event, since the process started.
    pub last: time::Duration,
    /// Number of events.
    pub times: u64,
    /// The event.
    pub event: Event,
}

/// Summary of a group's map for operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Map in use.
    pub map: map::Id,
    /// Newest mean skew over layers.
    pub skew: f64,
    /// Mean skew over layers, averaged over the last hour.
    pub skew_hour: f64,
    /// Changes that came into force since the process started.
    pub changes: u64,
    /// Expert copies loaded for the changes that were begun.
    pub moves: u64,
    /// Bytes loaded for the changes that were begun.
    pub bytes: u64,
    /// The newest entry of the history.
    pub last: Option<Entry>,
}

/// The history of one group's map.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: collections::VecDeque<Entry>,
    skew: collections::VecDeque<(time::Duration, f64)>,
    changes: u64,
    moves: u64,
    bytes: u64,
}

impl History {
    /// Records an event.
    pub fn record_event(&mut self, now: time::Duration, event: Event) {
        match &event {
            Event::Committed { .. } => self.changes += 1,
            Event::Begun { moves, bytes, .. } => {
                self.moves += *moves as u64;
                self.bytes += bytes;
            }
            _ => {}
        }
        match self.entries.back_mut() {
            Some(entry) if entry.event == event => {
                entry.last = now;
                entry.times += 1;
            }
            _ => self.entries.push_back(Entry { first: now, last: now, times: 1, event }),
        }
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Records the mean skew over layers.
    pub fn record_skew(&mut self, now: time::Duration, skew: f64) {
        self.skew.push_back((now, skew));
        let expired = |at: time::Duration| now.saturating_sub(at) > SKEW_WINDOW;
        while self.skew.len() > MAX_SKEW_SAMPLES
            || self.skew.front().is_some_and(|(at, _)| expired(*at))
        {
            self.skew.pop_front();
        }
    }

    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Summarizes the history of a group that uses `map`.
    pub fn summary(&self, map: map::Id) -> Summary {
        let sum: f64 = self.skew.iter().map(|(_, skew)| skew).sum();
        Summary {
            map,
            skew: self.skew.back().map_or(1.0, |(_, skew)| *skew),
            skew_hour: if self.skew.is_empty() { 1.0 } else { sum / self.skew.len() as f64 },
            changes: self.changes,
            moves: self.moves,
            bytes: self.bytes,
            last: self.entries.back().cloned(),
        }
    }
}
