//! Durations of a group's passes, as the owner sees them in the statuses of the ranks. All ranks run
//! the same passes and are polled at different moments, so that the newest pass of any of them shows
//! soon after it has started.

use std::{collections::VecDeque, time};

use crate::balance::capacity::PassEstimate;

/// Shortest time over which passes are counted: the error of the times at which two passes are seen
/// is small against it.
const MIN_WINDOW: time::Duration = time::Duration::from_millis(300);
/// Longest time for which a pass counts.
const MAX_WINDOW: time::Duration = time::Duration::from_millis(1_500);
/// Passes over which a duration is averaged at least.
const MIN_PASSES: u64 = 2;
/// Weight of a new duration in the average: passes that grow longer count at once, and shorter ones
/// only after some tenths of a second, so that capacity does not swing with the count of passes.
const RISE_WEIGHT: f64 = 0.6;
const FALL_WEIGHT: f64 = 0.2;
/// Requests of a rank below which they are too few to tell what each adds to a pass.
const MIN_REQUESTS: f64 = 0.5;

/// Start of a pass, as it was first seen.
#[derive(Clone, Copy, Debug)]
struct Start {
    seen_at: time::Duration,
    pass: u64,
    requests: f64,
}

/// Mean of some passes.
#[derive(Clone, Copy, Debug)]
struct Mean {
    pass_ms: f64,
    requests: f64,
}

/// The latest passes of a group. Times are on the process's monotonic clock.
#[derive(Debug, Default)]
pub struct PassTimes {
    starts: VecDeque<Start>,
    average: Option<Mean>,
}

impl PassTimes {
    /// Records that a rank has started `pass`, while each rank ran `requests` on average. An idle
    /// group makes no passes, so its time does not count.
    pub fn record(&mut self, now: time::Duration, pass: u64, requests: f64) {
        if requests <= 0.0 {
            *self = Self::default();
            return;
        }
        if self.starts.back().is_some_and(|last| pass <= last.pass) {
            return;
        }
        self.starts.push_back(Start { seen_at: now, pass, requests });
        while self.starts.front().is_some_and(|first| first.seen_at + MAX_WINDOW < now) {
            self.starts.pop_front();
        }
        let Some(newest) = self.newest() else { return };
        let average = self.average.unwrap_or(newest);
        let weight = if newest.pass_ms > average.pass_ms { RISE_WEIGHT } else { FALL_WEIGHT };
        self.average = Some(Mean {
            pass_ms: average.pass_ms + weight * (newest.pass_ms - average.pass_ms),
            requests: average.requests + weight * (newest.requests - average.requests),
        });
    }

    /// Returns the mean over the shortest window that holds enough passes.
    fn newest(&self) -> Option<Mean> {
        let last = self.starts.back()?;
        let is_long_enough = |first: &Start| {
            first.seen_at + MIN_WINDOW <= last.seen_at && first.pass + MIN_PASSES <= last.pass
        };
        let first = self.starts.iter().rposition(is_long_enough)?;
        let window = self.starts.range(first..);
        let requests = window.clone().map(|start| start.requests).sum::<f64>();
        let first = &self.starts[first];
        let passed = last.seen_at - first.seen_at;
        Some(Mean {
            pass_ms: passed.as_secs_f64() * 1000.0 / (last.pass - first.pass) as f64,
            requests: requests / window.len() as f64,
        })
    }

    /// Returns the estimate; `None` if no pass was seen lately. `empty_pass` is the duration of a
    /// pass without requests at a healthy rank, and `slowness` that of the slowest rank over it.
    pub fn estimate(
        &self,
        now: time::Duration,
        empty_pass: time::Duration,
        slowness: f64,
    ) -> Option<PassEstimate> {
        let last = self.starts.back().filter(|last| now <= last.seen_at + MAX_WINDOW)?;
        let Mean { pass_ms, requests } = self.average?;
        // The slowness is reported, the duration is measured.
        let fixed_ms = (empty_pass.as_secs_f64() * 1000.0 * slowness).min(pass_ms);
        let per_request_ms = (pass_ms - fixed_ms) / requests.max(MIN_REQUESTS);
        let estimate = PassEstimate { fixed_ms, per_request_ms, requests };
        (last.requests > 0.0 && estimate.is_valid()).then_some(estimate)
    }
}
