//! Runs the agent's errands on the I/O thread: messages to peers, calls to the platform.

use std::{net, sync::Arc, time};

use tokio::sync::{Semaphore, mpsc};

use super::agent::{AgentHandle, Event, IoTask};
use crate::{agree::store, cloud, peer, wire, wire::gossip};

/// Most messages under way; more are dropped, which the protocol bears.
const SENDS: usize = 64;

/// Longest time for one exchange with a peer.
const EXCHANGE_TIME: time::Duration = time::Duration::from_secs(1);

/// Runs errands until the agent ends. Must run inside a `LocalSet`.
pub async fn run(
    client: cloud::Client,
    token: String,
    link: AgentHandle,
    mut errands: mpsc::UnboundedReceiver<IoTask>,
) {
    let slots = Arc::new(Semaphore::new(SENDS));
    while let Some(errand) = errands.recv().await {
        match errand {
            IoTask::Send(to, message) => {
                let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else { continue };
                let (token, link) = (token.clone(), link.clone());
                tokio::task::spawn_local(async move {
                    let exchange = exchange(to, &token, &message, &link);
                    let _ = tokio::time::timeout(EXCHANGE_TIME, exchange).await;
                    drop(slot);
                });
            }
            IoTask::Store(ask) => {
                let (client, link) = (client.clone(), link.clone());
                tokio::task::spawn_blocking(move || {
                    link.send(Event::Store(store::serve(&ask, &client, &client)));
                });
            }
        }
    }
}

/// Sends `message` on a connection of its own and hands the answers to the agent.
async fn exchange(to: net::SocketAddr, token: &str, message: &gossip::Message, link: &AgentHandle) {
    let pool = peer::Pool::new(token);
    match pool.exchange(to, wire::GOSSIP_PATH, message).await {
        Ok(mut source) => {
            while let Ok(Some(answer)) = source.next::<gossip::Message>().await {
                link.send(Event::Message(Box::new(answer), None));
            }
        }
        Err(peer::pool::Failure::Unsent(err) | peer::pool::Failure::Sent(err)) => {
            log::debug!(peer:% = to; "gossip failed: {err}");
        }
    }
}

/// Takes a peer's message and sends the agent's answers back on the same stream.
pub async fn serve(mut incoming: peer::Incoming, link: &AgentHandle) -> crate::Result {
    let message: gossip::Message = incoming.message()?;
    let answers = link.query(|tx| Event::Message(Box::new(message), Some(tx))).await;
    for answer in answers.unwrap_or_default() {
        incoming.reply.send(&answer).await?;
    }
    incoming.reply.finish();
    Ok(())
}
