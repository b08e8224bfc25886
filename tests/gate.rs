//! The sidecar's admission gate.

use std::time;

use knapweedford::{policy::gate, wire};
use proptest::{prelude::*, test_runner};

const CEILING: u32 = 32;
const STEP: time::Duration = time::Duration::from_millis(20);

/// A gate with its permits and a clock that a test moves.
struct Bench {
    gate: gate::Gate,
    permits: Vec<gate::Permit>,
    now: time::Duration,
}

impl Bench {
    fn new() -> Self {
        Self { gate: gate::Gate::new(CEILING), permits: Vec::new(), now: time::Duration::ZERO }
    }

    fn limit(&self) -> u32 {
        self.gate.load().limit
    }

    fn fill(&mut self) -> u32 {
        let before = self.permits.len();
        while let Ok(permit) = self.gate.admit(self.now) {
            self.permits.push(permit);
        }
        (self.permits.len() - before) as u32
    }

    /// Serves one generation of a full gate, `pace` an event.
    fn serve(&mut self, pace: time::Duration) {
        self.fill();
        for _ in 0..10 {
            self.now += pace;
            for permit in &mut self.permits {
                self.gate.record_events(permit, 1, self.now);
            }
        }
        self.end(gate::Ending::Complete);
    }

    fn end(&mut self, ending: gate::Ending) {
        for permit in std::mem::take(&mut self.permits) {
            self.gate.release(permit, ending, self.now);
        }
    }

    fn warm() -> Self {
        let mut bench = Self::new();
        while bench.limit() < CEILING {
            bench.serve(STEP);
            assert!(bench.now < time::Duration::from_secs(60));
        }
        bench
    }
}

#[test]
fn starts_cold() {
    let mut bench = Bench::new();
    assert_eq!(bench.fill(), gate::COLD_LIMIT);
    assert!(!bench.gate.load().warm);
}

#[test]
fn time_alone() {
    let mut bench = Bench::new();
    bench.now += time::Duration::from_secs(3600);
    bench.gate.check_stall(bench.now);
    assert_eq!(bench.fill(), gate::COLD_LIMIT);
}

#[test]
fn ramp_follows() {
    let mut bench = Bench::new();
    let mut before = bench.limit();
    while before < CEILING {
        bench.serve(STEP);
        assert!(bench.limit() > before, "no growth at {before}");
        assert!(bench.limit() <= before + (before / 4).max(1), "{} after {before}", bench.limit());
        before = bench.limit();
    }
    assert!(bench.gate.load().warm);
}

#[test]
fn told_cold() {
    let mut bench = Bench::warm();
    bench.gate.record_warmth(false);
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    (0..20).for_each(|_| bench.serve(STEP));
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    bench.gate.record_warmth(true);
    bench.serve(STEP);
    assert!(bench.limit() > gate::COLD_LIMIT);
}

#[test]
fn doubt_caps() {
    let mut bench = Bench::warm();
    bench.gate.record_incarnation(1);
    while bench.limit() < CEILING {
        bench.serve(STEP);
    }
    let permit = bench.gate.admit(bench.now).unwrap();
    bench.gate.release(permit, gate::Ending::Failed, bench.now);
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    bench.gate.record_incarnation(1);
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    bench.gate.record_incarnation(1);
    assert_eq!(bench.limit(), CEILING * 3 / 4);
}

#[test]
fn falls_hold() {
    let windows = |falls: u64| {
        let mut bench = Bench::new();
        (1..=falls + 1).for_each(|seen| bench.gate.record_incarnation(seen));
        let mut windows = 0;
        while bench.limit() == gate::COLD_LIMIT {
            bench.serve(STEP);
            windows += 1;
        }
        windows
    };
    assert_eq!(windows(0), 1);
    assert!(windows(1) > windows(0));
    assert!(windows(2) >= 2 * windows(1));
}

#[test]
fn quiet_holds() {
    let mut bench = Bench::new();
    for _ in 0..50 {
        let permit = bench.gate.admit(bench.now).unwrap();
        bench.now += STEP;
        bench.gate.release(permit, gate::Ending::Complete, bench.now);
    }
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
}

#[test]
fn slow_shrinks() {
    let mut bench = Bench::new();
    (0..4).for_each(|_| bench.serve(STEP));
    assert!(bench.limit() >= 6);
    let before = bench.limit();
    bench.serve(STEP * 3);
    assert!(bench.limit() < before);
    assert!(bench.gate.load().warm);
}

#[test]
fn restart_chills() {
    let mut bench = Bench::warm();
    bench.fill();
    bench.gate.record_incarnation(2);
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    assert_eq!(bench.fill(), 0);
    bench.end(gate::Ending::Complete);
    assert_eq!(bench.limit(), gate::COLD_LIMIT, "answers of the old incarnation show nothing");
}

#[test]
fn collapse_chills() {
    let mut bench = Bench::warm();
    bench.fill();
    bench.now += STEP;
    let (now, slow) = (bench.now, bench.now + STEP * 6);
    for permit in &mut bench.permits {
        bench.gate.record_events(permit, 1, now);
        bench.gate.record_events(permit, 1, slow);
    }
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    assert!(!bench.gate.load().warm);
}

#[test]
fn stall_chills() {
    let mut bench = Bench::warm();
    bench.fill();
    bench.now += time::Duration::from_secs(30);
    bench.gate.check_stall(bench.now);
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
}

#[test]
fn failures_chill() {
    let mut bench = Bench::warm();
    for _ in 0..3 {
        let permit = bench.gate.admit(bench.now).unwrap();
        bench.gate.release(permit, gate::Ending::Failed, bench.now);
    }
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
}

#[test]
fn slow_recovers() {
    let mut bench = Bench::warm();
    bench.fill();
    for _ in 0..10 {
        bench.now += STEP * 6;
        for permit in &mut bench.permits {
            bench.gate.record_events(permit, 1, bench.now);
        }
    }
    bench.end(gate::Ending::Complete);
    assert_eq!(bench.limit(), gate::COLD_LIMIT);
    for _ in 0..40 {
        bench.serve(STEP * 6);
    }
    assert_eq!(bench.limit(), CEILING, "a server that stays slow is measured anew, not locked up");
}

#[test]
fn drain_refuses() {
    let mut bench = Bench::warm();
    bench.fill();
    bench.gate.drain();
    let refusal = bench.gate.admit(bench.now).unwrap_err();
    assert_eq!(refusal.reason, wire::Refusal::Leaving);
    assert!(!bench.gate.is_idle());
    bench.end(gate::Ending::Complete);
    assert!(bench.gate.is_idle());
    bench.gate.reopen();
    assert_eq!(bench.fill(), gate::COLD_LIMIT);
}

#[test]
fn full_answers() {
    let mut bench = Bench::warm();
    bench.fill();
    let refusal = bench.gate.admit(bench.now).unwrap_err();
    assert_eq!(refusal.reason, wire::Refusal::Full);
    assert!(refusal.retry_after > time::Duration::ZERO);
    assert!(refusal.retry_after < time::Duration::from_secs(1), "slots turn over all the time");
}

/// What several entries and the backend server may do to a gate.
#[derive(Clone, Debug)]
enum Op {
    Admit,
    Observe { at: usize, events: u64 },
    Release { at: usize, ending: gate::Ending },
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
        3 => (any::<usize>(), 1..4u64).prop_map(|(at, events)| Op::Observe { at, events }),
        5 => (any::<usize>(), ending).prop_map(|(at, ending)| Op::Release { at, ending }),
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

    /// Oracle: permits out are counted here; only whole answers raise the limit, but
    /// that a doubt cleared by the server's unchanged incarnation gives back less than was shown.
    #[test]
    fn never_over(ops in proptest::collection::vec(op(), 1..400)) {
        let mut bench = Bench::new();
        let (mut shown, mut known) = (gate::COLD_LIMIT, 0);
        for op in ops {
            let before = bench.limit();
            let (mut whole, mut unchanged) = (false, false);
            match op {
                Op::Admit => {
                    let out = bench.permits.len() as u32;
                    match bench.gate.admit(bench.now) {
                        Ok(permit) => {
                            prop_assert!(out < before, "{out} out at a limit of {before}");
                            bench.permits.push(permit);
                        }
                        Err(_) => prop_assert!(out >= before, "locked up: {out} out of {before}"),
                    }
                }
                Op::Observe { at, events } if !bench.permits.is_empty() => {
                    let at = at % bench.permits.len();
                    bench.gate.record_events(&mut bench.permits[at], events, bench.now);
                }
                Op::Release { at, ending } if !bench.permits.is_empty() => {
                    whole = ending == gate::Ending::Complete;
                    let permit = bench.permits.swap_remove(at % bench.permits.len());
                    bench.gate.release(permit, ending, bench.now);
                }
                Op::Incarnation(seen) => {
                    bench.gate.record_incarnation(seen);
                    unchanged = seen == known;
                    shown = if unchanged { shown } else { gate::COLD_LIMIT };
                    known = seen;
                }
                Op::Wait(ms) => {
                    bench.now += time::Duration::from_millis(ms);
                    bench.gate.check_stall(bench.now);
                }
                Op::Observe { .. } | Op::Release { .. } => {}
            }
            let load = bench.gate.load();
            prop_assert_eq!(load.in_flight as usize, bench.permits.len());
            prop_assert!(load.limit >= gate::COLD_LIMIT && load.limit <= CEILING);
            let raised = load.limit > before;
            prop_assert!(!raised || whole || unchanged, "raised without a whole answer");
            prop_assert!(!raised || whole || load.limit < shown, "gave back more than was shown");
            shown = if whole { shown.max(load.limit) } else { shown };
        }
    }
}
