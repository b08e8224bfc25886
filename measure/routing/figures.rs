//! Figures of one run.

use std::{collections::BTreeMap, fmt, time};

use super::{trace, world};

/// Head of a table of figures.
pub const HEADER: &str = "| load | policy | goodput/s | first p95 ms | first p99 ms | hits % | small ok % | Jain | refused | lost | cut | cold peak | falls | after out |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Workspaces that count as large: the two with most requests.
const LARGE: usize = 2;

/// What is reported of one run.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Whole answers within the deadline, a second of arrivals.
    pub goodput: f64,
    /// First token of interactive requests answered whole, in milliseconds.
    pub first_p95: u128,
    pub first_p99: u128,
    /// Prefix tokens found of those wanted, in percent.
    pub hits: f64,
    /// Requests of the small workspaces answered whole, in percent.
    pub small: f64,
    /// Jain's index over the workspaces' answered parts.
    pub jain: f64,
    /// Refused with "did not run".
    pub refused: usize,
    /// Neither answered nor refused until the deadline.
    pub lost: usize,
    /// Begun and not finished.
    pub cut: usize,
    /// Most requests at a cold server over what it could carry.
    pub peak: f64,
    /// Servers that fell over.
    pub falls: u32,
    /// Requests taken after an order was in force everywhere.
    pub after_out: u32,
}

impl Figures {
    /// Works out the figures of one run.
    pub fn of(trace: &trace::Trace, outcome: &world::Outcome) -> Self {
        let good = outcome.fates.iter().filter(|fate| fate.whole.is_some()).count();
        let mut first: Vec<_> = trace
            .requests
            .iter()
            .zip(&outcome.fates)
            .filter(|(req, fate)| {
                fate.whole.is_some() && req.priority == knapweedford::config::Priority::Interactive
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
            goodput: good as f64 / trace.span().as_secs_f64(),
            first_p95: percentile(95),
            first_p99: percentile(99),
            hits: outcome.found as f64 / outcome.wanted.max(1) as f64 * 100.0,
            small,
            jain,
            refused: outcome.fates.iter().filter(|fate| fate.refused.is_some()).count(),
            lost: unfinished().filter(|fate| !begun(fate)).count(),
            cut: unfinished().filter(begun).count(),
            peak: outcome.peak,
            falls: outcome.falls,
            after_out: outcome.after_out,
        }
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} | {} | {} | ", self.goodput, self.first_p95, self.first_p99)?;
        write!(f, "{:.0} | {:.0} | {:.2} | ", self.hits, self.small, self.jain)?;
        write!(f, "{} | {} | {} | ", self.refused, self.lost, self.cut)?;
        write!(f, "{:.2} | {} | {}", self.peak, self.falls, self.after_out)
    }
}

/// Requests a second until the last was answered.
pub fn drained(outcome: &world::Outcome) -> f64 {
    let ends = outcome.fates.iter().filter_map(|fate| fate.whole);
    let last = ends.max().unwrap_or(time::Duration::from_secs(1));
    outcome.fates.iter().filter(|fate| fate.whole.is_some()).count() as f64 / last.as_secs_f64()
}

fn fairness(trace: &trace::Trace, outcome: &world::Outcome) -> (f64, f64) {
    let mut parts = BTreeMap::<_, (u32, u32)>::new();
    for (req, fate) in trace.requests.iter().zip(&outcome.fates) {
        let part = parts.entry(&req.workspace).or_default();
        part.0 += u32::from(fate.whole.is_some());
        part.1 += 1;
    }
    let mut parts: Vec<_> = parts.into_values().collect();
    parts.sort_by_key(|(_, all)| std::cmp::Reverse(*all));
    let small = parts.iter().skip(LARGE);
    let (good, all) = small.fold((0, 0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
    let shares: Vec<_> =
        parts.iter().map(|(good, all)| f64::from(*good) / f64::from(*all)).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    let jain = sum * sum / (shares.len() as f64 * squares).max(f64::MIN_POSITIVE);
    (f64::from(good) / f64::from(all) * 100.0, jain)
}
