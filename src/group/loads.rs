//! Load of each rank of one layer under a map, and what an edit would make of it.

use crate::group::layout;

/// Least gain in the potential that is worth an edit.
const LEAST: f64 = 1e-9;

/// One edit of a layer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Edit {
    /// Two cells change places.
    Swap(usize, usize),
    /// The cell is overwritten by another copy of the expert.
    Replace(usize, u16),
}

impl Edit {
    /// Copies that must be loaded for it.
    pub fn moves(self) -> usize {
        match self {
            Self::Swap(..) => 2,
            Self::Replace(..) => 1,
        }
    }
}

/// Loads of one layer, over the mean. Copies of an expert share its tokens evenly.
#[derive(Clone, Debug)]
pub struct LayerLoads {
    weights: Vec<f64>,
    slots: usize,
    cells: Vec<u16>,
    at: Vec<Vec<u16>>,
    held: Vec<bool>,
    share: Vec<f64>,
    load: Vec<f64>,
    phi: Vec<f64>,
}

impl LayerLoads {
    /// Loads of `cells`, rank by rank, for `weights` by expert.
    pub fn new(weights: &[f64], slots: usize, cells: &[u16]) -> Self {
        let (ranks, experts) = (cells.len() / slots, weights.len());
        let mean = weights.iter().sum::<f64>() / ranks as f64;
        let mut at = vec![Vec::new(); experts];
        let mut held = vec![false; ranks * experts];
        for (i, &expert) in cells.iter().enumerate() {
            at[usize::from(expert)].push((i / slots) as u16);
            held[i / slots * experts + usize::from(expert)] = true;
        }
        let mut loads = Self {
            weights: weights.iter().map(|w| w / mean.max(f64::MIN_POSITIVE)).collect(),
            slots,
            cells: cells.to_vec(),
            at,
            held,
            share: vec![0.0; experts],
            load: vec![0.0; ranks],
            phi: vec![0.0; ranks],
        };
        loads.recount();
        loads
    }

    /// Cells, rank by rank.
    pub fn cells(&self) -> &[u16] {
        &self.cells
    }

    /// Load of each rank over the mean.
    pub fn rank_loads(&self) -> &[f64] {
        &self.load
    }

    /// Largest rank load over the mean; 1 when there is no load.
    pub fn skew(&self) -> f64 {
        match self.load.iter().copied().fold(0.0, f64::max) {
            0.0 => 1.0,
            skew => skew,
        }
    }

    /// Ranks that hold `expert`.
    pub fn holders(&self, expert: u16) -> &[u16] {
        &self.at[usize::from(expert)]
    }

    /// Root mean square error of rank loads over the mean load, for relative `errors` by expert.
    pub fn load_error(&self, errors: &[f64]) -> f64 {
        let part = |&e: &u16| (self.share[usize::from(e)] * errors[usize::from(e)]).powi(2);
        let sum: f64 = self.cells.iter().map(part).sum();
        (sum / self.load.len() as f64).sqrt()
    }

    /// Best edit for rank `hot` by gain per copy loaded, and that gain; `None` if none helps.
    pub fn best_edit(&self, hot: usize, place: &ZoneSpread<'_>) -> Option<(Edit, f64)> {
        let partners: Vec<usize> = (0..self.load.len()).filter(|rank| *rank != hot).collect();
        self.best_edit_among(hot, &partners, place, |_| true)
    }

    /// The same among the edits with `partners` that `allowed` takes.
    pub fn best_edit_among(
        &self,
        hot: usize,
        partners: &[usize],
        place: &ZoneSpread<'_>,
        allowed: impl Fn(Edit) -> bool,
    ) -> Option<(Edit, f64)> {
        let cells_of = |rank: usize| rank * self.slots..(rank + 1) * self.slots;
        let own = || cells_of(hot);
        let others = || partners.iter().flat_map(|rank| cells_of(*rank));
        let many = |cell: &usize| self.at[usize::from(self.cells[*cell])].len() > 1;
        let loss = |cell: usize| self.gain_of_loss(usize::from(self.cells[cell]));
        let cool = others().filter(|b| self.load[b / self.slots] < self.load[hot]);
        let swaps = cool
            .flat_map(|b| own().map(move |a| (Edit::Swap(a, b), self.gain_of_swap(a, b, place))));
        let relief: Vec<f64> =
            own().map(|a| self.gain_of_copy(usize::from(self.cells[a]))).collect();
        let copies = others().filter(many).flat_map(|b| {
            let loss = loss(b);
            own().zip(&relief).map(move |(a, relief)| {
                let e = self.cells[a];
                (Edit::Replace(b, e), self.gain_of_put(hot, b, e, relief + loss, place))
            })
        });
        let lighter = own().filter(many).flat_map(|a| {
            let loss = loss(a);
            others().map(move |b| {
                let e = self.cells[b];
                let base = self.gain_of_copy(usize::from(e)) + loss;
                (Edit::Replace(a, e), self.gain_of_put(hot, a, e, base, place))
            })
        });
        let mut best: Option<(Edit, f64)> = None;
        for (edit, gain) in swaps.chain(copies).chain(lighter) {
            let gain = gain.unwrap_or_default() / edit.moves() as f64;
            // Most edits gain less than the best so far, so the costlier check comes last.
            if gain > best.map_or(LEAST, |(_, most)| most) && allowed(edit) {
                best = Some((edit, gain));
            }
        }
        best
    }

    /// Applies an edit.
    pub fn apply(&mut self, edit: Edit) {
        match edit {
            Edit::Swap(a, b) => {
                let (e, f) = (self.cells[a], self.cells[b]);
                self.replace(a, e, f);
                self.replace(b, f, e);
            }
            Edit::Replace(a, e) => self.replace(a, self.cells[a], e),
        }
        self.recount();
    }

    fn replace(&mut self, cell: usize, old: u16, new: u16) {
        let rank = cell / self.slots;
        self.at[usize::from(old)].retain(|holder| usize::from(*holder) != rank);
        self.at[usize::from(new)].push(rank as u16);
        self.held[rank * self.weights.len() + usize::from(old)] = false;
        self.held[rank * self.weights.len() + usize::from(new)] = true;
        self.cells[cell] = new;
    }

    fn recount(&mut self) {
        for expert in 0..self.weights.len() {
            self.share[expert] = self.weights[expert] / self.at[expert].len() as f64;
        }
        for (rank, own) in self.cells.chunks(self.slots).enumerate() {
            self.load[rank] = own.iter().map(|&e| self.share[usize::from(e)]).sum();
            self.phi[rank] = potential(self.load[rank]);
        }
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.held[rank * self.weights.len() + expert]
    }

    /// Load that a further copy of `e` takes off each present one.
    fn relief(&self, e: usize) -> f64 {
        self.share[e] - self.weights[e] / (self.at[e].len() + 1) as f64
    }

    /// Load that the loss of a copy of `f` puts on each other one.
    fn strain(&self, f: usize) -> f64 {
        match self.at[f].len() {
            0 | 1 => 0.0,
            len => self.weights[f] / (len - 1) as f64 - self.share[f],
        }
    }

    /// Gain on the present holders of `e` from a further copy.
    fn gain_of_copy(&self, e: usize) -> f64 {
        let relief = self.relief(e);
        self.at[e].iter().map(|&rank| self.drop(usize::from(rank), -relief)).sum()
    }

    /// Gain, below zero, on all holders of `f` from one copy fewer.
    fn gain_of_loss(&self, f: usize) -> f64 {
        let strain = self.strain(f);
        self.at[f].iter().map(|&rank| self.drop(usize::from(rank), strain)).sum()
    }

    fn gain_of_swap(&self, a: usize, b: usize, place: &ZoneSpread<'_>) -> Option<f64> {
        let (e, f) = (self.cells[a], self.cells[b]);
        let (h, c) = (a / self.slots, b / self.slots);
        let shift = self.share[usize::from(e)] - self.share[usize::from(f)];
        match () {
            () if shift <= 0.0 || self.load[c] + shift >= self.load[h] => return None,
            () if self.holds(c, usize::from(e)) || self.holds(h, usize::from(f)) => return None,
            () => {}
        }
        let gain = self.drop(h, -shift) + self.drop(c, shift);
        if gain + place.most() <= LEAST {
            return None;
        }
        let lost =
            place.lost(self.holders(e), h, Some(c)) + place.lost(self.holders(f), c, Some(h));
        Some(gain - lost)
    }

    /// Gain of `e` in `cell`; `base` is that on the holders of `e` and of the expert it replaces.
    fn gain_of_put(
        &self,
        hot: usize,
        cell: usize,
        e: u16,
        base: f64,
        place: &ZoneSpread<'_>,
    ) -> Option<f64> {
        let (c, new, old) = (cell / self.slots, usize::from(e), usize::from(self.cells[cell]));
        let by = self.share[new] - self.relief(new) - self.share[old];
        if self.load[c] + by >= self.load[hot] || self.holds(c, new) {
            return None;
        }
        let (relief, strain) = (self.relief(new), self.strain(old));
        let both = |&&rank: &&u16| self.holds(usize::from(rank), new);
        let mixed: f64 = self.at[old]
            .iter()
            .filter(both)
            .map(|&rank| usize::from(rank))
            .map(|r| self.drop(r, strain - relief) - self.drop(r, strain) - self.drop(r, -relief))
            .sum();
        let gain = base + mixed - self.drop(c, strain) + self.drop(c, by);
        if gain + place.most() <= LEAST {
            return None;
        }
        let lost =
            place.lost(&self.at[old], c, None) + place.lost(&self.at[new], usize::MAX, Some(c));
        Some(gain - lost)
    }

    /// Fall of the potential when the load of `rank` changes by `by`.
    fn drop(&self, rank: usize, by: f64) -> f64 {
        self.phi[rank] - potential(self.load[rank] + by)
    }
}

/// What copies of one expert in several zones are worth.
#[derive(Clone, Copy, Debug)]
pub struct ZoneSpread<'a> {
    /// Where the ranks stand.
    pub layout: &'a layout::Layout,
    /// Worth of a second zone, in units of the potential.
    pub worth: f64,
}

impl ZoneSpread<'_> {
    /// Most that one edit can add by spreading two experts.
    fn most(&self) -> f64 {
        2.0 * self.worth
    }

    /// Worth lost when a copy leaves rank `from`, if it holds one, and one comes to `to`.
    fn lost(&self, holders: &[u16], from: usize, to: Option<usize>) -> f64 {
        if self.worth == 0.0 {
            return 0.0;
        }
        let kept = holders.iter().copied().filter(|rank| usize::from(*rank) != from);
        let after = kept.chain(to.map(|rank| rank as u16));
        let before = self.layout.zones_of(holders.iter().copied()).min(2) as f64;
        self.worth * (before - self.layout.zones_of(after).min(2) as f64)
    }
}

/// Steep in the load, so that the busiest ranks outweigh all others.
fn potential(load: f64) -> f64 {
    load.powi(16)
}
