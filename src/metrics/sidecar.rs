//! Metrics of a sidecar.

use std::time;

use prometheus::{Histogram, IntCounterVec, IntGauge};

use super::Page;
use crate::wire;

/// The metrics of a sidecar. Clones share the values.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// The page on which the metrics are published.
    pub page: Page,
    calls: IntCounterVec,
    refusals: IntCounterVec,
    duration: Histogram,
    in_flight: IntGauge,
    limit: IntGauge,
    warm: IntGauge,
    reachable: IntGauge,
    incarnation: IntGauge,
}

impl Sidecar {
    /// Creates the metrics with all values at zero.
    pub fn new() -> Self {
        let page = Page::new();
        Self {
            calls: page.counter("calls_total", "Calls admitted, by how they ended.", &["ending"]),
            refusals: page.counter(
                "refusals_total",
                "Calls refused without reaching the backend server, by reason.",
                &["reason"],
            ),
            duration: page.latency("call_seconds", "Time that an admitted call took."),
            in_flight: page.gauge("gate_in_flight", "Calls at the backend server."),
            limit: page.gauge("gate_limit", "Most calls that the gate admits now."),
            warm: page.gauge("backend_warm", "Whether the server is past its cold start."),
            reachable: page.gauge("backend_reachable", "Whether the server answers."),
            incarnation: page.gauge("backend_incarnation", "Incarnation of the server."),
            page,
        }
    }

    /// Counts an admitted call that has ended after the duration `took`.
    pub fn count_call(&self, ending: &str, took: time::Duration) {
        self.calls.with_label_values(&[ending]).inc();
        self.duration.observe(took.as_secs_f64());
    }

    /// Counts a refused call by the reason of the refusal.
    pub fn count_refusal(&self, why: wire::Refusal) {
        let reason = match why {
            wire::Refusal::Full => "full",
            wire::Refusal::Leaving => "leaving",
            wire::Refusal::WrongServer => "wrong-server",
            wire::Refusal::TooLate => "too-late",
            wire::Refusal::Unreachable => "unreachable",
        };
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Sets the backend server's current load and whether the server is reachable.
    pub fn set_load(&self, load: &wire::Load, reachable: bool) {
        self.in_flight.set(load.in_flight.into());
        self.limit.set(load.limit.into());
        self.warm.set(load.warm.into());
        self.reachable.set(reachable.into());
        self.incarnation.set(load.incarnation as i64);
    }
}

impl Default for Sidecar {
    fn default() -> Self {
        Self::new()
    }
}
