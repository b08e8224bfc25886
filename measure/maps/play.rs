//! Plays one drift against one way of choosing maps on a small fake of a rank group.

use std::time;

use knapweedford::group::{bound, layout, loads, map, pack, plan, popularity, straggler};
use rand::SeedableRng;

use crate::maps::{cost, drift};

/// Length of a period, in seconds.
pub const PERIOD: f64 = 300.0;
/// Periods by which counts lag behind the period decided for.
const LAG: usize = 2;

/// A way of choosing maps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// The initial map for ever.
    Static,
    /// A full greedy repack on the newest counts, each period.
    Repack,
    /// A full greedy repack that knows the counts of the period ahead, each period.
    Ahead,
    /// The policy.
    Policy,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Group.
    pub shape: map::Shape,
    /// Exponent of popularity.
    pub zipf: f64,
    /// Relative noise of counts.
    pub noise: f64,
    /// Seed.
    pub seed: u64,
    /// Drift.
    pub drift: drift::Drift,
    /// Terms of the policy.
    pub terms: plan::Parameters,
}

/// What came out of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Skew of each layer in each period, by tokens.
    pub skew: Vec<f64>,
    /// Skew by layer and period in order, with the first period left out.
    pub means: Vec<f64>,
    /// Lower bound of each of them.
    pub bound: Vec<f64>,
    /// Copies loaded in each period.
    pub moves: Vec<usize>,
    /// Mean step time over the trace, with slow ranks, over that of a balanced step.
    pub step: f64,
    /// Time lost to loading and stall, in seconds.
    pub lost: f64,
    /// Times of single decisions.
    pub decisions: Vec<time::Duration>,
    /// Rank reported as straggler, with the period of the report.
    pub reported: Option<(usize, usize)>,
    /// Experts over all layers whose copies all stand in the zone where most do, at the end.
    pub exposed: usize,
}

impl Outcome {
    /// The value below which `part` of the skews lie.
    pub fn quantile(&self, part: f64) -> f64 {
        quantile(&self.skew, part)
    }

    /// Copies loaded over the whole trace.
    pub fn moved(&self) -> usize {
        self.moves.iter().sum()
    }

    /// Periods with a change.
    pub fn changes(&self) -> usize {
        self.moves.iter().filter(|moves| **moves > 0).count()
    }

    /// Tokens generated, over those of a group that is balanced and never stops.
    pub fn tokens(&self) -> f64 {
        let whole = drift::PERIODS as f64 * PERIOD;
        (whole - self.lost) / whole / self.step
    }

    /// Last period with a change.
    pub fn last_change(&self) -> Option<usize> {
        self.moves.iter().rposition(|moves| *moves > 0)
    }
}

/// The value below which `part` of `values` lie.
pub fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * part).round() as usize]
}

/// Ranks in three zones, four to a host (one to a host in small groups).
pub fn layout_of(shape: &map::Shape) -> layout::Layout {
    layout::Layout::regular(shape.ranks, if shape.ranks < 64 { 1 } else { 4 }, 3)
}

/// Plays the case.
pub fn play(case: &Case, way: Way) -> Outcome {
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
    let mut watch = straggler::Detector::default();
    let mut past: Vec<Vec<Vec<f64>>> = Vec::new();
    let mut out = Outcome::default();
    for period in 0..drift::PERIODS {
        let truth: Vec<Vec<f64>> = traces.iter_mut().map(|trace| trace.next(period)).collect();
        if let Some(due) = period.checked_sub(LAG) {
            for (count, tokens) in counts.iter_mut().zip(&past[due]) {
                count.add_report(popularity::TokenCounts { period: due as u64, tokens });
            }
        }
        let newest = period.checked_sub(LAG).map(|due| &past[due]);
        let next = choose(way, case, &layout, &map, (&counts, newest, &truth), &mut out);
        let moved = map.moves_to(&next).len();
        out.moves.push(moved);
        out.lost += lost(&case.terms, moved);
        map = next;
        let skews = observe(&map, &truth, &mut out, period);
        step(case, period, &map, &truth, &skews, &mut watch, &mut out);
        past.push(truth.iter().map(|t| drift::noisy(&mut rng, t, case.noise)).collect());
    }
    out.step /= drift::PERIODS as f64;
    out.exposed = exposed(&map, &layout);
    out
}

type Known<'a> = (&'a [popularity::Popularity], Option<&'a Vec<Vec<f64>>>, &'a [Vec<f64>]);

fn choose(
    way: Way,
    case: &Case,
    layout: &layout::Layout,
    map: &map::Map,
    (counts, newest, truth): Known<'_>,
    out: &mut Outcome,
) -> map::Map {
    match way {
        Way::Static => map.clone(),
        Way::Repack => newest.map_or_else(|| map.clone(), |w| repack(case, layout, w)),
        Way::Ahead => repack(case, layout, truth),
        Way::Policy => {
            let start = cost::processor_time();
            let decision =
                plan::decide(plan::GroupView { map, popularity: counts, layout }, &case.terms);
            out.decisions.push((cost::processor_time() - start) / case.shape.layers as u32);
            match decision {
                plan::Decision::Change(change) => change.map,
                plan::Decision::Keep { .. } => map.clone(),
            }
        }
    }
}

fn repack(case: &Case, layout: &layout::Layout, weights: &[Vec<f64>]) -> map::Map {
    let cells = weights.iter().flat_map(|w| pack::pack(w, case.shape.slots, layout, false));
    map::Map::new(case.shape, cells.collect()).expect("a packed map is whole")
}

fn lost(terms: &plan::Parameters, moved: usize) -> f64 {
    match moved {
        0 => 0.0,
        _ => {
            let load = moved as f64 * terms.expert_bytes as f64 / terms.rate;
            load * terms.interference + terms.stall.as_secs_f64()
        }
    }
}

fn observe(map: &map::Map, truth: &[Vec<f64>], out: &mut Outcome, period: usize) -> Vec<f64> {
    let shape = map.shape();
    let layers = truth.iter().enumerate();
    let skews: Vec<f64> = layers
        .map(|(layer, w)| loads::LayerLoads::new(w, shape.slots, map.layer(layer)).skew())
        .collect();
    out.skew.extend(&skews);
    out.bound.extend(truth.iter().map(|w| bound::min_skew(w, shape.ranks, shape.slots)));
    if period > 0 {
        out.means.push(skews.iter().sum::<f64>() / skews.len() as f64);
    }
    skews
}

fn step(
    case: &Case,
    period: usize,
    map: &map::Map,
    truth: &[Vec<f64>],
    skews: &[f64],
    watch: &mut straggler::Detector,
    out: &mut Outcome,
) {
    let ranks = case.shape.ranks;
    let slow = drift::slowness(case.drift, ranks, period);
    let slots = case.shape.slots;
    let mut samples = vec![straggler::Sample { tokens: 0.0, busy_s: 0.0 }; ranks];
    let mut time = 0.0;
    for (layer, weights) in truth.iter().enumerate() {
        let loads = loads::LayerLoads::new(weights, slots, map.layer(layer));
        let busy = loads.rank_loads().iter().zip(&slow).map(|(load, slow)| load * slow);
        time += busy.clone().fold(0.0, f64::max);
        for ((sample, load), busy) in samples.iter_mut().zip(loads.rank_loads()).zip(busy) {
            sample.tokens += load;
            sample.busy_s += busy;
        }
    }
    let part = case.terms.expert_part;
    out.step += 1.0 - part + part * time / skews.len() as f64;
    if let Some(straggler) = watch.add_period(&samples).first() {
        out.reported.get_or_insert((straggler.rank, period));
    }
}

fn exposed(map: &map::Map, layout: &layout::Layout) -> usize {
    let shape = map.shape();
    (0..shape.layers)
        .map(|layer| {
            let weights = vec![1.0; shape.experts];
            let loads = loads::LayerLoads::new(&weights, shape.slots, map.layer(layer));
            let alone = |e: &usize| layout.zones_of(loads.holders(*e as u16).iter().copied()) < 2;
            (0..shape.experts).filter(alone).count()
        })
        .sum()
}
