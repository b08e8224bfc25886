//! The agent: a thread that runs the process's [`agree::Node`], its part in the agreement
//! between all processes.

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
use tokio::sync::{mpsc as tokio_mpsc, oneshot};
use xxhash_rust::xxh3;

use crate::{
    Error, Result,
    agree::{
        self,
        change::{Order, Outcome},
        event::{Input, Output, Start, TICK},
        record::{Change, Effective, OrderId},
        status::Status,
        store,
    },
    config, settings, view,
    wire::gossip,
};

/// An event for the agent.
pub enum Event {
    /// A message from a peer; the sender takes the replies if the peer waits for them.
    Message(Box<gossip::Message>, Option<oneshot::Sender<Vec<gossip::Message>>>),
    /// A call to the platform returned or failed.
    Store(store::Answer),
    /// An order from an operator; the sender takes its outcome.
    Order(Order, oneshot::Sender<Outcome>),
    /// A request for the status that also asks all processes for their version.
    SurveyedStatus(oneshot::Sender<Status>),
    /// A request for the status as this process knows it now, without messages to others.
    LocalStatus(oneshot::Sender<Status>),
    /// A request for the configuration in force.
    Config(oneshot::Sender<Effective>),
    /// A request for the latest committed changes.
    History(oneshot::Sender<Vec<Change>>),
    /// A call or reply between an entry and a sidecar carried this configuration version; the
    /// address is that of the other process, if it is known.
    VersionSeen(Option<net::SocketAddr>, u64),
    /// The process received SIGTERM or SIGINT and leaves the membership.
    Leave,
}

/// Work that the I/O thread does for the agent.
pub enum IoTask {
    /// Send a message to the peer at this address.
    Send(net::SocketAddr, Box<gossip::Message>),
    /// Make a call to the platform.
    Store(store::Call),
}

/// Sends events to the agent from any thread.
#[derive(Clone)]
pub struct AgentHandle {
    tx: mpsc::Sender<Event>,
}

impl AgentHandle {
    /// Sends an event; it is dropped if the agent has ended.
    pub fn send(&self, event: Event) {
        let _ = self.tx.send(event);
    }

    /// Sends the event that `event` makes from a reply channel and returns the reply; `None` if the
    /// agent has ended.
    pub async fn query<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(event(tx));
        rx.await.ok()
    }
}

/// Starts the agent of the process whose peer port is `peers`, and passes each new view to
/// `publish_view`. Returns a handle to the agent and the work that it queues for the I/O thread.
pub fn start(
    cfg: &settings::Settings,
    peers: net::SocketAddr,
    publish_view: impl Fn(Arc<view::View>) + Send + 'static,
) -> Result<(AgentHandle, tokio_mpsc::UnboundedReceiver<IoTask>)> {
    let (tx, rx) = mpsc::channel();
    let (io_tasks, queued_io_tasks) = tokio_mpsc::unbounded_channel();
    let mut rng = super::seeded_rng(&cfg.host);
    let start = start_params(cfg, peers, &mut rng);
    let run = move || {
        let mut stakker = Stakker::new(time::Instant::now());
        let publish_view = Box::new(publish_view);
        let actor = actor!(stakker, Agent::init(start, rng, publish_view, io_tasks), ret_nop!());
        super::reactor::run(stakker, &rx, |stakker, event| {
            let actor = actor.clone();
            call!([actor, stakker], handle_event(event));
        });
    };
    let spawned = thread::Builder::new().name("agent".into()).spawn(run);
    spawned.map_err(|source| Error::Thread { source })?;
    let handle = AgentHandle { tx };
    let signal_handle = handle.clone();
    super::signals::watch(move || signal_handle.send(Event::Leave))?;
    Ok((handle, queued_io_tasks))
}

fn start_params(cfg: &settings::Settings, peers: net::SocketAddr, rng: &mut Pcg64) -> Start {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let me = gossip::Member {
        host: cfg.host.clone(),
        zone: cfg.zone.clone(),
        peers,
        server: cfg.backend.as_ref().map(|backend| backend.server.clone()),
        incarnation: since_epoch.as_millis() as u64,
        boot: rng.random(),
        leaving: false,
        health: gossip::Health::Alive,
    };
    Start { me, seeds: cfg.seeds.clone(), seed: rng.random() }
}

/// The configuration that was parsed last, with the checksum of its text.
#[derive(Default)]
struct ParsedConfig {
    checksum: u64,
    config: Arc<config::Config>,
}

struct Agent {
    node: agree::Node,
    started_at: time::Instant,
    rng: Pcg64,
    parsed: ParsedConfig,
    published_view: Arc<view::View>,
    pending_orders: BTreeMap<OrderId, oneshot::Sender<Outcome>>,
    publish_view: Box<dyn Fn(Arc<view::View>) + Send>,
    io_tasks: tokio_mpsc::UnboundedSender<IoTask>,
}

impl Agent {
    fn init(
        cx: CX![],
        start: Start,
        rng: Pcg64,
        publish_view: Box<dyn Fn(Arc<view::View>) + Send>,
        io_tasks: tokio_mpsc::UnboundedSender<IoTask>,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        let node = agree::Node::new(start, Duration::ZERO);
        Some(Self {
            node,
            started_at: cx.now(),
            rng,
            parsed: Default::default(),
            published_view: Arc::default(),
            pending_orders: BTreeMap::new(),
            publish_view,
            io_tasks,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.handle_input(self.now(cx), Input::Tick, None);
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = self.now(cx);
        match event {
            Event::Message(message, tx) => {
                let reply = tx.map(|tx| (message.from.peers, tx));
                self.handle_input(now, Input::Message(*message), reply);
            }
            Event::Store(answer) => self.handle_input(now, Input::Store(answer), None),
            Event::Order(order, tx) => {
                let op = OrderId(self.rng.random());
                self.pending_orders.insert(op, tx);
                self.handle_input(now, Input::Operator { op, order }, None);
            }
            Event::SurveyedStatus(tx) => {
                self.handle_input(now, Input::Survey, None);
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
                self.handle_input(now, Input::VersionReceived { from, version }, None)
            }
            Event::Leave => self.handle_input(now, Input::Leave, None),
        }
    }

    fn now(&self, cx: CX![]) -> Duration {
        cx.now().saturating_duration_since(self.started_at)
    }

    /// Passes `input` to the node and carries out its outputs. Messages to the peer that waits for
    /// a reply are returned through `reply`.
    fn handle_input(
        &mut self,
        now: Duration,
        input: Input,
        reply: Option<(net::SocketAddr, oneshot::Sender<Vec<gossip::Message>>)>,
    ) {
        let mut replies = Vec::new();
        let mut view_changed = false;
        for output in self.node.handle(now, input) {
            match output {
                Output::Send { to, message }
                    if reply.as_ref().is_some_and(|(from, _)| *from == to) =>
                {
                    replies.push(message);
                }
                Output::Send { to, message } => {
                    self.queue_io_task(IoTask::Send(to, Box::new(message)))
                }
                Output::Store(call) => self.queue_io_task(IoTask::Store(call)),
                Output::Adopt(_) | Output::Members => view_changed = true,
                Output::Answer { op, outcome } => {
                    if let Some(tx) = self.pending_orders.remove(&op) {
                        let _ = tx.send(outcome);
                    }
                }
            }
        }
        if let Some((_, tx)) = reply {
            let _ = tx.send(replies);
        }
        if view_changed {
            self.update_view();
        }
    }

    fn queue_io_task(&self, task: IoTask) {
        let _ = self.io_tasks.send(task);
    }

    /// Publishes the view of the configuration that is in force at the node, if the view changed.
    /// Version 0 and a configuration that does not parse leave the published view as it is.
    fn update_view(&mut self) {
        let effective = self.node.effective();
        let version = effective.committed.version;
        if version == 0 || !self.parse_committed(&effective) {
            return;
        }
        let view = view::View {
            version,
            config: Arc::clone(&self.parsed.config),
            out: effective.out(),
            sidecar_addresses: self.sidecar_addresses(),
        };
        if view != *self.published_view {
            log::info!(version, servers = view.sidecar_addresses.len(); "configuration in force");
            self.published_view = Arc::new(view);
            (self.publish_view)(Arc::clone(&self.published_view));
        }
    }

    fn parse_committed(&mut self, effective: &Effective) -> bool {
        let text = &effective.committed.text;
        let checksum = xxh3::xxh3_64(text.as_bytes());
        if self.parsed.checksum == checksum {
            return true;
        }
        match config::parse(text) {
            Ok(config) => {
                self.parsed = ParsedConfig { checksum, config: Arc::new(config) };
                true
            }
            Err(err) => {
                log::error!(
                    "the committed configuration does not parse ({err}); apply a corrected one"
                );
                false
            }
        }
    }

    fn sidecar_addresses(&self) -> BTreeMap<crate::name::Server, net::SocketAddr> {
        let members = self.node.members().into_iter();
        let usable =
            members.filter(|member| member.health != gossip::Health::Dead && !member.leaving);
        usable.filter_map(|member| Some((member.server?, member.peers))).collect()
    }
}
