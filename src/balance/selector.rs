//! Load and health of backend servers as one gateway knows them, and the selection among them.

use std::{collections::BTreeMap, net, time};

use rand::RngExt;

use super::{SlidingWindow, capacity};
use crate::{
    name,
    site::{catalog, registry::RegisteredServer},
};

/// Consecutive failures after which a server is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with each further ejection without a success.
const FIRST_EJECTION: time::Duration = time::Duration::from_millis(1_000);
/// Longest duration of an ejection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(8);
/// Ejections are honored while at most one in this many servers of a service is ejected.
const SERVERS_PER_EJECTED: usize = 3;
/// Requests added to the load of a server in another zone: breaks ties in favor of the gateway's
/// own zone. Scores are also randomized by up to this much.
const OTHER_ZONE_PENALTY: f64 = 0.25;
/// Requests added to a server's load for each consecutive failure.
const FAILURE_PENALTY: f64 = 2.0;
/// Concurrent requests on a server of a plain service, for which no limit is stated.
const PLAIN_SERVER_SLOTS: u32 = 16;
/// Age from which a server's load report is ignored.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Factor by which one gateway may exceed an equal share of a server without a current load
/// report: clients are distributed unevenly over the gateways.
const UNEVEN_SHARE_FACTOR: f64 = 1.5;
/// Fraction of the bound on requests to a cold server that is used.
const COLD_LIMIT_FRACTION: f64 = 0.8;

#[derive(Debug)]
struct ServerLoad {
    in_flight: u32,
    consecutive_failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: time::Duration,
    /// Attempts of the last second.
    attempts: SlidingWindow,
    report: Option<LoadReport>,
}

/// Load that a server last reported.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    received_at: time::Duration,
    /// Requests that the server has from other gateways.
    others: u32,
}

impl ServerLoad {
    fn new() -> Self {
        Self {
            in_flight: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: time::Duration::ZERO,
            attempts: SlidingWindow::new(time::Duration::from_secs(1)),
            report: None,
        }
    }
}

impl ServerLoad {
    /// Returns the requests of other gateways; `None` without a recent report.
    fn others(&self, now: time::Duration) -> Option<u32> {
        let report = self.report.filter(|report| report.received_at + MAX_REPORT_AGE >= now);
        report.map(|report| report.others)
    }
}

/// Returns how many requests one server may run at once.
fn max_in_flight(criteria: &Criteria<'_>) -> u32 {
    match &criteria.service.engine {
        Some(engine) => capacity::max_requests(engine, criteria.max_event_gap),
        None => PLAIN_SERVER_SLOTS,
    }
}

/// Returns this gateway's share of `max_in_flight` while the load from other gateways is unknown.
fn share(max_in_flight: u32, gateways: usize) -> f64 {
    (f64::from(max_in_flight) / gateways.max(1) as f64 * UNEVEN_SHARE_FACTOR).max(1.0)
}

/// Outcome of an attempt, as it counts for the health of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server answered as it should.
    Success,
    /// The attempt failed through a fault of the server.
    Failure,
    /// Another server now has the address.
    Replaced,
    /// The attempt says nothing about the server's health.
    Neutral,
}

/// Result of a selection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The request goes to this server.
    Server {
        /// Name of the server.
        server: name::Server,
        /// Address of the server.
        addr: net::SocketAddr,
        /// Requests of this gateway that the server had before this one.
        in_flight: u32,
    },
    /// Every server has reached its limit of requests.
    Full,
    /// No registered server may get new work.
    NoServer,
}

/// Inputs of a selection besides the load of the servers.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that the request needs.
    pub service: &'a catalog::Service,
    /// Zone of this gateway.
    pub zone: &'a name::Zone,
    /// Longest pause between two events of an answer that is still on time.
    pub max_event_gap: Option<time::Duration>,
    /// Number of gateways that share the servers, including this one.
    pub gateways: usize,
    /// Servers at which the request was already attempted.
    pub tried: &'a [name::Server],
    /// Current time.
    pub now: time::Duration,
}

/// Selects servers by the load and health of those that got work from this gateway.
#[derive(Debug, Default)]
pub struct ServerSelector {
    loads: BTreeMap<name::Server, ServerLoad>,
}

impl ServerSelector {
    /// Selects one of `candidates`, the servers that may get new work, and counts the request
    /// there.
    pub fn select<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a RegisteredServer>,
        criteria: Criteria<'_>,
        rng: &mut impl rand::Rng,
    ) -> Choice {
        let candidates: Vec<&RegisteredServer> = candidates.collect();
        if candidates.is_empty() {
            return Choice::NoServer;
        }
        let max_in_flight = max_in_flight(&criteria);
        let ejected =
            candidates.iter().filter(|server| self.is_ejected(server, criteria.now)).count();
        let honor_ejections = ejected * SERVERS_PER_EJECTED <= candidates.len();
        let mut best: Option<(f64, &RegisteredServer)> = None;
        for server in &candidates {
            let untried = !criteria.tried.contains(&server.registration.server);
            let healthy = !honor_ejections || !self.is_ejected(server, criteria.now);
            if !untried || !healthy || !self.has_capacity(server, &criteria, max_in_flight) {
                continue;
            }
            let load = self.loads.get(&server.registration.server);
            let failures = load.map_or(0, |load| load.consecutive_failures);
            let requests =
                load.map_or(0, |load| load.in_flight + load.others(criteria.now).unwrap_or(0));
            let zone_penalty =
                if server.registration.zone == *criteria.zone { 0.0 } else { OTHER_ZONE_PENALTY };
            let score = f64::from(requests)
                + f64::from(failures) * FAILURE_PENALTY
                + zone_penalty
                + rng.random::<f64>() * OTHER_ZONE_PENALTY;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, server));
            }
        }
        let Some((_, selected)) = best else { return Choice::Full };
        let load =
            self.loads.entry(selected.registration.server.clone()).or_insert_with(ServerLoad::new);
        let in_flight = load.in_flight;
        load.in_flight += 1;
        load.attempts.add(criteria.now);
        let server = selected.registration.server.clone();
        Choice::Server { server, addr: selected.registration.address, in_flight }
    }

    fn is_ejected(&self, server: &RegisteredServer, now: time::Duration) -> bool {
        self.loads.get(&server.registration.server).is_some_and(|load| load.ejected_until > now)
    }

    fn has_capacity(
        &mut self,
        server: &RegisteredServer,
        criteria: &Criteria<'_>,
        max_in_flight: u32,
    ) -> bool {
        let Some(load) = self.loads.get_mut(&server.registration.server) else { return true };
        let cold_per_s = criteria.service.cold_requests_per_s;
        let max_attempts = COLD_LIMIT_FRACTION * cold_per_s / criteria.gateways.max(1) as f64;
        // The bound applies to all servers: one may turn cold before the registry shows it.
        let within_cold_limit =
            cold_per_s == 0.0 || (load.attempts.count(criteria.now) as f64) < max_attempts.max(1.0);
        let has_slot = match load.others(criteria.now) {
            Some(others) => load.in_flight + others < max_in_flight,
            None => f64::from(load.in_flight) < share(max_in_flight, criteria.gateways),
        };
        has_slot && within_cold_limit
    }

    /// Records the end of an attempt at `server` and its outcome.
    pub fn release(&mut self, server: &name::Server, outcome: Outcome, now: time::Duration) {
        let Some(load) = self.loads.get_mut(server) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Success => (load.consecutive_failures, load.ejections) = (0, 0),
            Outcome::Failure => {
                load.consecutive_failures += 1;
                if load.consecutive_failures >= EJECTION_FAILURES {
                    let duration = FIRST_EJECTION * 2u32.saturating_pow(load.ejections.min(8));
                    load.ejected_until = now + duration.min(MAX_EJECTION);
                    load.ejections += 1;
                    load.consecutive_failures = EJECTION_FAILURES - 1;
                }
            }
            Outcome::Replaced => load.ejected_until = now + MAX_EJECTION,
            Outcome::Neutral => {}
        }
    }

    /// Records the server's report that it has `requests`, including those of this gateway.
    pub fn record_load(&mut self, server: &name::Server, requests: u32, now: time::Duration) {
        let load = self.loads.entry(server.clone()).or_insert_with(ServerLoad::new);
        let others = requests.saturating_sub(load.in_flight);
        load.report = Some(LoadReport { received_at: now, others });
    }

    /// Removes the state of a server that is no longer registered, unless requests of this gateway
    /// are still in flight there.
    pub fn remove(&mut self, server: &name::Server) {
        if self.loads.get(server).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(server);
        }
    }

    /// Returns the number of this gateway's requests at `server`.
    pub fn in_flight(&self, server: &name::Server) -> u32 {
        self.loads.get(server).map_or(0, |load| load.in_flight)
    }

    /// Returns the number of this gateway's requests at all servers.
    pub fn total_in_flight(&self) -> u32 {
        self.loads.values().map(|load| load.in_flight).sum()
    }
}
