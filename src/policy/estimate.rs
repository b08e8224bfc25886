//! How long a request will wait and run, from what this entry's requests took.

use std::time;

/// Weight of a new sample.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Part of a request's time that it may wait in the queue; a longer queue
/// would only make every answer later, not answer more.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Deviations excess the mean that a request's own time is reckoned at.
const DEVIATION_MARGIN: f64 = 1.0;
/// Least wait named to a caller that was refused.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);
/// Longest wait named to a caller that was refused.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

/// A deadline that cannot be met.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLate {
    /// When a request like it is expected to fit.
    pub retry_after: time::Duration,
}

/// Moving estimates of one service.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Seconds a request takes before its first token, and for each token of cost.
    seconds_per_token: Option<f64>,
    /// Mean deviation from it.
    mean_deviation: f64,
    /// Mean wait in seconds, and mean cost that was queued before, of requests sent.
    ///
    /// Taken from the waits themselves: a rate of completions would fall with
    /// every refusal and so bring on the next.
    mean_wait: f64,
    mean_cost_ahead: f64,
}

impl Estimator {
    /// Nothing known: everything is thought to fit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request of cost `tokens` was answered whole in `took`.
    pub fn record_completion(&mut self, tokens: u64, took: time::Duration) {
        let sample = took.as_secs_f64() / tokens.max(1) as f64;
        let old = self.seconds_per_token.unwrap_or(sample);
        self.mean_deviation += SMOOTHING_FACTOR * ((sample - old).abs() - self.mean_deviation);
        self.seconds_per_token = Some(old + SMOOTHING_FACTOR * (sample - old));
    }

    /// Notes that a request which had `cost_ahead` tokens queued before it was sent after `waited`.
    pub fn record_wait(&mut self, cost_ahead: u64, waited: time::Duration) {
        self.mean_wait += SMOOTHING_FACTOR * (waited.as_secs_f64() - self.mean_wait);
        self.mean_cost_ahead +=
            SMOOTHING_FACTOR * (cost_ahead.max(1) as f64 - self.mean_cost_ahead);
    }

    /// Time that a request of cost `tokens` takes once it was sent, with a margin.
    pub fn service_time(&self, tokens: u64) -> time::Duration {
        let seconds_per_token = self
            .seconds_per_token
            .map_or(0.0, |mean| mean + DEVIATION_MARGIN * self.mean_deviation);
        duration(seconds_per_token * tokens as f64)
    }

    /// Time that a request with `cost_ahead` tokens queued before it waits.
    pub fn expected_wait(&self, cost_ahead: u64) -> time::Duration {
        duration(self.mean_wait * cost_ahead as f64 / self.mean_cost_ahead.max(1.0))
    }

    /// Whether a request of cost `tokens` with `cost_ahead` tokens queued before it
    /// is answered within `left`, and waits for no more than its part of it.
    pub fn check_deadline(
        &self,
        tokens: u64,
        cost_ahead: u64,
        left: time::Duration,
    ) -> Result<(), TooLate> {
        let wait = self.expected_wait(cost_ahead);
        let overrun = (wait + self.service_time(tokens)).saturating_sub(left);
        let excess = wait.saturating_sub(left.mul_f64(MAX_WAIT_SHARE)).max(overrun);
        match excess {
            time::Duration::ZERO => Ok(()),
            excess => Err(TooLate { retry_after: clamp_retry_after(excess) }),
        }
    }

    /// When a request of cost `tokens` that came at `arrived_at` must have been sent at
    /// the latest; one that still waits then is refused, not held back.
    pub fn latest_start(
        &self,
        tokens: u64,
        arrived_at: time::Duration,
        deadline: time::Duration,
    ) -> time::Duration {
        let max_wait = deadline.saturating_sub(arrived_at).mul_f64(MAX_WAIT_SHARE);
        deadline.saturating_sub(self.service_time(tokens)).min(arrived_at + max_wait)
    }

    /// An honest Retry-After for a request refused with `cost_ahead` tokens queued.
    pub fn retry_after(&self, cost_ahead: u64) -> time::Duration {
        clamp_retry_after(self.expected_wait(cost_ahead))
    }
}

fn duration(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

fn clamp_retry_after(wait: time::Duration) -> time::Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
