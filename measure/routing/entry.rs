//! The entry's part of the model: our policies, or one of the baselines.

use std::{collections::VecDeque, time};

use knapweedford::{
    name,
    policy::{budget, collect, eject, estimate, fair, retry, roster, route},
    wire,
};
use rand::{RngExt as _, SeedableRng as _};

use super::{server, trace};

/// How a baseline chooses a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Baseline {
    /// Each server in turn.
    RoundRobin,
    /// The server with the least requests of this entry in flight.
    LeastInFlight,
    /// The less loaded of two random ones, by load as it was up to 500 ms ago.
    TwoChoices,
}

/// What stands in an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The policies of this crate.
    Ours,
    /// A baseline that sends at once; servers have no gate.
    Bare(Baseline),
    /// A baseline with a queue in order of arrival; servers have our gate.
    Gated(Baseline),
}

impl Policy {
    /// All that are compared.
    pub const ALL: [Self; 7] = [
        Self::Ours,
        Self::Gated(Baseline::RoundRobin),
        Self::Gated(Baseline::LeastInFlight),
        Self::Gated(Baseline::TwoChoices),
        Self::Bare(Baseline::RoundRobin),
        Self::Bare(Baseline::LeastInFlight),
        Self::Bare(Baseline::TwoChoices),
    ];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "knapweedford",
            Self::Gated(Baseline::RoundRobin) => "round robin + gate",
            Self::Gated(Baseline::LeastInFlight) => "least in flight + gate",
            Self::Gated(Baseline::TwoChoices) => "two choices + gate",
            Self::Bare(Baseline::RoundRobin) => "round robin",
            Self::Bare(Baseline::LeastInFlight) => "least in flight",
            Self::Bare(Baseline::TwoChoices) => "two choices",
        }
    }

    /// Whether servers stand behind the sidecar's gate.
    pub fn gated(self) -> bool {
        !matches!(self, Self::Bare(_))
    }
}

/// What became of a request when an entry dealt with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// Refused; it did not run.
    Refused { retry_after: time::Duration },
    /// Given up after it had run in part.
    Failed,
}

/// Requests and servers, as an entry may touch them.
pub struct Cx<'a> {
    pub now: time::Duration,
    pub trace: &'a trace::Trace,
    pub servers: &'a mut Vec<server::Server>,
    /// Load of each server as it was at the last broadcast; for baselines.
    pub lagged: &'a [usize],
    /// Tokens that the caller of each request has.
    pub tokens: &'a [u32],
    /// Where each request is.
    pub place: &'a mut Vec<Option<usize>>,
    pub ended: &'a mut Vec<(usize, Ended)>,
}

/// One entry.
pub struct Entry {
    at: usize,
    zone: name::Zone,
    policy: Policy,
    rng: rand_pcg::Pcg64Mcg,
    out: Vec<bool>,
    own: Vec<u32>,
    turn: usize,
    fifo: VecDeque<usize>,
    roster: roster::Roster,
    fair: fair::Fair<usize>,
    estimate: estimate::Estimate,
    budget: budget::Budget,
    eject: eject::Eject,
    tried: Vec<Vec<name::Server>>,
    retries: Vec<retry::Retry>,
    sent: Vec<time::Duration>,
}

impl Entry {
    /// An entry that has heard of every server.
    pub fn new(
        at: usize,
        policy: Policy,
        servers: &[server::Server],
        requests: usize,
        seed: u64,
    ) -> Self {
        let mut roster = roster::Roster::new(&name::Host::new(format!("entry-{at}")));
        for server in servers {
            roster.join(&server.name, &server.zone);
            roster.report(&server.name, &server.load(), time::Duration::ZERO);
        }
        Self {
            at,
            zone: servers[at].zone.clone(),
            policy,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed + at as u64),
            out: vec![false; servers.len()],
            own: vec![0; servers.len()],
            turn: at,
            fifo: VecDeque::new(),
            roster,
            fair: fair::Fair::new(256, 10),
            estimate: estimate::Estimate::new(),
            budget: budget::Budget::new(time::Duration::ZERO),
            eject: eject::Eject::new(),
            tried: vec![Vec::new(); requests],
            retries: vec![retry::Retry::new(true); requests],
            sent: vec![time::Duration::ZERO; requests],
        }
    }

    /// Learns that a server is out or back in.
    pub fn allow(&mut self, server: usize, name: &name::Server, allowed: bool) {
        self.out[server] = !allowed;
        self.roster.allow(name, allowed);
    }

    /// Takes a new request.
    pub fn arrive(&mut self, req: usize, cx: &mut Cx<'_>) {
        match self.policy {
            Policy::Ours => self.queue(req, cx),
            _ => self.fifo.push_back(req),
        }
    }

    /// Sends what can be sent; answers what cannot be in time.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        match self.policy {
            Policy::Ours => {
                self.expire(cx);
                while self.dispatch(cx) {}
            }
            Policy::Gated(baseline) | Policy::Bare(baseline) => self.tick_baseline(baseline, cx),
        }
    }

    /// Takes a report of a server about a request of this entry.
    pub fn hear(&mut self, report: &server::Report, cx: &mut Cx<'_>) {
        let name = cx.servers[report.server].name.clone();
        let req = report.run.req;
        self.roster.report(&name, &report.load, cx.now);
        if report.kind == server::Kind::First {
            return;
        }
        self.own[report.server] -= 1;
        let cost = cost(&cx.trace.requests[req]);
        self.roster.ended(&name, cost);
        self.roster.report(&name, &report.load, cx.now);
        match report.kind {
            server::Kind::Whole => {
                self.eject.answered(&name);
                self.estimate.done(cost, cx.now - self.sent[req], cx.now);
            }
            _ => self.broken(req, report.tokens, &name, cx),
        }
    }

    /// A caller has gone; whoever has the request drops it.
    pub fn gone(&mut self, req: usize, server: Option<usize>, cx: &mut Cx<'_>) {
        self.fifo.retain(|queued| *queued != req);
        self.fair.sweep(|item| item.value == req);
        if let Some(server) = server {
            self.own[server] -= 1;
            self.roster.ended(&cx.servers[server].name, cost(&cx.trace.requests[req]));
        }
    }

    fn queue(&mut self, req: usize, cx: &mut Cx<'_>) {
        let rec = &cx.trace.requests[req];
        let item = item(req, rec);
        let ahead = self.fair.ahead(&rec.workspace, 1, rec.priority);
        self.budget.first(cx.now);
        if let Err(late) = self.estimate.fits(item.cost, ahead, rec.deadline, cx.now) {
            let retry_after = late.retry_after;
            return cx.ended.push((req, Ended::Refused { retry_after }));
        }
        let retry_after = self.estimate.retry_after(self.fair.cost(), cx.now);
        match self.fair.push(item, 1) {
            fair::Pushed::Queued => {}
            fair::Pushed::Displaced(old) => {
                cx.ended.push((old.value, Ended::Refused { retry_after }));
            }
            fair::Pushed::Full(_) => cx.ended.push((req, Ended::Refused { retry_after })),
        }
    }

    /// Answers at once what cannot be answered in time any more.
    fn expire(&mut self, cx: &mut Cx<'_>) {
        let (estimate, now) = (&self.estimate, cx.now);
        let swept = self.fair.sweep(|item| now + estimate.service(item.cost) > item.deadline);
        for item in swept {
            let retry_after = estimate.retry_after(self.fair.cost(), now);
            cx.ended.push((item.value, Ended::Refused { retry_after }));
        }
    }

    fn dispatch(&mut self, cx: &mut Cx<'_>) -> bool {
        let Some(item) = self.fair.peek() else { return false };
        let (req, cost) = (item.value, item.cost);
        let rec = &cx.trace.requests[req];
        let chain = rec.chain();
        let ask = route::Request {
            zone: &self.zone,
            prefix: &chain,
            priority: rec.priority,
            tried: &self.tried[req],
        };
        let decision = route::pick(&self.roster, &ask, cx.now, &mut self.rng);
        let Some(server) = decision.server().cloned() else {
            self.tried[req].clear();
            return false;
        };
        let at = self.index(&server, cx);
        let sent = self.attempt(req, cx);
        match cx.servers[at].send(sent, rec, cx.now) {
            Ok(()) => {
                self.fair.pop();
                self.own[at] += 1;
                cx.place[req] = Some(at);
                self.sent[req] = cx.now;
                self.roster.sent(&server, cost);
                self.roster.cached(&server, &chain, cx.now);
            }
            Err(refusal) => {
                let load = cx.servers[at].load();
                self.roster.refused(&server, &load, refusal.retry_after, cx.now);
                if refusal.why == wire::Refusal::Unreachable {
                    self.eject.failed(&mut self.roster, &server, cx.now);
                }
                self.tried[req].push(server);
            }
        }
        true
    }

    fn attempt(&self, req: usize, cx: &Cx<'_>) -> server::Sent {
        server::Sent { entry: self.at, req, resume: cx.tokens[req] }
    }

    fn index(&self, server: &name::Server, cx: &Cx<'_>) -> usize {
        cx.servers.iter().position(|other| other.name == *server).unwrap_or(0)
    }

    fn broken(&mut self, req: usize, tokens: u32, server: &name::Server, cx: &mut Cx<'_>) {
        let rec = &cx.trace.requests[req];
        if !matches!(self.policy, Policy::Ours) {
            return self.fifo.push_front(req);
        }
        self.eject.failed(&mut self.roster, server, cx.now);
        let left = (rec.at + rec.deadline).saturating_sub(cx.now);
        let failure = retry::Failure::Broken(wire::Ran::Yes);
        let collected = collected(tokens);
        match self.retries[req].judge(failure, &collected, left, &mut self.budget, cx.now) {
            retry::Verdict::Stop(_) => cx.ended.push((req, Ended::Failed)),
            _ => {
                self.tried[req] = vec![server.clone()];
                self.fair.put_back(item(req, rec), 1);
            }
        }
    }

    fn tick_baseline(&mut self, baseline: Baseline, cx: &mut Cx<'_>) {
        for _ in 0..self.fifo.len() {
            let Some(req) = self.fifo.pop_front() else { return };
            let Some(at) = self.choose(baseline, cx) else {
                return self.fifo.push_front(req);
            };
            let sent = self.attempt(req, cx);
            match cx.servers[at].send(sent, &cx.trace.requests[req], cx.now) {
                Ok(()) => {
                    self.own[at] += 1;
                    cx.place[req] = Some(at);
                }
                Err(_) => return self.fifo.push_front(req),
            }
        }
    }

    fn choose(&mut self, baseline: Baseline, cx: &Cx<'_>) -> Option<usize> {
        let open: Vec<_> = (0..self.out.len()).filter(|at| !self.out[*at]).collect();
        match baseline {
            _ if open.is_empty() => None,
            Baseline::RoundRobin => {
                self.turn += 1;
                Some(open[self.turn % open.len()])
            }
            Baseline::LeastInFlight => {
                self.turn += 1;
                let order = |at: &usize| (self.own[*at], (at + self.turn) % self.out.len());
                open.into_iter().min_by_key(order)
            }
            Baseline::TwoChoices => {
                let a = open[self.rng.random_range(0..open.len())];
                let b = open[self.rng.random_range(0..open.len())];
                Some(if cx.lagged[a] <= cx.lagged[b] { a } else { b })
            }
        }
    }
}

/// Cost of a request, in tokens generated.
fn cost(req: &trace::Request) -> u64 {
    u64::from(req.answer)
}

fn item(req: usize, rec: &trace::Request) -> fair::Item<usize> {
    fair::Item {
        workspace: rec.workspace.clone(),
        priority: rec.priority,
        cost: cost(rec),
        deadline: rec.at + rec.deadline,
        value: req,
    }
}

/// What the caller has after `tokens` events of one byte.
fn collected(tokens: u32) -> collect::Collect {
    let id = wire::RequestId(1);
    let mut collect = collect::Collect::new(id, 1);
    let (events, data) = (u64::from(tokens), vec![0; tokens as usize]);
    collect.take(1, wire::Reply::Piece { id, offset: 0, events, data });
    collect
}
