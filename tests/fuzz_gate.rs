//! The admission gate: restarts, silent failures, late health answers, drains.

use std::{marker, time};

use knapweedford::policy::gate;
use proptest::{prelude::*, sample};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::fuzz;

const PLAN: fuzz::Plan = fuzz::Plan { test: "fuzz_gate", cases: 400, steps: 120 };
const CEILING: u32 = 32;
/// Failures in a row after which a server counts as just started.
const FAILURES: u32 = 3;

/// The mechanism that is off.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Off {
    Nothing,
    Incarnation,
    Ramp,
    Failures,
    Drain,
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
switches! { Nothing Incarnation Ramp Failures Drain }

#[derive(Clone, Debug)]
enum Step {
    Tick {
        ms: u64,
    },
    Arrive {
        requests: u32,
    },
    /// The server sends events of a request, at any pace.
    Emit {
        flight: sample::Index,
        events: u64,
    },
    Answer {
        flight: sample::Index,
    },
    Fail {
        flight: sample::Index,
        times: u32,
    },
    /// Full load at a steady pace, every answer whole.
    Serve {
        rounds: u32,
    },
    Cancel {
        flight: sample::Index,
    },
    /// The server restarts; the sidecar does not know yet.
    Restart,
    /// A health answer of the present incarnation.
    Health,
    /// A health answer that was held up since before the last restart.
    LateHealth,
    Drain,
    Reopen,
}

/// There is nothing to choose the steps by.
struct Any;

impl ReferenceStateMachine for Any {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let index = any::<sample::Index>;
        prop_oneof![
            4 => (1..400u64).prop_map(|ms| Step::Tick { ms }),
            8 => (1..6u32).prop_map(|requests| Step::Arrive { requests }),
            4 => (index(), 1..9u64).prop_map(|(flight, events)| Step::Emit { flight, events }),
            12 => index().prop_map(|flight| Step::Answer { flight }),
            2 => (index(), 1..6u32).prop_map(|(flight, times)| Step::Fail { flight, times }),
            2 => (1..9u32).prop_map(|rounds| Step::Serve { rounds }),
            1 => index().prop_map(|flight| Step::Cancel { flight }),
            1 => Just(Step::Restart),
            2 => Just(Step::Health),
            1 => Just(Step::LateHealth),
            1 => Just(Step::Drain),
            1 => Just(Step::Reopen),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The oracle: a server that has just started carries [`gate::COLD_LIMIT`]
/// requests, and one more for each whole answer since. One that failed
/// several times in a row counts as just started.
#[derive(Default)]
struct Page {
    whole: u32,
    failed: u32,
    out: bool,
}

impl Page {
    fn carries(&self) -> u32 {
        (gate::COLD_LIMIT + self.whole).min(CEILING)
    }

    fn start(&mut self) {
        self.whole = 0;
        self.failed = 0;
    }

    fn end(&mut self, ending: gate::Ending) {
        match ending {
            gate::Ending::Complete => {
                self.whole += 1;
                self.failed = 0;
            }
            gate::Ending::Failed => {
                self.failed += 1;
                if self.failed >= FAILURES {
                    self.start();
                }
            }
            gate::Ending::Cancelled => {}
        }
    }
}

struct Flight {
    permit: gate::Permit,
    incarnation: u64,
    /// The incarnation that the sidecar knew when it admitted it.
    heard: u64,
}

struct World<S> {
    now: time::Duration,
    gate: gate::Gate,
    page: Page,
    flights: Vec<Flight>,
    incarnation: u64,
    /// The incarnation that the sidecar last heard of.
    heard: u64,
    switch: marker::PhantomData<S>,
}

impl<S: Switch> World<S> {
    fn new() -> Self {
        let mut world = Self {
            now: time::Duration::ZERO,
            gate: gate::Gate::new(CEILING),
            page: Page::default(),
            flights: Vec::new(),
            incarnation: 1,
            heard: 0,
            switch: marker::PhantomData,
        };
        world.hear(1);
        world
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Tick { ms } => self.now += time::Duration::from_millis(*ms),
            Step::Arrive { requests } => (0..*requests).for_each(|_| self.arrive()),
            Step::Restart => self.incarnation += 1,
            Step::Health => self.hear(self.incarnation),
            Step::LateHealth => self.hear(self.incarnation.saturating_sub(1).max(1)),
            Step::Drain => {
                self.page.out = true;
                if S::OFF != Off::Drain {
                    self.gate.drain();
                }
            }
            Step::Reopen => {
                self.page.out = false;
                self.page.start();
                self.gate.reopen();
            }
            Step::Serve { rounds } => (0..*rounds).for_each(|_| self.serve()),
            _ if self.flights.is_empty() => {}
            Step::Emit { flight, events } => {
                let at = flight.index(self.flights.len());
                self.gate.record_events(&mut self.flights[at].permit, *events, self.now);
            }
            Step::Answer { flight } => self.end(flight, gate::Ending::Complete),
            Step::Fail { flight, times } => {
                let times = (*times as usize).min(self.flights.len());
                (0..times).for_each(|_| self.end(flight, gate::Ending::Failed));
            }
            Step::Cancel { flight } => self.end(flight, gate::Ending::Cancelled),
        }
    }

    fn arrive(&mut self) {
        let admitted = self.gate.admit(self.now);
        match admitted {
            Ok(permit) => self.flights.push(Flight {
                permit,
                incarnation: self.incarnation,
                heard: self.heard,
            }),
            Err(_) if S::OFF == Off::Ramp && !self.page.out => self.force(),
            Err(refusal) => {
                assert!(!refusal.retry_after.is_zero(), "a refusal names no time to come back");
                return;
            }
        }
        assert!(!self.page.out, "a server that is out got new work");
        if self.heard == self.incarnation {
            let flying = self.flying();
            let carries = self.page.carries();
            assert!(flying <= carries, "{flying} in flight at a server that carries {carries}");
        }
    }

    fn serve(&mut self) {
        (0..CEILING).for_each(|_| self.arrive());
        self.now += time::Duration::from_millis(100);
        while !self.flights.is_empty() {
            self.finish(0, gate::Ending::Complete);
        }
    }

    /// Admits past the gate.
    fn force(&mut self) {
        let permit = gate::Gate::new(CEILING).admit(self.now).expect("a new gate admits");
        self.flights.push(Flight { permit, incarnation: self.incarnation, heard: self.heard });
    }

    fn end(&mut self, flight: &sample::Index, ending: gate::Ending) {
        self.finish(flight.index(self.flights.len()), ending);
    }

    fn finish(&mut self, at: usize, ending: gate::Ending) {
        let flight = self.flights.remove(at);
        // What a server had in flight when it restarted can only fail.
        let ending = match ending {
            gate::Ending::Complete if flight.incarnation != self.incarnation => {
                gate::Ending::Failed
            }
            ending => ending,
        };
        if flight.heard == self.heard {
            self.page.end(ending);
        }
        let ending = match ending {
            gate::Ending::Failed if S::OFF == Off::Failures => gate::Ending::Cancelled,
            ending => ending,
        };
        self.gate.release(flight.permit, ending, self.now);
    }

    fn hear(&mut self, incarnation: u64) {
        if incarnation != self.heard {
            self.heard = incarnation;
            self.page.start();
        }
        if S::OFF != Off::Incarnation {
            self.gate.record_incarnation(incarnation);
        }
    }

    fn flying(&self) -> u32 {
        self.flights.iter().filter(|flight| flight.incarnation == self.incarnation).count() as u32
    }

    /// Once the faults are over, a server takes work again: the limit is never stuck at zero.
    fn settle(&mut self) {
        self.hear(self.incarnation);
        self.gate.reopen();
        for flight in std::mem::take(&mut self.flights) {
            self.gate.release(flight.permit, gate::Ending::Failed, self.now);
        }
        assert!(self.gate.is_idle(), "a permit was lost");
        assert!(self.gate.admit(self.now).is_ok(), "an idle server takes no work");
    }
}

struct Machine<S>(marker::PhantomData<S>);

impl<S: Switch> StateMachineTest for Machine<S> {
    type SystemUnderTest = World<S>;
    type Reference = Any;

    fn init_test((): &()) -> World<S> {
        World::new()
    }

    fn apply(mut world: World<S>, (): &(), step: Step) -> World<S> {
        world.step(&step);
        world
    }

    fn teardown(mut world: World<S>, (): ()) {
        world.settle();
    }
}

#[test]
fn limit_kept() {
    fuzz::holds::<Machine<Nothing>>(&PLAN);
}

#[test]
fn incarnation_needed() {
    let failure = fuzz::breaks::<Machine<Incarnation>>(&PLAN);
    assert!(failure.contains("in flight at a server that carries"), "{failure}");
}

#[test]
fn ramp_needed() {
    let failure = fuzz::breaks::<Machine<Ramp>>(&PLAN);
    assert!(failure.contains("in flight at a server that carries"), "{failure}");
}

#[test]
fn failures_needed() {
    let failure = fuzz::breaks::<Machine<Failures>>(&PLAN);
    assert!(failure.contains("in flight at a server that carries"), "{failure}");
}

#[test]
fn drain_needed() {
    let failure = fuzz::breaks::<Machine<Drain>>(&PLAN);
    assert!(failure.contains("out got new work"), "{failure}");
}
