//! Simulated entry that runs the policies of this crate or one of the baselines.

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

/// Baseline rule for choosing a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Baseline {
    /// Chooses each server in turn.
    RoundRobin,
    /// Chooses the server with the fewest requests of this entry in flight.
    LeastInFlight,
    /// Chooses the less loaded of two random servers by loads that are up to 500 ms old.
    TwoChoices,
}

/// Policy that an entry runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The policies of this crate.
    Knapweedford,
    /// A baseline whose servers have no gate and admit every request while they run.
    Ungated(Baseline),
    /// A baseline that queues requests in order of arrival while the servers' gates refuse them.
    Gated(Baseline),
}

impl Policy {
    /// All policies that are compared.
    pub const ALL: [Self; 7] = [
        Self::Knapweedford,
        Self::Gated(Baseline::RoundRobin),
        Self::Gated(Baseline::LeastInFlight),
        Self::Gated(Baseline::TwoChoices),
        Self::Ungated(Baseline::RoundRobin),
        Self::Ungated(Baseline::LeastInFlight),
        Self::Ungated(Baseline::TwoChoices),
    ];

    /// Returns the name that tables show.
    pub fn name(self) -> &'static str {
        match self {
            Self::Knapweedford => "knapweedford",
            Self::Gated(Baseline::RoundRobin) => "round robin + gate",
            Self::Gated(Baseline::LeastInFlight) => "least in flight + gate",
            Self::Gated(Baseline::TwoChoices) => "two choices + gate",
            Self::Ungated(Baseline::RoundRobin) => "round robin",
            Self::Ungated(Baseline::LeastInFlight) => "least in flight",
            Self::Ungated(Baseline::TwoChoices) => "two choices",
        }
    }

    /// Returns whether servers admit requests through the sidecar's gate.
    pub fn is_gated(self) -> bool {
        !matches!(self, Self::Ungated(_))
    }
}

/// Ending of a request that an entry does not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The entry refused the request; no server ran it.
    Refused { retry_after: time::Duration },
    /// The entry gave the request up after a server had run a part of it.
    Failed,
}

/// State of the simulation that an entry reads and changes.
pub struct Context<'a> {
    pub now: time::Duration,
    pub trace: &'a trace::Trace,
    pub servers: &'a mut Vec<server::Server>,
    /// Requests in flight at each server as of the last broadcast; baselines read it.
    pub lagged_in_flight: &'a [usize],
    /// Tokens that the caller of each request has received.
    pub received_tokens: &'a [u32],
    /// Index of the server that runs each request.
    pub assigned_server: &'a mut Vec<Option<usize>>,
    /// Endings by index of the request.
    pub endings: &'a mut Vec<(usize, Ending)>,
}

/// One simulated entry; the vectors are indexed by server, except `retries` by request.
pub struct Entry {
    index: usize,
    policy: Policy,
    rng: rand_pcg::Pcg64Mcg,
    server_out: Vec<bool>,
    /// Requests of this entry in flight at each server.
    in_flight: Vec<u32>,
    /// Counter that rotates the choices of the baselines; it starts at the entry's index, so that
    /// entries begin with different servers.
    rotation: usize,
    /// Queue of the baselines.
    fifo: VecDeque<usize>,
    scheduler: scheduler::Scheduler<usize>,
    budget: budget::RetryBudget,
    retries: Vec<retry::RetryState>,
    tickets: BTreeMap<usize, scheduler::Ticket>,
}

impl Entry {
    /// Creates an entry that knows every server and its load.
    pub fn new(
        index: usize,
        policy: Policy,
        servers: &[server::Server],
        requests: usize,
        seed: u64,
    ) -> Self {
        let host = name::Host::new(format!("entry-{index}"));
        let limits = config::Limits::default();
        let zone = &servers[index].zone;
        let mut scheduler = scheduler::Scheduler::new(&host, zone, &limits, seed + index as u64);
        for server in servers {
            scheduler.candidates_mut().add(&server.name, &server.zone);
            scheduler.candidates_mut().record_load(
                &server.name,
                &server.load(),
                time::Duration::ZERO,
            );
        }
        Self {
            index,
            policy,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed + index as u64),
            server_out: vec![false; servers.len()],
            in_flight: vec![0; servers.len()],
            rotation: index,
            fifo: VecDeque::new(),
            scheduler,
            budget: budget::RetryBudget::new(time::Duration::ZERO),
            retries: vec![retry::RetryState::new(true); requests],
            tickets: BTreeMap::new(),
        }
    }

    /// Records that operators have taken a server out or brought it back in.
    pub fn set_allowed(&mut self, server: usize, name: &name::Server, allowed: bool) {
        self.server_out[server] = !allowed;
        self.scheduler.candidates_mut().set_allowed(name, allowed);
    }

    /// Queues a new request.
    pub fn accept(&mut self, req: usize, cx: &mut Context<'_>) {
        match self.policy {
            Policy::Knapweedford => {
                self.budget.record_first_attempt(cx.now);
                self.enqueue(req, scheduler::Submission::New, Vec::new(), cx);
            }
            _ => self.fifo.push_back(req),
        }
    }

    /// Sends the queued requests that servers admit and refuses those that cannot start in time.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        match self.policy {
            Policy::Knapweedford => {
                for refused in self.scheduler.expire(cx.now) {
                    record_refusal(&refused, cx);
                }
                self.dispatch(cx);
            }
            Policy::Gated(baseline) | Policy::Ungated(baseline) => self.tick_baseline(baseline, cx),
        }
    }

    /// Handles a server's report about a request of this entry.
    pub fn handle_report(&mut self, report: &server::Report, cx: &mut Context<'_>) {
        let req = report.attempt.req;
        if report.kind != server::ReportKind::FirstToken {
            self.in_flight[report.server] -= 1;
        }
        match self.policy {
            Policy::Knapweedford => self.record_report(report, cx),
            _ if report.kind == server::ReportKind::Broken => self.fifo.push_front(req),
            _ => {}
        }
    }

    fn record_report(&mut self, report: &server::Report, cx: &mut Context<'_>) {
        let req = report.attempt.req;
        let Some(ticket) = self.tickets.get(&req).cloned() else { return };
        if report.kind == server::ReportKind::FirstToken {
            return self.scheduler.record_progress(&ticket, &report.load, cx.now);
        }
        self.tickets.remove(&req);
        match report.kind {
            server::ReportKind::Completed => {
                self.scheduler.record_completion(&ticket, &report.load, cx.now)
            }
            _ => {
                self.scheduler.record_failure(&ticket, cx.now);
                self.handle_broken_attempt(req, report.received_tokens, ticket.server, cx);
            }
        }
    }

    /// Drops a request whose caller has disconnected.
    pub fn cancel(&mut self, req: usize, server: Option<usize>, cx: &mut Context<'_>) {
        self.fifo.retain(|queued| *queued != req);
        self.scheduler.remove_matching(|queued| *queued == req);
        if let Some(server) = server {
            self.in_flight[server] -= 1;
        }
        if let Some(ticket) = self.tickets.remove(&req) {
            self.scheduler.record_cancellation(&ticket, cx.now);
        }
    }

    fn enqueue(
        &mut self,
        req: usize,
        submission: scheduler::Submission,
        tried: Vec<name::Server>,
        cx: &mut Context<'_>,
    ) {
        let rec = &cx.trace.requests[req];
        let job = scheduler::Job {
            id: wire::RequestId(req as u128),
            workspace: rec.workspace.clone(),
            weight: 1,
            priority: rec.priority,
            cost: u64::from(rec.answer_tokens - cx.received_tokens[req].min(rec.answer_tokens))
                .max(1),
            arrived_at: rec.arrived_at,
            deadline: rec.arrived_at + rec.deadline,
            prefix: rec.prefix_keys(),
            tried,
            submission,
            request: req,
        };
        if let Some(refused) = self.scheduler.push(job, cx.now) {
            record_refusal(&refused, cx);
        }
    }

    /// Sends or refuses queued requests until the scheduler has no decision left.
    fn dispatch(&mut self, cx: &mut Context<'_>) {
        while let Some(dispatch) = self.scheduler.dispatch_next(cx.now) {
            match dispatch {
                scheduler::Dispatch::Refuse(refused) => record_refusal(&refused, cx),
                scheduler::Dispatch::Send(req, ticket, _) => self.send(req, ticket, cx),
            }
        }
    }

    fn send(&mut self, req: usize, ticket: scheduler::Ticket, cx: &mut Context<'_>) {
        let server = self.server_index(&ticket.server, cx);
        let attempt = self.new_attempt(req, cx);
        match cx.servers[server].admit(attempt, &cx.trace.requests[req], cx.now) {
            Ok(()) => {
                self.in_flight[server] += 1;
                cx.assigned_server[req] = Some(server);
                self.scheduler.record_admission(&ticket, &cx.servers[server].load(), cx.now);
                self.tickets.insert(req, ticket);
            }
            Err(refusal) => {
                let (load, retry_after) = (cx.servers[server].load(), refusal.retry_after);
                self.scheduler.record_refusal(&ticket, refusal.reason, &load, retry_after, cx.now);
                self.handle_refusal(req, refusal, ticket, cx);
            }
        }
    }

    fn handle_refusal(
        &mut self,
        req: usize,
        refusal: gate::Refusal,
        ticket: scheduler::Ticket,
        cx: &mut Context<'_>,
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
        match self.decide_retry(req, retry::Failure::Refused(reason), cx) {
            retry::Action::Fail(wire::Ran::No) => {
                cx.endings.push((req, Ending::Refused { retry_after }));
            }
            retry::Action::Fail(_) => cx.endings.push((req, Ending::Failed)),
            _ => self.enqueue(req, submission, tried, cx),
        }
    }

    fn handle_broken_attempt(
        &mut self,
        req: usize,
        received_tokens: u32,
        server: name::Server,
        cx: &mut Context<'_>,
    ) {
        let failure = match received_tokens {
            0 => retry::Failure::ConnectionLost,
            _ => retry::Failure::ServerFailed(wire::Ran::Yes),
        };
        match self.decide_retry(req, failure, cx) {
            retry::Action::Fail(_) => cx.endings.push((req, Ending::Failed)),
            _ => self.enqueue(req, scheduler::Submission::Started, vec![server], cx),
        }
    }

    fn decide_retry(
        &mut self,
        req: usize,
        failure: retry::Failure,
        cx: &Context<'_>,
    ) -> retry::Action {
        let rec = &cx.trace.requests[req];
        let time_left = (rec.arrived_at + rec.deadline).saturating_sub(cx.now);
        let collected = collect_tokens(cx.received_tokens[req]);
        self.retries[req].decide(failure, &collected, time_left, &mut self.budget, cx.now)
    }

    fn new_attempt(&self, req: usize, cx: &Context<'_>) -> server::Attempt {
        server::Attempt { entry: self.index, req, received_tokens: cx.received_tokens[req] }
    }

    fn server_index(&self, server: &name::Server, cx: &Context<'_>) -> usize {
        cx.servers.iter().position(|other| other.name == *server).unwrap_or(0)
    }

    fn tick_baseline(&mut self, baseline: Baseline, cx: &mut Context<'_>) {
        let mut eligible: Vec<_> =
            (0..self.server_out.len()).filter(|server| !self.server_out[*server]).collect();
        while let Some(req) = self.fifo.pop_front() {
            let Some(server) = self.choose_server(baseline, &eligible, cx) else {
                return self.fifo.push_front(req);
            };
            let attempt = self.new_attempt(req, cx);
            match cx.servers[server].admit(attempt, &cx.trace.requests[req], cx.now) {
                Ok(()) => {
                    self.in_flight[server] += 1;
                    cx.assigned_server[req] = Some(server);
                }
                Err(_) => {
                    eligible.retain(|other| *other != server);
                    self.fifo.push_front(req);
                }
            }
        }
    }

    /// Chooses one of the `eligible` servers, those that are not out and have not refused a
    /// request in this tick.
    fn choose_server(
        &mut self,
        baseline: Baseline,
        eligible: &[usize],
        cx: &Context<'_>,
    ) -> Option<usize> {
        self.rotation += 1;
        match baseline {
            _ if eligible.is_empty() => None,
            Baseline::RoundRobin => Some(eligible[self.rotation % eligible.len()]),
            Baseline::LeastInFlight => {
                let order = |server: &usize| {
                    (self.in_flight[*server], (server + self.rotation) % self.server_out.len())
                };
                eligible.iter().copied().min_by_key(order)
            }
            Baseline::TwoChoices => {
                let a = eligible[self.rng.random_range(0..eligible.len())];
                let b = eligible[self.rng.random_range(0..eligible.len())];
                Some(if cx.lagged_in_flight[a] <= cx.lagged_in_flight[b] { a } else { b })
            }
        }
    }
}

fn record_refusal(refused: &scheduler::Refused<usize>, cx: &mut Context<'_>) {
    let retry_after = refused.retry_after;
    cx.endings.push((refused.request, Ending::Refused { retry_after }));
}

/// Returns a collector that has received `tokens` events of one byte each.
fn collect_tokens(tokens: u32) -> collector::Collector {
    let id = wire::RequestId(1);
    let mut collector = collector::Collector::new(id, 1);
    let (events, data) = (u64::from(tokens), vec![0; tokens as usize]);
    collector.receive(1, wire::Reply::Piece { id, offset: 0, events, data });
    collector
}
