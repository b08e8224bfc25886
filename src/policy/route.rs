//! Chooses the backend server for a request.
//!
//! The cost of a server is its utilization (estimated requests in flight over
//! its limit) plus small penalties for another zone and for a cold server,
//! minus a bonus for a cached prefix. The bonus applies only to servers whose
//! utilization is at most `PREFIX_LOAD_BOUND` times the mean, so that a
//! popular prefix spreads over as many servers as it needs.

use std::time;

use rand::RngExt as _;

use crate::{
    config, name,
    policy::{candidate, candidates, decision, prefix, subset},
};

/// Retry delay when every server is full or too slow.
const RETRY_AFTER_FULL: time::Duration = time::Duration::from_millis(200);
/// Retry delay when no server may get new requests.
const RETRY_AFTER_NO_SERVER: time::Duration = time::Duration::from_secs(1);
/// Penalty of a server in another zone, in units of utilization.
const OTHER_ZONE_PENALTY: f64 = 0.02;
/// Penalty of a cold server, in units of utilization.
const COLD_PENALTY: f64 = 0.1;
/// Bonus of a server that caches the whole prefix, in units of utilization.
const CACHED_PREFIX_BONUS: f64 = 0.8;
/// Bonus of the prefix's home server, in units of utilization.
const HOME_SERVER_BONUS: f64 = 0.15;
/// Ratio of a server's utilization to the mean above which its prefixes give no bonus.
const PREFIX_LOAD_BOUND: f64 = 1.25;
/// Utilization up to which a server's prefixes always give a bonus.
const MIN_PREFIX_BOUND: f64 = 0.25;
/// Ratio of the assumed time per token of a cold server to the mean of the other servers.
const COLD_LATENCY_FACTOR: f64 = 3.0;
/// Factor by which the time to the deadline must exceed the expected service time.
const DEADLINE_MARGIN: f64 = 1.2;
/// Upper bound of the random cost that keeps entries from all choosing the same server.
const MAX_JITTER: f64 = 0.02;

/// Routing parameters of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Zone of the entry.
    pub zone: &'a name::Zone,
    /// Keys of the prompt's prefixes.
    pub prefix: &'a prefix::PrefixKeys,
    /// Cost of the request, in tokens.
    pub tokens: u64,
    /// Time left to the request's deadline.
    pub time_left: time::Duration,
    /// Priority of the request.
    pub priority: config::Priority,
    /// Servers that have already been tried and are excluded.
    pub tried: &'a [name::Server],
}

/// Chooses a server for `req`, or returns the reason why it has to wait.
///
/// Servers with a free slot that meet the deadline come first: those of this entry's subset and
/// the prefix's home server, then any other. If no server has a free slot, a full server whose
/// report is old is probed.
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
    let in_subset =
        |candidate: &&candidate::Candidate| candidate.in_subset || is_same(home, candidate);
    let free: Vec<_> =
        eligible.iter().copied().filter(|candidate| candidate.has_free_slot()).collect();
    let mean_latency = mean_seconds_per_token(&eligible, now);
    let meets_deadline =
        |candidate: &&candidate::Candidate| meets_deadline(candidate, mean_latency, req, now);
    let preferred: Vec<_> = free.iter().copied().filter(in_subset).filter(meets_deadline).collect();
    let in_time: Vec<_> = free.iter().copied().filter(meets_deadline).collect();
    let probes = || eligible.iter().copied().filter(in_subset).filter(|c| c.may_probe(now));
    let outcome = match () {
        () if eligible.is_empty() => wait(decision::WaitReason::NoServer, RETRY_AFTER_NO_SERVER),
        () if !preferred.is_empty() => choose_cheapest(&preferred, home, req, now, rng),
        () if !in_time.is_empty() => {
            send_to(choose_random(&in_time, rng), decision::Reason::Widened)
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

/// Returns the mean time per token of the servers with a recent measurement, in seconds.
fn mean_seconds_per_token(eligible: &[&candidate::Candidate], now: time::Duration) -> Option<f64> {
    let recent = eligible.iter().filter_map(|candidate| candidate.recent_seconds_per_token(now));
    let (sum, count) = recent.fold((0.0, 0u32), |(sum, count), latency| (sum + latency, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Whether `candidate` is expected to answer before the deadline.
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
        seconds * DEADLINE_MARGIN * req.tokens as f64 <= req.time_left.as_secs_f64()
    })
}

/// Returns the prefix's home server: the first by rendezvous hashing, the same at every entry.
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
    let mut cheapest = (f64::INFINITY, preferred[0], decision::Reason::LeastLoad);
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
        if cost < cheapest.0 {
            cheapest = (cost, candidate, reason);
        }
    }
    send_to(cheapest.1, cheapest.2)
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
