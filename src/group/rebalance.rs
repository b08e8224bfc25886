//! Small edits of an expert map for groups whose expert popularity jumps every few seconds.
//!
//! An edit copies few experts to each rank, so that it pays off before the next jump. The duration
//! of a pass is the work of the ranks themselves plus, layer by layer, the expert work of the most
//! loaded rank. Copying slows passes while it lasts, so the worth of an edit is what it saves
//! until popularity is expected to jump again.

use std::{iter, sync, time};

use crate::group::{layout, loads};

/// Minimum net gain of an edit, in seconds of group time. A smaller gain is not worth the risk that
/// the next jump comes while the change is under way.
const MIN_NET_GAIN_S: f64 = 0.1;

/// Rise of a planned map's skew above its expected skew from which the plan may be outdated.
const OUTDATED_SKEW_RISE: f64 = 0.6;
/// Part of the present map's excess skew that a planned map must still remove to be worth finishing.
/// A new search and a new copy take longer than the rest of a change under way.
const WORTHWHILE_EXCESS_REMOVED: f64 = 0.5;
/// Skew up to which a layer counts as even.
const EVEN_SKEW: f64 = 1.05;
/// Maximum number of ranks that are considered for taking load from the most loaded one in one
/// edit step. The least loaded ranks are the best choice, and a decision must take only
/// milliseconds even with many ranks.
const MAX_PARTNERS: usize = 12;
/// Limits tried for the copies per rank of one edit, over all layers: few copies bring relief soon.
const COPIES_PER_RANK: [usize; 5] = [1, 2, 3, 4, 8];

/// The experts of one layer, rank by rank.
pub type LayerMap = Vec<Vec<u16>>;
/// The experts of all layers. It is shared, since every rank of a group gets an order with it.
pub type SharedMap = sync::Arc<Vec<LayerMap>>;

/// Limits and costs of an edit.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// Experts of each layer that one rank can hold.
    pub slots: usize,
    /// Experts of each layer that one rank may copy for one edit.
    pub max_copies_per_layer: usize,
    /// Time to copy one expert.
    pub copy_time: time::Duration,
    /// Part of a balanced pass that is spent in experts, from 0 to 1.
    pub expert_part: f64,
    /// Slowdown of passes while experts are copied, from 0 to 1.
    pub interference: f64,
    /// Time for which the gain of an edit is expected to last.
    pub horizon: time::Duration,
    /// Cost of one copied expert in group time: copies load links that others use too.
    pub copy_cost: time::Duration,
    /// Utilization of the group, from 0 to 1: an idle group gains nothing from shorter passes.
    pub utilization: f64,
    /// Time that each rank needs for a unit of load over that of a healthy rank; 1 for ranks that
    /// are not listed.
    pub slowness: Vec<f64>,
}

impl Parameters {
    /// Returns the duration of a pass at this skew over that of a balanced pass.
    fn relative_pass_time(&self, skew: f64) -> f64 {
        1.0 - self.expert_part + self.expert_part * skew
    }
}

/// An edit of a map that is worth its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The map to change to.
    pub map: Vec<LayerMap>,
    /// Mean skew over layers, before and after the edit.
    pub skew: (f64, f64),
    /// Largest number of experts that one rank must copy, over all layers.
    pub copies_per_rank: usize,
    /// Time that the edit saves over the horizon minus its cost, in seconds.
    pub net_s: f64,
}

/// Returns the mean over layers of the skew: the load of the most loaded rank over the mean load.
/// The load of each rank is multiplied by its `slowness`; ranks that are not listed have 1.
pub fn mean_skew(map: &[LayerMap], weights: &[Vec<f64>], slowness: &[f64]) -> f64 {
    let skews =
        map.iter().zip(weights).map(|(layer, weights)| layer_skew(layer, weights, slowness));
    skews.sum::<f64>() / map.len().max(1) as f64
}

fn layer_skew(layer: &LayerMap, weights: &[f64], slowness: &[f64]) -> f64 {
    let mut copies = vec![0.0; weights.len()];
    layer.iter().flatten().for_each(|expert| copies[usize::from(*expert)] += 1.0);
    let copy_load = |expert: &u16| weights[usize::from(*expert)] / copies[usize::from(*expert)];
    let slowness = slowness.iter().copied().chain(iter::repeat(1.0));
    let loads = layer.iter().zip(slowness);
    let loads = loads.map(|(held, slowness)| held.iter().map(copy_load).sum::<f64>() * slowness);
    let max = loads.fold(0.0, f64::max);
    let mean = weights.iter().sum::<f64>() / layer.len().max(1) as f64;
    if mean > 0.0 { max / mean } else { 1.0 }
}

/// Whether an edit could pay off at this skew: `false` if even a perfectly balanced map would not.
pub fn could_pay(skew: f64, params: &Parameters) -> bool {
    params.utilization
        * params.horizon.as_secs_f64()
        * (1.0 - params.relative_pass_time(1.0) / params.relative_pass_time(skew))
        > MIN_NET_GAIN_S
}

/// Whether popularity, as the `weights` of the experts by layer, has moved so far away from the plan
/// for the map `planned`, whose skew was to be `expected_skew`, that a new plan is better. `present`
/// is the map in use.
pub fn is_outdated(
    planned: &[LayerMap],
    present: &[LayerMap],
    expected_skew: f64,
    weights: &[Vec<f64>],
    slowness: &[f64],
) -> bool {
    let planned_skew = mean_skew(planned, weights, slowness);
    let present_excess = mean_skew(present, weights, slowness) - 1.0;
    planned_skew > expected_skew + OUTDATED_SKEW_RISE
        && planned_skew - 1.0 > (1.0 - WORTHWHILE_EXCESS_REMOVED) * present_excess
}

/// Returns the edit of `map` with the highest net gain, or `None` if no edit pays off.
///
/// `weights` gives the load of each expert, by layer.
pub fn best_edit(map: &[LayerMap], weights: &[Vec<f64>], params: &Parameters) -> Option<Edit> {
    let slowness = &params.slowness;
    let before = mean_skew(map, weights, slowness);
    // Group time that is saved per unit by which the skew of one layer decreases.
    let time_per_skew = params.utilization * params.horizon.as_secs_f64() * params.expert_part
        / params.relative_pass_time(before)
        / map.len().max(1) as f64;
    let layers = map.iter().zip(weights).enumerate();
    let mut drafts: Vec<LayerDraft> = layers
        .map(|(index, (layer, weights))| LayerDraft::new(index, layer, weights, params))
        .collect();
    drafts.sort_by(|a, b| b.initial_skew.total_cmp(&a.initial_skew));
    let candidates = COPIES_PER_RANK.iter().map(|max_copies| {
        extend_drafts(&mut drafts, params, *max_copies, time_per_skew);
        let mut edited = map.to_vec();
        for draft in &drafts {
            edited[draft.index] = draft.layer_map();
        }
        let after = mean_skew(&edited, weights, slowness);
        (edited, after)
    });
    let edits = candidates.map(|(edited, after)| {
        let (copies_per_rank, total_copies) = count_copies(map, &edited);
        let copying_s = params.copy_time.as_secs_f64() * copies_per_rank as f64;
        let paying_s = (params.horizon.as_secs_f64() - copying_s).max(0.0);
        let saved = params.utilization
            * paying_s
            * (1.0 - params.relative_pass_time(after) / params.relative_pass_time(before));
        let cost = copying_s * params.interference * params.utilization
            + params.copy_cost.as_secs_f64() * total_copies as f64;
        Edit { map: edited, skew: (before, after), copies_per_rank, net_s: saved - cost }
    });
    edits.filter(|edit| edit.net_s > MIN_NET_GAIN_S).max_by(|a, b| a.net_s.total_cmp(&b.net_s))
}

/// Extends the drafts with edits until a rank copies at most `max_copies` experts over all layers.
fn extend_drafts(
    drafts: &mut [LayerDraft],
    params: &Parameters,
    max_copies: usize,
    time_per_skew: f64,
) {
    let ranks = drafts.first().map_or(0, LayerDraft::ranks);
    let mut all_copies = vec![0; ranks];
    for draft in drafts.iter() {
        all_copies.iter_mut().zip(draft.best_copies()).for_each(|(all, copies)| *all += copies);
    }
    for draft in drafts {
        let own = draft.best_copies();
        all_copies.iter_mut().zip(&own).for_each(|(all, copies)| *all -= copies);
        let quota =
            |others: &usize| max_copies.saturating_sub(*others).min(params.max_copies_per_layer);
        let quota: Vec<usize> = all_copies.iter().map(quota).collect();
        draft.improve(&quota, params, time_per_skew);
        let own = draft.best_copies();
        all_copies.iter_mut().zip(&own).for_each(|(all, copies)| *all += copies);
    }
}

/// Returns the largest number of experts that one rank must copy to go from one map to the other,
/// and the number of copies of all ranks.
fn count_copies(from: &[LayerMap], to: &[LayerMap]) -> (usize, usize) {
    let ranks = from.first().map_or(0, Vec::len);
    let rank_copies = |rank: usize| {
        let layers = from.iter().zip(to);
        let copies = layers
            .flat_map(|(from, to)| to[rank].iter().filter(|expert| !from[rank].contains(expert)));
        copies.count()
    };
    let by_rank: Vec<usize> = (0..ranks).map(rank_copies).collect();
    (by_rank.iter().copied().max().unwrap_or_default(), by_rank.iter().sum())
}

/// A layer that is being edited.
struct LayerDraft {
    /// Index of the layer in the map.
    index: usize,
    slots: usize,
    experts: usize,
    /// Cells before the first edit.
    initial_cells: Vec<u16>,
    loads: loads::LayerLoads,
    /// Skew before the first edit.
    initial_skew: f64,
    /// Copies made so far.
    copies_made: usize,
    /// The highest net gain so far, in seconds, and the cells that gave it.
    best: (f64, Vec<u16>),
}

impl LayerDraft {
    fn new(index: usize, layer: &LayerMap, weights: &[f64], params: &Parameters) -> Self {
        let (experts, slots) = (weights.len(), params.slots);
        let cells: Vec<u16> = layer
            .iter()
            .flat_map(|held| {
                let placeholders = (held.len()..slots).map(|slot| (experts + slot) as u16);
                held.iter().copied().chain(placeholders)
            })
            .collect();
        let loads = loads::LayerLoads::with_slowness(weights, slots, &cells, &params.slowness);
        let initial_skew = layer_skew(layer, weights, &params.slowness);
        let initial_cells = cells.clone();
        Self {
            index,
            slots,
            experts,
            initial_cells,
            loads,
            initial_skew,
            copies_made: 0,
            best: (0.0, cells),
        }
    }

    fn ranks(&self) -> usize {
        self.initial_cells.len() / self.slots
    }

    /// Number of experts that each rank must copy for the best cells so far.
    fn best_copies(&self) -> Vec<usize> {
        (0..self.ranks()).map(|rank| self.count_new(&self.best.1, rank)).collect()
    }

    /// Number of experts that `rank` holds in `cells` but did not hold before the first edit.
    fn count_new(&self, cells: &[u16], rank: usize) -> usize {
        let range = rank * self.slots..(rank + 1) * self.slots;
        let initial = &self.initial_cells[range.clone()];
        let is_new =
            |expert: &&u16| usize::from(**expert) < self.experts && !initial.contains(expert);
        cells[range].iter().filter(is_new).count()
    }

    /// Lowers the load of the most loaded ranks as far as it pays off. Each rank gets at most its
    /// `quota` of new experts. `time_per_skew` is the group time saved per unit of skew, in
    /// seconds.
    fn improve(&mut self, quota: &[usize], params: &Parameters, time_per_skew: f64) {
        let layout = layout::Layout::regular(self.ranks(), 1, 1);
        let spread = loads::ZoneSpread { layout: &layout, worth: 0.0 };
        let mut new_experts: Vec<usize> =
            (0..self.ranks()).map(|rank| self.count_new(self.loads.cells(), rank)).collect();
        while self.copies_made < quota.iter().sum::<usize>() && self.loads.skew() > EVEN_SKEW {
            let rank_loads = self.loads.rank_loads();
            let hot =
                (0..rank_loads.len()).max_by(|a, b| rank_loads[*a].total_cmp(&rank_loads[*b]));
            let allowed = |edit: loads::Edit| {
                self.is_within_quota(edit, quota)
                    && has_no_placeholder(edit, &self.loads, self.experts)
            };
            let best = hot.and_then(|hot| {
                let partners = self.partners(hot, quota, &new_experts, &params.slowness);
                self.loads.best_edit_among(hot, &partners, &spread, allowed)
            });
            let Some((edit, _)) = best else { return };
            self.loads.apply(edit);
            for rank in edit.cells().map(|cell| cell / self.slots) {
                new_experts[rank] = self.count_new(self.loads.cells(), rank);
            }
            self.copies_made += edit.moves();
            let saved = time_per_skew * (self.initial_skew - self.loads.skew());
            let net = saved - params.copy_cost.as_secs_f64() * self.copies_made as f64;
            if net > self.best.0 {
                self.best = (net, self.loads.cells().to_vec());
            }
        }
    }

    /// Returns the least loaded ranks that are not slow and may still copy an expert. `new_experts`
    /// is the number of experts that each rank copies in the draft.
    fn partners(
        &self,
        hot: usize,
        quota: &[usize],
        new_experts: &[usize],
        slowness: &[f64],
    ) -> Vec<usize> {
        let rank_loads = self.loads.rank_loads();
        let has_quota = |rank: &usize| *rank != hot && new_experts[*rank] < quota[*rank];
        let is_healthy = |rank: &usize| slowness.get(*rank).is_none_or(|slowness| *slowness <= 1.0);
        let by_load = |a: &usize, b: &usize| rank_loads[*a].total_cmp(&rank_loads[*b]);
        let mut partners: Vec<usize> =
            (0..rank_loads.len()).filter(has_quota).filter(is_healthy).collect();
        if partners.len() > MAX_PARTNERS {
            partners.select_nth_unstable_by(MAX_PARTNERS, by_load);
            partners.truncate(MAX_PARTNERS);
        }
        partners.sort_by(by_load);
        partners
    }

    /// Whether, after `edit`, each rank holds at most its `quota` of experts that it did not hold
    /// before the first edit.
    fn is_within_quota(&self, edit: loads::Edit, quota: &[usize]) -> bool {
        let cells = self.loads.cells();
        let is_new = |rank: usize, expert: u16| {
            usize::from(expert) < self.experts
                && !self.initial_cells[rank * self.slots..(rank + 1) * self.slots].contains(&expert)
        };
        let fits = |cell: usize, expert: u16| {
            let rank = cell / self.slots;
            let kept = (rank * self.slots..(rank + 1) * self.slots).filter(|other| *other != cell);
            let kept_new = kept.filter(|other| is_new(rank, cells[*other])).count();
            kept_new + usize::from(is_new(rank, expert)) <= quota[rank]
        };
        match edit {
            loads::Edit::Swap(a, b) => fits(a, cells[b]) && fits(b, cells[a]),
            loads::Edit::Replace(cell, expert) => fits(cell, expert),
            loads::Edit::Free(_) => true,
        }
    }

    /// Returns the layer with the best cells, without placeholders.
    fn layer_map(&self) -> LayerMap {
        let without_placeholders = |held: &[u16]| {
            held.iter().copied().filter(|expert| usize::from(*expert) < self.experts).collect()
        };
        self.best.1.chunks(self.slots).map(without_placeholders).collect()
    }
}

/// Whether `edit` moves no placeholder of a free slot to another slot.
fn has_no_placeholder(edit: loads::Edit, loads: &loads::LayerLoads, experts: usize) -> bool {
    let is_expert = |expert: u16| usize::from(expert) < experts;
    match edit {
        loads::Edit::Swap(a, b) => is_expert(loads.cells()[a]) && is_expert(loads.cells()[b]),
        loads::Edit::Replace(_, expert) => is_expert(expert),
        loads::Edit::Free(_) => true,
    }
}
