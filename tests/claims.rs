//! Claims for calls that may not be repeated.

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

const WITHIN: Duration = Duration::from_secs(2);

fn key(idempotency: &str) -> Key {
    Key::new(&"w".into(), &"ledger-app".into(), idempotency).unwrap()
}

fn claim(by: u64, body: &str) -> Claim<New> {
    Claim::new(key("k1"), by, Fingerprint::new("POST", "/post", body.as_bytes()))
}

fn begin(platform: &Platform, by: u64, body: &str) -> BeginOutcome {
    claim::begin(platform, platform, claim(by, body), WITHIN)
}

fn answer(body: &str) -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: Vec::new(), body: body.into() }
}

#[test]
fn repeat_gets_answer() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(held.record(&platform, &platform, &answer("booked"), WITHIN));
    assert_eq!(platform.state().writes, 2);
    let BeginOutcome::Recorded(recorded) = begin(&platform, 2, "a") else { panic!("not recorded") };
    assert_eq!(recorded, answer("booked"));
}

#[test]
fn large_answer() {
    let platform = Platform::default();
    let body = "x".repeat(100_000);
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(held.record(&platform, &platform, &answer(&body), WITHIN));
    assert!(platform.state().rows.values().all(|row| row.value.len() < 1000));
    let BeginOutcome::Recorded(recorded) = begin(&platform, 2, "a") else { panic!("not recorded") };
    assert_eq!(recorded.body.len(), body.len());
    platform.state().objects.clear();
    assert!(matches!(begin(&platform, 3, "a"), BeginOutcome::AnswerUnavailable));
}

#[test]
fn holder_dies() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    drop(held);
    for by in 2..5 {
        assert!(matches!(begin(&platform, by, "a"), BeginOutcome::Unknown));
    }
}

#[test]
fn other_body() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(matches!(begin(&platform, 2, "b"), BeginOutcome::Mismatch));
    assert!(held.record(&platform, &platform, &answer("booked"), WITHIN));
    assert!(matches!(begin(&platform, 3, "b"), BeginOutcome::Mismatch));
}

#[test]
fn answer_lost() {
    let platform = Platform::default();
    platform.state().answer_loss = 1.0;
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else {
        panic!("own claim not found")
    };
    platform.state().answer_loss = 0.0;
    assert!(held.record(&platform, &platform, &answer("booked"), WITHIN));
}

#[test]
fn record_answer_lost() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    platform.state().answer_loss = 0.6;
    assert!(held.record(&platform, &platform, &answer("booked"), WITHIN));
    assert!(matches!(begin(&platform, 2, "a"), BeginOutcome::Recorded(_)));
}

#[test]
fn table_down() {
    let platform = Platform::default();
    platform.state().down = true;
    assert!(matches!(begin(&platform, 1, "a"), BeginOutcome::Unavailable));
    platform.state().down = false;
    assert!(platform.read("claims/w/ledger-app/k1", WITHIN).unwrap().is_none());
}

#[test]
fn release_frees() {
    let platform = Platform::default();
    let BeginOutcome::Claimed(held) = begin(&platform, 1, "a") else { panic!("not claimed") };
    assert!(held.release(&platform, WITHIN));
    assert!(matches!(begin(&platform, 2, "a"), BeginOutcome::Claimed(_)));
}

#[test]
fn keys_apart() {
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
fn breaker_opens() {
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

/// One entry's try at the call, step by step.
enum Try {
    Step(Step),
    Over,
}

/// A write that has left and not arrived.
struct Late {
    key: &'static str,
    value: String,
}

const ROW: &str = "claims/w/ledger-app/k1";

fn advance(
    step: Step,
    platform: &Platform,
    fate: u8,
    late: &mut Vec<Late>,
    ran: &Cell<u32>,
) -> Try {
    match step {
        Step::Write(claim) => {
            let ask = claim.call();
            let Call::Write { value, .. } = &ask else { panic!("a write") };
            if fate % 4 == 1 {
                late.push(Late { key: ROW, value: value.clone() });
                return Try::Step(claim.answer(Err(Unavailable)));
            }
            let row::Answer::Write(written) = row::execute(ROW, &ask, platform, WITHIN) else {
                panic!("a write")
            };
            let written = if fate % 4 == 2 { Err(Unavailable) } else { written };
            Try::Step(claim.answer(written))
        }
        Step::Read(claim) => {
            let row = platform.read(ROW, WITHIN).map_err(|_| Unavailable);
            Try::Step(claim.answer(if fate % 4 == 3 { Err(Unavailable) } else { row }))
        }
        Step::Done(Verdict::Claimed(held)) => {
            if fate % 4 != 1 {
                ran.set(ran.get() + 1);
            }
            match fate % 4 {
                0 => drop(held.record(platform, platform, &answer("booked"), WITHIN)),
                1 => drop(held.release(platform, WITHIN)),
                _ => drop(held),
            }
            Try::Over
        }
        Step::Done(_) => Try::Over,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// Entries race with one key; answers are lost, writes arrive late, holders die.
    #[test]
    fn at_most_once(moves in proptest::collection::vec((0..4usize, 0..8u8), 1..60)) {
        let platform = Platform::default();
        let mut late = Vec::new();
        let ran = Cell::new(0);
        let mut tries: Vec<Try> = (0..4).map(|_| Try::Over).collect();
        let mut by = 0;
        for (who, fate) in moves {
            if fate == 7 && !late.is_empty() {
                let Late { key, value } = late.remove(0);
                let _ = platform.write(key, &value, &cloud::Precondition::Absent, WITHIN);
                continue;
            }
            tries[who] = match std::mem::replace(&mut tries[who], Try::Over) {
                Try::Step(step) => advance(step, &platform, fate, &mut late, &ran),
                Try::Over => {
                    by += 1;
                    Try::Step(Step::Write(claim(by, "a")))
                }
            };
        }
        prop_assert!(ran.get() <= 1, "ran {} times", ran.get());
    }
}
