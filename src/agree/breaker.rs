//! Refuses at once while the table is known to be away.

use std::time;

/// Failures in a row after which calls are refused.
const MAX_FAILURES: u32 = 3;

/// Time for which they are refused before one is let through.
const REFUSAL_TIME: time::Duration = time::Duration::from_secs(1);

/// Counts failures of one kind of call at one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    retry_at: time::Duration,
}

impl Breaker {
    /// Lets a call through, or says after what time to come back.
    pub fn allow(&mut self, now: time::Duration) -> Result<(), time::Duration> {
        match self.failures {
            n if n < MAX_FAILURES => Ok(()),
            _ if now >= self.retry_at => {
                self.retry_at = now + REFUSAL_TIME;
                Ok(())
            }
            _ => Err(self.retry_at - now),
        }
    }

    /// Notes how a call ended.
    pub fn record_outcome(&mut self, now: time::Duration, ok: bool) {
        self.failures = if ok { 0 } else { self.failures.saturating_add(1) };
        if !ok {
            self.retry_at = now + REFUSAL_TIME;
        }
    }
}
