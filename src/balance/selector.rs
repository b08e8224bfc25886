//! Load and health of backend servers as one gateway knows them, and the selection among them.

use std::{collections::BTreeMap, net, time};

use rand::RngExt;

use super::{GatewaySet, GroupReports, RateLimit, SlidingWindow, capacity, gateways};
use crate::{
    name,
    rank::relay,
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
/// Time from a request's arrival at a server until load reports include it: in a small group, whose
/// ranks report to the owner, and in a large one, where both reports and loads are relayed.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(100);
const RELAYED_REPORT_DELAY: time::Duration = time::Duration::from_millis(250);
/// Part of the other gateways that is expected to have sent to a server what this gateway sent there
/// since the last report: all of them see the same reports.
const SAME_CHOICE_FRACTION: f64 = 0.5;
/// Age from which a server's load report is ignored.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_000);
/// Factor by which one gateway may exceed an equal share of a server without a current load
/// report: clients are distributed unevenly over the gateways.
const UNEVEN_SHARE_FACTOR: f64 = 1.5;
/// Fraction of the bound on requests to a cold server that is used.
const COLD_LIMIT_FRACTION: f64 = 0.8;
/// Gateways that share each server of a group. Load reports are a few hundred milliseconds old: with
/// more gateways, all of them would send to the same free slots at once. Few gateways also reuse
/// their connections to the server more often.
const GATEWAYS_PER_SERVER: usize = 6;
/// Servers that a gateway uses at least, which raises [`GATEWAYS_PER_SERVER`] where there are few.
const MIN_SERVERS_PER_GATEWAY: usize = 8;

#[derive(Debug)]
struct ServerLoad {
    in_flight: u32,
    consecutive_failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: time::Duration,
    /// End of the pause that the server asked for.
    paused_until: time::Duration,
    /// Limit on requests that the server names.
    limit: Option<RateLimit>,
    /// Attempts of the last second.
    attempts: SlidingWindow,
    /// Attempts that load reports may not include yet.
    unreported: SlidingWindow,
    report: Option<LoadReport>,
    /// Position of this gateway in the order of gateways at the server, with the generation of the
    /// set of gateways.
    position: Option<(u64, usize)>,
}

/// Load that a server last reported.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    received_at: time::Duration,
    /// Requests that the server has from other gateways.
    others: u32,
    /// Whether the server is a slow engine, which is to get no requests.
    is_slow: bool,
}

impl ServerLoad {
    fn new() -> Self {
        Self {
            in_flight: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: time::Duration::ZERO,
            paused_until: time::Duration::ZERO,
            limit: None,
            attempts: SlidingWindow::new(time::Duration::from_secs(1)),
            unreported: SlidingWindow::new(RELAYED_REPORT_DELAY),
            report: None,
            position: None,
        }
    }
}

impl ServerLoad {
    /// Returns the last load report; `None` if it is outdated.
    fn recent_report(&self, now: time::Duration) -> Option<LoadReport> {
        self.report.filter(|report| report.received_at + MAX_REPORT_AGE >= now)
    }

    /// Returns the requests of other gateways; `None` without a recent report.
    fn others(&self, now: time::Duration) -> Option<u32> {
        self.recent_report(now).map(|report| report.others)
    }

    /// Returns the requests that the server is expected to have, with those that other gateways
    /// have sent since the last report.
    fn expected_requests(&mut self, now: time::Duration, sharing: &Sharing) -> f64 {
        let unreported = self.unreported.count_within(now, sharing.report_delay) as f64;
        let others = f64::from(self.others(now).unwrap_or(0));
        let unseen = unreported * SAME_CHOICE_FRACTION * sharing.gateways.saturating_sub(1) as f64;
        f64::from(self.in_flight) + others + unseen
    }

    /// Returns the position of this gateway in the order of gateways at `server`.
    fn position(&mut self, server: &name::Server, gateways: &GatewaySet) -> usize {
        match self.position {
            Some((generation, position)) if generation == gateways.generation() => position,
            _ => {
                let position = gateways.position(server);
                self.position = Some((gateways.generation(), position));
                position
            }
        }
    }

    /// Whether the server may get one more request of this gateway, which is at `position` in the
    /// order of gateways there.
    fn has_capacity(
        &mut self,
        criteria: &Criteria<'_>,
        sharing: &Sharing,
        position: usize,
        max_in_flight: u32,
    ) -> bool {
        let cold_per_s = criteria.service.cold_requests_per_s;
        let cold_limit = COLD_LIMIT_FRACTION * cold_per_s;
        // The bound applies to all servers: one may turn cold before the registry shows it.
        let within_cold_limit = cold_per_s == 0.0
            || self.attempts.count(criteria.now)
                < u64::from(gateways::part_of(cold_limit as u32, sharing.gateways, position));
        let has_slot = match self.others(criteria.now) {
            Some(_) => self.expected_requests(criteria.now, sharing) < f64::from(max_in_flight),
            None => {
                let limit = f64::from(max_in_flight) * UNEVEN_SHARE_FACTOR;
                self.in_flight < gateways::part_of(limit as u32, sharing.gateways, position).max(1)
            }
        };
        has_slot && within_cold_limit
    }
}

/// Limits on the requests of one server, by its group.
struct GroupLimits<'a> {
    reports: &'a mut GroupReports,
    /// Limits of the groups asked for so far.
    known: BTreeMap<&'a str, capacity::Limit>,
}

impl<'a> GroupLimits<'a> {
    /// Returns how many requests `server` may run at once, and from what that follows.
    fn of(&mut self, server: &'a RegisteredServer, criteria: &Criteria<'_>) -> capacity::Limit {
        let Some(engine) = &criteria.service.engine else {
            return capacity::Limit {
                requests: PLAIN_SERVER_SLOTS,
                basis: capacity::Basis::Configured,
            };
        };
        if criteria.is_admitted {
            let basis = capacity::Basis::Configured;
            return capacity::Limit { requests: engine.slots, basis };
        }
        let group = server.registration.member.as_ref().map_or("", |member| &member.group);
        let reports = &mut self.reports;
        *self
            .known
            .entry(group)
            .or_insert_with(|| reports.limit(group, engine, &criteria.demand, criteria.now))
    }
}

/// How gateways share the servers of a service.
struct Sharing {
    /// Number of gateways that share each server.
    gateways: usize,
    /// Time from a request's arrival at a server until load reports include it.
    report_delay: time::Duration,
}

/// Returns how gateways share `servers` servers.
fn sharing_of(criteria: &Criteria<'_>, servers: usize) -> Sharing {
    let report_delay = if relay::has_relays(servers) { RELAYED_REPORT_DELAY } else { REPORT_DELAY };
    Sharing { gateways: gateways_per_server(criteria, servers), report_delay }
}

/// Returns the number of gateways that share each of `servers` servers.
fn gateways_per_server(criteria: &Criteria<'_>, servers: usize) -> usize {
    let gateways = criteria.gateways.count();
    match criteria.service.engine {
        Some(_) => (MIN_SERVERS_PER_GATEWAY * gateways)
            .div_ceil(servers.max(1))
            .clamp(GATEWAYS_PER_SERVER.min(gateways), gateways),
        None => gateways,
    }
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
    /// The same, but some limits are lower than configured since passes take long.
    Slow,
    /// No registered server may get new work.
    NoServer,
    /// All servers that may get the request have asked for a pause.
    Paused {
        /// Time at which the first pause ends.
        until: time::Duration,
    },
    /// The limits that servers name allow no request of this gateway now.
    Limited {
        /// Time at which the first of them does.
        until: time::Duration,
    },
}

/// Inputs of a selection besides the load of the servers.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service that the request needs.
    pub service: &'a catalog::Service,
    /// Zone of this gateway.
    pub zone: &'a name::Zone,
    /// What the route demands of answers.
    pub demand: capacity::Demand,
    /// Gateways that share the servers, with this one.
    pub gateways: &'a GatewaySet,
    /// Whether the request was admitted before, and only moves to another server: it may use any
    /// slot of an engine.
    pub is_admitted: bool,
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
    /// there. `reports` has what is known of the passes of their groups.
    pub fn select<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a RegisteredServer>,
        criteria: Criteria<'_>,
        reports: &'a mut GroupReports,
        rng: &mut impl rand::Rng,
    ) -> Choice {
        let candidates: Vec<&RegisteredServer> = candidates.collect();
        if candidates.is_empty() {
            return Choice::NoServer;
        }
        let mut limits = GroupLimits { reports, known: BTreeMap::new() };
        let ejected =
            candidates.iter().filter(|server| self.is_ejected(server, criteria.now)).count();
        let honor_ejections = ejected * SERVERS_PER_EJECTED <= candidates.len();
        let sharing = sharing_of(&criteria, candidates.len());
        let mut best: Option<(f64, &RegisteredServer)> = None;
        let is_untried =
            |server: &RegisteredServer| !criteria.tried.contains(&server.registration.server);
        let avoid_slow = candidates.iter().any(|server| {
            is_untried(server) && !self.is_slow(&server.registration.server, criteria.now)
        });
        // Whether a server is full or left to other gateways, whether one is full at a limit that
        // is lower than configured, the end of the first pause, and the time at which the first
        // limit allows a request.
        let (mut is_full, mut is_limit_low) = (false, false);
        let (mut paused_until, mut limited_until) = (None, None);
        let earlier = |first: Option<time::Duration>, until: time::Duration| {
            Some(first.map_or(until, |first| first.min(until)))
        };
        for server in &candidates {
            let healthy = !honor_ejections || !self.is_ejected(server, criteria.now);
            if !is_untried(server) || !healthy {
                continue;
            }
            if avoid_slow && self.is_slow(&server.registration.server, criteria.now) {
                is_full = true;
                continue;
            }
            let load = self
                .loads
                .entry(server.registration.server.clone())
                .or_insert_with(ServerLoad::new);
            if load.paused_until > criteria.now {
                paused_until = earlier(paused_until, load.paused_until);
                continue;
            }
            let position = load.position(&server.registration.server, criteria.gateways);
            let next_send_at = load
                .limit
                .map(|limit| limit.next_send_at(sharing.gateways, position, criteria.now))
                .filter(|at| *at > criteria.now && position < sharing.gateways);
            if let Some(next_send_at) = next_send_at {
                limited_until = earlier(limited_until, next_send_at);
                continue;
            }
            let limit = limits.of(server, &criteria);
            if position >= sharing.gateways
                || !load.has_capacity(&criteria, &sharing, position, limit.requests)
            {
                is_full = true;
                is_limit_low |= limit.basis != capacity::Basis::Configured;
                continue;
            }
            let requests = load.expected_requests(criteria.now, &sharing);
            let zone_penalty =
                if server.registration.zone == *criteria.zone { 0.0 } else { OTHER_ZONE_PENALTY };
            let score = requests
                + f64::from(load.consecutive_failures) * FAILURE_PENALTY
                + zone_penalty
                + rng.random::<f64>() * OTHER_ZONE_PENALTY;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, server));
            }
        }
        let selected = match (best, limited_until, paused_until) {
            (Some((_, selected)), ..) => selected,
            (None, Some(until), _) if !is_full => return Choice::Limited { until },
            (None, None, Some(until)) if !is_full => return Choice::Paused { until },
            (None, ..) if is_limit_low => return Choice::Slow,
            (None, ..) => return Choice::Full,
        };
        let load =
            self.loads.entry(selected.registration.server.clone()).or_insert_with(ServerLoad::new);
        let in_flight = load.in_flight;
        load.in_flight += 1;
        load.attempts.add(criteria.now);
        load.unreported.add(criteria.now);
        if let Some(limit) = &mut load.limit {
            limit.record_sent(criteria.now);
        }
        let server = selected.registration.server.clone();
        Choice::Server { server, addr: selected.registration.address, in_flight }
    }

    fn is_ejected(&self, server: &RegisteredServer, now: time::Duration) -> bool {
        self.loads.get(&server.registration.server).is_some_and(|load| load.ejected_until > now)
    }

    /// Whether `server` was last reported as a slow engine.
    pub fn is_slow(&self, server: &name::Server, now: time::Duration) -> bool {
        let load = self.loads.get(server);
        load.and_then(|load| load.recent_report(now)).is_some_and(|report| report.is_slow)
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

    /// Records that `server` asked at `now` not to be sent requests for the time `pause`.
    pub fn pause(&mut self, server: &name::Server, pause: time::Duration, now: time::Duration) {
        let load = self.loads.entry(server.clone()).or_insert_with(ServerLoad::new);
        load.paused_until = load.paused_until.max(now + pause);
    }

    /// Records the limit that `server` named, in requests a second, in an answer received at `now`
    /// to a request sent at `sent_at`; `None` if it named none. Returns whether the limit began or
    /// ended.
    pub fn set_limit(
        &mut self,
        server: &name::Server,
        per_s: Option<f64>,
        sent_at: time::Duration,
        now: time::Duration,
    ) -> bool {
        let load = self.loads.entry(server.clone()).or_insert_with(ServerLoad::new);
        match (&mut load.limit, per_s) {
            (Some(limit), Some(per_s)) => limit.set_per_s(per_s),
            (None, Some(per_s)) => load.limit = Some(RateLimit::new(per_s, now)),
            // An answer to an earlier request may have been on its way when the limit began.
            (Some(limit), None) if sent_at > limit.named_at() => load.limit = None,
            (_, None) => return false,
        }
        load.limit.is_none_or(|limit| limit.named_at() == now)
    }

    /// Ends the pause and the limit of `server`, which a new incarnation has not asked for.
    pub fn clear_notices(&mut self, server: &name::Server) {
        if let Some(load) = self.loads.get_mut(server) {
            load.paused_until = time::Duration::ZERO;
            load.limit = None;
        }
    }

    /// Records the server's report that it has `requests`, including those of this gateway, and
    /// whether it is a slow engine.
    pub fn record_load(
        &mut self,
        server: &name::Server,
        requests: u32,
        is_slow: bool,
        now: time::Duration,
    ) {
        let load = self.loads.entry(server.clone()).or_insert_with(ServerLoad::new);
        let others = requests.saturating_sub(load.in_flight);
        load.report = Some(LoadReport { received_at: now, others, is_slow });
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
