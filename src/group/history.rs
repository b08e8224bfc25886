//! Why the map of a group was changed or left, and its skew, for operators.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::group::{map, plan};

/// Most entries kept; equal ones in a row count as one.
const MOST: usize = 200;
/// Span of the longer skew figure.
const HOUR: time::Duration = time::Duration::from_secs(3600);
/// Most skew samples kept.
const SAMPLES: usize = 720;

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// The map was left as it is.
    Kept {
        /// Why.
        why: plan::KeepReason,
    },
    /// A change was begun.
    Begun {
        /// Copies to load.
        moves: usize,
        /// Bytes to load.
        bytes: u64,
        /// Expected mean skew without it.
        before: f64,
        /// Expected mean skew with it.
        after: f64,
        /// Group time saved over the horizon, in seconds.
        saving: f64,
        /// Group time it costs, in seconds.
        cost: f64,
        /// Whether an operator asked for it.
        asked: bool,
    },
    /// A change came into force.
    Committed {
        /// The map now in use.
        id: map::Id,
    },
    /// A change was given up; the old map stays.
    Aborted {
        /// The map given up.
        id: map::Id,
    },
    /// A rank is slow for reasons of its own; drain it.
    Straggler {
        /// The rank.
        rank: usize,
        /// Its time per token over the median.
        factor: f64,
    },
}

/// One or more equal events in a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Entry {
    /// First time, since the process started.
    pub first: time::Duration,
    /// Last time.
    pub last: time::Duration,
    /// How many.
    pub times: u64,
    /// What.
    pub event: Event,
}

/// What an operator sees of a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Map in use.
    pub map: map::Id,
    /// Mean skew over layers now.
    pub skew: f64,
    /// The same over the last hour.
    pub skew_hour: f64,
    /// Changes in force since the process started.
    pub changes: u64,
    /// Copies loaded for changes begun.
    pub moves: u64,
    /// Bytes loaded for changes begun.
    pub bytes: u64,
    /// The newest entry.
    pub last: Option<Entry>,
}

/// History of one group.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: collections::VecDeque<Entry>,
    skew: collections::VecDeque<(time::Duration, f64)>,
    changes: u64,
    moves: u64,
    bytes: u64,
}

impl History {
    /// Notes an event.
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
        if self.entries.len() > MOST {
            self.entries.pop_front();
        }
    }

    /// Notes the mean skew over layers.
    pub fn record_skew(&mut self, now: time::Duration, skew: f64) {
        self.skew.push_back((now, skew));
        let old = |at: time::Duration| now.saturating_sub(at) > HOUR;
        while self.skew.len() > SAMPLES || self.skew.front().is_some_and(|(at, _)| old(*at)) {
            self.skew.pop_front();
        }
    }

    /// Entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// What an operator sees.
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
