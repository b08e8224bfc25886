//! Greedy map from scratch: how many copies of each expert, and on which ranks.

use std::{cmp, mem};

use crate::group::layout;

/// Number of copies of each expert: one each, then one more to the busiest copy, again and again.
pub fn count_copies(weights: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut copies = vec![1; weights.len()];
    for _ in weights.len()..ranks * slots {
        let share = |e: usize| weights[e] / copies[e] as f64;
        let open = (0..weights.len()).filter(|&e| copies[e] < ranks);
        match open.max_by(|&a, &b| share(a).total_cmp(&share(b))) {
            Some(expert) => copies[expert] += 1,
            None => break,
        }
    }
    copies
}

/// Cells of one layer, rank by rank, without regard to any map in use.
///
/// Copies are placed in falling order of load, each on the least loaded rank
/// with a free slot; with `spread`, zones and then hosts without a copy go first.
pub fn pack(weights: &[f64], slots: usize, layout: &layout::Layout, spread: bool) -> Vec<u16> {
    let copies = count_copies(weights, layout.hosts.len(), slots);
    let shares: Vec<f64> = weights.iter().zip(&copies).map(|(w, n)| w / *n as f64).collect();
    let mut bins = Bins::new(layout, slots, &[], 0.0);
    bins.place_copies(&shares, &copies, spread);
    bins.cells()
}

/// Index of the largest load.
pub fn busiest_rank(load: &[f64]) -> usize {
    (0..load.len()).max_by(|&a, &b| load[a].total_cmp(&load[b])).unwrap_or(0)
}

/// Ranks that are being filled.
pub(crate) struct Bins<'a> {
    layout: &'a layout::Layout,
    slots: usize,
    old: &'a [u16],
    bonus: f64,
    held: Vec<Vec<u16>>,
    load: Vec<f64>,
}

impl<'a> Bins<'a> {
    /// Empty ranks; one that held an expert in `old` counts as lighter by `bonus` for it.
    pub(crate) fn new(
        layout: &'a layout::Layout,
        slots: usize,
        old: &'a [u16],
        bonus: f64,
    ) -> Self {
        let ranks = layout.hosts.len();
        Self { layout, slots, old, bonus, held: vec![Vec::new(); ranks], load: vec![0.0; ranks] }
    }

    /// Gives `rank` a copy of `expert`.
    pub(crate) fn add_copy(&mut self, rank: usize, expert: u16, load: f64) {
        self.held[rank].push(expert);
        self.load[rank] += load;
    }

    /// Places `copies` of each expert, in falling order of their `shares`; with `spread`,
    /// experts of one copy come last, since they fit any zone.
    pub(crate) fn place_copies(&mut self, shares: &[f64], copies: &[usize], spread: bool) {
        let mut order: Vec<usize> = (0..shares.len()).collect();
        let single = |e: usize| spread && copies[e] < 2;
        order.sort_by(|&a, &b| {
            let by_share = shares[b].total_cmp(&shares[a]);
            single(a).cmp(&single(b)).then(by_share).then(a.cmp(&b))
        });
        let mut left = Vec::new();
        for expert in order {
            for _ in 0..copies[expert] {
                match self.choose(expert as u16, spread) {
                    Some(rank) => self.add_copy(rank, expert as u16, shares[expert]),
                    None => left.push(expert as u16),
                }
            }
        }
        left.into_iter().for_each(|expert| self.force(expert));
    }

    /// The cells, rank by rank.
    pub(crate) fn cells(self) -> Vec<u16> {
        self.held.concat()
    }

    fn choose(&self, expert: u16, spread: bool) -> Option<usize> {
        let holders: Vec<usize> = match spread {
            true => (0..self.held.len()).filter(|&r| self.held[r].contains(&expert)).collect(),
            false => Vec::new(),
        };
        (0..self.held.len())
            .filter(|&rank| self.held[rank].len() < self.slots)
            .filter(|&rank| !self.held[rank].contains(&expert))
            .map(|rank| (self.crowded(&holders, rank), self.cost(rank, expert), rank))
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))
            .map(|(_, _, rank)| rank)
    }

    /// Whether the zone and the host of `rank` have a holder already.
    fn crowded(&self, holders: &[usize], rank: usize) -> (bool, bool) {
        let near = |of: &[u16]| holders.iter().any(|&held| of[held] == of[rank]);
        (near(&self.layout.zones), near(&self.layout.hosts))
    }

    fn cost(&self, rank: usize, expert: u16) -> f64 {
        let held_before = match self.old {
            [] => false,
            old => old[rank * self.slots..(rank + 1) * self.slots].contains(&expert),
        };
        self.load[rank] - if held_before { self.bonus } else { 0.0 }
    }

    /// Places a copy when the only free slots are on ranks that hold the expert, by an exchange.
    fn force(&mut self, expert: u16) {
        let free = (0..self.held.len())
            .min_by_key(|&rank| cmp::Reverse(self.slots - self.held[rank].len()))
            .unwrap_or(0);
        match self.exchange(free, expert) {
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

    /// A slot elsewhere that may take `expert` and whose expert rank `free` may take.
    fn exchange(&self, free: usize, expert: u16) -> Option<(usize, usize)> {
        let mut lacking = (0..self.held.len()).filter(|&rank| !self.held[rank].contains(&expert));
        lacking.find_map(|rank| {
            let slot = self.held[rank].iter().position(|e| !self.held[free].contains(e))?;
            Some((rank, slot))
        })
    }
}
