//! Claims for calls that run at most once.
//!
//! The tests guard against a call that runs twice when its caller repeats it: while the first one
//! runs, after its holder died, after answers of the table were lost, or while the table is down.

use std::{cell::Cell, time::Duration};

use knapweedford::{
    agree::{
        breaker::Breaker,
        claim::{self, BeginOutcome, Claim, Fingerprint, Key, New, RecordedAnswer, Step, Verdict},
        row::{self, Call},
        store::Unavailable,
    },
    cloud::{self, Table},
};
use proptest::{prelude::*, test_runner};

use crate::site::{Platform, ms, secs};

const TIMEOUT: Duration = Duration::from_secs(2);

fn key(idempotency: &str) -> Key {
    Key::new(&"w".into(), &"ledger-app".into(), idempotency).unwrap()
}

fn claim(holder: u64, body: &str) -> Claim<New> {
    Claim::new(key("k1"), holder, Fingerprint::new("POST", "/post", body.as_bytes()))
}

fn begin(platform: &Platform, holder: u64, body: &str) -> BeginOutcome {
    claim::begin(platform, platform, claim(holder, body), TIMEOUT)
}

fn answer(body: &str) -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: Vec::new(), body: body.into() }
}

#[test]
fn repeat_returns_answer() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(held.record(&platform, &platform, &answer("booked"), TIMEOUT));
    assert_eq!(platform.state().writes, 2);
    let BeginOutcome::Recorded(recorded) = begin(&platform, 2, "a") else { panic!("not recorded") };
    assert_eq!(recorded, answer("booked"));
}

#[test]
fn large_answer_stored() {
    let platform = Platform::default();
    let body = "x".repeat(100_000);
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(held.record(&platform, &platform, &answer(&body), TIMEOUT));
    assert!(platform.state().rows.values().all(|row| row.value.len() < 1000));
    let BeginOutcome::Recorded(recorded) = begin(&platform, 2, "a") else { panic!("not recorded") };
    assert_eq!(recorded.body.len(), body.len());
    platform.state().objects.clear();
    assert!(matches!(begin(&platform, 3, "a"), BeginOutcome::AnswerUnavailable));
}

#[test]
fn dead_holder_blocks() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    drop(held);
    for holder in 2..5 {
        assert!(matches!(begin(&platform, holder, "a"), BeginOutcome::Unknown));
    }
}

#[test]
fn different_request_refused() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(matches!(begin(&platform, 2, "b"), BeginOutcome::Mismatch));
    assert!(held.record(&platform, &platform, &answer("booked"), TIMEOUT));
    assert!(matches!(begin(&platform, 3, "b"), BeginOutcome::Mismatch));
}

#[test]
fn claim_answer_lost() {
    let platform = Platform::default();
    platform.state().answer_loss = 1.0;
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else {
        panic!("the claim whose answer was lost is not found")
    };
    platform.state().answer_loss = 0.0;
    assert!(held.record(&platform, &platform, &answer("booked"), TIMEOUT));
}

#[test]
fn record_answer_lost() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    platform.state().answer_loss = 0.6;
    assert!(held.record(&platform, &platform, &answer("booked"), TIMEOUT));
    assert!(matches!(begin(&platform, 2, "a"), BeginOutcome::Recorded(_)));
}

#[test]
fn no_claim_in_outage() {
    let platform = Platform::default();
    platform.state().down = true;
    assert!(matches!(begin(&platform, 1, "a"), BeginOutcome::Unavailable));
    platform.state().down = false;
    assert!(platform.read("claims/w/ledger-app/k1", TIMEOUT).unwrap().is_none());
}

#[test]
fn release_frees_key() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(held.release(&platform, TIMEOUT));
    assert!(matches!(begin(&platform, 2, "a"), BeginOutcome::Claimed(_)));
}

#[test]
fn keys_stay_distinct() {
    let keys = [("a/b", "c"), ("a", "b/c"), ("a~2fb", "c"), ("a", ".."), ("..", "a"), ("", "a")];
    let rows: std::collections::BTreeSet<String> = keys
        .iter()
        .map(|(w, k)| format!("{:?}", Key::new(&(*w).into(), &"s".into(), k).unwrap()))
        .collect();
    assert_eq!(rows.len(), keys.len());
    assert!(rows.iter().all(|row| !row.contains("..")));
    assert!(Key::new(&"w".into(), &"s".into(), "").is_err());
    assert!(Key::new(&"w".into(), &"s".into(), &"k".repeat(256)).is_err());
}

#[test]
fn breaker_opens_and_closes() {
    let mut breaker = Breaker::default();
    for _ in 0..3 {
        assert!(breaker.allow(secs(1)).is_ok());
        breaker.record_outcome(secs(1), false);
    }
    let wait = breaker.allow(ms(1500)).unwrap_err();
    assert_eq!(wait, ms(500));
    assert!(breaker.allow(secs(2)).is_ok());
    assert!(breaker.allow(secs(2)).is_err());
    breaker.record_outcome(secs(2), true);
    assert!(breaker.allow(secs(2)).is_ok());
}

/// State of one entry's attempt at the call.
enum Attempt {
    Step(Step),
    Ended,
}

/// Write that was sent and has not arrived at the table yet.
struct DelayedWrite {
    key: &'static str,
    value: String,
}

const ROW: &str = "claims/w/ledger-app/k1";

/// Advances an attempt by one step. `fault % 4` selects the fault: with 1 a write arrives late, or
/// the call does not run and its claim is released; with 2 the answer of a write is lost, or the
/// holder dies after the call ran; with 3 a read fails, or the holder dies as with 2.
fn advance(
    step: Step,
    platform: &Platform,
    fault: u8,
    delayed_writes: &mut Vec<DelayedWrite>,
    runs: &Cell<u32>,
) -> Attempt {
    match step {
        Step::Write(claim) => {
            let call = claim.call();
            let Call::Write { value, .. } = &call else { panic!("not a write") };
            if fault % 4 == 1 {
                delayed_writes.push(DelayedWrite { key: ROW, value: value.clone() });
                return Attempt::Step(claim.handle_answer(Err(Unavailable)));
            }
            let row::Answer::Write(written) = row::execute(ROW, &call, platform, TIMEOUT) else {
                panic!("not a write")
            };
            let written = if fault % 4 == 2 { Err(Unavailable) } else { written };
            Attempt::Step(claim.handle_answer(written))
        }
        Step::Read(claim) => {
            let row = platform.read(ROW, TIMEOUT).map_err(|_| Unavailable);
            Attempt::Step(claim.handle_answer(if fault % 4 == 3 { Err(Unavailable) } else { row }))
        }
        Step::Done(Verdict::Claimed(held)) => {
            if fault % 4 != 1 {
                runs.set(runs.get() + 1);
            }
            match fault % 4 {
                0 => drop(held.record(platform, platform, &answer("booked"), TIMEOUT)),
                1 => drop(held.release(platform, TIMEOUT)),
                _ => drop(held),
            }
            Attempt::Ended
        }
        Step::Done(_) => Attempt::Ended,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// However the steps of four entries that use the same key interleave, the call runs at most
    /// once. Answers are lost, writes arrive late and holders die.
    #[test]
    fn at_most_once(steps in proptest::collection::vec((0..4usize, 0..8u8), 1..60)) {
        let platform = Platform::default();
        let mut delayed_writes = Vec::new();
        let runs = Cell::new(0);
        let mut attempts: Vec<Attempt> = (0..4).map(|_| Attempt::Ended).collect();
        let mut last_holder = 0;
        for (entry, fault) in steps {
            if fault == 7 && !delayed_writes.is_empty() {
                let DelayedWrite { key, value } = delayed_writes.remove(0);
                let _ = platform.write(key, &value, &cloud::Precondition::Absent, TIMEOUT);
                continue;
            }
            attempts[entry] = match std::mem::replace(&mut attempts[entry], Attempt::Ended) {
                Attempt::Step(step) => advance(step, &platform, fault, &mut delayed_writes, &runs),
                Attempt::Ended => {
                    last_holder += 1;
                    Attempt::Step(Step::Write(claim(last_holder, "a")))
                }
            };
        }
        prop_assert!(runs.get() <= 1, "the call ran {} times", runs.get());
    }
}
