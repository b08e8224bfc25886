//! Operators' orders at one process: taken in turn, one at the table at a time.

use std::{collections::VecDeque, time};

use rand_pcg::Pcg64;

use crate::agree::{
    change::{self, Job, Outcome, Reading, Settling, Step, Writing},
    record::{Op, Record},
    store::{self, Ask, Unavailable},
};

/// Time an order may take before its operator is answered.
pub const DEADLINE: time::Duration = time::Duration::from_secs(8);

/// Time between reads that settle a lost answer.
const SETTLE_RETRY: time::Duration = time::Duration::from_millis(400);

#[derive(Clone, Debug)]
enum Stage {
    Reading(Reading),
    Writing(Writing),
    Settling(Settling),
}

#[derive(Clone, Debug)]
struct Running {
    op: Op,
    until: time::Duration,
    stage: Stage,
    ask_at: time::Duration,
    asked: bool,
}

/// An order that is over.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Which.
    pub op: Op,
    /// How.
    pub outcome: Outcome,
    /// The row as last seen, if it may be news.
    pub record: Option<Record>,
}

/// Orders waiting and under way.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    queue: VecDeque<(Job, time::Duration)>,
    running: Option<Running>,
}

impl Desk {
    /// Queues an order.
    pub fn push(&mut self, now: time::Duration, job: Job) {
        self.queue.push_back((job, now + DEADLINE));
    }

    /// Whether `op` waits or is under way.
    pub fn has(&self, op: Op) -> bool {
        self.queue.iter().any(|(job, _)| job.op == op)
            || self.running.as_ref().is_some_and(|running| running.op == op)
    }

    /// Begins the next order and gives the call to make now, if any.
    pub fn next(&mut self, now: time::Duration) -> Option<Ask> {
        if self.running.is_none() {
            let (job, until) = self.queue.pop_front()?;
            let (op, stage) = (job.op, Stage::Reading(job.begin()));
            self.running = Some(Running { op, until, stage, ask_at: now, asked: false });
        }
        let running = self.running.as_mut()?;
        if running.asked || now < running.ask_at {
            return None;
        }
        running.asked = true;
        Some(match &running.stage {
            Stage::Reading(_) | Stage::Settling(_) => Ask::Read,
            Stage::Writing(writing) => {
                Ask::Write { value: writing.value(), when: writing.when().clone() }
            }
        })
    }

    /// Takes the answer to the call.
    pub fn answer(
        &mut self,
        now: time::Duration,
        answer: store::Answer,
        rng: &mut Pcg64,
    ) -> Option<Finished> {
        let running = self.running.take()?;
        let (op, until) = (running.op, running.until);
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
        let soon = now + store::jitter(SETTLE_RETRY, rng);
        let (stage, ask_at) = match step {
            Step::Done(outcome, record) => return Some(Finished { op, outcome, record }),
            Step::Read(_) if late => {
                return Some(Finished { op, outcome: change::unavailable(), record: None });
            }
            Step::Read(reading) => (Stage::Reading(reading), now),
            Step::Write(writing) => (Stage::Writing(writing), now),
            Step::Settle(settling) => (Stage::Settling(settling), soon),
        };
        self.running = Some(Running { op, until, stage, ask_at, asked: false });
        None
    }
}
