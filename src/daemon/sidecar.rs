//! The process in the role of a sidecar.

use std::{
    rc,
    sync::Arc,
    sync::mpsc,
    time::{self, Duration},
};

use stakker::{CX, Stakker, StopCause, actor, after, call, ret_nop};

use super::{Ports, SharedState, agent, control_plane, io_tasks};
use crate::{
    Error, Result, metrics, peer, settings,
    sidecar::{Backend, CallHandler, Core, Event, health},
    wire,
};

/// Time between the last answer and closing the ports, in which entries still
/// hear that the server is leaving.
const LINGER: Duration = Duration::from_secs(2);
/// Pause between two looks at whether all in flight is done.
const LOOK: Duration = Duration::from_millis(50);
/// Connections kept to the backend server.
const POOLED: usize = 64;

/// Runs until told to end and all in flight has been answered.
pub fn run(cfg: settings::Settings) -> Result {
    let backend =
        cfg.backend.clone().ok_or(Error::Settings { problem: "A sidecar needs backend" })?;
    let (tx, rx) = mpsc::channel();
    let switches = SharedState::new();
    let told = tx.clone();
    super::signals::watch(move || super::send(&told, Event::Terminate))?;
    let shared = switches.clone();
    let core = Core::new(backend.server.clone());
    let page = core.metrics().page.clone();
    let io = super::spawn_io(async move || serve(cfg, backend, tx, shared, page).await)?;
    let mut stakker = Stakker::new(time::Instant::now());
    let actor = actor!(stakker, Sidecar::init(core, switches), ret_nop!());
    super::reactor::run(stakker, &rx, |stakker, event| {
        let actor = actor.clone();
        call!([actor, stakker], event(event));
    });
    io.join().unwrap_or(Err(Error::Panicked))
}

struct Sidecar {
    core: Core,
    switches: SharedState,
    started: time::Instant,
    ending: bool,
}

impl Sidecar {
    fn init(cx: CX![], core: Core, switches: SharedState) -> Option<Self> {
        Some(Self { core, switches, started: cx.now(), ending: false })
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = cx.now().saturating_duration_since(self.started);
        match event {
            Event::View(view) => {
                self.core.apply_view(Arc::clone(&view));
                self.switches.view.send_replace(view);
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
            Event::Terminate if self.ending => {}
            Event::Terminate => {
                log::info!("ending: refusing new calls");
                self.ending = true;
                self.core.start_leaving();
                self.look(cx);
            }
            Event::Drained => cx.shutdown(StopCause::Stopped),
        }
    }

    fn look(&mut self, cx: CX![]) {
        match self.core.has_left() {
            true => after!(LINGER, [cx], stop()),
            false => after!(LOOK, [cx], look()),
        };
    }

    fn stop(&mut self, _: CX![]) {
        log::info!("ending: nothing in flight");
        self.switches.stop.send_replace(true);
    }
}

async fn serve(
    cfg: settings::Settings,
    backend: settings::Backend,
    events: mpsc::Sender<Event>,
    on: SharedState,
    page: metrics::Page,
) -> Result {
    let (operators, operators_at) = super::listen(cfg.operators).await?;
    let (peers, peers_at) = super::listen(cfg.peers).await?;
    let ports = Ports { callers: None, operators: operators_at, peers: peers_at };
    cfg.ports_file.as_deref().map_or(Ok(()), |path| ports.write(path))?;

    let (adopt, dump) = (events.clone(), events.clone());
    let link = control_plane::start(
        &cfg,
        peers_at,
        operators,
        page,
        on.stop.subscribe(),
        move |view| super::send(&adopt, Event::View(view)),
        move |tx| super::send(&dump, Event::Dump(tx)),
    )?;

    let backend = Backend::new(&backend, POOLED);
    tokio::task::spawn_local(health::poll(backend.clone(), on.view.subscribe(), events.clone()));
    let call_handler = rc::Rc::new(CallHandler {
        backend,
        events: events.clone(),
        newest_version: Default::default(),
        report_version: {
            let link = link.clone();
            Box::new(move |version| link.send(agent::Event::VersionSeen(None, version)))
        },
    });
    let handle = rc::Rc::new(async move |incoming: peer::Incoming| {
        let handled = match incoming.path.as_str() {
            wire::CALL_PATH => rc::Rc::clone(&call_handler).handle(incoming).await,
            wire::GOSSIP_PATH => io_tasks::serve(incoming, &link).await,
            path => return log::warn!("a peer asked for {path}, which is not known here"),
        };
        if let Err(err) = handled {
            log::info!("{err}");
        }
    });
    peer::serve(peers, cfg.token.as_str().into(), handle, on.stop.subscribe()).await;
    super::send(&events, Event::Drained);
    Ok(())
}
