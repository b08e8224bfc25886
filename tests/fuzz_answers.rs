//! Whole answers: pieces lost, late, twice, reordered, of other requests and dead attempts.

use std::marker;

use knapweedford::{policy::collector, wire};
use proptest::{collection, prelude::*, sample};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use xxhash_rust::xxh3;

use crate::fuzz;

const PLAN: fuzz::Plan = fuzz::Plan { test: "fuzz_answers", cases: 400, steps: 60 };
const ID: wire::RequestId = wire::RequestId(7);
const OTHER: wire::RequestId = wire::RequestId(8);

/// The mechanism that is off.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Off {
    Nothing,
    Identity,
    Offsets,
    Attempts,
    Totals,
}

trait Switch: 'static {
    const OFF: Off;
}

macro_rules! switches {
    ($($name:ident)*) => {$(
        struct $name;
        impl Switch for $name {
            const OFF: Off = Off::$name;
        }
    )*};
}
switches! { Nothing Identity Offsets Attempts Totals }

#[derive(Clone, Debug)]
enum Step {
    /// An attempt, dead or not, sends more events.
    Produce {
        attempt: sample::Index,
        events: usize,
    },
    /// An attempt that has sent all sends its end.
    Finish {
        attempt: sample::Index,
    },
    Deliver {
        frame: sample::Index,
    },
    Repeat {
        frame: sample::Index,
    },
    Lose {
        frame: sample::Index,
    },
    /// A frame of another request arrives in place of this one's.
    Stray {
        frame: sample::Index,
    },
    /// The connection breaks; the entry goes on with another attempt.
    Break {
        restart: bool,
    },
}

/// The oracle: the only right answer, as events.
struct Truth;

impl ReferenceStateMachine for Truth {
    type State = Vec<Vec<u8>>;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        collection::vec(collection::vec(any::<u8>(), 1..12), 1..10).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let index = any::<sample::Index>;
        prop_oneof![
            6 => (index(), 1..4usize).prop_map(|(attempt, events)| Step::Produce { attempt, events }),
            3 => index().prop_map(|attempt| Step::Finish { attempt }),
            8 => index().prop_map(|frame| Step::Deliver { frame }),
            2 => index().prop_map(|frame| Step::Repeat { frame }),
            1 => index().prop_map(|frame| Step::Lose { frame }),
            1 => index().prop_map(|frame| Step::Stray { frame }),
            1 => any::<bool>().prop_map(|restart| Step::Break { restart }),
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
    next: usize,
    offset: u64,
    sent: xxh3::Xxh3,
    ended: bool,
}

struct World<S> {
    truth: Vec<Vec<u8>>,
    collector: collector::Collector,
    attempts: Vec<Attempt>,
    network: Vec<(u32, wire::Reply)>,
    caller: Vec<u8>,
    whole: bool,
    switch: marker::PhantomData<S>,
}

impl<S: Switch> World<S> {
    fn new(truth: &[Vec<u8>]) -> Self {
        Self {
            truth: truth.to_vec(),
            collector: collector::Collector::new(ID, 1),
            attempts: vec![Attempt::new(1, 0, 0)],
            network: Vec::new(),
            caller: Vec::new(),
            whole: false,
            switch: marker::PhantomData,
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Produce { attempt, events } => {
                self.produce(attempt.index(self.attempts.len()), *events)
            }
            Step::Finish { attempt } => self.finish(attempt.index(self.attempts.len())),
            Step::Break { restart } => self.again(*restart),
            _ if self.network.is_empty() => {}
            Step::Deliver { frame } => {
                let frame = self.network.remove(frame.index(self.network.len()));
                self.deliver(frame);
            }
            Step::Repeat { frame } => {
                let frame = self.network[frame.index(self.network.len())].clone();
                self.deliver(frame);
            }
            Step::Lose { frame } => {
                self.network.remove(frame.index(self.network.len()));
            }
            Step::Stray { frame } => {
                let (attempt, reply) = self.network[frame.index(self.network.len())].clone();
                self.deliver((attempt, stray(reply)));
            }
        }
    }

    fn produce(&mut self, at: usize, events: usize) {
        let attempt = &mut self.attempts[at];
        let until = (attempt.next + events).min(self.truth.len());
        let data = self.truth[attempt.next..until].concat();
        if data.is_empty() {
            return;
        }
        let piece = wire::Reply::Piece {
            id: ID,
            offset: attempt.offset,
            events: until as u64,
            data: data.clone(),
        };
        attempt.sent.update(&data);
        attempt.offset += data.len() as u64;
        attempt.next = until;
        self.network.push((attempt.number, piece));
    }

    fn finish(&mut self, at: usize) {
        let attempt = &mut self.attempts[at];
        if attempt.ended || attempt.next < self.truth.len() {
            return;
        }
        attempt.ended = true;
        let end = wire::Reply::End {
            id: ID,
            total: attempt.offset,
            checksum: attempt.sent.digest(),
            load: wire::Load::default(),
        };
        self.network.push((attempt.number, end));
    }

    fn again(&mut self, restart: bool) {
        if self.whole {
            return;
        }
        let number = self.attempts.len() as u32 + 1;
        if S::OFF == Off::Totals {
            self.whole = true;
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
        let at = self.collector.delivered_bytes();
        match &mut reply {
            wire::Reply::Piece { id, .. } if S::OFF == Off::Identity => *id = ID,
            wire::Reply::Piece { offset, .. } if S::OFF == Off::Offsets => *offset = at,
            _ => {}
        }
        let attempt = if S::OFF == Off::Attempts { current } else { attempt };
        match self.collector.receive(attempt, reply) {
            collector::Step::Forward(data) => self.caller.extend(data),
            collector::Step::Complete(data) => {
                self.caller.extend(data);
                self.whole = true;
            }
            collector::Step::Invalid(problem) => {
                panic!("a right answer was taken for spoilt: {problem:?}")
            }
        }
    }

    /// After the faults one attempt without any makes the answer whole.
    fn settle(&mut self) {
        self.again(false);
        self.network.clear();
        let last = self.attempts.len() - 1;
        self.produce(last, self.truth.len());
        self.finish(last);
        for frame in std::mem::take(&mut self.network) {
            self.deliver(frame);
        }
    }

    fn check(&self) {
        let right = self.truth.concat();
        assert!(right.starts_with(&self.caller), "the caller has bytes that are not the answer");
        assert!(!self.whole || self.caller == right, "a short answer looks whole");
    }
}

impl Attempt {
    fn new(number: u32, next: usize, offset: u64) -> Self {
        Self { number, next, offset, sent: xxh3::Xxh3::new(), ended: false }
    }
}

fn stray(reply: wire::Reply) -> wire::Reply {
    match reply {
        wire::Reply::Piece { offset, events, data, .. } => {
            let data = data.iter().map(|byte| !byte).collect();
            wire::Reply::Piece { id: OTHER, offset, events, data }
        }
        wire::Reply::End { total, checksum, load, .. } => {
            wire::Reply::End { id: OTHER, total, checksum, load }
        }
        reply => reply,
    }
}

struct Machine<S>(marker::PhantomData<S>);

impl<S: Switch> StateMachineTest for Machine<S> {
    type SystemUnderTest = World<S>;
    type Reference = Truth;

    fn init_test(truth: &Vec<Vec<u8>>) -> World<S> {
        World::new(truth)
    }

    fn apply(mut world: World<S>, _: &Vec<Vec<u8>>, step: Step) -> World<S> {
        world.step(&step);
        world
    }

    fn check_invariants(world: &World<S>, _: &Vec<Vec<u8>>) {
        world.check();
    }

    fn teardown(mut world: World<S>, _: Vec<Vec<u8>>) {
        world.settle();
        world.check();
        assert!(world.whole, "an answer without further faults did not become whole");
    }
}

#[test]
fn answers_whole() {
    fuzz::holds::<Machine<Nothing>>(&PLAN);
}

#[test]
fn identity_needed() {
    let failure = fuzz::breaks::<Machine<Identity>>(&PLAN);
    assert!(failure.contains("not the answer"), "{failure}");
}

#[test]
fn offsets_needed() {
    let failure = fuzz::breaks::<Machine<Offsets>>(&PLAN);
    assert!(failure.contains("not the answer"), "{failure}");
}

#[test]
fn attempts_needed() {
    let failure = fuzz::breaks::<Machine<Attempts>>(&PLAN);
    assert!(failure.contains("taken for spoilt"), "{failure}");
}

#[test]
fn totals_needed() {
    let failure = fuzz::breaks::<Machine<Totals>>(&PLAN);
    assert!(failure.contains("looks whole"), "{failure}");
}
