//! Time of one decision about expert maps and size of a map, by number of ranks.

use std::{fs, time};

use knapweedford::group::{map, plan, popularity};
use rand::SeedableRng;

use crate::maps::{self, drift, simulation};

/// Numbers of ranks that are measured.
const RANKS: [usize; 4] = [32, 64, 128, 256];
const LAYERS: usize = 4;
/// Expert slots per rank.
const SLOTS: usize = 2;
/// Decisions timed for each number of ranks.
const DECISIONS: usize = 40;
/// Reports of token counts that precede a decision.
const REPORTS: u64 = 12;

/// Prints a row for each number of ranks and each configuration, with as many experts as ranks and
/// two slots per rank.
pub fn print() {
    println!(
        "seed {}, {LAYERS} layers, {DECISIONS} decisions, processor time of one thread",
        maps::SEED
    );
    println!(
        "{:>6} {:<10} {:>10} {:>10} {:>10}",
        "ranks", "weights", "median ms", "max ms", "map bytes"
    );
    for ranks in RANKS {
        for (name, weights) in maps::SITES {
            print_row(ranks, name, weights);
        }
    }
}

fn print_row(ranks: usize, name: &str, weights: plan::Weights) {
    let shape = map::Shape { layers: LAYERS, ranks, slots: SLOTS, experts: ranks };
    let params = maps::policy_parameters(&shape, weights);
    let mut times: Vec<f64> =
        (0..DECISIONS).map(|index| time_decision(shape, &params, index as u64)).collect();
    times.sort_by(f64::total_cmp);
    let bytes = shape.layers * shape.slots_per_layer() * size_of::<u16>();
    let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{ranks:>6} {name:<10} {median:>10.2} {max:>10.2} {bytes:>10}");
}

/// Returns the time of a first decision, on the initial map, in milliseconds per layer. The first
/// decision takes the longest of all.
fn time_decision(shape: map::Shape, params: &plan::Parameters, index: u64) -> f64 {
    let seed = maps::SEED + index;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let layout = simulation::layout_of(&shape);
    let map = map::Map::initial(shape);
    let counts: Vec<popularity::Popularity> = (0..shape.layers)
        .map(|layer| reported_popularity(&shape, &mut rng, seed + layer as u64))
        .collect();
    let start = processor_time();
    std::hint::black_box(plan::decide(
        plan::GroupView { map: &map, popularity: &counts, layout: &layout },
        params,
    ));
    (processor_time() - start).as_secs_f64() * 1e3 / shape.layers as f64
}

/// Returns the popularity of one layer as noisy reports give it.
fn reported_popularity(
    shape: &map::Shape,
    rng: &mut rand_pcg::Pcg64Mcg,
    seed: u64,
) -> popularity::Popularity {
    let mut trace = drift::Trace::new(drift::Drift::Slow, shape.experts, maps::ZIPF, seed);
    let mut counts = popularity::Popularity::default();
    for period in 0..REPORTS {
        let tokens = drift::add_noise(rng, &trace.next(period as usize), maps::NOISE);
        counts.add_report(popularity::TokenCounts { period, tokens: &tokens });
    }
    counts
}

/// Returns the processor time that this thread has used, as the kernel's scheduler counts it.
///
/// Unlike wall-clock time, it does not grow with the load that other processes put on the machine.
pub fn processor_time() -> time::Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split_whitespace().next().and_then(|field| field.parse().ok());
    time::Duration::from_nanos(nanos.unwrap_or(0))
}
