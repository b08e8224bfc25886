//! Comparison of the routing, limits and retries of this crate with baselines, on recorded
//! traces and simulated servers.

use std::{collections::BTreeMap, process, time};

pub mod cost;
pub mod entry;
pub mod figures;
pub mod record;
pub mod server;
pub mod simulation;
pub mod trace;

/// Seed of the entries and of the choice of an entry for each request.
pub const SEED: u64 = 3;
/// Number of times that a trace is played in a row.
const TRACE_REPEATS: u32 = 4;
/// Ratios of the offered load to the capacity.
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
            let name_filter = args.get(1).map_or("", String::as_str);
            print_table("piensaime", &piensaime(), name_filter);
            print_table("hsinchu", &hsinchu(), name_filter);
        }
    }
    process::ExitCode::SUCCESS
}

/// Returns the recorded trace of a month-end morning.
pub fn piensaime() -> trace::Trace {
    trace::Trace::parse(PIENSAIME).expect("the committed trace parses")
}

/// Returns the recorded trace of a zone that is taken out and brought back in.
pub fn hsinchu() -> trace::Trace {
    trace::Trace::parse(HSINCHU).expect("the committed trace parses")
}

/// Returns the requests per second that all servers together complete under constant overload:
/// the best result of all policies, without events and with a long deadline.
pub fn capacity(trace: &trace::Trace) -> f64 {
    let mut overload = trace.without_events().scaled(20.0);
    let long_deadline = time::Duration::from_secs(300);
    overload.requests.iter_mut().for_each(|req| req.deadline = long_deadline);
    let throughput = |policy| figures::throughput(&simulation::run(&overload, policy, SEED));
    entry::Policy::ALL.into_iter().map(throughput).fold(0.0, f64::max)
}

/// Scales a trace so that its requests arrive at `load` times `capacity`, which is in requests per
/// second.
pub fn at_load(trace: &trace::Trace, capacity: f64, load: f64) -> trace::Trace {
    let recorded_rate = trace.requests.len() as f64 / trace.span().as_secs_f64();
    trace.scaled(load * capacity / recorded_rate)
}

/// Prints the figures of one trace for the policies whose names contain `name_filter`.
fn print_table(name: &str, trace: &trace::Trace, name_filter: &str) {
    let capacity = capacity(trace);
    let trace = &trace.repeated(TRACE_REPEATS);
    println!("\n## {name}: capacity {capacity:.1} requests/s, seed {SEED}\n");
    println!("{}", figures::HEADER);
    let mut goodputs = BTreeMap::new();
    for load in [1.0].into_iter().chain(LOADS) {
        let scaled = at_load(trace, capacity, load);
        let compared =
            entry::Policy::ALL.into_iter().filter(|policy| policy.name().contains(name_filter));
        for policy in compared {
            let outcome = simulation::run(&scaled, policy, SEED);
            let figures = figures::Figures::new(&scaled, &outcome);
            println!("| {load} | {} | {figures} |", policy.name());
            goodputs.entry(policy.name()).or_insert_with(Vec::new).push(figures.goodput);
        }
    }
    println!();
    for (policy, goodput) in goodputs {
        let percent = goodput[4] / goodput[0] * 100.0;
        println!("{policy}: goodput at 2 times capacity is {percent:.0}% of that at capacity");
    }
}
