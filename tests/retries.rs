//! Retries, their budget, ejection and the estimate of the deadline.

use std::time;

use knapweedford::{
    name,
    policy::{budget, candidates, collector, eject, estimate, retry},
    wire,
};

const NOW: time::Duration = time::Duration::from_secs(10);
const LEFT: time::Duration = time::Duration::from_secs(5);
const LOST: retry::Failure = retry::Failure::ConnectionLost;

struct Bench {
    retry: retry::RetryState,
    collector: collector::Collector,
    budget: budget::RetryBudget,
}

impl Bench {
    fn new(repeatable: bool) -> Self {
        Self {
            retry: retry::RetryState::new(repeatable),
            collector: collector::Collector::new(wire::RequestId(1), 1),
            budget: budget::RetryBudget::new(NOW),
        }
    }

    fn got(&mut self, events: u64, data: &[u8]) {
        let id = wire::RequestId(1);
        let data = data.to_vec();
        self.collector.receive(1, wire::Reply::Piece { id, offset: 0, events, data });
    }

    fn decide(&mut self, failure: retry::Failure) -> retry::Action {
        self.retry.decide(failure, &self.collector, LEFT, &mut self.budget, NOW)
    }
}

fn refused(why: wire::Refusal) -> retry::Failure {
    retry::Failure::Refused(why)
}

#[test]
fn lost_unrepeatable() {
    let mut bench = Bench::new(false);
    assert_eq!(bench.decide(LOST), retry::Action::Fail(wire::Ran::Unknown));
}

#[test]
fn refused_unrepeatable() {
    let mut bench = Bench::new(false);
    assert_eq!(bench.decide(refused(wire::Refusal::Leaving)), retry::Action::Reroute);
    assert_eq!(bench.decide(refused(wire::Refusal::Unreachable)), retry::Action::Reroute);
    assert_eq!(bench.decide(refused(wire::Refusal::Full)), retry::Action::Requeue);
    assert_eq!(bench.decide(retry::Failure::Unsent), retry::Action::Reroute);
    assert_eq!(bench.retry.ran(), wire::Ran::No);
}

#[test]
fn ran_kept() {
    let mut bench = Bench::new(true);
    bench.decide(retry::Failure::ServerFailed(wire::Ran::Yes));
    let verdict = bench.decide(refused(wire::Refusal::TooLate));
    assert_eq!(verdict, retry::Action::Fail(wire::Ran::Yes), "one attempt ran, so it ran");
}

#[test]
fn resumes_stream() {
    let mut bench = Bench::new(true);
    bench.got(2, b"data: a\n\ndata: b\n\n");
    let resume = wire::Resume { events: 2, bytes: 18 };
    assert_eq!(bench.decide(LOST), retry::Action::Resume(resume));
}

#[test]
fn restarts_plain() {
    let mut bench = Bench::new(true);
    bench.got(0, b"half a body");
    assert_eq!(bench.decide(LOST), retry::Action::Restart);
}

#[test]
fn spoilt_stops() {
    let mut bench = Bench::new(true);
    let failure = retry::Failure::InvalidAnswer(collector::Problem::ChecksumMismatch);
    assert_eq!(bench.decide(failure), retry::Action::Fail(wire::Ran::Yes));
}

#[test]
fn late_stops() {
    let mut bench = Bench::new(true);
    let left = time::Duration::from_millis(1);
    let verdict = bench.retry.decide(LOST, &bench.collector, left, &mut bench.budget, NOW);
    assert_eq!(verdict, retry::Action::Fail(wire::Ran::Unknown));
}

#[test]
fn attempts_bounded() {
    let mut bench = Bench::new(true);
    let verdicts = (0..20).map(|_| bench.decide(refused(wire::Refusal::Unreachable)));
    assert_eq!(verdicts.filter(|verdict| *verdict == retry::Action::Reroute).count(), 7);
}

#[test]
fn full_free() {
    let mut bench = Bench::new(true);
    for _ in 0..20 {
        assert_eq!(bench.decide(refused(wire::Refusal::Full)), retry::Action::Requeue);
    }
    let verdict = bench.decide(LOST);
    assert_eq!(verdict, retry::Action::Reroute, "waiting for a slot uses up no attempt");
}

#[test]
fn begun_goes_on() {
    let mut bench = Bench::new(true);
    bench.got(2, b"data: a\n\ndata: b\n\n");
    let resume = retry::Action::Resume(wire::Resume { events: 2, bytes: 18 });
    assert_eq!(bench.decide(LOST), resume);
    for _ in 0..20 {
        assert_eq!(bench.decide(refused(wire::Refusal::Leaving)), resume);
    }
}

#[test]
fn budget_stops() {
    let mut bench = Bench::new(true);
    while bench.budget.take_retry(NOW) {}
    assert_eq!(bench.decide(LOST), retry::Action::Fail(wire::Ran::Unknown));
    let mut bench = Bench::new(true);
    while bench.budget.take_retry(NOW) {}
    let refused = refused(wire::Refusal::Leaving);
    assert_eq!(bench.decide(refused), retry::Action::Reroute, "a refusal costs no server work");
}

#[test]
fn progress_pays() {
    let mut bench = Bench::new(true);
    while bench.budget.take_retry(NOW) {}
    bench.got(2, b"data: a\n\ndata: b\n\n");
    let resume = retry::Action::Resume(wire::Resume { events: 2, bytes: 18 });
    assert_eq!(bench.decide(LOST), resume, "the server that died had answered in part");
    let stop = retry::Action::Fail(wire::Ran::Unknown);
    assert_eq!(bench.decide(LOST), stop, "an attempt that brought nothing pays for no other");
}

#[test]
fn no_storm() {
    let mut budget = budget::RetryBudget::new(NOW);
    let mut retries = 0;
    for at in 0..1000 {
        let now = NOW + time::Duration::from_millis(at);
        budget.record_first_attempt(now);
        while budget.take_retry(now) {
            retries += 1;
        }
    }
    assert!((100..=125).contains(&retries), "{retries} retries of 1000 requests that all fail");
}

fn candidates(servers: u32) -> candidates::CandidateSet {
    let mut candidates = candidates::CandidateSet::new(&"entry-1".into());
    (0..servers).for_each(|at| candidates.add(&server(at), &"z".into()));
    candidates
}

fn server(at: u32) -> name::Server {
    name::Server::new(format!("s{at}"))
}

fn eligible(candidates: &candidates::CandidateSet, now: time::Duration) -> usize {
    candidates.iter().filter(|candidate| candidate.is_eligible(now)).count()
}

#[test]
fn failing_ejected() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    (0..5).for_each(|_| failures.record_failure(&mut candidates, &server(3), NOW));
    assert!(!candidates.get(&server(3)).unwrap().is_eligible(NOW));
    assert_eq!(eligible(&candidates, NOW + time::Duration::from_secs(3)), 12, "it is tried again");
}

#[test]
fn answers_clear() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    for _ in 0..20 {
        failures.record_failure(&mut candidates, &server(3), NOW);
        failures.record_success(&server(3));
    }
    assert_eq!(eligible(&candidates, NOW), 12);
}

#[test]
fn one_of_two() {
    let (mut candidates, mut failures) = (candidates(2), eject::FailureTracker::new());
    for _ in 0..10 {
        (0..2).for_each(|at| failures.record_failure(&mut candidates, &server(at), NOW));
    }
    assert_eq!(eligible(&candidates, NOW), 1, "one is ejected, the other is kept");
}

#[test]
fn burst_ejects_once() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    (0..50).for_each(|_| failures.record_failure(&mut candidates, &server(3), NOW));
    let later = NOW + time::Duration::from_secs(3);
    assert_eq!(eligible(&candidates, later), 12, "what broke with it does not eject it for longer");
    failures.record_failure(&mut candidates, &server(3), later);
    assert_eq!(eligible(&candidates, later), 11, "one failure after its return is enough");
    let longer = later + time::Duration::from_secs(3);
    assert_eq!(eligible(&candidates, longer), 11, "and lasts longer");
}

#[test]
fn floor_kept() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    for _ in 0..10 {
        (0..12).for_each(|at| failures.record_failure(&mut candidates, &server(at), NOW));
    }
    assert_eq!(eligible(&candidates, NOW), 8, "all fail: most are kept all the same");
}

/// Each request takes 2 s; one with 1000 tokens before it waits 0.5 s.
fn busy() -> estimate::Estimator {
    let mut estimator = estimate::Estimator::new();
    for _ in 0..200 {
        estimator.record_completion(100, time::Duration::from_secs(2));
        estimator.record_wait(1000, time::Duration::from_millis(500));
    }
    estimator
}

#[test]
fn unknown_fits() {
    let estimator = estimate::Estimator::new();
    assert_eq!(estimator.check_deadline(100, 1_000_000, time::Duration::from_millis(1)), Ok(()));
}

#[test]
fn early_refusal() {
    let estimator = busy();
    assert_eq!(estimator.check_deadline(100, 2000, LEFT), Ok(()));
    let late = estimator.check_deadline(100, 20_000, LEFT).unwrap_err();
    let drained = (late.retry_after.as_secs_f64() * 2000.0) as u64;
    let then = estimator.check_deadline(100, 20_000 - drained - 1, LEFT);
    assert_eq!(then, Ok(()), "after Retry-After the queue is short enough");
    let sooner = estimator.check_deadline(100, 20_000 - drained / 2, LEFT);
    assert!(sooner.is_err(), "and not much earlier: {late:?}");
}

#[test]
fn refusals_forgiven() {
    let mut estimator = busy();
    assert!((0..200).all(|_| estimator.check_deadline(100, 1_000_000, LEFT).is_err()));
    assert_eq!(
        estimator.check_deadline(100, 1, LEFT),
        Ok(()),
        "refusing must not bring on more refusals"
    );
    (0..200).for_each(|_| estimator.record_wait(1000, time::Duration::from_millis(10)));
    assert_eq!(
        estimator.check_deadline(100, 20_000, LEFT),
        Ok(()),
        "servers that recovered are believed"
    );
}

#[test]
fn starts_in_time() {
    let seconds = time::Duration::from_secs;
    let last = busy().latest_start(100, seconds(10), seconds(30));
    assert_eq!(last, seconds(15), "a quarter of its time");
    let last = busy().latest_start(500, seconds(10), seconds(22));
    assert!(last <= seconds(12), "its own time is left: {last:?}");
}

#[test]
fn too_short() {
    assert!(busy().check_deadline(100, 0, time::Duration::from_secs(1)).is_err());
}
