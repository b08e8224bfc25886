//! The actor that runs the duty of one agent.

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

/// Time between two steps of the duty without news.
const STEP_EVERY: Duration = Duration::from_millis(50);
/// Time between two decisions on an edit: what was chosen since says nothing new before that.
const DECIDE_EVERY: Duration = Duration::from_millis(100);
/// Time between two questions to the engine of a silent agent; each costs what a probe does.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Ranks up to which an edit is decided on at once: it takes a few milliseconds of a core then.
const DECIDED_AT_ONCE: u32 = 16;
/// Time between two steps from which what was known before counts as old.
const STOOD_STILL: Duration = Duration::from_millis(500);

/// What reaches the duty.
pub enum Event {
    /// The shape of the group is known, and the cost of its passes where it is stated.
    Shape(catalog::ExpertShape, Option<catalog::PassCost>),
    /// Pulses of some ranks; `own` if they are from the agent that runs the duty.
    Pulses { pulses: Vec<Heartbeat>, own: bool, reply: oneshot::Sender<HeartbeatReply> },
    /// The state of an engine whose agent is silent.
    Looked(Status),
    /// The engine beside this process was told to copy a map.
    Copies { epoch: u64, version: u64, map: Vec<rebalance::LayerMap> },
    /// What became of an order.
    Answer(RankOrder, OrderReply),
    /// What came of the question for an edit.
    Edit(Box<EditSearch>, Option<Box<rebalance::Edit>>),
}

/// The actor.
pub struct OwnershipActor {
    agent: rc::Rc<Agent>,
    duty: Option<Ownership>,
    /// Whether an edit of the map is being decided on.
    deciding: bool,
    /// When the next edit may be decided on.
    decide_from: Duration,
    /// When engines of silent agents may be asked again.
    ask_from: Duration,
    clock: Clock,
    rng: Pcg64,
}

/// Compares the steady clock, which stops while a host is suspended, with the time of day.
struct Clock {
    steady: time::Instant,
    day: time::SystemTime,
}

impl Clock {
    fn new() -> Self {
        Self { steady: time::Instant::now(), day: time::SystemTime::now() }
    }

    /// Whether the process stood still since the last call, or the time of day was set.
    fn stood_still(&mut self) -> bool {
        let before = std::mem::replace(self, Self::new());
        let steady = self.steady.saturating_duration_since(before.steady);
        let day = self.day.duration_since(before.day).unwrap_or_default();
        steady > STOOD_STILL || day.abs_diff(steady) > STOOD_STILL
    }
}

impl OwnershipActor {
    /// Begins without a duty: the shape of the group is not known yet.
    pub fn init(cx: CX![], agent: rc::Rc<Agent>, rng: Pcg64) -> Option<Self> {
        after!(STEP_EVERY, [cx], tick());
        Some(Self {
            agent,
            duty: None,
            deciding: false,
            decide_from: Duration::ZERO,
            ask_from: Duration::ZERO,
            clock: Clock::new(),
            rng,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(STEP_EVERY, [cx], tick());
        if let (true, Some(duty)) = (self.clock.stood_still(), &mut self.duty) {
            log::warn!("the process stood still");
            duty.reset_after_stall();
        }
        self.ask_unheard();
        self.step();
    }

    /// Asks the engines of ranks whose agents are silent.
    fn ask_unheard(&mut self) {
        let now = self.agent.now();
        let Some(duty) = self.duty.as_ref().filter(|_| now >= self.ask_from) else { return };
        self.ask_from = now + ASK_EVERY;
        for rank in duty.silent_ranks(now) {
            let agent = rc::Rc::clone(&self.agent);
            task::spawn_local(async move {
                if let Some(status) = agent.status_at(rank).await {
                    agent.tell(Event::Looked(status));
                }
            });
        }
    }

    /// Takes an event.
    pub fn event(&mut self, _: CX![], event: Event) {
        let now = self.agent.now();
        match (event, &mut self.duty) {
            (Event::Shape(shape, cost), duty) => {
                duty.get_or_insert_with(|| Ownership::new(shape, cost));
            }
            (Event::Pulses { pulses, own, reply }, Some(duty)) => {
                let first = pulses.first().and_then(|pulse| pulse.status.member.as_ref());
                if let Some(member) = first.filter(|_| own) {
                    duty.set_own_rank(member.rank);
                }
                let mut want_placed = BTreeSet::new();
                for pulse in pulses {
                    let rank = pulse.status.member.as_ref().map(|member| member.rank);
                    let wanted = duty.receive_heartbeat(now, pulse);
                    want_placed.extend(rank.filter(|_| wanted));
                }
                // An agent that does not wait any more needs no answer.
                let _ = reply.send(HeartbeatReply { want_placement: want_placed });
                if duty.is_changing() {
                    self.step();
                }
            }
            (Event::Looked(status), Some(duty)) => duty.receive_polled_status(status),
            (Event::Copies { epoch, version, map }, Some(duty)) => {
                duty.remember_map(epoch, version, map);
            }
            (Event::Answer(errand, reply), Some(duty)) => {
                duty.answer(now, &errand, reply.outcome.as_ref(), reply.status);
                self.step();
            }
            (Event::Edit(question, edit), Some(duty)) => {
                self.deciding = false;
                duty.begin_change(now, &question, edit.map(|edit| *edit), self.rng.random());
                self.step();
            }
            (_, None) => {}
        }
    }

    fn step(&mut self) {
        let Some(duty) = &mut self.duty else { return };
        let requests = duty.requests_by_rank();
        self.agent.loads.send_replace(self.agent.loads_of(requests));
        let now = self.agent.now();
        if !self.deciding
            && now >= self.decide_from
            && let Some(question) = duty.edit_search(now)
        {
            (self.deciding, self.decide_from) = (true, now + DECIDE_EVERY);
            if self.agent.ranks.get() <= DECIDED_AT_ONCE {
                duty.begin_change(now, &question, question.answer(), self.rng.random());
                self.deciding = false;
            } else {
                let agent = rc::Rc::clone(&self.agent);
                task::spawn_local(async move {
                    let question = Box::new(question);
                    let asked = question.clone();
                    // On another thread, as pulses must be answered meanwhile.
                    let edit = task::spawn_blocking(move || asked.answer().map(Box::new)).await;
                    agent.tell(Event::Edit(question, edit.ok().flatten()));
                });
            }
        }
        let errands = duty.step(now, self.rng.random());
        for batch in relay::batch_by_section(errands, self.agent.ranks.get() as usize) {
            let agent = rc::Rc::clone(&self.agent);
            task::spawn_local(async move { agent.send_all(batch).await });
        }
    }
}
