//! The entry's part of the model: our policies, or one of the baselines.

use std::{
    collections::{BTreeMap, VecDeque},
    time,
};

use knapweedford::{
    config, name,
    policy::{budget, collector, gate, retry, scheduler},
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
    policy: Policy,
    rng: rand_pcg::Pcg64Mcg,
    out: Vec<bool>,
    own: Vec<u32>,
    turn: usize,
    fifo: VecDeque<usize>,
    scheduler: scheduler::Scheduler<usize>,
    budget: budget::RetryBudget,
    retries: Vec<retry::RetryState>,
    tickets: BTreeMap<usize, scheduler::Ticket>,
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
        let host = name::Host::new(format!("entry-{at}"));
        let limits = config::Limits::default();
        let zone = &servers[at].zone;
        let mut scheduler = scheduler::Scheduler::new(&host, zone, &limits, seed + at as u64);
        for server in servers {
            scheduler.candidates_mut().add(&server.name, &server.zone);
            scheduler.candidates_mut().record_load(
                &server.name,
                &server.load(),
                time::Duration::ZERO,
            );
        }
        Self {
            at,
            policy,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed + at as u64),
            out: vec![false; servers.len()],
            own: vec![0; servers.len()],
            turn: at,
            fifo: VecDeque::new(),
            scheduler,
            budget: budget::RetryBudget::new(time::Duration::ZERO),
            retries: vec![retry::RetryState::new(true); requests],
            tickets: BTreeMap::new(),
        }
    }

    /// Learns that a server is out or back in.
    pub fn allow(&mut self, server: usize, name: &name::Server, allowed: bool) {
        self.out[server] = !allowed;
        self.scheduler.candidates_mut().set_allowed(name, allowed);
    }

    /// Takes a new request.
    pub fn arrive(&mut self, req: usize, cx: &mut Cx<'_>) {
        match self.policy {
            Policy::Ours => {
                self.budget.record_first_attempt(cx.now);
                self.push(req, scheduler::Submission::New, Vec::new(), cx);
            }
            _ => self.fifo.push_back(req),
        }
    }

    /// Sends what can be sent; answers what cannot be in time.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        match self.policy {
            Policy::Ours => {
                for refused in self.scheduler.expire(cx.now) {
                    end(&refused, cx);
                }
                self.dispatch(cx);
            }
            Policy::Gated(baseline) | Policy::Bare(baseline) => self.tick_baseline(baseline, cx),
        }
    }

    /// Takes a report of a server about a request of this entry.
    pub fn hear(&mut self, report: &server::Report, cx: &mut Cx<'_>) {
        let req = report.run.req;
        if report.kind != server::Kind::First {
            self.own[report.server] -= 1;
        }
        match self.policy {
            Policy::Ours => self.note(report, cx),
            _ if report.kind == server::Kind::Broken => self.fifo.push_front(req),
            _ => {}
        }
    }

    fn note(&mut self, report: &server::Report, cx: &mut Cx<'_>) {
        let req = report.run.req;
        let Some(ticket) = self.tickets.get(&req).cloned() else { return };
        if report.kind == server::Kind::First {
            return self.scheduler.record_progress(&ticket, &report.load, cx.now);
        }
        self.tickets.remove(&req);
        match report.kind {
            server::Kind::Whole => self.scheduler.record_completion(&ticket, &report.load, cx.now),
            _ => {
                self.scheduler.record_failure(&ticket, cx.now);
                self.broken(req, report.tokens, ticket.server, cx);
            }
        }
    }

    /// A caller has gone; whoever has the request drops it.
    pub fn gone(&mut self, req: usize, server: Option<usize>, cx: &mut Cx<'_>) {
        self.fifo.retain(|queued| *queued != req);
        self.scheduler.remove_matching(|queued| *queued == req);
        if let Some(server) = server {
            self.own[server] -= 1;
        }
        if let Some(ticket) = self.tickets.remove(&req) {
            self.scheduler.record_cancellation(&ticket, cx.now);
        }
    }

    fn push(
        &mut self,
        req: usize,
        submission: scheduler::Submission,
        tried: Vec<name::Server>,
        cx: &mut Cx<'_>,
    ) {
        let rec = &cx.trace.requests[req];
        let job = scheduler::Job {
            id: wire::RequestId(req as u128),
            workspace: rec.workspace.clone(),
            weight: 1,
            priority: rec.priority,
            cost: u64::from(rec.answer - cx.tokens[req].min(rec.answer)).max(1),
            arrived_at: rec.at,
            deadline: rec.at + rec.deadline,
            prefix: rec.chain(),
            tried,
            submission,
            request: req,
        };
        if let Some(refused) = self.scheduler.push(job, cx.now) {
            end(&refused, cx);
        }
    }

    /// Places all that can be placed now.
    fn dispatch(&mut self, cx: &mut Cx<'_>) {
        while let Some(step) = self.scheduler.dispatch_next(cx.now) {
            match step {
                scheduler::Dispatch::Refuse(refused) => end(&refused, cx),
                scheduler::Dispatch::Send(req, ticket, _) => self.send(req, ticket, cx),
            }
        }
    }

    fn send(&mut self, req: usize, ticket: scheduler::Ticket, cx: &mut Cx<'_>) {
        let at = self.index(&ticket.server, cx);
        let sent = self.attempt(req, cx);
        match cx.servers[at].send(sent, &cx.trace.requests[req], cx.now) {
            Ok(()) => {
                self.own[at] += 1;
                cx.place[req] = Some(at);
                self.scheduler.record_admission(&ticket, &cx.servers[at].load(), cx.now);
                self.tickets.insert(req, ticket);
            }
            Err(refusal) => {
                let (load, after) = (cx.servers[at].load(), refusal.retry_after);
                self.scheduler.record_refusal(&ticket, refusal.reason, &load, after, cx.now);
                self.again(req, refusal, ticket, cx);
            }
        }
    }

    fn again(
        &mut self,
        req: usize,
        refusal: gate::Refusal,
        ticket: scheduler::Ticket,
        cx: &mut Cx<'_>,
    ) {
        let gate::Refusal { reason, retry_after } = refusal;
        let tried = match reason {
            wire::Refusal::Full => Vec::new(),
            _ => vec![ticket.server],
        };
        let submission = match self.retries[req].ran() {
            wire::Ran::No => scheduler::Submission::Requeued { cost_ahead: ticket.cost_ahead },
            _ => scheduler::Submission::Started,
        };
        match self.judge(req, retry::Failure::Refused(reason), cx) {
            retry::Action::Fail(wire::Ran::No) => {
                cx.ended.push((req, Ended::Refused { retry_after }));
            }
            retry::Action::Fail(_) => cx.ended.push((req, Ended::Failed)),
            _ => self.push(req, submission, tried, cx),
        }
    }

    fn broken(&mut self, req: usize, tokens: u32, server: name::Server, cx: &mut Cx<'_>) {
        let failure = match tokens {
            0 => retry::Failure::ConnectionLost,
            _ => retry::Failure::ServerFailed(wire::Ran::Yes),
        };
        match self.judge(req, failure, cx) {
            retry::Action::Fail(_) => cx.ended.push((req, Ended::Failed)),
            _ => self.push(req, scheduler::Submission::Started, vec![server], cx),
        }
    }

    fn judge(&mut self, req: usize, failure: retry::Failure, cx: &Cx<'_>) -> retry::Action {
        let rec = &cx.trace.requests[req];
        let left = (rec.at + rec.deadline).saturating_sub(cx.now);
        let collected = collected(cx.tokens[req]);
        self.retries[req].decide(failure, &collected, left, &mut self.budget, cx.now)
    }

    fn attempt(&self, req: usize, cx: &Cx<'_>) -> server::Sent {
        server::Sent { entry: self.at, req, resume: cx.tokens[req] }
    }

    fn index(&self, server: &name::Server, cx: &Cx<'_>) -> usize {
        cx.servers.iter().position(|other| other.name == *server).unwrap_or(0)
    }

    fn tick_baseline(&mut self, baseline: Baseline, cx: &mut Cx<'_>) {
        let mut open: Vec<_> = (0..self.out.len()).filter(|at| !self.out[*at]).collect();
        while let Some(req) = self.fifo.pop_front() {
            let Some(at) = self.choose(baseline, &open, cx) else {
                return self.fifo.push_front(req);
            };
            let sent = self.attempt(req, cx);
            match cx.servers[at].send(sent, &cx.trace.requests[req], cx.now) {
                Ok(()) => {
                    self.own[at] += 1;
                    cx.place[req] = Some(at);
                }
                Err(_) => {
                    open.retain(|other| *other != at);
                    self.fifo.push_front(req);
                }
            }
        }
    }

    /// Chooses among `open`, the servers that have not refused in this step.
    fn choose(&mut self, baseline: Baseline, open: &[usize], cx: &Cx<'_>) -> Option<usize> {
        self.turn += 1;
        match baseline {
            _ if open.is_empty() => None,
            Baseline::RoundRobin => Some(open[self.turn % open.len()]),
            Baseline::LeastInFlight => {
                let order = |at: &usize| (self.own[*at], (at + self.turn) % self.out.len());
                open.iter().copied().min_by_key(order)
            }
            Baseline::TwoChoices => {
                let a = open[self.rng.random_range(0..open.len())];
                let b = open[self.rng.random_range(0..open.len())];
                Some(if cx.lagged[a] <= cx.lagged[b] { a } else { b })
            }
        }
    }
}

fn end(refused: &scheduler::Refused<usize>, cx: &mut Cx<'_>) {
    let retry_after = refused.retry_after;
    cx.ended.push((refused.request, Ended::Refused { retry_after }));
}

/// What the caller has after `tokens` events of one byte.
fn collected(tokens: u32) -> collector::Collector {
    let id = wire::RequestId(1);
    let mut collect = collector::Collector::new(id, 1);
    let (events, data) = (u64::from(tokens), vec![0; tokens as usize]);
    collect.receive(1, wire::Reply::Piece { id, offset: 0, events, data });
    collect
}
