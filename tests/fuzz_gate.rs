//! Fuzzes the admission gate with restarts, failures, late health answers and drains.
//!
//! Guards against an order of these events in which the gate admits more requests
//! than the server can carry in its state. Each `*_needed` test disables one
//! mechanism of the gate and checks that the fuzzer then finds such an order.

use std::{marker, time};

use knapweedford::policy::gate;
use proptest::{prelude::*, sample};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::fuzz;

const PLAN: fuzz::Plan = fuzz::Plan { test: "fuzz_gate", cases: 400, max_steps: 120 };
const MAX_LIMIT: u32 = 32;
/// Consecutive failures after which a server counts as just started.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Mechanism that a test disables in the gate, to check that the gate needs it.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Mechanism {
    Nothing,
    Incarnation,
    Limit,
    Failures,
    Drain,
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
mutants! { Nothing Incarnation Limit Failures Drain }

#[derive(Clone, Debug)]
enum Step {
    Advance {
        ms: u64,
    },
    Arrive {
        count: u32,
    },
    /// The server sends events of a request, at any interval.
    Events {
        request: sample::Index,
        events: u64,
    },
    Complete {
        request: sample::Index,
    },
    Fail {
        request: sample::Index,
        times: u32,
    },
    /// Rounds of full load with constant latency, in which every answer is complete.
    FullLoad {
        rounds: u32,
    },
    Cancel {
        request: sample::Index,
    },
    /// The server restarts; the sidecar learns of it only from a health answer.
    Restart,
    /// Health answer of the current incarnation.
    Health,
    /// Delayed health answer from before the last restart.
    LateHealth,
    Drain,
    Reopen,
}

/// Reference model without state: every step is always possible.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let index = any::<sample::Index>;
        prop_oneof![
            4 => (1..400u64).prop_map(|ms| Step::Advance { ms }),
            8 => (1..6u32).prop_map(|count| Step::Arrive { count }),
            4 => (index(), 1..9u64).prop_map(|(request, events)| Step::Events { request, events }),
            12 => index().prop_map(|request| Step::Complete { request }),
            2 => (index(), 1..6u32).prop_map(|(request, times)| Step::Fail { request, times }),
            2 => (1..9u32).prop_map(|rounds| Step::FullLoad { rounds }),
            1 => index().prop_map(|request| Step::Cancel { request }),
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

/// Oracle of the server's capacity. A server that has just started can carry
/// [`gate::COLD_LIMIT`] requests, and one more for each complete answer since
/// then. After several consecutive failures it counts as just started.
#[derive(Default)]
struct Oracle {
    completed: u32,
    consecutive_failures: u32,
    taken_out: bool,
}

impl Oracle {
    fn capacity(&self) -> u32 {
        (gate::COLD_LIMIT + self.completed).min(MAX_LIMIT)
    }

    fn restart(&mut self) {
        self.completed = 0;
        self.consecutive_failures = 0;
    }

    fn record_ending(&mut self, ending: gate::Ending) {
        match ending {
            gate::Ending::Complete => {
                self.completed += 1;
                self.consecutive_failures = 0;
            }
            gate::Ending::Failed => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    self.restart();
                }
            }
            gate::Ending::Cancelled => {}
        }
    }
}

struct Request {
    permit: gate::Permit,
    incarnation: u64,
    /// Incarnation known to the sidecar when it admitted the request.
    known_incarnation: u64,
}

struct Simulation<S> {
    now: time::Duration,
    gate: gate::Gate,
    oracle: Oracle,
    requests: Vec<Request>,
    incarnation: u64,
    /// Incarnation in the last health answer that the sidecar received.
    known_incarnation: u64,
    mutant: marker::PhantomData<S>,
}

impl<S: Mutant> Simulation<S> {
    fn new() -> Self {
        let mut simulation = Self {
            now: time::Duration::ZERO,
            gate: gate::Gate::new(MAX_LIMIT),
            oracle: Oracle::default(),
            requests: Vec::new(),
            incarnation: 1,
            known_incarnation: 0,
            mutant: marker::PhantomData,
        };
        simulation.receive_health(1);
        simulation
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Advance { ms } => self.now += time::Duration::from_millis(*ms),
            Step::Arrive { count } => (0..*count).for_each(|_| self.send_request()),
            Step::Restart => self.incarnation += 1,
            Step::Health => self.receive_health(self.incarnation),
            Step::LateHealth => self.receive_health(self.incarnation.saturating_sub(1).max(1)),
            Step::Drain => {
                self.oracle.taken_out = true;
                if S::DISABLED != Mechanism::Drain {
                    self.gate.drain();
                }
            }
            Step::Reopen => {
                self.oracle.taken_out = false;
                self.oracle.restart();
                self.gate.reopen();
            }
            Step::FullLoad { rounds } => (0..*rounds).for_each(|_| self.serve_full_gate()),
            _ if self.requests.is_empty() => {}
            Step::Events { request, events } => {
                let index = request.index(self.requests.len());
                self.gate.record_events(&mut self.requests[index].permit, *events, self.now);
            }
            Step::Complete { request } => self.end_at(request, gate::Ending::Complete),
            Step::Fail { request, times } => {
                let times = (*times as usize).min(self.requests.len());
                (0..times).for_each(|_| self.end_at(request, gate::Ending::Failed));
            }
            Step::Cancel { request } => self.end_at(request, gate::Ending::Cancelled),
        }
    }

    fn send_request(&mut self) {
        let admitted = self.gate.admit(self.now);
        match admitted {
            Ok(permit) => self.requests.push(Request {
                permit,
                incarnation: self.incarnation,
                known_incarnation: self.known_incarnation,
            }),
            Err(_) if S::DISABLED == Mechanism::Limit && !self.oracle.taken_out => {
                self.bypass_gate()
            }
            Err(refusal) => {
                assert!(!refusal.retry_after.is_zero(), "a refusal has no retry delay");
                return;
            }
        }
        assert!(!self.oracle.taken_out, "a server that is taken out received a new request");
        if self.known_incarnation == self.incarnation {
            let in_flight = self.in_flight();
            let capacity = self.oracle.capacity();
            assert!(
                in_flight <= capacity,
                "{in_flight} requests in flight at a server with capacity for {capacity}"
            );
        }
    }

    fn serve_full_gate(&mut self) {
        (0..MAX_LIMIT).for_each(|_| self.send_request());
        self.now += time::Duration::from_millis(100);
        while !self.requests.is_empty() {
            self.end_request(0, gate::Ending::Complete);
        }
    }

    /// Sends a request without asking the gate.
    fn bypass_gate(&mut self) {
        let permit = gate::Gate::new(MAX_LIMIT).admit(self.now).expect("a new gate admits");
        self.requests.push(Request {
            permit,
            incarnation: self.incarnation,
            known_incarnation: self.known_incarnation,
        });
    }

    fn end_at(&mut self, request: &sample::Index, ending: gate::Ending) {
        self.end_request(request.index(self.requests.len()), ending);
    }

    fn end_request(&mut self, index: usize, ending: gate::Ending) {
        let request = self.requests.remove(index);
        // Requests in flight at a server that restarts can only fail.
        let ending = match ending {
            gate::Ending::Complete if request.incarnation != self.incarnation => {
                gate::Ending::Failed
            }
            ending => ending,
        };
        if request.known_incarnation == self.known_incarnation {
            self.oracle.record_ending(ending);
        }
        let ending = match ending {
            gate::Ending::Failed if S::DISABLED == Mechanism::Failures => gate::Ending::Cancelled,
            ending => ending,
        };
        self.gate.release(request.permit, ending, self.now);
    }

    fn receive_health(&mut self, incarnation: u64) {
        if incarnation != self.known_incarnation {
            self.known_incarnation = incarnation;
            self.oracle.restart();
        }
        if S::DISABLED != Mechanism::Incarnation {
            self.gate.record_incarnation(incarnation);
        }
    }

    fn in_flight(&self) -> u32 {
        self.requests.iter().filter(|request| request.incarnation == self.incarnation).count()
            as u32
    }

    /// Ends all faults and checks that the server accepts requests again, that is, that the limit
    /// is never stuck at zero.
    fn end_faults(&mut self) {
        self.receive_health(self.incarnation);
        self.gate.reopen();
        for request in std::mem::take(&mut self.requests) {
            self.gate.release(request.permit, gate::Ending::Failed, self.now);
        }
        assert!(self.gate.is_idle(), "a permit was not returned");
        assert!(self.gate.admit(self.now).is_ok(), "an idle server accepts no request");
    }
}

struct Machine<S>(marker::PhantomData<S>);

impl<S: Mutant> StateMachineTest for Machine<S> {
    type SystemUnderTest = Simulation<S>;
    type Reference = AnyStep;

    fn init_test((): &()) -> Simulation<S> {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation<S>, (): &(), step: Step) -> Simulation<S> {
        simulation.apply_step(&step);
        simulation
    }

    fn teardown(mut simulation: Simulation<S>, (): ()) {
        simulation.end_faults();
    }
}

#[test]
fn limit_holds() {
    fuzz::assert_holds::<Machine<Nothing>>(&PLAN);
}

#[test]
fn incarnation_needed() {
    let failure = fuzz::expect_failure::<Machine<Incarnation>>(&PLAN);
    assert!(failure.contains("in flight at a server with capacity for"), "{failure}");
}

#[test]
fn limit_needed() {
    let failure = fuzz::expect_failure::<Machine<Limit>>(&PLAN);
    assert!(failure.contains("in flight at a server with capacity for"), "{failure}");
}

#[test]
fn failures_needed() {
    let failure = fuzz::expect_failure::<Machine<Failures>>(&PLAN);
    assert!(failure.contains("in flight at a server with capacity for"), "{failure}");
}

#[test]
fn drain_needed() {
    let failure = fuzz::expect_failure::<Machine<Drain>>(&PLAN);
    assert!(failure.contains("taken out received a new request"), "{failure}");
}
