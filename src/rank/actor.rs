//! The actor that runs the ownership state of one agent.

use std::{
    collections::BTreeSet,
    rc,
    time::{self, Duration},
};

use rand::RngExt;
use rand_pcg::Pcg64;
use stakker::{CX, after};
use tokio::{sync::oneshot, task};

use super::{
    Status,
    agent::Agent,
    message::{Heartbeat, HeartbeatReply, OrderReply, RankOrder},
    ownership::{EditSearch, Ownership},
    relay,
};
use crate::{group::rebalance, site::catalog};

/// Time between two ticks. Each tick makes a step; events make further steps in between.
const TICK: Duration = Duration::from_millis(50);
/// Time between two searches for an edit: the choices made in a shorter time would not change the
/// result.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two polls of the engines of silent agents; each poll costs as much as a probe.
const SILENT_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Largest group for which the search for an edit runs on the actor's thread: it then takes a few
/// milliseconds of a core.
const MAX_RANKS_SEARCHED_INLINE: u32 = 16;
/// Time between two log lines with the state of the group.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two ticks above which the process counts as stalled and its statuses as stale.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// Input of the actor.
pub enum Event {
    /// The shape of the group is known, and the cost of its passes where it is stated.
    Shape(catalog::ExpertShape, Option<catalog::PassCost>),
    /// Heartbeats of some ranks. `from_self` says that this agent sent them; the first one is then
    /// that of its own rank.
    Heartbeats {
        heartbeats: Vec<Heartbeat>,
        from_self: bool,
        reply: oneshot::Sender<HeartbeatReply>,
    },
    /// The status of an engine whose agent is silent, read directly.
    PolledStatus(Status),
    /// The agent's own engine is about to be ordered to copy a map.
    CopyOrdered { epoch: u64, version: u64, map: rebalance::SharedMap },
    /// The reply to an order.
    Reply(RankOrder, OrderReply),
    /// The result of a search for an edit.
    SearchDone(Box<EditSearch>, Option<Box<rebalance::Edit>>),
}

/// The actor that runs the ownership state.
pub struct OwnershipActor {
    agent: rc::Rc<Agent>,
    /// The ownership state; `None` until the shape of the group is known.
    ownership: Option<Ownership>,
    /// Whether a search for an edit is running.
    searching: bool,
    /// Earliest time of the next search for an edit.
    next_search: Duration,
    /// Earliest time of the next poll of the engines of silent agents.
    next_silent_poll: Duration,
    /// Earliest time of the next log line with the state of the group.
    next_summary: Duration,
    clock: Clock,
    rng: Pcg64,
}

/// Compares the monotonic clock, which stops while a host is suspended, with the wall clock.
struct Clock {
    monotonic: time::Instant,
    wall: time::SystemTime,
}

impl Clock {
    fn new() -> Self {
        Self { monotonic: time::Instant::now(), wall: time::SystemTime::now() }
    }

    /// Whether the process was stalled since the last call, or the wall clock was set.
    fn was_stalled(&mut self) -> bool {
        let before = std::mem::replace(self, Self::new());
        let monotonic = self.monotonic.saturating_duration_since(before.monotonic);
        let wall = self.wall.duration_since(before.wall).unwrap_or_default();
        monotonic > STALL_THRESHOLD || wall.abs_diff(monotonic) > STALL_THRESHOLD
    }
}

impl OwnershipActor {
    /// Starts the actor, at first without ownership state: the shape of the group is not known yet.
    pub fn init(cx: CX![], agent: rc::Rc<Agent>, rng: Pcg64) -> Option<Self> {
        after!(TICK, [cx], tick());
        Some(Self {
            agent,
            ownership: None,
            searching: false,
            next_search: Duration::ZERO,
            next_silent_poll: Duration::ZERO,
            next_summary: Duration::ZERO,
            clock: Clock::new(),
            rng,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        if let (true, Some(ownership)) = (self.clock.was_stalled(), &mut self.ownership) {
            log::warn!("the process was stalled");
            ownership.reset_after_stall();
        }
        self.poll_silent_ranks();
        self.log_summary();
        self.step();
        self.publish_loads();
    }

    /// Logs the state of the group at regular intervals while this agent is the owner.
    fn log_summary(&mut self) {
        let now = self.agent.now();
        let Some(ownership) = self.ownership.as_mut().filter(|_| now >= self.next_summary) else {
            return;
        };
        self.next_summary = now + SUMMARY_INTERVAL;
        ownership.log_summary(now);
    }

    /// Polls the engines of ranks whose agents are silent.
    fn poll_silent_ranks(&mut self) {
        let now = self.agent.now();
        let Some(ownership) = self.ownership.as_ref().filter(|_| now >= self.next_silent_poll)
        else {
            return;
        };
        self.next_silent_poll = now + SILENT_POLL_INTERVAL;
        for rank in ownership.silent_ranks(now) {
            let agent = rc::Rc::clone(&self.agent);
            task::spawn_local(async move {
                if let Some(status) = agent.status_of_rank(rank).await {
                    agent.send_event(Event::PolledStatus(status));
                }
            });
        }
    }

    /// Handles an event.
    pub fn event(&mut self, _: CX![], event: Event) {
        let now = self.agent.now();
        match (event, &mut self.ownership) {
            (Event::Shape(shape, cost), ownership) => {
                ownership.get_or_insert_with(|| Ownership::new(shape, cost));
            }
            (Event::Heartbeats { heartbeats, from_self, reply }, Some(ownership)) => {
                let first = heartbeats.first().and_then(|first| first.status.member.as_ref());
                if let Some(member) = first.filter(|_| from_self) {
                    ownership.set_own_member(member);
                }
                let mut want_placement = BTreeSet::new();
                for heartbeat in heartbeats {
                    let rank = heartbeat.status.member.as_ref().map(|member| member.rank);
                    let wanted = ownership.receive_heartbeat(now, heartbeat);
                    want_placement.extend(rank.filter(|_| wanted));
                }
                // Sending fails if the agent no longer waits for the answer.
                let _ = reply.send(HeartbeatReply { want_placement });
                if ownership.is_changing() {
                    self.step();
                }
            }
            (Event::PolledStatus(status), Some(ownership)) => {
                ownership.receive_polled_status(now, status)
            }
            (Event::CopyOrdered { epoch, version, map }, Some(ownership)) => {
                ownership.remember_map(epoch, version, map);
            }
            (Event::Reply(order, reply), Some(ownership)) => {
                ownership.receive_reply(now, &order, reply.outcome.as_ref(), reply.status);
                self.step();
            }
            (Event::SearchDone(search, edit), Some(ownership)) => {
                self.searching = false;
                ownership.begin_change(now, &search, edit.map(|edit| *edit), self.rng.random());
                self.step();
            }
            (_, None) => {}
        }
    }

    /// Publishes the loads, which gateways get at longer intervals than ticks.
    fn publish_loads(&self) {
        let Some(ownership) = &self.ownership else { return };
        self.agent.loads.send_replace(self.agent.engine_loads(ownership));
    }

    /// Starts a search for an edit if one is due, and sends the orders of the change under way.
    fn step(&mut self) {
        let Some(ownership) = &mut self.ownership else { return };
        let now = self.agent.now();
        if !self.searching
            && now >= self.next_search
            && let Some(search) = ownership.edit_search(now)
        {
            (self.searching, self.next_search) = (true, now + SEARCH_INTERVAL);
            if self.agent.group_size.get() <= MAX_RANKS_SEARCHED_INLINE {
                ownership.begin_change(now, &search, search.run(), self.rng.random());
                self.searching = false;
            } else {
                let agent = rc::Rc::clone(&self.agent);
                task::spawn_local(async move {
                    let search = Box::new(search);
                    let running = search.clone();
                    // The search runs on another thread, so that heartbeats are answered meanwhile.
                    let edit = task::spawn_blocking(move || running.run().map(Box::new)).await;
                    agent.send_event(Event::SearchDone(search, edit.ok().flatten()));
                });
            }
        }
        let orders = ownership.step(now, self.rng.random());
        for batch in relay::batch_by_section(orders, self.agent.group_size.get() as usize) {
            let agent = rc::Rc::clone(&self.agent);
            task::spawn_local(async move { agent.send_batch(batch).await });
        }
    }
}
