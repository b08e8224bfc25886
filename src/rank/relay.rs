//! Divides large groups into sections. One agent of each section, its relay, passes on the
//! heartbeats of the other ranks and the orders to them, so that neither the link nor the processor
//! of the owner limits how soon the group reacts to a jump of popularity.

use std::{collections::BTreeMap, ops};

use super::{
    Choices, Order, Status,
    message::{Heartbeat, RankOrder},
};

/// Largest group in which each rank is a section of its own: the owner can receive heartbeats from
/// that many agents on 0.15 of a core.
const MAX_RANKS_WITHOUT_RELAYS: usize = 16;

/// Returns the ranks in the section of `rank` in a group of `ranks`. A large group has about as
/// many sections as a section has ranks.
pub fn section_of(rank: usize, ranks: usize) -> ops::Range<usize> {
    if ranks <= MAX_RANKS_WITHOUT_RELAYS {
        return rank..rank + 1;
    }
    let len = (ranks as f64).sqrt().ceil() as usize;
    let start = rank / len * len;
    start..(start + len).min(ranks)
}

/// Number of sections in a group of `ranks`, and so of agents that send heartbeats to the owner.
pub fn section_count(ranks: usize) -> usize {
    ranks.div_ceil(section_of(0, ranks).len().max(1))
}

/// Heartbeats of the other ranks in a section that their relay has yet to pass on.
#[derive(Debug, Default)]
pub struct PendingHeartbeats {
    by_rank: BTreeMap<usize, Heartbeat>,
    /// Newest status of each rank, also of those whose heartbeat has been passed on.
    latest: BTreeMap<usize, Status>,
}

impl PendingHeartbeats {
    /// Adds a heartbeat of `rank`, merged with one that is still pending. Returns whether it shows
    /// a change for which the owner may be waiting.
    pub fn add(&mut self, rank: usize, heartbeat: Heartbeat) -> bool {
        let latest = self.latest.insert(rank, heartbeat.status.clone());
        let changed = latest.is_none_or(|latest| latest.differs_for_map_change(&heartbeat.status));
        let Heartbeat { status, choices, placement } = heartbeat;
        let (old_choices, old_placement) = match self.by_rank.remove(&rank) {
            Some(before) => (before.choices, before.placement),
            None => (None, None),
        };
        let choices = sum(choices, old_choices);
        self.by_rank
            .insert(rank, Heartbeat { status, choices, placement: placement.or(old_placement) });
        changed
    }

    /// Whether no heartbeat is pending.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Removes the pending heartbeats and returns them after `own_heartbeat`, which gets the sum of
    /// all choices.
    pub fn take_with(&mut self, mut own_heartbeat: Heartbeat) -> Vec<Heartbeat> {
        let mut others: Vec<Heartbeat> = std::mem::take(&mut self.by_rank).into_values().collect();
        own_heartbeat.choices =
            others.iter_mut().map(|other| other.choices.take()).fold(own_heartbeat.choices, sum);
        others.insert(0, own_heartbeat);
        others
    }
}

/// Returns the sum of two choices, or the only one present.
fn sum(left: Option<Choices>, right: Option<Choices>) -> Option<Choices> {
    match (left, right) {
        (Some(left), Some(right)) => Some(left.merged(&right)),
        (left, right) => left.or(right),
    }
}

/// An order to one or more ranks of a section.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderBatch {
    /// The order.
    pub order: Order,
    /// Ranks that are to get the order; never empty.
    pub ranks: Vec<usize>,
}

/// Groups equal orders to ranks of the same section, so that each section gets an order once.
pub fn batch_by_section(orders: Vec<RankOrder>, ranks: usize) -> Vec<OrderBatch> {
    let mut batches: Vec<OrderBatch> = Vec::new();
    for RankOrder { rank, order } in orders {
        let section = section_of(rank, ranks);
        let same =
            |batch: &&mut OrderBatch| section.contains(&batch.ranks[0]) && batch.order == order;
        match batches.iter_mut().rfind(|batch| same(batch)) {
            Some(batch) => batch.ranks.push(rank),
            None => batches.push(OrderBatch { order, ranks: vec![rank] }),
        }
    }
    batches
}
