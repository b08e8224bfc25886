//! Routing, limits and retries against baselines on recorded traces.

use std::{collections::BTreeMap, process, time};

pub mod cost;
pub mod entry;
pub mod figures;
pub mod record;
pub mod server;
pub mod trace;
pub mod world;

/// Seed of the entries and of the balancer before them.
pub const SEED: u64 = 3;
/// Offered load over the capacity.
const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];

const PIENSAIME: &str = include_str!("../../tests/traces/piensaime.trace");
const HSINCHU: &str = include_str!("../../tests/traces/hsinchu.trace");

/// Runs the measurement and prints its tables.
pub fn run(args: &[String]) -> process::ExitCode {
    match args.first().map(String::as_str) {
        Some("record-piensaime") => print!("# seed 11\n{}", record::piensaime()),
        Some("record-hsinchu") => print!("# seed 12\n{}", record::hsinchu()),
        Some("cost") => cost::print(),
        _ => {
            table("piensaime", &piensaime());
            table("hsinchu", &hsinchu());
        }
    }
    process::ExitCode::SUCCESS
}

/// The trace of month-end mornings.
pub fn piensaime() -> trace::Trace {
    trace::Trace::parse(PIENSAIME).expect("the committed trace parses")
}

/// The trace of a zone that leaves and returns.
pub fn hsinchu() -> trace::Trace {
    trace::Trace::parse(HSINCHU).expect("the committed trace parses")
}

/// Requests a second that all servers together answer when always full: the
/// best over the policies, without events and deadlines.
pub fn capacity(trace: &trace::Trace) -> f64 {
    let mut busy = trace.calm().scaled(20.0);
    let patient = time::Duration::from_secs(300);
    busy.requests.iter_mut().for_each(|req| req.deadline = patient);
    let gated = entry::Policy::ALL.into_iter().filter(|policy| policy.gated());
    gated.map(|policy| figures::drained(&world::run(&busy, policy, SEED))).fold(0.0, f64::max)
}

/// The trace at `load` times the capacity.
pub fn at_load(trace: &trace::Trace, capacity: f64, load: f64) -> trace::Trace {
    let native = trace.requests.len() as f64 / trace.span().as_secs_f64();
    trace.scaled(load * capacity / native)
}

fn table(name: &str, trace: &trace::Trace) {
    let capacity = capacity(trace);
    println!("\n## {name}: capacity {capacity:.1} requests/s, seed {SEED}\n");
    println!("{}", figures::HEADER);
    let mut at_capacity = BTreeMap::new();
    for load in [1.0].into_iter().chain(LOADS) {
        let scaled = at_load(trace, capacity, load);
        for policy in entry::Policy::ALL {
            let outcome = world::run(&scaled, policy, SEED);
            let figures = figures::Figures::of(&scaled, &outcome);
            println!("| {load} | {} | {figures} |", policy.name());
            at_capacity.entry(policy.name()).or_insert_with(Vec::new).push(figures.goodput);
        }
    }
    println!();
    for (policy, goodput) in at_capacity {
        let part = goodput[4] / goodput[0] * 100.0;
        println!("{policy}: goodput at 2 times capacity is {part:.0}% of that at capacity");
    }
}
