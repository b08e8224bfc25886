//! One request in flight, counted until it ends.

use std::time;

use super::{Ending, Entry};

/// A request in flight; dropped without an end, it counts as a caller gone away.
#[derive(Debug)]
pub struct InFlightRequest {
    metrics: Entry,
    service: String,
    since: time::Instant,
    first: bool,
    ending: Ending,
}

impl InFlightRequest {
    pub(super) fn new(metrics: Entry, service: &str, since: time::Instant) -> Self {
        metrics.in_flight.inc();
        Self { metrics, service: service.into(), since, first: true, ending: Ending::ClientGone }
    }

    /// Notes that a piece of the answer is on its way to the caller.
    pub fn record_piece(&mut self) {
        if std::mem::take(&mut self.first) {
            let waited = self.since.elapsed().as_secs_f64();
            self.metrics.first_piece.with_label_values(&[&self.service]).observe(waited);
        }
    }

    /// Counts that the answer is not a backend server's.
    pub fn count_refusal(&self, reason: &str) {
        self.metrics.count_refusal(reason);
    }

    /// Ends the request.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let took = self.since.elapsed().as_secs_f64();
        let ending = self.ending.label();
        self.metrics.in_flight.dec();
        self.metrics.requests.with_label_values(&[self.service.as_str(), ending]).inc();
        self.metrics.duration.with_label_values(&[&self.service]).observe(took);
    }
}
