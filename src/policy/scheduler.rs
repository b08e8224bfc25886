//! Scheduler of one service at one entry: combines queueing, routing, ejection and refusals.
//!
//! A request is pushed, waits in the fair queue, and is dispatched or refused by
//! [`Scheduler::dispatch_next`] and [`Scheduler::expire`]. A dispatched request has a
//! [`Ticket`], with which the entry reports the progress and the end of the attempt.

use std::time;

use rand::SeedableRng as _;

use crate::{
    config, name,
    policy::{candidates, decision, eject, estimate, prefix, queue, recent, route},
    wire,
};

/// Time in the queue after which a started request may return to a server that it has tried.
const SAME_SERVER_DELAY: time::Duration = time::Duration::from_millis(50);

/// Whether and how a request has been dispatched before it is pushed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submission {
    /// The request is new.
    New,
    /// A server refused the request, which keeps its place in the queue.
    Requeued {
        /// Cost queued ahead of the request on arrival, in tokens.
        cost_ahead: u64,
    },
    /// A server may have started the request, which goes ahead of all others.
    Started,
}

/// Request to be scheduled.
#[derive(Clone, Debug)]
pub struct Job<T> {
    /// Request id.
    pub id: wire::RequestId,
    /// Workspace of the request.
    pub workspace: name::Workspace,
    /// Weight of the workspace in the fair queue.
    pub weight: u32,
    /// Priority of the request.
    pub priority: config::Priority,
    /// Cost of the request, in tokens.
    pub cost: u64,
    /// Arrival time of the request.
    pub arrived_at: time::Duration,
    /// Time at which the caller stops waiting.
    pub deadline: time::Duration,
    /// Keys of the prompt's prefixes.
    pub prefix: prefix::PrefixKeys,
    /// Servers that have already been tried.
    pub tried: Vec<name::Server>,
    /// Whether and how the request has been dispatched before.
    pub submission: Submission,
    /// The request itself, or a key to it.
    pub request: T,
}

/// Record of a dispatched request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Server that the request was sent to.
    pub server: name::Server,
    /// Cost of the request, in tokens.
    pub cost: u64,
    /// Cost queued ahead of the request on arrival, in tokens.
    pub cost_ahead: u64,
    /// Arrival time of the request.
    pub arrived_at: time::Duration,
    /// Time at which the request was dispatched.
    pub dispatched_at: time::Duration,
}

/// Reason why a request is refused without being dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The request cannot meet its deadline.
    Late,
    /// The queue is full.
    QueueFull,
    /// No server may get new requests.
    NoServer,
}

/// Refused request, to be answered immediately.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused<T> {
    /// The refused request.
    pub request: T,
    /// Reason of the refusal.
    pub cause: Cause,
    /// Delay after which a similar request is expected to be accepted.
    pub retry_after: time::Duration,
}

/// Result for the next request of the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dispatch<T> {
    /// The request is sent to the server of the ticket, for the given reason.
    Send(T, Ticket, decision::Reason),
    /// The request is refused.
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

/// Scheduler of the requests of one service at one entry.
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
    /// Dispatched requests whose end has not been recorded.
    in_flight: u32,
}

impl<T> Scheduler<T> {
    /// Creates a scheduler without servers for the entry on `host` in `zone`.
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

    /// Applies changed limits of the service.
    pub fn set_limits(&mut self, limits: &config::Limits) {
        self.queue.set_limits(limits.queue_per_entry as usize, limits.batch_floor_percent);
    }

    /// Returns the servers of the service.
    pub fn candidates(&self) -> &candidates::CandidateSet {
        &self.candidates
    }

    /// Returns the servers of the service for modification.
    pub fn candidates_mut(&mut self) -> &mut candidates::CandidateSet {
        &mut self.candidates
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the cost of the queued requests, in tokens.
    pub fn queued_cost(&self) -> u64 {
        self.queue.queued_cost()
    }

    /// Returns the number of workspaces with state in the queue.
    pub fn active_workspaces(&self) -> usize {
        self.queue.active_workspaces()
    }

    /// Returns the last routing decisions.
    pub fn recent_decisions(&self) -> &recent::RecentDecisions {
        &self.recent
    }

    /// Returns the last decision that made a request wait; `None` if a request was sent since.
    pub fn blocked(&self) -> Option<&decision::Decision> {
        self.blocked.as_ref()
    }

    /// Queues `job`; returns a request that is refused as a result, which may be another one.
    ///
    /// The deadline of a new request is checked only while requests are in flight: without any,
    /// the estimates may be outdated.
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
                let time_left = item.deadline.saturating_sub(now);
                match self.estimator.check_deadline(item.cost, item.cost_ahead, time_left) {
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

    /// Removes and refuses queued requests that can no longer meet their deadline.
    pub fn expire(&mut self, now: time::Duration) -> Vec<Refused<T>> {
        let (estimator, in_flight) = (&self.estimator, self.in_flight);
        let late = self.queue.remove_matching(|item| {
            let latest = match item.value.started {
                true => item.deadline,
                false if in_flight == 0 => {
                    estimator.latest_start(0, item.arrived_at, item.deadline)
                }
                false => estimator.latest_start(item.cost, item.arrived_at, item.deadline),
            };
            now > latest
        });
        let retry_after = self.estimator.retry_after(self.queue.queued_cost());
        late.into_iter().map(|item| refuse(item, Cause::Late, retry_after)).collect()
    }

    /// Drops the queued requests for which `matches` returns true, because their callers have
    /// disconnected.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) {
        self.queue.remove_matching(|item| matches(&item.value.request));
    }

    /// Dispatches or refuses the next request; returns `None` if it has to wait or the queue is
    /// empty.
    pub fn dispatch_next(&mut self, now: time::Duration) -> Option<Dispatch<T>> {
        let item = self.queue.peek()?;
        let (id, started) = (item.value.id, item.value.started);
        let decision =
            decide(&self.candidates, &self.zone, item, self.in_flight, now, &mut self.rng);
        match decision.outcome.clone() {
            decision::Outcome::Send { server, why } => {
                self.recent.push(recent::Routed { id: id.to_string(), decision });
                let item = self.queue.pop()?;
                Some(self.send_request(item, server, why, now))
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

    fn send_request(
        &mut self,
        item: queue::Item<Queued<T>>,
        server: name::Server,
        reason: decision::Reason,
        now: time::Duration,
    ) -> Dispatch<T> {
        self.blocked = None;
        self.in_flight += 1;
        self.candidates.record_sent(&server, item.cost);
        self.candidates.record_prefix(&server, &item.value.prefix, now);
        let (cost, cost_ahead, arrived_at) = (item.cost, item.cost_ahead, item.arrived_at);
        let ticket = Ticket { server, cost, cost_ahead, arrived_at, dispatched_at: now };
        Dispatch::Send(item.value.request, ticket, reason)
    }

    /// Records that the server admitted the request.
    pub fn record_admission(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        self.estimator
            .record_wait(ticket.cost_ahead, ticket.dispatched_at.saturating_sub(ticket.arrived_at));
        self.record_progress(ticket, load, now);
    }

    /// Records that the server is working on the request.
    pub fn record_progress(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        self.candidates.record_load(&ticket.server, load, now);
    }

    /// Records that the server's sidecar refused the request, which did not run.
    pub fn record_refusal(
        &mut self,
        ticket: &Ticket,
        reason: wire::Refusal,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.end_attempt(ticket);
        self.candidates.record_refusal(&ticket.server, load, retry_after, now);
        match reason {
            wire::Refusal::WrongServer => self.record_fault(ticket, now),
            wire::Refusal::Unreachable
            | wire::Refusal::Full
            | wire::Refusal::Leaving
            | wire::Refusal::TooLate => {}
        }
    }

    /// Records that the server sent a complete answer.
    pub fn record_completion(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        let elapsed = now.saturating_sub(ticket.dispatched_at);
        self.end_attempt(ticket);
        self.failures.record_success(&ticket.server);
        self.candidates.record_load(&ticket.server, load, now);
        self.candidates.record_completion(&ticket.server, ticket.cost, elapsed);
        self.estimator.record_completion(ticket.cost, elapsed);
    }

    /// Records that the server failed during the answer or could not be reached.
    pub fn record_failure(&mut self, ticket: &Ticket, now: time::Duration) {
        self.end_attempt(ticket);
        self.record_fault(ticket, now);
    }

    /// Records that the caller has disconnected.
    pub fn record_cancellation(&mut self, ticket: &Ticket, now: time::Duration) {
        self.end_attempt(ticket);
        self.candidates.record_abandoned(
            &ticket.server,
            ticket.cost,
            now.saturating_sub(ticket.dispatched_at),
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

/// Routes `item`. If no requests are `in_flight`, the measured service times may be
/// outdated, so the deadline is ignored and the request measures them anew.
fn decide<T>(
    candidates: &candidates::CandidateSet,
    zone: &name::Zone,
    item: &queue::Item<Queued<T>>,
    in_flight: u32,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Decision {
    let time_left = match in_flight {
        0 => time::Duration::MAX,
        _ => item.deadline.saturating_sub(now),
    };
    let mut req = route::Request {
        zone,
        prefix: &item.value.prefix,
        tokens: item.cost,
        time_left,
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
