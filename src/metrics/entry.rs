//! Metrics of an entry.

use std::time;

use prometheus::{GaugeVec, HistogramVec, IntCounterVec, IntGauge};

use super::{InFlightRequest, Page};
use crate::rank::message;

/// The metrics of an entry. Clones share the values.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The page on which the metrics are published.
    pub page: Page,
    pub(super) in_flight: IntGauge,
    pub(super) requests: IntCounterVec,
    pub(super) first_piece: HistogramVec,
    pub(super) duration: HistogramVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    queued: IntGauge,
    placements: IntCounterVec,
    pass_seconds: GaugeVec,
    slow_engines: GaugeVec,
}

impl Entry {
    /// Creates the metrics with all values at zero.
    pub fn new() -> Self {
        let page = Page::new();
        Self {
            in_flight: page.gauge("requests_in_flight", "Requests of callers in flight here."),
            requests: page.counter(
                "requests_total",
                "Requests of callers, by how they ended.",
                &["service", "ending"],
            ),
            first_piece: page.latency_by(
                "first_piece_seconds",
                "Time from a request's arrival to the first piece of its answer.",
                &["service"],
            ),
            duration: page.latency_by(
                "request_seconds",
                "Time from a request's arrival to its end.",
                &["service"],
            ),
            refusals: page.counter(
                "refusals_total",
                "Answers that are not a backend server's, by reason.",
                &["reason"],
            ),
            attempts: page.counter(
                "attempts_total",
                "Attempts at backend servers, by outcome.",
                &["outcome"],
            ),
            queued: page.gauge("requests_queued", "Requests that wait for a backend server."),
            placements: page.counter(
                "placements_total",
                "Requests sent to a backend server, by why to that one.",
                &["why"],
            ),
            pass_seconds: page.gauge_by(
                "group_pass_seconds",
                "Duration of a pass as the group's owner last measured it.",
                &["group"],
            ),
            slow_engines: page.gauge_by(
                "group_slow_engines",
                "Engines of the group that are slow and get no requests.",
                &["group"],
            ),
            page,
        }
    }

    /// Counts a request for `service` that arrived at `arrived_at` as in flight.
    pub fn begin_request(&self, service: &str, arrived_at: time::Instant) -> InFlightRequest {
        InFlightRequest::new(self.clone(), service, arrived_at)
    }

    /// Counts an answer that this process gave itself instead of a backend server.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Sets the number of requests that are waiting for a backend server.
    pub fn set_queued(&self, requests: usize) {
        self.queued.set(requests as i64);
    }

    /// Counts a request that is sent to a backend server; `why` is the reason for the choice of
    /// server.
    pub fn count_placement(&self, why: &str) {
        self.placements.with_label_values(&[why]).inc();
    }

    /// Sets what the owner of an engine group reported.
    pub fn set_group(&self, group: &str, loads: &message::Loads) {
        let pass_ms = loads.passes.map_or(0.0, |passes| passes.pass_ms(passes.requests));
        self.pass_seconds.with_label_values(&[group]).set(pass_ms / 1000.0);
        self.slow_engines.with_label_values(&[group]).set(loads.slow.len() as f64);
    }

    /// Counts an attempt at a backend server by its outcome.
    pub fn count_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }
}

impl Default for Entry {
    fn default() -> Self {
        Self::new()
    }
}
