//! The parts that entries and sidecars share: the agent, its I/O tasks and the operators' port.

use std::{net, rc, sync::Arc};

use tokio::{net::TcpListener, sync::oneshot, sync::watch};

use super::{
    agent::{self, AgentHandle},
    io_tasks,
    operators_port::OperatorsPort,
};
use crate::{Result, cloud, http, metrics, settings, view};

/// Starts the agent of the process whose peer port is `peers`, its I/O tasks, and the operators'
/// port on the listener `operators`. Must run inside a `LocalSet`.
pub fn start(
    cfg: &settings::Settings,
    peers: net::SocketAddr,
    operators: TcpListener,
    (page, clients): (metrics::Page, Arc<http::Clients>),
    stop: watch::Receiver<bool>,
    publish_view: impl Fn(Arc<view::View>) + Send + 'static,
    dump: impl Fn(oneshot::Sender<serde_json::Value>) + 'static,
) -> Result<AgentHandle> {
    let client = cloud::Client::new(&cfg.platform);
    let (agent_handle, queued_io_tasks) = agent::start(cfg, peers, publish_view)?;
    tokio::task::spawn_local(io_tasks::run(
        client,
        cfg.token.clone(),
        agent_handle.clone(),
        queued_io_tasks,
    ));
    let port = OperatorsPort { token: cfg.token.clone(), dump, agent: agent_handle.clone(), page };
    let named = ("operators", clients);
    let serving = http::serve(operators, named, http::Limits::default, rc::Rc::new(port), stop);
    tokio::task::spawn_local(serving);
    Ok(agent_handle)
}
