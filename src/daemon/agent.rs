//! The process's part in the agreement: a thread of its own around [`agree::Node`].

use std::{
    collections::BTreeMap,
    net,
    sync::{Arc, mpsc},
    thread,
    time::{self, Duration},
};

use rand::RngExt;
use rand_pcg::Pcg64;
use stakker::{CX, Stakker, actor, after, call, ret_nop};
use tokio::sync::{mpsc as errands, oneshot};
use xxhash_rust::xxh3;

use crate::{
    Error, Result,
    agree::{
        self,
        change::{Order, Outcome},
        event::{Input, Output, Start, TICK},
        record::{Change, Effective, Op},
        status::Status,
        store,
    },
    config, settings, view,
    wire::gossip,
};

/// What reaches the agent.
pub enum Event {
    /// A peer's message, and where the answers to it go.
    Message(Box<gossip::Message>, Option<oneshot::Sender<Vec<gossip::Message>>>),
    /// The platform answered, or failed to.
    Store(store::Answer),
    /// An operator's order, and where the outcome goes.
    Order(Order, oneshot::Sender<Outcome>),
    /// The status is asked for; starts a survey.
    SurveyedStatus(oneshot::Sender<Status>),
    /// The status is asked for; asks nobody else.
    LocalStatus(oneshot::Sender<Status>),
    /// The configuration in force is asked for.
    Config(oneshot::Sender<Effective>),
    /// The latest changes are asked for.
    History(oneshot::Sender<Vec<Change>>),
    /// The request path met this version.
    VersionSeen(Option<net::SocketAddr>, u64),
    /// The process was told to end.
    Leave,
}

/// What the I/O thread is to do for the agent.
pub enum IoTask {
    /// Send a message.
    Send(net::SocketAddr, Box<gossip::Message>),
    /// Call the platform.
    Store(store::Ask),
}

/// The way to the agent from any thread.
#[derive(Clone)]
pub struct AgentHandle {
    tx: mpsc::Sender<Event>,
}

impl AgentHandle {
    /// Hands over an event; an agent that has ended needs none.
    pub fn send(&self, event: Event) {
        let _ = self.tx.send(event);
    }

    /// Asks the agent; `None` if it has ended.
    pub async fn query<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(event(tx));
        rx.await.ok()
    }
}

/// Starts the agent of the process that takes peers at `peers`; each new view goes to `adopt`.
pub fn start(
    cfg: &settings::Settings,
    peers: net::SocketAddr,
    adopt: impl Fn(Arc<view::View>) + Send + 'static,
) -> Result<(AgentHandle, errands::UnboundedReceiver<IoTask>)> {
    let (tx, rx) = mpsc::channel();
    let (out, errands) = errands::unbounded_channel();
    let mut rng = super::seeded_rng(&cfg.host);
    let start = beginning(cfg, peers, &mut rng);
    let run = move || {
        let mut stakker = Stakker::new(time::Instant::now());
        let adopt = Box::new(adopt);
        let actor = actor!(stakker, Agent::init(start, rng, adopt, out), ret_nop!());
        super::reactor::run(stakker, &rx, |stakker, event| {
            let actor = actor.clone();
            call!([actor, stakker], event(event));
        });
    };
    let spawned = thread::Builder::new().name("agent".into()).spawn(run);
    spawned.map_err(|source| Error::Thread { source })?;
    let link = AgentHandle { tx };
    let told = link.clone();
    super::signals::watch(move || told.send(Event::Leave))?;
    Ok((link, errands))
}

fn beginning(cfg: &settings::Settings, peers: net::SocketAddr, rng: &mut Pcg64) -> Start {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let me = gossip::Member {
        host: cfg.host.clone(),
        zone: cfg.zone.clone(),
        peers,
        server: cfg.backend.as_ref().map(|backend| backend.server.clone()),
        incarnation: since.as_millis() as u64,
        boot: rng.random(),
        leaving: false,
        health: gossip::Health::Alive,
    };
    Start { me, seeds: cfg.seeds.clone(), seed: rng.random() }
}

/// Checksum of the text that was parsed last, and what the text says.
#[derive(Default)]
struct Parsed {
    check: u64,
    config: Arc<config::Config>,
}

struct Agent {
    node: agree::Node,
    started: time::Instant,
    rng: Pcg64,
    parsed: Parsed,
    adopted: Arc<view::View>,
    waiting: BTreeMap<Op, oneshot::Sender<Outcome>>,
    adopt: Box<dyn Fn(Arc<view::View>) + Send>,
    out: errands::UnboundedSender<IoTask>,
}

impl Agent {
    fn init(
        cx: CX![],
        start: Start,
        rng: Pcg64,
        adopt: Box<dyn Fn(Arc<view::View>) + Send>,
        out: errands::UnboundedSender<IoTask>,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        let node = agree::Node::new(start, Duration::ZERO);
        Some(Self {
            node,
            started: cx.now(),
            rng,
            parsed: Default::default(),
            adopted: Arc::default(),
            waiting: BTreeMap::new(),
            adopt,
            out,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.take(self.now(cx), Input::Tick, None);
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = self.now(cx);
        match event {
            Event::Message(message, tx) => {
                let reply = tx.map(|tx| (message.from.peers, tx));
                self.take(now, Input::Message(*message), reply);
            }
            Event::Store(answer) => self.take(now, Input::Store(answer), None),
            Event::Order(order, tx) => {
                let op = Op(self.rng.random());
                self.waiting.insert(op, tx);
                self.take(now, Input::Operator { op, order }, None);
            }
            Event::SurveyedStatus(tx) => {
                self.take(now, Input::Survey, None);
                let _ = tx.send(self.node.status(now));
            }
            Event::LocalStatus(tx) => {
                let _ = tx.send(self.node.status(now));
            }
            Event::Config(tx) => {
                let _ = tx.send(self.node.effective());
            }
            Event::History(tx) => {
                let _ = tx.send(self.node.record().history.clone());
            }
            Event::VersionSeen(from, version) => {
                self.take(now, Input::Heard { from, version }, None)
            }
            Event::Leave => self.take(now, Input::Leave, None),
        }
    }

    fn now(&self, cx: CX![]) -> Duration {
        cx.now().saturating_duration_since(self.started)
    }

    /// Hands `input` to the node and does what it says; messages to the asking
    /// peer go back as answers.
    fn take(
        &mut self,
        now: Duration,
        input: Input,
        reply: Option<(net::SocketAddr, oneshot::Sender<Vec<gossip::Message>>)>,
    ) {
        let mut answers = Vec::new();
        let mut changed = false;
        for output in self.node.handle(now, input) {
            match output {
                Output::Send { to, message }
                    if reply.as_ref().is_some_and(|(from, _)| *from == to) =>
                {
                    answers.push(message);
                }
                Output::Send { to, message } => self.errand(IoTask::Send(to, Box::new(message))),
                Output::Store(ask) => self.errand(IoTask::Store(ask)),
                Output::Adopt(_) | Output::Members => changed = true,
                Output::Answer { op, outcome } => {
                    if let Some(tx) = self.waiting.remove(&op) {
                        let _ = tx.send(outcome);
                    }
                }
            }
        }
        if let Some((_, tx)) = reply {
            let _ = tx.send(answers);
        }
        if changed {
            self.adopt();
        }
    }

    fn errand(&self, errand: IoTask) {
        let _ = self.out.send(errand);
    }

    /// Puts what the node holds in force, if it differs from what is.
    fn adopt(&mut self) {
        let effective = self.node.effective();
        let version = effective.committed.version;
        if version == 0 || !self.parse(&effective) {
            return;
        }
        let view = view::View {
            version,
            config: Arc::clone(&self.parsed.config),
            out: effective.out(),
            sidecar_addresses: self.places(),
        };
        if view != *self.adopted {
            log::info!(version, places = view.sidecar_addresses.len(); "in force");
            self.adopted = Arc::new(view);
            (self.adopt)(Arc::clone(&self.adopted));
        }
    }

    fn parse(&mut self, effective: &Effective) -> bool {
        let text = &effective.committed.text;
        let check = xxh3::xxh3_64(text.as_bytes());
        if self.parsed.check == check {
            return true;
        }
        match config::parse(text) {
            Ok(config) => {
                self.parsed = Parsed { check, config: Arc::new(config) };
                true
            }
            Err(err) => {
                log::error!("The committed text does not parse ({err}); apply a corrected one.");
                false
            }
        }
    }

    fn places(&self) -> BTreeMap<crate::name::Server, net::SocketAddr> {
        let members = self.node.members().into_iter();
        let usable = members.filter(|m| m.health != gossip::Health::Dead && !m.leaving);
        usable.filter_map(|member| Some((member.server?, member.peers))).collect()
    }
}
