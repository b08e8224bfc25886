//! How long a request will wait and run, from what this entry's requests took.

use std::time;

/// Weight of a new sample.
const ALPHA: f64 = 0.05;
/// Part of a request's time that it may wait in the queue; a longer queue
/// would only make every answer later, not answer more.
const WAIT_PART: f64 = 0.25;
/// Deviations over the mean that a request's own time is reckoned at.
const MARGIN: f64 = 1.0;
/// Least wait named to a caller that was refused.
const LEAST_RETRY: time::Duration = time::Duration::from_millis(100);
/// Longest wait named to a caller that was refused.
const LONGEST_RETRY: time::Duration = time::Duration::from_secs(60);

/// A deadline that cannot be met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Late {
    /// When a request like it is expected to fit.
    pub retry_after: time::Duration,
}

/// Moving estimates of one service.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// Seconds a request takes before its first token, and for each token of cost.
    per_token: Option<f64>,
    /// Mean deviation from it.
    deviation: f64,
    /// Mean wait in seconds, and mean cost that was queued before, of requests sent.
    ///
    /// Taken from the waits themselves: a rate of completions would fall with
    /// every refusal and so bring on the next.
    waited: f64,
    ahead: f64,
}

impl Estimate {
    /// Nothing known: everything is thought to fit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request of cost `tokens` was answered whole in `took`.
    pub fn done(&mut self, tokens: u64, took: time::Duration) {
        let sample = took.as_secs_f64() / tokens.max(1) as f64;
        let old = self.per_token.unwrap_or(sample);
        self.deviation += ALPHA * ((sample - old).abs() - self.deviation);
        self.per_token = Some(old + ALPHA * (sample - old));
    }

    /// Notes that a request which had `ahead` tokens queued before it was sent after `waited`.
    pub fn sent(&mut self, ahead: u64, waited: time::Duration) {
        self.waited += ALPHA * (waited.as_secs_f64() - self.waited);
        self.ahead += ALPHA * (ahead.max(1) as f64 - self.ahead);
    }

    /// Time that a request of cost `tokens` takes once it was sent, with a margin.
    pub fn service(&self, tokens: u64) -> time::Duration {
        let each = self.per_token.map_or(0.0, |mean| mean + MARGIN * self.deviation);
        seconds(each * tokens as f64)
    }

    /// Time that a request with `ahead` tokens queued before it waits.
    pub fn wait(&self, ahead: u64) -> time::Duration {
        seconds(self.waited * ahead as f64 / self.ahead.max(1.0))
    }

    /// Whether a request of cost `tokens` with `ahead` tokens queued before it
    /// is answered within `left`, and waits for no more than its part of it.
    pub fn fits(&self, tokens: u64, ahead: u64, left: time::Duration) -> Result<(), Late> {
        let wait = self.wait(ahead);
        let late = (wait + self.service(tokens)).saturating_sub(left);
        let over = wait.saturating_sub(left.mul_f64(WAIT_PART)).max(late);
        match over {
            time::Duration::ZERO => Ok(()),
            over => Err(Late { retry_after: clamp(over) }),
        }
    }

    /// When a request of cost `tokens` that came at `at` must have been sent at
    /// the latest; one that still waits then is refused, not held back.
    pub fn start_by(
        &self,
        tokens: u64,
        at: time::Duration,
        deadline: time::Duration,
    ) -> time::Duration {
        let patience = deadline.saturating_sub(at).mul_f64(WAIT_PART);
        deadline.saturating_sub(self.service(tokens)).min(at + patience)
    }

    /// An honest Retry-After for a request refused with `ahead` tokens queued.
    pub fn retry_after(&self, ahead: u64) -> time::Duration {
        clamp(self.wait(ahead))
    }
}

fn seconds(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

fn clamp(wait: time::Duration) -> time::Duration {
    wait.clamp(LEAST_RETRY, LONGEST_RETRY)
}
