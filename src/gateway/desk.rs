//! What a gateway knows, and the decisions that follow from it.

use std::{cell, collections::BTreeMap, net, rc, time};

use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::{sync::Notify, time::Instant};

use crate::{
    balance::{Budget, Choice, Fleet, Presence, fleet},
    daemon, http,
    http::client,
    metrics, name, platform,
    settings::site,
    site::{Catalog, Registry, catalog},
};

/// Idle time of callers' connections while no configuration is known.
const IDLE: time::Duration = time::Duration::from_secs(20);

/// State of one gateway; shared by all tasks of its thread.
pub struct Desk {
    /// Connections to backend servers.
    pub pool: client::Pool,
    /// Counters and histograms.
    pub metrics: metrics::Entry,
    zone: name::Zone,
    started: Instant,
    retries: cell::Cell<site::Retries>,
    within: cell::Cell<site::Within>,
    /// Told when a place may be free.
    pub freed: Notify,
    /// Told when a server was found replaced by another one.
    pub replaced: Notify,
    state: cell::RefCell<State>,
}

struct State {
    catalog: Option<rc::Rc<Catalog>>,
    register: Registry,
    fleet: Fleet,
    budgets: BTreeMap<name::Service, Budget>,
    presence: Presence,
    rng: Pcg64,
    leaving: bool,
}

/// A place at a backend server; given back when dropped.
pub struct Seat {
    desk: rc::Rc<Desk>,
    /// The server.
    pub server: name::Server,
    /// Its address.
    pub addr: net::SocketAddr,
    /// Requests of this gateway that it had before.
    pub in_flight: u32,
    outcome: fleet::Outcome,
}

impl Seat {
    /// Notes how the server did; without a note it says nothing about it.
    pub fn note(&mut self, outcome: fleet::Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let now = self.desk.now();
        self.desk.state.borrow_mut().fleet.release(&self.server, self.outcome, now);
        if self.outcome == fleet::Outcome::Replaced {
            self.desk.replaced.notify_one();
        }
        self.desk.freed.notify_one();
    }
}

/// Why a request gets no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoSeat {
    /// Every server has as much as it can take.
    Full,
    /// No server is known that may get it.
    Nobody,
}

impl Desk {
    /// A gateway that knows nothing yet.
    pub fn new(cfg: &site::Settings, metrics: metrics::Entry) -> rc::Rc<Self> {
        let state = State {
            catalog: None,
            register: Registry::default(),
            fleet: Fleet::default(),
            budgets: BTreeMap::new(),
            presence: Presence::default(),
            rng: daemon::generator(&cfg.host),
            leaving: false,
        };
        rc::Rc::new(Self {
            pool: client::Pool::default(),
            metrics,
            zone: cfg.zone.clone(),
            started: Instant::now(),
            retries: cell::Cell::new(cfg.retries),
            within: cell::Cell::new(cfg.within),
            freed: Notify::new(),
            replaced: Notify::new(),
            state: cell::RefCell::new(state),
        })
    }

    /// Time since the process started, on the steady clock.
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// The configuration in force; `None` before the first.
    pub fn catalog(&self) -> Option<rc::Rc<Catalog>> {
        self.state.borrow().catalog.clone()
    }

    /// Takes what operators want as of now.
    pub fn adopt(&self, orders: platform::store::OperatorState) {
        let mut state = self.state.borrow_mut();
        for zone in state.register.set_evacuated_zones(orders.evacuated_zones) {
            let emptied = state.register.evacuated_zones().contains(&zone);
            log::info!(zone:%, emptied; "zone order in force");
        }
        let Some(catalog) = orders.catalog else { return };
        let known = state.catalog.as_ref().map_or(0, |known| known.version);
        if catalog.version > known {
            log::info!(
                version = catalog.version,
                before = known,
                routes = catalog.route_count();
                "configuration in force"
            );
            self.metrics.page.version(catalog.version);
            state.catalog = Some(rc::Rc::new(catalog));
        }
    }

    /// Takes a whole read of the register.
    pub fn register(&self, entries: Vec<crate::site::registry::Registration>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let changes = state.register.update(entries, now);
        let kinds = [
            ("joined", &changes.joined),
            ("leaving", &changes.leaving),
            ("gone", &changes.gone),
            ("missing", &changes.missing),
        ];
        for (change, servers) in kinds {
            for server in servers {
                log::info!(server:%, change; "register changed");
            }
        }
        changes.gone.iter().for_each(|server| state.fleet.forget(server));
    }

    /// Groups of engines, each with the addresses of its engines in the order of their ranks.
    pub fn groups(&self) -> BTreeMap<String, Vec<net::SocketAddr>> {
        let state = self.state.borrow();
        let mut groups: BTreeMap<String, BTreeMap<usize, net::SocketAddr>> = BTreeMap::new();
        for known in state.register.servers() {
            if let Some(member) = &known.registration.member {
                let group = groups.entry(member.group.clone()).or_default();
                group.insert(member.rank, known.registration.address);
            }
        }
        groups.into_iter().map(|(name, ranks)| (name, ranks.into_values().collect())).collect()
    }

    /// Takes the word of engines, by address, on the requests that they have.
    pub fn loads(&self, engines: &[(net::SocketAddr, u32)]) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let engines: BTreeMap<_, _> = engines.iter().copied().collect();
        for known in state.register.servers() {
            if let Some(requests) = engines.get(&known.registration.address) {
                state.fleet.report(&known.registration.server, *requests, now);
            }
        }
        self.freed.notify_waiters();
    }

    /// Takes the latest words of all gateways.
    pub fn gateways(&self, words: BTreeMap<name::Host, u64>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let before = state.presence.count(now);
        state.presence.update(words, now);
        let gateways = state.presence.count(now);
        if gateways != before {
            log::info!(gateways, before; "gateways counted");
        }
    }

    /// Bounds on how old the view of the store may be.
    pub fn within(&self) -> site::Within {
        self.within.get()
    }

    /// Takes settings that may change while the process runs.
    pub fn reload(&self, cfg: &site::Settings) {
        self.within.set(cfg.within);
        if self.retries.replace(cfg.retries) != cfg.retries {
            self.state.borrow_mut().budgets.clear();
        }
    }

    /// Whether the balancer should send callers here.
    pub fn ready(&self) -> bool {
        let state = self.state.borrow();
        !state.leaving && state.catalog.is_some() && state.register.last_read_at().is_some()
    }

    /// Stops being ready; answers from now on ask callers to close their connections.
    pub fn leave(&self) {
        self.state.borrow_mut().leaving = true;
    }

    /// Whether the process is ending.
    pub fn leaving(&self) -> bool {
        self.state.borrow().leaving
    }

    /// Requests at backend servers.
    pub fn in_flight(&self) -> u32 {
        self.state.borrow().fleet.total()
    }

    /// Bounds on a caller's connection.
    pub fn limits(&self, connections: usize) -> http::Limits {
        let limits = self.catalog().map(|catalog| catalog.limits);
        let head_bytes = limits.map_or(http::Limits::default().head_bytes, |l| l.max_head_bytes);
        // hyper counts the idle time before a request head into the time for the head.
        let head_time = limits.map_or(IDLE, |limits| limits.idle_timeout + limits.head_timeout);
        http::Limits { head_bytes, connections, head_time, ..Default::default() }
    }

    /// The service that `route` leads to this time.
    pub fn service<'a>(&self, route: &'a catalog::Route) -> &'a name::Service {
        route.pick_service(self.state.borrow_mut().rng.random())
    }

    /// A place at a server of `service` that is not among `tried`.
    pub fn seat(
        self: &rc::Rc<Self>,
        catalog: &Catalog,
        service: &name::Service,
        pause: Option<time::Duration>,
        tried: &[name::Server],
    ) -> Result<Seat, NoSeat> {
        let fallback = catalog::Service::default();
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let ask = fleet::Ask {
            service: catalog.services.get(service).unwrap_or(&fallback),
            zone: &self.zone,
            pause,
            gateways: state.presence.count(now),
            tried,
            now,
        };
        match state.fleet.choose(state.register.available_servers(service), ask, &mut state.rng) {
            Choice::Server { server, addr, in_flight } => Ok(Seat {
                desk: rc::Rc::clone(self),
                server,
                addr,
                in_flight,
                outcome: fleet::Outcome::Neutral,
            }),
            Choice::Full => Err(NoSeat::Full),
            Choice::Nobody => Err(NoSeat::Nobody),
        }
    }

    /// Counts a first attempt at `service`.
    pub fn first(&self, service: &name::Service) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let budget = state.budgets.entry(service.clone());
        budget.or_insert_with(|| Budget::new(self.retries.get())).first(now);
    }

    /// Takes a retry at `service` from the budget; `false` if there is none left.
    pub fn retry(&self, service: &name::Service) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let gateways = state.presence.count(now);
        let budget = state.budgets.entry(service.clone());
        budget.or_insert_with(|| Budget::new(self.retries.get())).retry(now, gateways)
    }

    /// A number between `from` and `to`.
    pub fn between(&self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.state.borrow_mut().rng.random::<f64>()
    }

    /// State for operators.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state.borrow();
        let now = self.now();
        let servers: BTreeMap<&str, serde_json::Value> = state
            .register
            .servers()
            .map(|known| {
                let entry = &known.registration;
                let facts = serde_json::json!({
                    "service": entry.service.as_str(),
                    "zone": entry.zone.as_str(),
                    "leaving": entry.leaving,
                    "cold_ms": known.cold_until.saturating_sub(now).as_millis() as u64,
                    "in_flight": state.fleet.in_flight(&entry.server),
                });
                (entry.server.as_str(), facts)
            })
            .collect();
        serde_json::json!({
            "version": state.catalog.as_ref().map(|catalog| catalog.version),
            "register_age_ms":
                state.register.last_read_at().map(|at| now.saturating_sub(at).as_millis() as u64),
            "emptied": state.register.evacuated_zones().iter().map(name::Zone::as_str).collect::<Vec<_>>(),
            "leaving": state.leaving,
            "gateways": state.presence.count(now),
            "servers": servers,
        })
    }
}
