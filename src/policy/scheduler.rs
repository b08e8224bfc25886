//! Queue, routing and refusals of one service at one entry, put together.
//!
//! A request is pushed, waits in the fair queue, and is placed or refused by
//! [`Scheduler::dispatch_next`] and [`Scheduler::expire`]. What its attempt shows comes
//! back with the [`Ticket`] of its placement.

use std::time;

use rand::SeedableRng as _;

use crate::{
    config, name,
    policy::{candidates, decision, eject, estimate, prefix, queue, recent, route},
    wire,
};

/// Time after which a begun request may go back to a server that it has been to.
const SAME_SERVER_DELAY: time::Duration = time::Duration::from_millis(50);

/// How often a request has been placed before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submission {
    /// Never.
    New,
    /// A server refused it, so it keeps its place.
    Requeued {
        /// Cost queued before it when it came, in tokens.
        cost_ahead: u64,
    },
    /// A server may have begun it, so it goes before all others.
    Started,
}

/// A request that wants a server.
#[derive(Clone, Debug)]
pub struct Job<T> {
    /// The request's identity.
    pub id: wire::RequestId,
    /// Its workspace.
    pub workspace: name::Workspace,
    /// Weight of the workspace.
    pub weight: u32,
    /// Interactive or batch.
    pub priority: config::Priority,
    /// What it costs, in tokens.
    pub cost: u64,
    /// When it came.
    pub arrived_at: time::Duration,
    /// When its caller stops waiting.
    pub deadline: time::Duration,
    /// Prefixes of its prompt.
    pub prefix: prefix::PrefixKeys,
    /// Servers that it should not go to again.
    pub tried: Vec<name::Server>,
    /// How often it has been placed before.
    pub submission: Submission,
    /// The request, or a key to it.
    pub request: T,
}

/// A request on its way to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The server.
    pub server: name::Server,
    /// What the request costs, in tokens.
    pub cost: u64,
    /// Cost queued before it when it came, in tokens.
    pub cost_ahead: u64,
    /// When it came.
    pub arrived_at: time::Duration,
    /// When it was placed.
    pub placed_at: time::Duration,
}

/// Why a request is given up on; it goes nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Its deadline cannot be met.
    Late,
    /// The queue is full.
    QueueFull,
    /// No server may have new work.
    NoServer,
}

/// A request given up on, to be answered now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused<T> {
    /// The request.
    pub request: T,
    /// Why.
    pub cause: Cause,
    /// When a request like it is expected to fit.
    pub retry_after: time::Duration,
}

/// What became of the request whose turn it was.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dispatch<T> {
    /// It goes to a server.
    Send(T, Ticket, decision::Reason),
    /// It is given up on.
    Refuse(Refused<T>),
}

#[derive(Debug)]
struct Queued<T> {
    id: wire::RequestId,
    prefix: prefix::PrefixKeys,
    tried: Vec<name::Server>,
    started: bool,
    queued_at: time::Duration,
    request: T,
}

/// The decisions of one entry about the requests of one service.
#[derive(Debug)]
pub struct Scheduler<T> {
    zone: name::Zone,
    rng: rand_pcg::Pcg64Mcg,
    candidates: candidates::CandidateSet,
    queue: queue::FairQueue<Queued<T>>,
    estimator: estimate::Estimator,
    failures: eject::FailureTracker,
    recent: recent::RecentDecisions,
    blocked: Option<decision::Decision>,
    /// Requests placed whose end was not heard yet.
    in_flight: u32,
}

impl<T> Scheduler<T> {
    /// A scheduler without servers, of the entry on `host` in `zone`.
    pub fn new(host: &name::Host, zone: &name::Zone, limits: &config::Limits, seed: u64) -> Self {
        Self {
            zone: zone.clone(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            candidates: candidates::CandidateSet::new(host),
            queue: queue::FairQueue::new(
                limits.queue_per_entry as usize,
                limits.batch_floor_percent,
            ),
            estimator: estimate::Estimator::new(),
            failures: eject::FailureTracker::new(),
            recent: recent::RecentDecisions::new(),
            blocked: None,
            in_flight: 0,
        }
    }

    /// Takes other limits into force.
    pub fn set_limits(&mut self, limits: &config::Limits) {
        self.queue.set_limits(limits.queue_per_entry as usize, limits.batch_floor_percent);
    }

    /// The servers.
    pub fn candidates(&self) -> &candidates::CandidateSet {
        &self.candidates
    }

    /// The servers, to add, remove or allow some.
    pub fn candidates_mut(&mut self) -> &mut candidates::CandidateSet {
        &mut self.candidates
    }

    /// Requests queued.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Cost queued, in tokens.
    pub fn queued_cost(&self) -> u64 {
        self.queue.queued_cost()
    }

    /// Workspaces of which something is remembered.
    pub fn active_workspaces(&self) -> usize {
        self.queue.active_workspaces()
    }

    /// The last decisions.
    pub fn recent_decisions(&self) -> &recent::RecentDecisions {
        &self.recent
    }

    /// Why the request whose turn it is waits.
    pub fn blocked(&self) -> Option<&decision::Decision> {
        self.blocked.as_ref()
    }

    /// Queues `job`; gives a request that is given up on for it.
    pub fn push(&mut self, job: Job<T>, now: time::Duration) -> Option<Refused<T>> {
        self.candidates.expire_full_reports(now);
        let Job { weight, submission, .. } = job;
        let mut item = queue_item(job, now);
        match submission {
            Submission::Started => self.queue.push_started(item),
            Submission::Requeued { cost_ahead } => {
                item.cost_ahead = cost_ahead;
                self.queue.put_back(item, weight);
            }
            Submission::New => {
                item.cost_ahead = self.queue.cost_ahead(&item.workspace, weight, item.priority);
                let left = item.deadline.saturating_sub(now);
                match self.estimator.check_deadline(item.cost, item.cost_ahead, left) {
                    Err(late) if self.in_flight > 0 => {
                        return Some(refuse(item, Cause::Late, late.retry_after));
                    }
                    _ => return self.enqueue(item, weight),
                }
            }
        }
        None
    }

    fn enqueue(&mut self, item: queue::Item<Queued<T>>, weight: u32) -> Option<Refused<T>> {
        let retry_after = self.estimator.retry_after(self.queue.queued_cost());
        match self.queue.push(item, weight) {
            queue::PushOutcome::Queued => None,
            queue::PushOutcome::Displaced(item) | queue::PushOutcome::Full(item) => {
                Some(refuse(item, Cause::QueueFull, retry_after))
            }
        }
    }

    /// Gives up on what cannot be answered in time any more.
    pub fn expire(&mut self, now: time::Duration) -> Vec<Refused<T>> {
        let (estimator, in_flight) = (&self.estimator, self.in_flight);
        let late = self.queue.remove_matching(|item| {
            let last = match item.value.started {
                true => item.deadline,
                false if in_flight == 0 => {
                    estimator.latest_start(0, item.arrived_at, item.deadline)
                }
                false => estimator.latest_start(item.cost, item.arrived_at, item.deadline),
            };
            now > last
        });
        let retry_after = self.estimator.retry_after(self.queue.queued_cost());
        late.into_iter().map(|item| refuse(item, Cause::Late, retry_after)).collect()
    }

    /// Drops the requests for which `matches` holds: their callers have gone.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) {
        self.queue.remove_matching(|item| matches(&item.value.request));
    }

    /// Places or gives up on the request whose turn it is; `None` if it waits.
    pub fn dispatch_next(&mut self, now: time::Duration) -> Option<Dispatch<T>> {
        let item = self.queue.peek()?;
        let (id, started) = (item.value.id, item.value.started);
        let decision =
            decide(&self.candidates, &self.zone, item, self.in_flight, now, &mut self.rng);
        match decision.outcome.clone() {
            decision::Outcome::Send { server, why } => {
                self.recent.push(recent::Routed { id: id.to_string(), decision });
                let item = self.queue.pop()?;
                Some(self.place(item, server, why, now))
            }
            decision::Outcome::Wait { why: decision::WaitReason::NoServer, retry_after }
                if !started =>
            {
                self.recent.push(recent::Routed { id: id.to_string(), decision });
                let item = self.queue.pop()?;
                Some(Dispatch::Refuse(refuse(item, Cause::NoServer, retry_after)))
            }
            decision::Outcome::Wait { .. } => {
                self.blocked = Some(decision);
                None
            }
        }
    }

    fn place(
        &mut self,
        item: queue::Item<Queued<T>>,
        server: name::Server,
        why: decision::Reason,
        now: time::Duration,
    ) -> Dispatch<T> {
        self.blocked = None;
        self.in_flight += 1;
        self.candidates.record_sent(&server, item.cost);
        self.candidates.record_prefix(&server, &item.value.prefix, now);
        let (cost, cost_ahead, arrived_at) = (item.cost, item.cost_ahead, item.arrived_at);
        let ticket = Ticket { server, cost, cost_ahead, arrived_at, placed_at: now };
        Dispatch::Send(item.value.request, ticket, why)
    }

    /// The server took the request.
    pub fn record_admission(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        self.estimator
            .record_wait(ticket.cost_ahead, ticket.placed_at.saturating_sub(ticket.arrived_at));
        self.record_progress(ticket, load, now);
    }

    /// The server works on the request.
    pub fn record_progress(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        self.candidates.record_load(&ticket.server, load, now);
    }

    /// The server refused the request, which did not run.
    pub fn record_refusal(
        &mut self,
        ticket: &Ticket,
        why: wire::Refusal,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.end_attempt(ticket);
        self.candidates.record_refusal(&ticket.server, load, retry_after, now);
        match why {
            wire::Refusal::WrongServer => self.record_fault(ticket, now),
            wire::Refusal::Unreachable
            | wire::Refusal::Full
            | wire::Refusal::Leaving
            | wire::Refusal::TooLate => {}
        }
    }

    /// The server answered whole.
    pub fn record_completion(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        let took = now.saturating_sub(ticket.placed_at);
        self.end_attempt(ticket);
        self.failures.record_success(&ticket.server);
        self.candidates.record_load(&ticket.server, load, now);
        self.candidates.record_completion(&ticket.server, ticket.cost, took);
        self.estimator.record_completion(ticket.cost, took);
    }

    /// The server broke off or could not be reached.
    pub fn record_failure(&mut self, ticket: &Ticket, now: time::Duration) {
        self.end_attempt(ticket);
        self.record_fault(ticket, now);
    }

    /// The caller has gone.
    pub fn record_cancellation(&mut self, ticket: &Ticket, now: time::Duration) {
        self.end_attempt(ticket);
        self.candidates.record_abandoned(
            &ticket.server,
            ticket.cost,
            now.saturating_sub(ticket.placed_at),
        );
    }

    fn end_attempt(&mut self, ticket: &Ticket) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.candidates.record_ended(&ticket.server, ticket.cost);
    }

    fn record_fault(&mut self, ticket: &Ticket, now: time::Duration) {
        self.failures.record_failure(&mut self.candidates, &ticket.server, now);
    }
}

/// Decides about `item`. With nothing `in_flight`, how long requests take is not
/// known any more, and one goes out to find it.
fn decide<T>(
    candidates: &candidates::CandidateSet,
    zone: &name::Zone,
    item: &queue::Item<Queued<T>>,
    in_flight: u32,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Decision {
    let left = match in_flight {
        0 => time::Duration::MAX,
        _ => item.deadline.saturating_sub(now),
    };
    let mut req = route::Request {
        zone,
        prefix: &item.value.prefix,
        tokens: item.cost,
        left,
        priority: item.priority,
        tried: &item.value.tried,
    };
    let decision = route::choose_server(candidates, &req, now, rng);
    match decision.outcome {
        decision::Outcome::Wait { why: decision::WaitReason::NoServer, .. }
            if item.value.started && now >= item.value.queued_at + SAME_SERVER_DELAY =>
        {
            req.tried = &[];
            route::choose_server(candidates, &req, now, rng)
        }
        _ => decision,
    }
}

fn queue_item<T>(job: Job<T>, now: time::Duration) -> queue::Item<Queued<T>> {
    let started = job.submission == Submission::Started;
    let (id, prefix, tried, request) = (job.id, job.prefix, job.tried, job.request);
    queue::Item {
        workspace: job.workspace,
        priority: job.priority,
        cost: job.cost,
        arrived_at: job.arrived_at,
        cost_ahead: 0,
        deadline: job.deadline,
        value: Queued { id, prefix, tried, started, queued_at: now, request },
    }
}

fn refuse<T>(
    item: queue::Item<Queued<T>>,
    cause: Cause,
    retry_after: time::Duration,
) -> Refused<T> {
    Refused { request: item.value.request, cause, retry_after }
}
