//! A budget that keeps retries a small share of first attempts.

use std::time;

/// Retries that one first attempt pays for.
const SHARE: f64 = 0.1;
/// Retries that may be saved up.
const MOST: f64 = 20.0;
/// Retries a second that are free, so that a quiet entry can retry at all.
const FREE_PER_SECOND: f64 = 1.0;

/// Retries left.
#[derive(Clone, Debug)]
pub struct Budget {
    left: f64,
    at: time::Duration,
}

impl Budget {
    /// A full budget.
    pub fn new(now: time::Duration) -> Self {
        Self { left: MOST, at: now }
    }

    /// Notes a first attempt.
    pub fn first(&mut self, now: time::Duration) {
        self.earn(now);
        self.left = (self.left + SHARE).min(MOST);
    }

    /// Takes one retry from the budget; `false` if there is none left.
    pub fn retry(&mut self, now: time::Duration) -> bool {
        self.earn(now);
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }

    fn earn(&mut self, now: time::Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + passed * FREE_PER_SECOND).min(MOST);
    }
}
