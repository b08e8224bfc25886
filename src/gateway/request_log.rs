//! One log line for each request: the decisions about it, their inputs, and how it ended.

use std::{fmt::Write, time};

use crate::{http::client::Failure, metrics, name};

/// Log line of one request, written when dropped. A request dropped without
/// [`set_end`](Self::set_end) is logged as abandoned by its client.
pub struct RequestLog {
    id: String,
    route: String,
    version: u64,
    started: time::Instant,
    attempts: String,
    ending: metrics::Ending,
    status: u16,
    why: &'static str,
    in_flight_request: Option<metrics::InFlightRequest>,
}

impl RequestLog {
    /// Creates the log line of a request that has just arrived.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            route: String::new(),
            version: 0,
            started: time::Instant::now(),
            attempts: String::new(),
            ending: metrics::Ending::ClientGone,
            status: 0,
            why: "caller-left",
            in_flight_request: None,
        }
    }

    /// Sets the route that matched and the version of the configuration that it is from.
    pub fn set_route(
        &mut self,
        route: &str,
        version: u64,
        in_flight_request: metrics::InFlightRequest,
    ) {
        route.clone_into(&mut self.route);
        self.version = version;
        self.in_flight_request = Some(in_flight_request);
    }

    /// Adds an attempt at `server`, which had `in_flight` requests of this gateway before.
    pub fn add_attempt(&mut self, server: &name::Server, in_flight: u32) {
        let at_ms = self.started.elapsed().as_millis();
        let _ = write!(self.attempts, "{at_ms}:{server}/{in_flight}");
    }

    /// Adds the result of the latest attempt.
    pub fn add_result(&mut self, result: &str) {
        let at_ms = self.started.elapsed().as_millis();
        let _ = write!(self.attempts, "={result}@{at_ms};");
    }

    /// Adds the failure of the latest attempt.
    pub fn add_failure(&mut self, failure: &Failure) {
        match failure {
            Failure::Unsent(_) => self.add_result("unsent"),
            Failure::Sent(_) => self.add_result("broken"),
            Failure::Defective(_) => self.add_result("defective"),
        }
        log::debug!(req:% = self.id; "attempt failed: {}", failure.problem());
    }

    /// Records that a piece of the answer is about to be sent to the client.
    pub fn record_piece(&mut self) {
        if let Some(in_flight_request) = &mut self.in_flight_request {
            in_flight_request.record_piece();
        }
    }

    /// Sets how the request ended.
    pub fn set_end(&mut self, ending: metrics::Ending, status: u16, why: &'static str) {
        (self.ending, self.status, self.why) = (ending, status, why);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let took_ms = self.started.elapsed().as_millis() as u64;
        if let Some(in_flight_request) = self.in_flight_request.take() {
            in_flight_request.end(self.ending);
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
