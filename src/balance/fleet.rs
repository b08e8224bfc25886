//! Load and health of backend servers as one gateway sees them, and the choice among them.

use std::{collections::BTreeMap, net, time};

use rand::RngExt;

use super::{Window, capacity};
use crate::{
    name,
    site::{catalog, registry::RegisteredServer},
};

/// Failures in a row that eject a server.
const FAILURES: u32 = 3;
/// First ejection; each one that follows without a success lasts twice as long.
const FIRST_EJECTION: time::Duration = time::Duration::from_millis(1_000);
/// Longest ejection.
const LONGEST_EJECTION: time::Duration = time::Duration::from_secs(8);
/// Most servers of a service that are ejected at once, as a part of all.
const EJECTED_PART: usize = 3;
/// Load that a server in another zone seems to have on top, in requests: breaks ties in favour
/// of the own zone.
const OTHER_ZONE: f64 = 0.25;
/// Load that one failure in a row seems to add, in requests.
const PER_FAILURE: f64 = 2.0;
/// Requests at once on a server of a plain service, per gateway, for want of a stated limit.
const PLAIN_SLOTS: u32 = 16;
/// Age at which a server's report no longer counts.
const REPORT_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Part of an equal share that one gateway may use of servers without a report: callers do not
/// come evenly to all gateways.
const UNEVEN: f64 = 1.5;
/// Part of the bound on requests to a cold server that is used.
const COLD_USED: f64 = 0.8;

#[derive(Debug)]
struct Load {
    in_flight: u32,
    failures: u32,
    ejections: u32,
    ejected_until: time::Duration,
    /// Sends of the latest second.
    sends: Window,
    report: Option<Report>,
}

/// What a server had to do by its own word.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: time::Duration,
    /// Requests of other gateways.
    others: u32,
}

impl Load {
    fn new() -> Self {
        Self {
            in_flight: 0,
            failures: 0,
            ejections: 0,
            ejected_until: time::Duration::ZERO,
            sends: Window::new(time::Duration::from_secs(1)),
            report: None,
        }
    }
}

impl Load {
    /// Requests of other gateways, if the server's word is recent.
    fn others(&self, now: time::Duration) -> Option<u32> {
        let report = self.report.filter(|report| report.at + REPORT_AGE >= now);
        report.map(|report| report.others)
    }
}

/// Requests that one server may have at once.
fn most(ask: &Ask<'_>) -> u32 {
    match &ask.service.engine {
        Some(engine) => capacity::max_requests(engine, ask.pause),
        None => PLAIN_SLOTS,
    }
}

/// What one gateway may use of `most` while it does not know what the others use.
fn share(most: u32, gateways: usize) -> f64 {
    (f64::from(most) / gateways.max(1) as f64 * UNEVEN).max(1.0)
}

/// What became of a request, for the server's record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered as it should.
    Good,
    /// Failed by the server's fault.
    Bad,
    /// Another server has its address now.
    Replaced,
    /// Says nothing about the server.
    Neutral,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// To this server.
    Server {
        /// Its name.
        server: name::Server,
        /// Its address.
        addr: net::SocketAddr,
        /// Requests of this gateway that it had already.
        in_flight: u32,
    },
    /// Nowhere: every server has as much as it can take.
    Full,
    /// Nowhere: no server is known that may get it.
    Nobody,
}

/// What the choice depends on besides the servers' load.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a catalog::Service,
    /// Zone of this gateway.
    pub zone: &'a name::Zone,
    /// Longest pause between events with which the answer is on time.
    pub pause: Option<time::Duration>,
    /// Gateways that share the servers, this one included.
    pub gateways: usize,
    /// Servers that this request was at already.
    pub tried: &'a [name::Server],
    /// The time.
    pub now: time::Duration,
}

/// Load of all servers that had work from this gateway.
#[derive(Debug, Default)]
pub struct Fleet {
    loads: BTreeMap<name::Server, Load>,
}

impl Fleet {
    /// Chooses among the servers that may get new work, and counts the request there.
    pub fn choose<'a>(
        &mut self,
        open: impl Iterator<Item = &'a RegisteredServer>,
        ask: Ask<'_>,
        rng: &mut impl rand::Rng,
    ) -> Choice {
        let open: Vec<&RegisteredServer> = open.collect();
        if open.is_empty() {
            return Choice::Nobody;
        }
        let most = most(&ask);
        let ejected = open.iter().filter(|known| self.ejected(known, ask.now)).count();
        let heed = ejected * EJECTED_PART <= open.len();
        let mut best: Option<(f64, &RegisteredServer)> = None;
        for known in &open {
            let untried = !ask.tried.contains(&known.registration.server);
            let sound = !heed || !self.ejected(known, ask.now);
            if !untried || !sound || !self.bears(known, &ask, most) {
                continue;
            }
            let load = self.loads.get(&known.registration.server);
            let failures = load.map_or(0, |load| load.failures);
            let requests =
                load.map_or(0, |load| load.in_flight + load.others(ask.now).unwrap_or(0));
            let far = if known.registration.zone == *ask.zone { 0.0 } else { OTHER_ZONE };
            let score = f64::from(requests)
                + f64::from(failures) * PER_FAILURE
                + far
                + rng.random::<f64>() * OTHER_ZONE;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, known));
            }
        }
        let Some((_, known)) = best else { return Choice::Full };
        let load = self.loads.entry(known.registration.server.clone()).or_insert_with(Load::new);
        let in_flight = load.in_flight;
        load.in_flight += 1;
        load.sends.add(ask.now);
        let server = known.registration.server.clone();
        Choice::Server { server, addr: known.registration.address, in_flight }
    }

    fn ejected(&self, known: &RegisteredServer, now: time::Duration) -> bool {
        self.loads.get(&known.registration.server).is_some_and(|load| load.ejected_until > now)
    }

    fn bears(&mut self, known: &RegisteredServer, ask: &Ask<'_>, most: u32) -> bool {
        let Some(load) = self.loads.get_mut(&known.registration.server) else { return true };
        let per_s = ask.service.cold_requests_per_s;
        let cold = COLD_USED * per_s / ask.gateways.max(1) as f64;
        // A server may turn cold before the register says so, hence the bound holds always.
        let warm_enough = per_s == 0.0 || (load.sends.count(ask.now) as f64) < cold.max(1.0);
        let room = match load.others(ask.now) {
            Some(others) => load.in_flight + others < most,
            None => f64::from(load.in_flight) < share(most, ask.gateways),
        };
        room && warm_enough
    }

    /// Counts that a request is no longer at `server`.
    pub fn release(&mut self, server: &name::Server, outcome: Outcome, now: time::Duration) {
        let Some(load) = self.loads.get_mut(server) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Good => (load.failures, load.ejections) = (0, 0),
            Outcome::Bad => {
                load.failures += 1;
                if load.failures >= FAILURES {
                    let lasts = FIRST_EJECTION * 2u32.saturating_pow(load.ejections.min(8));
                    load.ejected_until = now + lasts.min(LONGEST_EJECTION);
                    load.ejections += 1;
                    load.failures = FAILURES - 1;
                }
            }
            Outcome::Replaced => load.ejected_until = now + LONGEST_EJECTION,
            Outcome::Neutral => {}
        }
    }

    /// Takes a server's word that it has `requests` to do, those of this gateway included.
    pub fn report(&mut self, server: &name::Server, requests: u32, now: time::Duration) {
        let load = self.loads.entry(server.clone()).or_insert_with(Load::new);
        let others = requests.saturating_sub(load.in_flight);
        load.report = Some(Report { at: now, others });
    }

    /// Forgets a server that is not listed any more.
    pub fn forget(&mut self, server: &name::Server) {
        if self.loads.get(server).is_some_and(|load| load.in_flight == 0) {
            self.loads.remove(server);
        }
    }

    /// Requests of this gateway at `server`.
    pub fn in_flight(&self, server: &name::Server) -> u32 {
        self.loads.get(server).map_or(0, |load| load.in_flight)
    }

    /// Requests of this gateway at all servers.
    pub fn total(&self) -> u32 {
        self.loads.values().map(|load| load.in_flight).sum()
    }
}
