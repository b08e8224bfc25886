//! Which backend server gets a request.
//!
//! The cost of a server is its fill (requests thought in flight over its
//! limit) plus small penalties for another zone and a cold server, minus what
//! a held prefix saves. A prefix draws requests only to servers whose fill is
//! below [`PREFIX_LOAD_BOUND`] times the mean, so a popular prefix spreads over as many
//! servers as it needs.

use std::time;

use rand::RngExt as _;

use crate::{
    config, name,
    policy::{candidate, candidates, decision, prefix, subset},
};

/// Wait named when every server is full.
const RETRY_AFTER_FULL: time::Duration = time::Duration::from_millis(200);
/// Wait named when no server may have new work.
const RETRY_AFTER_NO_SERVER: time::Duration = time::Duration::from_secs(1);
/// Extra fill that a server in another zone counts.
const OTHER_ZONE_PENALTY: f64 = 0.02;
/// Extra fill that a cold server counts.
const COLD_PENALTY: f64 = 0.1;
/// Fill that a wholly held prefix saves.
const CACHED_PREFIX_BONUS: f64 = 0.8;
/// Fill that the first server of the prefix's own order saves.
const HOME_SERVER_BONUS: f64 = 0.15;
/// Fill over the mean beyond which a prefix draws no more requests.
const PREFIX_LOAD_BOUND: f64 = 1.25;
/// Fill below which a prefix always draws requests.
const MIN_PREFIX_BOUND: f64 = 0.25;
/// Pace thought of a cold server at least, over the mean.
const COLD_LATENCY_FACTOR: f64 = 3.0;
/// Part over the expected time that must be left to the deadline.
const DEADLINE_MARGIN: f64 = 1.2;
/// Spread of the random part that keeps entries from herding.
const MAX_JITTER: f64 = 0.02;

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Zone of the entry.
    pub zone: &'a name::Zone,
    /// Prefixes of the prompt.
    pub prefix: &'a prefix::PrefixKeys,
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
pub fn choose_server(
    candidates: &candidates::CandidateSet,
    req: &Request<'_>,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Decision {
    let eligible: Vec<_> = candidates
        .iter()
        .filter(|candidate| candidate.is_eligible(now) && !req.tried.contains(&candidate.server))
        .collect();
    let home = home_server(&eligible, req.prefix);
    let reachable =
        |candidate: &&candidate::Candidate| candidate.in_subset || is_same(home, candidate);
    let free: Vec<_> =
        eligible.iter().copied().filter(|candidate| candidate.has_free_slot()).collect();
    let mean_latency = mean_seconds_per_token(&eligible, now);
    let meets_deadline =
        |candidate: &&candidate::Candidate| meets_deadline(candidate, mean_latency, req, now);
    let preferred: Vec<_> = free.iter().copied().filter(reachable).filter(meets_deadline).collect();
    let in_time_servers: Vec<_> = free.iter().copied().filter(meets_deadline).collect();
    let probes = || eligible.iter().copied().filter(reachable).filter(|c| c.may_probe(now));
    let outcome = match () {
        () if eligible.is_empty() => wait(decision::WaitReason::NoServer, RETRY_AFTER_NO_SERVER),
        () if !preferred.is_empty() => choose_cheapest(&preferred, home, req, now, rng),
        () if !in_time_servers.is_empty() => {
            send_to(choose_random(&in_time_servers, rng), decision::Reason::Widened)
        }
        () if !free.is_empty() => wait(decision::WaitReason::AllSlow, RETRY_AFTER_FULL),
        () => match probes().min_by_key(|candidate| candidate.in_flight()) {
            Some(candidate) => send_to(candidate, decision::Reason::Probe),
            None => wait(decision::WaitReason::AllFull, RETRY_AFTER_FULL),
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
fn mean_seconds_per_token(eligible: &[&candidate::Candidate], now: time::Duration) -> Option<f64> {
    let known = eligible.iter().filter_map(|candidate| candidate.recent_seconds_per_token(now));
    let (sum, count) = known.fold((0.0, 0u32), |(sum, count), latency| (sum + latency, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Whether `candidate` is thought to answer before the deadline.
fn meets_deadline(
    candidate: &candidate::Candidate,
    mean_latency: Option<f64>,
    req: &Request<'_>,
    now: time::Duration,
) -> bool {
    let cold_estimate =
        mean_latency.filter(|_| !candidate.is_warm()).map(|mean| mean * COLD_LATENCY_FACTOR);
    let seconds_per_token =
        candidate.recent_seconds_per_token(now).into_iter().chain(cold_estimate).reduce(f64::max);
    seconds_per_token.is_none_or(|seconds| {
        seconds * DEADLINE_MARGIN * req.tokens as f64 <= req.left.as_secs_f64()
    })
}

/// The first server in the prefix's own order, the same at every entry.
fn home_server<'a>(
    eligible: &[&'a candidate::Candidate],
    prefix: &prefix::PrefixKeys,
) -> Option<&'a candidate::Candidate> {
    let key = prefix.shortest()?;
    eligible.iter().copied().max_by_key(|candidate| subset::rendezvous_weight(key, candidate.hash))
}

fn is_same(home: Option<&candidate::Candidate>, candidate: &candidate::Candidate) -> bool {
    home.is_some_and(|home| home.server == candidate.server)
}

fn choose_cheapest(
    preferred: &[&candidate::Candidate],
    home: Option<&candidate::Candidate>,
    req: &Request<'_>,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Outcome {
    let mean = preferred.iter().map(|candidate| candidate.projected_utilization()).sum::<f64>()
        / preferred.len() as f64;
    let bound = (mean * PREFIX_LOAD_BOUND).max(MIN_PREFIX_BOUND);
    let mut least = (f64::INFINITY, preferred[0], decision::Reason::LeastLoad);
    for candidate in preferred.iter().copied() {
        let attracts = candidate.projected_utilization() <= bound;
        let cached = if attracts { candidate.cache.cached_share(req.prefix, now) } else { 0.0 };
        let (bonus, reason) = match () {
            () if cached > 0.0 => (CACHED_PREFIX_BONUS * cached, decision::Reason::Prefix),
            () if attracts && is_same(home, candidate) => {
                (HOME_SERVER_BONUS, decision::Reason::Home)
            }
            () => (0.0, decision::Reason::LeastLoad),
        };
        let cost = base_cost(candidate, req) - bonus + rng.random_range(0.0..MAX_JITTER);
        if cost < least.0 {
            least = (cost, candidate, reason);
        }
    }
    send_to(least.1, least.2)
}

fn base_cost(candidate: &candidate::Candidate, req: &Request<'_>) -> f64 {
    let zone_penalty = if candidate.zone == *req.zone { 0.0 } else { OTHER_ZONE_PENALTY };
    let cold_penalty = if candidate.is_warm() { 0.0 } else { COLD_PENALTY };
    candidate.projected_utilization() + zone_penalty + cold_penalty
}

fn choose_random<'a>(
    free: &[&'a candidate::Candidate],
    rng: &mut impl rand::Rng,
) -> &'a candidate::Candidate {
    free[rng.random_range(0..free.len())]
}

fn send_to(candidate: &candidate::Candidate, reason: decision::Reason) -> decision::Outcome {
    decision::Outcome::Send { server: candidate.server.clone(), why: reason }
}

fn wait(reason: decision::WaitReason, retry_after: time::Duration) -> decision::Outcome {
    decision::Outcome::Wait { why: reason, retry_after }
}
