//! Planning of a map change: a few moves that lower the skew of the map in use, if their gain is
//! worth their cost.

use std::time;

use serde::{Deserialize, Serialize};

use crate::group::{bound, layout, loads, map, popularity, repack};

/// Ratio of a layer's skew to its lower bound up to which the layer counts as even.
const EVEN_FACTOR: f64 = 1.003;
/// Time for which the gain of a change is expected to last.
const HORIZON: time::Duration = time::Duration::from_secs(1800);
/// Part of a balanced pass that is spent in experts.
const EXPERT_PART: f64 = 0.5;
/// Slowdown of passes while expert weights are loaded.
const INTERFERENCE: f64 = 0.1;
/// Time for which a switch stops the group.
const STALL: time::Duration = time::Duration::from_millis(50);
/// Minimum decrease of a layer's skew that counts as a gain while popularity drifts.
const DRIFTING_MIN_GAIN: f64 = 0.01;
/// Minimum decrease of a layer's skew that counts as a gain while popularity is stable.
const STABLE_MIN_GAIN: f64 = 0.03;
/// Factor on [`noise_gain`], the decrease of a layer's skew that noise alone would seem to give; an
/// actual decrease must exceed the product while popularity is stable.
const STABLE_NOISE_FACTOR: f64 = 2.0;
/// The same factor while popularity drifts: lower, since loading expert weights is then better than
/// avoiding the load.
const DRIFTING_NOISE_FACTOR: f64 = 0.5;
/// Difference of a layer's skew from its lower bound above which edits are tried; more than
/// [`DRIFTING_MIN_GAIN`], so that a layer that was just improved is left alone.
const EDIT_THRESHOLD: f64 = 0.025;
/// Maximum number of copies that one change may load, as a part of all slots of the group.
const MAX_CHANGE_PART: f64 = 0.18;
/// Number of busiest ranks for which an edit is sought before the edits of a layer end.
const HOT_RANKS: usize = 2;
/// Maximum number of edits tried on the map in use, per layer.
const MAX_EDITS: usize = 32;
/// Maximum number of edits tried on a partial repack, per layer.
const MAX_REPACK_EDITS: usize = 48;
/// Tolerances tried for a partial repack: a rank whose load differs from the mean by at most this
/// share of the mean keeps its experts.
const REPACK_TOLERANCES: [f64; 4] = [0.15, 0.06, 0.03, 0.02];

/// Weights of an operator for the goals of a plan.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Weights {
    /// Weight of a second of group time that a change saves.
    pub skew: f64,
    /// Weight of a second of group time that a change costs.
    pub cost: f64,
    /// Worth of copies of an expert in a second zone, in units of the load potential.
    pub spread: f64,
}

impl Weights {
    /// Weights for groups whose runs must finish on time: only skew and cost count.
    pub const PIENSAIME: Self = Self { skew: 1.0, cost: 1.0, spread: 0.0 };
    /// Weights for groups that must survive the loss of a zone: copies in two zones, fewer changes.
    pub const HSINCHU: Self = Self { skew: 0.5, cost: 1.0, spread: 0.015 };
}

/// Parameters of a plan: the cost of moves, the time for which their gain lasts, and limits.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Parameters {
    /// Time for which the gain of a change is expected to last.
    pub horizon: time::Duration,
    /// Part of a balanced pass that is spent in experts, from 0 to 1.
    pub expert_part: f64,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// This group's share of the weight store's rate, in bytes a second.
    pub rate: f64,
    /// Slowdown of passes while expert weights are loaded, from 0 to 1.
    pub interference: f64,
    /// Time for which a switch stops the group.
    pub stall: time::Duration,
    /// Minimum decrease of a layer's skew that counts as a gain while popularity drifts.
    #[serde(rename = "least_gain")]
    pub drifting_min_gain: f64,
    /// Minimum decrease of a layer's skew that counts as a gain while popularity is stable; higher,
    /// so that noise causes no moves.
    #[serde(rename = "calm_gain")]
    pub stable_min_gain: f64,
    /// Maximum number of bytes that one change may load.
    pub max_bytes: u64,
    /// Weights of the goals.
    pub weights: Weights,
}

impl Parameters {
    /// Creates the parameters of a group that shares the weight store's `rate`, in bytes a second,
    /// with other groups.
    ///
    /// `groups` is the number of all model groups in the configuration. Each group uses an equal
    /// part of the rate, so that together they stay within it without exchanging messages.
    pub fn new(
        shape: &map::Shape,
        expert_bytes: u64,
        rate: f64,
        groups: usize,
        weights: Weights,
    ) -> Self {
        let slots = shape.layers * shape.slots_per_layer();
        Self {
            horizon: HORIZON,
            expert_part: EXPERT_PART,
            expert_bytes,
            rate: rate / groups.max(1) as f64,
            interference: INTERFERENCE,
            stall: STALL,
            drifting_min_gain: DRIFTING_MIN_GAIN,
            stable_min_gain: STABLE_MIN_GAIN,
            max_bytes: (slots as f64 * MAX_CHANGE_PART) as u64 * expert_bytes,
            weights,
        }
    }

    /// Returns the group time that loading `moves` copies and one switch cost, in seconds.
    pub fn change_cost_s(&self, moves: usize) -> f64 {
        self.load_cost_s(moves) + self.stall.as_secs_f64()
    }

    fn load_cost_s(&self, moves: usize) -> f64 {
        let time = moves as f64 * self.expert_bytes as f64 / self.rate.max(1.0);
        time * self.interference
    }
}

/// Returns the mean skew over layers of `map` under the popularity of each layer's experts.
pub fn mean_skew(map: &map::Map, popularity: &[popularity::Popularity]) -> f64 {
    let slots = map.shape().slots;
    let layers = popularity.iter().enumerate();
    mean(layers.map(|(i, p)| loads::LayerLoads::new(p.weights(), slots, map.layer(i)).skew()))
}

/// The reason for keeping a map.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepReason {
    /// No token counts were received yet.
    NoCounts,
    /// Every layer is even.
    Even,
    /// The possible gain is within the noise of the counts.
    Noise,
    /// The possible gain is worth less than its cost.
    Cost,
    /// An operator froze the map.
    Frozen,
    /// A rank needs more time per token than others, which no map can fix.
    Straggler,
    /// Another change is under way.
    Busy,
}

/// A change that is worth its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The map to change to.
    pub map: map::Map,
    /// Number of copies to load.
    pub moves: usize,
    /// Bytes to load.
    pub bytes: u64,
    /// Expected mean skew over layers, without and with the change.
    pub skew: (f64, f64),
    /// Group time that the change saves over the horizon, in seconds.
    pub saving: f64,
    /// Group time that loading and the stall cost, in seconds.
    pub cost: f64,
}

/// A decision on a group's map.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Keep the map.
    Keep {
        /// Reason for keeping it.
        why: KeepReason,
        /// Expected mean skew over layers.
        skew: f64,
    },
    /// Change the map.
    Change(Box<Change>),
}

/// The state of a group that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// Map in use.
    pub map: &'a map::Map,
    /// Popularity of the experts, by layer.
    pub popularity: &'a [popularity::Popularity],
    /// Hosts and zones of the ranks.
    pub layout: &'a layout::Layout,
}

/// Decides whether to change the map in use, and to which map.
///
/// Layers are improved independently of each other. The change takes the layers with the highest
/// net gain first, as long as their copies fit into the byte limit.
pub fn decide(view: GroupView<'_>, params: &Parameters) -> Decision {
    let shape = view.map.shape();
    if view.popularity.len() != shape.layers
        || view.popularity.iter().any(|p| p.weights().is_empty())
    {
        return Decision::Keep { why: KeepReason::NoCounts, skew: 1.0 };
    }
    let mut budget = (params.max_bytes / params.expert_bytes.max(1)) as usize;
    let mut layers: Vec<Layer> =
        (0..shape.layers).map(|layer| Layer::new(view, params, layer, budget)).collect();
    layers.sort_by(|a, b| b.net.total_cmp(&a.net).then(a.layer.cmp(&b.layer)));
    let before = mean(layers.iter().map(|layer| layer.skew_before));
    let mut chosen: Vec<&Layer> = Vec::new();
    for layer in layers.iter().filter(|layer| layer.net > 0.0) {
        if layer.moves <= budget {
            budget -= layer.moves;
            chosen.push(layer);
        }
    }
    let saving: f64 = chosen.iter().map(|layer| layer.saving).sum();
    let cost = chosen.iter().map(|layer| layer.cost).sum::<f64>() + params.stall.as_secs_f64();
    match () {
        () if chosen.is_empty() => Decision::Keep { why: keep_reason(&layers), skew: before },
        () if params.weights.skew * saving <= params.weights.cost * cost => {
            Decision::Keep { why: KeepReason::Cost, skew: before }
        }
        () => {
            Decision::Change(Box::new(build_change(view, params, &chosen, (before, saving, cost))))
        }
    }
}

/// Builds the change to the chosen layers; `totals` are the skew before, the saving and the cost.
fn build_change(
    view: GroupView<'_>,
    params: &Parameters,
    chosen: &[&Layer],
    totals: (f64, f64, f64),
) -> Change {
    let mut map = view.map.clone();
    chosen.iter().for_each(|layer| map.set_layer(layer.layer, &layer.cells));
    let moves = view.map.moves_to(&map).len();
    let (before, saving, cost) = totals;
    let gain = chosen.iter().map(|layer| layer.skew_before - layer.skew_after).sum::<f64>();
    Change {
        map,
        moves,
        bytes: moves as u64 * params.expert_bytes,
        skew: (before, before - gain / view.map.shape().layers as f64),
        saving,
        cost,
    }
}

fn keep_reason(layers: &[Layer]) -> KeepReason {
    match () {
        () if layers.iter().all(|layer| layer.skew_before <= layer.bound * EVEN_FACTOR) => {
            KeepReason::Even
        }
        () if layers.iter().any(|layer| layer.noisy) => KeepReason::Noise,
        () => KeepReason::Cost,
    }
}

/// The best cells found for one layer, with their gain and cost.
struct Layer {
    layer: usize,
    cells: Vec<u16>,
    moves: usize,
    /// Skew of the map in use.
    skew_before: f64,
    /// Skew of `cells`.
    skew_after: f64,
    /// Lower bound of the skew.
    bound: f64,
    /// Group time saved over the horizon, in seconds.
    saving: f64,
    /// Group time that loading costs, in seconds.
    cost: f64,
    /// Weighted saving minus weighted cost.
    net: f64,
    /// Whether a gain was rejected as noise.
    noisy: bool,
}

impl Layer {
    fn new(view: GroupView<'_>, params: &Parameters, layer: usize, budget: usize) -> Self {
        let shape = view.map.shape();
        let popularity = &view.popularity[layer];
        let old = view.map.layer(layer);
        let loads = loads::LayerLoads::new(popularity.weights(), shape.slots, old);
        let skew_before = loads.skew();
        let bound = bound::min_skew(popularity.weights(), shape.ranks, shape.slots);
        let mut best = Self {
            layer,
            cells: old.to_vec(),
            moves: 0,
            skew_before,
            skew_after: skew_before,
            bound,
            saving: 0.0,
            cost: 0.0,
            net: 0.0,
            noisy: false,
        };
        let (noise_factor, min_gain) = match popularity.is_drifting() {
            true => (DRIFTING_NOISE_FACTOR, params.drifting_min_gain),
            false => (STABLE_NOISE_FACTOR, params.stable_min_gain),
        };
        let noise = (noise_factor * noise_gain(&loads, &popularity.forecast_errors(), shape.ranks))
            .max(min_gain);
        if skew_before - bound <= noise.max(EDIT_THRESHOLD) {
            best.noisy = skew_before > bound * EVEN_FACTOR;
            return best;
        }
        let mut check = CandidateCheck { view, params, layer, noise, budget };
        check.improve(loads, MAX_EDITS, &mut best);
        for tolerance in REPACK_TOLERANCES {
            let spread = params.weights.spread > 0.0;
            let cells = repack::repack(
                popularity.weights(),
                shape.slots,
                old,
                tolerance,
                view.layout,
                spread,
            );
            let loads = loads::LayerLoads::new(popularity.weights(), shape.slots, &cells);
            check.improve(loads, MAX_REPACK_EDITS, &mut best);
        }
        best
    }
}

/// The conditions that a candidate for the cells of one layer must meet.
struct CandidateCheck<'a> {
    view: GroupView<'a>,
    params: &'a Parameters,
    layer: usize,
    noise: f64,
    budget: usize,
}

impl CandidateCheck<'_> {
    /// Lowers the skew edit by edit, and keeps the best of all states in `best`.
    fn improve(&mut self, mut loads: loads::LayerLoads, max_edits: usize, best: &mut Layer) {
        let spread =
            loads::ZoneSpread { layout: self.view.layout, worth: self.params.weights.spread };
        self.consider(&loads, best);
        for _ in 0..max_edits {
            match next_edit(&loads, &spread, best.bound) {
                Some(edit) => loads.apply(edit),
                None => break,
            }
            self.consider(&loads, best);
        }
    }

    /// Takes the state as the new best if its net gain is higher, its copies fit into the budget
    /// and its gain exceeds the noise.
    fn consider(&self, loads: &loads::LayerLoads, best: &mut Layer) {
        let shape = self.view.map.shape();
        let old = self.view.map.layer(self.layer);
        let moves = map::layer_moves(shape.slots, old, loads.cells(), self.layer).len();
        let skew_after = loads.skew();
        let pass = 1.0 - self.params.expert_part + self.params.expert_part * best.skew_before;
        let time_per_skew = self.params.expert_part / pass / shape.layers as f64;
        let saving =
            self.params.horizon.as_secs_f64() * time_per_skew * (best.skew_before - skew_after);
        let cost = self.params.load_cost_s(moves);
        let net = self.params.weights.skew * saving - self.params.weights.cost * cost;
        let better = net > best.net && moves <= self.budget;
        best.noisy |= better && best.skew_before - skew_after <= self.noise;
        if better && best.skew_before - skew_after > self.noise {
            best.cells.copy_from_slice(loads.cells());
            (best.moves, best.skew_after, best.saving, best.cost, best.net) =
                (moves, skew_after, saving, cost, net);
        }
    }
}

/// Decrease of the skew that fitting a map to noise alone would seem to give.
fn noise_gain(loads: &loads::LayerLoads, errors: &[f64], ranks: usize) -> f64 {
    (ranks as f64).ln().sqrt() * loads.load_error(errors)
}

/// Finds the next edit for one of the busiest ranks; `None` if the layer is even or no edit helps.
fn next_edit(
    loads: &loads::LayerLoads,
    spread: &loads::ZoneSpread<'_>,
    bound: f64,
) -> Option<loads::Edit> {
    if loads.skew() <= bound * EVEN_FACTOR {
        return None;
    }
    let load = loads.rank_loads();
    let mut ranks: Vec<usize> = (0..load.len()).collect();
    ranks.sort_by(|&a, &b| load[b].total_cmp(&load[a]));
    ranks
        .into_iter()
        .take(HOT_RANKS)
        .find_map(|rank| loads.best_edit(rank, spread))
        .map(|(edit, _)| edit)
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let len = values.len().max(1) as f64;
    values.sum::<f64>() / len
}
