//! Circuit breaker that refuses calls at once while the table is known to be unavailable.

use std::time;

/// Consecutive failures after which calls are refused.
const FAILURE_THRESHOLD: u32 = 3;

/// Time for which calls are refused after a failure before one is let through.
const OPEN_TIME: time::Duration = time::Duration::from_secs(1);

/// Counts the consecutive failures of one kind of call at one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    retry_at: time::Duration,
}

impl Breaker {
    /// Lets a call through; the error is the time after which to try again.
    pub fn allow(&mut self, now: time::Duration) -> Result<(), time::Duration> {
        match self.failures {
            failures if failures < FAILURE_THRESHOLD => Ok(()),
            _ if now >= self.retry_at => {
                self.retry_at = now + OPEN_TIME;
                Ok(())
            }
            _ => Err(self.retry_at - now),
        }
    }

    /// Records whether a call succeeded.
    pub fn record_outcome(&mut self, now: time::Duration, ok: bool) {
        self.failures = if ok { 0 } else { self.failures.saturating_add(1) };
        if !ok {
            self.retry_at = now + OPEN_TIME;
        }
    }
}
