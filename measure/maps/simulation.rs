//! Simulation of a rank group that serves one drift with one strategy for choosing expert maps.

use std::time;

use knapweedford::group::{bound, layout, loads, map, pack, plan, popularity, straggler};
use rand::SeedableRng;

use crate::maps::{cost, drift};

/// Length of a period, in seconds.
pub const PERIOD_SECS: f64 = 300.0;
/// Number of periods between the newest counts and the period that a decision is for.
const COUNT_LAG: usize = 2;

/// Strategy for choosing maps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// Keeps the initial map.
    Static,
    /// Repacks greedily in each period by the newest counts.
    Repack,
    /// Repacks greedily in each period by the true popularity of that period.
    Oracle,
    /// Decides by the policy of this crate.
    Policy,
}

/// One case of the comparison.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Shape of the group.
    pub shape: map::Shape,
    /// Exponent of the Zipf distribution of popularity.
    pub zipf: f64,
    /// Relative noise of the token counts.
    pub noise: f64,
    /// Seed of the drift and of the noise.
    pub seed: u64,
    /// Drift of popularity.
    pub drift: drift::Drift,
    /// Parameters of the policy.
    pub params: plan::Parameters,
}

/// Outcome of one case under one strategy.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Skew of the tokens per rank, for each layer in each period.
    pub skews: Vec<f64>,
    /// Mean skew of the layers in each period but the first.
    pub mean_skews: Vec<f64>,
    /// Lower bound of each value of `skews`.
    pub bounds: Vec<f64>,
    /// Copies of experts loaded in each period.
    pub moves: Vec<usize>,
    /// Mean duration of a pass over the trace, relative to a pass of a balanced group without slow
    /// ranks.
    pub pass_time: f64,
    /// Time lost to loading experts and to stalls, in seconds.
    pub stall_secs: f64,
    /// Processor time of each decision, per layer.
    pub decision_times: Vec<time::Duration>,
    /// First rank reported as a straggler, with the period of the report.
    pub reported_straggler: Option<(usize, usize)>,
    /// Experts, summed over the layers, whose copies are all in one zone at the end.
    pub single_zone_experts: usize,
}

impl Outcome {
    /// Returns the quantile of the skews at `share`, from 0 to 1.
    pub fn quantile(&self, share: f64) -> f64 {
        quantile(&self.skews, share)
    }

    /// Returns the number of copies loaded over the whole trace.
    pub fn moved(&self) -> usize {
        self.moves.iter().sum()
    }

    /// Returns the number of periods with a change of the map.
    pub fn changes(&self) -> usize {
        self.moves.iter().filter(|moves| **moves > 0).count()
    }

    /// Returns the tokens generated, relative to a balanced group that never stalls.
    pub fn relative_tokens(&self) -> f64 {
        let total_secs = drift::PERIODS as f64 * PERIOD_SECS;
        (total_secs - self.stall_secs) / total_secs / self.pass_time
    }

    /// Returns the last period with a change of the map.
    pub fn last_change(&self) -> Option<usize> {
        self.moves.iter().rposition(|moves| *moves > 0)
    }
}

/// Returns the quantile of `values` at `share`, from 0 to 1.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * share).round() as usize]
}

/// Returns a layout of the ranks in three zones, with four ranks per host, or one in groups of
/// fewer than 64 ranks.
pub fn layout_of(shape: &map::Shape) -> layout::Layout {
    layout::Layout::regular(shape.ranks, if shape.ranks < 64 { 1 } else { 4 }, 3)
}

/// Simulates the case under one strategy.
pub fn simulate(case: &Case, strategy: Strategy) -> Outcome {
    let shape = case.shape;
    let layout = layout_of(&shape);
    let mut traces: Vec<drift::Trace> = (0..shape.layers)
        .map(|layer| {
            drift::Trace::new(case.drift, shape.experts, case.zipf, case.seed + layer as u64)
        })
        .collect();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(case.seed ^ 0x5eed);
    let mut map = map::Map::initial(shape);
    let mut counts = vec![popularity::Popularity::default(); shape.layers];
    let mut detector = straggler::Detector::default();
    let mut reported: Vec<Vec<Vec<f64>>> = Vec::new();
    let mut outcome = Outcome::default();
    for period in 0..drift::PERIODS {
        let truth: Vec<Vec<f64>> = traces.iter_mut().map(|trace| trace.next(period)).collect();
        if let Some(due) = period.checked_sub(COUNT_LAG) {
            for (count, tokens) in counts.iter_mut().zip(&reported[due]) {
                count.add_report(popularity::TokenCounts { period: due as u64, tokens });
            }
        }
        let newest = period.checked_sub(COUNT_LAG).map(|due| &reported[due]);
        let next =
            choose_map(strategy, case, &layout, &map, (&counts, newest, &truth), &mut outcome);
        let moved = map.moves_to(&next).len();
        outcome.moves.push(moved);
        outcome.stall_secs += stall_secs(&case.params, moved);
        map = next;
        let skews = record_skews(&map, &truth, &mut outcome, period);
        record_passes(case, period, &map, &truth, &skews, &mut detector, &mut outcome);
        reported.push(truth.iter().map(|t| drift::add_noise(&mut rng, t, case.noise)).collect());
    }
    outcome.pass_time /= drift::PERIODS as f64;
    outcome.single_zone_experts = count_single_zone_experts(&map, &layout);
    outcome
}

/// Popularity that a strategy may use: the reports, the newest counts and the true popularity.
type KnownPopularity<'a> =
    (&'a [popularity::Popularity], Option<&'a Vec<Vec<f64>>>, &'a [Vec<f64>]);

/// Returns the map for the next period.
fn choose_map(
    strategy: Strategy,
    case: &Case,
    layout: &layout::Layout,
    map: &map::Map,
    (counts, newest, truth): KnownPopularity<'_>,
    outcome: &mut Outcome,
) -> map::Map {
    match strategy {
        Strategy::Static => map.clone(),
        Strategy::Repack => {
            newest.map_or_else(|| map.clone(), |weights| repack(case, layout, weights))
        }
        Strategy::Oracle => repack(case, layout, truth),
        Strategy::Policy => {
            let start = cost::processor_time();
            let decision =
                plan::decide(plan::GroupView { map, popularity: counts, layout }, &case.params);
            outcome
                .decision_times
                .push((cost::processor_time() - start) / case.shape.layers as u32);
            match decision {
                plan::Decision::Change(change) => change.map,
                plan::Decision::Keep { .. } => map.clone(),
            }
        }
    }
}

fn repack(case: &Case, layout: &layout::Layout, weights: &[Vec<f64>]) -> map::Map {
    let cells = weights.iter().flat_map(|layer| pack::pack(layer, case.shape.slots, layout, false));
    map::Map::new(case.shape, cells.collect()).expect("a packed map is complete")
}

/// Returns the time lost to loading `moved` copies and to the switch, in seconds.
fn stall_secs(params: &plan::Parameters, moved: usize) -> f64 {
    match moved {
        0 => 0.0,
        _ => {
            let load_secs = moved as f64 * params.expert_bytes as f64 / params.rate;
            load_secs * params.interference + params.stall.as_secs_f64()
        }
    }
}

/// Records the skews of a period in `outcome` and returns them by layer.
fn record_skews(
    map: &map::Map,
    truth: &[Vec<f64>],
    outcome: &mut Outcome,
    period: usize,
) -> Vec<f64> {
    let shape = map.shape();
    let layers = truth.iter().enumerate();
    let skews: Vec<f64> = layers
        .map(|(layer, weights)| {
            loads::LayerLoads::new(weights, shape.slots, map.layer(layer)).skew()
        })
        .collect();
    outcome.skews.extend(&skews);
    outcome
        .bounds
        .extend(truth.iter().map(|weights| bound::min_skew(weights, shape.ranks, shape.slots)));
    if period > 0 {
        outcome.mean_skews.push(skews.iter().sum::<f64>() / skews.len() as f64);
    }
    skews
}

/// Records the duration of the passes of a period and the first straggler that is detected.
fn record_passes(
    case: &Case,
    period: usize,
    map: &map::Map,
    truth: &[Vec<f64>],
    skews: &[f64],
    detector: &mut straggler::Detector,
    outcome: &mut Outcome,
) {
    let ranks = case.shape.ranks;
    let slowness = drift::slowness(case.drift, ranks, period);
    let slots = case.shape.slots;
    let mut samples = vec![straggler::Sample { tokens: 0.0, busy_s: 0.0 }; ranks];
    let mut total_time = 0.0;
    for (layer, weights) in truth.iter().enumerate() {
        let loads = loads::LayerLoads::new(weights, slots, map.layer(layer));
        let busy = loads.rank_loads().iter().zip(&slowness).map(|(load, slowness)| load * slowness);
        total_time += busy.clone().fold(0.0, f64::max);
        for ((sample, load), busy) in samples.iter_mut().zip(loads.rank_loads()).zip(busy) {
            sample.tokens += load;
            sample.busy_s += busy;
        }
    }
    let part = case.params.expert_part;
    outcome.pass_time += 1.0 - part + part * total_time / skews.len() as f64;
    if let Some(straggler) = detector.add_period(&samples).first() {
        outcome.reported_straggler.get_or_insert((straggler.rank, period));
    }
}

/// Counts the experts, summed over the layers, whose copies are all in one zone.
fn count_single_zone_experts(map: &map::Map, layout: &layout::Layout) -> usize {
    let shape = map.shape();
    (0..shape.layers)
        .map(|layer| {
            let weights = vec![1.0; shape.experts];
            let loads = loads::LayerLoads::new(&weights, shape.slots, map.layer(layer));
            let in_one_zone =
                |expert: &usize| layout.zones_of(loads.holders(*expert as u16).iter().copied()) < 2;
            (0..shape.experts).filter(in_one_zone).count()
        })
        .sum()
}
