//! Checks that all ranks use the same expert map in each pass: a group of ranks, two controllers
//! and the table under random sequences of faults.
//!
//! Further tests disable one mechanism of the protocol each, and check that the fault is then
//! found: the mechanism is needed, and the fuzz test can see that it is missing.

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
const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(6);
const DEFAULT: map::Id = map::Id { version: 0, digest: 0 };

/// The mechanism of the protocol that is disabled in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disabled {
    /// All mechanisms are in place.
    Nothing,
    /// The load acknowledgements of all ranks but rank 0 are forged: a switch may come before
    /// a rank has loaded the map.
    Acks,
    /// Rank 0 accepts every list of incarnations: a switch may come after a rank has restarted and
    /// lost the map.
    Incarnations,
    /// An abort counts as done without an answer of rank 0: rank 0 may have switched already, or
    /// may do so later.
    LeaderFirst,
    /// Rank 0 forgets which versions are dead: a late switch may bring back an aborted map.
    Floor,
    /// A restarted rank accepts proposals from before its start: a late load and switch may bring
    /// back a map that was aborted before the restart.
    StartFloor,
    /// A restarted rank takes the map from the table instead of from rank 0: the table lags behind
    /// a switch.
    LeaderMap,
    /// The table accepts every write: an earlier lease holder may overwrite the row of a later one.
    CompareAndSet,
}

/// An event of a run. The first number is the index of a packet, rank or controller, unless
/// the variant says otherwise.
#[derive(Clone, Debug)]
enum Event {
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    /// Deliver a packet and drop its answer.
    DropAnswer(usize),
    /// Let this many milliseconds pass and poll the controllers.
    Tick(u64),
    /// Run a pass on all ranks.
    Pass,
    Restart(usize),
    Pause(usize),
    Resume(usize),
    /// Replace a controller by a new one with a higher fence.
    TakeOver(usize),
    /// Propose the map with this digest at a controller.
    Propose(usize, u64),
    Abort(usize),
    /// Make the table available or unavailable.
    SetStore(bool),
}

/// Reference state: the digests of maps that may be in use, and whether engines check fences.
#[derive(Clone, Debug)]
struct Oracle {
    disabled: Disabled,
    checks_fences: bool,
    digests: collections::BTreeSet<u64>,
}

fn oracle(disabled: Disabled) -> BoxedStrategy<Oracle> {
    any::<bool>()
        .prop_map(move |checks_fences| Oracle {
            disabled,
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
        oracle(Disabled::Nothing)
    }

    fn transitions(_: &Oracle) -> BoxedStrategy<Event> {
        prop_oneof![
            40 => any::<usize>().prop_map(Event::Deliver),
            6 => any::<usize>().prop_map(Event::Duplicate),
            3 => any::<usize>().prop_map(Event::Drop),
            2 => any::<usize>().prop_map(Event::DropAnswer),
            14 => (1u64..3000).prop_map(Event::Tick),
            14 => Just(Event::Pass),
            3 => (0..RANKS).prop_map(Event::Restart),
            1 => (0usize..2).prop_map(Event::Pause),
            2 => (0usize..2).prop_map(Event::Resume),
            2 => (0usize..2).prop_map(Event::TakeOver),
            8 => (0usize..2, 1u64..1000).prop_map(|(node, digest)| Event::Propose(node, digest)),
            3 => (0usize..2).prop_map(Event::Abort),
            1 => any::<bool>().prop_map(Event::SetStore),
            1 => Just(Event::SetStore(true)),
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
        assert!(world.used.is_subset(&oracle.digests), "a map was used that was not proposed");
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

/// Runs random event sequences with one mechanism disabled, and returns the failure, if any.
fn run(disabled: Disabled, cases: u32) -> Result<(), String> {
    let seed = match disabled {
        Disabled::Nothing => fuzz::env_or("KNAPWEEDFORD_SEED", SEED),
        _ => SEED,
    };
    let cfg = config(seed, cases);
    let events = proptest::collection::vec(Machine::transitions(&empty_oracle()), 1..400);
    let strategy = (oracle(disabled), events);
    let mut runner = test_runner::TestRunner::new(cfg.clone());
    let test = |(oracle, events): (Oracle, Vec<Event>)| {
        <Machine as StateMachineTest>::test_sequential(cfg.clone(), oracle, events, None);
        Ok(())
    };
    let describe = |err| {
        format!("{err}\nKNAPWEEDFORD_SEED={seed} KNAPWEEDFORD_CASES={cases} cargo test maps_fuzz")
    };
    runner.run(&strategy, test).map_err(describe)
}

fn empty_oracle() -> Oracle {
    Oracle {
        disabled: Disabled::Nothing,
        checks_fences: false,
        digests: collections::BTreeSet::new(),
    }
}

/// All ranks use the same map in each pass, and after the faults end the group settles on one map.
#[test]
fn one_map() {
    run(Disabled::Nothing, fuzz::env_or("KNAPWEEDFORD_CASES", 10_000)).unwrap();
}

/// Expects a failure with the mechanism disabled, and returns its message.
fn expect_failure(disabled: Disabled) -> String {
    run(disabled, 40_000).expect_err("the run passes although the mechanism is disabled")
}

/// Expects that ranks use different maps with the mechanism disabled.
fn expect_split(disabled: Disabled) {
    let err = expect_failure(disabled);
    assert!(err.contains("cannot run a pass") || err.contains("runs another map"), "{err}");
}

#[test]
fn without_acks() {
    expect_split(Disabled::Acks);
}

#[test]
fn without_incarnations() {
    expect_split(Disabled::Incarnations);
}

#[test]
fn without_leader_first() {
    expect_split(Disabled::LeaderFirst);
}

#[test]
fn without_floor() {
    expect_split(Disabled::Floor);
}

#[test]
fn without_start_floor() {
    expect_split(Disabled::StartFloor);
}

#[test]
fn without_leader_map() {
    expect_split(Disabled::LeaderMap);
}

#[test]
fn without_compare_and_set() {
    assert!(expect_failure(Disabled::CompareAndSet).contains("the group does not settle"));
}
