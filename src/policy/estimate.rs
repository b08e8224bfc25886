//! How long a request will wait and run, from what this entry's requests took.

use std::time;

/// Weight of a new sample.
const ALPHA: f64 = 0.05;
/// Length of the window in which completions are counted, in seconds.
const WINDOW: f64 = 2.0;
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
    /// Cost in tokens served each second, decayed over [`WINDOW`].
    rate: f64,
    at: time::Duration,
}

impl Estimate {
    /// Nothing known: everything is thought to fit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request of cost `tokens` was answered whole in `took`.
    pub fn done(&mut self, tokens: u64, took: time::Duration, now: time::Duration) {
        let tokens = tokens.max(1) as f64;
        let sample = took.as_secs_f64() / tokens;
        self.per_token = Some(self.per_token.map_or(sample, |old| old + ALPHA * (sample - old)));
        self.rate = self.rate(now) + tokens / WINDOW;
        self.at = now;
    }

    /// Tokens of cost served each second.
    pub fn rate(&self, now: time::Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-passed / WINDOW).exp()
    }

    /// Time that a request of cost `tokens` takes once it was sent.
    pub fn service(&self, tokens: u64) -> time::Duration {
        seconds(self.per_token.unwrap_or(0.0) * tokens as f64)
    }

    /// Time in which `ahead` tokens of queued cost are sent.
    pub fn wait(&self, ahead: u64, now: time::Duration) -> time::Duration {
        match self.rate(now) {
            _ if ahead == 0 || self.per_token.is_none() => time::Duration::ZERO,
            rate => seconds(ahead as f64 / rate.max(1e-3)),
        }
    }

    /// Whether a request of cost `tokens` with `ahead` tokens queued before it
    /// is answered within `left`.
    pub fn fits(
        &self,
        tokens: u64,
        ahead: u64,
        left: time::Duration,
        now: time::Duration,
    ) -> Result<(), Late> {
        let needed = self.wait(ahead, now) + self.service(tokens);
        match needed.checked_sub(left) {
            Some(over) if over > time::Duration::ZERO => Err(Late { retry_after: clamp(over) }),
            _ => Ok(()),
        }
    }

    /// An honest Retry-After for a request refused with `ahead` tokens queued.
    pub fn retry_after(&self, ahead: u64, now: time::Duration) -> time::Duration {
        clamp(self.wait(ahead, now))
    }
}

fn seconds(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

fn clamp(wait: time::Duration) -> time::Duration {
    wait.clamp(LEAST_RETRY, LONGEST_RETRY)
}
