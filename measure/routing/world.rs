//! A small loop in steps of 10 ms around the decision code: entries, servers, one trace.

use std::{collections::BTreeMap, time};

use knapweedford::name;
use rand::{RngExt as _, SeedableRng as _};

use super::{entry, server, trace};

const STEP: time::Duration = time::Duration::from_millis(10);
/// Age of the load that a baseline sees at most.
const LAG: time::Duration = time::Duration::from_millis(500);
/// Entries of a deployment, one a zone.
const ENTRIES: usize = 3;
/// Servers of a deployment's model group.
const SERVERS: usize = 12;
/// Longest time until a process has a changed configuration in force.
const SPREAD: time::Duration = time::Duration::from_millis(1500);

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    pub first: Option<time::Duration>,
    pub whole: Option<time::Duration>,
    pub refused: Option<time::Duration>,
    pub retry_after: Option<time::Duration>,
    pub failed: bool,
    pub gone: bool,
}

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub fates: Vec<Fate>,
    pub peak: f64,
    pub falls: u32,
    pub wanted: u64,
    pub found: u64,
    /// Requests a server took after its zone's order was in force everywhere.
    pub after_out: u32,
}

struct World<'a> {
    trace: &'a trace::Trace,
    now: time::Duration,
    servers: Vec<server::Server>,
    entries: Vec<entry::Entry>,
    owner: Vec<usize>,
    place: Vec<Option<usize>>,
    tokens: Vec<u32>,
    fates: Vec<Fate>,
    lagged: Vec<usize>,
    orders: BTreeMap<(time::Duration, usize), (usize, bool)>,
    restarts: Vec<server::Report>,
}

/// Runs `trace` under `policy`.
pub fn run(trace: &trace::Trace, policy: entry::Policy, seed: u64) -> Outcome {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let group = group(trace);
    let servers: Vec<_> = (0..SERVERS)
        .map(|at| {
            let zone = ["a", "b", "c"][at % 3].into();
            let name = name::Server::new(format!("{group}-{at}"));
            server::Server::new(at, name, zone, policy.gated())
        })
        .collect();
    let count = trace.requests.len();
    let entry = |at| entry::Entry::new(at, policy, &servers, count, seed);
    let entries: Vec<_> = (0..ENTRIES).map(entry).collect();
    let mut world = World {
        trace,
        now: time::Duration::ZERO,
        owner: (0..count).map(|_| rng.random_range(0..ENTRIES)).collect(),
        place: vec![None; count],
        tokens: vec![0; count],
        fates: vec![Fate::default(); count],
        lagged: vec![0; SERVERS],
        orders: BTreeMap::new(),
        restarts: Vec::new(),
        servers,
        entries,
    };
    world.play();
    let servers = &world.servers;
    Outcome {
        peak: servers.iter().map(|server| server.peak).fold(0.0, f64::max),
        falls: servers.iter().map(|server| server.falls).sum(),
        wanted: servers.iter().map(|server| server.wanted).sum(),
        found: servers.iter().map(|server| server.found).sum(),
        after_out: servers.iter().map(|server| server.after_out).sum(),
        fates: world.fates,
    }
}

fn group(trace: &trace::Trace) -> &str {
    let named = trace.events.iter().find_map(|event| event.name.rsplit_once('-'));
    named.map_or("worker", |(group, _)| group)
}

impl World<'_> {
    fn play(&mut self) {
        let (mut next, mut event) = (0, 0);
        let longest = self.trace.requests.iter().map(|req| req.deadline).max();
        let end = self.trace.span() + longest.unwrap_or_default() + STEP;
        while self.now < end {
            while self.trace.events.get(event).is_some_and(|event| event.at <= self.now) {
                self.event(&self.trace.events[event].clone());
                event += 1;
            }
            self.orders();
            self.leave();
            while self.trace.requests.get(next).is_some_and(|req| req.at <= self.now) {
                self.with_entry(self.owner[next], |entry, cx| entry.arrive(next, cx));
                next += 1;
            }
            (0..ENTRIES).for_each(|at| self.with_entry(at, |entry, cx| entry.tick(cx)));
            self.serve();
            self.now += STEP;
        }
    }

    /// Lets an entry act, then notes where its requests are and which it ended.
    fn with_entry(&mut self, at: usize, f: impl FnOnce(&mut entry::Entry, &mut entry::Cx<'_>)) {
        let mut ended = Vec::new();
        let mut cx = entry::Cx {
            now: self.now,
            trace: self.trace,
            servers: &mut self.servers,
            lagged: &self.lagged,
            tokens: &self.tokens,
            ended: &mut ended,
            place: &mut self.place,
        };
        f(&mut self.entries[at], &mut cx);
        for (req, how) in ended {
            match how {
                entry::Ended::Refused { .. } if self.tokens[req] > 0 => {
                    self.fates[req].failed = true;
                }
                entry::Ended::Refused { retry_after } => {
                    self.fates[req].refused = Some(self.now);
                    self.fates[req].retry_after = Some(retry_after);
                }
                entry::Ended::Failed => self.fates[req].failed = true,
            }
        }
    }

    fn serve(&mut self) {
        let mut reports = std::mem::take(&mut self.restarts);
        for server in &mut self.servers {
            server.tick(self.now, STEP, &mut reports);
        }
        for report in reports {
            let (req, now) = (report.run.req, self.now);
            self.tokens[req] = report.tokens;
            let fate = &mut self.fates[req];
            match report.kind {
                server::Kind::First => fate.first = fate.first.or(Some(now)),
                server::Kind::Whole => fate.whole = Some(now),
                server::Kind::Broken => {}
            }
            if report.kind != server::Kind::First {
                self.place[req] = None;
            }
            self.with_entry(report.run.entry, |entry, cx| entry.hear(&report, cx));
        }
        if self.now.as_millis().is_multiple_of(LAG.as_millis()) {
            self.lagged = self.servers.iter().map(server::Server::in_flight).collect();
        }
    }

    /// Callers whose deadline has passed go away.
    fn leave(&mut self) {
        for at in 0..self.fates.len() {
            let (req, fate) = (&self.trace.requests[at], &self.fates[at]);
            let over = fate.whole.is_some() || fate.refused.is_some() || fate.failed || fate.gone;
            if over || self.now < req.at + req.deadline {
                continue;
            }
            self.fates[at].gone = true;
            let place = self.place[at].take();
            if let Some(server) = place {
                self.servers[server].cancel(at, self.now);
            }
            self.with_entry(self.owner[at], |entry, cx| entry.gone(at, place, cx));
        }
    }

    fn event(&mut self, event: &trace::Event) {
        let zone = |server: &server::Server| server.zone.as_str() == event.name;
        let (servers, now) = (&mut self.servers, self.now);
        match event.what {
            trace::What::ZoneOut | trace::What::ZoneIn => {
                let allowed = event.what == trace::What::ZoneIn;
                let named = servers.iter().filter(|server| zone(server)).map(|server| server.at);
                for server in named.collect::<Vec<_>>() {
                    self.order(server, allowed);
                }
            }
            trace::What::ZoneStop => {
                let named = servers.iter_mut().filter(|server| zone(server));
                named.for_each(|server| server.die(now, &mut self.restarts));
            }
            trace::What::Restart => {
                let named = servers.iter_mut().filter(|server| server.name.as_str() == event.name);
                named.for_each(|server| server.die(now, &mut self.restarts));
            }
            trace::What::Cool => {
                let named = servers.iter_mut().filter(|server| server.name.as_str() == event.name);
                named.for_each(server::Server::cool);
            }
        }
    }

    /// Spreads an order: each process has it in force at its own time.
    fn order(&mut self, server: usize, allowed: bool) {
        for process in 0..=ENTRIES {
            let delay = SPREAD * process as u32 / ENTRIES as u32;
            let key = (self.now + delay, process * SERVERS + server);
            self.orders.insert(key, (server, allowed));
        }
    }

    fn orders(&mut self) {
        while let Some(order) = self.orders.first_entry().filter(|order| order.key().0 <= self.now)
        {
            let ((_, key), (server, allowed)) = order.remove_entry();
            let process = key / SERVERS;
            match process {
                ENTRIES => self.servers[server].drain(!allowed),
                _ => {
                    let name = self.servers[server].name.clone();
                    self.entries[process].allow(server, &name, allowed);
                }
            }
        }
    }
}
