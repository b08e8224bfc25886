//! Figures computed from one run of the simulation.

use std::{collections::BTreeMap, fmt, time};

use knapweedford::config;

use super::{simulation, trace};

/// Header of the table of figures.
pub const HEADER: &str = "| load | policy | goodput/s | first token p95 ms | first token p99 ms | prefix hits % | small workspaces ok % | Jain | refused | unanswered | failed | late | cold peak | crashes | after cooling | while out |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Number of workspaces, those with the most requests, that count as large.
const LARGE_WORKSPACES: usize = 2;

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Requests per second completed within their deadline and before the last arrival.
    pub goodput: f64,
    /// Time to the first token of completed interactive requests, in milliseconds.
    pub first_token_p95: u128,
    pub first_token_p99: u128,
    /// Share of prefix tokens that a cache held, in percent.
    pub prefix_hits: f64,
    /// Share of the small workspaces' interactive requests that completed, in percent.
    pub small_completed: f64,
    /// Jain's index over the workspaces' tokens relative to their max-min fair shares.
    pub jain: f64,
    /// Requests refused with the promise that no server ran them.
    pub refused: usize,
    /// Requests that were neither begun nor refused by their deadline.
    pub unanswered: usize,
    /// Requests that a server began and broke off and that no other server completed.
    pub failed: usize,
    /// Requests that were begun and not completed by their deadline.
    pub late: usize,
    /// Largest ratio of requests in flight to capacity at a cold server.
    pub cold_peak: f64,
    /// Crashes of servers caused by overload.
    pub overload_crashes: u32,
    /// Requests admitted by a server that had just turned cold without a new incarnation.
    pub admitted_after_cooling: u32,
    /// Requests admitted by a server that was out everywhere.
    pub admitted_while_out: u32,
}

impl Figures {
    /// Computes the figures of one run.
    pub fn new(trace: &trace::Trace, outcome: &simulation::Outcome) -> Self {
        let span = trace.span();
        let in_time =
            |result: &&simulation::RequestResult| result.completed_at.is_some_and(|at| at <= span);
        let good = outcome.requests.iter().filter(in_time).count();
        let mut first_token_times: Vec<_> = trace
            .requests
            .iter()
            .zip(&outcome.requests)
            .filter(|(req, result)| {
                result.completed_at.is_some() && req.priority == config::Priority::Interactive
            })
            .filter_map(|(req, result)| Some((result.first_token_at? - req.arrived_at).as_millis()))
            .collect();
        first_token_times.sort_unstable();
        let percentile = |percent: usize| {
            first_token_times.get(first_token_times.len() * percent / 100).copied().unwrap_or(0)
        };
        let (small_completed, jain) = fairness(trace, outcome);
        let begun = |result: &&simulation::RequestResult| result.first_token_at.is_some();
        let unfinished = || {
            let results = outcome.requests.iter();
            results.filter(|result| result.completed_at.is_none() && result.refused_at.is_none())
        };
        Self {
            goodput: good as f64 / span.as_secs_f64(),
            first_token_p95: percentile(95),
            first_token_p99: percentile(99),
            prefix_hits: outcome.cached_prefix_tokens as f64 / outcome.prefix_tokens.max(1) as f64
                * 100.0,
            small_completed,
            jain,
            refused: outcome.requests.iter().filter(|result| result.refused_at.is_some()).count(),
            unanswered: unfinished().filter(|result| !begun(result)).count(),
            failed: unfinished().filter(begun).filter(|result| result.failed).count(),
            late: unfinished().filter(begun).filter(|result| !result.failed).count(),
            cold_peak: outcome.cold_peak,
            overload_crashes: outcome.overload_crashes,
            admitted_after_cooling: outcome.admitted_after_cooling,
            admitted_while_out: outcome.admitted_while_out,
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} | {} | {} | ", self.goodput, self.first_token_p95, self.first_token_p99)?;
        write!(f, "{:.0} | {:.0} | {:.2} | ", self.prefix_hits, self.small_completed, self.jain)?;
        write!(f, "{} | {} | ", self.refused, self.unanswered)?;
        write!(f, "{} | {} | ", self.failed, self.late)?;
        write!(f, "{:.2} | {} | ", self.cold_peak, self.overload_crashes)?;
        write!(f, "{} | {}", self.admitted_after_cooling, self.admitted_while_out)
    }
}

/// Returns the completed requests per second up to the last completion.
pub fn throughput(outcome: &simulation::Outcome) -> f64 {
    let completions = outcome.requests.iter().filter_map(|result| result.completed_at);
    let last = completions.max().unwrap_or(time::Duration::from_secs(1));
    outcome.requests.iter().filter(|result| result.completed_at.is_some()).count() as f64
        / last.as_secs_f64()
}

/// Returns the share of the small workspaces' interactive requests that completed, in percent,
/// and Jain's index over each workspace's completed tokens relative to its max-min fair share.
fn fairness(trace: &trace::Trace, outcome: &simulation::Outcome) -> (f64, f64) {
    let mut usages = BTreeMap::<_, Usage>::new();
    let all = trace.requests.iter().zip(&outcome.requests);
    for (req, result) in all.filter(|(req, _)| req.priority == config::Priority::Interactive) {
        let usage = usages.entry(&req.workspace).or_default();
        usage.requests += 1;
        usage.requested_tokens += f64::from(req.answer_tokens);
        if result.completed_at.is_some() {
            usage.completed += 1;
            usage.completed_tokens += f64::from(req.answer_tokens);
        }
    }
    let mut usages: Vec<_> = usages.into_values().collect();
    usages.sort_by_key(|usage| std::cmp::Reverse(usage.requests));
    let small = &usages[LARGE_WORKSPACES.min(usages.len())..];
    let (completed, requests) =
        small.iter().fold((0, 0), |sum, usage| (sum.0 + usage.completed, sum.1 + usage.requests));
    let level = max_min_level(&usages);
    let shares: Vec<_> = usages
        .iter()
        .map(|usage| usage.completed_tokens / usage.requested_tokens.min(level))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let jain = sum * sum / (shares.len() as f64 * squares).max(f64::MIN_POSITIVE);
    (f64::from(completed) / f64::from(requests) * 100.0, jain)
}

/// Interactive requests of one workspace and the tokens of their answers.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: u32,
    completed: u32,
    requested_tokens: f64,
    completed_tokens: f64,
}

/// Returns the largest token share of a workspace when all completed tokens are divided
/// max-min fairly.
fn max_min_level(usages: &[Usage]) -> f64 {
    let mut demands: Vec<_> = usages.iter().map(|usage| usage.requested_tokens).collect();
    demands.sort_by(f64::total_cmp);
    let mut left: f64 = usages.iter().map(|usage| usage.completed_tokens).sum();
    for (index, demand) in demands.iter().enumerate() {
        let equal_share = left / (demands.len() - index) as f64;
        if *demand >= equal_share {
            return equal_share;
        }
        left -= demand;
    }
    f64::INFINITY
}
