//! The process beside one engine: its tasks and its I/O.

use std::{
    cell,
    collections::BTreeMap,
    net, path, rc,
    time::{self, Duration},
};

use rand::RngExt;
use rand_pcg::Pcg64;
use stakker::{CX, Stakker, actor, after, call, ret_nop};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    task,
};

use super::{
    Choices, Demand, Member, Order, Status,
    duty::{Duty, Question},
    message::{self, Errand, Loads, OrderReply, Pulse, PulseReply},
};
use crate::{
    Error, Result, daemon, group::rebalance, http, http::client, metrics, peer, platform,
    settings::site, site::catalog,
};

/// Ranks that tell what requests chose, about: more say nothing new, as requests come to ranks at
/// random.
const SAMPLING: usize = 16;
/// Pulses a second that the owner takes, from all ranks together; at some 2 KB each they use a
/// quarter of the slowest link of today, 8 Mbit/s.
const PULSES_A_SECOND: u32 = 250;
/// Time between two looks at the engine; a pass takes some 30 to 100 ms.
const LOOK_EVERY: Duration = Duration::from_millis(70);
/// The same while an order takes effect.
const LOOK_SOON: Duration = Duration::from_millis(30);
/// Time after an order for which the engine is looked at more often.
const SOON_FOR: Duration = Duration::from_millis(1_000);
/// Longest time for a question to the engine beside this process; it answers within 5 ms.
const ENGINE_TIME: Duration = Duration::from_millis(250);
/// Longest time for an order to the engine. It answers within 5 ms or, where orders are delayed,
/// not at all; a group may be waiting.
const ORDER_TIME: Duration = Duration::from_millis(80);
/// Longest time for an exchange with another agent.
const PEER_TIME: Duration = Duration::from_millis(400);
/// Time for which an agent that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// Time between two steps of the duty without news.
const STEP_EVERY: Duration = Duration::from_millis(50);
/// Time between two decisions on an edit: what was chosen since says nothing new before that.
const DECIDE_EVERY: Duration = Duration::from_millis(100);
/// Ranks up to which an edit is decided on at once: it takes a few milliseconds of a core then.
const DECIDED_AT_ONCE: u32 = 16;
/// Time between two words on the engines' loads to a gateway.
const LOADS_EVERY: Duration = Duration::from_millis(100);
/// Time between two steps from which what was known before counts as old.
const STOOD_STILL: Duration = Duration::from_millis(500);
/// Time between two reads of the store while the group is not known.
const STORE_EVERY: Duration = Duration::from_millis(700);
/// Time between two reads of the store once it is: agents do not move.
const STORE_SELDOM: Duration = Duration::from_secs(40);

/// Runs until told to end.
pub fn run(cfg: site::Settings, path: &path::Path, engine: net::SocketAddr) -> Result {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Thread { source })?;
    let ended = task::LocalSet::new().block_on(&runtime, serve(cfg, path.into(), engine));
    runtime.shutdown_timeout(Duration::ZERO);
    ended
}

/// What the agent's tasks share.
struct Agent {
    cfg: site::Settings,
    engine: net::SocketAddr,
    engines: client::Pool,
    peers: rc::Rc<peer::Pool>,
    started: tokio::time::Instant,
    rng: cell::RefCell<Pcg64>,
    state: cell::RefCell<State>,
    /// Tells this run of the process from others.
    draw: u64,
    /// Told when another agent does not answer.
    silent: Notify,
    /// Ranks of the group.
    ranks: cell::Cell<u32>,
    /// Readings of engines that were begun.
    reads: cell::Cell<u64>,
    duty: mpsc::UnboundedSender<Event>,
    loads: watch::Sender<Loads>,
}

#[derive(Default)]
struct State {
    shape: Option<catalog::Experts>,
    /// Engines of the group, by rank.
    group: BTreeMap<usize, net::SocketAddr>,
    /// Agents that did not answer, and until when they are passed over.
    passed_over: BTreeMap<usize, Duration>,
    /// Until when the engine is looked at more often.
    soon_until: Duration,
    want_placed: bool,
    owner: Option<usize>,
    /// Counts of the last look.
    demand: Option<Demand>,
}

/// What reaches the duty.
enum Event {
    Shape(catalog::Experts),
    Pulse(Box<Pulse>, bool, oneshot::Sender<PulseReply>),
    Answer(Errand, OrderReply),
    Edit(Box<Question>, Option<Box<rebalance::Edit>>),
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
        if let Err(err) = serving.serve(incoming).await {
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
    let actor = actor!(stakker, Owner::init(rc::Rc::clone(&agent), rng), ret_nop!());
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

/// The actor that holds the duty.
struct Owner {
    agent: rc::Rc<Agent>,
    duty: Option<Duty>,
    /// Whether an edit of the map is being decided on.
    deciding: bool,
    /// When the next edit may be decided on.
    decide_from: Duration,
    clock: Clock,
    rng: Pcg64,
}

/// Compares the steady clock, which stops while a host is suspended, with the time of day.
struct Clock {
    steady: time::Instant,
    day: time::SystemTime,
}

impl Clock {
    fn new() -> Self {
        Self { steady: time::Instant::now(), day: time::SystemTime::now() }
    }

    /// Whether the process stood still since the last call, or the time of day was set.
    fn stood_still(&mut self) -> bool {
        let before = std::mem::replace(self, Self::new());
        let steady = self.steady.saturating_duration_since(before.steady);
        let day = self.day.duration_since(before.day).unwrap_or_default();
        steady > STOOD_STILL || day.abs_diff(steady) > STOOD_STILL
    }
}

impl Owner {
    fn init(cx: CX![], agent: rc::Rc<Agent>, rng: Pcg64) -> Option<Self> {
        after!(STEP_EVERY, [cx], tick());
        Some(Self {
            agent,
            duty: None,
            deciding: false,
            decide_from: Duration::ZERO,
            clock: Clock::new(),
            rng,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(STEP_EVERY, [cx], tick());
        if let (true, Some(duty)) = (self.clock.stood_still(), &mut self.duty) {
            log::warn!("the process stood still");
            duty.stood_still();
        }
        self.step();
    }

    fn event(&mut self, _: CX![], event: Event) {
        let now = self.agent.now();
        match (event, &mut self.duty) {
            (Event::Shape(shape), duty) => {
                duty.get_or_insert_with(|| Duty::new(shape));
            }
            (Event::Pulse(pulse, own, tx), Some(duty)) => {
                if let Some(member) = pulse.status.member.as_ref().filter(|_| own) {
                    duty.beside(member.rank);
                }
                // An agent that does not wait any more needs no answer.
                let _ = tx.send(duty.pulse(now, *pulse));
            }
            (Event::Answer(errand, reply), Some(duty)) => {
                duty.answer(now, &errand, reply.accepted.as_ref(), reply.status);
                self.step();
            }
            (Event::Edit(question, edit), Some(duty)) => {
                self.deciding = false;
                if let Some(edit) = edit {
                    duty.begin(now, &question, *edit, self.rng.random());
                }
                self.step();
            }
            (Event::Pulse(..) | Event::Answer(..) | Event::Edit(..), None) => {}
        }
    }

    fn step(&mut self) {
        let Some(duty) = &mut self.duty else { return };
        let requests = duty.requests();
        self.agent.loads.send_replace(self.agent.loads_of(requests));
        let now = self.agent.now();
        if !self.deciding
            && now >= self.decide_from
            && let Some(question) = duty.question(now)
        {
            (self.deciding, self.decide_from) = (true, now + DECIDE_EVERY);
            if self.agent.ranks.get() <= DECIDED_AT_ONCE {
                if let Some(edit) = question.answer() {
                    duty.begin(now, &question, edit, self.rng.random());
                }
                self.deciding = false;
            } else {
                let agent = rc::Rc::clone(&self.agent);
                task::spawn_local(async move {
                    let question = Box::new(question);
                    let asked = question.clone();
                    // On another thread, as pulses must be answered meanwhile.
                    let edit = task::spawn_blocking(move || asked.answer().map(Box::new)).await;
                    agent.tell(Event::Edit(question, edit.ok().flatten()));
                });
            }
        }
        for errand in duty.step(now, self.rng.random()) {
            let agent = rc::Rc::clone(&self.agent);
            task::spawn_local(async move {
                let reply = agent.send(&errand).await;
                agent.tell(Event::Answer(errand, reply));
            });
        }
    }
}

impl Agent {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// What gateways are told of the ranks' `requests`; `None` if this agent does not act.
    fn loads_of(&self, requests: Option<BTreeMap<usize, u32>>) -> Loads {
        let state = self.state.borrow();
        let acts = requests.is_some();
        let engines = requests.into_iter().flatten();
        let engines =
            engines.filter_map(|(rank, requests)| Some((*state.group.get(&rank)?, requests)));
        Loads { acts, engines: engines.collect() }
    }

    /// Hands an event to the duty, which lives as long as the process.
    fn tell(&self, event: Event) {
        let _ = self.duty.send(event);
    }

    /// Learns the group and its shape from the store.
    async fn follow_store(self: rc::Rc<Self>) {
        let store = platform::Store::new(self.cfg.store);
        loop {
            let known = self.learn(&store).await;
            if let Err(err) = &known {
                log::info!("{err}");
            }
            let pause = if known.unwrap_or(false) { STORE_SELDOM } else { STORE_EVERY };
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
            let orders = store.orders().await?;
            let services = orders.catalog.map(|catalog| catalog.services).unwrap_or_default();
            let site::Role::Rank { service, .. } = &self.cfg.role else { return Ok(false) };
            let meant = services
                .iter()
                .filter(|(name, _)| service.as_ref().is_none_or(|service| service == *name));
            let shape = meant.filter_map(|(_, service)| service.engine.as_ref()?.experts).next();
            self.state.borrow_mut().shape = shape;
            shape.into_iter().for_each(|shape| self.tell(Event::Shape(shape)));
        }
        let entries = store.servers().await?;
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

    /// Looks at the engine and sends what it says to the owner of the duty.
    async fn look(self: rc::Rc<Self>) {
        let mut lost = false;
        loop {
            match self.pulse().await {
                Ok(pulse) => {
                    if std::mem::take(&mut lost) {
                        log::info!("engine regained");
                    }
                    self.report(pulse).await;
                }
                Err(failure) => {
                    if !std::mem::replace(&mut lost, true) {
                        log::warn!("engine lost: {}", failure.problem());
                    }
                }
            }
            let soon = self.now() < self.state.borrow().soon_until;
            let fair = Duration::from_secs(1) / PULSES_A_SECOND * self.ranks.get();
            tokio::time::sleep(if soon { LOOK_SOON } else { LOOK_EVERY }.max(fair)).await;
        }
    }

    async fn pulse(&self) -> Result<Pulse, client::Failure> {
        let status = self.read(self.engine).await?;
        let shape = self.state.borrow().shape;
        let choices = match shape.filter(|_| samples(status.member.as_ref())) {
            Some(shape) => self.choices(shape.sets).await?,
            None => None,
        };
        let wanted = self.state.borrow().want_placed;
        let placed = match wanted {
            true => Some(platform::engine::placed(&self.engines, self.engine, ENGINE_TIME).await?),
            false => None,
        };
        Ok(Pulse { status, choices, placed })
    }

    /// What requests chose since the last look.
    async fn choices(&self, sets: usize) -> Result<Option<Choices>, client::Failure> {
        let demand =
            platform::engine::demand(&self.engines, self.engine, sets, ENGINE_TIME).await?;
        let before = self.state.borrow_mut().demand.replace(demand.clone());
        Ok(before.and_then(|before| Choices::between(&before, &demand)))
    }

    /// Sends a pulse to the agent of the lowest rank that answers.
    async fn report(&self, pulse: Pulse) {
        let Some(own) = pulse.status.member.as_ref().map(|member| member.rank) else { return };
        let now = self.now();
        let owner = {
            let state = self.state.borrow();
            let good =
                |rank: &&usize| state.passed_over.get(rank).is_none_or(|until| *until <= now);
            state.group.keys().find(good).copied().filter(|rank| *rank < own).unwrap_or(own)
        };
        if self.state.borrow_mut().owner.replace(owner) != Some(owner) {
            log::info!(owner, own; "owner of the duty chosen");
        }
        let (tx, rx) = oneshot::channel();
        if owner == own {
            self.tell(Event::Pulse(Box::new(pulse), true, tx));
            // No answer comes before the shape of the group is known.
            if let Ok(Ok(reply)) = tokio::time::timeout(PEER_TIME, rx).await {
                self.state.borrow_mut().want_placed = reply.want_placed;
            }
            return;
        }
        let Some(addr) = self.agent_of(owner) else { return };
        match self.exchange::<PulseReply>(addr, message::PULSE, &pulse).await {
            Some(reply) => self.state.borrow_mut().want_placed = reply.want_placed,
            None => self.pass_over(owner),
        }
    }

    fn pass_over(&self, rank: usize) {
        log::info!(rank; "agent does not answer");
        self.silent.notify_one();
        let until = self.now() + PASSED_OVER;
        self.state.borrow_mut().passed_over.insert(rank, until);
    }

    /// Address of the agent beside the engine of `rank`: all agents use the same port.
    fn agent_of(&self, rank: usize) -> Option<net::SocketAddr> {
        let engine = self.state.borrow().group.get(&rank).copied()?;
        Some(net::SocketAddr::new(engine.ip(), self.cfg.peers.port()))
    }

    async fn exchange<T: serde::de::DeserializeOwned>(
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

    /// Sends an order to its rank: by the agent beside it, or itself where that does not answer.
    async fn send(&self, errand: &Errand) -> OrderReply {
        let Some(engine) = self.state.borrow().group.get(&errand.rank).copied() else {
            return OrderReply { accepted: None, status: None };
        };
        if engine == self.engine {
            return self.carry_out(engine, &errand.order).await;
        }
        let now = self.now();
        let passed_over = self.state.borrow().passed_over.get(&errand.rank).copied();
        match self.agent_of(errand.rank) {
            Some(addr) if passed_over.is_none_or(|until| until <= now) => {
                match self.exchange(addr, message::ORDER, &errand.order).await {
                    Some(reply) => reply,
                    None => {
                        self.pass_over(errand.rank);
                        OrderReply { accepted: None, status: self.status_of(engine).await }
                    }
                }
            }
            _ => self.carry_out(engine, &errand.order).await,
        }
    }

    /// Gives an order to an engine, and looks at it afterwards.
    async fn carry_out(&self, engine: net::SocketAddr, order: &Order) -> OrderReply {
        self.state.borrow_mut().soon_until = self.now() + SOON_FOR;
        let accepted = platform::engine::order(&self.engines, engine, order, ORDER_TIME).await;
        let accepted = accepted
            .inspect_err(|failure| log::debug!("order without answer: {}", failure.problem()))
            .ok();
        OrderReply { accepted, status: self.status_of(engine).await }
    }

    /// Reads the state of an engine and marks when.
    async fn read(&self, engine: net::SocketAddr) -> Result<Status, client::Failure> {
        let count = self.reads.get() + 1;
        self.reads.set(count);
        let status = platform::engine::status(&self.engines, engine, ENGINE_TIME).await?;
        Ok(Status { read: (self.draw, count), ..status })
    }

    async fn status_of(&self, engine: net::SocketAddr) -> Option<Status> {
        let status = self.read(engine).await;
        status.inspect_err(|failure| log::debug!("no status: {}", failure.problem())).ok()
    }

    /// Answers another agent.
    async fn serve(&self, mut incoming: peer::Incoming) -> Result {
        match incoming.path.as_str() {
            message::PULSE => {
                let pulse: Pulse = incoming.message()?;
                let (tx, rx) = oneshot::channel();
                self.tell(Event::Pulse(Box::new(pulse), false, tx));
                if let Ok(reply) = rx.await {
                    incoming.reply.send(&reply).await?;
                }
            }
            message::ORDER => {
                let order: Order = incoming.message()?;
                let reply = self.carry_out(self.engine, &order).await;
                incoming.reply.send(&reply).await?;
            }
            message::LOADS => loop {
                let loads = self.loads.borrow().clone();
                incoming.reply.send(&loads).await?;
                if !loads.acts {
                    break;
                }
                tokio::time::sleep(LOADS_EVERY).await;
            },
            path => log::warn!("a peer asked for {path}, which is not known here"),
        }
        incoming.reply.finish();
        Ok(())
    }
}

/// Whether a rank tells what its requests chose. All do in a small group; in a large one some
/// speak for all, as the owner's link is slow.
fn samples(member: Option<&Member>) -> bool {
    member.is_some_and(|member| member.rank % member.ranks.div_ceil(SAMPLING).max(1) == 0)
}

/// Metrics for operators.
struct Operators {
    page: metrics::Page,
}

impl http::Handler for Operators {
    async fn handle(self: rc::Rc<Self>, req: http::Request) -> http::Response {
        match req.uri().path() {
            "/metrics" => http::answer::text(200, self.page.render()),
            path => http::answer::refusal(404, &format!("There is no {path} here."), None),
        }
    }
}
