//! The daemon: starts the role that the settings name and runs it to its end.
//!
//! The main thread owns all state and runs the stakker actors; one I/O thread
//! runs all sockets; bounded worker threads make the blocking calls.

use std::{env, fs, net, path, process, sync::Arc, sync::mpsc, thread, time};

use rand::SeedableRng;
use tokio::{sync::watch, task};

use crate::{Error, Result, gateway, logging, name, rank, settings, view};

pub mod agent;
pub mod args;
pub mod control_plane;
pub mod entry;
pub mod io_tasks;
pub mod operators_port;
pub mod orders;
pub mod ports;
pub mod reactor;
pub mod reload;
pub mod sidecar;
pub mod signals;

pub use ports::Ports;

/// Most worker threads for blocking calls.
const WORKERS: usize = 512;
/// Stack of a worker thread, in bytes.
const WORKER_STACK: usize = 512 << 10;
/// Time after which an idle worker thread ends.
const WORKER_IDLE: time::Duration = time::Duration::from_secs(10);

/// Runs the daemon with the process's arguments.
pub fn run() -> process::ExitCode {
    match args::parse(env::args_os().skip(1)) {
        Ok(args::Args::Run { settings }) => {
            let ended = start(&settings);
            logging::finish();
            finish(ended)
        }
        Ok(args::Args::Print(text)) => {
            print!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(err) => finish(Err(err)),
    }
}

fn finish(ended: Result) -> process::ExitCode {
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("knapweedfordd: {err}");
            process::ExitCode::FAILURE
        }
    }
}

fn start(path: &path::Path) -> Result {
    logging::start();
    let shown = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| Error::File { path: shown, source })?;
    if settings::site::Settings::has_site_role(&text) {
        return start_on_site(path, &text);
    }
    let cfg = settings::parse_text(path, &text, settings::Settings::parse)?;
    log::info!(host:% = cfg.host, role:? = cfg.role; "starting");
    match cfg.role {
        settings::Role::Entry => entry::run(cfg),
        settings::Role::Sidecar => sidecar::run(cfg),
    }
}

/// Runs a role of the users' platform.
fn start_on_site(path: &path::Path, text: &str) -> Result {
    let cfg = settings::parse_text(path, text, settings::site::Settings::parse)?;
    log::info!(host:% = cfg.host, role:? = cfg.role; "starting");
    match cfg.role.clone() {
        settings::site::Role::Gateway { callers, readiness } => {
            gateway::run(cfg, path, callers, readiness)
        }
        settings::site::Role::Rank { engine, .. } => rank::agent::run(cfg, path, engine),
    }
}

/// The ends that the I/O thread and the main thread share.
#[derive(Clone)]
pub struct SharedState {
    /// Configuration in force.
    pub view: watch::Sender<Arc<view::View>>,
    /// Whether the balancer should send requests here.
    pub ready: watch::Sender<bool>,
    /// Whether new requests are refused.
    pub refusing: watch::Sender<bool>,
    /// Whether the ports close once what is in flight has been flushed.
    pub stop: watch::Sender<bool>,
}

impl SharedState {
    /// All off, with no configuration.
    pub fn new() -> Self {
        Self {
            view: watch::Sender::new(Arc::default()),
            ready: watch::Sender::new(false),
            refusing: watch::Sender::new(false),
            stop: watch::Sender::new(false),
        }
    }
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new()
    }
}

/// Runs `serve` on this thread until it ends; work on other threads is left behind then.
pub fn block_on(serve: impl Future<Output = Result>) -> Result {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(WORKERS)
        .thread_stack_size(WORKER_STACK)
        .thread_keep_alive(WORKER_IDLE)
        .build()
        .map_err(|source| Error::Thread { source })?;
    let ended = task::LocalSet::new().block_on(&runtime, serve);
    runtime.shutdown_timeout(time::Duration::ZERO);
    ended
}

/// Starts the I/O thread on `serve`.
pub fn spawn_io<F>(serve: F) -> Result<thread::JoinHandle<Result>>
where
    F: AsyncFnOnce() -> Result + Send + 'static,
{
    let started = thread::Builder::new().name("io".into()).spawn(move || block_on(serve()));
    started.map_err(|source| Error::Thread { source })
}

/// A generator whose seed differs between processes and starts.
pub fn seeded_rng(host: &name::Host) -> rand_pcg::Pcg64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let seed = xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes());
    let mixed = seed ^ now.as_nanos() as u64 ^ (u64::from(process::id()) << 32);
    rand_pcg::Pcg64::seed_from_u64(mixed)
}

/// Opens a port of this process.
async fn listen(addr: net::SocketAddr) -> Result<(tokio::net::TcpListener, net::SocketAddr)> {
    let listener = crate::http::listen(addr).await?;
    let bound = listener
        .local_addr()
        .map_err(|source| Error::Listen { address: addr.to_string(), source })?;
    Ok((listener, bound))
}

/// Sends an event on; a main thread that is gone needs none.
fn send<E>(events: &mpsc::Sender<E>, event: E) {
    let _ = events.send(event);
}
