//! The process in the role of an entry.

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

/// Longest time for which an entry with a configuration waits to know a backend
/// server of each service before it is ready.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time between two looks at queued requests.
const TICK: Duration = Duration::from_millis(10);

/// Time between refusing new requests and closing the ports, so that callers on
/// kept connections get an answer.
const REFUSING: Duration = Duration::from_secs(1);

/// Runs until told to end and all in flight has been answered.
pub fn run(cfg: settings::Settings) -> Result {
    let (tx, rx) = mpsc::channel();
    let switches = SharedState::new();
    let metrics = metrics::Entry::new();
    let told = tx.clone();
    super::signals::watch(move || super::send(&told, Event::Terminate))?;
    let lag = Duration::from_millis(cfg.balancer_lag_ms);
    let started = time::Instant::now();
    let seed = super::seeded_rng(&cfg.host).random();
    let core = Core::new(&cfg.host, &cfg.zone, seed, started, metrics.clone());
    let (shared, counted) = (switches.clone(), metrics.clone());
    let io = super::spawn_io(async move || serve(cfg, tx, shared, counted).await)?;
    let mut stakker = Stakker::new(started);
    let actor = actor!(stakker, Entry::init(core, switches, metrics, lag), ret_nop!());
    super::reactor::run(stakker, &rx, |stakker, event| {
        let actor = actor.clone();
        call!([actor, stakker], event(event));
    });
    io.join().unwrap_or(Err(Error::Panicked))
}

struct Entry {
    core: Core,
    switches: SharedState,
    metrics: metrics::Entry,
    lag: Duration,
    version: u64,
    ending: bool,
    ticking: bool,
}

impl Entry {
    fn init(
        _: CX![],
        core: Core,
        switches: SharedState,
        metrics: metrics::Entry,
        lag: Duration,
    ) -> Option<Self> {
        let (version, ending, ticking) = (0, false, false);
        Some(Self { core, switches, metrics, lag, version, ending, ticking })
    }

    fn event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::View(view) => {
                self.core.apply_view(Arc::clone(&view), cx.now());
                self.metrics.page.version(view.version);
                self.switches.view.send_replace(Arc::clone(&view));
                match () {
                    () if view.version == 0 || self.ending => {}
                    () if view.all_services_reachable() => self.serve(cx),
                    () if self.version == 0 => drop(after!(PATIENCE, [cx], serve())),
                    () => {}
                }
                self.version = view.version;
            }
            Event::Route(request) => {
                self.core.route(*request, cx.now());
                self.watch(cx);
            }
            Event::AttemptUpdate { service, ticket, outcome, ended } => {
                if ended {
                    self.metrics.attempt(outcome.label());
                }
                self.core.record_outcome(&service, &ticket, &outcome, cx.now());
            }
            Event::Dump(tx) => {
                let _ = tx.send(self.core.dump(cx.now()));
            }
            Event::Terminate if self.ending => {}
            Event::Terminate => {
                log::info!("ending: not ready, still serving");
                self.ending = true;
                self.metrics.page.ready(false);
                self.switches.ready.send_replace(false);
                after!(self.lag, [cx], refuse());
            }
            Event::Drained => cx.shutdown(StopCause::Stopped),
        }
    }

    /// Keeps a timer while requests are queued.
    fn watch(&mut self, cx: CX![]) {
        if self.core.has_queued() && !self.ticking {
            self.ticking = true;
            after!(TICK, [cx], tick());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.ticking = false;
        self.core.update_queues(cx.now());
        self.watch(cx);
    }

    /// Tells the balancer that requests can be sent here.
    fn serve(&mut self, _: CX![]) {
        self.metrics.page.ready(!self.ending);
        self.switches.ready.send_replace(!self.ending);
    }

    fn refuse(&mut self, cx: CX![]) {
        log::info!("ending: refusing new requests");
        self.switches.refusing.send_replace(true);
        after!(REFUSING, [cx], stop());
    }

    fn stop(&mut self, _: CX![]) {
        log::info!("ending: finishing requests in flight");
        self.switches.stop.send_replace(true);
    }
}

async fn serve(
    cfg: settings::Settings,
    events: mpsc::Sender<Event>,
    on: SharedState,
    metrics: metrics::Entry,
) -> Result {
    let callers = cfg.callers.ok_or(Error::Settings { problem: "An entry needs callers" })?;
    let (callers, callers_at) = super::listen(callers).await?;
    let (operators, operators_at) = super::listen(cfg.operators).await?;
    let (peers, peers_at) = super::listen(cfg.peers).await?;
    let ports = Ports { callers: Some(callers_at), operators: operators_at, peers: peers_at };
    cfg.ports_file.as_deref().map_or(Ok(()), |path| ports.write(path))?;

    let (adopt, dump) = (events.clone(), events.clone());
    let link = control_plane::start(
        &cfg,
        peers_at,
        operators,
        metrics.page.clone(),
        on.stop.subscribe(),
        move |view| super::send(&adopt, Event::View(view)),
        move |tx| super::send(&dump, Event::Dump(tx)),
    )?;
    let heard = link.clone();
    let handle = rc::Rc::new(async move |incoming: peer::Incoming| {
        let handled = match incoming.path.as_str() {
            wire::GOSSIP_PATH => io_tasks::serve(incoming, &link).await,
            path => return log::warn!("a peer asked for {path}, which is not known here"),
        };
        if let Err(err) = handled {
            log::info!("{err}");
        }
    });
    let token = cfg.token.as_str().into();
    tokio::task::spawn_local(peer::serve(peers, token, handle, on.stop.subscribe()));

    let (open, mut closed) = tokio::sync::mpsc::channel(1);
    let handler = RequestHandler {
        view: on.view.subscribe(),
        events: events.clone(),
        pool: peer::Pool::new(&cfg.token),
        ready: on.ready.subscribe(),
        refusing: on.refusing.subscribe(),
        id_generator: cell::RefCell::new(super::seeded_rng(&cfg.host)),
        retry_budgets: Default::default(),
        started_at: time::Instant::now(),
        metrics,
        claims: once::Claims::new(cloud::Client::new(&cfg.platform)),
        open_calls: open,
        report_version: Box::new(move |from, version| {
            heard.send(agent::Event::VersionSeen(Some(from), version));
        }),
    };
    http::serve(callers, http::Limits::default, rc::Rc::new(handler), on.stop.subscribe()).await;
    closed.recv().await;
    super::send(&events, Event::Drained);
    Ok(())
}
