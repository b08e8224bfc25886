//! The daemon in the role of a sidecar.

use std::{
    rc,
    sync::Arc,
    sync::mpsc,
    time::{self, Duration},
};

use stakker::{CX, Stakker, StopCause, actor, after, call, ret_nop};

use super::{Ports, SharedState, agent, control_plane, io_tasks};
use crate::{
    Error, Result, http, metrics, peer, settings,
    sidecar::{Backend, CallHandler, Core, Event, health},
    wire,
};

/// Time between the last answer and closing the ports, in which entries can still learn that the
/// server is leaving.
const LEAVING_PERIOD: Duration = Duration::from_secs(2);
/// Time between two checks whether all calls in flight have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Most idle connections kept open to the backend server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Runs the sidecar until SIGTERM or SIGINT and until all calls in flight have been answered.
pub fn run(cfg: settings::Settings) -> Result {
    let backend = cfg
        .backend
        .clone()
        .ok_or(Error::Settings { problem: "A sidecar needs the setting `backend`" })?;
    let (tx, rx) = mpsc::channel();
    let state = SharedState::new();
    let signal_tx = tx.clone();
    super::signals::watch(move || super::send_event(&signal_tx, Event::Terminate))?;
    let io_state = state.clone();
    let core = Core::new(backend.server.clone());
    let page = core.metrics().page.clone();
    let io = super::spawn_io(async move || run_io(cfg, backend, tx, io_state, page).await)?;
    let mut stakker = Stakker::new(time::Instant::now());
    let actor = actor!(stakker, SidecarActor::init(core, state), ret_nop!());
    super::reactor::run(stakker, &rx, |stakker, event| {
        let actor = actor.clone();
        call!([actor, stakker], handle_event(event));
    });
    io.join().unwrap_or(Err(Error::ThreadPanicked))
}

struct SidecarActor {
    core: Core,
    state: SharedState,
    started_at: time::Instant,
    shutting_down: bool,
}

impl SidecarActor {
    fn init(cx: CX![], core: Core, state: SharedState) -> Option<Self> {
        Some(Self { core, state, started_at: cx.now(), shutting_down: false })
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = cx.now().saturating_duration_since(self.started_at);
        match event {
            Event::View(view) => {
                self.core.apply_view(Arc::clone(&view));
                self.state.view.send_replace(view);
            }
            Event::Admit(request) => self.core.admit(*request, now),
            Event::Progress { slot, events } => self.core.record_progress(slot, events, now),
            Event::CallEnded { slot, ending } => self.core.end_call(slot, ending, now),
            Event::Health(health) => self.core.record_health(health, now),
            Event::Load(tx) => {
                let _ = tx.send(self.core.load());
            }
            Event::Dump(tx) => {
                let _ = tx.send(self.core.dump());
            }
            Event::Terminate if self.shutting_down => {}
            Event::Terminate => {
                log::info!("shutting down: refusing new calls");
                self.shutting_down = true;
                self.core.start_leaving();
                self.check_drained(cx);
            }
            Event::Drained => cx.shutdown(StopCause::Stopped),
        }
    }

    fn check_drained(&mut self, cx: CX![]) {
        match self.core.has_left() {
            true => after!(LEAVING_PERIOD, [cx], close_ports()),
            false => after!(DRAIN_CHECK_INTERVAL, [cx], check_drained()),
        };
    }

    fn close_ports(&mut self, _: CX![]) {
        log::info!("shutting down: no calls in flight, closing the ports");
        self.state.stop.send_replace(true);
    }
}

/// Opens the ports and serves calls on the I/O thread until the ports are closed.
async fn run_io(
    cfg: settings::Settings,
    backend: settings::Backend,
    events: mpsc::Sender<Event>,
    state: SharedState,
    page: metrics::Page,
) -> Result {
    let (operators, operators_address) = super::bind_port(cfg.operators).await?;
    let (peers, peers_address) = super::bind_port(cfg.peers).await?;
    let ports = Ports { callers: None, operators: operators_address, peers: peers_address };
    cfg.ports_file.as_deref().map_or(Ok(()), |path| ports.write(path))?;

    let clients = http::Clients::new(&cfg.machine, &page);
    let (view_events, dump_events) = (events.clone(), events.clone());
    let agent_handle = control_plane::start(
        &cfg,
        peers_address,
        operators,
        (page, Arc::clone(&clients)),
        state.stop.subscribe(),
        move |view| super::send_event(&view_events, Event::View(view)),
        move |tx| super::send_event(&dump_events, Event::Dump(tx)),
    )?;

    let backend = Backend::new(&backend, MAX_IDLE_CONNECTIONS);
    tokio::task::spawn_local(health::poll(backend.clone(), state.view.subscribe(), events.clone()));
    let call_handler = rc::Rc::new(CallHandler {
        backend,
        events: events.clone(),
        newest_version: Default::default(),
        report_version: {
            let agent_handle = agent_handle.clone();
            Box::new(move |version| agent_handle.send(agent::Event::VersionSeen(None, version)))
        },
    });
    let peer_handler = rc::Rc::new(async move |incoming: peer::IncomingRequest| {
        let result = match incoming.path.as_str() {
            wire::CALL_PATH => rc::Rc::clone(&call_handler).handle(incoming).await,
            wire::GOSSIP_PATH => io_tasks::serve_gossip(incoming, &agent_handle).await,
            path => return log::warn!("a peer requested the unknown path {path}"),
        };
        if let Err(err) = result {
            log::info!("{err}");
        }
    });
    let token = cfg.token.as_str().into();
    peer::serve(peers, clients, token, peer_handler, state.stop.subscribe()).await;
    super::send_event(&events, Event::Drained);
    Ok(())
}
