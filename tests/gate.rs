//! The sidecar's admission gate.
//!
//! A server that has just started can carry only a few requests, and a limit that
//! is too high for its state makes it crash or answer too late. The tests check
//! that the limit grows only on complete answers at the limit, and that each
//! sign of a cold or failing server lowers it.

use std::time;

use knapweedford::{policy::gate, wire};
use proptest::{prelude::*, test_runner};

const MAX_LIMIT: u32 = 32;
/// Time between two events of a stream at a healthy server.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Gate with the permits in use and the current time.
struct Fixture {
    gate: gate::Gate,
    permits: Vec<gate::Permit>,
    now: time::Duration,
}

impl Fixture {
    fn new() -> Self {
        Self { gate: gate::Gate::new(MAX_LIMIT), permits: Vec::new(), now: time::Duration::ZERO }
    }

    fn limit(&self) -> u32 {
        self.gate.load().limit
    }

    /// Admits requests until the gate refuses; returns the number admitted.
    fn fill_gate(&mut self) -> u32 {
        let before = self.permits.len();
        while let Ok(permit) = self.gate.admit(self.now) {
            self.permits.push(permit);
        }
        (self.permits.len() - before) as u32
    }

    /// Fills the gate and completes all requests in flight, with ten events each, one per
    /// `event_interval`.
    fn serve_full_gate(&mut self, event_interval: time::Duration) {
        self.fill_gate();
        for _ in 0..10 {
            self.now += event_interval;
            for permit in &mut self.permits {
                self.gate.record_events(permit, 1, self.now);
            }
        }
        self.release_all(gate::Ending::Complete);
    }

    fn release_all(&mut self, ending: gate::Ending) {
        for permit in std::mem::take(&mut self.permits) {
            self.gate.release(permit, ending, self.now);
        }
    }

    /// Creates a fixture whose gate has grown to its highest limit.
    fn new_warm() -> Self {
        let mut fixture = Self::new();
        while fixture.limit() < MAX_LIMIT {
            fixture.serve_full_gate(EVENT_INTERVAL);
            assert!(fixture.now < time::Duration::from_secs(60));
        }
        fixture
    }
}

#[test]
fn starts_cold() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill_gate(), gate::COLD_LIMIT);
    assert!(!fixture.gate.load().warm);
}

// An idle server shows nothing, so an hour without requests must not raise the limit.
#[test]
fn time_never_raises() {
    let mut fixture = Fixture::new();
    fixture.now += time::Duration::from_secs(3600);
    fixture.gate.check_stall(fixture.now);
    assert_eq!(fixture.fill_gate(), gate::COLD_LIMIT);
}

#[test]
fn limit_grows_gradually() {
    let mut fixture = Fixture::new();
    let mut before = fixture.limit();
    while before < MAX_LIMIT {
        fixture.serve_full_gate(EVENT_INTERVAL);
        assert!(fixture.limit() > before, "no growth at a limit of {before}");
        assert!(
            fixture.limit() <= before + (before / 4).max(1),
            "limit grew from {before} to {}",
            fixture.limit()
        );
        before = fixture.limit();
    }
    assert!(fixture.gate.load().warm);
}

// A server can turn cold without a restart; only its health answer shows it.
#[test]
fn reported_cold_resets() {
    let mut fixture = Fixture::new_warm();
    fixture.gate.record_warmth(false);
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    (0..20).for_each(|_| fixture.serve_full_gate(EVENT_INTERVAL));
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    fixture.gate.record_warmth(true);
    fixture.serve_full_gate(EVENT_INTERVAL);
    assert!(fixture.limit() > gate::COLD_LIMIT);
}

// A failure may mean a restart that the sidecar has not seen yet. The first health check may
// have started before the failure, so the limit returns only after the second.
#[test]
fn failure_needs_checks() {
    let mut fixture = Fixture::new_warm();
    fixture.gate.record_incarnation(1);
    while fixture.limit() < MAX_LIMIT {
        fixture.serve_full_gate(EVENT_INTERVAL);
    }
    let permit = fixture.gate.admit(fixture.now).unwrap();
    fixture.gate.release(permit, gate::Ending::Failed, fixture.now);
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    fixture.gate.record_incarnation(1);
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    fixture.gate.record_incarnation(1);
    assert_eq!(fixture.limit(), MAX_LIMIT * 3 / 4);
}

// A server that crashes under its first requests must get longer to warm up after each restart.
#[test]
fn cold_restarts_delay() {
    let windows = |restarts: u64| {
        let mut fixture = Fixture::new();
        (1..=restarts + 1).for_each(|incarnation| fixture.gate.record_incarnation(incarnation));
        let mut windows = 0;
        while fixture.limit() == gate::COLD_LIMIT {
            fixture.serve_full_gate(EVENT_INTERVAL);
            windows += 1;
        }
        windows
    };
    assert_eq!(windows(0), 1);
    assert!(windows(1) > windows(0));
    assert!(windows(2) >= 2 * windows(1));
}

// Answers to one request at a time show nothing about the load at the limit.
#[test]
fn light_load_holds() {
    let mut fixture = Fixture::new();
    for _ in 0..50 {
        let permit = fixture.gate.admit(fixture.now).unwrap();
        fixture.now += EVENT_INTERVAL;
        fixture.gate.release(permit, gate::Ending::Complete, fixture.now);
    }
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
}

#[test]
fn slow_reduces() {
    let mut fixture = Fixture::new();
    (0..4).for_each(|_| fixture.serve_full_gate(EVENT_INTERVAL));
    assert!(fixture.limit() >= 6);
    let before = fixture.limit();
    fixture.serve_full_gate(EVENT_INTERVAL * 3);
    assert!(fixture.limit() < before);
    assert!(fixture.gate.load().warm);
}

// Requests admitted before a restart may end after it; they must not raise the new limit.
#[test]
fn restart_resets() {
    let mut fixture = Fixture::new_warm();
    fixture.fill_gate();
    fixture.gate.record_incarnation(2);
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    assert_eq!(fixture.fill_gate(), 0);
    fixture.release_all(gate::Ending::Complete);
    assert_eq!(
        fixture.limit(),
        gate::COLD_LIMIT,
        "answers of the old incarnation raised the limit"
    );
}

#[test]
fn latency_collapse_resets() {
    let mut fixture = Fixture::new_warm();
    fixture.fill_gate();
    fixture.now += EVENT_INTERVAL;
    let (first, second) = (fixture.now, fixture.now + EVENT_INTERVAL * 6);
    for permit in &mut fixture.permits {
        fixture.gate.record_events(permit, 1, first);
        fixture.gate.record_events(permit, 1, second);
    }
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    assert!(!fixture.gate.load().warm);
}

#[test]
fn stall_resets() {
    let mut fixture = Fixture::new_warm();
    fixture.fill_gate();
    fixture.now += time::Duration::from_secs(30);
    fixture.gate.check_stall(fixture.now);
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
}

#[test]
fn failures_reset() {
    let mut fixture = Fixture::new_warm();
    for _ in 0..3 {
        let permit = fixture.gate.admit(fixture.now).unwrap();
        fixture.gate.release(permit, gate::Ending::Failed, fixture.now);
    }
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
}

// A server that stays slower than before must get a new reference latency; compared with the
// old one it would stay at the cold limit forever.
#[test]
fn slow_server_recovers() {
    let mut fixture = Fixture::new_warm();
    fixture.fill_gate();
    for _ in 0..10 {
        fixture.now += EVENT_INTERVAL * 6;
        for permit in &mut fixture.permits {
            fixture.gate.record_events(permit, 1, fixture.now);
        }
    }
    fixture.release_all(gate::Ending::Complete);
    assert_eq!(fixture.limit(), gate::COLD_LIMIT);
    for _ in 0..40 {
        fixture.serve_full_gate(EVENT_INTERVAL * 6);
    }
    assert_eq!(fixture.limit(), MAX_LIMIT, "a slow but steady server stays limited");
}

#[test]
fn drain_refuses() {
    let mut fixture = Fixture::new_warm();
    fixture.fill_gate();
    fixture.gate.drain();
    let refusal = fixture.gate.admit(fixture.now).unwrap_err();
    assert_eq!(refusal.reason, wire::Refusal::Leaving);
    assert!(!fixture.gate.is_idle());
    fixture.release_all(gate::Ending::Complete);
    assert!(fixture.gate.is_idle());
    fixture.gate.reopen();
    assert_eq!(fixture.fill_gate(), gate::COLD_LIMIT);
}

#[test]
fn full_names_delay() {
    let mut fixture = Fixture::new_warm();
    fixture.fill_gate();
    let refusal = fixture.gate.admit(fixture.now).unwrap_err();
    assert_eq!(refusal.reason, wire::Refusal::Full);
    assert!(refusal.retry_after > time::Duration::ZERO);
    assert!(refusal.retry_after < time::Duration::from_secs(1), "slots become free much sooner");
}

/// Operation on a gate, caused by any of several entries or by the backend server.
#[derive(Clone, Debug)]
enum Op {
    Admit,
    Events { index: usize, events: u64 },
    Release { index: usize, ending: gate::Ending },
    Incarnation(u64),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let ending = prop_oneof![
        6 => Just(gate::Ending::Complete),
        1 => Just(gate::Ending::Failed),
        1 => Just(gate::Ending::Cancelled),
    ];
    prop_oneof![
        6 => Just(Op::Admit),
        3 => (any::<usize>(), 1..4u64).prop_map(|(index, events)| Op::Events { index, events }),
        5 => (any::<usize>(), ending).prop_map(|(index, ending)| Op::Release { index, ending }),
        1 => (1..3u64).prop_map(Op::Incarnation),
        2 => (0..9000u64).prop_map(Op::Wait),
    ]
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 300,
        rng_seed: test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// In any order of operations, a request is admitted exactly if the gate is below its limit,
    /// and only complete answers raise the limit. The one exception is an unchanged incarnation
    /// after a failure, which restores the limit, but to less than the server has shown.
    ///
    /// The oracle counts the permits in use itself.
    #[test]
    fn limit_is_justified(ops in proptest::collection::vec(op(), 1..400)) {
        let mut fixture = Fixture::new();
        let (mut highest_shown, mut last_incarnation) = (gate::COLD_LIMIT, 0);
        for op in ops {
            let before = fixture.limit();
            let (mut completed, mut unchanged) = (false, false);
            match op {
                Op::Admit => {
                    let in_flight = fixture.permits.len() as u32;
                    match fixture.gate.admit(fixture.now) {
                        Ok(permit) => {
                            prop_assert!(
                                in_flight < before,
                                "{in_flight} in flight at a limit of {before}"
                            );
                            fixture.permits.push(permit);
                        }
                        Err(_) => prop_assert!(
                            in_flight >= before,
                            "refused with {in_flight} in flight at a limit of {before}"
                        ),
                    }
                }
                Op::Events { index, events } if !fixture.permits.is_empty() => {
                    let index = index % fixture.permits.len();
                    fixture.gate.record_events(&mut fixture.permits[index], events, fixture.now);
                }
                Op::Release { index, ending } if !fixture.permits.is_empty() => {
                    completed = ending == gate::Ending::Complete;
                    let permit = fixture.permits.swap_remove(index % fixture.permits.len());
                    fixture.gate.release(permit, ending, fixture.now);
                }
                Op::Incarnation(incarnation) => {
                    fixture.gate.record_incarnation(incarnation);
                    unchanged = incarnation == last_incarnation;
                    highest_shown = if unchanged { highest_shown } else { gate::COLD_LIMIT };
                    last_incarnation = incarnation;
                }
                Op::Wait(ms) => {
                    fixture.now += time::Duration::from_millis(ms);
                    fixture.gate.check_stall(fixture.now);
                }
                Op::Events { .. } | Op::Release { .. } => {}
            }
            let load = fixture.gate.load();
            prop_assert_eq!(load.in_flight as usize, fixture.permits.len());
            prop_assert!(load.limit >= gate::COLD_LIMIT && load.limit <= MAX_LIMIT);
            let raised = load.limit > before;
            prop_assert!(!raised || completed || unchanged, "limit raised without an answer");
            prop_assert!(
                !raised || completed || load.limit < highest_shown,
                "limit restored above what was shown"
            );
            highest_shown = if completed { highest_shown.max(load.limit) } else { highest_shown };
        }
    }
}
