//! What one decision and one active workspace cost.

use std::{hint, time};

use knapweedford::{
    config, name,
    policy::{candidates, prefix, queue, route},
    wire,
};
use rand::SeedableRng as _;

const DECISIONS: u32 = 20_000;
const WORKSPACES: u32 = 35_000;

/// Prints both.
pub fn print() {
    println!("| servers | median ns | p99 ns |\n|---|---|---|");
    for servers in [12, 60, 600] {
        let (median, p99) = decisions(servers);
        println!("| {servers} | {median} | {p99} |");
    }
    let before = resident();
    let queue = workspaces();
    let grown = resident().saturating_sub(before);
    let each = grown / u64::from(WORKSPACES);
    println!(
        "\n{} active workspaces with one queued request each: {each} bytes each",
        queue.active_workspaces()
    );
}

fn decisions(servers: u32) -> (u128, u128) {
    let now = time::Duration::from_secs(1);
    let mut candidates = candidates::CandidateSet::new(&"entry-1".into());
    for at in 0..servers {
        let server = name::Server::new(format!("s{at}"));
        candidates.add(&server, &name::Zone::new(format!("z{}", at % 3)));
        let load = wire::Load { in_flight: at % 7, limit: 16, warm: true, ..wire::Load::default() };
        candidates.record_load(&server, &load, now);
    }
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(super::SEED);
    let zone = "z0".into();
    let mut took: Vec<_> = (0..DECISIONS)
        .map(|at| {
            let chain = prefix::PrefixKeys::new(vec![u64::from(at % 10), u64::from(at % 500)]);
            let priority = config::Priority::Interactive;
            let req = route::Request {
                zone: &zone,
                prefix: &chain,
                tokens: 100,
                time_left: now,
                priority,
                tried: &[],
            };
            let start = time::Instant::now();
            hint::black_box(route::choose_server(&candidates, &req, now, &mut rng));
            start.elapsed().as_nanos()
        })
        .collect();
    took.sort_unstable();
    (took[took.len() / 2], took[took.len() * 99 / 100])
}

fn workspaces() -> queue::FairQueue<u32> {
    let mut queue = queue::FairQueue::new(WORKSPACES as usize, 10);
    for value in 0..WORKSPACES {
        let item = queue::Item {
            workspace: name::Workspace::new(format!("workspace-{value}")),
            priority: config::Priority::Interactive,
            cost: 100,
            arrived_at: time::Duration::ZERO,
            cost_ahead: 0,
            deadline: time::Duration::from_secs(10),
            value,
        };
        queue.push(item, 1);
    }
    queue
}

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
