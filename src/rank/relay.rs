//! Divides large groups into sections. One agent of each section, its relay, passes on the
//! heartbeats of the other ranks and the orders to them, so that neither the link nor the processor
//! of the owner limits how soon the group reacts to a jump of popularity.

use std::{collections::BTreeMap, ops, time};

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
    if !has_relays(ranks) {
        return rank..rank + 1;
    }
    let len = (ranks as f64).sqrt().ceil() as usize;
    let start = rank / len * len;
    start..(start + len).min(ranks)
}

/// Shortest time between two reports of choices; a pass takes about 30 to 100 ms.
const MIN_CHOICES_INTERVAL: time::Duration = time::Duration::from_millis(60);
/// Limit on the choices that the owner of a group receives, in bytes a second: a third of its link
/// at the largest site, which also carries orders and loads.
const MAX_CHOICES_BYTES_PER_S: usize = 225_000;

/// Whether a group of `ranks` is divided into sections of several ranks.
pub fn has_relays(ranks: usize) -> bool {
    ranks > MAX_RANKS_WITHOUT_RELAYS
}

/// Returns the time between two reports of choices that an agent sends in a group of `ranks`, with
/// one byte for each of `experts`, counted over all sets.
pub fn choices_interval(ranks: usize, experts: usize) -> time::Duration {
    let bytes = section_count(ranks) * experts;
    let interval = time::Duration::from_secs_f64(bytes as f64 / MAX_CHOICES_BYTES_PER_S as f64);
    interval.max(MIN_CHOICES_INTERVAL)
}

/// Number of sections in a group of `ranks`, and so of agents that send heartbeats to the owner.
pub fn section_count(ranks: usize) -> usize {
    ranks.div_ceil(section_of(0, ranks).len().max(1))
}

/// Returns the ranks of a group of `ranks` in the order in which a gateway asks their agents for the
/// loads of the engines. `random` is a number that differs between gateways.
///
/// In a small group the owner, which is one of the first ranks, is asked first. In a large one a
/// gateway asks the agents of one section before those of the next, so that about as many gateways
/// ask each section and one agent in each has to ask the owner. The first agent of a section, which
/// relays heartbeats, is asked last.
pub fn load_sources(ranks: usize, random: u64) -> Vec<usize> {
    if !has_relays(ranks) {
        return (0..ranks).collect();
    }
    let sections = section_count(ranks);
    let first = (random % sections as u64) as usize;
    let section = |n: usize| section_of((first + n) % sections * section_of(0, ranks).len(), ranks);
    let rotated = |section: ops::Range<usize>| {
        (section.start + 1..section.end).chain(std::iter::once(section.start))
    };
    (0..sections).flat_map(|n| rotated(section(n))).collect()
}

/// Heartbeats of the other ranks in a section that their relay has yet to pass on.
#[derive(Debug, Default)]
pub struct PendingHeartbeats {
    by_rank: BTreeMap<usize, Heartbeat>,
    /// Newest status of each rank, also of those whose heartbeat has been passed on.
    latest: BTreeMap<usize, Status>,
    /// Sum of the choices of all ranks that have yet to be passed on.
    choices: Option<Choices>,
    /// Time at which choices were last passed on.
    choices_passed_at: Option<time::Duration>,
}

impl PendingHeartbeats {
    /// Adds a heartbeat of `rank`, merged with one that is still pending. Returns whether it shows
    /// a change for which the owner may be waiting.
    pub fn add(&mut self, rank: usize, heartbeat: Heartbeat) -> bool {
        let latest = self.latest.insert(rank, heartbeat.status.clone());
        let changed = latest.is_none_or(|latest| latest.differs_for_map_change(&heartbeat.status));
        let Heartbeat { status, choices, placement } = heartbeat;
        self.choices = sum(self.choices.take(), choices);
        let old_placement = self.by_rank.remove(&rank).and_then(|before| before.placement);
        let placement = placement.or(old_placement);
        self.by_rank.insert(rank, Heartbeat { status, choices: None, placement });
        changed
    }

    /// Whether no heartbeat is pending.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Removes the pending heartbeats and returns them after `own_heartbeat`. That one gets the sum
    /// of all choices, unless choices were passed on within the last `choices_interval`.
    pub fn take_with(
        &mut self,
        mut own_heartbeat: Heartbeat,
        now: time::Duration,
        choices_interval: time::Duration,
    ) -> Vec<Heartbeat> {
        self.choices = sum(self.choices.take(), own_heartbeat.choices.take());
        if self.choices_passed_at.is_none_or(|at| at + choices_interval <= now) {
            own_heartbeat.choices = self.choices.take();
            self.choices_passed_at = Some(now);
        }
        let others = std::mem::take(&mut self.by_rank).into_values();
        std::iter::once(own_heartbeat).chain(others).collect()
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
