//! Load of each rank of one layer under a map, and what an edit would make of it.

use crate::group::layout;

/// One edit of a layer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Edit {
    /// Two cells change places.
    Swap(usize, usize),
    /// The cell is overwritten by another copy of the expert.
    Put(usize, u16),
}

impl Edit {
    /// Copies that must be loaded for it.
    pub fn moves(self) -> usize {
        match self {
            Self::Swap(..) => 2,
            Self::Put(..) => 1,
        }
    }
}

/// Loads of one layer. Copies of an expert share its tokens evenly.
#[derive(Clone, Debug)]
pub struct Loads<'a> {
    weights: &'a [f64],
    slots: usize,
    cells: Vec<u16>,
    at: Vec<Vec<u16>>,
    load: Vec<f64>,
    mean: f64,
}

impl<'a> Loads<'a> {
    /// Loads of `cells`, rank by rank, for `weights` by expert.
    pub fn new(weights: &'a [f64], slots: usize, cells: &[u16]) -> Self {
        let ranks = cells.len() / slots;
        let mut at = vec![Vec::new(); weights.len()];
        cells.iter().enumerate().for_each(|(i, &e)| at[usize::from(e)].push((i / slots) as u16));
        let mean = weights.iter().sum::<f64>() / ranks as f64;
        let load = vec![0.0; ranks];
        let mut loads = Self { weights, slots, cells: cells.to_vec(), at, load, mean };
        loads.recount();
        loads
    }

    /// Cells, rank by rank.
    pub fn cells(&self) -> &[u16] {
        &self.cells
    }

    /// Load of each rank, in the unit of the weights.
    pub fn by_rank(&self) -> &[f64] {
        &self.load
    }

    /// Largest rank load over the mean.
    pub fn skew(&self) -> f64 {
        match self.mean > 0.0 {
            true => self.load.iter().copied().fold(0.0, f64::max) / self.mean,
            false => 1.0,
        }
    }

    /// Ranks that hold `expert`.
    pub fn holders(&self, expert: u16) -> &[u16] {
        &self.at[usize::from(expert)]
    }

    /// Standard deviation of a rank's load over the mean load, for relative `errors` by expert.
    pub fn error(&self, errors: &[f64]) -> f64 {
        let part = |&e: &u16| (self.share(e) * errors[usize::from(e)]).powi(2);
        let by_rank = self.cells.chunks(self.slots).map(|rank| rank.iter().map(part).sum::<f64>());
        by_rank.fold(0.0, f64::max).sqrt() / self.mean.max(f64::MIN_POSITIVE)
    }

    /// Best edit for rank `hot` by gain per copy loaded, and that gain; `None` if none helps.
    pub fn best(&self, hot: usize, place: &Place<'_>) -> Option<(Edit, f64)> {
        let own = hot * self.slots..(hot + 1) * self.slots;
        let swaps = own.clone().flat_map(|a| {
            let others = (0..self.cells.len()).filter(move |b| b / self.slots != hot);
            others.map(move |b| Edit::Swap(a, b))
        });
        let copies = own.clone().flat_map(|a| {
            let others = (0..self.cells.len()).filter(move |b| b / self.slots != hot);
            others.map(move |b| Edit::Put(b, self.cells[a]))
        });
        let lighter =
            own.flat_map(|a| (0..self.weights.len()).map(move |e| Edit::Put(a, e as u16)));
        swaps
            .chain(copies)
            .chain(lighter)
            .filter_map(|edit| Some((edit, self.gain(edit, place)? / edit.moves() as f64)))
            .filter(|(_, gain)| *gain > 1e-9)
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Applies an edit.
    pub fn apply(&mut self, edit: Edit) {
        match edit {
            Edit::Swap(a, b) => {
                let (e, f) = (self.cells[a], self.cells[b]);
                self.replace(a, e, f);
                self.replace(b, f, e);
            }
            Edit::Put(a, e) => self.replace(a, self.cells[a], e),
        }
        self.recount();
    }

    fn replace(&mut self, cell: usize, old: u16, new: u16) {
        let rank = (cell / self.slots) as u16;
        let at = &mut self.at[usize::from(old)];
        at.retain(|holder| *holder != rank);
        self.at[usize::from(new)].push(rank);
        self.cells[cell] = new;
    }

    fn recount(&mut self) {
        for rank in 0..self.load.len() {
            let own = &self.cells[rank * self.slots..(rank + 1) * self.slots];
            self.load[rank] = own.iter().map(|&e| self.share(e)).sum();
        }
    }

    fn share(&self, expert: u16) -> f64 {
        self.weights[usize::from(expert)] / self.at[usize::from(expert)].len() as f64
    }

    fn holds(&self, rank: usize, expert: u16) -> bool {
        self.cells[rank * self.slots..(rank + 1) * self.slots].contains(&expert)
    }

    fn gain(&self, edit: Edit, place: &Place<'_>) -> Option<f64> {
        match edit {
            Edit::Swap(a, b) => self.gain_of_swap(a, b, place),
            Edit::Put(a, e) => self.gain_of_put(a, e, place),
        }
    }

    fn gain_of_swap(&self, a: usize, b: usize, place: &Place<'_>) -> Option<f64> {
        let (e, f) = (self.cells[a], self.cells[b]);
        let (h, c) = (a / self.slots, b / self.slots);
        let shift = self.share(e) - self.share(f);
        if shift <= 0.0 || self.load[c] + shift >= self.load[h] {
            return None;
        }
        if self.holds(c, e) || self.holds(h, f) {
            return None;
        }
        let gain = self.drop(h, -shift) + self.drop(c, shift);
        Some(
            gain - place.lost(self.holders(e), h, Some(c))
                - place.lost(self.holders(f), c, Some(h)),
        )
    }

    fn gain_of_put(&self, a: usize, e: u16, place: &Place<'_>) -> Option<f64> {
        let (f, c) = (self.cells[a], a / self.slots);
        let (old, new) = (self.holders(f), self.holders(e));
        if old.len() < 2 || e == f || self.holds(c, e) {
            return None;
        }
        let (we, wf) = (self.weights[usize::from(e)], self.weights[usize::from(f)]);
        let after = we / (new.len() + 1) as f64;
        let less = self.share(e) - after;
        let more = wf / (old.len() - 1) as f64 - self.share(f);
        let mut gain = self.drop(c, after - self.share(f));
        for &rank in new {
            let both = if self.holds(usize::from(rank), f) { more } else { 0.0 };
            gain += self.drop(usize::from(rank), both - less);
        }
        for &rank in old.iter().filter(|rank| usize::from(**rank) != c) {
            let rank = usize::from(rank);
            gain += if self.holds(rank, e) { 0.0 } else { self.drop(rank, more) };
        }
        Some(gain - place.lost(old, c, None) - place.lost(new, usize::MAX, Some(c)))
    }

    /// Fall of the potential when the load of `rank` changes by `by`.
    fn drop(&self, rank: usize, by: f64) -> f64 {
        potential(self.load[rank] / self.mean) - potential((self.load[rank] + by) / self.mean)
    }
}

/// What copies of one expert in several zones are worth.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Where the ranks stand.
    pub layout: &'a layout::Layout,
    /// Worth of a second zone, in units of the potential.
    pub spread: f64,
}

impl Place<'_> {
    /// Worth lost when a copy leaves rank `from`, if it holds one, and one comes to `to`.
    fn lost(&self, holders: &[u16], from: usize, to: Option<usize>) -> f64 {
        if self.spread == 0.0 {
            return 0.0;
        }
        let kept = holders.iter().copied().filter(|rank| usize::from(*rank) != from);
        let after: Vec<u16> = kept.chain(to.map(|rank| rank as u16)).collect();
        let zones = |ranks: &[u16]| self.layout.zones_of(ranks).min(2) as f64;
        self.spread * (zones(holders) - zones(&after))
    }
}

/// Steep in the load, so that the busiest ranks outweigh all others.
fn potential(load: f64) -> f64 {
    load.powi(16)
}
