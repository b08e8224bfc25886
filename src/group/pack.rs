//! Greedy packing of a layer from scratch: how many copies each expert has, and on which ranks.

use std::{cmp, mem};

use crate::group::layout;

/// Returns the number of copies of each expert: one each, then each remaining slot goes to the
/// expert whose copies carry the most load.
pub fn count_copies(weights: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut copies = vec![1; weights.len()];
    for _ in weights.len()..ranks * slots {
        let copy_load = |e: usize| weights[e] / copies[e] as f64;
        let open = (0..weights.len()).filter(|&e| copies[e] < ranks);
        match open.max_by(|&a, &b| copy_load(a).total_cmp(&copy_load(b))) {
            Some(expert) => copies[expert] += 1,
            None => break,
        }
    }
    copies
}

/// Returns the cells of one layer, rank by rank, without regard to the map in use.
///
/// Copies are placed in decreasing order of load, each on the least loaded rank with a free slot.
/// With `spread`, ranks in zones without a copy of the expert come first, then ranks on hosts
/// without one.
pub fn pack(weights: &[f64], slots: usize, layout: &layout::Layout, spread: bool) -> Vec<u16> {
    let copies = count_copies(weights, layout.hosts.len(), slots);
    let copy_loads: Vec<f64> = weights.iter().zip(&copies).map(|(w, n)| w / *n as f64).collect();
    let mut bins = Bins::new(layout, slots, &[], 0.0);
    bins.place_copies(&copy_loads, &copies, spread);
    bins.cells()
}

/// Returns the index of the largest load.
pub fn busiest_rank(load: &[f64]) -> usize {
    (0..load.len()).max_by(|&a, &b| load[a].total_cmp(&load[b])).unwrap_or(0)
}

/// The ranks of a layer while they are being filled with expert copies.
pub(crate) struct Bins<'a> {
    layout: &'a layout::Layout,
    slots: usize,
    old: &'a [u16],
    bonus: f64,
    held: Vec<Vec<u16>>,
    load: Vec<f64>,
}

impl<'a> Bins<'a> {
    /// Creates empty ranks. A rank that held an expert in `old` counts as loaded less by `bonus`
    /// when a copy of that expert is placed.
    pub(crate) fn new(
        layout: &'a layout::Layout,
        slots: usize,
        old: &'a [u16],
        bonus: f64,
    ) -> Self {
        let ranks = layout.hosts.len();
        Self { layout, slots, old, bonus, held: vec![Vec::new(); ranks], load: vec![0.0; ranks] }
    }

    /// Adds a copy of `expert` with this load to `rank`.
    pub(crate) fn add_copy(&mut self, rank: usize, expert: u16, load: f64) {
        self.held[rank].push(expert);
        self.load[rank] += load;
    }

    /// Places the given number of copies of each expert, in decreasing order of the load of a copy.
    /// With `spread`, experts with a single copy come last, since they fit into any zone.
    pub(crate) fn place_copies(&mut self, copy_loads: &[f64], copies: &[usize], spread: bool) {
        let mut order: Vec<usize> = (0..copy_loads.len()).collect();
        let single = |e: usize| spread && copies[e] < 2;
        order.sort_by(|&a, &b| {
            let by_load = copy_loads[b].total_cmp(&copy_loads[a]);
            single(a).cmp(&single(b)).then(by_load).then(a.cmp(&b))
        });
        let mut unplaced = Vec::new();
        for expert in order {
            for _ in 0..copies[expert] {
                match self.choose_rank(expert as u16, spread) {
                    Some(rank) => self.add_copy(rank, expert as u16, copy_loads[expert]),
                    None => unplaced.push(expert as u16),
                }
            }
        }
        unplaced.into_iter().for_each(|expert| self.place_by_exchange(expert));
    }

    /// Returns the cells, rank by rank.
    pub(crate) fn cells(self) -> Vec<u16> {
        self.held.concat()
    }

    /// Chooses the rank of lowest cost that has a free slot and does not hold `expert`. With
    /// `spread`, ranks in zones without a copy of the expert come first, then ranks on hosts
    /// without one.
    fn choose_rank(&self, expert: u16, spread: bool) -> Option<usize> {
        let holders: Vec<usize> = match spread {
            true => (0..self.held.len()).filter(|&r| self.held[r].contains(&expert)).collect(),
            false => Vec::new(),
        };
        (0..self.held.len())
            .filter(|&rank| self.held[rank].len() < self.slots)
            .filter(|&rank| !self.held[rank].contains(&expert))
            .map(|rank| (self.is_near(&holders, rank), self.cost(rank, expert), rank))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))
            .map(|(_, _, rank)| rank)
    }

    /// Whether one of `holders` is in the zone of `rank`, and whether one is on its host.
    fn is_near(&self, holders: &[usize], rank: usize) -> (bool, bool) {
        let shares = |of: &[u16]| holders.iter().any(|&holder| of[holder] == of[rank]);
        (shares(&self.layout.zones), shares(&self.layout.hosts))
    }

    fn cost(&self, rank: usize, expert: u16) -> f64 {
        let held_before = match self.old {
            [] => false,
            old => old[rank * self.slots..(rank + 1) * self.slots].contains(&expert),
        };
        self.load[rank] - if held_before { self.bonus } else { 0.0 }
    }

    /// Places a copy by an exchange when all ranks with a free slot hold the expert already.
    fn place_by_exchange(&mut self, expert: u16) {
        let free = (0..self.held.len())
            .min_by_key(|&rank| cmp::Reverse(self.slots - self.held[rank].len()))
            .unwrap_or(0);
        match self.find_exchange(free, expert) {
            Some((rank, slot)) => {
                let moved = mem::replace(&mut self.held[rank][slot], expert);
                self.held[free].push(moved);
            }
            None => {
                let other = (0..).find(|e| !self.held[free].contains(e));
                self.held[free].extend(other);
            }
        }
    }

    /// Finds a slot on a rank without `expert` whose present expert can move to the rank `free`.
    fn find_exchange(&self, free: usize, expert: u16) -> Option<(usize, usize)> {
        let mut without = (0..self.held.len()).filter(|&rank| !self.held[rank].contains(&expert));
        without.find_map(|rank| {
            let slot = self.held[rank].iter().position(|e| !self.held[free].contains(e))?;
            Some((rank, slot))
        })
    }
}
