//! What both roles have besides requests: the agent, its errands, the operators' port.

use std::{net, rc, sync::Arc};

use tokio::{net::TcpListener, sync::oneshot, sync::watch};

use super::{
    agent::{self, AgentHandle},
    io_tasks,
    operators_port::OperatorsPort,
};
use crate::{Result, cloud, http, metrics, settings, view};

/// Starts the agent of the process that takes peers at `peers`, its errands, and
/// the port for `operators`. Must run inside a `LocalSet`.
pub fn start(
    cfg: &settings::Settings,
    peers: net::SocketAddr,
    operators: TcpListener,
    page: metrics::Page,
    stop: watch::Receiver<bool>,
    adopt: impl Fn(Arc<view::View>) + Send + 'static,
    dump: impl Fn(oneshot::Sender<serde_json::Value>) + 'static,
) -> Result<AgentHandle> {
    let client = cloud::Client::new(&cfg.platform);
    let (link, errands) = agent::start(cfg, peers, adopt)?;
    tokio::task::spawn_local(io_tasks::run(client, cfg.token.clone(), link.clone(), errands));
    let port = OperatorsPort { token: cfg.token.clone(), dump, link: link.clone(), page };
    let port = http::serve(operators, http::Limits::default, rc::Rc::new(port), stop);
    tokio::task::spawn_local(port);
    Ok(link)
}
