//! Answers groups of many ranks: in each section of such a group one agent speaks for the others,
//! so that neither the link nor the processor of the owner bounds how soon a jump of popularity
//! is seen and answered.

use std::{collections::BTreeMap, ops};

use super::{
    Choices, Order, Status,
    message::{Heartbeat, RankOrder},
};

/// Ranks up to which each agent speaks for itself: the owner hears that many on 0.15 of a core.
const DIRECT: usize = 16;

/// The section of `rank` in a group of `ranks`: about as many sections as ranks in each.
pub fn section_of(rank: usize, ranks: usize) -> ops::Range<usize> {
    if ranks <= DIRECT {
        return rank..rank + 1;
    }
    let len = (ranks as f64).sqrt().ceil() as usize;
    let start = rank / len * len;
    start..(start + len).min(ranks)
}

/// Agents that speak to the owner in a group of `ranks`.
pub fn section_count(ranks: usize) -> usize {
    ranks.div_ceil(section_of(0, ranks).len().max(1))
}

/// Pulses of other ranks that wait to be passed on.
#[derive(Debug, Default)]
pub struct PendingHeartbeats {
    pulses: BTreeMap<usize, Heartbeat>,
    /// Newest status of each rank, passed on or not.
    latest: BTreeMap<usize, Status>,
}

impl PendingHeartbeats {
    /// Takes a pulse of `rank`; gives whether the owner may be waiting for what it says.
    pub fn add(&mut self, rank: usize, pulse: Heartbeat) -> bool {
        let latest = self.latest.insert(rank, pulse.status.clone());
        let news = latest.is_none_or(|latest| latest.differs_for_map_change(&pulse.status));
        let Heartbeat { status, choices, placement: placed } = pulse;
        let (old_choices, old_placed) = match self.pulses.remove(&rank) {
            Some(before) => (before.choices, before.placement),
            None => (None, None),
        };
        let choices = sum(choices, old_choices);
        self.pulses.insert(rank, Heartbeat { status, choices, placement: placed.or(old_placed) });
        news
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.pulses.is_empty()
    }

    /// All that wait behind `own`, which says what the requests of all chose.
    pub fn take_with(&mut self, mut own: Heartbeat) -> Vec<Heartbeat> {
        let mut others: Vec<Heartbeat> = std::mem::take(&mut self.pulses).into_values().collect();
        own.choices = others.iter_mut().map(|pulse| pulse.choices.take()).fold(own.choices, sum);
        others.insert(0, own);
        others
    }
}

/// The sum of two choices, if there are any.
fn sum(left: Option<Choices>, right: Option<Choices>) -> Option<Choices> {
    match (left, right) {
        (Some(left), Some(right)) => Some(left.merged(&right)),
        (left, right) => left.or(right),
    }
}

/// One order to some ranks of a section.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderBatch {
    /// The order.
    pub order: Order,
    /// Its ranks; never empty.
    pub ranks: Vec<usize>,
}

/// Sorts orders by section, so that each section gets the same order once.
pub fn batch_by_section(errands: Vec<RankOrder>, ranks: usize) -> Vec<OrderBatch> {
    let mut batches: Vec<OrderBatch> = Vec::new();
    for RankOrder { rank, order } in errands {
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
