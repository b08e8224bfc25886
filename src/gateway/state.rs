//! State of a gateway, and the decisions that follow from it.

use std::{cell, collections::BTreeMap, net, rc, time};

use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use super::{forward::RoutedRequest, reservation::Reservation};
use crate::{
    balance::{
        Choice, GatewaySet, GroupProgress, GroupReports, Quarantine, RetryBudget, ServerSelector,
        WaitQueue, capacity, crash_note, selector, wait_queue,
    },
    daemon, http,
    http::client,
    metrics, name, platform,
    rank::message,
    settings::{Machine, site},
    site::{Catalog, Registry, catalog, registry::Registration},
};

/// Longest pauses between events, one after the other, for which a group is silent before it counts
/// as stalled.
const SILENT_EVENT_GAPS: u32 = 4;
/// Part of the time for which a group stalls after a crash within which an answer breaks off at the
/// server that crashed; at the other servers of its group it breaks off after all of that time.
const CRASH_SILENCE_FRACTION: f64 = 0.8;
/// Streams move away from slow engines only if at most one in this many engines of a group is slow.
const MIN_ENGINES_PER_SLOW: usize = 8;
/// Shortest silence after which a group counts as stalled.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(500);
/// Time that clients' connections may stay idle while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Maximum number of headers in a client's request: a head of 16 KiB whose headers have 16 bytes each.
/// The HTTP library allocates 64 bytes for each of them while it parses a head.
const MAX_HEADERS: usize = 1_024;
/// Memory that the request with the largest body takes besides the body, in bytes.
const REQUEST_OVERHEAD_BYTES: usize =
    http::clients::LARGE_RECEIVE_BUFFER_BYTES + 2 * client::BOUNDED_CONNECTION_BYTES;

/// Shortest time that clients have for a request head, whatever the configuration states: with none,
/// all connections would be closed as they open.
const MIN_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// State of one gateway; shared by all tasks of its thread.
pub struct Gateway {
    /// Connections to backend servers.
    pub pool: client::Pool,
    /// Counters and histograms.
    pub metrics: metrics::Entry,
    zone: name::Zone,
    started: Instant,
    retries: cell::Cell<site::RetryLimits>,
    max_view_age: cell::Cell<site::MaxViewAge>,
    machine: Machine,
    /// Longest silence of an answer that breaks off because its own server crashed.
    pub max_crash_silence: time::Duration,
    /// Notified when notes of crashes are to be written to the store.
    pub notes_pending: Notify,
    /// Notified when the claim of a probe of quarantined requests has succeeded or failed.
    pub probe_claim_ended: Notify,
    /// Notified when a call to the store succeeds after failed ones.
    pub store_recovered: Notify,
    /// Notified when a slot at a server may have become free.
    pub slot_freed: Notify,
    /// Notified when a load report lists slow engines.
    slow_engines_reported: Notify,
    /// Notified when a server was found replaced by another one at its address.
    pub server_replaced: Notify,
    /// Whether requests in flight are to be answered at once, because the process ends.
    aborting: watch::Sender<bool>,
    /// Time at which requests in flight will be aborted, once the process takes only those that end
    /// before.
    abort_at: cell::Cell<Option<Instant>>,
    /// Never borrowed across an `await`.
    pub(super) state: cell::RefCell<State>,
}

/// What the gateway knows, and what it has decided on.
pub(super) struct State {
    catalog: Option<rc::Rc<Catalog>>,
    pub(super) registry: Registry,
    pub(super) selector: ServerSelector,
    pub(super) progress: GroupProgress,
    reports: GroupReports,
    pub(super) queues: BTreeMap<name::Service, WaitQueue>,
    /// Longest deadline that callers stated, by route.
    longest_deadlines: BTreeMap<String, time::Duration>,
    pub(super) quarantine: Quarantine,
    budgets: BTreeMap<name::Service, RetryBudget>,
    gateways: GatewaySet,
    rng: Pcg64,
    stopping: bool,
}

/// Reason why no slot could be reserved for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveError {
    /// Every server has reached its limit of requests.
    Full,
    /// The same, but some limits are lower than configured since passes take long.
    Slow,
    /// The request waited for a slot, and made room for a more urgent one.
    Displaced,
    /// The process may end before the request does.
    Stopping,
    /// No registered server may get the request.
    NoServer,
    /// The groups of all servers are stalled.
    Stalled,
    /// All servers that may get the request have asked for a pause, which ends after this time.
    Paused(time::Duration),
    /// The limits that servers name allow no request for this time.
    Limited(time::Duration),
    /// Servers keep crashing on requests like this one, which are refused for this time.
    Quarantined(time::Duration),
}

/// A request that waits for a slot; it leaves the queue when this is dropped.
pub struct Waiting {
    gateway: rc::Rc<Gateway>,
    service: name::Service,
    ticket: wait_queue::Ticket,
    /// Time at which the request no longer waits.
    pub until: Instant,
}

impl Waiting {
    /// Whether the request made room for a more urgent one.
    pub fn is_displaced(&self) -> bool {
        let state = self.gateway.state.borrow();
        state.queues.get(&self.service).is_none_or(|queue| !queue.contains(self.ticket))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.gateway.state.borrow_mut();
        if let Some(queue) = state.queues.get_mut(&self.service) {
            queue.leave(self.ticket);
        }
        self.gateway.metrics.set_queued(state.queues.values().map(WaitQueue::len).sum());
        drop(state);
        // It may be the turn of another request now.
        self.gateway.slot_freed.notify_waiters();
    }
}

fn log_ignored(row: &Registration) {
    log::warn!(row:? = row.server.as_str(), problem = "no configuration names its service",
        service:% = row.service; "registry row ignored");
}

/// Returns how long all streams of a group may be silent before it counts as stalled, for streams
/// whose events are to be at most `max_event_gap` apart.
fn max_silence(max_event_gap: time::Duration) -> time::Duration {
    (max_event_gap * SILENT_EVENT_GAPS).max(MIN_SILENCE)
}

impl Gateway {
    /// Creates a gateway without a configuration and without registered servers.
    pub fn new(cfg: &site::Settings, metrics: metrics::Entry) -> rc::Rc<Self> {
        let state = State {
            catalog: None,
            registry: Registry::default(),
            selector: ServerSelector::default(),
            progress: GroupProgress::default(),
            reports: GroupReports::default(),
            queues: BTreeMap::new(),
            longest_deadlines: BTreeMap::new(),
            quarantine: Quarantine::new(&cfg.host),
            budgets: BTreeMap::new(),
            gateways: GatewaySet::new(&cfg.host),
            rng: daemon::seeded_rng(&cfg.host),
            stopping: false,
        };
        rc::Rc::new(Self {
            pool: client::Pool::bounded(cfg.machine.server_connections()),
            metrics,
            zone: cfg.zone.clone(),
            started: Instant::now(),
            retries: cell::Cell::new(cfg.retries),
            max_view_age: cell::Cell::new(cfg.max_view_age),
            machine: cfg.machine,
            max_crash_silence: cfg.stall.mul_f64(CRASH_SILENCE_FRACTION),
            notes_pending: Notify::new(),
            store_recovered: Notify::new(),
            probe_claim_ended: Notify::new(),
            slot_freed: Notify::new(),
            slow_engines_reported: Notify::new(),
            server_replaced: Notify::new(),
            aborting: watch::Sender::new(false),
            abort_at: cell::Cell::new(None),
            state: cell::RefCell::new(state),
        })
    }

    /// Returns the time since the process started, on the monotonic clock.
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Returns the configuration in force; `None` before the first was read.
    pub fn catalog(&self) -> Option<rc::Rc<Catalog>> {
        self.state.borrow().catalog.clone()
    }

    /// Applies the configuration and zone evacuations that were last read from the store. A
    /// configuration that is not newer than the one in force is ignored.
    pub fn apply_operator_state(&self, operator_state: platform::store::OperatorState) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let era = operator_state.version.era;
        let zones = operator_state.evacuated_zones;
        for zone in state.registry.set_evacuated_zones(zones, now, era) {
            let emptied = state.registry.evacuated_zones().contains(&zone);
            log::info!(zone:%, emptied; "zone evacuation changed");
        }
        let Some(catalog) = operator_state.catalog else { return };
        let current = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        if catalog.version > current {
            log::info!(
                version = catalog.version,
                previous = current,
                routes = catalog.route_count();
                "configuration in force"
            );
            self.check_body_limit(&catalog);
            self.metrics.page.set_version(catalog.version);
            state.registry.set_services(catalog.named_services());
            state.registry.ignored().for_each(log_ignored);
            state.catalog = Some(rc::Rc::new(catalog));
            state.longest_deadlines.clear();
        }
    }

    /// Warns if a body that `catalog` allows can never be served on this machine.
    fn check_body_limit(&self, catalog: &Catalog) {
        let content_bytes = self.machine.client_content_bytes();
        let largest_bytes = content_bytes.saturating_sub(REQUEST_OVERHEAD_BYTES);
        let max_body_bytes = catalog.limits.max_body_bytes;
        if max_body_bytes > largest_bytes {
            log::warn!(
                version = catalog.version, max_body_bytes, largest_bytes;
                "the configuration allows bodies for which this machine has no memory"
            );
        }
    }

    /// Returns whether zones are evacuated only because the store was restored from a copy that
    /// lacks them.
    pub fn keeps_evacuations(&self) -> bool {
        self.state.borrow().registry.keeps_evacuations()
    }

    /// Applies a complete read of the registry, made when the store was in `era`.
    pub fn update_registry(&self, registrations: Vec<Registration>, era: u64) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let changes = state.registry.update(registrations, now, era);
        let kinds = [
            ("joined", &changes.joined),
            ("leaving", &changes.leaving),
            ("gone", &changes.gone),
            ("missing", &changes.missing),
        ];
        for (change, servers) in kinds {
            for server in servers {
                log::info!(server:%, change; "registry changed");
            }
        }
        let joined = state.registry.ignored().filter(|row| changes.joined.contains(&row.server));
        joined.for_each(log_ignored);
        changes.gone.iter().for_each(|server| state.selector.remove(server));
        changes.joined.iter().for_each(|server| state.selector.clear_notices(server));
    }

    /// Returns the time left until the registry must be read to tell whether a server that is missing
    /// from it is gone; `None` if no server is missing.
    pub fn time_to_registry_expiry(&self) -> Option<time::Duration> {
        let expiry = self.state.borrow().registry.next_expiry();
        expiry.map(|expiry| expiry.saturating_sub(self.now()))
    }

    /// Records that a read of the registry failed.
    pub fn record_failed_registry_read(&self) {
        self.state.borrow_mut().registry.record_failed_read();
    }

    /// Returns the groups of engines, each with the addresses of its engines in rank order.
    pub fn engine_groups(&self) -> BTreeMap<String, Vec<net::SocketAddr>> {
        let state = self.state.borrow();
        let mut groups: BTreeMap<String, BTreeMap<usize, net::SocketAddr>> = BTreeMap::new();
        for server in state.registry.servers() {
            if let Some(member) = &server.registration.member {
                let group = groups.entry(member.group.clone()).or_default();
                group.insert(member.rank, server.registration.address);
            }
        }
        groups.into_iter().map(|(name, ranks)| (name, ranks.into_values().collect())).collect()
    }

    /// Records what the owner of `group` reported.
    pub fn record_loads(&self, group: &str, loads: &message::Loads) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let engines: BTreeMap<_, _> = loads.engines.iter().copied().collect();
        for server in state.registry.servers() {
            let registration = &server.registration;
            if let Some(requests) = engines.get(&registration.address) {
                let is_slow = loads.slow.contains(&registration.address);
                state.selector.record_load(&registration.server, *requests, is_slow, now);
            }
        }
        state.reports.record(group, loads.passes, now);
        self.metrics.set_group(group, loads);
        self.slot_freed.notify_waiters();
        // With many slow engines, the rest could not take their streams.
        let slow = loads.slow.len();
        if slow > 0 && slow * MIN_ENGINES_PER_SLOW <= loads.engines.len() {
            self.slow_engines_reported.notify_waiters();
        }
    }

    /// Waits until the stream of `req` should move away from `server`, a slow engine whose requests
    /// make all answers of `group` late, and reserves a slot elsewhere. Never returns for a stream
    /// that cannot be resumed.
    pub async fn reserve_move(
        self: &rc::Rc<Self>,
        req: &RoutedRequest,
        server: &name::Server,
        group: Option<&str>,
    ) -> Reservation {
        let may_move = req.route.repeatability == catalog::Repeatability::Resumable
            && req.arrivals < req.route.max_attempts;
        let engine = req.catalog.services.get(&req.service).and_then(|s| s.engine.as_ref());
        let (Some(group), Some(engine), true) = (group, engine, may_move) else {
            return std::future::pending().await;
        };
        loop {
            self.slow_engines_reported.notified().await;
            let now = self.now();
            let must_move = {
                let state = self.state.borrow();
                let passes = state.reports.passes(group, now);
                state.selector.is_slow(server, now)
                    && passes.is_some_and(|passes| {
                        capacity::must_vacate_slow_ranks(engine, req.route.max_event_gap, passes)
                    })
            };
            if must_move
                && let Ok(reservation) = self.reserve_slot(req, true)
                && self.take_retry(&req.service)
            {
                log::info!(req:% = req.id, from:% = server, to:% = reservation.server, group;
                    "moving a stream away from a slow engine");
                return reservation;
            }
        }
    }

    /// Applies a complete read of the notes of crashes, made when the store was in `era`.
    pub fn apply_crash_notes(&self, notes: Vec<(crash_note::Note, u64)>, era: u64) {
        let now = self.now();
        let quarantine = &mut self.state.borrow_mut().quarantine;
        quarantine.apply(notes, era, now);
        if quarantine.has_pending() {
            self.notes_pending.notify_one();
        }
    }

    /// Returns up to `limit` notes of crashes to write to the store, and keys of notes to remove.
    pub fn take_pending_notes(&self, limit: usize) -> (Vec<crash_note::Note>, Vec<String>) {
        self.state.borrow_mut().quarantine.take_pending(limit)
    }

    /// Records that `notes` of crashes could not be written.
    pub fn restore_pending_notes(&self, notes: &[crash_note::Note]) {
        self.state.borrow_mut().quarantine.restore_pending(notes);
    }

    /// Records that the outdated notes with `keys` are no longer in the store.
    pub fn forget_outdated_notes(&self, keys: &[String]) {
        self.state.borrow_mut().quarantine.forget_outdated(keys);
    }

    /// Begins to claim a probe of quarantined requests, if one is wanted; returns the notes to write
    /// for it, each with the version that its row must still have in the store.
    pub fn begin_probe_claim(&self) -> Vec<(crash_note::Note, u64)> {
        let now = self.now();
        self.state.borrow_mut().quarantine.begin_claim(now)
    }

    /// Records whether the claim of a probe under way succeeded.
    pub fn end_probe_claim(&self, is_claimed: bool) {
        let now = self.now();
        self.state.borrow_mut().quarantine.end_claim(is_claimed, now);
        self.probe_claim_ended.notify_waiters();
    }

    /// Returns the time for which a quarantined request may have to wait until it is known whether it
    /// may be sent as a probe; `None` if it may not.
    pub fn probe_claim_time(&self, fingerprints: &[name::Fingerprint]) -> Option<time::Duration> {
        let now = self.now();
        self.state.borrow().quarantine.claim_time(fingerprints, now)
    }

    /// Returns whether a request with these fingerprints may be sent again after it broke off.
    pub fn may_resend(&self, fingerprints: &[name::Fingerprint]) -> bool {
        let now = self.now();
        self.state.borrow_mut().quarantine.may_resend(fingerprints, now)
    }

    /// Records the versions of the latest heartbeats of all gateways.
    pub fn record_heartbeats(&self, versions: BTreeMap<name::Host, u64>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let previous = state.gateways.count();
        state.gateways.update(versions, now);
        let gateways = state.gateways.count();
        if gateways != previous {
            log::info!(gateways, previous; "number of gateways changed");
        }
    }

    /// Returns the bounds on how old the view of the store may be.
    pub fn max_view_age(&self) -> site::MaxViewAge {
        self.max_view_age.get()
    }

    /// Applies the settings that may change while the process runs.
    pub fn reload(&self, cfg: &site::Settings) {
        self.max_view_age.set(cfg.max_view_age);
        if self.retries.replace(cfg.retries) != cfg.retries {
            self.state.borrow_mut().budgets.clear();
        }
    }

    /// Returns whether the balancer should send clients to this gateway.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !state.stopping
            && state.catalog.is_some()
            && state.registry.last_read_at().is_some()
            && state.quarantine.is_loaded()
    }

    /// Makes the gateway not ready; from now on, answers ask clients to close their connections.
    pub fn begin_stop(&self) {
        self.state.borrow_mut().stopping = true;
    }

    /// Returns whether the process is ending.
    pub fn is_stopping(&self) -> bool {
        self.state.borrow().stopping
    }

    /// From now on, takes only requests that end before `abort_at`.
    pub fn refuse_late_requests(&self, abort_at: Instant) {
        self.abort_at.set(Some(abort_at));
        self.slot_freed.notify_waiters();
    }

    /// Whether a request that may take until `timeout_at` may be aborted before.
    pub fn may_abort_before(&self, timeout_at: Instant) -> bool {
        self.abort_at.get().is_some_and(|abort_at| abort_at < timeout_at)
    }

    /// Ends the attempts of all requests, so that clients get an answer before the process ends.
    pub fn abort_requests(&self) {
        self.aborting.send_replace(true);
    }

    /// Waits until requests in flight are to be answered at once.
    pub async fn aborted(&self) {
        // Waiting fails only if the sender, which `self` holds, was dropped.
        let _ = self.aborting.subscribe().wait_for(|aborting| *aborting).await;
    }

    /// Returns the number of requests at backend servers.
    pub fn in_flight(&self) -> u32 {
        self.state.borrow().selector.total_in_flight()
    }

    /// Returns the bounds on a client's connection, of which at most `connections` may be open.
    pub fn connection_limits(&self, connections: usize) -> http::Limits {
        let limits = self.catalog().map(|catalog| catalog.limits);
        let head_bytes =
            limits.map_or(http::Limits::default().max_head_bytes, |l| l.max_head_bytes);
        // hyper includes the idle time before a request head in the timeout for the head.
        let head_time = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
            limits.idle_timeout.saturating_add(limits.head_timeout).max(MIN_HEAD_TIMEOUT)
        });
        http::Limits {
            max_head_bytes: head_bytes,
            max_headers: MAX_HEADERS,
            max_connections: connections,
            head_timeout: head_time,
        }
    }

    /// Picks one of the services of `route` at random, by their weights.
    pub fn pick_service<'a>(&self, route: &'a catalog::Route) -> &'a name::Service {
        route.pick_service(self.state.borrow_mut().rng.random())
    }

    /// Reserves a slot for `req` at a server where it was not attempted yet.
    pub fn reserve(self: &rc::Rc<Self>, req: &RoutedRequest) -> Result<Reservation, ReserveError> {
        self.reserve_slot(req, false)
    }

    /// Like [`reserve`](Self::reserve); `is_admitted` says that the request only moves from another
    /// server.
    fn reserve_slot(
        self: &rc::Rc<Self>,
        req: &RoutedRequest,
        is_admitted: bool,
    ) -> Result<Reservation, ReserveError> {
        let fallback = catalog::Service::default();
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        if let Some(left) = state.quarantine.refusal_time(&req.fingerprints, now) {
            if state.quarantine.has_pending() {
                self.notes_pending.notify_one();
            }
            return Err(ReserveError::Quarantined(left));
        }
        let (service, max_event_gap) = (&req.service, req.route.max_event_gap);
        let demand = capacity::Demand { max_event_gap, timeout: req.route.timeout };
        let criteria = selector::Criteria {
            service: req.catalog.services.get(service).unwrap_or(&fallback),
            zone: &self.zone,
            demand,
            gateways: &state.gateways,
            is_admitted,
            tried: &req.tried,
            now,
        };
        let (progress, reports, mut has_stalled) = (&mut state.progress, &mut state.reports, false);
        let max_silence = max_event_gap.map(max_silence);
        let candidates: Vec<_> = state
            .registry
            .available_servers(service)
            .filter(|server| {
                let member = server.registration.member.as_ref();
                let stalled = member.zip(max_silence).is_some_and(|(member, base)| {
                    let max_silence = reports.max_silence(&member.group, base, now);
                    progress.is_stalled(&member.group, now, max_silence)
                });
                has_stalled |= stalled;
                !stalled
            })
            .collect();
        let choice =
            state.selector.select(candidates.into_iter(), criteria, reports, &mut state.rng);
        match choice {
            Choice::Server { server, addr, in_flight } => {
                let registration = state.registry.get(&server).map(|known| &known.registration);
                let reservation = Reservation::new(
                    rc::Rc::clone(self),
                    (server, addr),
                    in_flight,
                    registration,
                    req,
                );
                if let Some(group) = reservation.group() {
                    state.progress.record_attempt(group, now);
                }
                state.quarantine.record_attempt(&req.fingerprints, now);
                Ok(reservation)
            }
            Choice::NoServer if has_stalled => Err(ReserveError::Stalled),
            Choice::Full => Err(ReserveError::Full),
            Choice::Slow => Err(ReserveError::Slow),
            Choice::NoServer => Err(ReserveError::NoServer),
            Choice::Paused { until } => Err(ReserveError::Paused(until.saturating_sub(now))),
            Choice::Limited { until } => Err(ReserveError::Limited(until.saturating_sub(now))),
        }
    }

    /// Whether a caller that states this deadline has waited for longer than the latency target of
    /// `route`: callers that return after a refusal state a shorter deadline than at first.
    pub fn is_late(&self, route: &catalog::Route, deadline: Option<time::Duration>) -> bool {
        let Some(deadline) = deadline else { return false };
        let longest_deadlines = &mut self.state.borrow_mut().longest_deadlines;
        let longest = longest_deadlines.entry(route.name.clone()).or_default();
        *longest = deadline.max(*longest);
        *longest > deadline + route.latency_target
    }

    /// Whether it is the turn of a request that waits, or of `req`, which has just arrived.
    pub fn has_turn(&self, req: &RoutedRequest, waiting: Option<&Waiting>) -> bool {
        let state = self.state.borrow();
        let Some(queue) = state.queues.get(&req.service) else { return true };
        match waiting {
            Some(waiting) => queue.is_next(waiting.ticket),
            None => queue.may_pass(req.urgency),
        }
    }

    /// Lets a request wait for a slot; `None` if it would not get one in time.
    pub fn join_queue(self: &rc::Rc<Self>, req: &RoutedRequest) -> Option<Waiting> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let queue = state.queues.entry(req.service.clone()).or_default();
        let time_left = req.timeout_at.saturating_duration_since(Instant::now());
        let max_wait = queue.max_wait(req.route.latency_target).min(time_left);
        let ticket = queue.join(req.urgency, req.workspace.as_ref(), max_wait, now)?;
        self.metrics.set_queued(state.queues.values().map(WaitQueue::len).sum());
        let (gateway, service) = (rc::Rc::clone(self), req.service.clone());
        Some(Waiting { gateway, service, ticket, until: Instant::now() + max_wait })
    }

    /// Records that `req` got a slot.
    pub fn record_grant(&self, req: &RoutedRequest) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let queue = state.queues.entry(req.service.clone()).or_default();
        queue.record_grant(req.workspace.as_ref(), now);
    }

    /// Records the first attempt of a request at `service`.
    pub fn record_first_attempt(&self, service: &name::Service) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(self.retries.get())).record_first_attempt(now);
    }

    /// Takes a retry at `service` from the budget; returns `false` if none is left.
    pub fn take_retry(&self, service: &name::Service) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let gateways = state.gateways.count();
        let budget = state.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(self.retries.get())).take_retry(now, gateways)
    }

    /// Returns a random number.
    pub fn random_u64(&self) -> u64 {
        self.state.borrow_mut().rng.random()
    }

    /// Returns a random number between `from` and `to`.
    pub fn random_between(&self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.state.borrow_mut().rng.random::<f64>()
    }

    /// Returns the state for operators, as JSON.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let now = self.now();
        let servers: BTreeMap<&str, serde_json::Value> = state
            .registry
            .servers()
            .map(|server| {
                let registration = &server.registration;
                let fields = serde_json::json!({
                    "service": registration.service.as_str(),
                    "zone": registration.zone.as_str(),
                    "leaving": registration.leaving,
                    "cold_ms": server.cold_until.saturating_sub(now).as_millis() as u64,
                    "in_flight": state.selector.in_flight(&registration.server),
                });
                (registration.server.as_str(), fields)
            })
            .collect();
        serde_json::json!({
            "version": state.catalog.as_ref().map(|catalog| catalog.version),
            "register_age_ms":
                state.registry.last_read_at().map(|at| now.saturating_sub(at).as_millis() as u64),
            "emptied": state
                .registry
                .evacuated_zones()
                .iter()
                .map(name::Zone::as_str)
                .collect::<Vec<_>>(),
            "leaving": state.stopping,
            "gateways": state.gateways.count(),
            "quarantined": state
                .quarantine
                .fingerprints()
                .map(name::Fingerprint::as_str)
                .collect::<Vec<_>>(),
            "servers": servers,
        })
    }
}
