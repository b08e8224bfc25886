//! Estimates of a request's queueing and service time, from this entry's past requests.

use std::time;

/// Weight of a new sample in a moving average.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Share of a request's time to its deadline that it may wait in the queue. A
/// longer queue would only delay every answer, not increase throughput.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Number of mean deviations added to the mean to estimate a request's service time.
const DEVIATION_MARGIN: f64 = 1.0;
/// Shortest Retry-After of a refused request.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);
/// Longest Retry-After of a refused request.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

/// Error: the request cannot meet its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLate {
    /// Delay after which a similar request is expected to meet its deadline.
    pub retry_after: time::Duration,
}

/// Moving averages of one service's queueing and service times.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Mean service time per token of cost, in seconds.
    seconds_per_token: Option<f64>,
    /// Mean absolute deviation of the service time per token, in seconds.
    mean_deviation: f64,
    /// Mean wait of dispatched requests in seconds, and the mean cost that was queued ahead of
    /// them in tokens.
    ///
    /// The wait is estimated from past waits rather than from the completion
    /// rate: that rate falls with every refusal, which would cause further refusals.
    mean_wait: f64,
    mean_cost_ahead: f64,
}

impl Estimator {
    /// Creates an estimator without samples, which expects every request to meet its deadline.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of cost `tokens` was completed in `elapsed`.
    pub fn record_completion(&mut self, tokens: u64, elapsed: time::Duration) {
        let sample = elapsed.as_secs_f64() / tokens.max(1) as f64;
        let old = self.seconds_per_token.unwrap_or(sample);
        self.mean_deviation += SMOOTHING_FACTOR * ((sample - old).abs() - self.mean_deviation);
        self.seconds_per_token = Some(old + SMOOTHING_FACTOR * (sample - old));
    }

    /// Records that a request with `cost_ahead` tokens queued ahead of it was dispatched after
    /// `waited`.
    pub fn record_wait(&mut self, cost_ahead: u64, waited: time::Duration) {
        self.mean_wait += SMOOTHING_FACTOR * (waited.as_secs_f64() - self.mean_wait);
        self.mean_cost_ahead +=
            SMOOTHING_FACTOR * (cost_ahead.max(1) as f64 - self.mean_cost_ahead);
    }

    /// Returns the expected service time of a request of cost `tokens` after dispatch, with a
    /// margin.
    pub fn service_time(&self, tokens: u64) -> time::Duration {
        let seconds_per_token = self
            .seconds_per_token
            .map_or(0.0, |mean| mean + DEVIATION_MARGIN * self.mean_deviation);
        duration(seconds_per_token * tokens as f64)
    }

    /// Returns the expected wait of a request with `cost_ahead` tokens queued ahead of it.
    pub fn expected_wait(&self, cost_ahead: u64) -> time::Duration {
        duration(self.mean_wait * cost_ahead as f64 / self.mean_cost_ahead.max(1.0))
    }

    /// Checks that a request of cost `tokens` with `cost_ahead` tokens queued ahead of it is
    /// expected to complete within `time_left` and to wait for at most `MAX_WAIT_SHARE` of it.
    ///
    /// # Errors
    ///
    /// Returns [`TooLate`] if the request is expected to miss either bound.
    pub fn check_deadline(
        &self,
        tokens: u64,
        cost_ahead: u64,
        time_left: time::Duration,
    ) -> Result<(), TooLate> {
        let wait = self.expected_wait(cost_ahead);
        let overrun = (wait + self.service_time(tokens)).saturating_sub(time_left);
        let excess = wait.saturating_sub(time_left.mul_f64(MAX_WAIT_SHARE)).max(overrun);
        match excess {
            time::Duration::ZERO => Ok(()),
            excess => Err(TooLate { retry_after: clamp_retry_after(excess) }),
        }
    }

    /// Returns the latest time at which a request of cost `tokens` that arrived at
    /// `arrived_at` may be dispatched; a request that still waits then is refused.
    pub fn latest_start(
        &self,
        tokens: u64,
        arrived_at: time::Duration,
        deadline: time::Duration,
    ) -> time::Duration {
        let max_wait = deadline.saturating_sub(arrived_at).mul_f64(MAX_WAIT_SHARE);
        deadline.saturating_sub(self.service_time(tokens)).min(arrived_at + max_wait)
    }

    /// Returns the Retry-After of a request refused with `cost_ahead` tokens queued: the time
    /// in which the queue is expected to drain.
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
