//! Sends orders to engines, directly or through other agents, and answers other agents.

use std::{
    collections::BTreeSet,
    net, rc,
    time::{self, Duration},
};

use tokio::{sync::oneshot, task};

use super::{
    Action, Order, Status,
    actor::Event,
    agent::{Agent, PEER_TIMEOUT},
    message::{self, Heartbeat, OrderReply, RankOrder},
    poll::READ_TIMEOUT,
    relay::OrderBatch,
};
use crate::{Result, http::client, peer, platform};

/// Time after an order during which the engine is polled at the fast interval.
const FAST_POLL_DURATION: Duration = Duration::from_millis(1_000);
/// Timeout of an order to an engine. The engine answers within 5 ms or, where orders are delayed,
/// not at all; meanwhile the group may be waiting for a held pass.
const ORDER_TIMEOUT: Duration = Duration::from_millis(80);
/// Longest time between two answers of an agent that relays an order: it waits up to
/// [`PEER_TIMEOUT`] for the agent of each rank and then reads the status of the engine.
const RELAYED_TIMEOUT: time::Duration = PEER_TIMEOUT.saturating_add(Duration::from_millis(400));

/// An agent's answer to an order that it relays: the rank, and the reply for that rank.
type RelayedReply = (usize, OrderReply);

impl Agent {
    /// Sends an order to its ranks and reports each reply to the actor.
    pub async fn send_batch(self: rc::Rc<Self>, OrderBatch { order, ranks }: OrderBatch) {
        let is_own = |rank: &usize| self.state.borrow().group.get(rank) == Some(&self.engine);
        let (own_ranks, others): (Vec<usize>, Vec<usize>) = ranks.into_iter().partition(is_own);
        let to_own = async {
            for rank in own_ranks {
                let reply = self.apply_order(self.engine, &order).await;
                self.report_reply(rank, &order, reply);
            }
        };
        let to_others = async {
            match others[..] {
                [] => {}
                [rank] => {
                    let reply = self.send_order(rank, &order).await;
                    self.report_reply(rank, &order, reply);
                }
                _ => self.send_through_relay(&order, others).await,
            }
        };
        tokio::join!(to_own, to_others);
    }

    /// Sends an order to several ranks of a section through the first of their agents that is
    /// responsive.
    async fn send_through_relay(&self, order: &Order, ranks: Vec<usize>) {
        let mut unanswered: BTreeSet<usize> = ranks.iter().copied().collect();
        let relay = self.first_responsive(ranks.iter().copied()).unwrap_or(ranks[0]);
        if let Some(addr) = self.agent_addr(relay) {
            let msg = (order, &ranks);
            let starting = self.peers.exchange(addr, message::ORDERS_PATH, &msg);
            let started = tokio::time::timeout(PEER_TIMEOUT, starting).await;
            if let Ok(Ok(mut source)) = started {
                let mut wait = PEER_TIMEOUT;
                while let Ok(Ok(Some(answer))) = tokio::time::timeout(wait, source.next()).await {
                    let (rank, reply): RelayedReply = answer;
                    wait = RELAYED_TIMEOUT;
                    if unanswered.remove(&rank) {
                        self.report_reply(rank, order, reply);
                    }
                }
            }
            if unanswered.len() == ranks.len() {
                self.peers.remove(addr);
                self.mark_unresponsive(relay);
            }
        }
        for rank in unanswered {
            self.report_reply(rank, order, OrderReply { outcome: None, status: None });
        }
    }

    /// Reports to the actor the reply of `rank` to an order.
    fn report_reply(&self, rank: usize, order: &Order, reply: OrderReply) {
        self.send_event(Event::Reply(RankOrder { rank, order: order.clone() }, reply));
    }

    /// Sends an order to the engine of a rank through the rank's agent, or directly while that
    /// agent is unresponsive.
    async fn send_order(&self, rank: usize, order: &Order) -> OrderReply {
        let Some(engine) = self.state.borrow().group.get(&rank).copied() else {
            return OrderReply { outcome: None, status: None };
        };
        match self.agent_addr(rank) {
            _ if engine == self.engine => self.apply_order(engine, order).await,
            Some(addr) if self.is_responsive(rank) => {
                match self.exchange(addr, message::ORDER_PATH, order).await {
                    Some(reply) => reply,
                    None => {
                        self.mark_unresponsive(rank);
                        OrderReply { outcome: None, status: self.engine_status(engine).await }
                    }
                }
            }
            _ => self.apply_order(engine, order).await,
        }
    }

    /// Sends an order to an engine and reads the engine's status afterwards.
    async fn apply_order(&self, engine: net::SocketAddr, order: &Order) -> OrderReply {
        self.state.borrow_mut().fast_poll_until = self.now() + FAST_POLL_DURATION;
        if let (Action::Prepare { version, map }, true) = (&order.action, engine == self.engine) {
            let (epoch, version, map) = (order.epoch, *version, map.clone());
            self.send_event(Event::CopyOrdered { epoch, version, map });
        }
        let outcome =
            platform::engine::send_order(&self.engines, engine, order, ORDER_TIMEOUT).await;
        let outcome = outcome
            .inspect_err(|failure| {
                log::debug!("the engine gave no valid answer to an order: {}", failure.problem())
            })
            .ok();
        OrderReply { outcome, status: self.engine_status(engine).await }
    }

    /// Reads the status of an engine and marks it with the id of this read.
    pub async fn read_status(&self, engine: net::SocketAddr) -> Result<Status, client::Failure> {
        let count = self.read_count.get() + 1;
        self.read_count.set(count);
        let status = platform::engine::read_status(&self.engines, engine, READ_TIMEOUT).await?;
        Ok(Status { read_id: (self.run_id, count), ..status })
    }

    /// Reads the status of the engine of `rank` directly; `None` if it does not answer.
    pub async fn status_of_rank(&self, rank: usize) -> Option<Status> {
        let engine = self.state.borrow().group.get(&rank).copied()?;
        self.engine_status(engine).await
    }

    /// Reads the status of an engine; `None` if the engine does not answer.
    pub async fn engine_status(&self, engine: net::SocketAddr) -> Option<Status> {
        let status = self.read_status(engine).await;
        status
            .inspect_err(|failure| log::debug!("engine status not read: {}", failure.problem()))
            .ok()
    }

    /// Answers an exchange that another agent or a gateway started.
    pub async fn serve(self: rc::Rc<Self>, mut incoming: peer::IncomingRequest) -> Result {
        match incoming.path.as_str() {
            message::HEARTBEAT_PATH => {
                let heartbeats: Vec<Heartbeat> = incoming.decode()?;
                let (tx, rx) = oneshot::channel();
                self.send_event(Event::Heartbeats { heartbeats, from_self: false, reply: tx });
                if let Ok(reply) = rx.await {
                    incoming.reply.send(&reply).await?;
                }
            }
            message::RELAY_PATH => {
                let heartbeat: Heartbeat = incoming.decode()?;
                incoming.reply.send(&self.relay(heartbeat)).await?;
            }
            message::ORDER_PATH => {
                let order: Order = incoming.decode()?;
                let reply = self.apply_order(self.engine, &order).await;
                incoming.reply.send(&reply).await?;
            }
            message::ORDERS_PATH => {
                let (order, ranks): (Order, Vec<usize>) = incoming.decode()?;
                let mut replies = task::JoinSet::new();
                for rank in ranks {
                    let (agent, order) = (rc::Rc::clone(&self), order.clone());
                    replies
                        .spawn_local(async move { (rank, agent.send_order(rank, &order).await) });
                }
                while let Some(reply) = replies.join_next().await {
                    // Joining cannot fail: a panic in a task ends the process, and no task is
                    // cancelled.
                    let Ok(reply) = reply else { continue };
                    incoming.reply.send(&reply).await?;
                }
            }
            message::LOADS_PATH => self.send_loads(&mut incoming.reply).await?,
            message::OWNER_LOADS_PATH => self.send_own_loads(&mut incoming.reply).await?,
            path => log::warn!("peer started an exchange with the unknown path {path}"),
        }
        incoming.reply.finish();
        Ok(())
    }
}
