//! Orders of a group's controller to its ranks, and their answers.

use serde::{Deserialize, Serialize};

use crate::group::map;

/// Number of a lease's holder; a later holder has a higher one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// Incarnation of each rank, by rank; a rank that restarts gets a new one.
pub type Incarnations = Vec<u64>;

/// What a rank is told to do. Every order may be lost, repeated, late or out of order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Load this map's experts beside those in use.
    Load(map::Id),
    /// Rank 0 only: name `to` in place of `from` from the next step on.
    Switch {
        /// Map that must be in use.
        from: map::Id,
        /// Map to use.
        to: map::Id,
        /// Incarnations that have acknowledged `to`.
        loaded: Incarnations,
    },
    /// Rank 0 only: never switch to this map.
    Abort(map::Id),
    /// Free what this map alone needs.
    Free(map::Id),
    /// Only report; the number tells a fresh answer from a late one.
    Report(u64),
}

/// One order to one rank.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressedOrder {
    /// Rank meant.
    pub rank: usize,
    /// Fence of the lease under which it is given.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Done, now or before.
    Done,
    /// A later holder of the lease has given orders.
    Fenced,
    /// The map was aborted or freed before.
    Dead,
    /// Another map is in use than the order takes for granted.
    Other,
    /// A rank restarted after it had loaded the map.
    Restarted,
    /// The map is in use.
    InUse,
}

/// A rank's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Rank that answers.
    pub rank: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// The order answered.
    pub order: Order,
    /// What became of it.
    pub verdict: Verdict,
    /// Map in use.
    #[serde(rename = "using")]
    pub in_use: map::Id,
    /// All maps held.
    pub held: Vec<map::Id>,
    /// Highest fence seen.
    pub fence: Fence,
}
