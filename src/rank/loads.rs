//! Sends the loads of a group's engines to gateways. The owner knows the loads; every other agent
//! passes on what it receives from the owner, so that the owner's link and processor carry one
//! stream for each section of the group and not one for each gateway.

use std::{rc, time};

use tokio::{sync::watch, task};

use super::{
    agent::{Agent, PEER_TIMEOUT},
    message::{self, Loads},
};
use crate::{Result, peer};

/// Time between two messages of the owner with the engines' loads.
const LOADS_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time without a message of the owner after which an agent no longer passes its loads on.
const OWNER_SILENCE: time::Duration = time::Duration::from_millis(500);
/// Attempts to receive loads from the owner, one after the other, before an agent tells gateways to
/// ask elsewhere. Right after a change of ownership the first one may go to the previous owner.
const MAX_OWNER_ATTEMPTS: u32 = 3;
/// Pause between two such attempts.
const OWNER_RETRY_DELAY: time::Duration = time::Duration::from_millis(60);

impl Agent {
    /// Sends the loads at regular intervals while this agent is the owner; sends one message that
    /// it is not the owner otherwise.
    pub async fn send_own_loads(&self, reply: &mut peer::ReplySender) -> Result {
        loop {
            let loads = self.loads.borrow().clone();
            reply.send(&loads).await?;
            if !loads.is_owner {
                return Ok(());
            }
            tokio::time::sleep(LOADS_INTERVAL).await;
        }
    }

    /// Sends the loads of the group to a gateway, as the owner or as the owner sends them. The last
    /// message says that this agent no longer has them.
    pub async fn send_loads(self: &rc::Rc<Self>, reply: &mut peer::ReplySender) -> Result {
        if self.loads.borrow().is_owner {
            return self.send_own_loads(reply).await;
        }
        let mut loads = self.follow_owner();
        loop {
            let changed = tokio::time::timeout(OWNER_SILENCE, loads.changed()).await;
            let loads = match changed {
                Ok(Ok(())) => loads.borrow_and_update().clone(),
                Ok(Err(_)) | Err(_) => Loads::default(),
            };
            reply.send(&loads).await?;
            if !loads.is_owner {
                return Ok(());
            }
        }
    }

    /// Returns the loads that the owner sends; all gateways that ask this agent share one exchange
    /// with the owner.
    fn follow_owner(self: &rc::Rc<Self>) -> watch::Receiver<Loads> {
        let loads = self.relayed_loads.subscribe();
        if !self.follows_owner.replace(true) {
            let agent = rc::Rc::clone(self);
            task::spawn_local(async move {
                agent.relay_loads().await;
                agent.follows_owner.set(false);
                agent.relayed_loads.send_replace(Loads::default());
            });
        }
        loads
    }

    /// Publishes what the owner sends until no gateway wants it or the owner cannot be reached.
    async fn relay_loads(&self) {
        let mut failed_attempts = 0;
        while failed_attempts < MAX_OWNER_ATTEMPTS && self.relayed_loads.receiver_count() > 0 {
            match self.receive_owner_loads().await {
                0 => failed_attempts += 1,
                _ => failed_attempts = 0,
            }
            tokio::time::sleep(OWNER_RETRY_DELAY).await;
        }
    }

    /// Publishes the messages of one exchange with the owner; returns their number.
    async fn receive_owner_loads(&self) -> u32 {
        let owner = self.state.borrow().owner;
        let Some(addr) = owner.and_then(|owner| self.agent_addr(owner)) else { return 0 };
        let starting = self.peers.exchange(addr, message::OWNER_LOADS_PATH, &());
        let Ok(Ok(mut source)) = tokio::time::timeout(PEER_TIMEOUT, starting).await else {
            return 0;
        };
        let mut received = 0;
        while let Ok(Ok(Some(loads))) = tokio::time::timeout(OWNER_SILENCE, source.next()).await {
            let loads: Loads = loads;
            if !loads.is_owner || self.relayed_loads.receiver_count() == 0 {
                break;
            }
            received += 1;
            self.relayed_loads.send_replace(loads);
        }
        received
    }
}
