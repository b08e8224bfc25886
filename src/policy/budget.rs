//! A budget that keeps retries a small share of first attempts.

use std::time;

/// Retries that one first attempt pays for.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Retries that may be saved up.
const MAX_RETRIES: f64 = 20.0;
/// Retries a second that are free, so that a quiet entry can retry at all.
const FREE_RETRIES_PER_SECOND: f64 = 1.0;

/// Retries left.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries: f64,
    updated_at: time::Duration,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(now: time::Duration) -> Self {
        Self { retries: MAX_RETRIES, updated_at: now }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self, now: time::Duration) {
        self.replenish(now);
        self.retries = (self.retries + RETRIES_PER_FIRST_ATTEMPT).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; `false` if there is none left.
    pub fn take_retry(&mut self, now: time::Duration) -> bool {
        self.replenish(now);
        let granted = self.retries >= 1.0;
        if granted {
            self.retries -= 1.0;
        }
        granted
    }

    fn replenish(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.retries = (self.retries + elapsed * FREE_RETRIES_PER_SECOND).min(MAX_RETRIES);
    }
}
