//! One expert map a step: a rank group, two controllers and the table under every failure.

use std::{collections, time};

use knapweedford::group::map;
use proptest::{prelude::*, test_runner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::fuzz;

mod world;

use world::World;

const RANKS: usize = 3;
const SEED: u64 = 6;
const LEASE: time::Duration = time::Duration::from_secs(40);
const LOAD_WITHIN: time::Duration = time::Duration::from_secs(6);
const DEFAULT: map::Id = map::Id { version: 0, digest: 0 };

/// The mechanism that a run goes without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Off {
    Nothing,
    /// Acknowledgements of all ranks but rank 0 are made up.
    Acks,
    /// Rank 0 believes every list of incarnations.
    Incarnations,
    /// An abort is taken as done without asking rank 0.
    LeaderFirst,
    /// Rank 0 forgets which versions are dead.
    Floor,
    /// A restarted rank takes proposals from before its start.
    StartFloor,
    /// A restarted rank reads the table itself instead of asking rank 0.
    OneName,
    /// The table takes every write.
    CompareAndSet,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    LoseAnswer(usize),
    Tick(u64),
    Step,
    Restart(usize),
    Pause(usize),
    Resume(usize),
    TakeOver(usize),
    Propose(usize, u64),
    Abort(usize),
    Store(bool),
}

/// The oracle: contents that may ever be in use, and what kind of engine runs them.
#[derive(Clone, Debug)]
struct Oracle {
    off: Off,
    checks_fences: bool,
    digests: collections::BTreeSet<u64>,
}

fn oracle(off: Off) -> BoxedStrategy<Oracle> {
    any::<bool>()
        .prop_map(move |checks_fences| Oracle {
            off,
            checks_fences,
            digests: collections::BTreeSet::from([DEFAULT.digest]),
        })
        .boxed()
}

struct Machine;

impl ReferenceStateMachine for Machine {
    type State = Oracle;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Oracle> {
        oracle(Off::Nothing)
    }

    fn transitions(_: &Oracle) -> BoxedStrategy<Event> {
        prop_oneof![
            40 => any::<usize>().prop_map(Event::Deliver),
            6 => any::<usize>().prop_map(Event::Repeat),
            3 => any::<usize>().prop_map(Event::Lose),
            2 => any::<usize>().prop_map(Event::LoseAnswer),
            14 => (1u64..3000).prop_map(Event::Tick),
            14 => Just(Event::Step),
            3 => (0..RANKS).prop_map(Event::Restart),
            1 => (0usize..2).prop_map(Event::Pause),
            2 => (0usize..2).prop_map(Event::Resume),
            2 => (0usize..2).prop_map(Event::TakeOver),
            8 => (0usize..2, 1u64..1000).prop_map(|(c, digest)| Event::Propose(c, digest)),
            3 => (0usize..2).prop_map(Event::Abort),
            1 => any::<bool>().prop_map(Event::Store),
            1 => Just(Event::Store(true)),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, event: &Event) -> Oracle {
        if let Event::Propose(_, digest) = event {
            state.digests.insert(*digest);
        }
        state
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Machine;

    fn init_test(oracle: &Oracle) -> World {
        World::new(oracle)
    }

    fn apply(mut world: World, _: &Oracle, event: Event) -> World {
        world.apply(&event);
        world
    }

    fn check_invariants(world: &World, oracle: &Oracle) {
        assert!(world.used.is_subset(&oracle.digests), "a map was used that nobody proposed");
    }

    fn teardown(mut world: World, _: Oracle) {
        world.settle();
    }
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// Runs the machine without one mechanism; gives the failure, if any.
fn run(off: Off, cases: u32) -> Result<(), String> {
    let seed = match off {
        Off::Nothing => fuzz::setting("KNAPWEEDFORD_SEED", SEED),
        _ => SEED,
    };
    let cfg = config(seed, cases);
    let events = proptest::collection::vec(Machine::transitions(&no_oracle()), 1..400);
    let strategy = (oracle(off), events);
    let mut runner = test_runner::TestRunner::new(cfg.clone());
    let test = |(oracle, events): (Oracle, Vec<Event>)| {
        <Machine as StateMachineTest>::test_sequential(cfg.clone(), oracle, events, None);
        Ok(())
    };
    let failed = |err| {
        format!("{err}\nKNAPWEEDFORD_SEED={seed} KNAPWEEDFORD_CASES={cases} cargo test maps_fuzz")
    };
    runner.run(&strategy, test).map_err(failed)
}

fn no_oracle() -> Oracle {
    Oracle { off: Off::Nothing, checks_fences: false, digests: collections::BTreeSet::new() }
}

#[test]
fn one_map() {
    run(Off::Nothing, fuzz::setting("KNAPWEEDFORD_CASES", 10_000)).unwrap();
}

fn breaks(off: Off) -> String {
    run(off, 40_000).expect_err("the mechanism is not needed")
}

fn splits(off: Off) {
    let err = breaks(off);
    assert!(err.contains("cannot run a step") || err.contains("runs another map"), "{err}");
}

#[test]
fn without_acks() {
    splits(Off::Acks);
}

#[test]
fn without_incarnations() {
    splits(Off::Incarnations);
}

#[test]
fn without_leader_first() {
    splits(Off::LeaderFirst);
}

#[test]
fn without_floor() {
    splits(Off::Floor);
}

#[test]
fn without_start_floor() {
    splits(Off::StartFloor);
}

#[test]
fn without_one_name() {
    splits(Off::OneName);
}

#[test]
fn without_compare_and_set() {
    assert!(breaks(Off::CompareAndSet).contains("no rest"));
}
