//! The daemon in the role of an entry.

use std::{
    cell, rc,
    sync::Arc,
    sync::mpsc,
    time::{self, Duration},
};

use rand::RngExt as _;
use stakker::{CX, Stakker, StopCause, actor, after, call, ret_nop};

use super::{Ports, SharedState, agent, control_plane, io_tasks};
use crate::{
    Error, Result, cloud,
    entry::{Core, Event, RequestHandler, once},
    http, metrics, peer, settings, wire,
};

/// Longest time for which an entry that has its first configuration waits for the address of a
/// backend server of each service before it reports ready.
const MAX_SERVER_WAIT: Duration = Duration::from_secs(5);

/// Time between two updates of the queues while requests wait in them.
const QUEUE_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Time between refusing new requests and closing the ports, so that callers on kept-alive
/// connections receive the refusal.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// Largest number of connections of callers.
const MAX_CALLER_CONNECTIONS: usize = 1_024;

/// Runs the entry until SIGTERM or SIGINT and until all requests in flight have been answered.
pub fn run(cfg: settings::Settings) -> Result {
    let (tx, rx) = mpsc::channel();
    let state = SharedState::new();
    let metrics = metrics::Entry::new();
    let signal_tx = tx.clone();
    super::signals::watch(move || super::send_event(&signal_tx, Event::Terminate))?;
    let balancer_lag = Duration::from_millis(cfg.balancer_lag_ms);
    let started_at = time::Instant::now();
    let seed = super::seeded_rng(&cfg.host).random();
    let core = Core::new(&cfg.host, &cfg.zone, seed, started_at, metrics.clone());
    let (io_state, io_metrics) = (state.clone(), metrics.clone());
    let io = super::spawn_io(async move || run_io(cfg, tx, io_state, io_metrics).await)?;
    let mut stakker = Stakker::new(started_at);
    let actor = actor!(stakker, EntryActor::init(core, state, metrics, balancer_lag), ret_nop!());
    super::reactor::run(stakker, &rx, |stakker, event| {
        let actor = actor.clone();
        call!([actor, stakker], handle_event(event));
    });
    io.join().unwrap_or(Err(Error::ThreadPanicked))
}

struct EntryActor {
    core: Core,
    state: SharedState,
    metrics: metrics::Entry,
    balancer_lag: Duration,
    version: u64,
    shutting_down: bool,
    queue_timer_set: bool,
}

impl EntryActor {
    fn init(
        _: CX![],
        core: Core,
        state: SharedState,
        metrics: metrics::Entry,
        balancer_lag: Duration,
    ) -> Option<Self> {
        let (version, shutting_down, queue_timer_set) = (0, false, false);
        Some(Self { core, state, metrics, balancer_lag, version, shutting_down, queue_timer_set })
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::View(view) => {
                self.core.apply_view(Arc::clone(&view), cx.now());
                self.metrics.page.set_version(view.version);
                self.state.view.send_replace(Arc::clone(&view));
                match () {
                    () if view.version == 0 || self.shutting_down => {}
                    () if view.all_services_reachable() => self.report_ready(cx),
                    () if self.version == 0 => drop(after!(MAX_SERVER_WAIT, [cx], report_ready())),
                    () => {}
                }
                self.version = view.version;
            }
            Event::Route(request) => {
                self.core.route(*request, cx.now());
                self.set_queue_timer(cx);
            }
            Event::AttemptUpdate { service, ticket, outcome, ended } => {
                if ended {
                    self.metrics.count_attempt(outcome.label());
                }
                self.core.record_outcome(&service, &ticket, &outcome, cx.now());
            }
            Event::Dump(tx) => {
                let _ = tx.send(self.core.dump(cx.now()));
            }
            Event::Terminate if self.shutting_down => {}
            Event::Terminate => {
                log::info!("shutting down: reporting not ready, still serving requests");
                self.shutting_down = true;
                self.metrics.page.set_ready(false);
                self.state.ready.send_replace(false);
                after!(self.balancer_lag, [cx], refuse_requests());
            }
            Event::Drained => cx.shutdown(StopCause::Stopped),
        }
    }

    /// Sets the timer for the next queue update if requests are queued and it is not set yet.
    fn set_queue_timer(&mut self, cx: CX![]) {
        if self.core.has_queued() && !self.queue_timer_set {
            self.queue_timer_set = true;
            after!(QUEUE_UPDATE_INTERVAL, [cx], update_queues());
        }
    }

    fn update_queues(&mut self, cx: CX![]) {
        self.queue_timer_set = false;
        self.core.update_queues(cx.now());
        self.set_queue_timer(cx);
    }

    /// Reports the process as ready to the balancer, unless it is shutting down.
    fn report_ready(&mut self, _: CX![]) {
        self.metrics.page.set_ready(!self.shutting_down);
        self.state.ready.send_replace(!self.shutting_down);
    }

    fn refuse_requests(&mut self, cx: CX![]) {
        log::info!("shutting down: refusing new requests");
        self.state.refusing.send_replace(true);
        after!(REFUSAL_PERIOD, [cx], close_ports());
    }

    fn close_ports(&mut self, _: CX![]) {
        log::info!("shutting down: finishing requests in flight");
        self.state.stop.send_replace(true);
    }
}

/// Opens the ports and serves requests on the I/O thread until the ports are closed and all
/// requests in flight have been answered.
async fn run_io(
    cfg: settings::Settings,
    events: mpsc::Sender<Event>,
    state: SharedState,
    metrics: metrics::Entry,
) -> Result {
    let callers =
        cfg.callers.ok_or(Error::Settings { problem: "An entry needs the setting `callers`" })?;
    let (callers, callers_address) = super::bind_port(callers).await?;
    let (operators, operators_address) = super::bind_port(cfg.operators).await?;
    let (peers, peers_address) = super::bind_port(cfg.peers).await?;
    let ports = Ports {
        callers: Some(callers_address),
        operators: operators_address,
        peers: peers_address,
    };
    cfg.ports_file.as_deref().map_or(Ok(()), |path| ports.write(path))?;

    let clients = http::Clients::new(&cfg.machine, &metrics.page);
    let (view_events, dump_events) = (events.clone(), events.clone());
    let agent_handle = control_plane::start(
        &cfg,
        peers_address,
        operators,
        (metrics.page.clone(), Arc::clone(&clients)),
        state.stop.subscribe(),
        move |view| super::send_event(&view_events, Event::View(view)),
        move |tx| super::send_event(&dump_events, Event::Dump(tx)),
    )?;
    let version_reporter = agent_handle.clone();
    let peer_handler = rc::Rc::new(async move |incoming: peer::IncomingRequest| {
        let result = match incoming.path.as_str() {
            wire::GOSSIP_PATH => io_tasks::serve_gossip(incoming, &agent_handle).await,
            path => return log::warn!("a peer requested the unknown path {path}"),
        };
        if let Err(err) = result {
            log::info!("{err}");
        }
    });
    let token = cfg.token.as_str().into();
    let serving_clients = Arc::clone(&clients);
    let stop = state.stop.subscribe();
    tokio::task::spawn_local(peer::serve(peers, serving_clients, token, peer_handler, stop));

    let (open_calls, mut all_closed) = tokio::sync::mpsc::channel(1);
    let handler = RequestHandler {
        view: state.view.subscribe(),
        events: events.clone(),
        pool: peer::Pool::new(&cfg.token),
        ready: state.ready.subscribe(),
        refusing: state.refusing.subscribe(),
        id_generator: cell::RefCell::new(super::seeded_rng(&cfg.host)),
        retry_budgets: Default::default(),
        started_at: time::Instant::now(),
        metrics,
        claims: once::Claims::new(cloud::Client::new(&cfg.platform)),
        open_calls,
        report_version: Box::new(move |from, version| {
            version_reporter.send(agent::Event::VersionSeen(Some(from), version));
        }),
    };
    let limits = http::Limits { max_connections: MAX_CALLER_CONNECTIONS, ..Default::default() };
    let port = ("callers", clients);
    http::serve(callers, port, move || limits, rc::Rc::new(handler), state.stop.subscribe()).await;
    all_closed.recv().await;
    super::send_event(&events, Event::Drained);
    Ok(())
}
