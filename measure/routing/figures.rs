//! Figures of one run.

use std::{collections::BTreeMap, fmt, time};

use knapweedford::config;

use super::{trace, world};

/// Head of a table of figures.
pub const HEADER: &str = "| load | policy | goodput/s | first p95 ms | first p99 ms | hits % | small ok % | Jain | refused | lost | cut | late | cold peak | falls | after cool | after out |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Workspaces that count as large: the two with most requests.
const LARGE: usize = 2;

/// What is reported of one run.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Answers whole within their deadline and before the last arrival, a second.
    pub goodput: f64,
    /// First token of interactive requests answered whole, in milliseconds.
    pub first_p95: u128,
    pub first_p99: u128,
    /// Prefix tokens found of those wanted, in percent.
    pub hits: f64,
    /// Interactive requests of the small workspaces answered whole, in percent.
    pub small: f64,
    /// Jain's index over the workspaces' tokens relative to their max-min fair shares.
    pub jain: f64,
    /// Refused with "did not run".
    pub refused: usize,
    /// Neither answered nor refused until the deadline.
    pub lost: usize,
    /// Begun, broken off by a server and not finished elsewhere.
    pub cut: usize,
    /// Begun and not finished by the deadline.
    pub late: usize,
    /// Most requests at a cold server over what it could carry.
    pub peak: f64,
    /// Servers that fell over.
    pub falls: u32,
    /// Requests taken by a server that had just cooled unnoticed.
    pub after_cool: u32,
    /// Requests taken after an order was in force everywhere.
    pub after_out: u32,
}

impl Figures {
    /// Works out the figures of one run.
    pub fn of(trace: &trace::Trace, outcome: &world::Outcome) -> Self {
        let span = trace.span();
        let whole = |fate: &&world::Fate| fate.whole.is_some_and(|at| at <= span);
        let good = outcome.fates.iter().filter(whole).count();
        let mut first: Vec<_> = trace
            .requests
            .iter()
            .zip(&outcome.fates)
            .filter(|(req, fate)| {
                fate.whole.is_some() && req.priority == config::Priority::Interactive
            })
            .filter_map(|(req, fate)| Some((fate.first? - req.at).as_millis()))
            .collect();
        first.sort_unstable();
        let percentile = |part: usize| first.get(first.len() * part / 100).copied().unwrap_or(0);
        let (small, jain) = fairness(trace, outcome);
        let begun = |fate: &&world::Fate| fate.first.is_some();
        let unfinished = || {
            let fates = outcome.fates.iter();
            fates.filter(|fate| fate.whole.is_none() && fate.refused.is_none())
        };
        Self {
            goodput: good as f64 / span.as_secs_f64(),
            first_p95: percentile(95),
            first_p99: percentile(99),
            hits: outcome.found as f64 / outcome.wanted.max(1) as f64 * 100.0,
            small,
            jain,
            refused: outcome.fates.iter().filter(|fate| fate.refused.is_some()).count(),
            lost: unfinished().filter(|fate| !begun(fate)).count(),
            cut: unfinished().filter(begun).filter(|fate| fate.failed).count(),
            late: unfinished().filter(begun).filter(|fate| !fate.failed).count(),
            peak: outcome.peak,
            falls: outcome.falls,
            after_cool: outcome.after_cool,
            after_out: outcome.after_out,
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} | {} | {} | ", self.goodput, self.first_p95, self.first_p99)?;
        write!(f, "{:.0} | {:.0} | {:.2} | ", self.hits, self.small, self.jain)?;
        write!(f, "{} | {} | ", self.refused, self.lost)?;
        write!(f, "{} | {} | ", self.cut, self.late)?;
        write!(f, "{:.2} | {} | ", self.peak, self.falls)?;
        write!(f, "{} | {}", self.after_cool, self.after_out)
    }
}

/// Requests a second until the last was answered.
pub fn drained(outcome: &world::Outcome) -> f64 {
    let ends = outcome.fates.iter().filter_map(|fate| fate.whole);
    let last = ends.max().unwrap_or(time::Duration::from_secs(1));
    outcome.fates.iter().filter(|fate| fate.whole.is_some()).count() as f64 / last.as_secs_f64()
}

/// Part of the small workspaces' interactive requests answered, in percent, and
/// Jain's index over each workspace's answered tokens relative to its max-min fair share.
fn fairness(trace: &trace::Trace, outcome: &world::Outcome) -> (f64, f64) {
    let mut parts = BTreeMap::<_, Part>::new();
    let all = trace.requests.iter().zip(&outcome.fates);
    for (req, fate) in all.filter(|(req, _)| req.priority == config::Priority::Interactive) {
        let part = parts.entry(&req.workspace).or_default();
        part.sent += 1;
        part.asked += f64::from(req.answer);
        if fate.whole.is_some() {
            part.whole += 1;
            part.got += f64::from(req.answer);
        }
    }
    let mut parts: Vec<_> = parts.into_values().collect();
    parts.sort_by_key(|part| std::cmp::Reverse(part.sent));
    let small = &parts[LARGE.min(parts.len())..];
    let (whole, sent) =
        small.iter().fold((0, 0), |sum, part| (sum.0 + part.whole, sum.1 + part.sent));
    let level = water(&parts);
    let shares: Vec<_> = parts.iter().map(|part| part.got / part.asked.min(level)).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let jain = sum * sum / (shares.len() as f64 * squares).max(f64::MIN_POSITIVE);
    (f64::from(whole) / f64::from(sent) * 100.0, jain)
}

/// What one workspace asked for and got.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    sent: u32,
    whole: u32,
    asked: f64,
    got: f64,
}

/// The level at which what was served fills the workspaces max-min fairly.
fn water(parts: &[Part]) -> f64 {
    let mut asked: Vec<_> = parts.iter().map(|part| part.asked).collect();
    asked.sort_by(f64::total_cmp);
    let mut left: f64 = parts.iter().map(|part| part.got).sum();
    for (at, asked_here) in asked.iter().enumerate() {
        let each = left / (asked.len() - at) as f64;
        if *asked_here >= each {
            return each;
        }
        left -= asked_here;
    }
    f64::INFINITY
}
