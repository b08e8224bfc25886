//! How many requests a group runs, from its measured passes. No network; each test names its load.

use std::time::Duration;

use knapweedford::{
    balance::{
        GroupReports,
        capacity::{self, Basis, Demand, Limit, PassEstimate},
    },
    rank::pass_times::PassTimes,
    site::catalog::{Engine, ExpertShape, PassCost},
};

/// Requests that each rank runs in these tests, unless a test says otherwise.
const REQUESTS: f64 = 4.0;
/// Time between two statuses that the owner receives of any rank.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An engine whose passes take 23 ms without requests and, with an even load, 6.2 ms more for each.
fn engine() -> Engine {
    let cost = PassCost {
        steps_per_pass: 5.0,
        step_ms: 4.55,
        per_request_ms: 1.09,
        per_1k_tokens_ms: 0.022,
        prompt_tokens_per_ms: 61.4,
        expert_share: 0.85,
        mean_prompt_tokens: 868.0,
        mean_answer_tokens: 96.0,
    };
    let experts = ExpertShape {
        slots: 10,
        layer_sets: 8,
        experts_per_set: 252,
        experts_per_rank: 5,
        max_copies: 2,
        copy_time: Duration::from_millis(14),
        expert_share: 0.85,
    };
    Engine { slots: 10, cost: Some(cost), experts: Some(experts) }
}

fn demand() -> Demand {
    Demand { max_event_gap: Some(Duration::from_millis(150)), timeout: Duration::from_secs(8) }
}

fn configured() -> u32 {
    capacity::limit(&engine(), &demand(), None).requests
}

/// The owner's view of a group while it runs passes.
struct Group {
    times: PassTimes,
    now: Duration,
    /// Passes since the start, with the part of the pass under way.
    passes: f64,
}

impl Group {
    fn new() -> Self {
        Self { times: PassTimes::default(), now: Duration::ZERO, passes: 0.0 }
    }

    /// Runs passes of `pass_ms` for `time`; returns the limits that follow from each poll.
    fn run(&mut self, time: Duration, pass_ms: f64, slowness: f64, requests: f64) -> Vec<Limit> {
        let until = self.now + time;
        let mut limits = Vec::new();
        while self.now < until {
            self.now += POLL_INTERVAL;
            self.passes += POLL_INTERVAL.as_secs_f64() * 1000.0 / pass_ms;
            self.times.record(self.now, self.passes as u64, requests);
            let passes = self.estimate(slowness);
            limits.push(capacity::limit(&engine(), &demand(), passes.as_ref()));
        }
        limits
    }

    fn estimate(&self, slowness: f64) -> Option<PassEstimate> {
        let cost = engine().cost.expect("the engine has a cost");
        self.times.estimate(self.now, capacity::pass_duration(&cost, 0.0, 1.0), slowness)
    }
}

fn passes(fixed_ms: f64, per_request_ms: f64) -> PassEstimate {
    PassEstimate { fixed_ms, per_request_ms, requests: REQUESTS }
}

fn seconds(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// One engine of a group becomes three times slower: passes of 55 ms take 175 ms. Without the
/// measured limit as many requests are admitted as before, and all of them are late.
#[test]
fn longer_passes() {
    let mut group = Group::new();
    let before = group.run(seconds(2.0), 55.0, 1.0, REQUESTS);
    assert!(before.iter().all(|limit| limit.requests == configured()), "{before:?}");
    let after = group.run(seconds(0.5), 175.0, 3.0, REQUESTS);
    let limit = after.last().expect("the group was polled");
    assert!(limit.requests < configured(), "{limit:?} half a second later");
    assert_eq!(limit.basis, Basis::Measured);
    let estimate = group.estimate(3.0).expect("the group makes passes");
    assert!(estimate.pass_ms(f64::from(limit.requests)) <= 150.0, "{limit:?} are late");
}

/// Passes become short again: the limit rises to the configured one and stays there.
#[test]
fn no_swing() {
    let mut group = Group::new();
    group.run(seconds(2.0), 175.0, 3.0, REQUESTS);
    let after: Vec<u32> =
        group.run(seconds(3.0), 55.0, 1.0, REQUESTS).iter().map(|limit| limit.requests).collect();
    assert!(after.is_sorted(), "the limit fell while passes became shorter: {after:?}");
    assert_eq!(after.last(), Some(&configured()));
    // A rank under constant load near the limit: polls see one pass more or less.
    let steady = group.run(seconds(2.0), 140.0, 1.0, 6.0);
    let steady: Vec<u32> = steady.iter().skip(50).map(|limit| limit.requests).collect();
    let (min, max) = (steady.iter().min(), steady.iter().max());
    assert!(max.zip(min).is_some_and(|(max, min)| max - min <= 1), "{steady:?}");
}

/// Demand jumps while the group is on the map that it formed with, and copies experts: passes are as
/// long as the configured limit allows for, so that it stays, but for one request.
#[test]
fn jump_on_first_map() {
    let cost = engine().cost.expect("the engine has a cost");
    let mut group = Group::new();
    for requests in 1..=configured() {
        let pass = capacity::pass_duration(&cost, f64::from(requests), 3.3).mul_f64(1.15);
        let limits = group.run(seconds(0.4), pass.as_secs_f64() * 1000.0, 1.0, f64::from(requests));
        assert!(limits.iter().all(|limit| limit.requests + 1 >= configured()), "{limits:?}");
        assert_eq!(limits.last().map(|limit| limit.requests), Some(configured()));
    }
}

/// Prompts several times longer than usual make each request cost more: fewer are admitted.
#[test]
fn long_prompts() {
    let long = capacity::limit(&engine(), &demand(), Some(&passes(23.0, 45.0)));
    assert_eq!(long, Limit { requests: 2, basis: Basis::Measured });
}

/// Few requests of a starting group load its experts unevenly by chance. Their passes must not stop
/// the others.
#[test]
fn few_requests() {
    let few = PassEstimate { fixed_ms: 23.0, per_request_ms: 60.0, requests: 0.5 };
    let limit = capacity::limit(&engine(), &demand(), Some(&few));
    assert_eq!(limit.requests, configured());
}

/// One request in time for each rank, or three late ones that end within the timeout: callers get
/// more from the late answers. With room for three in time they get more from those.
#[test]
fn few_or_late() {
    let one_in_time = capacity::limit(&engine(), &demand(), Some(&passes(114.0, 27.0)));
    assert_eq!(one_in_time, Limit { requests: 3, basis: Basis::Late });
    let three_in_time = capacity::limit(&engine(), &demand(), Some(&passes(68.0, 22.0)));
    assert_eq!(three_in_time, Limit { requests: 3, basis: Basis::Measured });
}

/// Passes so long that answers of the usual length would not end within the route's timeout: late
/// answers are bounded, too, so that those that are admitted end.
#[test]
fn late_answers_end() {
    let limit = capacity::limit(&engine(), &demand(), Some(&passes(150.0, 25.0)));
    assert_eq!(limit, Limit { requests: 2, basis: Basis::Late });
    let hopeless = capacity::limit(&engine(), &demand(), Some(&passes(900.0, 30.0)));
    assert_eq!(hopeless.requests, 1);
}

/// Reports that make no sense, and the lack of one, change nothing.
#[test]
fn false_reports() {
    let parts = [(f64::NAN, 1.0), (-5.0, 1.0), (5.0, f64::INFINITY), (0.0, 0.0)];
    for (fixed_ms, per_request_ms) in parts {
        let passes = passes(fixed_ms, per_request_ms);
        let limit = capacity::limit(&engine(), &demand(), Some(&passes));
        assert_eq!(limit.basis, Basis::Configured, "{passes:?}");
    }
    let limit = capacity::limit(&engine(), &demand(), Some(&passes(1e12, 1e12)));
    assert_eq!(limit.requests, 1, "a group is never closed by a report");
}

/// A pace that is far too high does not make passes longer than they were measured.
#[test]
fn false_pace() {
    let mut group = Group::new();
    let limits = group.run(seconds(2.0), 55.0, 32.0, REQUESTS);
    assert!(limits.iter().all(|limit| limit.requests == configured()), "{limits:?}");
}

/// The owner freezes: its last report ends to count after a second.
#[test]
fn old_report() {
    let mut reports = GroupReports::default();
    let limit = |reports: &mut GroupReports, at: f64| {
        reports.limit("g", &engine(), &demand(), seconds(at)).requests
    };
    reports.record("g", Some(passes(68.0, 22.0)), seconds(10.0));
    assert_eq!(limit(&mut reports, 10.5), 3);
    assert_eq!(limit(&mut reports, 11.5), configured());
    assert_eq!(limit(&mut reports, 10.5), 3);
    // A report of an idle group is no news of its passes.
    reports.record("g", None, seconds(11.0));
    assert_eq!(limit(&mut reports, 11.5), configured());
}

/// Long passes explain silent streams, but not for as long as callers wait.
#[test]
fn silence_explained() {
    let mut reports = GroupReports::default();
    let base = Duration::from_millis(600);
    assert_eq!(reports.max_silence("g", base, seconds(1.0)), base);
    reports.record("g", Some(passes(400.0, 0.0)), seconds(1.0));
    assert_eq!(reports.max_silence("g", base, seconds(1.0)), seconds(1.0));
    reports.record("g", Some(passes(5_000.0, 0.0)), seconds(1.0));
    assert_eq!(reports.max_silence("g", base, seconds(1.0)), seconds(1.5));
}

/// An idle group makes no passes: the time between two requests is not taken for a long pass.
#[test]
fn idle_group() {
    let mut group = Group::new();
    group.run(seconds(1.0), 55.0, 1.0, REQUESTS);
    group.now += seconds(5.0);
    group.times.record(group.now, group.passes as u64, 0.0);
    assert_eq!(group.estimate(1.0), None);
    let limits = group.run(seconds(1.0), 55.0, 1.0, REQUESTS);
    assert!(limits.iter().all(|limit| limit.requests == configured()), "{limits:?}");
}

/// Streams move away from slow engines only if their requests cost the group much of each pass.
#[test]
fn slow_ranks_vacated() {
    let gap = demand().max_event_gap;
    let must_vacate =
        |fixed_ms: f64| capacity::must_vacate_slow_ranks(&engine(), gap, &passes(fixed_ms, 6.0));
    assert!(must_vacate(68.0), "three times slower");
    assert!(must_vacate(273.0), "twelve times slower");
    assert!(!must_vacate(30.0), "a third slower");
    assert!(!capacity::must_vacate_slow_ranks(&engine(), None, &passes(273.0, 6.0)));
}
