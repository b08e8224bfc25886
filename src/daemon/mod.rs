//! The daemon: starts the role that the settings file sets and runs it until it ends.
//!
//! The main thread owns all state and runs the stakker actors; one I/O thread runs all sockets;
//! a bounded number of worker threads makes the blocking calls.

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

/// Most worker threads for blocking calls at a time.
const MAX_WORKERS: usize = 512;
/// Stack of a worker thread, in bytes.
const WORKER_STACK_BYTES: usize = 512 << 10;
/// Time after which an idle worker thread ends.
const WORKER_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Runs the daemon with the arguments of the process and returns its exit code.
pub fn run() -> process::ExitCode {
    match args::parse(env::args_os().skip(1)) {
        Ok(args::Args::Run { settings }) => {
            let result = run_role(&settings);
            logging::flush_at_exit();
            exit_code(result)
        }
        Ok(args::Args::Print(text)) => {
            print!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(err) => exit_code(Err(err)),
    }
}

fn exit_code(result: Result) -> process::ExitCode {
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("knapweedfordd: {err}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs the role that the settings file at `path` sets.
fn run_role(path: &path::Path) -> Result {
    logging::start();
    let display = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| Error::File { path: display, source })?;
    if settings::site::Settings::has_site_role(&text) {
        return run_site_role(path, &text);
    }
    let cfg = settings::parse_text(path, &text, settings::Settings::parse)?;
    log::info!(host:% = cfg.host, role:? = cfg.role; "starting");
    match cfg.role {
        settings::Role::Entry => entry::run(cfg),
        settings::Role::Sidecar => sidecar::run(cfg),
    }
}

/// Runs a role that exists on the users' platform only: gateway or rank agent.
fn run_site_role(path: &path::Path, text: &str) -> Result {
    let cfg = settings::parse_text(path, text, settings::site::Settings::parse)?;
    log::info!(host:% = cfg.host, role:? = cfg.role; "starting");
    match cfg.role.clone() {
        settings::site::Role::Gateway { callers, readiness } => {
            gateway::run(cfg, path, callers, readiness)
        }
        settings::site::Role::Rank { engine, .. } => rank::agent::run(cfg, path, engine),
    }
}

/// State of the process that the main thread sends to the I/O thread.
#[derive(Clone)]
pub struct SharedState {
    /// Configuration in force.
    pub view: watch::Sender<Arc<view::View>>,
    /// Whether the balancer should send requests to this process.
    pub ready: watch::Sender<bool>,
    /// Whether new requests are refused.
    pub refusing: watch::Sender<bool>,
    /// Whether the ports close once all answers in flight have been flushed.
    pub stop: watch::Sender<bool>,
}

impl SharedState {
    /// Creates the state of a starting process: not ready, no configuration in force.
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

/// Runs the future `serve` on this thread until it ends. Blocking calls that still run on worker
/// threads are not waited for.
pub fn block_on(serve: impl Future<Output = Result>) -> Result {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_WORKERS)
        .thread_stack_size(WORKER_STACK_BYTES)
        .thread_keep_alive(WORKER_IDLE_TIMEOUT)
        .build()
        .map_err(|source| Error::Thread { source })?;
    let result = task::LocalSet::new().block_on(&runtime, serve);
    runtime.shutdown_timeout(time::Duration::ZERO);
    result
}

/// Starts the I/O thread, which runs `serve` until it ends.
pub fn spawn_io<F>(serve: F) -> Result<thread::JoinHandle<Result>>
where
    F: AsyncFnOnce() -> Result + Send + 'static,
{
    let spawned = thread::Builder::new().name("io".into()).spawn(move || block_on(serve()));
    spawned.map_err(|source| Error::Thread { source })
}

/// Returns a random generator whose seed differs between processes and between their starts.
pub fn seeded_rng(host: &name::Host) -> rand_pcg::Pcg64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let host_hash = xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes());
    let seed = host_hash ^ now.as_nanos() as u64 ^ (u64::from(process::id()) << 32);
    rand_pcg::Pcg64::seed_from_u64(seed)
}

/// Opens a port of this process; returns the listener and the address that it is bound to.
async fn bind_port(addr: net::SocketAddr) -> Result<(tokio::net::TcpListener, net::SocketAddr)> {
    let listener = crate::http::listen(addr).await?;
    let bound = listener
        .local_addr()
        .map_err(|source| Error::Listen { address: addr.to_string(), source })?;
    Ok((listener, bound))
}

/// Sends an event to the main thread; it is dropped if the main thread has ended.
fn send_event<E>(events: &mpsc::Sender<E>, event: E) {
    let _ = events.send(event);
}
