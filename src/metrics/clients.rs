//! Metrics of what a process holds for its clients.

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

use super::Page;

/// The metrics of the clients of a process. Clones share the values.
#[derive(Clone, Debug)]
pub struct Clients {
    memory: IntGauge,
    memory_limit: IntGauge,
    connections: IntGaugeVec,
    closed: IntCounterVec,
    refused: IntCounterVec,
}

impl Clients {
    /// Creates the metrics on `page`, with all values at zero.
    pub fn new(page: &Page) -> Self {
        Self {
            memory: page.gauge("client_memory_bytes", "Memory that is held for clients."),
            memory_limit: page
                .gauge("client_memory_limit_bytes", "Most memory that is held for clients."),
            connections: page.int_gauge_by(
                "client_connections",
                "Open connections, by port.",
                &["port"],
            ),
            closed: page.counter(
                "slow_clients_total",
                "Clients that were refused or closed to make room, by port and by what they did.",
                &["port", "stage"],
            ),
            refused: page.counter(
                "clients_refused_total",
                "Connections and memory that were refused since no room could be made, by port.",
                &["port", "what"],
            ),
        }
    }

    /// Sets the limit on the memory that is held for clients, in bytes.
    pub fn set_memory_limit(&self, bytes: usize) {
        self.memory_limit.set(bytes as i64);
    }

    /// Sets the memory that is held for clients, in bytes.
    pub fn set_memory(&self, bytes: usize) {
        self.memory.set(bytes as i64);
    }

    /// Sets the number of open connections to `port`.
    pub fn set_connections(&self, port: &str, count: usize) {
        self.connections.with_label_values(&[port]).set(count as i64);
    }

    /// Counts a client of `port` that made room for others while at `stage`.
    pub fn count_closed(&self, port: &str, stage: &str) {
        self.closed.with_label_values(&[port, stage]).inc();
    }

    /// Counts a refusal of `what`, which is `connection` or `memory`, at `port`.
    pub fn count_refused(&self, port: &str, what: &str) {
        self.refused.with_label_values(&[port, what]).inc();
    }
}
