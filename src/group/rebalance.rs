//! Answers jumps of expert popularity every few seconds: the small edit of the map that pays
//! within one such span, copying few experts to each rank.
//!
//! A pass lasts as long as the ranks' own work and, layer by layer, the expert work of the most
//! loaded rank. Copying slows passes while it lasts, so an edit is judged by what it saves until
//! popularity is expected to jump again.

use std::time;

use crate::group::{layout, loads};

/// Least net gain of an edit, in seconds of group time. An edit that gains less is not worth that
/// the next jump finds a change under way.
const LEAST_NET_S: f64 = 0.1;

/// Skew at which a layer counts as even.
const EVEN: f64 = 1.05;
/// Ranks that may take load from the most loaded one in one step: the least loaded ones do best,
/// and deciding must take milliseconds also with many ranks.
const PARTNERS: usize = 12;
/// Copies a rank that are tried for one edit, over all layers: few bring relief soon.
const COPIES_A_RANK: [usize; 5] = [1, 2, 3, 4, 8];

/// Experts of one layer, rank by rank.
pub type LayerMap = Vec<Vec<u16>>;

/// What bounds an edit, and what it costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Experts that one rank can hold of each layer.
    pub slots: usize,
    /// Experts that one rank may copy for one edit, of each layer.
    pub max_copies_per_layer: usize,
    /// Time to copy one expert.
    pub copy_time: time::Duration,
    /// Part of a balanced pass that is spent in experts.
    pub expert_part: f64,
    /// Part by which passes last longer while experts are copied.
    pub interference: f64,
    /// Time for which an edit is expected to pay.
    pub horizon: time::Duration,
    /// Group time that one copied expert is worth: copies load links that others use too.
    pub copy_cost: time::Duration,
    /// How busy the group is, from 0 to 1: an idle group gains nothing from shorter passes.
    pub utilization: f64,
}

impl Parameters {
    /// Length of a pass at this skew, over that of a balanced one.
    fn pass(&self, skew: f64) -> f64 {
        1.0 - self.expert_part + self.expert_part * skew
    }
}

/// An edit that pays.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The map to go to.
    pub map: Vec<LayerMap>,
    /// Mean over layers of the most loaded rank over the mean, before and after.
    pub skew: (f64, f64),
    /// Most experts that one rank must copy, over all layers.
    pub copies_per_rank: usize,
    /// Time that the edit saves over the horizon, in seconds, less its cost.
    pub net_s: f64,
}

/// Mean over layers of the most loaded rank's load over the mean load.
pub fn mean_skew(map: &[LayerMap], weights: &[Vec<f64>]) -> f64 {
    let skews = map.iter().zip(weights).map(|(layer, weights)| layer_skew(layer, weights));
    skews.sum::<f64>() / map.len().max(1) as f64
}

fn layer_skew(layer: &LayerMap, weights: &[f64]) -> f64 {
    let mut holders = vec![0.0; weights.len()];
    layer.iter().flatten().for_each(|expert| holders[usize::from(*expert)] += 1.0);
    let share = |expert: &u16| weights[usize::from(*expert)] / holders[usize::from(*expert)];
    let most = layer.iter().map(|own| own.iter().map(share).sum::<f64>()).fold(0.0, f64::max);
    let mean = weights.iter().sum::<f64>() / layer.len().max(1) as f64;
    if mean > 0.0 { most / mean } else { 1.0 }
}

/// Whether any edit could pay at this skew: even a balanced map would have to.
pub fn could_pay(skew: f64, terms: &Parameters) -> bool {
    terms.utilization * terms.horizon.as_secs_f64() * (1.0 - terms.pass(1.0) / terms.pass(skew))
        > LEAST_NET_S
}

/// The edit of `map` that saves most under `weights`, by layer and expert; `None` if none pays.
pub fn best_edit(map: &[LayerMap], weights: &[Vec<f64>], terms: &Parameters) -> Option<Edit> {
    let before = mean_skew(map, weights);
    // Group time saved by a fall of one layer's skew by one.
    let worth = terms.utilization * terms.horizon.as_secs_f64() * terms.expert_part
        / terms.pass(before)
        / map.len().max(1) as f64;
    let layers = map.iter().zip(weights).enumerate();
    let mut drafts: Vec<Draft> = layers
        .map(|(number, (layer, weights))| Draft::new(number, layer, weights, terms.slots))
        .collect();
    drafts.sort_by(|a, b| b.start.total_cmp(&a.start));
    let tried = COPIES_A_RANK.iter().map(|most| {
        edit_within(&mut drafts, terms, *most, worth);
        let mut to = map.to_vec();
        for draft in &drafts {
            to[draft.number] = draft.layer();
        }
        let after = mean_skew(&to, weights);
        (to, after)
    });
    let judged = tried.map(|(to, after)| {
        let (copies_per_rank, all) = copies(map, &to);
        let copying_s = terms.copy_time.as_secs_f64() * copies_per_rank as f64;
        let gained_s = (terms.horizon.as_secs_f64() - copying_s).max(0.0);
        let saved = terms.utilization * gained_s * (1.0 - terms.pass(after) / terms.pass(before));
        let cost = copying_s * terms.interference * terms.utilization
            + terms.copy_cost.as_secs_f64() * all as f64;
        Edit { map: to, skew: (before, after), copies_per_rank, net_s: saved - cost }
    });
    judged.filter(|edit| edit.net_s > LEAST_NET_S).max_by(|a, b| a.net_s.total_cmp(&b.net_s))
}

/// Carries the drafts on until each rank copies at most `most` experts over all of them.
fn edit_within(drafts: &mut [Draft], terms: &Parameters, most: usize, worth: f64) {
    for at in 0..drafts.len() {
        let others = drafts.iter().enumerate().filter(|(other, _)| *other != at);
        let mut quota = vec![most; drafts[at].ranks()];
        for (_, other) in others {
            let copied = (0..quota.len()).map(|rank| other.copied(rank));
            quota.iter_mut().zip(copied).for_each(|(q, copied)| *q = q.saturating_sub(copied));
        }
        quota.iter_mut().for_each(|quota| *quota = (*quota).min(terms.max_copies_per_layer));
        drafts[at].climb(&quota, terms, worth);
    }
}

/// Most experts that one rank must copy to go from one map to the other, and the copies of all.
fn copies(from: &[LayerMap], to: &[LayerMap]) -> (usize, usize) {
    let ranks = from.first().map_or(0, Vec::len);
    let new = |rank: usize| {
        let layers = from.iter().zip(to);
        let fresh = layers
            .flat_map(|(from, to)| to[rank].iter().filter(|expert| !from[rank].contains(expert)));
        fresh.count()
    };
    let by_rank: Vec<usize> = (0..ranks).map(new).collect();
    (by_rank.iter().copied().max().unwrap_or_default(), by_rank.iter().sum())
}

/// A layer under edits.
struct Draft {
    /// Its number in the map.
    number: usize,
    slots: usize,
    experts: usize,
    /// Cells before the first edit.
    base: Vec<u16>,
    loads: loads::LayerLoads,
    /// Skew before the first edit.
    start: f64,
    /// Copies made so far.
    made: usize,
    /// Net gain of the best cells so far, in seconds, and those cells.
    best: (f64, Vec<u16>),
}

impl Draft {
    fn new(number: usize, layer: &LayerMap, weights: &[f64], slots: usize) -> Self {
        let experts = weights.len();
        // A free slot holds a stand-in expert without load, a different one in each slot of a rank.
        let cells: Vec<u16> = layer
            .iter()
            .flat_map(|own| {
                let free = (own.len()..slots).map(|slot| (experts + slot) as u16);
                own.iter().copied().chain(free)
            })
            .collect();
        let mut padded = weights.to_vec();
        padded.resize(experts + slots, 0.0);
        let loads = loads::LayerLoads::new(&padded, slots, &cells);
        let start = layer_skew(layer, weights);
        let base = cells.clone();
        Self { number, slots, experts, base, loads, start, made: 0, best: (0.0, cells) }
    }

    fn ranks(&self) -> usize {
        self.base.len() / self.slots
    }

    /// Experts that `rank` would copy.
    fn copied(&self, rank: usize) -> usize {
        self.new_in(&self.best.1, rank)
    }

    /// Experts that `rank` holds in `cells` and did not before the first edit.
    fn new_in(&self, cells: &[u16], rank: usize) -> usize {
        let own = rank * self.slots..(rank + 1) * self.slots;
        let base = &self.base[own.clone()];
        cells[own].iter().filter(|expert| !base.contains(expert)).count()
    }

    /// Lowers the most loaded ranks, at most `quota` new experts by rank, as far as it pays.
    /// `worth` is the time saved by a fall of the skew by one, in seconds.
    fn climb(&mut self, quota: &[usize], terms: &Parameters, worth: f64) {
        let layout = layout::Layout::regular(self.ranks(), 1, 1);
        let place = loads::ZoneSpread { layout: &layout, worth: 0.0 };
        while self.made < quota.iter().sum::<usize>() && self.loads.skew() > EVEN {
            let by_rank = self.loads.rank_loads();
            let hot = (0..by_rank.len()).max_by(|a, b| by_rank[*a].total_cmp(&by_rank[*b]));
            let allowed = |edit: loads::Edit| {
                fits(edit, &self.loads, &self.base, self.slots, quota)
                    && stays(edit, &self.loads, self.experts)
            };
            let best = hot.and_then(|hot| {
                let partners = self.partners(hot, quota);
                self.loads.best_edit_among(hot, &partners, &place, allowed)
            });
            let Some((edit, _)) = best else { return };
            self.loads.apply(edit);
            self.made += edit.moves();
            let gained = worth * (self.start - self.loads.skew());
            let net = gained - terms.copy_cost.as_secs_f64() * self.made as f64;
            if net > self.best.0 {
                self.best = (net, self.loads.cells().to_vec());
            }
        }
    }

    /// The least loaded ranks that may still copy an expert.
    fn partners(&self, hot: usize, quota: &[usize]) -> Vec<usize> {
        let (by_rank, cells) = (self.loads.rank_loads(), self.loads.cells());
        let free = |rank: &usize| *rank != hot && self.new_in(cells, *rank) < quota[*rank];
        let mut partners: Vec<usize> = (0..by_rank.len()).filter(free).collect();
        partners.sort_by(|a, b| by_rank[*a].total_cmp(&by_rank[*b]));
        partners.truncate(PARTNERS);
        partners
    }

    /// The layer with the edits that pay.
    fn layer(&self) -> LayerMap {
        let own = |own: &[u16]| {
            own.iter().copied().filter(|expert| usize::from(*expert) < self.experts).collect()
        };
        self.best.1.chunks(self.slots).map(own).collect()
    }
}

/// Whether every rank has at most its `quota` of experts after `edit` that `cells` did not give it.
fn fits(
    edit: loads::Edit,
    loads: &loads::LayerLoads,
    cells: &[u16],
    slots: usize,
    quota: &[usize],
) -> bool {
    let new_after = |cell: usize, expert: u16| {
        let rank = cell / slots;
        let base = &cells[rank * slots..(rank + 1) * slots];
        let now = &loads.cells()[rank * slots..(rank + 1) * slots];
        let kept = now.iter().enumerate().filter(|(i, _)| rank * slots + i != cell);
        let kept_new = kept.filter(|(_, expert)| !base.contains(expert)).count();
        kept_new + usize::from(!base.contains(&expert)) <= quota[rank]
    };
    match edit {
        loads::Edit::Swap(a, b) => new_after(a, loads.cells()[b]) && new_after(b, loads.cells()[a]),
        loads::Edit::Replace(cell, expert) => new_after(cell, expert),
    }
}

/// Whether `edit` moves real experts only.
fn stays(edit: loads::Edit, loads: &loads::LayerLoads, experts: usize) -> bool {
    let real = |expert: u16| usize::from(expert) < experts;
    match edit {
        loads::Edit::Swap(a, b) => real(loads.cells()[a]) && real(loads.cells()[b]),
        loads::Edit::Replace(_, expert) => real(expert),
    }
}
