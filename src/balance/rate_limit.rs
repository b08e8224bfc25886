//! A limit on the requests a second that a backend server takes from all gateways together, and the
//! part of it that one gateway may use.
//!
//! The first gateways in the server's order share the limit evenly. Where it is too low to be shared
//! by all, each of the others sends a single request now and then: only the answers show whether the
//! limit still holds.

use std::time;

/// Lowest limit that is kept, in requests a second. With a lower one, the gateways would not learn
/// of its end.
const MIN_LIMIT_PER_S: f64 = 0.05;
/// Gateways that share a limit of less than one request a second. There is one more for each further
/// request a second.
const MIN_SHARING_GATEWAYS: usize = 2;
/// Time between two requests of the gateways that do not share a limit, over all of them.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time within which such a gateway may send when it is its turn. A turn that is not used lapses, so
/// that these gateways cannot all send at once.
const PROBE_TURN: time::Duration = time::Duration::from_secs(1);

/// The limit that a server has named, as one gateway knows it. Times are on the process's monotonic
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_s: f64,
    named_at: time::Duration,
    last_sent_at: time::Duration,
}

impl RateLimit {
    /// Creates the limit that a server named at `now` for the first time, in requests a second. The
    /// request that it answered counts.
    pub fn new(per_s: f64, now: time::Duration) -> Self {
        Self { per_s, named_at: now, last_sent_at: now }
    }

    /// Sets the number of requests a second that the server named last.
    pub fn set_per_s(&mut self, per_s: f64) {
        self.per_s = per_s;
    }

    /// Returns the time at which the server first named a limit.
    pub fn named_at(&self) -> time::Duration {
        self.named_at
    }

    /// Records that a request was sent at `now`.
    pub fn record_sent(&mut self, now: time::Duration) {
        self.last_sent_at = now;
    }

    /// Returns the earliest time, not before `now`, at which the gateway at `position` of `gateways`
    /// may send the next request.
    pub fn next_send_at(
        &self,
        gateways: usize,
        position: usize,
        now: time::Duration,
    ) -> time::Duration {
        let per_s = self.per_s.max(MIN_LIMIT_PER_S);
        let sharing = (per_s as usize).saturating_add(MIN_SHARING_GATEWAYS).min(gateways.max(1));
        if position < sharing {
            let interval = time::Duration::from_secs_f64(sharing as f64 / per_s);
            return now.max(self.last_sent_at + interval);
        }
        // Each of these gateways has a turn of its own, counted from when it learned of the limit.
        let interval = PROBE_INTERVAL * (gateways - sharing) as u32;
        let first_turn_at = self.named_at + PROBE_INTERVAL * (position - sharing + 1) as u32;
        let earliest = now.max(self.last_sent_at + interval);
        let since_first = earliest.saturating_sub(first_turn_at + PROBE_TURN);
        let past_intervals = since_first.as_nanos().div_ceil(interval.as_nanos()) as u32;
        earliest.max(first_turn_at + interval * past_intervals)
    }
}
