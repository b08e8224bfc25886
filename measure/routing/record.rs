//! Seeded generator of the traces of the two deployments.

use std::time;

use knapweedford::config;
use rand::{RngExt as _, SeedableRng as _};

use super::trace;

/// Distribution of the requests of one deployment; ranges of tokens exclude their end.
struct Profile {
    seed: u64,
    requests: usize,
    /// Arrivals per second.
    arrival_rate: f64,
    /// Workspaces with their relative shares of the requests.
    workspaces: &'static [(&'static str, u32)],
    /// Share of batch requests, in percent.
    batch_percent: u32,
    /// Mean number of requests per session.
    session_requests: u32,
    shared_tokens: (u32, u32),
    history_tokens: (u32, u32),
    answer_tokens: (u32, u32),
    /// Deadline of an interactive request, in seconds; that of a batch request is three times
    /// as long.
    deadline_secs: u64,
}

/// Generates the trace of a month-end morning: two large workspaces send most requests, and a
/// third of all requests are batch. One server turns cold without a new incarnation and
/// another one crashes.
pub fn piensaime() -> trace::Trace {
    let mut trace = generate_requests(&Profile {
        seed: 11,
        requests: 1500,
        arrival_rate: 30.0,
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
        batch_percent: 33,
        session_requests: 2,
        shared_tokens: (1200, 2400),
        history_tokens: (100, 600),
        answer_tokens: (80, 260),
        deadline_secs: 20,
    });
    trace.events = vec![
        event(12, trace::EventKind::Cool, "sheet-writer-4"),
        event(20, trace::EventKind::Restart, "sheet-writer-8"),
    ];
    trace
}

/// Generates a trace of mostly interactive requests, during which operators take a zone out,
/// its servers restart cold and the zone comes back in.
pub fn hsinchu() -> trace::Trace {
    let mut trace = generate_requests(&Profile {
        seed: 12,
        requests: 1500,
        arrival_rate: 40.0,
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
        batch_percent: 5,
        session_requests: 5,
        shared_tokens: (600, 1200),
        history_tokens: (200, 1500),
        answer_tokens: (40, 160),
        deadline_secs: 12,
    });
    trace.events = vec![
        event(8, trace::EventKind::ZoneOut, "b"),
        event(20, trace::EventKind::ZoneStop, "b"),
        event(24, trace::EventKind::ZoneIn, "b"),
    ];
    trace
}

fn event(at_secs: u64, kind: trace::EventKind, target: &str) -> trace::Event {
    trace::Event { at: time::Duration::from_secs(at_secs), kind, target: target.into() }
}

fn generate_requests(profile: &Profile) -> trace::Trace {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(profile.seed);
    let total_share: u32 = profile.workspaces.iter().map(|(_, share)| share).sum();
    let shared_tokens: Vec<u32> = profile
        .workspaces
        .iter()
        .map(|_| rng.random_range(profile.shared_tokens.0..profile.shared_tokens.1))
        .collect();
    let (mut at_secs, mut session_id, mut sessions) =
        (0.0, 1u64, vec![Vec::<u64>::new(); profile.workspaces.len()]);
    let mut trace = trace::Trace::default();
    for _ in 0..profile.requests {
        at_secs += -(1.0 - rng.random_range(0.0..1.0f64)).ln() / profile.arrival_rate;
        let mut offset = rng.random_range(0..total_share);
        let workspace = profile.workspaces.iter().position(|(_, share)| {
            let found = offset < *share;
            offset = offset.saturating_sub(*share);
            found
        });
        let workspace = workspace.unwrap_or(0);
        let starts_session =
            sessions[workspace].is_empty() || rng.random_range(0..profile.session_requests) == 0;
        let session = match starts_session {
            true => {
                session_id += 1;
                sessions[workspace].push(session_id);
                if sessions[workspace].len() > 12 {
                    sessions[workspace].remove(0);
                }
                session_id
            }
            false => sessions[workspace][rng.random_range(0..sessions[workspace].len())],
        };
        let batch = rng.random_range(0..100) < profile.batch_percent;
        trace.requests.push(trace::Request {
            arrived_at: time::Duration::from_millis((at_secs * 1000.0) as u64),
            workspace: profile.workspaces[workspace].0.into(),
            priority: if batch { config::Priority::Batch } else { config::Priority::Interactive },
            session,
            shared_tokens: shared_tokens[workspace],
            history_tokens: rng.random_range(profile.history_tokens.0..profile.history_tokens.1),
            answer_tokens: rng.random_range(profile.answer_tokens.0..profile.answer_tokens.1),
            deadline: time::Duration::from_secs(profile.deadline_secs * if batch { 3 } else { 1 }),
        });
    }
    trace
}
