//! The state that an engine reports and the orders that it takes.

use serde::{Deserialize, Serialize};

use crate::group::rebalance::SharedMap;

/// An engine's membership in an expert group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the group.
    pub group: String,
    /// Number that grows each time the group forms; maps and orders are valid in one epoch only.
    pub epoch: u64,
    /// Rank of the engine in the group, from 0.
    pub rank: usize,
    /// Number of ranks in the group; 0 if the engine does not report it.
    pub ranks: usize,
    /// Whether the group serves requests.
    pub open: bool,
}

/// A switch to another map at the start of a pass.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapSwitch {
    /// Version of the map.
    pub version: u64,
    /// First pass that uses the map.
    pub pass: u64,
}

/// State of an engine, as the engine reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Identifies the read: the random id of the reading process and its count of reads. Of two
    /// reads by one process, the higher count is the newer one.
    pub read_id: (u64, u64),
    /// Requests that wait in the engine's queue.
    pub queued: u32,
    /// Requests that the engine runs.
    pub running: u32,
    /// Membership in a group, if the engine is in one.
    pub member: Option<Member>,
    /// Last pass that the engine started.
    pub pass: u64,
    /// Version of the map in use; 0 is the map with which a group forms.
    pub map_version: u64,
    /// Version of the map that is copied and ready for use.
    pub prepared: Option<u64>,
    /// Switch that the engine makes when the pass starts.
    pub armed: Option<MapSwitch>,
    /// Pass that does not start before it is released.
    pub held: Option<u64>,
    /// Time that the engine needs for a unit of work over that of a healthy engine.
    pub pace: f64,
}

/// Largest pace that counts: bounds what a false report can do.
const MAX_PACE: f64 = 32.0;

/// Returns the pace to use for a reported one; a report that makes no sense counts as healthy.
pub fn valid_pace(reported: f64) -> f64 {
    match reported {
        _ if !reported.is_finite() || reported <= 0.0 => 1.0,
        _ => reported.min(MAX_PACE),
    }
}

impl Status {
    /// Whether `other` differs in the fields for which a map change waits.
    pub fn differs_for_map_change(&self, other: &Self) -> bool {
        let epoch = |status: &Self| status.member.as_ref().map(|member| member.epoch);
        let map_state =
            |status: &Self| (status.map_version, status.prepared, status.armed, status.held);
        epoch(self) != epoch(other) || map_state(self) != map_state(other)
    }
}

/// Counts of how often requests chose each expert.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExpertCounts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Last pass that the counts include.
    pub pass: u64,
    /// Counts since the engine started, by set and expert.
    pub counts: Vec<Vec<u64>>,
}

/// Experts that requests chose over a period, by set and expert. The counts are scaled to one byte
/// to keep messages small: only the proportions within a set matter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choices {
    /// Epoch of the group.
    pub epoch: u64,
    /// For each set, the count that a share of 255 represents, and the share of each expert.
    pub sets: Vec<(u64, Vec<u8>)>,
}

impl Choices {
    /// Returns the choices made between two counts; `None` if there were none or if the engine has
    /// reset its counts.
    pub fn between(before: &ExpertCounts, after: &ExpertCounts) -> Option<Self> {
        let comparable = before.epoch == after.epoch && before.counts.len() == after.counts.len();
        let set = |(before, after): (&Vec<u64>, &Vec<u64>)| {
            let chosen = before.iter().zip(after).map(|(b, a)| a.checked_sub(*b));
            let chosen = chosen.collect::<Option<Vec<u64>>>()?;
            let max = chosen.iter().copied().max().filter(|max| *max > 0)?;
            let share = |n: &u64| ((n * 255 + max / 2) / max) as u8;
            Some((max, chosen.iter().map(share).collect()))
        };
        let sets = before.counts.iter().zip(&after.counts).map(set);
        let sets = sets.collect::<Option<Vec<_>>>().filter(|_| comparable)?;
        Some(Self { epoch: after.epoch, sets })
    }

    /// Returns the sum of both; only `self` if their epochs or numbers of sets differ.
    pub fn merged(&self, other: &Self) -> Self {
        let comparable = self.epoch == other.epoch && self.sets.len() == other.sets.len();
        let set = |(left, right): (Vec<f64>, Vec<f64>)| {
            let sums: Vec<f64> = left.iter().zip(&right).map(|(l, r)| l + r).collect();
            let max = sums.iter().copied().fold(0.0, f64::max);
            let share = |n: &f64| (n * 255.0 / max.max(1.0)).round() as u8;
            (max.round() as u64, sums.iter().map(share).collect())
        };
        match comparable {
            true => {
                let sets = self.weights().into_iter().zip(other.weights()).map(set).collect();
                Self { epoch: self.epoch, sets }
            }
            false => self.clone(),
        }
    }

    /// Returns the choices as approximate counts, which are whole numbers, by set and expert.
    pub fn weights(&self) -> Vec<Vec<f64>> {
        let set = |(max, shares): &(u64, Vec<u8>)| {
            let count = |share: &u8| (u64::from(*share) * max + 127) / 255;
            shares.iter().map(|share| count(share) as f64).collect()
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
    /// Experts that this rank uses, by set.
    pub experts: Vec<Vec<u16>>,
    /// Version that is copied and not yet in use, with the experts of this rank by set.
    pub prepared: Option<(u64, Vec<Vec<u16>>)>,
}

/// An action that an engine can be ordered to take.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Copy those experts of a map that this rank does not hold.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by set and rank.
        map: SharedMap,
    },
    /// Switch to a copied map when a pass starts.
    Arm(MapSwitch),
    /// Cancel the switch to a map.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not start a pass before it is released. A hold does not expire.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Release a held pass.
    Release {
        /// The pass.
        pass: u64,
    },
}

impl Action {
    /// Name of the action in the engine's protocol, for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm(_) => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Release { .. } => "go",
        }
    }

    /// Version of the map that the action is about.
    pub fn version(&self) -> Option<u64> {
        match self {
            Self::Prepare { version, .. } | Self::Disarm { version } => Some(*version),
            Self::Arm(switch) => Some(switch.version),
            Self::Hold { .. } | Self::Release { .. } => None,
        }
    }

    /// Pass that the action is about.
    pub fn pass(&self) -> Option<u64> {
        match self {
            Self::Arm(switch) => Some(switch.pass),
            Self::Hold { pass } | Self::Release { pass } => Some(*pass),
            Self::Prepare { .. } | Self::Disarm { .. } => None,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Epoch of the group in which the order is valid.
    pub epoch: u64,
    /// Action to take.
    pub action: Action,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// The engine has started the action.
    Started,
    /// The action is done, or its effect was in place before.
    Applied,
    /// The engine refused the order, for this reason.
    Refused(String),
}
