//! The gateway: accepts requests of clients and sends each to a backend server that it selects.
//!
//! One thread runs all sockets and holds all state. [`state`] holds the configuration, the registry
//! and the load of the servers, and selects a server for each attempt; [`reservation`] records there
//! what comes of the attempt. [`watch`] updates the state from the store and from rank agents, and
//! [`crash_notes`] shares what gateways know of crashes. [`forward`] sends a request and retries it
//! where that is safe, and [`relay`] forwards a stream of events to the client.

use std::{net, path, rc, sync::Arc, time};

use tokio::{sync::watch as watch_channel, task};

use crate::{Result, daemon, http, metrics, platform, settings::site};

pub mod attempt;
pub mod backoff;
pub mod crash_notes;
pub mod fingerprint;
pub mod forward;
pub mod handlers;
pub mod refusal;
pub mod relay;
pub mod request_log;
pub mod reservation;
pub mod state;
pub mod watch;

/// Time after SIGTERM for which new connections are still accepted: the platform's balancer polls
/// readiness once a second and stops sending after two polls that failed.
const BALANCER_LAG: time::Duration = time::Duration::from_millis(2_500);
/// Time before SIGKILL at which requests still in flight are aborted, so that the process ends by
/// itself.
const ABORT_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Time for sending the answers to aborted requests.
const ABORT_ANSWER_TIME: time::Duration = time::Duration::from_millis(150);
/// Time between two sweeps of idle connections to backend servers.
const IDLE_SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Runs the gateway until SIGTERM, listening for clients on `client_addr` and for the balancer's
/// readiness polls on `readiness_addr`.
pub fn run(
    cfg: site::Settings,
    path: &path::Path,
    client_addr: net::SocketAddr,
    readiness_addr: net::SocketAddr,
) -> Result {
    daemon::block_on(serve(cfg, path.into(), client_addr, readiness_addr))
}

async fn serve(
    cfg: site::Settings,
    path: path::PathBuf,
    client_addr: net::SocketAddr,
    readiness_addr: net::SocketAddr,
) -> Result {
    let grace = cfg.grace;
    let clients = http::listen(client_addr).await?;
    let readiness = http::listen(readiness_addr).await?;
    let operators = http::listen(cfg.operators).await?;
    let stop = watch_channel::Sender::new(false);
    let metrics = metrics::Entry::new();
    let connected = http::Clients::new(&cfg.machine, &metrics.page);
    let gateway = state::Gateway::new(&cfg, metrics.clone());
    let store = platform::Store::new(cfg.store);
    task::spawn_local(watch::watch_operator_state(store.clone(), rc::Rc::clone(&gateway)));
    task::spawn_local(watch::watch_servers(store.clone(), rc::Rc::clone(&gateway)));
    task::spawn_local(crash_notes::watch(store.clone(), rc::Rc::clone(&gateway)));
    task::spawn_local(crash_notes::write(store.clone(), rc::Rc::clone(&gateway)));
    task::spawn_local(watch::send_heartbeats(store, rc::Rc::clone(&gateway), cfg.host.clone()));
    let reloading = rc::Rc::clone(&gateway);
    task::spawn_local(daemon::reload::watch(cfg.clone(), path, move |cfg| reloading.reload(cfg)));
    let (gateway_of_loads, peer_port) = (rc::Rc::clone(&gateway), cfg.peers.port());
    task::spawn_local(watch::watch_loads(gateway_of_loads, cfg.token.clone(), peer_port));
    task::spawn_local(close_idle_connections(rc::Rc::clone(&gateway)));
    let handler = rc::Rc::new(handlers::Readiness { gateway: rc::Rc::clone(&gateway) });
    let port = ("readiness", Arc::clone(&connected));
    let serving = http::serve(readiness, port, http::Limits::default, handler, stop.subscribe());
    task::spawn_local(serving);
    let handler = rc::Rc::new(handlers::Operators {
        gateway: rc::Rc::clone(&gateway),
        token: cfg.token.clone(),
    });
    let port = ("operators", Arc::clone(&connected));
    let serving = http::serve(operators, port, http::Limits::default, handler, stop.subscribe());
    task::spawn_local(serving);

    let limits = {
        let gateway = rc::Rc::clone(&gateway);
        let connections = cfg.machine.client_connections();
        move || gateway.connection_limits(connections)
    };
    let handler = rc::Rc::new(forward::Forwarder { gateway: rc::Rc::clone(&gateway) });
    let serving = http::serve(clients, ("clients", connected), limits, handler, stop.subscribe());
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        () = serving.as_mut() => return Ok(()),
        ended = daemon::signals::terminated() => ended?,
    }
    log::info!(in_flight = gateway.in_flight(); "stopping");
    gateway.begin_stop();
    let since = tokio::time::Instant::now();
    let abort_at = since + grace.saturating_sub(ABORT_MARGIN);
    let lag = BALANCER_LAG.min(grace / 2);
    if tokio::time::timeout(lag, serving.as_mut()).await.is_err() {
        gateway.refuse_late_requests(abort_at);
        stop.send_replace(true);
        if tokio::time::timeout_at(abort_at, serving.as_mut()).await.is_err() {
            log::warn!(
                in_flight = gateway.in_flight();
                "grace period ending; aborting the requests in flight"
            );
            gateway.abort_requests();
            if tokio::time::timeout(ABORT_ANSWER_TIME, serving.as_mut()).await.is_err() {
                log::warn!("answers were still being sent when the process ended");
            }
        }
    }
    log::info!(took_ms = since.elapsed().as_millis() as u64; "stopped");
    Ok(())
}

async fn close_idle_connections(gateway: rc::Rc<state::Gateway>) {
    loop {
        tokio::time::sleep(IDLE_SWEEP_INTERVAL).await;
        gateway.pool.remove_expired();
    }
}
