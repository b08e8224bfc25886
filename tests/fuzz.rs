//! Runs a state machine under seeded faults; a failure prints the command that repeats it.
//!
//! `KNAPWEEDFORD_SEED` and `KNAPWEEDFORD_CASES` change seed and length of a run.

use std::{env, fmt, str};

use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Seed of the run in CI.
pub const SEED: u64 = 20_261_203;

/// How long a machine is run.
pub struct Plan {
    /// Name of the test, as `cargo test` takes it.
    pub test: &'static str,
    /// Cases in CI.
    pub cases: u32,
    /// Most steps in one case.
    pub steps: usize,
}

/// Runs machine `T`; the error is the shrunk case with its command.
pub fn run<T>(plan: &Plan) -> Result<(), String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    run_as::<T>(plan, setting("KNAPWEEDFORD_SEED", SEED), setting("KNAPWEEDFORD_CASES", plan.cases))
}

fn run_as<T>(plan: &Plan, seed: u64, cases: u32) -> Result<(), String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..test_runner::Config::default()
    };
    let strategy = T::Reference::sequential_strategy(1..plan.steps);
    test_runner::TestRunner::new(config.clone())
        .run(&strategy, |(state, steps, seen)| {
            T::test_sequential(config.clone(), state, steps, seen);
            Ok(())
        })
        .map_err(|err| {
            let test = plan.test;
            format!("{err}\nKNAPWEEDFORD_SEED={seed} KNAPWEEDFORD_CASES={cases} cargo test {test}")
        })
}

/// Runs machine `T` and panics with the command if it fails.
pub fn holds<T>(plan: &Plan)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    if let Err(failure) = run::<T>(plan) {
        panic!("{failure}");
    }
}

/// Runs machine `T`, a mechanism of which is off, and gives what it fails with;
/// always with the seed and length of CI.
pub fn breaks<T>(plan: &Plan) -> String
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    run_as::<T>(plan, SEED, plan.cases).expect_err("the check must fail when the mechanism is off")
}

/// The setting `name` of the environment, or `default`.
pub fn setting<V: str::FromStr>(name: &str, default: V) -> V {
    match env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} must be a whole number")),
        Err(_) => default,
    }
}
