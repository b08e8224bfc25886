//! Watches the engine beside this agent and tells the owner of the group's duty.

use std::{rc, time::Duration};

use tokio::sync::oneshot;

use super::{
    Choices, ExpertCounts, Member,
    actor::Event,
    agent::{Agent, PEER_TIME},
    message::{self, Heartbeat, HeartbeatReply},
    relay,
};
use crate::{http::client, platform};

/// Ranks that tell what requests chose, about: more say nothing new, as requests come to ranks at
/// random.
const SAMPLING: usize = 16;
/// Messages a second that one agent takes from others in its turn: each costs it some 0.2 ms of a
/// core, of which it has 0.15.
const MESSAGES_A_SECOND: u32 = 250;
/// Time between two looks at the engine; a pass takes some 30 to 100 ms.
const LOOK_EVERY: Duration = Duration::from_millis(70);
/// The same while an order takes effect.
const LOOK_SOON: Duration = Duration::from_millis(30);
/// The same of a rank that does not tell what requests chose.
const LOOK_SELDOM: Duration = Duration::from_millis(140);
/// Time for which news of other ranks is gathered before it is passed on: one order to a section
/// brings news of all of its ranks.
const GATHER: Duration = Duration::from_millis(10);
/// Longest time for a question to the engine beside this process; it answers within 5 ms.
pub const ENGINE_TIME: Duration = Duration::from_millis(250);

impl Agent {
    /// Looks at the engine and sends what it says to the owner of the duty.
    pub async fn look(self: rc::Rc<Self>) {
        let mut lost = false;
        loop {
            match self.pulse().await {
                Ok(pulse) => {
                    if std::mem::take(&mut lost) {
                        log::info!("engine regained");
                    }
                    self.report(pulse).await;
                }
                Err(failure) => {
                    if !std::mem::replace(&mut lost, true) {
                        log::warn!("engine lost: {}", failure.problem());
                    }
                }
            }
            tokio::select! {
                () = tokio::time::sleep(self.pause()) => {}
                () = self.news.notified() => tokio::time::sleep(GATHER).await,
            }
        }
    }

    /// Time until the next look.
    fn pause(&self) -> Duration {
        let ranks = self.ranks.get() as usize;
        let heard = relay::section_count(ranks).max(relay::section_of(0, ranks).len());
        let fair = Duration::from_secs(1) / MESSAGES_A_SECOND * heard as u32;
        let state = self.state.borrow();
        let wanted = match () {
            () if self.now() < state.soon_until => LOOK_SOON,
            () if state.demand.is_none() => LOOK_SELDOM,
            () => LOOK_EVERY,
        };
        wanted.max(fair)
    }

    async fn pulse(&self) -> Result<Heartbeat, client::Failure> {
        let status = self.read(self.engine).await?;
        let shape = self.state.borrow().shape;
        let choices = match shape.filter(|_| samples(status.member.as_ref())) {
            Some(shape) => self.choices(shape.layer_sets).await?,
            None => None,
        };
        let own = status.member.as_ref().map(|member| member.rank);
        let wanted = own.is_some_and(|own| self.state.borrow().want_placed.contains(&own));
        let placed = match wanted {
            true => Some(
                platform::engine::read_placement(&self.engines, self.engine, ENGINE_TIME).await?,
            ),
            false => None,
        };
        Ok(Heartbeat { status, choices, placement: placed })
    }

    /// What requests chose since the last look.
    async fn choices(&self, sets: usize) -> Result<Option<Choices>, client::Failure> {
        let demand: ExpertCounts =
            platform::engine::read_expert_counts(&self.engines, self.engine, sets, ENGINE_TIME)
                .await?;
        let before = self.state.borrow_mut().demand.replace(demand.clone());
        Ok(before.and_then(|before| Choices::between(&before, &demand)))
    }

    /// Sends a pulse to the agent of the lowest rank that answers; in a large group by way of the
    /// agent that speaks for its section.
    async fn report(&self, pulse: Heartbeat) {
        let Some(Member { rank: own, ranks, .. }) = pulse.status.member else { return };
        let owner = self.sound_of(0..own);
        let chosen = owner.unwrap_or(own);
        if self.state.borrow_mut().owner.replace(chosen) != Some(chosen) {
            log::info!(owner = chosen, own; "owner of the duty chosen");
        }
        let Some(owner) = owner else { return self.report_here(pulse).await };
        // The owner hears its own section by another agent too.
        let section = relay::section_of(own, ranks);
        let speaker = self.sound_of((section.start..own).filter(|rank| *rank != owner));
        match speaker {
            Some(speaker) if self.state.borrow().waiting.is_empty() => {
                self.exchange_pulse(speaker, message::RELAY_PATH, &pulse, &[own]).await;
            }
            _ => {
                let pulses = self.state.borrow_mut().waiting.take_with(pulse);
                let ranks: Vec<usize> = ranks_of(&pulses).collect();
                self.exchange_pulse(owner, message::HEARTBEAT_PATH, &pulses, &ranks).await;
            }
        }
    }

    /// Hands a pulse to the duty of this process.
    async fn report_here(&self, pulse: Heartbeat) {
        let pulses = self.state.borrow_mut().waiting.take_with(pulse);
        let ranks: Vec<usize> = ranks_of(&pulses).collect();
        let (tx, rx) = oneshot::channel();
        self.tell(Event::Pulses { pulses, own: true, reply: tx });
        // No answer comes before the shape of the group is known.
        if let Ok(Ok(reply)) = tokio::time::timeout(PEER_TIME, rx).await {
            self.note_wanted(&ranks, reply);
        }
    }

    async fn exchange_pulse(
        &self,
        to: usize,
        path: &str,
        msg: &impl serde::Serialize,
        ranks: &[usize],
    ) {
        let Some(addr) = self.agent_of(to) else { return };
        match self.exchange::<HeartbeatReply>(addr, path, msg).await {
            Some(reply) => self.note_wanted(ranks, reply),
            None => self.pass_over(to),
        }
    }

    /// Notes which of `ranks` are to say what their engines hold.
    fn note_wanted(&self, ranks: &[usize], reply: HeartbeatReply) {
        let want_placed = &mut self.state.borrow_mut().want_placed;
        ranks.iter().for_each(|rank| {
            want_placed.remove(rank);
        });
        want_placed.extend(reply.want_placement);
    }

    /// Takes the pulse of a rank for which this agent speaks.
    pub fn relay(&self, pulse: Heartbeat) -> HeartbeatReply {
        let Some(rank) = pulse.status.member.as_ref().map(|member| member.rank) else {
            return HeartbeatReply::default();
        };
        let state = &mut *self.state.borrow_mut();
        if state.waiting.add(rank, pulse) {
            self.news.notify_one();
        }
        HeartbeatReply {
            want_placement: state.want_placed.get(&rank).copied().into_iter().collect(),
        }
    }
}

fn ranks_of(pulses: &[Heartbeat]) -> impl Iterator<Item = usize> {
    pulses.iter().filter_map(|pulse| pulse.status.member.as_ref().map(|member| member.rank))
}

/// Whether a rank tells what its requests chose. All do in a small group; in a large one some
/// speak for all.
fn samples(member: Option<&Member>) -> bool {
    member.is_some_and(|member| member.rank % member.ranks.div_ceil(SAMPLING).max(1) == 0)
}
