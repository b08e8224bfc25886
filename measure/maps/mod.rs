//! Expert maps: skew, bytes moved and stall on drifting traces.

use std::process;

use knapweedford::group::{map, plan};

mod cost;
mod drift;
mod play;
mod shapes;

const SEED: u64 = 7;
const ZIPF: f64 = 0.6;
const NOISE: f64 = 0.03;
const EXPERT_BYTES: u64 = 44_000_000;
/// Period from which a map under constant load is to rest.
const SETTLED: usize = 60;
const RATE: f64 = 2e9;
/// The two configurations.
const SITES: [(&str, plan::Weights); 2] =
    [("piensaime", plan::Weights::PIENSAIME), ("hsinchu", plan::Weights::HSINCHU)];

fn shape_today() -> map::Shape {
    map::Shape { layers: 4, ranks: 12, slots: 22, experts: 256 }
}

fn shape_target() -> map::Shape {
    map::Shape { layers: 4, ranks: 256, slots: 2, experts: 256 }
}

fn terms(shape: &map::Shape, weights: plan::Weights) -> plan::Parameters {
    plan::Parameters::new(shape, EXPERT_BYTES, RATE, 1, weights)
}

/// Runs the measurement and prints its table.
///
/// `cost` prints the cost of decisions alone; otherwise the arguments are a
/// seed, a number of ranks and a drift, each optional.
pub fn run(args: &[String]) -> process::ExitCode {
    if args.first().is_some_and(|arg| arg == "cost") {
        cost::print();
        return process::ExitCode::SUCCESS;
    }
    let seed = args.first().and_then(|arg| arg.parse().ok()).unwrap_or(SEED);
    println!("maps: seed {seed}, Zipf {ZIPF}, noise {NOISE}, lag 2 periods of {} s", play::PERIOD);
    shapes::run(seed);
    let mut met = true;
    let only: Option<usize> = args.get(1).and_then(|arg| arg.parse().ok());
    let shapes = [shape_today(), shape_target()];
    for shape in shapes.into_iter().filter(|shape| only.is_none_or(|ranks| ranks == shape.ranks)) {
        let named =
            |drift: &drift::Drift| args.get(2).is_none_or(|arg| *arg == format!("{drift:?}"));
        for drift in drift::ALL.into_iter().filter(named) {
            let case = |weights| play::Case {
                shape,
                zipf: ZIPF,
                noise: NOISE,
                seed,
                drift,
                terms: terms(&shape, weights),
            };
            met &= compare(&case(SITES[0].1), &SITES.map(|(name, weights)| (name, case(weights))));
        }
    }
    println!("targets met: {met}");
    process::ExitCode::from(u8::from(!met))
}

fn compare(case: &play::Case, sites: &[(&str, play::Case)]) -> bool {
    let shape = case.shape;
    println!(
        "\n{} ranks x {} slots, {} experts, {} layers: {:?}",
        shape.ranks, shape.slots, shape.experts, shape.layers, case.drift
    );
    println!(
        "{:<10} {:>7} {:>7} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9}  notes",
        "way", "median", "p95", "worst", "GB moved", "stall s", "changes", "tokens", "decide ms"
    );
    let fixed = play::play(case, play::Way::Static);
    let repack = play::play(case, play::Way::Repack);
    let ahead = play::play(case, play::Way::Ahead);
    let steady = matches!(case.drift, drift::Drift::Constant | drift::Drift::Straggler);
    print("static", &fixed, String::new());
    print("repack", &repack, String::new());
    print("ahead", &ahead, format!("bound p95 {:.3}", play::quantile(&ahead.bound, 0.95)));
    sites.iter().fold(true, |met, (name, case)| {
        let out = play::play(case, play::Way::Policy);
        let (good, notes) = judge(&out, &fixed, &repack, &ahead, steady);
        print(name, &out, notes);
        met & good
    })
}

fn judge(
    out: &play::Outcome,
    fixed: &play::Outcome,
    repack: &play::Outcome,
    ahead: &play::Outcome,
    steady: bool,
) -> (bool, String) {
    let ratio = out.quantile(0.95) / ahead.quantile(0.95);
    let bytes = out.moved() as f64 / repack.moved() as f64;
    let worse = out.means.iter().zip(&fixed.means).filter(|(a, b)| **a > **b + 1e-9).count();
    let rests = !steady || out.last_change().is_none_or(|period| period < SETTLED);
    let good = ratio <= 1.05 && bytes <= 0.2 && worse == 0 && rests;
    let last = out.last_change().map_or("none".into(), |period| period.to_string());
    let reported = out.reported.map_or(String::new(), |(rank, period)| {
        format!(", straggler {rank} reported in period {period}")
    });
    let verdict = if good { "met" } else { "MISSED" };
    let notes = format!(
        "{verdict}: p95/ahead {ratio:.3}, bytes/repack {bytes:.3}, worse than static {worse}, \
         last change {last}, one-zone experts {}{reported}",
        out.exposed
    );
    (good, notes)
}

fn print(name: &str, out: &play::Outcome, notes: String) {
    let slowest = out.decisions.iter().max().copied().unwrap_or_default();
    println!(
        "{name:<10} {:>7.3} {:>7.3} {:>7.3} {:>9.0} {:>8.1} {:>8} {:>8.4} {:>9.2}  {notes}",
        out.quantile(0.5),
        out.quantile(0.95),
        out.quantile(1.0),
        out.moved() as f64 * EXPERT_BYTES as f64 / 1e9,
        out.lost,
        out.changes(),
        out.tokens(),
        slowest.as_secs_f64() * 1e3
    );
}
