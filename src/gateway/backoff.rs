//! Delays between calls to the store while it is unavailable.

use std::time;

use super::state::Gateway;

/// Delay after the first failed call; doubled with each further failure up to
/// [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest delay after a failed call; the return of the store must be noticed within a second.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Backoff of one kind of call to the store; logs when the calls begin to fail and when they
/// succeed again.
pub struct Backoff {
    /// Data that the calls read, for logs.
    data: &'static str,
    failing_since: Option<time::Duration>,
    /// Start of the present call, if the previous one failed.
    retried_at: Option<time::Duration>,
    delay: time::Duration,
}

impl Backoff {
    /// Creates the backoff of calls that read or write `data`.
    pub fn new(data: &'static str) -> Self {
        Self { data, failing_since: None, retried_at: None, delay: FIRST_RETRY_DELAY }
    }

    /// Records that a call succeeded.
    pub fn reset(&mut self, gateway: &Gateway) {
        if let Some(since) = self.failing_since.take() {
            let unavailable_ms = gateway.now().saturating_sub(since).as_millis() as u64;
            log::info!(what = self.data, unavailable_ms; "store available again");
            gateway.store_recovered.notify_one();
        }
        self.retried_at = None;
        self.delay = FIRST_RETRY_DELAY;
    }

    /// Records that a call failed because of `err`, and waits until the next one may be made. The
    /// delay counts from the start of the failed call if that was a retry: the time until a call
    /// fails and the delay must not add up, or the return of the store is noticed late.
    pub async fn wait(&mut self, gateway: &Gateway, err: &crate::Error) {
        if self.failing_since.is_none() {
            self.failing_since = Some(gateway.now());
            log::warn!(what = self.data; "store unavailable: {err}");
        }
        let delay = self.delay.mul_f64(gateway.random_between(0.5, 1.0));
        let took = self.retried_at.map(|at| gateway.now().saturating_sub(at)).unwrap_or_default();
        tokio::time::sleep(delay.saturating_sub(took)).await;
        self.retried_at = Some(gateway.now());
        self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Records the result of a call, and returns its value. After a failed call, this waits until
    /// the next one may be made and returns `None`.
    pub async fn record<T>(&mut self, gateway: &Gateway, result: crate::Result<T>) -> Option<T> {
        match result {
            Ok(value) => {
                self.reset(gateway);
                Some(value)
            }
            Err(err) => {
                self.wait(gateway, &err).await;
                None
            }
        }
    }
}
