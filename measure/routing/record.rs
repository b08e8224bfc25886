//! The seeded recorder of the two deployments' traces.

use std::time;

use knapweedford::config;
use rand::{RngExt as _, SeedableRng as _};

use super::trace;

/// How one deployment's requests look.
struct Shape {
    seed: u64,
    requests: usize,
    /// Arrivals a second.
    rate: f64,
    /// Workspaces with their part of the requests.
    workspaces: &'static [(&'static str, u32)],
    /// Part of batch requests, in percent.
    batch: u32,
    /// Requests of one session on average.
    turns: u32,
    shared: (u32, u32),
    history: (u32, u32),
    answer: (u32, u32),
    /// Deadline of an interactive request, in seconds; batch has three times as long.
    deadline: u64,
}

/// Month-end morning: two large workspaces send most requests, a third of them batch.
/// One server turns cold unnoticed, one dies.
pub fn piensaime() -> trace::Trace {
    let mut trace = requests(&Shape {
        seed: 11,
        requests: 1500,
        rate: 30.0,
        workspaces: &[
            ("valmiera", 40),
            ("cesis", 26),
            ("talsi", 8),
            ("saldus", 6),
            ("madona", 5),
            ("bauska", 4),
            ("ludza", 4),
            ("preili", 3),
            ("gulbene", 2),
            ("aizpute", 2),
        ],
        batch: 33,
        turns: 2,
        shared: (1200, 2400),
        history: (100, 600),
        answer: (80, 260),
        deadline: 20,
    });
    trace.events = vec![
        event(12, trace::What::Cool, "sheet-writer-4"),
        event(20, trace::What::Restart, "sheet-writer-8"),
    ];
    trace
}

/// Residents on the line while a zone leaves and returns cold.
pub fn hsinchu() -> trace::Trace {
    let mut trace = requests(&Shape {
        seed: 12,
        requests: 1500,
        rate: 40.0,
        workspaces: &[
            ("zhubei", 30),
            ("hukou", 20),
            ("xinfeng", 14),
            ("guanxi", 8),
            ("xinpu", 8),
            ("qionglin", 6),
            ("baoshan", 5),
            ("beipu", 4),
            ("emei", 3),
            ("jianshi", 2),
        ],
        batch: 5,
        turns: 5,
        shared: (600, 1200),
        history: (200, 1500),
        answer: (40, 160),
        deadline: 12,
    });
    trace.events = vec![
        event(8, trace::What::ZoneOut, "b"),
        event(20, trace::What::ZoneStop, "b"),
        event(24, trace::What::ZoneIn, "b"),
    ];
    trace
}

fn event(at: u64, what: trace::What, name: &str) -> trace::Event {
    trace::Event { at: time::Duration::from_secs(at), what, name: name.into() }
}

fn requests(shape: &Shape) -> trace::Trace {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(shape.seed);
    let parts: u32 = shape.workspaces.iter().map(|(_, part)| part).sum();
    let shared: Vec<u32> =
        shape.workspaces.iter().map(|_| rng.random_range(shape.shared.0..shape.shared.1)).collect();
    let (mut at, mut next, mut open) = (0.0, 1u64, vec![Vec::<u64>::new(); shape.workspaces.len()]);
    let mut trace = trace::Trace::default();
    for _ in 0..shape.requests {
        at += -(1.0 - rng.random_range(0.0..1.0f64)).ln() / shape.rate;
        let mut part = rng.random_range(0..parts);
        let which = shape.workspaces.iter().position(|(_, size)| {
            let here = part < *size;
            part = part.saturating_sub(*size);
            here
        });
        let which = which.unwrap_or(0);
        let fresh = open[which].is_empty() || rng.random_range(0..shape.turns) == 0;
        let session = match fresh {
            true => {
                next += 1;
                open[which].push(next);
                if open[which].len() > 12 {
                    open[which].remove(0);
                }
                next
            }
            false => open[which][rng.random_range(0..open[which].len())],
        };
        let batch = rng.random_range(0..100) < shape.batch;
        trace.requests.push(trace::Request {
            at: time::Duration::from_millis((at * 1000.0) as u64),
            workspace: shape.workspaces[which].0.into(),
            priority: if batch { config::Priority::Batch } else { config::Priority::Interactive },
            session,
            shared: shared[which],
            history: rng.random_range(shape.history.0..shape.history.1),
            answer: rng.random_range(shape.answer.0..shape.answer.1),
            deadline: time::Duration::from_secs(shape.deadline * if batch { 3 } else { 1 }),
        });
    }
    trace
}
