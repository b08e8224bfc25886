//! This gateway's share of the retry budget that all gateways have in common.

use std::time;

use super::SlidingWindow;
use crate::settings::site::RetryLimits;

/// Fraction of the bound on retries that is granted. The rest is a margin, so that the bound also
/// holds in windows that begin at another moment.
const GRANTED_FRACTION: f64 = 0.8;
/// Fraction that is granted within the first window after the process start: the process that
/// ran before a restart may have spent its whole share in that window.
const STARTUP_GRANTED_FRACTION: f64 = 0.2;

/// Retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: RetryLimits,
    first_attempts: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Creates a budget without recorded attempts. The times passed to its methods are counted
    /// from the start of the process.
    pub fn new(bounds: RetryLimits) -> Self {
        Self {
            bounds,
            first_attempts: SlidingWindow::new(bounds.window),
            retries: SlidingWindow::new(bounds.window),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: time::Duration) {
        self.first_attempts.add(now);
    }

    /// Takes one retry from the budget; returns `false` if none is left. The retries that are
    /// allowed regardless of the number of requests are divided among `gateways`.
    pub fn take_retry(&mut self, now: time::Duration, gateways: usize) -> bool {
        let free = self.bounds.free_retries / gateways.max(1) as f64;
        let fraction =
            if now < self.bounds.window { STARTUP_GRANTED_FRACTION } else { GRANTED_FRACTION };
        let max_retries = fraction
            * (self.bounds.retries_per_first_attempt * self.first_attempts.count(now) as f64
                + free);
        let granted = self.retries.count(now) as f64 + 1.0 <= max_retries;
        if granted {
            self.retries.add(now);
        }
        granted
    }
}
