//! Orders from a group's controller to its ranks, and their answers.

use serde::{Deserialize, Serialize};

use crate::group::map;

/// Fencing token of a lease; each new holder of the lease has a higher one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// The incarnation of each rank, indexed by rank; a rank gets a new one with each restart.
pub type Incarnations = Vec<u64>;

/// An order to a rank. Every order may be lost, repeated, late or reordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Load this map's experts in addition to those in use.
    Load(map::Id),
    /// Rank 0 only: name `to` instead of `from` from the next pass on.
    Switch {
        /// Map that must be in use.
        from: map::Id,
        /// Map to use.
        to: map::Id,
        /// Incarnations that have acknowledged the load of `to`.
        loaded: Incarnations,
    },
    /// Rank 0 only: never switch to this map.
    Abort(map::Id),
    /// Free the experts that only this map needs.
    Free(map::Id),
    /// Report only; the number distinguishes the answer to this report from a late one.
    Report(u64),
}

/// An order with the rank that it is sent to and the fence of the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressedOrder {
    /// Rank that the order is sent to.
    pub rank: usize,
    /// Fence of the lease under which the order is sent.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}

/// The result of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The order was carried out, now or earlier.
    Done,
    /// The order was rejected, since a later lease holder has sent orders.
    Fenced,
    /// The order was rejected, since its map is dead: it was aborted or freed, or proposed before
    /// the rank started.
    Dead,
    /// The order was rejected, since another map is in use than the order expects.
    Other,
    /// The order was rejected, since a rank restarted after it had loaded the map.
    Restarted,
    /// The order was rejected, since the map is in use.
    InUse,
}

/// A rank's answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Rank that answers.
    pub rank: usize,
    /// Incarnation of that rank.
    pub incarnation: u64,
    /// The order that is answered.
    pub order: Order,
    /// Result of the order.
    pub verdict: Verdict,
    /// Map in use.
    #[serde(rename = "using")]
    pub in_use: map::Id,
    /// All maps that the rank holds.
    pub held: Vec<map::Id>,
    /// Highest fence that the rank has seen.
    pub fence: Fence,
}
