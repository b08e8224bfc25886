//! Retry budget: limits retries to a small share of first attempts, to prevent retry storms.

use std::time;

/// Retries that each first attempt adds to the budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Upper bound of the budget, in retries.
const MAX_RETRIES: f64 = 20.0;
/// Retries added to the budget per second, so that an entry with little traffic can retry too.
const FREE_RETRIES_PER_SECOND: f64 = 1.0;

/// Token bucket of the retries that an entry may still make for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries: f64,
    updated_at: time::Duration,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: time::Duration) -> Self {
        Self { retries: MAX_RETRIES, updated_at: now }
    }

    /// Records a first attempt, which adds `RETRIES_PER_FIRST_ATTEMPT` to the budget.
    pub fn record_first_attempt(&mut self, now: time::Duration) {
        self.replenish(now);
        self.retries = (self.retries + RETRIES_PER_FIRST_ATTEMPT).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
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
