//! Queue, routing and refusals of one service at one entry, put together.
//!
//! A request is pushed, waits in the fair queue, and is placed or refused by
//! [`Scheduler::next`] and [`Scheduler::expire`]. What its attempt shows comes
//! back with the [`Ticket`] of its placement.

use std::time;

use rand::SeedableRng as _;

use crate::{
    config, name,
    policy::{decision, eject, estimate, fair, prefix, recent, roster, route},
    wire,
};

/// Time after which a begun request may go back to a server that it has been to.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// How often a request has been placed before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Never.
    First,
    /// A server refused it, so it keeps its place.
    Again {
        /// Cost queued before it when it came, in tokens.
        ahead: u64,
    },
    /// A server may have begun it, so it goes before all others.
    Begun,
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
    pub at: time::Duration,
    /// When its caller stops waiting.
    pub deadline: time::Duration,
    /// Prefixes of its prompt.
    pub prefix: prefix::Chain,
    /// Servers that it should not go to again.
    pub tried: Vec<name::Server>,
    /// How often it has been placed before.
    pub turn: Turn,
    /// The request, or a key to it.
    pub value: T,
}

/// A request on its way to a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The server.
    pub server: name::Server,
    /// What the request costs, in tokens.
    pub cost: u64,
    /// Cost queued before it when it came, in tokens.
    pub ahead: u64,
    /// When it came.
    pub came: time::Duration,
    /// When it was placed.
    pub sent: time::Duration,
}

/// Why a request is given up on; it goes nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Its deadline cannot be met.
    Late,
    /// The queue is full.
    Full,
    /// No server may have new work.
    NoServer,
}

/// A request given up on, to be answered now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused<T> {
    /// The request.
    pub value: T,
    /// Why.
    pub cause: Cause,
    /// When a request like it is expected to fit.
    pub retry_after: time::Duration,
}

/// What became of the request whose turn it was.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<T> {
    /// It goes to a server.
    Send(T, Ticket, decision::Why),
    /// It is given up on.
    Refuse(Refused<T>),
}

#[derive(Debug)]
struct Queued<T> {
    id: wire::RequestId,
    prefix: prefix::Chain,
    tried: Vec<name::Server>,
    begun: bool,
    since: time::Duration,
    value: T,
}

/// The decisions of one entry about the requests of one service.
#[derive(Debug)]
pub struct Scheduler<T> {
    zone: name::Zone,
    rng: rand_pcg::Pcg64Mcg,
    roster: roster::Roster,
    fair: fair::Fair<Queued<T>>,
    estimate: estimate::Estimate,
    eject: eject::Eject,
    recent: recent::Recent,
    blocked: Option<decision::Decision>,
    /// Requests placed whose end was not heard yet.
    open: u32,
}

impl<T> Scheduler<T> {
    /// A scheduler without servers, of the entry on `host` in `zone`.
    pub fn new(host: &name::Host, zone: &name::Zone, limits: &config::Limits, seed: u64) -> Self {
        Self {
            zone: zone.clone(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            roster: roster::Roster::new(host),
            fair: fair::Fair::new(limits.queue_per_entry as usize, limits.batch_floor_percent),
            estimate: estimate::Estimate::new(),
            eject: eject::Eject::new(),
            recent: recent::Recent::new(),
            blocked: None,
            open: 0,
        }
    }

    /// Takes other limits into force.
    pub fn limits(&mut self, limits: &config::Limits) {
        self.fair.bound(limits.queue_per_entry as usize, limits.batch_floor_percent);
    }

    /// The servers.
    pub fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// The servers, to add, remove or allow some.
    pub fn roster_mut(&mut self) -> &mut roster::Roster {
        &mut self.roster
    }

    /// Requests queued.
    pub fn queued(&self) -> usize {
        self.fair.len()
    }

    /// Cost queued, in tokens.
    pub fn queued_cost(&self) -> u64 {
        self.fair.cost()
    }

    /// Workspaces of which something is remembered.
    pub fn active(&self) -> usize {
        self.fair.active()
    }

    /// The last decisions.
    pub fn recent(&self) -> &recent::Recent {
        &self.recent
    }

    /// Why the request whose turn it is waits.
    pub fn blocked(&self) -> Option<&decision::Decision> {
        self.blocked.as_ref()
    }

    /// Queues `job`; gives a request that is given up on for it.
    pub fn push(&mut self, job: Job<T>, now: time::Duration) -> Option<Refused<T>> {
        self.roster.refresh(now);
        let Job { weight, turn, .. } = job;
        let mut item = item(job, now);
        match turn {
            Turn::Begun => self.fair.resume(item),
            Turn::Again { ahead } => {
                item.ahead = ahead;
                self.fair.put_back(item, weight);
            }
            Turn::First => {
                item.ahead = self.fair.ahead(&item.workspace, weight, item.priority);
                let left = item.deadline.saturating_sub(now);
                match self.estimate.fits(item.cost, item.ahead, left) {
                    Err(late) if self.open > 0 => {
                        return Some(refused(item, Cause::Late, late.retry_after));
                    }
                    _ => return self.enqueue(item, weight),
                }
            }
        }
        None
    }

    fn enqueue(&mut self, item: fair::Item<Queued<T>>, weight: u32) -> Option<Refused<T>> {
        let retry_after = self.estimate.retry_after(self.fair.cost());
        match self.fair.push(item, weight) {
            fair::Pushed::Queued => None,
            fair::Pushed::Displaced(item) | fair::Pushed::Full(item) => {
                Some(refused(item, Cause::Full, retry_after))
            }
        }
    }

    /// Gives up on what cannot be answered in time any more.
    pub fn expire(&mut self, now: time::Duration) -> Vec<Refused<T>> {
        let (estimate, open) = (&self.estimate, self.open);
        let late = self.fair.sweep(|item| {
            let last = match item.value.begun {
                true => item.deadline,
                false if open == 0 => estimate.start_by(0, item.at, item.deadline),
                false => estimate.start_by(item.cost, item.at, item.deadline),
            };
            now > last
        });
        let retry_after = self.estimate.retry_after(self.fair.cost());
        late.into_iter().map(|item| refused(item, Cause::Late, retry_after)).collect()
    }

    /// Drops the requests for which `gone` holds: their callers have gone.
    pub fn forget(&mut self, gone: impl Fn(&T) -> bool) {
        self.fair.sweep(|item| gone(&item.value.value));
    }

    /// Places or gives up on the request whose turn it is; `None` if it waits.
    pub fn next(&mut self, now: time::Duration) -> Option<Step<T>> {
        let item = self.fair.peek()?;
        let (id, begun) = (item.value.id, item.value.begun);
        let decision = decide(&self.roster, &self.zone, item, self.open, now, &mut self.rng);
        match decision.outcome.clone() {
            decision::Outcome::Send { server, why } => {
                self.recent.push(recent::Routed { id: id.to_string(), decision });
                let item = self.fair.pop()?;
                Some(self.place(item, server, why, now))
            }
            decision::Outcome::Wait { why: decision::Blocked::NoServer, retry_after } if !begun => {
                self.recent.push(recent::Routed { id: id.to_string(), decision });
                let item = self.fair.pop()?;
                Some(Step::Refuse(refused(item, Cause::NoServer, retry_after)))
            }
            decision::Outcome::Wait { .. } => {
                self.blocked = Some(decision);
                None
            }
        }
    }

    fn place(
        &mut self,
        item: fair::Item<Queued<T>>,
        server: name::Server,
        why: decision::Why,
        now: time::Duration,
    ) -> Step<T> {
        self.blocked = None;
        self.open += 1;
        self.roster.sent(&server, item.cost);
        self.roster.cached(&server, &item.value.prefix, now);
        let (cost, ahead, came) = (item.cost, item.ahead, item.at);
        let ticket = Ticket { server, cost, ahead, came, sent: now };
        Step::Send(item.value.value, ticket, why)
    }

    /// The server took the request.
    pub fn admitted(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        self.estimate.sent(ticket.ahead, ticket.sent.saturating_sub(ticket.came));
        self.alive(ticket, load, now);
    }

    /// The server works on the request.
    pub fn alive(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        self.roster.report(&ticket.server, load, now);
    }

    /// The server refused the request, which did not run.
    pub fn refused(
        &mut self,
        ticket: &Ticket,
        why: wire::Refusal,
        load: &wire::Load,
        retry_after: time::Duration,
        now: time::Duration,
    ) {
        self.ended(ticket);
        self.roster.refused(&ticket.server, load, retry_after, now);
        match why {
            wire::Refusal::WrongServer => self.fault(ticket, now),
            wire::Refusal::Unreachable
            | wire::Refusal::Full
            | wire::Refusal::Leaving
            | wire::Refusal::TooLate => {}
        }
    }

    /// The server answered whole.
    pub fn whole(&mut self, ticket: &Ticket, load: &wire::Load, now: time::Duration) {
        let took = now.saturating_sub(ticket.sent);
        self.ended(ticket);
        self.eject.answered(&ticket.server);
        self.roster.report(&ticket.server, load, now);
        self.roster.took(&ticket.server, ticket.cost, took);
        self.estimate.done(ticket.cost, took);
    }

    /// The server broke off or could not be reached.
    pub fn failed(&mut self, ticket: &Ticket, now: time::Duration) {
        self.ended(ticket);
        self.fault(ticket, now);
    }

    /// The caller has gone.
    pub fn cancelled(&mut self, ticket: &Ticket, now: time::Duration) {
        self.ended(ticket);
        self.roster.gave_up(&ticket.server, ticket.cost, now.saturating_sub(ticket.sent));
    }

    fn ended(&mut self, ticket: &Ticket) {
        self.open = self.open.saturating_sub(1);
        self.roster.ended(&ticket.server, ticket.cost);
    }

    fn fault(&mut self, ticket: &Ticket, now: time::Duration) {
        self.eject.failed(&mut self.roster, &ticket.server, now);
    }
}

/// Decides about `item`. With nothing `open`, how long requests take is not
/// known any more, and one goes out to find it.
fn decide<T>(
    roster: &roster::Roster,
    zone: &name::Zone,
    item: &fair::Item<Queued<T>>,
    open: u32,
    now: time::Duration,
    rng: &mut impl rand::Rng,
) -> decision::Decision {
    let left = match open {
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
    let decision = route::pick(roster, &req, now, rng);
    match decision.outcome {
        decision::Outcome::Wait { why: decision::Blocked::NoServer, .. }
            if item.value.begun && now >= item.value.since + PAUSE =>
        {
            req.tried = &[];
            route::pick(roster, &req, now, rng)
        }
        _ => decision,
    }
}

fn item<T>(job: Job<T>, now: time::Duration) -> fair::Item<Queued<T>> {
    let begun = job.turn == Turn::Begun;
    let (id, prefix, tried, value) = (job.id, job.prefix, job.tried, job.value);
    fair::Item {
        workspace: job.workspace,
        priority: job.priority,
        cost: job.cost,
        at: job.at,
        ahead: 0,
        deadline: job.deadline,
        value: Queued { id, prefix, tried, begun, since: now, value },
    }
}

fn refused<T>(
    item: fair::Item<Queued<T>>,
    cause: Cause,
    retry_after: time::Duration,
) -> Refused<T> {
    Refused { value: item.value.value, cause, retry_after }
}
