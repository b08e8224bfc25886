//! One rank's side of a map change: what it holds, what it uses, which orders it takes.
//!
//! The rank that starts each step, rank 0, is the one point where a change is
//! decided: it names the map of every step.

use std::collections::BTreeSet;

use crate::group::{map, order};

/// Rank that starts each step.
pub const LEADER: usize = 0;

/// Floor of a rank that could not read the table when it started.
const UNKNOWN: u64 = u64::MAX;

/// What rank 0 says at the start of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pass {
    /// Map of this step.
    pub map: map::Id,
}

/// A rank without I/O.
#[derive(Clone, Debug)]
pub struct Rank {
    rank: usize,
    incarnation: u64,
    fence: order::Fence,
    using: map::Id,
    held: BTreeSet<map::Id>,
    /// Versions up to here are never loaded or switched to.
    floor: u64,
    formed: order::Incarnations,
}

impl Rank {
    /// A rank that has just started and holds only the map that its group was formed with.
    ///
    /// `last` is the highest version proposed so far, as the table says; all
    /// proposals from before the start are dead to it. While the table does not
    /// answer it is `None`, and every proposal is.
    pub fn new(rank: usize, incarnation: u64, using: map::Id, last: Option<u64>) -> Self {
        Self {
            rank,
            incarnation,
            fence: order::Fence::default(),
            using,
            held: BTreeSet::from([using]),
            floor: last.unwrap_or(UNKNOWN),
            formed: Vec::new(),
        }
    }

    /// The table answered after a start without it.
    pub fn set_last_version(&mut self, last: u64) {
        if self.floor == UNKNOWN {
            self.floor = last;
        }
    }

    /// Incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Map in use.
    pub fn map_in_use(&self) -> map::Id {
        self.using
    }

    /// Maps held.
    pub fn held(&self) -> &BTreeSet<map::Id> {
        &self.held
    }

    /// The group forms anew with these incarnations, on the map that rank 0 names.
    pub fn form_group(&mut self, formed: &[u64], map: map::Id) {
        self.formed = formed.to_vec();
        self.held.insert(map);
        self.using = map;
    }

    /// Starts a step; rank 0 only.
    pub fn start_pass(&self) -> Pass {
        Pass { map: self.using }
    }

    /// Takes part in a step; `false` if the map named is not held.
    pub fn run_pass(&mut self, step: Pass) -> bool {
        if !self.held.contains(&step.map) {
            return false;
        }
        self.using = step.map;
        true
    }

    /// Carries out an order.
    pub fn handle_order(&mut self, fence: order::Fence, order: &order::Order) -> order::Answer {
        let verdict = match fence < self.fence {
            true => order::Verdict::Fenced,
            false => self.obey(order),
        };
        self.fence = self.fence.max(fence);
        order::Answer {
            rank: self.rank,
            incarnation: self.incarnation,
            order: order.clone(),
            verdict,
            in_use: self.using,
            held: self.held.iter().copied().collect(),
            fence: self.fence,
        }
    }

    fn obey(&mut self, order: &order::Order) -> order::Verdict {
        match order {
            order::Order::Load(id) => self.load(*id),
            order::Order::Switch { from, to, loaded } => self.switch(*from, *to, loaded),
            order::Order::Abort(id) if *id == self.using => order::Verdict::InUse,
            order::Order::Free(id) if *id == self.using => order::Verdict::InUse,
            order::Order::Abort(id) | order::Order::Free(id) => self.free(*id),
            order::Order::Report(_) => order::Verdict::Done,
        }
    }

    fn load(&mut self, id: map::Id) -> order::Verdict {
        match () {
            () if self.held.contains(&id) => order::Verdict::Done,
            () if id.version <= self.floor => order::Verdict::Dead,
            () => {
                self.held.insert(id);
                order::Verdict::Done
            }
        }
    }

    fn switch(&mut self, from: map::Id, to: map::Id, loaded: &[u64]) -> order::Verdict {
        match () {
            () if self.using == to => order::Verdict::Done,
            () if to.version <= self.floor => order::Verdict::Dead,
            () if self.using != from || self.rank != LEADER => order::Verdict::Other,
            () if self.formed != loaded || !self.held.contains(&to) => order::Verdict::Restarted,
            () => {
                self.using = to;
                order::Verdict::Done
            }
        }
    }

    fn free(&mut self, id: map::Id) -> order::Verdict {
        self.held.remove(&id);
        self.floor = self.floor.max(id.version);
        order::Verdict::Done
    }
}
