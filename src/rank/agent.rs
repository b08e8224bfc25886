//! The process beside one engine: what its tasks share, and what it learns from the store.

use std::{
    cell,
    collections::{BTreeMap, BTreeSet},
    net, path, rc,
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
    ExpertCounts,
    actor::{Event, OwnershipActor},
    message::Loads,
    relay,
};
use crate::{
    Result, daemon, http, http::client, metrics, peer, platform, settings::site, site::catalog,
};

/// Longest time for an exchange with another agent.
pub const PEER_TIME: Duration = Duration::from_millis(400);
/// Time for which an agent that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// First time between two reads of the store while the group is not known, doubled up to
/// [`STORE_SLOWEST`]: engines list themselves within some ten seconds of their start.
const STORE_EVERY: Duration = Duration::from_millis(700);
/// Longest time between two reads while the group is not known.
const STORE_SLOWEST: Duration = Duration::from_millis(2_800);
/// Time between two reads of the store once it is: agents do not move.
const STORE_SELDOM: Duration = Duration::from_secs(40);

/// Runs until told to end.
pub fn run(cfg: site::Settings, path: &path::Path, engine: net::SocketAddr) -> Result {
    daemon::block_on(serve(cfg, path.into(), engine))
}

/// What the agent's tasks share.
pub struct Agent {
    /// Settings.
    pub cfg: site::Settings,
    /// Address of the engine beside this process.
    pub engine: net::SocketAddr,
    /// Connections to engines.
    pub engines: client::Pool,
    /// Connections to other agents.
    pub peers: rc::Rc<peer::Pool>,
    /// When the process started.
    pub started: tokio::time::Instant,
    /// Source of random numbers.
    pub rng: cell::RefCell<Pcg64>,
    /// What is known.
    pub state: cell::RefCell<State>,
    /// Tells this run of the process from others.
    pub draw: u64,
    /// Told when another agent does not answer.
    pub silent: Notify,
    /// Told when a rank for which this agent speaks has news.
    pub news: Notify,
    /// Ranks of the group.
    pub ranks: cell::Cell<u32>,
    /// Readings of engines that were begun.
    pub reads: cell::Cell<u64>,
    duty: mpsc::UnboundedSender<Event>,
    /// What gateways are told.
    pub loads: watch::Sender<Loads>,
}

/// What the agent knows.
#[derive(Default)]
pub struct State {
    /// Shape of the group.
    pub shape: Option<catalog::ExpertShape>,
    /// Engines of the group, by rank.
    pub group: BTreeMap<usize, net::SocketAddr>,
    /// Agents that did not answer, and until when they are passed over.
    pub passed_over: BTreeMap<usize, Duration>,
    /// Until when the engine is looked at more often.
    pub soon_until: Duration,
    /// Ranks whose next pulse is to say what their engines hold.
    pub want_placed: BTreeSet<usize>,
    /// Pulses of ranks for which this agent speaks.
    pub waiting: relay::PendingHeartbeats,
    /// Rank whose agent gets the pulses.
    pub owner: Option<usize>,
    /// Counts of the last look.
    pub demand: Option<ExpertCounts>,
}

async fn serve(cfg: site::Settings, path: path::PathBuf, engine: net::SocketAddr) -> Result {
    let listener = http::listen(cfg.peers).await?;
    let operators = http::listen(cfg.operators).await?;
    let (duty, mut events) = mpsc::unbounded_channel();
    let agent = rc::Rc::new(Agent {
        engine,
        engines: client::Pool::default(),
        peers: peer::Pool::new(&cfg.token),
        started: tokio::time::Instant::now(),
        rng: cell::RefCell::new(daemon::generator(&cfg.host)),
        state: cell::RefCell::default(),
        draw: daemon::generator(&cfg.host).random(),
        silent: Notify::new(),
        news: Notify::new(),
        ranks: cell::Cell::new(0),
        reads: cell::Cell::new(0),
        loads: watch::Sender::default(),
        duty,
        cfg,
    });
    let stop = watch::Sender::new(false);
    let page = rc::Rc::new(Operators { page: metrics::Page::new() });
    task::spawn_local(http::serve(operators, http::Limits::default, page, stop.subscribe()));
    let serving = rc::Rc::clone(&agent);
    let handle = rc::Rc::new(async move |incoming: peer::Incoming| {
        if let Err(err) = rc::Rc::clone(&serving).serve(incoming).await {
            log::info!("{err}");
        }
    });
    let token: rc::Rc<str> = agent.cfg.token.as_str().into();
    task::spawn_local(peer::serve(listener, token, handle, stop.subscribe()));
    task::spawn_local(rc::Rc::clone(&agent).follow_store());
    task::spawn_local(rc::Rc::clone(&agent).look());
    // Nothing that an agent uses can change without a new port, but SIGHUP must not end it.
    task::spawn_local(daemon::reload::watch(agent.cfg.clone(), path, |_| {}));

    let mut stakker = Stakker::new(time::Instant::now());
    let rng = daemon::generator(&agent.cfg.host);
    let actor = actor!(stakker, OwnershipActor::init(rc::Rc::clone(&agent), rng), ret_nop!());
    let acting = daemon::reactor::run_local(stakker, &mut events, |stakker, event| {
        let actor = actor.clone();
        call!([actor, stakker], event(event));
    });
    tokio::select! {
        () = acting => {}
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

    /// What gateways are told of the ranks' `requests`; `None` if this agent does not act.
    pub fn loads_of(&self, requests: Option<BTreeMap<usize, u32>>) -> Loads {
        let state = self.state.borrow();
        let acts = requests.is_some();
        let engines = requests.into_iter().flatten();
        let engines =
            engines.filter_map(|(rank, requests)| Some((*state.group.get(&rank)?, requests)));
        Loads { is_owner: acts, engines: engines.collect() }
    }

    /// Hands an event to the duty, which lives as long as the process.
    pub fn tell(&self, event: Event) {
        let _ = self.duty.send(event);
    }

    /// Learns the group and its shape from the store.
    async fn follow_store(self: rc::Rc<Self>) {
        let store = platform::Store::new(self.cfg.store);
        let mut pause = STORE_EVERY;
        loop {
            let known = self.learn(&store).await;
            if let Err(err) = &known {
                log::info!("{err}");
            }
            pause = match known {
                Ok(true) => STORE_SELDOM,
                _ if pause == STORE_SELDOM => STORE_EVERY,
                _ => (pause * 2).min(STORE_SLOWEST),
            };
            let spread: f64 = self.rng.borrow_mut().random();
            tokio::select! {
                () = tokio::time::sleep(pause.mul_f64(0.75 + spread / 2.0)) => {}
                // An agent that does not answer may have been replaced by one elsewhere.
                () = self.silent.notified() => tokio::time::sleep(STORE_EVERY).await,
            }
        }
    }

    /// `true` once the whole group is known.
    async fn learn(&self, store: &platform::Store) -> Result<bool> {
        if self.state.borrow().shape.is_none() {
            let orders = store.read_operator_state().await?;
            let services = orders.catalog.map(|catalog| catalog.services).unwrap_or_default();
            let site::Role::Rank { service, .. } = &self.cfg.role else { return Ok(false) };
            let meant = services
                .iter()
                .filter(|(name, _)| service.as_ref().is_none_or(|service| service == *name));
            let mut engines = meant.filter_map(|(_, service)| service.engine.as_ref());
            let found = engines.find_map(|engine| Some((engine.experts?, engine.cost)));
            if let Some((shape, cost)) = found {
                self.state.borrow_mut().shape = Some(shape);
                self.tell(Event::Shape(shape, cost));
            }
        }
        let entries = store.read_servers().await?;
        let own = entries.iter().find(|entry| entry.address == self.engine);
        let Some(member) = own.and_then(|entry| entry.member.clone()) else { return Ok(false) };
        let mut group = BTreeMap::new();
        for entry in &entries {
            if let Some(other) = entry.member.as_ref().filter(|m| m.group == member.group) {
                group.insert(other.rank, entry.address);
            }
        }
        self.ranks.set(member.ranks as u32);
        let whole = group.len() == member.ranks && self.state.borrow().shape.is_some();
        self.state.borrow_mut().group = group;
        Ok(whole)
    }

    /// Notes that the agent of `rank` did not answer.
    pub fn pass_over(&self, rank: usize) {
        log::info!(rank; "agent does not answer");
        self.silent.notify_one();
        let until = self.now() + PASSED_OVER;
        self.state.borrow_mut().passed_over.insert(rank, until);
    }

    /// Whether the agent of `rank` has not failed to answer lately.
    pub fn is_sound(&self, rank: usize) -> bool {
        let until = self.state.borrow().passed_over.get(&rank).copied();
        until.is_none_or(|until| until <= self.now())
    }

    /// The first of the known ranks among `ranks` whose agent answers.
    pub fn sound_of(&self, mut ranks: impl Iterator<Item = usize>) -> Option<usize> {
        let known = |rank: usize| self.state.borrow().group.contains_key(&rank);
        ranks.find(|rank| known(*rank) && self.is_sound(*rank))
    }

    /// Address of the agent beside the engine of `rank`: all agents use the same port.
    pub fn agent_of(&self, rank: usize) -> Option<net::SocketAddr> {
        let engine = self.state.borrow().group.get(&rank).copied()?;
        Some(net::SocketAddr::new(engine.ip(), self.cfg.peers.port()))
    }

    /// Sends `msg` to another agent; `None` if no answer came in time.
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
        let got = tokio::time::timeout(PEER_TIME, exchange).await.ok().flatten();
        if got.is_none() {
            // The next exchange opens a new connection, should this one have gone silent.
            self.peers.forget(addr);
        }
        got
    }
}

/// Metrics for operators.
struct Operators {
    page: metrics::Page,
}

impl http::Handler for Operators {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        match req.uri().path() {
            "/metrics" => http::answer::text(200, self.page.render()),
            path => http::answer::no_path(path),
        }
    }
}
