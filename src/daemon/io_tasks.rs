//! Runs the agent's I/O on the I/O thread: messages to peers and calls to the platform.

use std::{net, sync::Arc, time};

use tokio::sync::{Semaphore, mpsc};

use super::agent::{AgentHandle, Event, IoTask};
use crate::{agree::store, cloud, peer, wire, wire::gossip};

/// Most exchanges with peers at a time; further messages are dropped, which the protocol
/// tolerates.
const MAX_CONCURRENT_EXCHANGES: usize = 64;

/// Longest time for one exchange with a peer.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Runs I/O tasks until the agent ends. Must run inside a `LocalSet`.
pub async fn run(
    client: cloud::Client,
    token: String,
    agent: AgentHandle,
    mut io_tasks: mpsc::UnboundedReceiver<IoTask>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_EXCHANGES));
    while let Some(task) = io_tasks.recv().await {
        match task {
            IoTask::Send(to, message) => {
                let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
                let (token, agent) = (token.clone(), agent.clone());
                tokio::task::spawn_local(async move {
                    let exchange = exchange(to, &token, &message, &agent);
                    let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
                    drop(permit);
                });
            }
            IoTask::Store(call) => {
                let (client, agent) = (client.clone(), agent.clone());
                tokio::task::spawn_blocking(move || {
                    agent.send(Event::Store(store::execute(&call, &client, &client)));
                });
            }
        }
    }
}

/// Sends `message` on a new connection and passes the replies to the agent.
async fn exchange(
    to: net::SocketAddr,
    token: &str,
    message: &gossip::Message,
    agent: &AgentHandle,
) {
    let pool = peer::Pool::new(token);
    match pool.exchange(to, wire::GOSSIP_PATH, message).await {
        Ok(mut source) => {
            while let Ok(Some(reply)) = source.next::<gossip::Message>().await {
                agent.send(Event::Message(Box::new(reply), None));
            }
        }
        Err(peer::pool::Failure::Unsent(err) | peer::pool::Failure::Sent(err)) => {
            log::debug!(peer:% = to; "gossip failed: {err}");
        }
    }
}

/// Passes a peer's message to the agent and sends the agent's replies on the same stream.
pub async fn serve_gossip(
    mut incoming: peer::IncomingRequest,
    agent: &AgentHandle,
) -> crate::Result {
    let message: gossip::Message = incoming.decode()?;
    let replies = agent.query(|tx| Event::Message(Box::new(message), Some(tx))).await;
    for message in replies.unwrap_or_default() {
        incoming.reply.send(&message).await?;
    }
    incoming.reply.finish();
    Ok(())
}
