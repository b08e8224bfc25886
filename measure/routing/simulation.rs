//! Simulation that plays a trace to entries and servers in steps of 10 ms of virtual time.

use std::{collections::BTreeMap, time};

use knapweedford::name;
use rand::{RngExt as _, SeedableRng as _};

use super::{entry, server, trace};

/// Virtual time of one step.
const STEP: time::Duration = time::Duration::from_millis(10);
/// Interval at which servers broadcast their loads to the baselines.
const LOAD_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Entries of a deployment, one per zone.
const ENTRIES: usize = 3;
/// Servers of a deployment's model group.
const SERVERS: usize = 12;
/// Longest time until a changed configuration is in force at a process.
const MAX_SPREAD_TIME: time::Duration = time::Duration::from_millis(1500);

/// Result of one request, with times since the start of the trace.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestResult {
    pub first_token_at: Option<time::Duration>,
    pub completed_at: Option<time::Duration>,
    pub refused_at: Option<time::Duration>,
    pub retry_after: Option<time::Duration>,
    pub failed: bool,
    /// Whether the caller disconnected at its deadline.
    pub cancelled: bool,
}

/// Results of one run of the simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Results by index of the request.
    pub requests: Vec<RequestResult>,
    /// Largest ratio of requests in flight to capacity at a cold server.
    pub cold_peak: f64,
    /// Crashes of servers caused by overload.
    pub overload_crashes: u32,
    /// Prefix tokens of the admitted requests.
    pub prefix_tokens: u64,
    /// Those of the prefix tokens that a cache held.
    pub cached_prefix_tokens: u64,
    /// Requests that servers admitted after the order to take them out was in force everywhere.
    pub admitted_while_out: u32,
    /// Requests that servers admitted after they turned cold, until their load fell to their
    /// capacity.
    pub admitted_after_cooling: u32,
}

/// State of one run. `servers` and `lagged_in_flight` are indexed by server; `entry_of`,
/// `assigned_server`, `received_tokens` and `results` by request.
struct Simulation<'a> {
    trace: &'a trace::Trace,
    now: time::Duration,
    servers: Vec<server::Server>,
    entries: Vec<entry::Entry>,
    /// Index of the entry that receives each request.
    entry_of: Vec<usize>,
    assigned_server: Vec<Option<usize>>,
    received_tokens: Vec<u32>,
    results: Vec<RequestResult>,
    lagged_in_flight: Vec<usize>,
    /// Orders that are not yet in force at a process, by the time at which they take effect and by
    /// `process * SERVERS + server`; process `ENTRIES` stands for the server's sidecar. Each order
    /// holds the server and whether it is allowed to serve.
    orders: BTreeMap<(time::Duration, usize), (usize, bool)>,
    /// Reports of servers that an event has crashed.
    crash_reports: Vec<server::Report>,
}

/// Plays `trace` to entries that run `policy`.
pub fn run(trace: &trace::Trace, policy: entry::Policy, seed: u64) -> Outcome {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let group = group_name(trace);
    let servers: Vec<_> = (0..SERVERS)
        .map(|index| {
            let zone = ["a", "b", "c"][index % 3].into();
            let name = name::Server::new(format!("{group}-{index}"));
            server::Server::new(index, name, zone, policy.is_gated())
        })
        .collect();
    let count = trace.requests.len();
    let entry = |index| entry::Entry::new(index, policy, &servers, count, seed);
    let entries: Vec<_> = (0..ENTRIES).map(entry).collect();
    let mut simulation = Simulation {
        trace,
        now: time::Duration::ZERO,
        entry_of: (0..count).map(|_| rng.random_range(0..ENTRIES)).collect(),
        assigned_server: vec![None; count],
        received_tokens: vec![0; count],
        results: vec![RequestResult::default(); count],
        lagged_in_flight: vec![0; SERVERS],
        orders: BTreeMap::new(),
        crash_reports: Vec::new(),
        servers,
        entries,
    };
    simulation.run();
    let servers = &simulation.servers;
    Outcome {
        cold_peak: servers.iter().map(|server| server.cold_peak).fold(0.0, f64::max),
        overload_crashes: servers.iter().map(|server| server.overload_crashes).sum(),
        prefix_tokens: servers.iter().map(|server| server.prefix_tokens).sum(),
        cached_prefix_tokens: servers.iter().map(|server| server.cached_prefix_tokens).sum(),
        admitted_while_out: servers.iter().map(|server| server.admitted_while_out).sum(),
        admitted_after_cooling: servers.iter().map(|server| server.admitted_after_cooling).sum(),
        requests: simulation.results,
    }
}

fn group_name(trace: &trace::Trace) -> &str {
    let server_name = trace.events.iter().find_map(|event| event.target.rsplit_once('-'));
    server_name.map_or("worker", |(group, _)| group)
}

impl Simulation<'_> {
    fn run(&mut self) {
        let (mut next_request, mut next_event) = (0, 0);
        let longest_deadline = self.trace.requests.iter().map(|req| req.deadline).max();
        let end = self.trace.span() + longest_deadline.unwrap_or_default() + STEP;
        while self.now < end {
            while self.trace.events.get(next_event).is_some_and(|event| event.at <= self.now) {
                self.apply_event(&self.trace.events[next_event].clone());
                next_event += 1;
            }
            self.apply_due_orders();
            self.cancel_overdue_requests();
            while self
                .trace
                .requests
                .get(next_request)
                .is_some_and(|req| req.arrived_at <= self.now)
            {
                self.with_entry(self.entry_of[next_request], |entry, cx| {
                    entry.accept(next_request, cx)
                });
                next_request += 1;
            }
            (0..ENTRIES).for_each(|index| self.with_entry(index, |entry, cx| entry.tick(cx)));
            self.tick_servers();
            self.now += STEP;
        }
    }

    /// Calls `f` with an entry, then records the results of the requests that `f` ended.
    fn with_entry(
        &mut self,
        index: usize,
        f: impl FnOnce(&mut entry::Entry, &mut entry::Context<'_>),
    ) {
        let mut endings = Vec::new();
        let mut cx = entry::Context {
            now: self.now,
            trace: self.trace,
            servers: &mut self.servers,
            lagged_in_flight: &self.lagged_in_flight,
            received_tokens: &self.received_tokens,
            endings: &mut endings,
            assigned_server: &mut self.assigned_server,
        };
        f(&mut self.entries[index], &mut cx);
        for (req, ending) in endings {
            match ending {
                entry::Ending::Refused { .. } if self.received_tokens[req] > 0 => {
                    self.results[req].failed = true;
                }
                entry::Ending::Refused { retry_after } => {
                    self.results[req].refused_at = Some(self.now);
                    self.results[req].retry_after = Some(retry_after);
                }
                entry::Ending::Failed => self.results[req].failed = true,
            }
        }
    }

    fn tick_servers(&mut self) {
        let mut reports = std::mem::take(&mut self.crash_reports);
        for server in &mut self.servers {
            server.tick(self.now, STEP, &mut reports);
        }
        for report in reports {
            let (req, now) = (report.attempt.req, self.now);
            self.received_tokens[req] = report.received_tokens;
            let result = &mut self.results[req];
            match report.kind {
                server::ReportKind::FirstToken => {
                    result.first_token_at = result.first_token_at.or(Some(now));
                }
                server::ReportKind::Completed => result.completed_at = Some(now),
                server::ReportKind::Broken => {}
            }
            if report.kind != server::ReportKind::FirstToken {
                self.assigned_server[req] = None;
            }
            self.with_entry(report.attempt.entry, |entry, cx| entry.handle_report(&report, cx));
        }
        if self.now.as_millis().is_multiple_of(LOAD_INTERVAL.as_millis()) {
            self.lagged_in_flight = self.servers.iter().map(server::Server::in_flight).collect();
        }
    }

    /// Disconnects the callers of unfinished requests whose deadline has passed.
    fn cancel_overdue_requests(&mut self) {
        for index in 0..self.results.len() {
            let (req, result) = (&self.trace.requests[index], &self.results[index]);
            let ended = result.completed_at.is_some()
                || result.refused_at.is_some()
                || result.failed
                || result.cancelled;
            if ended || self.now < req.arrived_at + req.deadline {
                continue;
            }
            self.results[index].cancelled = true;
            let server = self.assigned_server[index].take();
            if let Some(server) = server {
                self.servers[server].cancel(index, self.now);
            }
            self.with_entry(self.entry_of[index], |entry, cx| entry.cancel(index, server, cx));
        }
    }

    fn apply_event(&mut self, event: &trace::Event) {
        let in_zone = |server: &server::Server| server.zone.as_str() == event.target;
        let (servers, now) = (&mut self.servers, self.now);
        match event.kind {
            trace::EventKind::ZoneOut | trace::EventKind::ZoneIn => {
                let allowed = event.kind == trace::EventKind::ZoneIn;
                let affected =
                    servers.iter().filter(|server| in_zone(server)).map(|server| server.index);
                for server in affected.collect::<Vec<_>>() {
                    self.schedule_order(server, allowed);
                }
            }
            trace::EventKind::ZoneStop => {
                let affected = servers.iter_mut().filter(|server| in_zone(server));
                affected.for_each(|server| server.crash(now, &mut self.crash_reports));
            }
            trace::EventKind::Restart => {
                let affected =
                    servers.iter_mut().filter(|server| server.name.as_str() == event.target);
                affected.for_each(|server| server.crash(now, &mut self.crash_reports));
            }
            trace::EventKind::Cool => {
                let affected =
                    servers.iter_mut().filter(|server| server.name.as_str() == event.target);
                affected.for_each(server::Server::cool);
            }
        }
    }

    /// Schedules an order to take a server out or in; it takes effect at each process after a
    /// different delay.
    fn schedule_order(&mut self, server: usize, allowed: bool) {
        for process in 0..=ENTRIES {
            let delay = MAX_SPREAD_TIME * process as u32 / ENTRIES as u32;
            let key = (self.now + delay, process * SERVERS + server);
            self.orders.insert(key, (server, allowed));
        }
    }

    fn apply_due_orders(&mut self) {
        while let Some(order) = self.orders.first_entry().filter(|order| order.key().0 <= self.now)
        {
            let ((_, key), (server, allowed)) = order.remove_entry();
            let process = key / SERVERS;
            match process {
                ENTRIES => self.servers[server].set_out(!allowed),
                _ => {
                    let name = self.servers[server].name.clone();
                    self.entries[process].set_allowed(server, &name, allowed);
                }
            }
        }
    }
}
