//! What the owners of engine groups report of their groups' passes, and the limits on requests that
//! follow from it.

use std::{collections::BTreeMap, time};

use super::capacity::{self, Basis, Demand, Limit, PassEstimate};
use crate::site::catalog::Engine;

/// Age from which a report is ignored.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Time between two log lines about the limit of one group.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Passes of their measured duration for which all streams of a group may be silent.
const SILENT_PASSES: f64 = 2.5;
/// Longest silence that long passes explain; callers leave after two seconds without an event.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// State of one group.
#[derive(Debug)]
struct Group {
    passes: PassEstimate,
    received_at: time::Duration,
    /// Basis of the limit in the last log line, and the time of that line.
    logged: (Basis, time::Duration),
}

/// Latest report of each group, by name. Times are on the process's monotonic clock.
#[derive(Debug, Default)]
pub struct GroupReports {
    groups: BTreeMap<String, Group>,
}

impl GroupReports {
    /// Records a report received at `now`; without `passes` the group makes none.
    pub fn record(&mut self, group: &str, passes: Option<PassEstimate>, now: time::Duration) {
        match (self.groups.get_mut(group), passes) {
            (Some(known), Some(passes)) => (known.passes, known.received_at) = (passes, now),
            (None, Some(passes)) => {
                let logged = (Basis::Configured, now.saturating_sub(LOG_INTERVAL));
                let state = Group { passes, received_at: now, logged };
                self.groups.insert(group.to_owned(), state);
            }
            // The last report of an idle group counts until it is outdated.
            (_, None) => {}
        }
    }

    /// Returns the latest passes of `group`; `None` without a recent report.
    pub fn passes(&self, group: &str, now: time::Duration) -> Option<&PassEstimate> {
        let known = self.groups.get(group)?;
        (known.received_at + MAX_REPORT_AGE >= now).then_some(&known.passes)
    }

    /// Returns how many requests a rank of `group` may run.
    pub fn limit(
        &mut self,
        group: &str,
        engine: &Engine,
        demand: &Demand,
        now: time::Duration,
    ) -> Limit {
        let passes = self.passes(group, now).copied();
        let limit = capacity::limit(engine, demand, passes.as_ref());
        if let Some(known) = self.groups.get_mut(group)
            && known.logged.0 != limit.basis
            && known.logged.1 + LOG_INTERVAL <= now
        {
            known.logged = (limit.basis, now);
            log::info!(
                group,
                requests_per_rank = limit.requests,
                basis:? = limit.basis,
                pass_ms:? = passes.map(|passes| passes.pass_ms(passes.requests).round()),
                fixed_ms:? = passes.map(|passes| passes.fixed_ms.round()),
                running:? = passes.map(|passes| passes.requests.round()),
                age_ms = now.saturating_sub(known.received_at).as_millis() as u64;
                "limit of a group changed"
            );
        }
        limit
    }

    /// Returns how long all streams of `group` may be silent before it counts as stalled: `base`, or
    /// longer if its passes are known to take long.
    pub fn max_silence(
        &self,
        group: &str,
        base: time::Duration,
        now: time::Duration,
    ) -> time::Duration {
        let passes = self.passes(group, now);
        let pass_ms = passes.map_or(0.0, |passes| passes.pass_ms(passes.requests));
        let explained = time::Duration::from_secs_f64(pass_ms * SILENT_PASSES / 1000.0);
        base.max(explained.min(MAX_SILENCE))
    }
}
