//! Time of one decision and size of what a group keeps, by ranks.

use std::{fs, time};

use knapweedford::group::{map, plan, popularity};
use rand::SeedableRng;

use crate::maps::{self, drift, play};

const RANKS: [usize; 4] = [32, 64, 128, 256];
const LAYERS: usize = 4;
const SLOTS: usize = 2;
/// Decisions timed at each size.
const DECISIONS: usize = 40;
/// Reports taken in before a decision.
const REPORTS: u64 = 12;

/// Prints a line a size: as many experts as ranks, two slots a rank, both configurations.
pub fn print() {
    println!(
        "seed {}, {LAYERS} layers, {DECISIONS} decisions, processor time of one thread",
        maps::SEED
    );
    println!(
        "{:>6} {:<10} {:>10} {:>10} {:>10}",
        "ranks", "weights", "median ms", "worst ms", "map bytes"
    );
    for ranks in RANKS {
        for (name, weights) in maps::SITES {
            line(ranks, name, weights);
        }
    }
}

fn line(ranks: usize, name: &str, weights: plan::Weights) {
    let shape = map::Shape { layers: LAYERS, ranks, slots: SLOTS, experts: ranks };
    let terms = maps::terms(&shape, weights);
    let mut took: Vec<f64> = (0..DECISIONS).map(|at| decide(shape, &terms, at as u64)).collect();
    took.sort_by(f64::total_cmp);
    let bytes = shape.layers * shape.slots_per_layer() * size_of::<u16>();
    let (median, worst) = (took[took.len() / 2], took[took.len() - 1]);
    println!("{ranks:>6} {name:<10} {median:>10.2} {worst:>10.2} {bytes:>10}");
}

/// Time of a first decision from the initial map, the longest there is, in milliseconds a layer.
fn decide(shape: map::Shape, terms: &plan::Parameters, at: u64) -> f64 {
    let seed = maps::SEED + at;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let layout = play::layout_of(&shape);
    let map = map::Map::initial(shape);
    let counts: Vec<popularity::Popularity> =
        (0..shape.layers).map(|layer| counted(&shape, &mut rng, seed + layer as u64)).collect();
    let start = processor_time();
    std::hint::black_box(plan::decide(
        plan::GroupView { map: &map, popularity: &counts, layout: &layout },
        terms,
    ));
    (processor_time() - start).as_secs_f64() * 1e3 / shape.layers as f64
}

fn counted(shape: &map::Shape, rng: &mut rand_pcg::Pcg64Mcg, seed: u64) -> popularity::Popularity {
    let mut trace = drift::Trace::new(drift::Drift::Slow, shape.experts, maps::ZIPF, seed);
    let mut counts = popularity::Popularity::default();
    for period in 0..REPORTS {
        let tokens = drift::noisy(rng, &trace.next(period as usize), maps::NOISE);
        counts.add_report(popularity::TokenCounts { period, tokens: &tokens });
    }
    counts
}

/// Processor time that this thread has used, as the kernel's scheduler counts it.
///
/// Other processes on a busy machine do not lengthen it, as they do the wall clock.
pub fn processor_time() -> time::Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split_whitespace().next().and_then(|word| word.parse().ok());
    time::Duration::from_nanos(nanos.unwrap_or(0))
}
