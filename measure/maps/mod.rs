//! Comparison of strategies for choosing expert maps by skew, bytes moved and stall on drifting
//! traces.

use std::process;

use knapweedford::group::{map, plan};

mod cost;
mod drift;
mod protocols;
mod simulation;

const SEED: u64 = 7;
/// Exponent of the Zipf distribution of popularity.
const ZIPF: f64 = 0.6;
/// Relative noise of the token counts.
const NOISE: f64 = 0.03;
const EXPERT_BYTES: u64 = 44_000_000;
/// Period from which the map must not change under constant load.
const SETTLED_PERIOD: usize = 60;
/// Bytes per second that the weight store delivers.
const WEIGHT_STORE_RATE: f64 = 2e9;
/// Weights of the policy at the two sites.
const SITES: [(&str, plan::Weights); 2] =
    [("piensaime", plan::Weights::PIENSAIME), ("hsinchu", plan::Weights::HSINCHU)];

/// Returns the shape of a group of the present size.
fn shape_today() -> map::Shape {
    map::Shape { layers: 4, ranks: 12, slots: 22, experts: 256 }
}

/// Returns the shape of a group of the target size.
fn shape_target() -> map::Shape {
    map::Shape { layers: 4, ranks: 256, slots: 2, experts: 256 }
}

fn policy_parameters(shape: &map::Shape, weights: plan::Weights) -> plan::Parameters {
    plan::Parameters::new(shape, EXPERT_BYTES, WEIGHT_STORE_RATE, 1, weights)
}

/// Runs the measurement and prints its table.
///
/// With `cost` it prints only the cost of decisions. Otherwise the arguments are a seed, a number
/// of ranks and a drift, all optional. The exit code is 1 if a target is missed.
pub fn run(args: &[String]) -> process::ExitCode {
    if args.first().is_some_and(|arg| arg == "cost") {
        cost::print();
        return process::ExitCode::SUCCESS;
    }
    let seed = args.first().and_then(|arg| arg.parse().ok()).unwrap_or(SEED);
    println!(
        "maps: seed {seed}, Zipf {ZIPF}, noise {NOISE}, lag 2 periods of {} s",
        simulation::PERIOD_SECS
    );
    protocols::print(seed);
    let mut all_met = true;
    let ranks_filter: Option<usize> = args.get(1).and_then(|arg| arg.parse().ok());
    let shapes = [shape_today(), shape_target()];
    for shape in
        shapes.into_iter().filter(|shape| ranks_filter.is_none_or(|ranks| ranks == shape.ranks))
    {
        let is_selected =
            |drift: &drift::Drift| args.get(2).is_none_or(|arg| *arg == format!("{drift:?}"));
        for drift in drift::ALL.into_iter().filter(is_selected) {
            let case = |weights| simulation::Case {
                shape,
                zipf: ZIPF,
                noise: NOISE,
                seed,
                drift,
                params: policy_parameters(&shape, weights),
            };
            all_met &=
                compare(&case(SITES[0].1), &SITES.map(|(name, weights)| (name, case(weights))));
        }
    }
    println!("all targets met: {all_met}");
    process::ExitCode::from(u8::from(!all_met))
}

/// Prints the outcome of every strategy in one case and returns whether the policy met
/// its targets at all sites.
fn compare(case: &simulation::Case, sites: &[(&str, simulation::Case)]) -> bool {
    let shape = case.shape;
    println!(
        "\n{} ranks x {} slots, {} experts, {} layers: {:?}",
        shape.ranks, shape.slots, shape.experts, shape.layers, case.drift
    );
    println!(
        "{:<10} {:>7} {:>7} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9}  notes",
        "strategy", "median", "p95", "max", "GB moved", "stall s", "changes", "tokens", "decide ms"
    );
    let initial = simulation::simulate(case, simulation::Strategy::Static);
    let repack = simulation::simulate(case, simulation::Strategy::Repack);
    let oracle = simulation::simulate(case, simulation::Strategy::Oracle);
    let steady = matches!(case.drift, drift::Drift::Constant | drift::Drift::Straggler);
    print("static", &initial, String::new());
    print("repack", &repack, String::new());
    print(
        "oracle",
        &oracle,
        format!("lower bound p95 {:.3}", simulation::quantile(&oracle.bounds, 0.95)),
    );
    sites.iter().fold(true, |all_met, (name, case)| {
        let policy = simulation::simulate(case, simulation::Strategy::Policy);
        let (met, notes) = check_targets(&policy, &initial, &repack, &oracle, steady);
        print(name, &policy, notes);
        all_met & met
    })
}

/// Returns whether the policy met its targets, and notes that give the figures compared.
///
/// The targets: a p95 of skew within 5% of the oracle's, at most 20% of the bytes of full repacks,
/// in no period a mean skew above that of the initial map, and under `steady` load no change from
/// `SETTLED_PERIOD` on.
fn check_targets(
    policy: &simulation::Outcome,
    initial: &simulation::Outcome,
    repack: &simulation::Outcome,
    oracle: &simulation::Outcome,
    steady: bool,
) -> (bool, String) {
    let skew_ratio = policy.quantile(0.95) / oracle.quantile(0.95);
    let bytes_ratio = policy.moved() as f64 / repack.moved() as f64;
    let worse_periods =
        policy.mean_skews.iter().zip(&initial.mean_skews).filter(|(a, b)| **a > **b + 1e-9).count();
    let settled = !steady || policy.last_change().is_none_or(|period| period < SETTLED_PERIOD);
    let met = skew_ratio <= 1.05 && bytes_ratio <= 0.2 && worse_periods == 0 && settled;
    let last_change = policy.last_change().map_or("none".into(), |period| period.to_string());
    let straggler = policy.reported_straggler.map_or(String::new(), |(rank, period)| {
        format!(", straggler {rank} reported in period {period}")
    });
    let verdict = if met { "met" } else { "MISSED" };
    let notes = format!(
        "{verdict}: p95/oracle {skew_ratio:.3}, bytes/repack {bytes_ratio:.3}, \
         periods worse than static {worse_periods}, last change {last_change}, \
         one-zone experts {}{straggler}",
        policy.single_zone_experts
    );
    (met, notes)
}

fn print(name: &str, outcome: &simulation::Outcome, notes: String) {
    let slowest = outcome.decision_times.iter().max().copied().unwrap_or_default();
    println!(
        "{name:<10} {:>7.3} {:>7.3} {:>7.3} {:>9.0} {:>8.1} {:>8} {:>8.4} {:>9.2}  {notes}",
        outcome.quantile(0.5),
        outcome.quantile(0.95),
        outcome.quantile(1.0),
        outcome.moved() as f64 * EXPERT_BYTES as f64 / 1e9,
        outcome.stall_secs,
        outcome.changes(),
        outcome.relative_tokens(),
        slowest.as_secs_f64() * 1e3
    );
}
