//! Greedy map from scratch: how many copies of each expert, and on which ranks.

use std::mem;

use crate::group::{layout, loads};

/// Most edits that mend what greedy placement could not place.
const REPAIRS: usize = 64;

/// Number of copies of each expert: one each, then the next to the busiest copy.
pub fn replicate(weights: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut copies = vec![1; weights.len()];
    for _ in weights.len()..ranks * slots {
        let busiest = (0..weights.len()).filter(|&e| copies[e] < ranks).max_by(|&a, &b| {
            per_copy(weights, &copies, a).total_cmp(&per_copy(weights, &copies, b))
        });
        match busiest {
            Some(expert) => copies[expert] += 1,
            None => break,
        }
    }
    copies
}

/// Cells of one layer, rank by rank, without regard to any map in use.
///
/// Copies are placed in falling order of load, each on the least loaded rank
/// with a free slot; a zone and then a host without a copy goes before.
pub fn pack(weights: &[f64], slots: usize, layout: &layout::Layout, spread: bool) -> Vec<u16> {
    let ranks = layout.hosts.len();
    let copies = replicate(weights, ranks, slots);
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|&a, &b| {
        per_copy(weights, &copies, b).total_cmp(&per_copy(weights, &copies, a)).then(a.cmp(&b))
    });
    let mut bins = Bins { layout, slots, held: vec![Vec::new(); ranks], load: vec![0.0; ranks] };
    let mut left = Vec::new();
    for expert in order {
        for _ in 0..copies[expert] {
            match bins.choose(expert as u16, spread) {
                Some(rank) => bins.put(rank, expert as u16, per_copy(weights, &copies, expert)),
                None => left.push(expert as u16),
            }
        }
    }
    bins.force(left);
    bins.held.concat()
}

/// Greedy placement, then the edits that still lower its skew.
pub fn refine(weights: &[f64], slots: usize, layout: &layout::Layout, spread: f64) -> Vec<u16> {
    let cells = pack(weights, slots, layout, spread > 0.0);
    let mut loads = loads::Loads::new(weights, slots, &cells);
    let place = loads::Place { layout, spread };
    for _ in 0..REPAIRS {
        let hot = busiest(loads.by_rank());
        match loads.best(hot, &place) {
            Some((edit, _)) => loads.apply(edit),
            None => break,
        }
    }
    loads.cells().to_vec()
}

/// Index of the largest load.
pub fn busiest(load: &[f64]) -> usize {
    (0..load.len()).max_by(|&a, &b| load[a].total_cmp(&load[b])).unwrap_or(0)
}

fn per_copy(weights: &[f64], copies: &[usize], expert: usize) -> f64 {
    weights[expert] / copies[expert] as f64
}

struct Bins<'a> {
    layout: &'a layout::Layout,
    slots: usize,
    held: Vec<Vec<u16>>,
    load: Vec<f64>,
}

impl Bins<'_> {
    fn choose(&self, expert: u16, spread: bool) -> Option<usize> {
        let holders: Vec<usize> =
            (0..self.held.len()).filter(|&rank| self.held[rank].contains(&expert)).collect();
        let near = |of: &[u16], rank: usize| holders.iter().any(|&held| of[held] == of[rank]);
        let crowded = |rank: usize| match spread {
            true => (near(&self.layout.zones, rank), near(&self.layout.hosts, rank)),
            false => (false, false),
        };
        (0..self.held.len())
            .filter(|&rank| {
                self.held[rank].len() < self.slots && !self.held[rank].contains(&expert)
            })
            .min_by(|&a, &b| {
                let by_load = self.load[a].total_cmp(&self.load[b]);
                crowded(a).cmp(&crowded(b)).then(by_load).then(a.cmp(&b))
            })
    }

    fn put(&mut self, rank: usize, expert: u16, load: f64) {
        self.held[rank].push(expert);
        self.load[rank] += load;
    }

    /// Places copies whose only free slots are on ranks that hold the expert, by an exchange.
    fn force(&mut self, left: Vec<u16>) {
        for expert in left {
            let Some(free) = (0..self.held.len()).find(|&rank| self.held[rank].len() < self.slots)
            else {
                return;
            };
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
    }

    /// A slot elsewhere that may take `expert` and whose expert rank `free` may take.
    fn exchange(&self, free: usize, expert: u16) -> Option<(usize, usize)> {
        let lacking = (0..self.held.len()).filter(|&rank| !self.held[rank].contains(&expert));
        lacking.into_iter().find_map(|rank| {
            let slot = self.held[rank].iter().position(|e| !self.held[free].contains(e))?;
            Some((rank, slot))
        })
    }
}
