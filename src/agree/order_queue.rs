//! Queue of operators' orders at one process, which are committed to the table one at a time.

use std::{collections::VecDeque, time};

use rand_pcg::Pcg64;

use crate::agree::{
    change::{self, Job, Outcome, Reading, Settling, Step, Writing},
    record::{OrderId, Record},
    store::{self, Call, Unavailable},
};

/// Time limit of an order, after which its operator is answered even if its outcome is unknown.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Delay, before jitter, until the row is read to settle a write whose answer was lost.
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

/// Order that has ended.
#[derive(Clone, Debug)]
pub struct FinishedOrder {
    /// Id of the order.
    pub op: OrderId,
    /// Outcome of the order.
    pub outcome: Outcome,
    /// Row as last read or written, which may be newer than the one in force.
    pub record: Option<Record>,
}

/// Orders that wait, and the one being committed.
#[derive(Clone, Debug, Default)]
pub struct OrderQueue {
    queue: VecDeque<(Job, time::Duration)>,
    running: Option<Running>,
}

impl OrderQueue {
    /// Adds an order to the queue.
    pub fn push(&mut self, now: time::Duration, job: Job) {
        self.queue.push_back((job, now + ORDER_TIMEOUT));
    }

    /// Whether the order `op` waits or is being committed.
    pub fn contains(&self, op: OrderId) -> bool {
        self.queue.iter().any(|(job, _)| job.op == op)
            || self.running.as_ref().is_some_and(|running| running.op == op)
    }

    /// Starts the next order if none is being committed, and returns the call to make now, if any.
    pub fn next_call(&mut self, now: time::Duration) -> Option<Call> {
        if self.running.is_none() {
            let (job, deadline) = self.queue.pop_front()?;
            let (op, stage) = (job.op, Stage::Reading(job.begin()));
            self.running =
                Some(Running { op, deadline, stage, call_at: now, call_in_flight: false });
        }
        let running = self.running.as_mut()?;
        if running.call_in_flight || now < running.call_at {
            return None;
        }
        running.call_in_flight = true;
        Some(match &running.stage {
            Stage::Reading(_) | Stage::Settling(_) => Call::Read,
            Stage::Writing(writing) => {
                Call::Write { value: writing.value(), precondition: writing.precondition().clone() }
            }
        })
    }

    /// Handles the answer to the call; returns the order if it has ended.
    pub fn handle_answer(
        &mut self,
        now: time::Duration,
        answer: store::Answer,
        rng: &mut Pcg64,
    ) -> Option<FinishedOrder> {
        let running = self.running.take()?;
        let (op, deadline) = (running.op, running.deadline);
        let is_late = now >= deadline;
        let step = match (running.stage, answer) {
            (Stage::Reading(reading), store::Answer::Read(row)) => reading.handle_answer(row),
            (Stage::Writing(writing), store::Answer::Write(written)) => {
                writing.handle_answer(written)
            }
            (Stage::Settling(settling), store::Answer::Read(Err(Unavailable))) if is_late => {
                Step::Done(settling.give_up(), None)
            }
            (Stage::Settling(settling), store::Answer::Read(row)) => settling.handle_answer(row),
            (stage, _) => {
                self.running = Some(Running { stage, ..running });
                return None;
            }
        };
        let settle_at = now + store::jitter(SETTLE_DELAY, rng);
        let (stage, call_at) = match step {
            Step::Done(outcome, record) => return Some(FinishedOrder { op, outcome, record }),
            Step::Read(_) if is_late => {
                return Some(FinishedOrder {
                    op,
                    outcome: change::table_unavailable(),
                    record: None,
                });
            }
            Step::Read(reading) => (Stage::Reading(reading), now),
            Step::Write(writing) => (Stage::Writing(writing), now),
            Step::Settle(settling) => (Stage::Settling(settling), settle_at),
        };
        self.running = Some(Running { op, deadline, stage, call_at, call_in_flight: false });
        None
    }
}
