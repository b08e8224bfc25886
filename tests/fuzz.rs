//! Runs state machine and property tests with a fixed seed; a failure prints the command that reproduces it.
//!
//! `KNAPWEEDFORD_SEED` and `KNAPWEEDFORD_CASES` set the seed and the number of cases.

use std::{env, fmt, str};

use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Seed of the runs in CI.
pub const SEED: u64 = 20_261_203;

/// Name and length of a state machine test.
pub struct Plan {
    /// Name filter of the test for `cargo test`.
    pub test: &'static str,
    /// Number of cases in CI.
    pub cases: u32,
    /// Steps in one case stay below this number.
    pub max_steps: usize,
}

/// Returns the configuration of a property test that runs `cases` cases in CI.
pub fn config(cases: u32) -> test_runner::Config {
    seeded_config(env_or("KNAPWEEDFORD_SEED", SEED), env_or("KNAPWEEDFORD_CASES", cases))
}

fn seeded_config(seed: u64, cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..test_runner::Config::default()
    }
}

/// Runs state machine `T`; the error contains the shrunk case and the command that reproduces it.
pub fn run<T>(plan: &Plan) -> Result<(), String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    run_with_seed::<T>(
        plan,
        env_or("KNAPWEEDFORD_SEED", SEED),
        env_or("KNAPWEEDFORD_CASES", plan.cases),
    )
}

fn run_with_seed<T>(plan: &Plan, seed: u64, cases: u32) -> Result<(), String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    let config = seeded_config(seed, cases);
    let strategy = T::Reference::sequential_strategy(1..plan.max_steps);
    test_runner::TestRunner::new(config.clone())
        .run(&strategy, |(state, steps, seen_counter)| {
            T::test_sequential(config.clone(), state, steps, seen_counter);
            Ok(())
        })
        .map_err(|err| {
            let test = plan.test;
            format!("{err}\nKNAPWEEDFORD_SEED={seed} KNAPWEEDFORD_CASES={cases} cargo test {test}")
        })
}

/// Runs state machine `T`; panics with the shrunk case and its command if a check fails.
pub fn assert_holds<T>(plan: &Plan)
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    if let Err(failure) = run::<T>(plan) {
        panic!("{failure}");
    }
}

/// Runs state machine `T`, in which one mechanism is disabled, and returns the failure that this
/// must cause. Always uses the seed and the number of cases of CI.
pub fn expect_failure<T>(plan: &Plan) -> String
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: fmt::Debug + Clone,
    <T::Reference as ReferenceStateMachine>::Transition: fmt::Debug + Clone,
{
    run_with_seed::<T>(plan, SEED, plan.cases)
        .expect_err("the check must fail when the mechanism is disabled")
}

/// Reads the environment variable `name`; returns `default` if it is not set.
pub fn env_or<V: str::FromStr>(name: &str, default: V) -> V {
    match env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} must be a whole number")),
        Err(_) => default,
    }
}
