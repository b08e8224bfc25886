//! Retries and their budget, ejection of servers, and the estimate of a request's time.
//!
//! Guards against a request that runs twice although it must not, against retry
//! storms when many requests fail, against ejecting too many servers, and against
//! refusals that are too early, too late or self-sustaining.

use std::time;

use knapweedford::{
    name,
    policy::{budget, candidates, collector, eject, estimate, retry},
    wire,
};

const NOW: time::Duration = time::Duration::from_secs(10);
const TIME_LEFT: time::Duration = time::Duration::from_secs(5);
const CONNECTION_LOST: retry::Failure = retry::Failure::ConnectionLost;

struct Fixture {
    retry: retry::RetryState,
    collector: collector::Collector,
    budget: budget::RetryBudget,
}

impl Fixture {
    fn new(repeatable: bool) -> Self {
        Self {
            retry: retry::RetryState::new(repeatable),
            collector: collector::Collector::new(wire::RequestId(1), 1),
            budget: budget::RetryBudget::new(NOW),
        }
    }

    fn receive(&mut self, events: u64, data: &[u8]) {
        let id = wire::RequestId(1);
        let data = data.to_vec();
        self.collector.receive(1, wire::Reply::Piece { id, offset: 0, events, data });
    }

    fn decide(&mut self, failure: retry::Failure) -> retry::Action {
        self.retry.decide(failure, &self.collector, TIME_LEFT, &mut self.budget, NOW)
    }
}

fn refused(reason: wire::Refusal) -> retry::Failure {
    retry::Failure::Refused(reason)
}

#[test]
fn lost_not_repeated() {
    let mut fixture = Fixture::new(false);
    assert_eq!(fixture.decide(CONNECTION_LOST), retry::Action::Fail(wire::Ran::Unknown));
}

#[test]
fn refused_is_rerouted() {
    let mut fixture = Fixture::new(false);
    assert_eq!(fixture.decide(refused(wire::Refusal::Leaving)), retry::Action::Reroute);
    assert_eq!(fixture.decide(refused(wire::Refusal::Unreachable)), retry::Action::Reroute);
    assert_eq!(fixture.decide(refused(wire::Refusal::Full)), retry::Action::Requeue);
    assert_eq!(fixture.decide(retry::Failure::Unsent), retry::Action::Reroute);
    assert_eq!(fixture.retry.ran(), wire::Ran::No);
}

#[test]
fn ran_is_remembered() {
    let mut fixture = Fixture::new(true);
    fixture.decide(retry::Failure::ServerFailed(wire::Ran::Yes));
    let action = fixture.decide(refused(wire::Refusal::TooLate));
    assert_eq!(
        action,
        retry::Action::Fail(wire::Ran::Yes),
        "the request ran in an earlier attempt"
    );
}

#[test]
fn resumes_stream() {
    let mut fixture = Fixture::new(true);
    fixture.receive(2, b"data: a\n\ndata: b\n\n");
    let resume = wire::Resume { events: 2, bytes: 18 };
    assert_eq!(fixture.decide(CONNECTION_LOST), retry::Action::Resume(resume));
}

#[test]
fn restarts_plain_body() {
    let mut fixture = Fixture::new(true);
    fixture.receive(0, b"half a body");
    assert_eq!(fixture.decide(CONNECTION_LOST), retry::Action::Restart);
}

#[test]
fn invalid_answer_fails() {
    let mut fixture = Fixture::new(true);
    let failure = retry::Failure::InvalidAnswer(collector::Problem::ChecksumMismatch);
    assert_eq!(fixture.decide(failure), retry::Action::Fail(wire::Ran::Yes));
}

#[test]
fn deadline_stops_retries() {
    let mut fixture = Fixture::new(true);
    let time_left = time::Duration::from_millis(1);
    let action = fixture.retry.decide(
        CONNECTION_LOST,
        &fixture.collector,
        time_left,
        &mut fixture.budget,
        NOW,
    );
    assert_eq!(action, retry::Action::Fail(wire::Ran::Unknown));
}

#[test]
fn attempts_are_bounded() {
    let mut fixture = Fixture::new(true);
    let actions = (0..20).map(|_| fixture.decide(refused(wire::Refusal::Unreachable)));
    assert_eq!(actions.filter(|action| *action == retry::Action::Reroute).count(), 7);
}

#[test]
fn full_costs_nothing() {
    let mut fixture = Fixture::new(true);
    for _ in 0..20 {
        assert_eq!(fixture.decide(refused(wire::Refusal::Full)), retry::Action::Requeue);
    }
    let action = fixture.decide(CONNECTION_LOST);
    assert_eq!(action, retry::Action::Reroute, "refusals by a full server used up the attempts");
}

// The caller has a part of the answer: refusals must not use up the attempts of the stream.
#[test]
fn started_stream_continues() {
    let mut fixture = Fixture::new(true);
    fixture.receive(2, b"data: a\n\ndata: b\n\n");
    let resume = retry::Action::Resume(wire::Resume { events: 2, bytes: 18 });
    assert_eq!(fixture.decide(CONNECTION_LOST), resume);
    for _ in 0..20 {
        assert_eq!(fixture.decide(refused(wire::Refusal::Leaving)), resume);
    }
}

#[test]
fn empty_budget_fails() {
    let mut fixture = Fixture::new(true);
    while fixture.budget.take_retry(NOW) {}
    assert_eq!(fixture.decide(CONNECTION_LOST), retry::Action::Fail(wire::Ran::Unknown));
    let mut fixture = Fixture::new(true);
    while fixture.budget.take_retry(NOW) {}
    let refused = refused(wire::Refusal::Leaving);
    assert_eq!(fixture.decide(refused), retry::Action::Reroute, "a refusal drew on the budget");
}

#[test]
fn progress_pays_retry() {
    let mut fixture = Fixture::new(true);
    while fixture.budget.take_retry(NOW) {}
    fixture.receive(2, b"data: a\n\ndata: b\n\n");
    let resume = retry::Action::Resume(wire::Resume { events: 2, bytes: 18 });
    assert_eq!(
        fixture.decide(CONNECTION_LOST),
        resume,
        "a retry after progress drew on the budget"
    );
    let stop = retry::Action::Fail(wire::Ran::Unknown);
    assert_eq!(fixture.decide(CONNECTION_LOST), stop, "a retry without progress was free");
}

#[test]
fn no_retry_storm() {
    let mut budget = budget::RetryBudget::new(NOW);
    let mut retries = 0;
    for ms in 0..1000 {
        let now = NOW + time::Duration::from_millis(ms);
        budget.record_first_attempt(now);
        while budget.take_retry(now) {
            retries += 1;
        }
    }
    assert!((100..=125).contains(&retries), "{retries} retries of 1000 requests that all fail");
}

fn candidates(servers: u32) -> candidates::CandidateSet {
    let mut candidates = candidates::CandidateSet::new(&"entry-1".into());
    (0..servers).for_each(|index| candidates.add(&server(index), &"z".into()));
    candidates
}

fn server(index: u32) -> name::Server {
    name::Server::new(format!("s{index}"))
}

fn eligible_count(candidates: &candidates::CandidateSet, now: time::Duration) -> usize {
    candidates.iter().filter(|candidate| candidate.is_eligible(now)).count()
}

#[test]
fn failing_server_ejected() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    (0..5).for_each(|_| failures.record_failure(&mut candidates, &server(3), NOW));
    assert!(!candidates.get(&server(3)).unwrap().is_eligible(NOW));
    assert_eq!(
        eligible_count(&candidates, NOW + time::Duration::from_secs(3)),
        12,
        "the ejection did not end"
    );
}

#[test]
fn success_clears_failures() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    for _ in 0..20 {
        failures.record_failure(&mut candidates, &server(3), NOW);
        failures.record_success(&server(3));
    }
    assert_eq!(eligible_count(&candidates, NOW), 12);
}

#[test]
fn ejects_one_of_two() {
    let (mut candidates, mut failures) = (candidates(2), eject::FailureTracker::new());
    for _ in 0..10 {
        (0..2).for_each(|index| failures.record_failure(&mut candidates, &server(index), NOW));
    }
    assert_eq!(eligible_count(&candidates, NOW), 1, "not exactly one of two servers was ejected");
}

// Many attempts break together when a server fails; they must count as one reason to eject it.
#[test]
fn burst_ejects_once() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    (0..50).for_each(|_| failures.record_failure(&mut candidates, &server(3), NOW));
    let later = NOW + time::Duration::from_secs(3);
    assert_eq!(eligible_count(&candidates, later), 12, "failures during an ejection extended it");
    failures.record_failure(&mut candidates, &server(3), later);
    assert_eq!(
        eligible_count(&candidates, later),
        11,
        "a failure after an ejection did not eject the server again"
    );
    let longer = later + time::Duration::from_secs(3);
    assert_eq!(eligible_count(&candidates, longer), 11, "the second ejection is not longer");
}

#[test]
fn ejections_are_limited() {
    let (mut candidates, mut failures) = (candidates(12), eject::FailureTracker::new());
    for _ in 0..10 {
        (0..12).for_each(|index| failures.record_failure(&mut candidates, &server(index), NOW));
    }
    assert_eq!(
        eligible_count(&candidates, NOW),
        8,
        "not exactly a third of the servers were ejected"
    );
}

/// Estimator of a service whose requests of 100 tokens take 2 s, and wait 0.5 s with 1000 tokens
/// queued ahead.
fn busy_estimator() -> estimate::Estimator {
    let mut estimator = estimate::Estimator::new();
    for _ in 0..200 {
        estimator.record_completion(100, time::Duration::from_secs(2));
        estimator.record_wait(1000, time::Duration::from_millis(500));
    }
    estimator
}

#[test]
fn no_samples_accepts() {
    let estimator = estimate::Estimator::new();
    assert_eq!(estimator.check_deadline(100, 1_000_000, time::Duration::from_millis(1)), Ok(()));
}

#[test]
fn early_refusal() {
    let estimator = busy_estimator();
    assert_eq!(estimator.check_deadline(100, 2000, TIME_LEFT), Ok(()));
    let late = estimator.check_deadline(100, 20_000, TIME_LEFT).unwrap_err();
    let drained_tokens = (late.retry_after.as_secs_f64() * 2000.0) as u64;
    let after = estimator.check_deadline(100, 20_000 - drained_tokens - 1, TIME_LEFT);
    assert_eq!(after, Ok(()), "the queue is too long after Retry-After");
    let sooner = estimator.check_deadline(100, 20_000 - drained_tokens / 2, TIME_LEFT);
    assert!(sooner.is_err(), "Retry-After is too long: {late:?}");
}

// An estimate from the completion rate would rise with every refusal and never recover.
#[test]
fn refusals_change_nothing() {
    let mut estimator = busy_estimator();
    assert!((0..200).all(|_| estimator.check_deadline(100, 1_000_000, TIME_LEFT).is_err()));
    assert_eq!(
        estimator.check_deadline(100, 1, TIME_LEFT),
        Ok(()),
        "refusals caused a further refusal"
    );
    (0..200).for_each(|_| estimator.record_wait(1000, time::Duration::from_millis(10)));
    assert_eq!(
        estimator.check_deadline(100, 20_000, TIME_LEFT),
        Ok(()),
        "shorter waits did not lower the estimate"
    );
}

#[test]
fn latest_start_bounded() {
    let seconds = time::Duration::from_secs;
    let latest = busy_estimator().latest_start(100, seconds(10), seconds(30));
    assert_eq!(
        latest,
        seconds(15),
        "the latest start is not a quarter of the time to the deadline after the arrival"
    );
    let latest = busy_estimator().latest_start(500, seconds(10), seconds(22));
    assert!(latest <= seconds(12), "too late for the service time: {latest:?}");
}

#[test]
fn short_deadline_refused() {
    assert!(busy_estimator().check_deadline(100, 0, time::Duration::from_secs(1)).is_err());
}
