//! A request in flight, counted by the metrics until it ends.

use std::time;

use super::{Ending, Entry};

/// A request in flight. If it is dropped without a call of [`Self::end`], it is counted as one
/// whose caller disconnected.
#[derive(Debug)]
pub struct InFlightRequest {
    metrics: Entry,
    service: String,
    arrived_at: time::Instant,
    awaits_first_piece: bool,
    ending: Ending,
}

impl InFlightRequest {
    pub(super) fn new(metrics: Entry, service: &str, arrived_at: time::Instant) -> Self {
        metrics.in_flight.inc();
        Self {
            metrics,
            service: service.into(),
            arrived_at,
            awaits_first_piece: true,
            ending: Ending::ClientGone,
        }
    }

    /// Records that a piece of the answer is sent to the caller; only the first one is measured.
    pub fn record_piece(&mut self) {
        if std::mem::take(&mut self.awaits_first_piece) {
            let waited = self.arrived_at.elapsed().as_secs_f64();
            self.metrics.first_piece.with_label_values(&[&self.service]).observe(waited);
        }
    }

    /// Counts that this process gave the answer itself instead of a backend server.
    pub fn count_refusal(&self, reason: &str) {
        self.metrics.count_refusal(reason);
    }

    /// Ends the request and counts it under `ending`.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let took = self.arrived_at.elapsed().as_secs_f64();
        let ending = self.ending.label();
        self.metrics.in_flight.dec();
        self.metrics.requests.with_label_values(&[self.service.as_str(), ending]).inc();
        self.metrics.duration.with_label_values(&[&self.service]).observe(took);
    }
}
