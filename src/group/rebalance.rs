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
const LEAST_NET_S: f64 = 0.2;

/// Copies a rank that are tried for one edit, over all layers: few bring relief soon.
const COPIES_A_RANK: [usize; 5] = [1, 2, 3, 4, 8];

/// Experts of one layer, rank by rank.
pub type Layer = Vec<Vec<u16>>;

/// What bounds an edit, and what it costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Experts that one rank can hold of each layer.
    pub slots: usize,
    /// Experts that one rank may copy for one edit, of each layer.
    pub copies: usize,
    /// Time to copy one expert.
    pub copy: time::Duration,
    /// Part of a balanced pass that is spent in experts.
    pub expert_part: f64,
    /// Part by which passes last longer while experts are copied.
    pub interference: f64,
    /// Time for which an edit is expected to pay.
    pub horizon: time::Duration,
    /// Group time that one copied expert is worth: copies load links that others use too.
    pub per_copy: time::Duration,
    /// How busy the group is, from 0 to 1: an idle group gains nothing from shorter passes.
    pub busy: f64,
}

/// An edit that pays.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The map to go to.
    pub map: Vec<Layer>,
    /// Mean over layers of the most loaded rank over the mean, before and after.
    pub skew: (f64, f64),
    /// Most experts that one rank must copy, over all layers.
    pub copies: usize,
    /// Time that the edit saves over the horizon, in seconds, less its cost.
    pub net_s: f64,
}

/// Mean over layers of the most loaded rank's load over the mean load.
pub fn skew(map: &[Layer], weights: &[Vec<f64>]) -> f64 {
    let skews = map.iter().zip(weights).map(|(layer, weights)| layer_skew(layer, weights));
    skews.sum::<f64>() / map.len().max(1) as f64
}

fn layer_skew(layer: &Layer, weights: &[f64]) -> f64 {
    let mut holders = vec![0.0; weights.len()];
    layer.iter().flatten().for_each(|expert| holders[usize::from(*expert)] += 1.0);
    let share = |expert: &u16| weights[usize::from(*expert)] / holders[usize::from(*expert)];
    let most = layer.iter().map(|own| own.iter().map(share).sum::<f64>()).fold(0.0, f64::max);
    let mean = weights.iter().sum::<f64>() / layer.len().max(1) as f64;
    if mean > 0.0 { most / mean } else { 1.0 }
}

/// The edit of `map` that saves most under `weights`, by layer and expert; `None` if none pays.
pub fn edit(map: &[Layer], weights: &[Vec<f64>], terms: &Terms) -> Option<Edit> {
    let before = skew(map, weights);
    let pass = |skew: f64| 1.0 - terms.expert_part + terms.expert_part * skew;
    // Group time saved by a fall of one layer's skew by one.
    let worth = terms.busy * terms.horizon.as_secs_f64() * terms.expert_part
        / pass(before)
        / map.len().max(1) as f64;
    let tried = COPIES_A_RANK.iter().map(|most| {
        let map = edit_within(map, weights, terms, *most, worth);
        let after = skew(&map, weights);
        (map, after)
    });
    let judged = tried.map(|(to, after)| {
        let (copies, all) = copies(map, &to);
        let copying_s = terms.copy.as_secs_f64() * copies as f64;
        let gained_s = (terms.horizon.as_secs_f64() - copying_s).max(0.0);
        let saved = terms.busy * gained_s * (1.0 - pass(after) / pass(before));
        let cost =
            copying_s * terms.interference * terms.busy + terms.per_copy.as_secs_f64() * all as f64;
        Edit { map: to, skew: (before, after), copies, net_s: saved - cost }
    });
    judged.filter(|edit| edit.net_s > LEAST_NET_S).max_by(|a, b| a.net_s.total_cmp(&b.net_s))
}

/// `map` with the edits of all layers, at most `most` new experts a rank over all of them; the
/// layers with the most loaded ranks come first.
fn edit_within(
    map: &[Layer],
    weights: &[Vec<f64>],
    terms: &Terms,
    most: usize,
    worth: f64,
) -> Vec<Layer> {
    let mut order: Vec<usize> = (0..map.len()).collect();
    let skews: Vec<f64> = map.iter().zip(weights).map(|(l, w)| layer_skew(l, w)).collect();
    order.sort_by(|a, b| skews[*b].total_cmp(&skews[*a]));
    let mut left = vec![most; map.first().map_or(0, Vec::len)];
    let mut edited = map.to_vec();
    for layer in order {
        let quota: Vec<usize> = left.iter().map(|left| (*left).min(terms.copies)).collect();
        edited[layer] = layer_edit(&map[layer], &weights[layer], terms, &quota, worth);
        for (rank, left) in left.iter_mut().enumerate() {
            let old = &map[layer][rank];
            let new = edited[layer][rank].iter().filter(|expert| !old.contains(expert)).count();
            *left = left.saturating_sub(new);
        }
    }
    edited
}

/// Most experts that one rank must copy to go from one map to the other, and the copies of all.
fn copies(from: &[Layer], to: &[Layer]) -> (usize, usize) {
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

/// `layer` with the edits that lower its most loaded ranks, at most `quota` new experts by rank,
/// as far as they pay. `worth` is the time saved by a fall of its skew by one, in seconds.
fn layer_edit(layer: &Layer, weights: &[f64], terms: &Terms, quota: &[usize], worth: f64) -> Layer {
    let (experts, slots) = (weights.len(), terms.slots);
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
    let mut loads = loads::Loads::new(&padded, slots, &cells);
    let layout = layout::Layout::regular(layer.len(), 1, 1);
    let place = loads::Place { layout: &layout, spread: 0.0 };
    let mut best = (0.0, cells.clone());
    let (start, mut made) = (loads.skew(), 0);
    while made < quota.iter().sum::<usize>() {
        let by_rank = loads.by_rank();
        let hot = (0..by_rank.len()).max_by(|a, b| by_rank[*a].total_cmp(&by_rank[*b]));
        let allowed = |edit: loads::Edit| {
            fits(edit, &loads, &cells, slots, quota) && stays(edit, &loads, experts)
        };
        match hot.and_then(|hot| loads.best_where(hot, &place, allowed)) {
            Some((edit, _)) => {
                loads.apply(edit);
                made += edit.moves();
            }
            None => break,
        }
        let net = worth * (start - loads.skew()) - terms.per_copy.as_secs_f64() * made as f64;
        if net > best.0 {
            best = (net, loads.cells().to_vec());
        }
    }
    let own = |own: &[u16]| {
        let real = own.iter().copied().filter(|expert| usize::from(*expert) < experts);
        real.collect()
    };
    best.1.chunks(slots).map(own).collect()
}

/// Whether every rank has at most its `quota` of experts after `edit` that `cells` did not give it.
fn fits(
    edit: loads::Edit,
    loads: &loads::Loads,
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
        loads::Edit::Put(cell, expert) => new_after(cell, expert),
    }
}

/// Whether `edit` moves real experts only.
fn stays(edit: loads::Edit, loads: &loads::Loads, experts: usize) -> bool {
    let real = |expert: u16| usize::from(expert) < experts;
    match edit {
        loads::Edit::Swap(a, b) => real(loads.cells()[a]) && real(loads.cells()[b]),
        loads::Edit::Put(_, expert) => real(expert),
    }
}
