//! The change worth making now, if any: few moves that lower the skew of the map in use.

use std::time;

use serde::{Deserialize, Serialize};

use crate::group::{bound, layout, loads, map, popularity, repack};

/// Skew below which a layer is left alone.
const GOOD: f64 = 1.003;
/// How long a change is expected to pay.
const HORIZON: time::Duration = time::Duration::from_secs(1800);
/// Part of a balanced step that is spent in experts.
const EXPERT_PART: f64 = 0.5;
/// Slowdown of steps while weights are loaded.
const INTERFERENCE: f64 = 0.1;
/// Time for which a switch stops the group.
const STALL: time::Duration = time::Duration::from_millis(50);
/// Least fall of a layer's skew that counts as a gain while popularity drifts.
const LEAST_GAIN: f64 = 0.01;
/// The same while popularity stays.
const CALM_GAIN: f64 = 0.03;
/// Noise gains that a gain must exceed while popularity stays.
const CALM_NOISE: f64 = 2.0;
/// The same while popularity drifts and bytes are better spent than saved.
const DRIFT_NOISE: f64 = 0.5;
/// Distance of a layer's skew from its bound at which it is looked at; more than the least
/// gain, so that a layer once mended rests.
const TRIGGER: f64 = 0.025;
/// Copies of one change over all slots of the group.
const MOST: f64 = 0.18;
/// Busiest ranks tried before a layer counts as mended as far as edits can.
const TRIES: usize = 2;
/// Most edits tried on the map in use.
const EDITS: usize = 32;
/// Most edits tried on a partial repack.
const POLISH: usize = 48;
/// Distances from the mean at which a rank is left as it is by a partial repack.
const TOLERANCES: [f64; 4] = [0.15, 0.06, 0.03, 0.02];

/// How an operator weighs the ends against each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Weights {
    /// Worth of a second of group time saved.
    pub skew: f64,
    /// Worth of a second of group time that a change costs.
    pub cost: f64,
    /// Worth of keeping copies of an expert in two zones, in units of the load potential.
    pub spread: f64,
}

impl Weights {
    /// For groups whose runs must close on time: skew and cost of moves above all.
    pub const PIENSAIME: Self = Self { skew: 1.0, cost: 1.0, spread: 0.0 };
    /// For groups that must ride out the loss of a zone: copies in two zones, fewer changes.
    pub const HSINCHU: Self = Self { skew: 0.5, cost: 1.0, spread: 0.015 };
}

/// What moves cost and how long their gain lasts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Parameters {
    /// How long a change is expected to pay.
    pub horizon: time::Duration,
    /// Part of a balanced step that is spent in experts, from 0 to 1.
    pub expert_part: f64,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
    /// This group's share of the weight store's rate, in bytes a second.
    pub rate: f64,
    /// Slowdown of steps while weights are loaded, from 0 to 1.
    pub interference: f64,
    /// Time for which a switch stops the group.
    pub stall: time::Duration,
    /// Least fall of a layer's skew that counts as a gain while popularity drifts.
    #[serde(rename = "least_gain")]
    pub drifting_min_gain: f64,
    /// The same while popularity stays, so that noise moves nothing.
    #[serde(rename = "calm_gain")]
    pub stable_min_gain: f64,
    /// Most bytes of one change.
    pub max_bytes: u64,
    /// Weights of the ends.
    pub weights: Weights,
}

impl Parameters {
    /// Terms of a group that shares the weight store's `rate`, in bytes a second, with others.
    ///
    /// `groups` is the number of all model groups in the operators' text, so
    /// that together they stay within the rate without talking to each other.
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
            drifting_min_gain: LEAST_GAIN,
            stable_min_gain: CALM_GAIN,
            max_bytes: (slots as f64 * MOST) as u64 * expert_bytes,
            weights,
        }
    }

    /// Group time that loading `moves` copies and one switch cost, in seconds.
    pub fn change_cost_s(&self, moves: usize) -> f64 {
        self.cost_of_load(moves) + self.stall.as_secs_f64()
    }

    fn cost_of_load(&self, moves: usize) -> f64 {
        let time = moves as f64 * self.expert_bytes as f64 / self.rate.max(1.0);
        time * self.interference
    }
}

/// Mean skew over layers of `map` under `counts`.
pub fn mean_skew(map: &map::Map, counts: &[popularity::Popularity]) -> f64 {
    let slots = map.shape().slots;
    let layers = counts.iter().enumerate();
    mean(layers.map(|(i, c)| loads::LayerLoads::new(c.weights(), slots, map.layer(i)).skew()))
}

/// Why no change is made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepReason {
    /// No counts have come yet.
    NoCounts,
    /// Every layer is even already.
    Even,
    /// What could be gained is within the noise of the counts.
    Noise,
    /// What could be gained is worth less than it costs.
    Cost,
    /// An operator froze the map.
    Frozen,
    /// A rank is slow for reasons of its own; no map mends it.
    Straggler,
    /// Another change is under way.
    Busy,
}

/// A change that pays.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The map to go to.
    pub map: map::Map,
    /// Copies to load.
    pub moves: usize,
    /// Bytes to load.
    pub bytes: u64,
    /// Expected mean skew over layers without and with the change.
    pub skew: (f64, f64),
    /// Group time saved over the horizon, in seconds.
    pub saving: f64,
    /// Group time lost to loading and stall, in seconds.
    pub cost: f64,
}

/// What to do with a group's map.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Leave it.
    Keep {
        /// Why.
        why: KeepReason,
        /// Expected mean skew over layers.
        skew: f64,
    },
    /// Make this change.
    Change(Box<Change>),
}

/// The group as far as a decision needs it.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// Map in use.
    pub map: &'a map::Map,
    /// Popularity by layer.
    pub popularity: &'a [popularity::Popularity],
    /// Where the ranks stand.
    pub layout: &'a layout::Layout,
}

/// Decides on a change for the map in use.
pub fn decide(view: GroupView<'_>, terms: &Parameters) -> Decision {
    let shape = view.map.shape();
    if view.popularity.len() != shape.layers
        || view.popularity.iter().any(|c| c.weights().is_empty())
    {
        return Decision::Keep { why: KeepReason::NoCounts, skew: 1.0 };
    }
    let mut budget = (terms.max_bytes / terms.expert_bytes.max(1)) as usize;
    let mut layers: Vec<Layer> =
        (0..shape.layers).map(|layer| Layer::new(view, terms, layer, budget)).collect();
    layers.sort_by(|a, b| b.net.total_cmp(&a.net).then(a.layer.cmp(&b.layer)));
    let before = mean(layers.iter().map(|layer| layer.before));
    let mut chosen: Vec<&Layer> = Vec::new();
    for layer in layers.iter().filter(|layer| layer.net > 0.0) {
        if layer.moves <= budget {
            budget -= layer.moves;
            chosen.push(layer);
        }
    }
    let saving: f64 = chosen.iter().map(|layer| layer.saving).sum();
    let cost = chosen.iter().map(|layer| layer.cost).sum::<f64>() + terms.stall.as_secs_f64();
    match () {
        () if chosen.is_empty() => Decision::Keep { why: why(&layers), skew: before },
        () if terms.weights.skew * saving <= terms.weights.cost * cost => {
            Decision::Keep { why: KeepReason::Cost, skew: before }
        }
        () => Decision::Change(Box::new(change(view, terms, &chosen, (before, saving, cost)))),
    }
}

fn change(
    view: GroupView<'_>,
    terms: &Parameters,
    chosen: &[&Layer],
    sums: (f64, f64, f64),
) -> Change {
    let mut map = view.map.clone();
    chosen.iter().for_each(|layer| map.set_layer(layer.layer, &layer.cells));
    let moves = view.map.moves_to(&map).len();
    let (before, saving, cost) = sums;
    let gained = chosen.iter().map(|layer| layer.before - layer.after).sum::<f64>();
    Change {
        map,
        moves,
        bytes: moves as u64 * terms.expert_bytes,
        skew: (before, before - gained / view.map.shape().layers as f64),
        saving,
        cost,
    }
}

fn why(layers: &[Layer]) -> KeepReason {
    match () {
        () if layers.iter().all(|layer| layer.before <= layer.bound * GOOD) => KeepReason::Even,
        () if layers.iter().any(|layer| layer.noisy) => KeepReason::Noise,
        () => KeepReason::Cost,
    }
}

/// The best prefix of edits of one layer.
struct Layer {
    layer: usize,
    cells: Vec<u16>,
    moves: usize,
    before: f64,
    after: f64,
    bound: f64,
    saving: f64,
    cost: f64,
    net: f64,
    noisy: bool,
}

impl Layer {
    fn new(view: GroupView<'_>, terms: &Parameters, layer: usize, budget: usize) -> Self {
        let shape = view.map.shape();
        let counts = &view.popularity[layer];
        let old = view.map.layer(layer);
        let loads = loads::LayerLoads::new(counts.weights(), shape.slots, old);
        let before = loads.skew();
        let bound = bound::min_skew(counts.weights(), shape.ranks, shape.slots);
        let mut best = Self {
            layer,
            cells: old.to_vec(),
            moves: 0,
            before,
            after: before,
            bound,
            saving: 0.0,
            cost: 0.0,
            net: 0.0,
            noisy: false,
        };
        let (times, least) = match counts.is_drifting() {
            true => (DRIFT_NOISE, terms.drifting_min_gain),
            false => (CALM_NOISE, terms.stable_min_gain),
        };
        let noise = (times * noise_gain(&loads, &counts.forecast_errors(), shape.ranks)).max(least);
        if before - bound <= noise.max(TRIGGER) {
            best.noisy = before > bound * GOOD;
            return best;
        }
        let mut gate = Gate { view, terms, layer, noise, budget };
        gate.climb(loads, EDITS, &mut best);
        for tolerance in TOLERANCES {
            let spread = terms.weights.spread > 0.0;
            let cells =
                repack::repack(counts.weights(), shape.slots, old, tolerance, view.layout, spread);
            let loads = loads::LayerLoads::new(counts.weights(), shape.slots, &cells);
            gate.climb(loads, POLISH, &mut best);
        }
        best
    }
}

/// What a candidate of one layer must pass.
struct Gate<'a> {
    view: GroupView<'a>,
    terms: &'a Parameters,
    layer: usize,
    noise: f64,
    budget: usize,
}

impl Gate<'_> {
    /// Lowers the skew edit by edit and keeps the best state on the way in `best`.
    fn climb(&mut self, mut loads: loads::LayerLoads, edits: usize, best: &mut Layer) {
        let place =
            loads::ZoneSpread { layout: self.view.layout, worth: self.terms.weights.spread };
        self.consider(&loads, best);
        for _ in 0..edits {
            match next(&loads, &place, best.bound) {
                Some(edit) => loads.apply(edit),
                None => break,
            }
            self.consider(&loads, best);
        }
    }

    fn consider(&self, loads: &loads::LayerLoads, best: &mut Layer) {
        let shape = self.view.map.shape();
        let old = self.view.map.layer(self.layer);
        let moves = map::layer_moves(shape.slots, old, loads.cells(), self.layer).len();
        let after = loads.skew();
        let step = 1.0 - self.terms.expert_part + self.terms.expert_part * best.before;
        let part = self.terms.expert_part / step / shape.layers as f64;
        let saving = self.terms.horizon.as_secs_f64() * part * (best.before - after);
        let cost = self.terms.cost_of_load(moves);
        let net = self.terms.weights.skew * saving - self.terms.weights.cost * cost;
        let better = net > best.net && moves <= self.budget;
        best.noisy |= better && best.before - after <= self.noise;
        if better && best.before - after > self.noise {
            best.cells.copy_from_slice(loads.cells());
            (best.moves, best.after, best.saving, best.cost, best.net) =
                (moves, after, saving, cost, net);
        }
    }
}
/// Fall of the skew that fitting a map to noise alone would seem to give.
fn noise_gain(loads: &loads::LayerLoads, errors: &[f64], ranks: usize) -> f64 {
    (ranks as f64).ln().sqrt() * loads.load_error(errors)
}

fn next(
    loads: &loads::LayerLoads,
    place: &loads::ZoneSpread<'_>,
    bound: f64,
) -> Option<loads::Edit> {
    if loads.skew() <= bound * GOOD {
        return None;
    }
    let load = loads.rank_loads();
    let mut ranks: Vec<usize> = (0..load.len()).collect();
    ranks.sort_by(|&a, &b| load[b].total_cmp(&load[a]));
    ranks
        .into_iter()
        .take(TRIES)
        .find_map(|rank| loads.best_edit(rank, place))
        .map(|(edit, _)| edit)
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let len = values.len().max(1) as f64;
    values.sum::<f64>() / len
}
