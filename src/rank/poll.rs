//! Polls the agent's own engine and sends heartbeats to the group's owner.

use std::{rc, time::Duration};

use tokio::sync::oneshot;

use super::{
    Choices, ExpertCounts, Member,
    actor::Event,
    agent::{Agent, PEER_TIMEOUT},
    message::{self, Heartbeat, HeartbeatReply},
    relay,
};
use crate::{http::client, platform};

/// Limit on the heartbeats that one agent receives from others. Each costs it about 0.2 ms of a
/// core, of which it may use 0.15.
const MAX_HEARTBEATS_PER_SECOND: u32 = 150;
/// Time between two polls of the engine; a pass takes about 30 to 100 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(70);
/// Time between two polls of the engine while an order takes effect.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Longest time between two polls of the engine, where choices are reported less often.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(140);
/// Delay before a relayed change is passed on, to gather the changes of other ranks: one order to a
/// section changes the status of all of its ranks.
const GATHER_DELAY: Duration = Duration::from_millis(25);
/// Timeout of a read from an engine; the agent's own engine answers within 5 ms.
pub const READ_TIMEOUT: Duration = Duration::from_millis(250);

impl Agent {
    /// Polls the engine at regular intervals and sends heartbeats to the owner.
    pub async fn poll_engine(self: rc::Rc<Self>) {
        let mut unreachable = false;
        loop {
            match self.read_heartbeat().await {
                Ok(heartbeat) => {
                    if std::mem::take(&mut unreachable) {
                        log::info!("engine reachable again");
                    }
                    self.send_heartbeat(heartbeat).await;
                }
                Err(failure) => {
                    if !std::mem::replace(&mut unreachable, true) {
                        log::warn!("engine unreachable: {}", failure.problem());
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(self.poll_delay()) => {}
                () = self.relayed_change.notified() => tokio::time::sleep(GATHER_DELAY).await,
            }
        }
    }

    /// Time until the next poll.
    fn poll_delay(&self) -> Duration {
        let ranks = self.group_size.get() as usize;
        let senders = relay::section_count(ranks).max(relay::section_of(0, ranks).len());
        let min_interval = Duration::from_secs(1) / MAX_HEARTBEATS_PER_SECOND * senders as u32;
        let interval = match self.now() < self.state.borrow().fast_poll_until {
            true => FAST_POLL_INTERVAL,
            false => self.choices_interval().clamp(POLL_INTERVAL, MAX_POLL_INTERVAL),
        };
        interval.max(min_interval)
    }

    /// Reads from the engine what the next heartbeat reports.
    async fn read_heartbeat(&self) -> Result<Heartbeat, client::Failure> {
        let status = self.read_status(self.engine).await?;
        self.state.borrow_mut().member = status.member.clone();
        let shape = self.state.borrow().shape;
        let choices = match shape.filter(|_| self.are_choices_due()) {
            Some(shape) => {
                self.state.borrow_mut().choices_read_at = Some(self.now());
                self.read_choices(shape.layer_sets).await?
            }
            None => None,
        };
        let own_rank = status.member.as_ref().map(|member| member.rank);
        let wants_placement =
            own_rank.is_some_and(|own_rank| self.state.borrow().want_placement.contains(&own_rank));
        let placement = match wants_placement {
            true => Some(
                platform::engine::read_placement(&self.engines, self.engine, READ_TIMEOUT).await?,
            ),
            false => None,
        };
        Ok(Heartbeat { status, choices, placement })
    }

    /// Whether it is time to report choices again.
    fn are_choices_due(&self) -> bool {
        let read_at = self.state.borrow().choices_read_at;
        read_at.is_none_or(|at| at + self.choices_interval() <= self.now())
    }

    /// Time between two reports of choices.
    fn choices_interval(&self) -> Duration {
        let shape = self.state.borrow().shape;
        let experts = shape.map_or(0, |shape| shape.layer_sets * shape.experts_per_set);
        relay::choices_interval(self.group_size.get() as usize, experts)
    }

    /// Reads which experts requests chose since the last poll.
    async fn read_choices(&self, sets: usize) -> Result<Option<Choices>, client::Failure> {
        let counts: ExpertCounts =
            platform::engine::read_expert_counts(&self.engines, self.engine, sets, READ_TIMEOUT)
                .await?;
        let before = self.state.borrow_mut().expert_counts.replace(counts.clone());
        Ok(before.and_then(|before| Choices::between(&before, &counts)))
    }

    /// Sends a heartbeat to the owner, which is the lowest rank with a responsive agent; in a large
    /// group through the relay of the section.
    async fn send_heartbeat(&self, heartbeat: Heartbeat) {
        let Some(Member { rank: own_rank, ranks, .. }) = heartbeat.status.member else { return };
        let owner = self.first_responsive(0..own_rank);
        let chosen = owner.unwrap_or(own_rank);
        if self.state.borrow_mut().owner.replace(chosen) != Some(chosen) {
            log::info!(owner = chosen, rank = own_rank; "group owner chosen");
        }
        let Some(owner) = owner else { return self.deliver_heartbeat(heartbeat).await };
        // The owner receives the heartbeats of its own section through another agent, too.
        let section = relay::section_of(own_rank, ranks);
        let relay = self.first_responsive((section.start..own_rank).filter(|rank| *rank != owner));
        match relay {
            Some(relay) if self.state.borrow().pending.is_empty() => {
                self.exchange_heartbeats(relay, message::RELAY_PATH, &heartbeat, &[own_rank]).await;
            }
            _ => {
                let heartbeats = self.take_pending_with(heartbeat);
                let ranks: Vec<usize> = ranks_of(&heartbeats).collect();
                self.exchange_heartbeats(owner, message::HEARTBEAT_PATH, &heartbeats, &ranks).await;
            }
        }
    }

    /// Passes a heartbeat, with the pending ones of other ranks, to the actor of this process.
    async fn deliver_heartbeat(&self, heartbeat: Heartbeat) {
        let heartbeats = self.take_pending_with(heartbeat);
        let ranks: Vec<usize> = ranks_of(&heartbeats).collect();
        let (tx, rx) = oneshot::channel();
        self.send_event(Event::Heartbeats { heartbeats, from_self: true, reply: tx });
        // The actor does not answer before the shape of the group is known.
        if let Ok(Ok(reply)) = tokio::time::timeout(PEER_TIMEOUT, rx).await {
            self.set_want_placement(&ranks, reply);
        }
    }

    /// Returns the agent's own heartbeat and those of its section that it has yet to pass on.
    fn take_pending_with(&self, own_heartbeat: Heartbeat) -> Vec<Heartbeat> {
        let (now, interval) = (self.now(), self.choices_interval());
        self.state.borrow_mut().pending.take_with(own_heartbeat, now, interval)
    }

    async fn exchange_heartbeats(
        &self,
        to: usize,
        path: &str,
        msg: &impl serde::Serialize,
        ranks: &[usize],
    ) {
        let Some(addr) = self.agent_addr(to) else { return };
        match self.exchange::<HeartbeatReply>(addr, path, msg).await {
            Some(reply) => self.set_want_placement(ranks, reply),
            None => self.mark_unresponsive(to),
        }
    }

    /// Records which of `ranks` are to include their placement in the next heartbeat.
    fn set_want_placement(&self, ranks: &[usize], reply: HeartbeatReply) {
        let want_placement = &mut self.state.borrow_mut().want_placement;
        ranks.iter().for_each(|rank| {
            want_placement.remove(rank);
        });
        want_placement.extend(reply.want_placement);
    }

    /// Accepts the heartbeat of another rank in this agent's section, to pass it on to the owner.
    pub fn relay(&self, heartbeat: Heartbeat) -> HeartbeatReply {
        let state = &mut *self.state.borrow_mut();
        let own_group = state.member.as_ref().map(|member| &member.group);
        let member = heartbeat.status.member.as_ref();
        let is_own = |other: &&Member| own_group.is_none_or(|group| *group == other.group);
        let Some(rank) = member.filter(is_own).map(|member| member.rank) else {
            log::info!(member:?; "heartbeat of another group ignored");
            return HeartbeatReply::default();
        };
        if state.pending.add(rank, heartbeat) {
            self.relayed_change.notify_one();
        }
        HeartbeatReply {
            want_placement: state.want_placement.get(&rank).copied().into_iter().collect(),
        }
    }
}

fn ranks_of(heartbeats: &[Heartbeat]) -> impl Iterator<Item = usize> {
    heartbeats
        .iter()
        .filter_map(|heartbeat| heartbeat.status.member.as_ref().map(|member| member.rank))
}
