//! What an engine says of itself, and what it is told.

use serde::{Deserialize, Serialize};

/// Part of a group that an engine is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The group.
    pub group: String,
    /// Counts up each time that the group forms; maps and orders end with it.
    pub epoch: u64,
    /// Place in the group, from 0.
    pub rank: usize,
    /// Ranks of the group; 0 if the engine does not say.
    pub ranks: usize,
    /// Whether the group works.
    pub open: bool,
}

/// A change of map at the beginning of a pass.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapSwitch {
    /// Version of the map.
    pub version: u64,
    /// The first pass that uses it.
    pub pass: u64,
}

/// State of an engine, as it says itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// When it was read, by whom: a process's draw and its count of readings.
    pub read_id: (u64, u64),
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Its group, if it is in one.
    pub member: Option<Member>,
    /// Last pass that was begun.
    pub pass: u64,
    /// Version of the map in use; 0 is the one that a group forms with.
    pub map_version: u64,
    /// Version that is copied and ready to use.
    pub prepared: Option<u64>,
    /// Change that will happen.
    pub armed: Option<MapSwitch>,
    /// Pass that will not begin before it is released.
    pub held: Option<u64>,
}

impl Status {
    /// Whether `other` says anything else of what a change of the map waits for.
    pub fn differs_for_map_change(&self, other: &Self) -> bool {
        let epoch = |status: &Self| status.member.as_ref().map(|member| member.epoch);
        let of_map =
            |status: &Self| (status.map_version, status.prepared, status.armed, status.held);
        epoch(self) != epoch(other) || of_map(self) != of_map(other)
    }
}

/// How often requests chose each expert.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExpertCounts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Last pass counted.
    pub pass: u64,
    /// Counts since the engine started, by set and expert.
    pub counts: Vec<Vec<u64>>,
}

/// What requests chose over a span, by set and expert, scaled so that it takes little room: only
/// the proportions within a set matter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choices {
    /// Epoch of the group.
    pub epoch: u64,
    /// Choices of each set: the number that a share of 255 stands for, and the shares.
    pub sets: Vec<(u64, Vec<u8>)>,
}

impl Choices {
    /// What was chosen between two counts; `None` if nothing was, or the engine counts anew.
    pub fn between(before: &ExpertCounts, after: &ExpertCounts) -> Option<Self> {
        let same = before.epoch == after.epoch && before.counts.len() == after.counts.len();
        let set = |(before, after): (&Vec<u64>, &Vec<u64>)| {
            let chosen = before.iter().zip(after).map(|(b, a)| a.checked_sub(*b));
            let chosen = chosen.collect::<Option<Vec<u64>>>()?;
            let most = chosen.iter().copied().max().filter(|most| *most > 0)?;
            let share = |n: &u64| ((n * 255 + most / 2) / most) as u8;
            Some((most, chosen.iter().map(share).collect()))
        };
        let sets = before.counts.iter().zip(&after.counts).map(set);
        let sets = sets.collect::<Option<Vec<_>>>().filter(|_| same)?;
        Some(Self { epoch: after.epoch, sets })
    }

    /// The sum of two; that of `self` if they do not belong together.
    pub fn merged(&self, other: &Self) -> Self {
        let alike = self.epoch == other.epoch && self.sets.len() == other.sets.len();
        let set = |(left, right): (Vec<f64>, Vec<f64>)| {
            let sums: Vec<f64> = left.iter().zip(&right).map(|(l, r)| l + r).collect();
            let most = sums.iter().copied().fold(0.0, f64::max);
            let share = |n: &f64| (n * 255.0 / most.max(1.0)).round() as u8;
            (most.round() as u64, sums.iter().map(share).collect())
        };
        match alike {
            true => {
                let sets = self.weights().into_iter().zip(other.weights()).map(set).collect();
                Self { epoch: self.epoch, sets }
            }
            false => self.clone(),
        }
    }

    /// The choices as numbers.
    pub fn weights(&self) -> Vec<Vec<f64>> {
        let set = |(most, shares): &(u64, Vec<u8>)| {
            shares.iter().map(|share| f64::from(*share) / 255.0 * *most as f64).collect()
        };
        self.sets.iter().map(set).collect()
    }
}

/// Experts that an engine holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Placement {
    /// Epoch of the group.
    pub epoch: u64,
    /// Version of the map in use.
    pub version: u64,
    /// Experts of this rank in use, by set.
    pub experts: Vec<Vec<u16>>,
    /// Version that is copied, and its experts of this rank by set.
    pub prepared: Option<(u64, Vec<Vec<u16>>)>,
}

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Copy the experts of a map that are new to this rank.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by set and rank.
        map: Vec<Vec<Vec<u16>>>,
    },
    /// Change to a copied map as a pass begins.
    Arm(MapSwitch),
    /// Do not change to this map.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not begin a pass before it is released. Does not expire.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Release a pass.
    Release {
        /// The pass.
        pass: u64,
    },
}

impl Action {
    /// Its name, for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm(_) => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Release { .. } => "go",
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Epoch in which it holds.
    pub epoch: u64,
    /// What to do.
    pub action: Action,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// Begun.
    Started,
    /// Done, or so already.
    Applied,
    /// Not done, for this reason.
    Refused(String),
}
