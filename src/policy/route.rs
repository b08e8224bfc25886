//! Which backend server gets a request.
//!
//! The cost of a server is its fill (requests thought in flight over its
//! limit) plus small penalties for another zone and a cold server, minus what
//! a held prefix saves. A prefix draws requests only to servers whose fill is
//! below [`BOUND`] times the mean, so a popular prefix spreads over as many
//! servers as it needs.

use std::time;

use rand::RngExt as _;

use crate::{
    config, name,
    policy::{candidate, decision, prefix, roster, subset},
};

/// Wait named when every server is full.
const FULL_RETRY: time::Duration = time::Duration::from_millis(200);
/// Wait named when no server may have new work.
const NONE_RETRY: time::Duration = time::Duration::from_secs(1);
/// Extra fill that a server in another zone counts.
const FAR: f64 = 0.02;
/// Extra fill that a cold server counts.
const COLD: f64 = 0.1;
/// Fill that a wholly held prefix saves.
const HELD: f64 = 0.8;
/// Fill that the first server of the prefix's own order saves.
const HOME: f64 = 0.15;
/// Fill over the mean beyond which a prefix draws no more requests.
const BOUND: f64 = 1.25;
/// Fill below which a prefix always draws requests.
const QUIET: f64 = 0.25;
/// Pace thought of a cold server at least, over the mean.
const COLD_PACE: f64 = 3.0;
/// Part over the expected time that must be left to the deadline.
const SPARE: f64 = 1.2;
/// Spread of the random part that keeps entries from herding.
const JITTER: f64 = 0.02;

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Zone of the entry.
    pub zone: &'a name::Zone,
    /// Prefixes of the prompt.
    pub prefix: &'a prefix::Chain,
    /// What it costs, in tokens.
    pub tokens: u64,
    /// Time left to its deadline.
    pub left: time::Duration,
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
    let home = home(&eligible, req.prefix);
    let known = |candidate: &&candidate::Candidate| candidate.member || is(home, candidate);
    let free: Vec<_> = eligible.iter().copied().filter(|candidate| candidate.free()).collect();
    let mean = pace(&eligible, now);
    let in_time = |candidate: &&candidate::Candidate| in_time(candidate, mean, req, now);
    let near: Vec<_> = free.iter().copied().filter(known).filter(in_time).collect();
    let far: Vec<_> = free.iter().copied().filter(in_time).collect();
    let asked = || eligible.iter().copied().filter(known).filter(|c| c.worth_asking(now));
    let outcome = match () {
        () if eligible.is_empty() => wait(decision::Blocked::NoServer, NONE_RETRY),
        () if !near.is_empty() => best(&near, home, req, now, rng),
        () if !far.is_empty() => send(any(&far, rng), decision::Why::Widened),
        () if !free.is_empty() => wait(decision::Blocked::AllSlow, FULL_RETRY),
        () => match asked().min_by_key(|candidate| candidate.in_flight()) {
            Some(candidate) => send(candidate, decision::Why::Probe),
            None => wait(decision::Blocked::AllFull, FULL_RETRY),
        },
    };
    decision::Decision {
        at: now,
        outcome,
        eligible: eligible.len() as u32,
        free: free.len() as u32,
    }
}

/// Mean pace of the servers that have answered, in seconds a token.
fn pace(eligible: &[&candidate::Candidate], now: time::Duration) -> Option<f64> {
    let known = eligible.iter().filter_map(|candidate| candidate.known_pace(now));
    let (sum, count) = known.fold((0.0, 0u32), |(sum, count), pace| (sum + pace, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Whether `candidate` is thought to answer before the deadline.
fn in_time(
    candidate: &candidate::Candidate,
    mean: Option<f64>,
    req: &Request<'_>,
    now: time::Duration,
) -> bool {
    let cold = mean.filter(|_| !candidate.warm()).map(|mean| mean * COLD_PACE);
    let pace = candidate.known_pace(now).into_iter().chain(cold).reduce(f64::max);
    pace.is_none_or(|pace| pace * SPARE * req.tokens as f64 <= req.left.as_secs_f64())
}

/// The first server in the prefix's own order, the same at every entry.
fn home<'a>(
    eligible: &[&'a candidate::Candidate],
    prefix: &prefix::Chain,
) -> Option<&'a candidate::Candidate> {
    let root = prefix.root()?;
    eligible.iter().copied().max_by_key(|candidate| subset::weight(root, candidate.seed))
}

fn is(home: Option<&candidate::Candidate>, candidate: &candidate::Candidate) -> bool {
    home.is_some_and(|home| home.server == candidate.server)
}

fn best(
    near: &[&candidate::Candidate],
    home: Option<&candidate::Candidate>,
    req: &Request<'_>,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Outcome {
    let mean = near.iter().map(|candidate| candidate.fill()).sum::<f64>() / near.len() as f64;
    let bound = (mean * BOUND).max(QUIET);
    let mut least = (f64::INFINITY, near[0], decision::Why::LeastLoad);
    for candidate in near.iter().copied() {
        let draws = candidate.fill() <= bound;
        let held = if draws { candidate.cache.share(req.prefix, now) } else { 0.0 };
        let (saves, why) = match () {
            () if held > 0.0 => (HELD * held, decision::Why::Prefix),
            () if draws && is(home, candidate) => (HOME, decision::Why::Home),
            () => (0.0, decision::Why::LeastLoad),
        };
        let cost = cost(candidate, req) - saves + rng.random_range(0.0..JITTER);
        if cost < least.0 {
            least = (cost, candidate, why);
        }
    }
    send(least.1, least.2)
}

fn cost(candidate: &candidate::Candidate, req: &Request<'_>) -> f64 {
    let far = if candidate.zone == *req.zone { 0.0 } else { FAR };
    let cold = if candidate.warm() { 0.0 } else { COLD };
    candidate.fill() + far + cold
}

fn any<'a>(
    free: &[&'a candidate::Candidate],
    rng: &mut impl rand::Rng,
) -> &'a candidate::Candidate {
    free[rng.random_range(0..free.len())]
}

fn send(candidate: &candidate::Candidate, why: decision::Why) -> decision::Outcome {
    decision::Outcome::Send { server: candidate.server.clone(), why }
}

fn wait(why: decision::Blocked, retry_after: time::Duration) -> decision::Outcome {
    decision::Outcome::Wait { why, retry_after }
}
