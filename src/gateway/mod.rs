//! The gateway: takes callers' requests and sends each to a backend server of its choice.
//!
//! One thread runs sockets and state: [`desk`] holds what is known and decides, [`watch`] keeps
//! it current from the store, [`forward`] sends a request and tries again where that is safe,
//! [`relay`] passes a stream of events on.

use std::{net, path, rc, time};

use tokio::{sync::watch as switch, task};

use crate::{Result, daemon, http, metrics, platform, settings::site};

pub mod attempt;
pub mod desk;
pub mod forward;
pub mod ready;
pub mod refusal;
pub mod relay;
pub mod trail;
pub mod watch;

/// Time after SIGTERM for which new connections are still taken: the balancer asks once a second
/// and stops sending after two refusals.
const BALANCER_LAG: time::Duration = time::Duration::from_millis(2_500);
/// Time before SIGKILL at which requests still in flight are cut, so that the process ends by
/// itself.
const LAST_CALL: time::Duration = time::Duration::from_millis(300);
/// Connections of callers at once; leaves descriptors for backend servers within the platform's
/// limit of about 4,000.
const CONNECTIONS: usize = 2_500;
/// Time between two sweeps of idle connections.
const TIDY_EVERY: time::Duration = time::Duration::from_secs(2);

/// Runs until told to end.
pub fn run(
    cfg: site::Settings,
    path: &path::Path,
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
) -> Result {
    daemon::block_on(serve(cfg, path.into(), callers, readiness))
}

async fn serve(
    cfg: site::Settings,
    path: path::PathBuf,
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
) -> Result {
    let grace = cfg.grace;
    let callers = http::listen(callers).await?;
    let readiness = http::listen(readiness).await?;
    let operators = http::listen(cfg.operators).await?;
    let stop = switch::Sender::new(false);
    let metrics = metrics::Entry::new();
    let desk = desk::Desk::new(&cfg, metrics.clone());
    let store = platform::Store::new(cfg.store);
    task::spawn_local(watch::orders(store.clone(), rc::Rc::clone(&desk)));
    task::spawn_local(watch::servers(store.clone(), rc::Rc::clone(&desk)));
    task::spawn_local(watch::gateways(store, rc::Rc::clone(&desk), cfg.host.clone()));
    let reloading = rc::Rc::clone(&desk);
    task::spawn_local(daemon::reload::watch(cfg.clone(), path, move |cfg| reloading.reload(cfg)));
    let (desk_of_loads, port) = (rc::Rc::clone(&desk), cfg.peers.port());
    task::spawn_local(watch::loads(desk_of_loads, cfg.token.clone(), port));
    task::spawn_local(tidy(rc::Rc::clone(&desk)));
    let answer = rc::Rc::new(ready::Ready { desk: rc::Rc::clone(&desk) });
    task::spawn_local(http::serve(readiness, http::Limits::default, answer, stop.subscribe()));
    let port =
        rc::Rc::new(ready::Operators { desk: rc::Rc::clone(&desk), token: cfg.token.clone() });
    task::spawn_local(http::serve(operators, http::Limits::default, port, stop.subscribe()));

    let limits = {
        let desk = rc::Rc::clone(&desk);
        move || desk.limits(CONNECTIONS)
    };
    let handler = rc::Rc::new(forward::Forward { desk: rc::Rc::clone(&desk) });
    let serving = http::serve(callers, limits, handler, stop.subscribe());
    let mut serving = std::pin::pin!(serving);
    tokio::select! {
        () = serving.as_mut() => return Ok(()),
        ended = daemon::signals::terminated() => ended?,
    }
    log::info!(in_flight = desk.in_flight(); "stopping");
    desk.leave();
    let since = time::Instant::now();
    let lag = BALANCER_LAG.min(grace / 2);
    if tokio::time::timeout(lag, serving.as_mut()).await.is_err() {
        stop.send_replace(true);
        let left = (grace - LAST_CALL).saturating_sub(since.elapsed());
        if tokio::time::timeout(left, serving.as_mut()).await.is_err() {
            log::warn!(in_flight = desk.in_flight(); "stopped with requests in flight");
        }
    }
    log::info!(took_ms = since.elapsed().as_millis() as u64; "stopped");
    Ok(())
}

async fn tidy(desk: rc::Rc<desk::Desk>) {
    loop {
        tokio::time::sleep(TIDY_EVERY).await;
        desk.pool.tidy();
    }
}
