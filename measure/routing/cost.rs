//! Time of one routing decision and memory of one active workspace.

use std::{hint, time};

use knapweedford::{
    config, name,
    policy::{candidates, prefix, queue, route},
    wire,
};
use rand::SeedableRng as _;

/// Decisions timed for each number of servers.
const DECISIONS: u32 = 20_000;
/// Workspaces in the queue whose memory is measured.
const WORKSPACES: u32 = 35_000;

/// Prints the time of a decision by number of servers and the memory of a workspace.
pub fn print() {
    println!("| servers | decision median ns | decision p99 ns |\n|---|---|---|");
    for servers in [12, 60, 600] {
        let (median, p99) = time_decisions(servers);
        println!("| {servers} | {median} | {p99} |");
    }
    let before = resident_bytes();
    let queue = fill_queue();
    let growth = resident_bytes().saturating_sub(before);
    let bytes_per_workspace = growth / u64::from(WORKSPACES);
    println!(
        "\n{} active workspaces with one queued request each: {bytes_per_workspace} bytes per \
         workspace",
        queue.active_workspaces()
    );
}

/// Returns the median and the 99th percentile of the time of a decision, in nanoseconds.
fn time_decisions(servers: u32) -> (u128, u128) {
    let now = time::Duration::from_secs(1);
    let mut candidates = candidates::CandidateSet::new(&"entry-1".into());
    for index in 0..servers {
        let server = name::Server::new(format!("s{index}"));
        candidates.add(&server, &name::Zone::new(format!("z{}", index % 3)));
        let load =
            wire::Load { in_flight: index % 7, limit: 16, warm: true, ..wire::Load::default() };
        candidates.record_load(&server, &load, now);
    }
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(super::SEED);
    let zone = "z0".into();
    let mut times: Vec<_> = (0..DECISIONS)
        .map(|index| {
            let keys = prefix::PrefixKeys::new(vec![u64::from(index % 10), u64::from(index % 500)]);
            let priority = config::Priority::Interactive;
            let req = route::Request {
                zone: &zone,
                prefix: &keys,
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
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Returns a queue with one request of each workspace.
fn fill_queue() -> queue::FairQueue<u32> {
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

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}
