//! The process that runs next to one engine: the state that its tasks share, and the group
//! membership that it reads from the store.

use std::{
    cell,
    collections::{BTreeMap, BTreeSet},
    net, path, rc,
    sync::Arc,
    time::{self, Duration},
};

use rand::RngExt;
use rand_pcg::Pcg64;
use stakker::{Stakker, actor, call, ret_nop};
use tokio::{
    sync::{Notify, mpsc, watch},
    task,
};

use super::{
    ExpertCounts, Member,
    actor::{Event, OwnershipActor},
    message::Loads,
    ownership::Ownership,
    relay,
};
use crate::{
    Result, daemon, http,
    http::client,
    metrics, name, peer, platform,
    settings::site,
    site::{catalog, registry::Registration},
};

/// Timeout of an exchange with another agent.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an agent that did not answer counts as unresponsive.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(2);
/// Initial time between two reads of the store while the group is not known. It doubles up to
/// [`MAX_DISCOVERY_INTERVAL`]: engines register within about ten seconds of their start.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(700);
/// Longest time between two reads of the store while the group is not known.
const MAX_DISCOVERY_INTERVAL: Duration = Duration::from_millis(2_800);
/// Time between two reads of the store once the group is known: agents do not move.
const REFRESH_INTERVAL: Duration = Duration::from_secs(40);
/// Delay before the store is read because another agent does not answer. Most such agents are back
/// or read by then; all agents of a group notice at the same time.
const PEER_FAILURE_READ_DELAY: Duration = Duration::from_secs(3);

/// Runs the rank agent until the process is asked to terminate.
pub fn run(cfg: site::Settings, path: &path::Path, engine: net::SocketAddr) -> Result {
    daemon::block_on(serve(cfg, path.into(), engine))
}

/// The rank agent, as its tasks share it.
pub struct Agent {
    /// Settings of the process.
    pub cfg: site::Settings,
    /// Address of the agent's own engine, which runs on the same host.
    pub engine: net::SocketAddr,
    /// Connections to engines.
    pub engines: client::Pool,
    /// Connections to other agents.
    pub peers: rc::Rc<peer::Pool>,
    /// Time at which the process started.
    pub started: tokio::time::Instant,
    /// Source of random numbers.
    pub rng: cell::RefCell<Pcg64>,
    /// State of the group and of the agent's own engine.
    pub state: cell::RefCell<State>,
    /// Random id that distinguishes this run of the process from others.
    pub run_id: u64,
    /// Notified when another agent does not answer.
    pub peer_failed: Notify,
    /// Notified when a relayed heartbeat shows a change for which the owner may be waiting.
    pub relayed_change: Notify,
    /// Number of ranks in the group; 0 until the group is known.
    pub group_size: cell::Cell<u32>,
    /// Number of status reads that were started.
    pub read_count: cell::Cell<u64>,
    events: mpsc::UnboundedSender<Event>,
    /// Loads that are sent to gateways while this agent is the owner.
    pub loads: watch::Sender<Loads>,
    /// Loads that the owner sends, for the gateways that ask this agent.
    pub relayed_loads: watch::Sender<Loads>,
    /// Whether a task receives the owner's loads.
    pub follows_owner: cell::Cell<bool>,
}

/// State of the group and of the agent's own engine, as far as it is known.
#[derive(Default)]
pub struct State {
    /// Shape of the group's experts, from the configuration.
    pub shape: Option<catalog::ExpertShape>,
    /// Membership of the agent's own engine, as the engine last reported it.
    pub member: Option<Member>,
    /// Engines of the group, by rank.
    pub group: BTreeMap<usize, net::SocketAddr>,
    /// Ranks whose agent did not answer, and the time until which it counts as unresponsive.
    pub unresponsive_until: BTreeMap<usize, Duration>,
    /// Time until which the engine is polled at the fast interval.
    pub fast_poll_until: Duration,
    /// Ranks whose next heartbeat is to include the placement.
    pub want_placement: BTreeSet<usize>,
    /// Heartbeats of other ranks that this agent has yet to pass on as the relay of its section.
    pub pending: relay::PendingHeartbeats,
    /// Rank whose agent receives the heartbeats as the owner.
    pub owner: Option<usize>,
    /// Time at which choices were last read from the engine.
    pub choices_read_at: Option<Duration>,
    /// Expert counts that were last read.
    pub expert_counts: Option<ExpertCounts>,
}

async fn serve(cfg: site::Settings, path: path::PathBuf, engine: net::SocketAddr) -> Result {
    let listener = http::listen(cfg.peers).await?;
    let operators = http::listen(cfg.operators).await?;
    let (events_tx, mut events) = mpsc::unbounded_channel();
    let agent = rc::Rc::new(Agent {
        engine,
        engines: client::Pool::default(),
        peers: peer::Pool::new(&cfg.token),
        started: tokio::time::Instant::now(),
        rng: cell::RefCell::new(daemon::seeded_rng(&cfg.host)),
        state: cell::RefCell::default(),
        run_id: daemon::seeded_rng(&cfg.host).random(),
        peer_failed: Notify::new(),
        relayed_change: Notify::new(),
        group_size: cell::Cell::new(0),
        read_count: cell::Cell::new(0),
        loads: watch::Sender::default(),
        relayed_loads: watch::Sender::default(),
        follows_owner: cell::Cell::new(false),
        events: events_tx,
        cfg,
    });
    let stop = watch::Sender::new(false);
    let page = rc::Rc::new(Operators { page: metrics::Page::new() });
    let clients = http::Clients::new(&agent.cfg.machine, &page.page);
    let port = ("operators", Arc::clone(&clients));
    task::spawn_local(http::serve(operators, port, http::Limits::default, page, stop.subscribe()));
    let serving = rc::Rc::clone(&agent);
    let handle = rc::Rc::new(async move |incoming: peer::IncomingRequest| {
        if let Err(err) = rc::Rc::clone(&serving).serve(incoming).await {
            log::info!("{err}");
        }
    });
    let token: rc::Rc<str> = agent.cfg.token.as_str().into();
    task::spawn_local(peer::serve(listener, clients, token, handle, stop.subscribe()));
    task::spawn_local(rc::Rc::clone(&agent).follow_store());
    task::spawn_local(rc::Rc::clone(&agent).poll_engine());
    // No setting that an agent uses can change without a restart, but SIGHUP must not end the
    // process.
    task::spawn_local(daemon::reload::watch(agent.cfg.clone(), path, |_| {}));

    let mut stakker = Stakker::new(time::Instant::now());
    let rng = daemon::seeded_rng(&agent.cfg.host);
    let actor = actor!(stakker, OwnershipActor::init(rc::Rc::clone(&agent), rng), ret_nop!());
    let running = daemon::reactor::run_local(stakker, &mut events, |stakker, event| {
        let actor = actor.clone();
        call!([actor, stakker], event(event));
    });
    tokio::select! {
        () = running => {}
        ended = daemon::signals::terminated() => ended?,
    }
    log::info!("stopped");
    Ok(())
}

impl Agent {
    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the loads to send to gateways; those of an agent that is not the owner say so.
    pub fn engine_loads(&self, ownership: &Ownership) -> Loads {
        let Some(requests) = ownership.requests_by_rank() else { return Loads::default() };
        let group = &self.state.borrow().group;
        let engines = requests.into_iter();
        let engines = engines.filter_map(|(rank, requests)| Some((*group.get(&rank)?, requests)));
        let slow = ownership.slow_ranks().filter_map(|(rank, _)| group.get(&rank).copied());
        Loads {
            is_owner: true,
            engines: engines.collect(),
            slow: slow.collect(),
            passes: ownership.pass_estimate(self.now()),
        }
    }

    /// Sends an event to the actor, which runs as long as the process.
    pub fn send_event(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Reads the group and its shape from the store at regular intervals.
    async fn follow_store(self: rc::Rc<Self>) {
        let store = platform::Store::new(self.cfg.store);
        let mut pause = DISCOVERY_INTERVAL;
        loop {
            let complete = self.read_group(&store).await;
            if let Err(err) = &complete {
                log::info!("{err}");
            }
            pause = match complete {
                Ok(true) => REFRESH_INTERVAL,
                _ if pause == REFRESH_INTERVAL => DISCOVERY_INTERVAL,
                _ => (pause * 2).min(MAX_DISCOVERY_INTERVAL),
            };
            let jitter: f64 = self.rng.borrow_mut().random();
            tokio::select! {
                () = tokio::time::sleep(pause.mul_f64(0.75 + jitter / 2.0)) => {}
                // An agent that does not answer may have been replaced by one on another host.
                () = self.peer_failed.notified() => {
                    tokio::time::sleep(PEER_FAILURE_READ_DELAY.mul_f64(0.75 + jitter / 2.0)).await
                }
            }
        }
    }

    /// Reads the group and its shape from the store; `true` once all of its ranks and its shape are
    /// known.
    async fn read_group(&self, store: &platform::Store) -> Result<bool> {
        let entries = store.read_servers().await?;
        let services = self.read_services(store).await?;
        // The engine itself says which rank it is; a row at its address may be of another writer.
        let known = self.state.borrow().member.clone();
        let member = match known {
            Some(member) => Some(member),
            None => self.engine_status(self.engine).await.and_then(|status| status.member),
        };
        let Some(member) = member else { return Ok(false) };
        let group = self.find_engines(&member, &services, entries);
        self.group_size.set(member.ranks as u32);
        let complete = group.len() == member.ranks;
        self.state.borrow_mut().group = group;
        if complete && self.state.borrow().shape.is_none() {
            self.read_shape(store).await?;
        }
        Ok(complete && self.state.borrow().shape.is_some())
    }

    /// Returns the engines by rank of the group that `member` belongs to, according to those
    /// `entries` whose service is one of `services`.
    fn find_engines(
        &self,
        member: &Member,
        services: &BTreeSet<name::Service>,
        mut entries: Vec<Registration>,
    ) -> BTreeMap<usize, net::SocketAddr> {
        // Entries of incarnations that crashed remain for a while beside those of the next ones.
        entries.sort_by_key(|entry| entry.started_ms);
        let mut newest = BTreeMap::new();
        for entry in &entries {
            let other = entry.member.as_ref().filter(|other| other.group == member.group);
            let Some(other) = other.filter(|other| other.rank < member.ranks) else { continue };
            match services.contains(&entry.service) {
                true => {
                    newest.insert(other.rank, entry);
                }
                false => log::warn!(
                    row:? = entry.server.as_str(),
                    rank = other.rank,
                    service:% = entry.service;
                    "registry row ignored: it names a rank of this group for another service"
                ),
            }
        }
        let known = &self.state.borrow().group;
        for (rank, entry) in &newest {
            if known.get(rank) != Some(&entry.address) {
                log::info!(
                    rank,
                    engine:% = entry.address,
                    server:% = entry.server,
                    started_ms = entry.started_ms;
                    "engine of a rank found in the registry"
                );
            }
        }
        let mut engines: BTreeMap<_, _> =
            newest.into_iter().map(|(rank, entry)| (rank, entry.address)).collect();
        engines.insert(member.rank, self.engine);
        engines
    }

    /// Returns the services that engines of this group may belong to: the one that the settings
    /// name, otherwise all that the configuration names.
    async fn read_services(&self, store: &platform::Store) -> Result<BTreeSet<name::Service>> {
        match &self.cfg.role {
            site::Role::Rank { service: Some(service), .. } => {
                Ok(BTreeSet::from([service.clone()]))
            }
            _ => {
                let catalog = store.read_operator_state().await?.catalog;
                Ok(catalog.map(|catalog| catalog.named_services()).unwrap_or_default())
            }
        }
    }

    /// Reads the shape of the group's experts and the cost of its passes from the configuration.
    async fn read_shape(&self, store: &platform::Store) -> Result {
        let operator_state = store.read_operator_state().await?;
        let services = operator_state.catalog.map(|catalog| catalog.services).unwrap_or_default();
        let site::Role::Rank { service, .. } = &self.cfg.role else { return Ok(()) };
        let candidates = services
            .iter()
            .filter(|(name, _)| service.as_ref().is_none_or(|service| service == *name));
        let mut engines = candidates.filter_map(|(_, service)| service.engine.as_ref());
        let found = engines.find_map(|engine| Some((engine.experts?, engine.cost)));
        if let Some((shape, cost)) = found {
            self.state.borrow_mut().shape = Some(shape);
            self.send_event(Event::Shape(shape, cost));
        }
        Ok(())
    }

    /// Marks the agent of `rank` as unresponsive for a while.
    pub fn mark_unresponsive(&self, rank: usize) {
        log::info!(rank; "rank agent did not answer");
        self.peer_failed.notify_one();
        let until = self.now() + UNRESPONSIVE_DURATION;
        self.state.borrow_mut().unresponsive_until.insert(rank, until);
    }

    /// Whether the agent of `rank` is not marked as unresponsive.
    pub fn is_responsive(&self, rank: usize) -> bool {
        let until = self.state.borrow().unresponsive_until.get(&rank).copied();
        until.is_none_or(|until| until <= self.now())
    }

    /// Returns the first of `ranks` that is in the known group and whose agent is responsive.
    pub fn first_responsive(&self, mut ranks: impl Iterator<Item = usize>) -> Option<usize> {
        let known = |rank: usize| self.state.borrow().group.contains_key(&rank);
        ranks.find(|rank| known(*rank) && self.is_responsive(*rank))
    }

    /// Returns the address of the agent of `rank`: it is on the engine's host, and all agents use
    /// the same port.
    pub fn agent_addr(&self, rank: usize) -> Option<net::SocketAddr> {
        let engine = self.state.borrow().group.get(&rank).copied()?;
        Some(net::SocketAddr::new(engine.ip(), self.cfg.peers.port()))
    }

    /// Sends `msg` to another agent and returns its answer; `None` if there was none in time.
    pub async fn exchange<T: serde::de::DeserializeOwned>(
        &self,
        addr: net::SocketAddr,
        path: &str,
        msg: &impl serde::Serialize,
    ) -> Option<T> {
        let exchange = async {
            match self.peers.exchange(addr, path, msg).await {
                Ok(mut source) => source.next::<T>().await.ok().flatten(),
                Err(peer::pool::Failure::Unsent(err) | peer::pool::Failure::Sent(err)) => {
                    log::debug!("{err}");
                    None
                }
            }
        };
        let answer = tokio::time::timeout(PEER_TIMEOUT, exchange).await.ok().flatten();
        if answer.is_none() {
            // The next exchange opens a new connection, as this one may be broken.
            self.peers.remove(addr);
        }
        answer
    }
}

/// Serves the metrics page to operators.
struct Operators {
    page: metrics::Page,
}

impl http::Handler for Operators {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        match req.uri().path() {
            "/metrics" => http::answer::text(200, self.page.render()),
            path => http::answer::path_not_found(path),
        }
    }
}
