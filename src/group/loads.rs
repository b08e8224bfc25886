//! The load of each rank in one layer under a map, and how an edit of the layer changes it.

use std::iter;

use crate::group::layout;

/// Minimum gain in the potential for which an edit is made; smaller gains are rounding errors.
const MIN_GAIN: f64 = 1e-9;

/// One edit of a layer. A cell is the index of a slot in the layer, counted rank by rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Edit {
    /// Exchange the experts of two cells.
    Swap(usize, usize),
    /// Replace the expert of the cell by a further copy of this expert.
    Replace(usize, u16),
    /// Free the cell, whose expert other ranks hold too.
    Free(usize),
}

impl Edit {
    /// Returns the number of copies that ranks must load for the edit.
    pub fn moves(self) -> usize {
        match self {
            Self::Swap(..) => 2,
            Self::Replace(..) => 1,
            Self::Free(_) => 0,
        }
    }

    /// Returns the cells whose expert the edit changes.
    pub fn cells(self) -> impl Iterator<Item = usize> {
        let (first, second) = match self {
            Self::Swap(a, b) => (a, Some(b)),
            Self::Replace(a, _) | Self::Free(a) => (a, None),
        };
        iter::once(first).chain(second)
    }
}

/// Rank loads of one layer, relative to the mean. Copies of an expert share its tokens evenly.
#[derive(Clone, Debug)]
pub struct LayerLoads {
    /// Load of each expert. Those from `experts` on are placeholders without load, one for each slot
    /// of a rank, which free cells hold.
    weights: Vec<f64>,
    /// Number of experts.
    experts: usize,
    slots: usize,
    /// Time that each rank needs for a unit of load over that of a healthy rank.
    slowness: Vec<f64>,
    /// Expert of each cell.
    cells: Vec<u16>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    /// Whether a rank holds an expert: rank by rank, expert by expert.
    held: Vec<bool>,
    /// Load of each copy of an expert.
    copy_load: Vec<f64>,
    /// Load of each rank, multiplied by its slowness.
    rank_load: Vec<f64>,
    /// Potential of each rank.
    potentials: Vec<f64>,
}

impl LayerLoads {
    /// Computes the loads of `cells`, given rank by rank, for the weight of each expert.
    pub fn new(weights: &[f64], slots: usize, cells: &[u16]) -> Self {
        Self::with_slowness(weights, slots, cells, &[])
    }

    /// Like [`new`](Self::new), for ranks that need `slowness` times as long for a unit of load as a
    /// healthy rank; 1 for ranks that it does not list. A free cell has the number of experts plus
    /// the index of its slot in place of an expert.
    pub fn with_slowness(weights: &[f64], slots: usize, cells: &[u16], slowness: &[f64]) -> Self {
        let (ranks, experts) = (cells.len() / slots, weights.len());
        let mean = weights.iter().sum::<f64>() / ranks as f64;
        let mut weights: Vec<f64> =
            weights.iter().map(|w| w / mean.max(f64::MIN_POSITIVE)).collect();
        weights.resize(experts + slots, 0.0);
        let mut holders = vec![Vec::new(); weights.len()];
        let mut held = vec![false; ranks * weights.len()];
        for (i, &expert) in cells.iter().enumerate() {
            holders[usize::from(expert)].push((i / slots) as u16);
            held[i / slots * weights.len() + usize::from(expert)] = true;
        }
        let mut slowness = slowness.to_vec();
        slowness.resize(ranks, 1.0);
        let mut loads = Self {
            copy_load: vec![0.0; weights.len()],
            weights,
            experts,
            slots,
            slowness,
            cells: cells.to_vec(),
            holders,
            held,
            rank_load: vec![0.0; ranks],
            potentials: vec![0.0; ranks],
        };
        loads.recompute();
        loads
    }

    /// Returns the expert of each cell, rank by rank.
    pub fn cells(&self) -> &[u16] {
        &self.cells
    }

    /// Returns the load of each rank over the mean, multiplied by the rank's slowness.
    pub fn rank_loads(&self) -> &[f64] {
        &self.rank_load
    }

    /// Returns the largest of [`rank_loads`](Self::rank_loads), or 1 if there is no load.
    pub fn skew(&self) -> f64 {
        match self.rank_load.iter().copied().fold(0.0, f64::max) {
            0.0 => 1.0,
            skew => skew,
        }
    }

    /// Returns the ranks that hold `expert`.
    pub fn holders(&self, expert: u16) -> &[u16] {
        &self.holders[usize::from(expert)]
    }

    /// Returns the root mean square error of the rank loads, over the mean load, for the relative
    /// error of each expert's weight.
    pub fn load_error(&self, errors: &[f64]) -> f64 {
        let variance = |&e: &u16| (self.copy_load[usize::from(e)] * errors[usize::from(e)]).powi(2);
        let sum: f64 = self.cells.iter().map(variance).sum();
        (sum / self.rank_load.len() as f64).sqrt()
    }

    /// Returns the edit that relieves rank `hot` with the highest gain per copy loaded, and that
    /// gain; `None` if no edit gains anything.
    pub fn best_edit(&self, hot: usize, spread: &ZoneSpread<'_>) -> Option<(Edit, f64)> {
        let partners: Vec<usize> = (0..self.rank_load.len()).filter(|rank| *rank != hot).collect();
        self.best_edit_among(hot, &partners, spread, |_| true)
    }

    /// Like [`best_edit`](Self::best_edit), but only among the edits that involve one of the ranks
    /// `partners` and that `allowed` accepts.
    pub fn best_edit_among(
        &self,
        hot: usize,
        partners: &[usize],
        spread: &ZoneSpread<'_>,
        allowed: impl Fn(Edit) -> bool,
    ) -> Option<(Edit, f64)> {
        let cells_of = |rank: usize| rank * self.slots..(rank + 1) * self.slots;
        let hot_cells = || cells_of(hot);
        let partner_cells = || partners.iter().flat_map(|rank| cells_of(*rank));
        let replicated = |cell: &usize| {
            self.is_free(*cell) || self.holders[usize::from(self.cells[*cell])].len() > 1
        };
        let removal_gain = |cell: usize| self.gain_of_removal(usize::from(self.cells[cell]));
        let cooler =
            partner_cells().filter(|b| self.rank_load[b / self.slots] < self.rank_load[hot]);
        let swaps = cooler.flat_map(|b| {
            hot_cells().map(move |a| (Edit::Swap(a, b), self.gain_of_swap(a, b, spread)))
        });
        let copy_gains: Vec<f64> =
            hot_cells().map(|a| self.gain_of_copy(usize::from(self.cells[a]))).collect();
        // A partner takes a further copy of an expert of the hot rank.
        let copies = partner_cells().filter(replicated).flat_map(|b| {
            let removal = removal_gain(b);
            hot_cells().zip(&copy_gains).map(move |(a, copy_gain)| {
                let e = self.cells[a];
                (Edit::Replace(b, e), self.gain_of_replace(hot, b, e, copy_gain + removal, spread))
            })
        });
        // The hot rank takes a further copy of a lighter expert of a partner.
        let lighter = partner_cells().flat_map(|b| {
            let e = self.cells[b];
            let copy_gain = self.gain_of_copy(usize::from(e));
            hot_cells().filter(replicated).map(move |a| {
                let base = copy_gain + removal_gain(a);
                (Edit::Replace(a, e), self.gain_of_replace(hot, a, e, base, spread))
            })
        });
        // A slow rank gives up experts that other ranks hold too.
        let is_slow = self.slowness[hot] > 1.0;
        let spare = |cell: &usize| is_slow && !self.is_free(*cell) && replicated(cell);
        let freed = hot_cells().filter(spare).map(|a| {
            let gain = self.gain_of_replace(hot, a, self.placeholder(a), removal_gain(a), spread);
            (Edit::Free(a), gain)
        });
        let mut best: Option<(Edit, f64)> = None;
        for (edit, gain) in swaps.chain(copies).chain(lighter).chain(freed) {
            let gain = gain.unwrap_or_default() / edit.moves().max(1) as f64;
            // Most edits gain less than the best so far, so the costlier check comes last.
            if gain > best.map_or(MIN_GAIN, |(_, max)| max) && allowed(edit) {
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
            Edit::Free(a) => self.replace(a, self.cells[a], self.placeholder(a)),
        }
        self.recompute();
    }

    /// Returns what a cell holds when it is free.
    fn placeholder(&self, cell: usize) -> u16 {
        (self.experts + cell % self.slots) as u16
    }

    fn is_free(&self, cell: usize) -> bool {
        usize::from(self.cells[cell]) >= self.experts
    }

    fn replace(&mut self, cell: usize, old: u16, new: u16) {
        let rank = cell / self.slots;
        self.holders[usize::from(old)].retain(|holder| usize::from(*holder) != rank);
        self.holders[usize::from(new)].push(rank as u16);
        self.held[rank * self.weights.len() + usize::from(old)] = false;
        self.held[rank * self.weights.len() + usize::from(new)] = true;
        self.cells[cell] = new;
    }

    fn recompute(&mut self) {
        for expert in 0..self.weights.len() {
            let holders = self.holders[expert].len().max(1);
            self.copy_load[expert] = self.weights[expert] / holders as f64;
        }
        for (rank, cells) in self.cells.chunks(self.slots).enumerate() {
            let load: f64 = cells.iter().map(|&e| self.copy_load[usize::from(e)]).sum();
            self.rank_load[rank] = load * self.slowness[rank];
            self.potentials[rank] = potential(self.rank_load[rank]);
        }
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.held[rank * self.weights.len() + expert]
    }

    /// Load that one more copy of `e` takes off each present copy.
    fn copy_relief(&self, e: usize) -> f64 {
        self.copy_load[e] - self.weights[e] / (self.holders[e].len() + 1) as f64
    }

    /// Load that the removal of a copy of `f` adds to each other copy.
    fn removal_load(&self, f: usize) -> f64 {
        match self.holders[f].len() {
            0 | 1 => 0.0,
            len => self.weights[f] / (len - 1) as f64 - self.copy_load[f],
        }
    }

    /// Gain on the present holders of `e` from one more copy.
    fn gain_of_copy(&self, e: usize) -> f64 {
        let relief = self.copy_relief(e);
        self.holders[e].iter().map(|&rank| self.gain_of_change(usize::from(rank), -relief)).sum()
    }

    /// Gain, which is negative, on all holders of `f` from one copy less.
    fn gain_of_removal(&self, f: usize) -> f64 {
        let added = self.removal_load(f);
        self.holders[f].iter().map(|&rank| self.gain_of_change(usize::from(rank), added)).sum()
    }

    /// Gain of a swap of cell `a` of the hot rank with cell `b`; `None` if it lowers no load or
    /// puts an expert on a rank twice.
    fn gain_of_swap(&self, a: usize, b: usize, spread: &ZoneSpread<'_>) -> Option<f64> {
        let (e, f) = (self.cells[a], self.cells[b]);
        let (hot, cool) = (a / self.slots, b / self.slots);
        let shift = self.copy_load[usize::from(e)] - self.copy_load[usize::from(f)];
        match () {
            () if shift <= 0.0 || self.load_after(cool, shift) >= self.rank_load[hot] => {
                return None;
            }
            () if self.holds(cool, usize::from(e)) || self.holds(hot, usize::from(f)) => {
                return None;
            }
            () => {}
        }
        let gain = self.gain_of_change(hot, -shift) + self.gain_of_change(cool, shift);
        if gain + spread.max_gain() <= MIN_GAIN {
            return None;
        }
        let lost = spread.loss(self.holders(e), hot, Some(cool))
            + spread.loss(self.holders(f), cool, Some(hot));
        Some(gain - lost)
    }

    /// Gain of putting `e` into `cell`; `None` if the rank of the cell would be loaded as much as
    /// the hot rank, or holds `e` already.
    ///
    /// `base` is the gain on the holders of `e` plus that on the holders of the expert that `e`
    /// replaces. Ranks that hold both experts are in each of the two, and are corrected here.
    fn gain_of_replace(
        &self,
        hot: usize,
        cell: usize,
        e: u16,
        base: f64,
        spread: &ZoneSpread<'_>,
    ) -> Option<f64> {
        let (rank, new, old) = (cell / self.slots, usize::from(e), usize::from(self.cells[cell]));
        let shift = self.copy_load[new] - self.copy_relief(new) - self.copy_load[old];
        if self.load_after(rank, shift) >= self.rank_load[hot] || self.holds(rank, new) {
            return None;
        }
        let (relief, added) = (self.copy_relief(new), self.removal_load(old));
        let holds_both = |&&rank: &&u16| self.holds(usize::from(rank), new);
        let correction: f64 = self.holders[old]
            .iter()
            .filter(holds_both)
            .map(|&rank| usize::from(rank))
            .map(|r| {
                self.gain_of_change(r, added - relief)
                    - self.gain_of_change(r, added)
                    - self.gain_of_change(r, -relief)
            })
            .sum();
        let gain =
            base + correction - self.gain_of_change(rank, added) + self.gain_of_change(rank, shift);
        if gain + spread.max_gain() <= MIN_GAIN {
            return None;
        }
        let lost = spread.loss(&self.holders[old], rank, None)
            + spread.loss(&self.holders[new], usize::MAX, Some(rank));
        Some(gain - lost)
    }

    /// Load of `rank`, multiplied by its slowness, when its load changes by `change`.
    fn load_after(&self, rank: usize, change: f64) -> f64 {
        self.rank_load[rank] + change * self.slowness[rank]
    }

    /// Decrease of the potential when the load of `rank` changes by `change`.
    fn gain_of_change(&self, rank: usize, change: f64) -> f64 {
        self.potentials[rank] - potential(self.load_after(rank, change))
    }
}

/// The worth of holding copies of one expert in more than one zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneSpread<'a> {
    /// Hosts and zones of the ranks.
    pub layout: &'a layout::Layout,
    /// Worth of a second zone, in units of the potential.
    pub worth: f64,
}

impl ZoneSpread<'_> {
    /// The largest gain of one edit from zones, which is that of spreading two experts.
    fn max_gain(&self) -> f64 {
        2.0 * self.worth
    }

    /// Worth lost when the copy on rank `from`, if there is one, is removed and a copy is added on
    /// rank `to`.
    fn loss(&self, holders: &[u16], from: usize, to: Option<usize>) -> f64 {
        if self.worth == 0.0 {
            return 0.0;
        }
        let kept = holders.iter().copied().filter(|rank| usize::from(*rank) != from);
        let after = kept.chain(to.map(|rank| rank as u16));
        let before = self.layout.zones_of(holders.iter().copied()).min(2) as f64;
        self.worth * (before - self.layout.zones_of(after).min(2) as f64)
    }
}

/// Potential of a rank load. The high power makes the busiest ranks outweigh all others.
fn potential(load: f64) -> f64 {
    load.powi(16)
}
