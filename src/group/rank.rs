//! One rank's side of a map change: the maps that it holds, the map in use and the orders that it
//! accepts.
//!
//! Rank 0 starts each pass and names the map of the pass to all ranks. It is therefore the only
//! point where a change is decided: the moment when it accepts a switch.

use std::collections::BTreeSet;

use crate::group::{map, order};

/// Rank that starts each pass.
pub const LEADER: usize = 0;

/// Floor of a rank that could not read the table when it started: rejects every version.
const FLOOR_UNKNOWN: u64 = u64::MAX;

/// Message of rank 0 at the start of a pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pass {
    /// Identifier of the map that all ranks use in this pass.
    pub map: map::Id,
}

/// The state of one rank, without I/O.
#[derive(Clone, Debug)]
pub struct Rank {
    rank: usize,
    incarnation: u64,
    fence: order::Fence,
    in_use: map::Id,
    held: BTreeSet<map::Id>,
    /// Versions up to this one are dead to the rank: it never loads or switches to them. This
    /// rejects a load or switch that arrives after the abort or free of its map.
    floor: u64,
    /// Incarnations with which the group was last formed.
    formed: order::Incarnations,
}

impl Rank {
    /// Creates a rank that has just started and holds only the map that its group was formed with.
    ///
    /// `last_version` is the highest version proposed so far, as read from the table. Every
    /// proposal up to it is dead to this rank: a restart loses the floor, and a late load or switch
    /// could otherwise bring back a map that was aborted before the restart. `None` means that the
    /// table did not answer; the rank then rejects every proposal until
    /// [`set_last_version`](Self::set_last_version) is called.
    pub fn new(rank: usize, incarnation: u64, in_use: map::Id, last_version: Option<u64>) -> Self {
        Self {
            rank,
            incarnation,
            fence: order::Fence::default(),
            in_use,
            held: BTreeSet::from([in_use]),
            floor: last_version.unwrap_or(FLOOR_UNKNOWN),
            formed: Vec::new(),
        }
    }

    /// Sets the floor once the table answers, if it did not when the rank started.
    pub fn set_last_version(&mut self, last_version: u64) {
        if self.floor == FLOOR_UNKNOWN {
            self.floor = last_version;
        }
    }

    /// Returns the incarnation of this rank.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the map in use.
    pub fn map_in_use(&self) -> map::Id {
        self.in_use
    }

    /// Returns all maps that the rank holds.
    pub fn held(&self) -> &BTreeSet<map::Id> {
        &self.held
    }

    /// Forms the group again after a restart, with the given incarnations and the map that rank 0
    /// names. The map comes from rank 0 and not from the table, which lags behind a switch.
    pub fn form_group(&mut self, incarnations: &[u64], map: map::Id) {
        self.formed = incarnations.to_vec();
        self.held.insert(map);
        self.in_use = map;
    }

    /// Starts a pass; called on rank 0 only.
    pub fn start_pass(&self) -> Pass {
        Pass { map: self.in_use }
    }

    /// Takes part in a pass; returns `false` if the rank does not hold the named map.
    pub fn run_pass(&mut self, pass: Pass) -> bool {
        if !self.held.contains(&pass.map) {
            return false;
        }
        self.in_use = pass.map;
        true
    }

    /// Carries out an order, unless a higher fence was seen: then its sender has lost the lease.
    pub fn handle_order(&mut self, fence: order::Fence, order: &order::Order) -> order::Answer {
        let verdict = match fence < self.fence {
            true => order::Verdict::Fenced,
            false => self.execute(order),
        };
        self.fence = self.fence.max(fence);
        order::Answer {
            rank: self.rank,
            incarnation: self.incarnation,
            order: order.clone(),
            verdict,
            in_use: self.in_use,
            held: self.held.iter().copied().collect(),
            fence: self.fence,
        }
    }

    /// Executes an order. An abort or free of the map in use is rejected, since the switch to the
    /// map came first.
    fn execute(&mut self, order: &order::Order) -> order::Verdict {
        match order {
            order::Order::Load(id) => self.load(*id),
            order::Order::Switch { from, to, loaded } => self.switch(*from, *to, loaded),
            order::Order::Abort(id) if *id == self.in_use => order::Verdict::InUse,
            order::Order::Free(id) if *id == self.in_use => order::Verdict::InUse,
            order::Order::Abort(id) | order::Order::Free(id) => self.free(*id),
            order::Order::Report(_) => order::Verdict::Done,
        }
    }

    /// Loads a map. A dead version means that the order arrived after the map's abort or free, or
    /// was sent before this rank started.
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

    /// Switches to a map. The checks, in order, guard against a repeated order, one that arrives
    /// after the abort of its map, one that belongs to an earlier change, and a rank that restarted
    /// after it acknowledged the load and no longer holds the map.
    fn switch(&mut self, from: map::Id, to: map::Id, loaded: &[u64]) -> order::Verdict {
        match () {
            () if self.in_use == to => order::Verdict::Done,
            () if to.version <= self.floor => order::Verdict::Dead,
            () if self.in_use != from || self.rank != LEADER => order::Verdict::Other,
            () if self.formed != loaded || !self.held.contains(&to) => order::Verdict::Restarted,
            () => {
                self.in_use = to;
                order::Verdict::Done
            }
        }
    }

    /// Frees a map and makes its version dead, so that a late load or switch cannot bring it back.
    fn free(&mut self, id: map::Id) -> order::Verdict {
        self.held.remove(&id);
        self.floor = self.floor.max(id.version);
        order::Verdict::Done
    }
}
