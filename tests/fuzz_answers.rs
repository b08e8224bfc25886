//! Fuzzes the collector with frames that are lost, late, repeated, reordered or from other
//! requests and from attempts that have failed.
//!
//! Guards against wrong bytes and incomplete answers that look complete. Each
//! `*_needed` test disables one mechanism of the collector and checks that the
//! fuzzer then finds such an answer.

use std::marker;

use knapweedford::{policy::collector, wire};
use proptest::{collection, prelude::*, sample};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use xxhash_rust::xxh3;

use crate::fuzz;

const PLAN: fuzz::Plan = fuzz::Plan { test: "fuzz_answers", cases: 400, max_steps: 60 };
const ID: wire::RequestId = wire::RequestId(7);
const OTHER_ID: wire::RequestId = wire::RequestId(8);

/// Mechanism of the collector that a run disables.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Mechanism {
    Nothing,
    Identity,
    Offsets,
    Attempts,
    Totals,
}

trait Mutant: 'static {
    const DISABLED: Mechanism;
}

macro_rules! mutants {
    ($($name:ident)*) => {$(
        struct $name;
        impl Mutant for $name {
            const DISABLED: Mechanism = Mechanism::$name;
        }
    )*};
}
mutants! { Nothing Identity Offsets Attempts Totals }

#[derive(Clone, Debug)]
enum Step {
    /// An attempt, failed or not, sends more events.
    Produce {
        attempt: sample::Index,
        events: usize,
    },
    /// An attempt that has sent all events sends its end frame.
    Finish {
        attempt: sample::Index,
    },
    Deliver {
        frame: sample::Index,
    },
    Repeat {
        frame: sample::Index,
    },
    Drop {
        frame: sample::Index,
    },
    /// A frame of another request arrives on this request's connection.
    Misdeliver {
        frame: sample::Index,
    },
    /// The connection breaks, and the entry starts another attempt.
    Disconnect {
        restart: bool,
    },
}

/// Oracle: the correct answer, as a list of events.
struct CorrectAnswer;

impl ReferenceStateMachine for CorrectAnswer {
    type State = Vec<Vec<u8>>;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        collection::vec(collection::vec(any::<u8>(), 1..12), 1..10).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let index = any::<sample::Index>;
        prop_oneof![
            6 => (index(), 1..4usize)
                .prop_map(|(attempt, events)| Step::Produce { attempt, events }),
            3 => index().prop_map(|attempt| Step::Finish { attempt }),
            8 => index().prop_map(|frame| Step::Deliver { frame }),
            2 => index().prop_map(|frame| Step::Repeat { frame }),
            1 => index().prop_map(|frame| Step::Drop { frame }),
            1 => index().prop_map(|frame| Step::Misdeliver { frame }),
            1 => any::<bool>().prop_map(|restart| Step::Disconnect { restart }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

/// One attempt at one backend server.
struct Attempt {
    number: u32,
    next_event: usize,
    offset: u64,
    hash: xxh3::Xxh3,
    ended: bool,
}

struct Simulation<S> {
    correct_answer: Vec<Vec<u8>>,
    collector: collector::Collector,
    attempts: Vec<Attempt>,
    network: Vec<(u32, wire::Reply)>,
    caller_bytes: Vec<u8>,
    complete: bool,
    mutant: marker::PhantomData<S>,
}

impl<S: Mutant> Simulation<S> {
    fn new(correct_answer: &[Vec<u8>]) -> Self {
        Self {
            correct_answer: correct_answer.to_vec(),
            collector: collector::Collector::new(ID, 1),
            attempts: vec![Attempt::new(1, 0, 0)],
            network: Vec::new(),
            caller_bytes: Vec::new(),
            complete: false,
            mutant: marker::PhantomData,
        }
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Produce { attempt, events } => {
                self.send_piece(attempt.index(self.attempts.len()), *events)
            }
            Step::Finish { attempt } => self.finish(attempt.index(self.attempts.len())),
            Step::Disconnect { restart } => self.start_attempt(*restart),
            _ if self.network.is_empty() => {}
            Step::Deliver { frame } => {
                let frame = self.network.remove(frame.index(self.network.len()));
                self.deliver(frame);
            }
            Step::Repeat { frame } => {
                let frame = self.network[frame.index(self.network.len())].clone();
                self.deliver(frame);
            }
            Step::Drop { frame } => {
                self.network.remove(frame.index(self.network.len()));
            }
            Step::Misdeliver { frame } => {
                let (attempt, reply) = self.network[frame.index(self.network.len())].clone();
                self.deliver((attempt, as_other_request(reply)));
            }
        }
    }

    fn send_piece(&mut self, index: usize, events: usize) {
        let attempt = &mut self.attempts[index];
        let until = (attempt.next_event + events).min(self.correct_answer.len());
        let data = self.correct_answer[attempt.next_event..until].concat();
        if data.is_empty() {
            return;
        }
        let piece = wire::Reply::Piece {
            id: ID,
            offset: attempt.offset,
            events: until as u64,
            data: data.clone(),
        };
        attempt.hash.update(&data);
        attempt.offset += data.len() as u64;
        attempt.next_event = until;
        self.network.push((attempt.number, piece));
    }

    fn finish(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        if attempt.ended || attempt.next_event < self.correct_answer.len() {
            return;
        }
        attempt.ended = true;
        let end = wire::Reply::End {
            id: ID,
            total: attempt.offset,
            checksum: attempt.hash.digest(),
            load: wire::Load::default(),
        };
        self.network.push((attempt.number, end));
    }

    fn start_attempt(&mut self, restart: bool) {
        if self.complete {
            return;
        }
        let number = self.attempts.len() as u32 + 1;
        if S::DISABLED == Mechanism::Totals {
            self.complete = true;
        }
        match self.collector.resume_point() {
            Some(resume) if !restart => {
                self.collector.continue_with(number);
                self.attempts.push(Attempt::new(number, resume.events as usize, resume.bytes));
            }
            _ => {
                self.collector.restart_with(number);
                self.attempts.push(Attempt::new(number, 0, 0));
            }
        }
    }

    fn deliver(&mut self, (attempt, mut reply): (u32, wire::Reply)) {
        let current = self.attempts.len() as u32;
        let delivered = self.collector.delivered_bytes();
        match &mut reply {
            wire::Reply::Piece { id, .. } if S::DISABLED == Mechanism::Identity => *id = ID,
            wire::Reply::Piece { offset, .. } if S::DISABLED == Mechanism::Offsets => {
                *offset = delivered
            }
            _ => {}
        }
        let attempt = if S::DISABLED == Mechanism::Attempts { current } else { attempt };
        match self.collector.receive(attempt, reply) {
            collector::Step::Forward(data) => self.caller_bytes.extend(data),
            collector::Step::Complete(data) => {
                self.caller_bytes.extend(data);
                self.complete = true;
            }
            collector::Step::Invalid(problem) => {
                panic!("a correct answer was reported as invalid: {problem:?}")
            }
        }
    }

    /// Ends all faults; one more attempt without faults must then complete the answer.
    fn end_faults(&mut self) {
        self.start_attempt(false);
        self.network.clear();
        let last = self.attempts.len() - 1;
        self.send_piece(last, self.correct_answer.len());
        self.finish(last);
        for frame in std::mem::take(&mut self.network) {
            self.deliver(frame);
        }
    }

    fn check_caller(&self) {
        let expected = self.correct_answer.concat();
        assert!(
            expected.starts_with(&self.caller_bytes),
            "the caller has bytes that are not from the answer"
        );
        assert!(
            !self.complete || self.caller_bytes == expected,
            "an incomplete answer was reported as complete"
        );
    }
}

impl Attempt {
    fn new(number: u32, next_event: usize, offset: u64) -> Self {
        Self { number, next_event, offset, hash: xxh3::Xxh3::new(), ended: false }
    }
}

fn as_other_request(reply: wire::Reply) -> wire::Reply {
    match reply {
        wire::Reply::Piece { offset, events, data, .. } => {
            let data = data.iter().map(|byte| !byte).collect();
            wire::Reply::Piece { id: OTHER_ID, offset, events, data }
        }
        wire::Reply::End { total, checksum, load, .. } => {
            wire::Reply::End { id: OTHER_ID, total, checksum, load }
        }
        reply => reply,
    }
}

struct Machine<S>(marker::PhantomData<S>);

impl<S: Mutant> StateMachineTest for Machine<S> {
    type SystemUnderTest = Simulation<S>;
    type Reference = CorrectAnswer;

    fn init_test(correct_answer: &Vec<Vec<u8>>) -> Simulation<S> {
        Simulation::new(correct_answer)
    }

    fn apply(mut simulation: Simulation<S>, _: &Vec<Vec<u8>>, step: Step) -> Simulation<S> {
        simulation.apply_step(&step);
        simulation
    }

    fn check_invariants(simulation: &Simulation<S>, _: &Vec<Vec<u8>>) {
        simulation.check_caller();
    }

    fn teardown(mut simulation: Simulation<S>, _: Vec<Vec<u8>>) {
        simulation.end_faults();
        simulation.check_caller();
        assert!(simulation.complete, "the answer is incomplete although the faults have ended");
    }
}

#[test]
fn answers_are_complete() {
    fuzz::assert_holds::<Machine<Nothing>>(&PLAN);
}

#[test]
fn identity_needed() {
    let failure = fuzz::expect_failure::<Machine<Identity>>(&PLAN);
    assert!(failure.contains("not from the answer"), "{failure}");
}

#[test]
fn offsets_needed() {
    let failure = fuzz::expect_failure::<Machine<Offsets>>(&PLAN);
    assert!(failure.contains("not from the answer"), "{failure}");
}

#[test]
fn attempts_needed() {
    let failure = fuzz::expect_failure::<Machine<Attempts>>(&PLAN);
    assert!(failure.contains("reported as invalid"), "{failure}");
}

#[test]
fn totals_needed() {
    let failure = fuzz::expect_failure::<Machine<Totals>>(&PLAN);
    assert!(failure.contains("reported as complete"), "{failure}");
}
