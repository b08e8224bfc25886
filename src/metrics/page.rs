//! The page that `GET /metrics` answers with.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
};

use crate::agree::status::Status;

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// The metrics page of one process. Clones share the values.
#[derive(Clone, Debug)]
pub struct Page {
    registry: Registry,
    version: IntGauge,
    ready: IntGauge,
    table_answers: IntGauge,
    not_durable: IntGauge,
    behind: IntGauge,
    members: IntGaugeVec,
}

impl Page {
    /// Creates a page with the metrics that every process reports.
    pub fn new() -> Self {
        let registry = Registry::new();
        let version = gauge(&registry, "config_version", "Configuration version in force here.");
        let ready = gauge(&registry, "ready", "Whether this process takes new requests.");
        let table_answers = gauge(
            &registry,
            "table_answers",
            "Whether the platform's table answered when last asked.",
        );
        let not_durable =
            gauge(&registry, "orders_not_durable", "Orders to take out that are not in the table.");
        let behind = gauge(
            &registry,
            "members_behind",
            "Processes not known to have the configuration version in force here.",
        );
        let opts = Opts::new("members", "Processes known here, by health.").namespace(NAMESPACE);
        let members = register(&registry, IntGaugeVec::new(opts, &["health"]));
        Self { registry, version, ready, table_answers, not_durable, behind, members }
    }

    /// Sets the configuration version in force.
    pub fn set_version(&self, version: u64) {
        self.version.set(version as i64);
    }

    /// Sets whether the process accepts new requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready.into());
    }

    /// Sets the metrics of the agreement between the processes.
    pub fn set_agreement(&self, status: &Status) {
        self.table_answers.set(status.table_answers.into());
        self.not_durable.set(status.not_durable.len() as i64);
        self.behind.set(status.behind.len() as i64);
        let members = &status.members;
        let counts = [
            ("alive", members.alive),
            ("suspect", members.suspect),
            ("dead", members.dead),
            ("leaving", members.leaving),
        ];
        for (health, count) in counts {
            self.members.with_label_values(&[health]).set(count as i64);
        }
    }

    /// Renders the page in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!("the metrics page could not be encoded: {err}");
        }
        String::from_utf8_lossy(&out).into_owned()
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> IntGauge {
        gauge(&self.registry, name, help)
    }

    pub(super) fn gauge_by(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        let opts = Opts::new(name, help).namespace(NAMESPACE);
        register(&self.registry, GaugeVec::new(opts, labels))
    }

    pub(super) fn int_gauge_by(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let opts = Opts::new(name, help).namespace(NAMESPACE);
        register(&self.registry, IntGaugeVec::new(opts, labels))
    }

    pub(super) fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let opts = Opts::new(name, help).namespace(NAMESPACE);
        register(&self.registry, IntCounterVec::new(opts, labels))
    }

    pub(super) fn latency(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS_SECONDS.into());
        register(&self.registry, Histogram::with_opts(opts))
    }

    pub(super) fn latency_by(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::new(name, help)
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS_SECONDS.into());
        register(&self.registry, HistogramVec::new(opts, labels))
    }
}

impl Default for Page {
    fn default() -> Self {
        Self::new()
    }
}

/// Prefix of the names of all metrics.
const NAMESPACE: &str = "knapweedford";

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::with_opts(Opts::new(name, help).namespace(NAMESPACE)))
}

/// Registers a metric. Panics if its name is invalid or registered already, which cannot happen
/// because names and labels are constants of this crate.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<T>,
) -> T {
    let metric = metric.expect("metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}
