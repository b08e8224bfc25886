//! The entry's state, owned by the stakker thread: one scheduler per service.

use std::{collections::BTreeMap, net, sync::Arc, time};

use serde::Serialize;
use tokio::sync::oneshot;

use super::{
    Refusal,
    event::{Outcome, RouteRequest, Target},
};
use crate::{
    config, metrics, name,
    policy::{candidate, decision, recent, scheduler},
    view, wire,
};

/// Channel for the decision on one request.
type TargetSender = oneshot::Sender<Result<Target, Refusal>>;
type Scheduler = scheduler::Scheduler<TargetSender>;

/// State of the entry: the queue and the backend servers of each service.
pub struct Core {
    host: name::Host,
    zone: name::Zone,
    seed: u64,
    started_at: time::Instant,
    view: Arc<view::View>,
    services: BTreeMap<name::Service, Scheduler>,
    metrics: metrics::Entry,
}

impl Core {
    /// Creates the core of the entry on `host` in `zone`, without a configuration.
    pub fn new(
        host: &name::Host,
        zone: &name::Zone,
        seed: u64,
        started_at: time::Instant,
        metrics: metrics::Entry,
    ) -> Self {
        let (host, zone) = (host.clone(), zone.clone());
        let (view, services) = (Arc::default(), BTreeMap::new());
        Self { host, zone, seed, started_at, view, services, metrics }
    }

    /// Puts `view` in force: drops the schedulers of removed services and updates the others.
    pub fn apply_view(&mut self, view: Arc<view::View>, now: time::Instant) {
        self.view = Arc::clone(&view);
        let removed = |name: &name::Service| !view.config.services.contains_key(name);
        for (_, scheduler) in self.services.extract_if(.., |name, _| removed(name)) {
            drop(scheduler);
        }
        for (name, service) in &view.config.services {
            let scheduler = self.services.entry(name.clone()).or_insert_with(|| {
                Scheduler::new(&self.host, &self.zone, &service.limits, self.seed)
            });
            scheduler.set_limits(&service.limits);
            update_candidates(scheduler, name, &view);
        }
        self.update_queues(now);
    }

    /// Queues `request`, or refuses it if its service is unknown or the queue is full.
    pub fn route(&mut self, request: RouteRequest, now: time::Instant) {
        let (at, name) = (self.time_since_start(now), request.service.clone());
        let weight = self
            .view
            .config
            .workspaces
            .get(&request.workspace)
            .map_or(1, |settings| settings.weight);
        let Some(scheduler) = self.services.get_mut(&name) else {
            let _ = request
                .tx
                .send(Err(Refusal::Unavailable { retry_after: UNKNOWN_SERVICE_RETRY_AFTER }));
            return;
        };
        let job = scheduler::Job {
            id: request.id,
            workspace: request.workspace,
            weight,
            priority: request.priority,
            cost: request.max_tokens.max(1),
            arrived_at: request.arrived_at.saturating_duration_since(self.started_at),
            deadline: request.deadline.saturating_duration_since(self.started_at),
            prefix: request.prefix_keys,
            tried: request.tried_servers,
            submission: request.submission,
            request: request.tx,
        };
        if let Some(refused) = scheduler.push(job, at) {
            deliver_refusal(refused);
        }
        self.dispatch_queued(&name, now);
    }

    /// Records `outcome` for the attempt with `ticket`, and dispatches queued requests.
    pub fn record_outcome(
        &mut self,
        service: &name::Service,
        ticket: &scheduler::Ticket,
        outcome: &Outcome,
        now: time::Instant,
    ) {
        let at = self.time_since_start(now);
        let Some(scheduler) = self.services.get_mut(service) else { return };
        match outcome {
            Outcome::Admitted { load } => scheduler.record_admission(ticket, load, at),
            Outcome::InProgress { load } => scheduler.record_progress(ticket, load, at),
            Outcome::Refused { reason, retry_after, load } => {
                scheduler.record_refusal(ticket, *reason, load, *retry_after, at);
            }
            Outcome::Completed { load } => scheduler.record_completion(ticket, load, at),
            Outcome::Unreachable | Outcome::Failed => scheduler.record_failure(ticket, at),
            Outcome::Cancelled => scheduler.record_cancellation(ticket, at),
        }
        self.dispatch_queued(service, now);
    }

    /// Refuses queued requests that are too late, drops those whose caller has disconnected, and
    /// dispatches the others as far as possible.
    pub fn update_queues(&mut self, now: time::Instant) {
        let at = self.time_since_start(now);
        for scheduler in self.services.values_mut() {
            scheduler.remove_matching(oneshot::Sender::is_closed);
            scheduler.expire(at).into_iter().for_each(deliver_refusal);
        }
        let names: Vec<_> = self.services.keys().cloned().collect();
        names.iter().for_each(|name| self.dispatch_queued(name, now));
    }

    /// Returns whether requests are queued.
    pub fn has_queued(&self) -> bool {
        self.services.values().any(|scheduler| scheduler.queue_len() > 0)
    }

    /// Dispatches the queued requests of service `name` for which a server is available now.
    fn dispatch_queued(&mut self, name: &name::Service, now: time::Instant) {
        let at = self.time_since_start(now);
        let Some(scheduler) = self.services.get_mut(name) else { return };
        while let Some(dispatch) = scheduler.dispatch_next(at) {
            match dispatch {
                scheduler::Dispatch::Refuse(refused) => deliver_refusal(refused),
                scheduler::Dispatch::Send(tx, ticket, why) => {
                    self.metrics.count_placement(why.label());
                    let address = self.view.sidecar_addresses.get(&ticket.server).copied();
                    deliver_target(scheduler, tx, ticket, address, at);
                }
            }
        }
        let queued = self.services.values().map(Scheduler::queue_len).sum();
        self.metrics.set_queued(queued);
    }

    fn time_since_start(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns the state as JSON, for the dump.
    pub fn dump(&self, now: time::Instant) -> serde_json::Value {
        let at = self.time_since_start(now);
        let services: BTreeMap<_, _> = self
            .services
            .iter()
            .map(|(name, service)| (name, ServiceDump::new(service, at)))
            .collect();
        serde_json::json!({
            "role": "entry",
            "version": self.view.version,
            "out": self.view.out,
            "services": services,
        })
    }
}

/// `Retry-After` for a service that the configuration in force no longer has, and for a server
/// without a known address.
const UNKNOWN_SERVICE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Updates the candidates of `scheduler` to the servers of `service` that have an address in
/// `view`.
fn update_candidates(scheduler: &mut Scheduler, service: &name::Service, view: &view::View) {
    let serves = |server: &config::Server| server.service == *service;
    let reachable: BTreeMap<_, _> = view
        .config
        .servers
        .iter()
        .filter(|(name, server)| serves(server) && view.sidecar_addresses.contains_key(*name))
        .collect();
    let old_zones: BTreeMap<_, _> = scheduler
        .candidates()
        .iter()
        .map(|candidate| (candidate.server.clone(), candidate.zone.clone()))
        .collect();
    let candidates = scheduler.candidates_mut();
    old_zones
        .keys()
        .filter(|name| !reachable.contains_key(name))
        .for_each(|name| candidates.remove(name));
    for (name, server) in reachable {
        if old_zones.get(name) != Some(&server.zone) {
            candidates.add(name, &server.zone);
        }
        candidates.set_allowed(name, view.out.allows(name, &server.zone));
    }
}

/// Sends the target of an attempt to its request, and cancels the attempt if the server has no
/// known address or the request no longer waits.
fn deliver_target(
    scheduler: &mut Scheduler,
    tx: TargetSender,
    ticket: scheduler::Ticket,
    address: Option<net::SocketAddr>,
    at: time::Duration,
) {
    let decision = match address {
        Some(address) => Ok(Target { address, ticket: ticket.clone() }),
        None => Err(Refusal::Unavailable { retry_after: UNKNOWN_SERVICE_RETRY_AFTER }),
    };
    let has_target = decision.is_ok();
    let delivered = tx.send(decision).is_ok();
    if !has_target || !delivered {
        scheduler.record_cancellation(&ticket, at);
    }
}

/// Answers a request that the scheduler refused.
fn deliver_refusal(refused: scheduler::Refused<TargetSender>) {
    let retry_after = refused.retry_after;
    let refusal = match refused.cause {
        scheduler::Cause::Late | scheduler::Cause::QueueFull => Refusal::Busy { retry_after },
        scheduler::Cause::NoServer => Refusal::Unavailable { retry_after },
    };
    let _ = refused.request.send(Err(refusal));
}

/// State of one service in the dump.
#[derive(Serialize)]
struct ServiceDump<'a> {
    queued: usize,
    queued_tokens: u64,
    active_workspaces: usize,
    servers: BTreeMap<&'a name::Server, ServerDump<'a>>,
    blocked: Option<&'a decision::Decision>,
    recent: Vec<&'a recent::Routed>,
}

impl<'a> ServiceDump<'a> {
    fn new(scheduler: &'a Scheduler, now: time::Duration) -> Self {
        let server = |candidate: &'a candidate::Candidate| {
            (&candidate.server, ServerDump::new(candidate, now))
        };
        Self {
            queued: scheduler.queue_len(),
            queued_tokens: scheduler.queued_cost(),
            active_workspaces: scheduler.active_workspaces(),
            servers: scheduler.candidates().iter().map(server).collect(),
            blocked: scheduler.blocked(),
            recent: scheduler.recent_decisions().iter().collect(),
        }
    }
}

/// State of one backend server in the dump.
#[derive(Serialize)]
struct ServerDump<'a> {
    zone: &'a name::Zone,
    allowed: bool,
    ejected_ms: Option<u64>,
    in_subset: bool,
    own_in_flight: u32,
    in_flight: u32,
    limit: u32,
    cached_prefixes: usize,
    ms_per_token: Option<f64>,
    report_age_ms: Option<u64>,
    report: Option<&'a wire::Load>,
}

impl<'a> ServerDump<'a> {
    fn new(candidate: &'a candidate::Candidate, now: time::Duration) -> Self {
        let left = |until: time::Duration| until.saturating_sub(now).as_millis() as u64;
        Self {
            zone: &candidate.zone,
            allowed: candidate.allowed,
            ejected_ms: candidate.ejected_until.map(left).filter(|left| *left > 0),
            in_subset: candidate.in_subset,
            own_in_flight: candidate.own_in_flight,
            in_flight: candidate.in_flight(),
            limit: candidate.limit(),
            cached_prefixes: candidate.cache.len(),
            ms_per_token: candidate.recent_seconds_per_token(now).map(|seconds| seconds * 1000.0),
            report_age_ms: candidate.report_age(now).map(|age| age.as_millis() as u64),
            report: candidate.load(),
        }
    }
}
