//! One log line for each request: what was decided about it, by which inputs, and its end.

use std::{fmt::Write, time};

use crate::{http::client::Failure, metrics, name};

/// The line of one request; written when dropped. Without an end the caller has gone.
pub struct Trail {
    id: String,
    route: String,
    version: u64,
    since: time::Instant,
    attempts: String,
    ending: metrics::Ending,
    status: u16,
    why: &'static str,
    flight: Option<metrics::Flight>,
}

impl Trail {
    /// A request that has just arrived.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            route: String::new(),
            version: 0,
            since: time::Instant::now(),
            attempts: String::new(),
            ending: metrics::Ending::Gone,
            status: 0,
            why: "caller-left",
            flight: None,
        }
    }

    /// Notes the route that was chosen, and by which version of the configuration.
    pub fn routed(&mut self, route: &str, version: u64, flight: metrics::Flight) {
        route.clone_into(&mut self.route);
        self.version = version;
        self.flight = Some(flight);
    }

    /// Notes that the request was sent to `server`, which had `in_flight` of this gateway.
    pub fn sent(&mut self, server: &name::Server, in_flight: u32) {
        let at_ms = self.since.elapsed().as_millis();
        let _ = write!(self.attempts, "{at_ms}:{server}/{in_flight}");
    }

    /// Notes how the latest attempt ended.
    pub fn got(&mut self, what: &str) {
        let at_ms = self.since.elapsed().as_millis();
        let _ = write!(self.attempts, "={what}@{at_ms};");
    }

    /// Notes that the latest attempt failed.
    pub fn failed(&mut self, failure: &Failure) {
        match failure {
            Failure::Unsent(_) => self.got("unsent"),
            Failure::Sent(_) => self.got("broken"),
        }
        log::debug!(req:% = self.id; "attempt failed: {}", failure.problem());
    }

    /// Notes that a piece of the answer is on its way to the caller.
    pub fn piece(&mut self) {
        if let Some(flight) = &mut self.flight {
            flight.piece();
        }
    }

    /// Notes the end.
    pub fn end(&mut self, ending: metrics::Ending, status: u16, why: &'static str) {
        (self.ending, self.status, self.why) = (ending, status, why);
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        let took_ms = self.since.elapsed().as_millis() as u64;
        if let Some(flight) = self.flight.take() {
            flight.end(self.ending);
        }
        log::info!(
            req:% = self.id,
            route:% = self.route,
            version = self.version,
            attempts:% = self.attempts,
            status = self.status,
            why = self.why,
            took_ms;
            "request ended"
        );
    }
}
