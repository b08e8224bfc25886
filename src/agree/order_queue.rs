//! Operators' orders at one process: taken in turn, one at the table at a time.

use std::{collections::VecDeque, time};

use rand_pcg::Pcg64;

use crate::agree::{
    change::{self, Job, Outcome, Reading, Settling, Step, Writing},
    record::{OrderId, Record},
    store::{self, Call, Unavailable},
};

/// Time an order may take before its operator is answered.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Time between reads that settle a lost answer.
const SETTLE_DELAY: time::Duration = time::Duration::from_millis(400);

#[derive(Clone, Debug)]
enum Stage {
    Reading(Reading),
    Writing(Writing),
    Settling(Settling),
}

#[derive(Clone, Debug)]
struct Running {
    op: OrderId,
    deadline: time::Duration,
    stage: Stage,
    call_at: time::Duration,
    call_in_flight: bool,
}

/// An order that is over.
#[derive(Clone, Debug)]
pub struct FinishedOrder {
    /// Which.
    pub op: OrderId,
    /// How.
    pub outcome: Outcome,
    /// The row as last seen, if it may be news.
    pub record: Option<Record>,
}

/// Orders waiting and under way.
#[derive(Clone, Debug, Default)]
pub struct OrderQueue {
    queue: VecDeque<(Job, time::Duration)>,
    running: Option<Running>,
}

impl OrderQueue {
    /// Queues an order.
    pub fn push(&mut self, now: time::Duration, job: Job) {
        self.queue.push_back((job, now + ORDER_TIMEOUT));
    }

    /// Whether `op` waits or is under way.
    pub fn contains(&self, op: OrderId) -> bool {
        self.queue.iter().any(|(job, _)| job.op == op)
            || self.running.as_ref().is_some_and(|running| running.op == op)
    }

    /// Begins the next order and gives the call to make now, if any.
    pub fn next_call(&mut self, now: time::Duration) -> Option<Call> {
        if self.running.is_none() {
            let (job, until) = self.queue.pop_front()?;
            let (op, stage) = (job.op, Stage::Reading(job.begin()));
            self.running =
                Some(Running { op, deadline: until, stage, call_at: now, call_in_flight: false });
        }
        let running = self.running.as_mut()?;
        if running.call_in_flight || now < running.call_at {
            return None;
        }
        running.call_in_flight = true;
        Some(match &running.stage {
            Stage::Reading(_) | Stage::Settling(_) => Call::Read,
            Stage::Writing(writing) => {
                Call::Write { value: writing.value(), when: writing.precondition().clone() }
            }
        })
    }

    /// Takes the answer to the call.
    pub fn answer(
        &mut self,
        now: time::Duration,
        answer: store::Answer,
        rng: &mut Pcg64,
    ) -> Option<FinishedOrder> {
        let running = self.running.take()?;
        let (op, until) = (running.op, running.deadline);
        let late = now >= until;
        let step = match (running.stage, answer) {
            (Stage::Reading(reading), store::Answer::Read(row)) => reading.answer(row),
            (Stage::Writing(writing), store::Answer::Write(written)) => writing.answer(written),
            (Stage::Settling(settling), store::Answer::Read(Err(Unavailable))) if late => {
                Step::Done(settling.give_up(), None)
            }
            (Stage::Settling(settling), store::Answer::Read(row)) => settling.answer(row),
            (stage, _) => {
                self.running = Some(Running { stage, ..running });
                return None;
            }
        };
        let soon = now + store::jitter(SETTLE_DELAY, rng);
        let (stage, ask_at) = match step {
            Step::Done(outcome, record) => return Some(FinishedOrder { op, outcome, record }),
            Step::Read(_) if late => {
                return Some(FinishedOrder {
                    op,
                    outcome: change::table_unavailable(),
                    record: None,
                });
            }
            Step::Read(reading) => (Stage::Reading(reading), now),
            Step::Write(writing) => (Stage::Writing(writing), now),
            Step::Settle(settling) => (Stage::Settling(settling), soon),
        };
        self.running =
            Some(Running { op, deadline: until, stage, call_at: ask_at, call_in_flight: false });
        None
    }
}
