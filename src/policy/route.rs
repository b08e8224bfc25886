//! Which backend server gets a request.

use std::time;

use rand::RngExt as _;

use crate::{
    config, name,
    policy::{candidate, decision, roster},
};

/// Wait named when every server is full.
const FULL_RETRY: time::Duration = time::Duration::from_millis(200);
/// Wait named when no server may have new work.
const NONE_RETRY: time::Duration = time::Duration::from_secs(1);
/// Extra fill that a server in another zone counts.
const FAR: f64 = 0.02;
/// Extra fill that a cold server counts.
const COLD: f64 = 0.1;
/// Spread of the random part that keeps entries from herding.
const JITTER: f64 = 0.02;

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Zone of the entry.
    pub zone: &'a name::Zone,
    /// Hash of the prompt's prefix; `None` if there is none to reuse.
    pub prefix: Option<u64>,
    /// Tokens the request is thought to cost.
    pub tokens: u64,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// Servers that this request has been to and must not go to again.
    pub tried: &'a [name::Server],
}

/// Chooses a server for `req`, or says why there is none.
pub fn pick(
    roster: &roster::Roster,
    req: &Request<'_>,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Decision {
    let eligible: Vec<_> = roster
        .iter()
        .filter(|candidate| candidate.eligible(now) && !req.tried.contains(&candidate.server))
        .collect();
    let free: Vec<_> = eligible.iter().copied().filter(|candidate| candidate.free()).collect();
    let outcome = match () {
        () if eligible.is_empty() => wait(decision::Blocked::NoServer, NONE_RETRY),
        () if free.is_empty() => wait(decision::Blocked::AllFull, FULL_RETRY),
        () => least(&free, req, rng),
    };
    decision::Decision {
        at: now,
        outcome,
        eligible: eligible.len() as u32,
        free: free.len() as u32,
    }
}

fn wait(why: decision::Blocked, retry_after: time::Duration) -> decision::Outcome {
    decision::Outcome::Wait { why, retry_after }
}

fn least(
    free: &[&candidate::Candidate],
    req: &Request<'_>,
    rng: &mut impl rand::Rng,
) -> decision::Outcome {
    let best = free
        .iter()
        .map(|candidate| (cost(candidate, req) + rng.random_range(0.0..JITTER), candidate))
        .min_by(|a, b| a.0.total_cmp(&b.0));
    match best {
        Some((_, candidate)) => decision::Outcome::Send {
            server: candidate.server.clone(),
            why: decision::Why::LeastLoad,
        },
        None => wait(decision::Blocked::AllFull, FULL_RETRY),
    }
}

fn cost(candidate: &candidate::Candidate, req: &Request<'_>) -> f64 {
    let far = if candidate.zone == *req.zone { 0.0 } else { FAR };
    let cold = if candidate.warm() { 0.0 } else { COLD };
    candidate.fill() + far + cold
}
