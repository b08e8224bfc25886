//! Carries orders to engines, here and by other agents, and answers other agents.

use std::{
    collections::BTreeSet,
    net, rc,
    time::{self, Duration},
};

use tokio::{sync::oneshot, task};

use super::{
    Action, Order, Status,
    actor::Event,
    agent::{Agent, PEER_TIME},
    message::{self, Heartbeat, OrderReply, RankOrder},
    poll::ENGINE_TIME,
    relay::OrderBatch,
};
use crate::{Result, http::client, peer, platform};

/// Time after an order for which the engine is looked at more often.
const SOON_FOR: Duration = Duration::from_millis(1_000);
/// Longest time for an order to the engine. It answers within 5 ms or, where orders are delayed,
/// not at all; a group may be waiting.
const ORDER_TIME: Duration = Duration::from_millis(80);
/// Longest time between two answers of an agent that passes an order on: it waits for each rank
/// for [`PEER_TIME`] and then asks the engine.
const RELAYED_TIME: time::Duration = PEER_TIME.saturating_add(Duration::from_millis(400));
/// Time between two words on the engines' loads to a gateway.
const LOADS_EVERY: Duration = Duration::from_millis(100);

/// An agent's answer to an order of a section: the rank, and what became of the order there.
type Answer = (usize, OrderReply);

impl Agent {
    /// Sends an order to its ranks and tells the duty what became of it.
    pub async fn send_all(self: rc::Rc<Self>, OrderBatch { order, ranks }: OrderBatch) {
        let here = |rank: &usize| self.state.borrow().group.get(rank) == Some(&self.engine);
        let (own, others): (Vec<usize>, Vec<usize>) = ranks.into_iter().partition(here);
        let own = async {
            for rank in own {
                let reply = self.carry_out(self.engine, &order).await;
                self.answered(rank, &order, reply);
            }
        };
        let others = async {
            match others[..] {
                [] => {}
                [rank] => {
                    let reply = self.send(rank, &order).await;
                    self.answered(rank, &order, reply);
                }
                _ => self.send_by_relay(&order, others).await,
            }
        };
        tokio::join!(own, others);
    }

    /// Sends an order to several ranks of a section by the first of their agents that answers.
    async fn send_by_relay(&self, order: &Order, ranks: Vec<usize>) {
        let mut left: BTreeSet<usize> = ranks.iter().copied().collect();
        let relay = self.sound_of(ranks.iter().copied()).unwrap_or(ranks[0]);
        if let Some(addr) = self.agent_of(relay) {
            let msg = (order, &ranks);
            let starting = self.peers.exchange(addr, message::ORDERS_PATH, &msg);
            let started = tokio::time::timeout(PEER_TIME, starting).await;
            if let Ok(Ok(mut source)) = started {
                let mut wait = PEER_TIME;
                while let Ok(Ok(Some(answer))) = tokio::time::timeout(wait, source.next()).await {
                    let (rank, reply): Answer = answer;
                    wait = RELAYED_TIME;
                    if left.remove(&rank) {
                        self.answered(rank, order, reply);
                    }
                }
            }
            if left.len() == ranks.len() {
                self.peers.forget(addr);
                self.pass_over(relay);
            }
        }
        for rank in left {
            self.answered(rank, order, OrderReply { outcome: None, status: None });
        }
    }

    fn answered(&self, rank: usize, order: &Order, reply: OrderReply) {
        self.tell(Event::Answer(RankOrder { rank, order: order.clone() }, reply));
    }

    /// Sends an order to its rank: by the agent beside it, or itself where that does not answer.
    async fn send(&self, rank: usize, order: &Order) -> OrderReply {
        let Some(engine) = self.state.borrow().group.get(&rank).copied() else {
            return OrderReply { outcome: None, status: None };
        };
        match self.agent_of(rank) {
            _ if engine == self.engine => self.carry_out(engine, order).await,
            Some(addr) if self.is_sound(rank) => {
                match self.exchange(addr, message::ORDER_PATH, order).await {
                    Some(reply) => reply,
                    None => {
                        self.pass_over(rank);
                        OrderReply { outcome: None, status: self.status_of(engine).await }
                    }
                }
            }
            _ => self.carry_out(engine, order).await,
        }
    }

    /// Gives an order to an engine, and looks at it afterwards.
    async fn carry_out(&self, engine: net::SocketAddr, order: &Order) -> OrderReply {
        self.state.borrow_mut().soon_until = self.now() + SOON_FOR;
        if let (Action::Prepare { version, map }, true) = (&order.action, engine == self.engine) {
            let (epoch, version, map) = (order.epoch, *version, map.clone());
            self.tell(Event::Copies { epoch, version, map });
        }
        let accepted = platform::engine::send_order(&self.engines, engine, order, ORDER_TIME).await;
        let accepted = accepted
            .inspect_err(|failure| log::debug!("order without answer: {}", failure.problem()))
            .ok();
        OrderReply { outcome: accepted, status: self.status_of(engine).await }
    }

    /// Reads the state of an engine and marks when.
    pub async fn read(&self, engine: net::SocketAddr) -> Result<Status, client::Failure> {
        let count = self.reads.get() + 1;
        self.reads.set(count);
        let status = platform::engine::read_status(&self.engines, engine, ENGINE_TIME).await?;
        Ok(Status { read_id: (self.draw, count), ..status })
    }

    /// State of the engine of `rank`, asked from here.
    pub async fn status_at(&self, rank: usize) -> Option<Status> {
        let engine = self.state.borrow().group.get(&rank).copied()?;
        self.status_of(engine).await
    }

    async fn status_of(&self, engine: net::SocketAddr) -> Option<Status> {
        let status = self.read(engine).await;
        status.inspect_err(|failure| log::debug!("no status: {}", failure.problem())).ok()
    }

    /// Answers another agent.
    pub async fn serve(self: rc::Rc<Self>, mut incoming: peer::Incoming) -> Result {
        match incoming.path.as_str() {
            message::HEARTBEAT_PATH => {
                let pulses: Vec<Heartbeat> = incoming.message()?;
                let (tx, rx) = oneshot::channel();
                self.tell(Event::Pulses { pulses, own: false, reply: tx });
                if let Ok(reply) = rx.await {
                    incoming.reply.send(&reply).await?;
                }
            }
            message::RELAY_PATH => {
                let pulse: Heartbeat = incoming.message()?;
                incoming.reply.send(&self.relay(pulse)).await?;
            }
            message::ORDER_PATH => {
                let order: Order = incoming.message()?;
                let reply = self.carry_out(self.engine, &order).await;
                incoming.reply.send(&reply).await?;
            }
            message::ORDERS_PATH => {
                let (order, ranks): (Order, Vec<usize>) = incoming.message()?;
                let mut answers = task::JoinSet::new();
                for rank in ranks {
                    let (agent, order) = (rc::Rc::clone(&self), order.clone());
                    answers.spawn_local(async move { (rank, agent.send(rank, &order).await) });
                }
                while let Some(answer) = answers.join_next().await {
                    // A task that panicked ends the process; none is cancelled.
                    let Ok(answer) = answer else { continue };
                    incoming.reply.send(&answer).await?;
                }
            }
            message::LOADS_PATH => loop {
                let loads = self.loads.borrow().clone();
                incoming.reply.send(&loads).await?;
                if !loads.is_owner {
                    break;
                }
                tokio::time::sleep(LOADS_EVERY).await;
            },
            path => log::warn!("a peer asked for {path}, which is not known here"),
        }
        incoming.reply.finish();
        Ok(())
    }
}
