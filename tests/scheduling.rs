//! The scheduler of an entry as a whole, and routing and retries between real processes.
//!
//! Guards against failures of queue, estimates, routing and ejection in combination:
//! one workspace starving another, a server excluded forever by an outdated
//! measurement, requests kept for callers that have disconnected, and retry storms.

use std::time::{self, Duration};

use knapweedford::{
    config, name,
    policy::{prefix, scheduler},
    wire,
};

use crate::{
    load,
    processes::{self, Site, SiteOptions},
};

type Dispatch = scheduler::Dispatch<u32>;

/// Scheduler with servers `s0`, `s1`, ... that each have a limit of [`SERVER_LIMIT`] requests.
struct Fixture {
    scheduler: scheduler::Scheduler<u32>,
    now: Duration,
}

const SERVER_LIMIT: u32 = 4;
const REQUEST_COST: u64 = 100;
/// Time from the arrival of a request to its deadline.
const TIME_LEFT: Duration = Duration::from_secs(10);

impl Fixture {
    fn new(servers: u32) -> Self {
        let (host, zone) = ("entry-1".into(), "z".into());
        let limits = config::Limits { queue_per_entry: 1000, ..Default::default() };
        let mut scheduler = scheduler::Scheduler::new(&host, &zone, &limits, 5);
        let now = Duration::from_secs(100);
        for index in 0..servers {
            scheduler.candidates_mut().add(&server(index), &zone);
            scheduler.candidates_mut().record_load(&server(index), &load(0), now);
        }
        Self { scheduler, now }
    }

    fn job(&self, workspace: &str, value: u32) -> scheduler::Job<u32> {
        scheduler::Job {
            id: wire::RequestId(value.into()),
            workspace: workspace.into(),
            weight: 1,
            priority: config::Priority::Interactive,
            cost: REQUEST_COST,
            arrived_at: self.now,
            deadline: self.now + TIME_LEFT,
            prefix: prefix::PrefixKeys::default(),
            tried: Vec::new(),
            submission: scheduler::Submission::New,
            request: value,
        }
    }

    fn push(&mut self, workspace: &str, value: u32) -> Option<scheduler::Cause> {
        let job = self.job(workspace, value);
        self.scheduler.push(job, self.now).map(|refused| refused.cause)
    }

    fn dispatch(&mut self) -> Option<(u32, scheduler::Ticket)> {
        match self.scheduler.dispatch_next(self.now)? {
            Dispatch::Send(value, ticket, _) => Some((value, ticket)),
            Dispatch::Refuse(refused) => panic!("{refused:?}"),
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.now += duration;
    }

    /// Sends one request, which fails at its server; returns the server.
    fn fail_one(&mut self) -> name::Server {
        assert_eq!(self.push("w", 1), None);
        let (_, ticket) = self.dispatch().unwrap();
        self.scheduler.record_failure(&ticket, self.now);
        ticket.server
    }
}

fn server(index: u32) -> name::Server {
    name::Server::new(format!("s{index}"))
}

fn load(requests: u32) -> wire::Load {
    wire::Load {
        incarnation: 1,
        in_flight: requests,
        limit: SERVER_LIMIT,
        warm: true,
        ..wire::Load::default()
    }
}

// A large workspace sends far more than the servers can carry; no request of a small one may be
// refused.
#[test]
fn small_workspace_served() {
    let mut fixture = Fixture::new(2);
    let mut in_flight = Vec::new();
    let (mut sent_large, mut sent_small, mut refused) = (0, 0, 0);
    for step in 0..200 {
        for value in 0..4 {
            refused += u32::from(fixture.push("large", value).is_some());
        }
        if step % 10 == 0 {
            assert_eq!(
                fixture.push("small", 100 + step),
                None,
                "a request of the small workspace was refused"
            );
        }
        refused += fixture.scheduler.expire(fixture.now).len() as u32;
        while let Some((value, ticket)) = fixture.dispatch() {
            match value {
                100.. => sent_small += 1,
                _ => sent_large += 1,
            }
            in_flight.push(ticket);
        }
        fixture.advance(Duration::from_millis(100));
        for ticket in
            in_flight.extract_if(.., |ticket| fixture.now >= ticket.dispatched_at + TIME_LEFT / 20)
        {
            fixture.scheduler.record_completion(&ticket, &load(0), fixture.now);
        }
    }
    assert_eq!(sent_small, 20, "requests of the small workspace were not sent");
    assert!(sent_large > 200 && refused > 200, "{sent_large} sent, {refused} refused");
}

#[test]
fn ejected_server_returns() {
    let mut fixture = Fixture::new(3);
    let failing = fixture.fail_one();
    for _ in 0..4 {
        let ticket = scheduler::Ticket {
            server: failing.clone(),
            cost: REQUEST_COST,
            cost_ahead: 0,
            arrived_at: fixture.now,
            dispatched_at: fixture.now,
        };
        fixture.scheduler.record_failure(&ticket, fixture.now);
    }
    let gets_request = |fixture: &mut Fixture| {
        (0..2 * SERVER_LIMIT).any(|_| {
            fixture.push("w", 1);
            fixture.dispatch().is_some_and(|(_, ticket)| ticket.server == failing)
        })
    };
    assert!(!gets_request(&mut fixture), "an ejected server got a request");
    fixture.advance(Duration::from_secs(3));
    assert!(gets_request(&mut fixture), "a server gets no requests after its ejection");
}

// After a stall the estimated service time exceeds every deadline. If all requests were refused
// because of it, no new measurement would ever correct it.
#[test]
fn outdated_estimate_ignored() {
    let mut fixture = Fixture::new(1);
    for _ in 0..5 {
        fixture.push("w", 1);
        let (_, ticket) = fixture.dispatch().unwrap();
        fixture.scheduler.record_admission(&ticket, &load(1), fixture.now);
        fixture.advance(TIME_LEFT * 3);
        fixture.scheduler.record_completion(&ticket, &load(0), fixture.now);
    }
    assert_eq!(fixture.push("w", 1), None, "a new request was refused although none is in flight");
    let (_, ticket) = fixture.dispatch().expect("no request was sent to measure the service time");
    assert_eq!(fixture.push("w", 2), Some(scheduler::Cause::Late));
    fixture.scheduler.record_cancellation(&ticket, fixture.now);
    assert_eq!(fixture.push("w", 3), None);
    assert!(fixture.dispatch().is_some());
}

// A server that is too slow for the deadline gets no requests, hence no new measurement.
#[test]
fn slow_server_retried() {
    let mut fixture = Fixture::new(2);
    fixture.push("w", 1);
    let (_, slow) = fixture.dispatch().unwrap();
    fixture.advance(TIME_LEFT * 2);
    fixture.scheduler.record_cancellation(&slow, fixture.now);
    let mut tickets = Vec::new();
    let mut gets_request = |fixture: &mut Fixture| {
        (0..2 * SERVER_LIMIT).any(|_| {
            fixture.push("w", 1);
            let Some((_, ticket)) = fixture.dispatch() else { return false };
            tickets.push(ticket.clone());
            ticket.server == slow.server
        })
    };
    let fast = if slow.server == server(0) { server(1) } else { server(0) };
    fixture.scheduler.candidates_mut().record_load(&slow.server, &load(0), fixture.now);
    fixture.scheduler.candidates_mut().record_completion(
        &fast,
        REQUEST_COST,
        Duration::from_millis(100),
    );
    fixture.push("w", 1);
    let _ = fixture.dispatch();
    assert!(!gets_request(&mut fixture), "a server that is too slow got a request");
    fixture.advance(Duration::from_secs(11));
    assert!(
        gets_request(&mut fixture),
        "a slow server gets no requests after its measurement expired"
    );
}

#[test]
fn no_server_refuses() {
    let mut fixture = Fixture::new(2);
    (0..2).for_each(|index| fixture.scheduler.candidates_mut().set_allowed(&server(index), false));
    fixture.push("w", 1);
    let step = fixture.scheduler.dispatch_next(fixture.now);
    assert!(matches!(step, Some(Dispatch::Refuse(refused)) if !refused.retry_after.is_zero()));
}

// The only server has failed a started request: the request must wait for a retry there rather
// than be refused, since its caller may have a part of the answer.
#[test]
fn started_request_waits() {
    let mut fixture = Fixture::new(1);
    let job = fixture.job("w", 7);
    let started = scheduler::Job {
        submission: scheduler::Submission::Started,
        tried: vec![server(0)],
        ..job
    };
    fixture.scheduler.push(started, fixture.now);
    assert!(
        fixture.scheduler.dispatch_next(fixture.now).is_none(),
        "the request returned to the failed server immediately"
    );
    fixture.advance(Duration::from_secs(6));
    assert!(fixture.scheduler.expire(fixture.now).is_empty(), "a started request was refused");
    assert_eq!(fixture.dispatch().map(|(value, _)| value), Some(7));
}

#[test]
fn disconnected_caller_removed() {
    let mut fixture = Fixture::new(1);
    (0..SERVER_LIMIT + 2).for_each(|value| assert_eq!(fixture.push("w", value), None));
    while fixture.dispatch().is_some() {}
    assert_eq!(fixture.scheduler.queue_len(), 2);
    fixture.scheduler.remove_matching(|value| *value == SERVER_LIMIT);
    assert_eq!(fixture.scheduler.queue_len(), 1);
}

const SITE_OPTIONS: SiteOptions = SiteOptions {
    entries: 1,
    engines: 4,
    engine_args: &[],
    plain_servers: 0,
    plain_server_args: &[],
    balancer_lag_ms: 200,
};

fn request_counts(site: &Site) -> Vec<u64> {
    (0..site.engines.len()).map(|at| site.engine_runs(at)).collect()
}

/// Loads the site until every server has reported a limit of at least 4 to the entry.
fn warm_up(site: &Site) {
    let load = load::Load::start_streams(32, &[site.entries[0].process.address], 4);
    processes::wait_until("every server has a limit of at least 4", || {
        let dump = site.entries[0].dump()?;
        let servers = dump["services"]["writer"]["servers"].as_object()?.clone();
        servers.values().all(|server| server["limit"].as_u64() >= Some(4)).then_some(())
    });
    load.stop();
}

#[test]
fn prefix_keeps_server() {
    let site = Site::start(&SITE_OPTIONS);
    warm_up(&site);
    let mut used = std::collections::BTreeSet::new();
    for prompt_number in 0..6 {
        let prompt = format!("story {prompt_number} ").repeat(200);
        let before = request_counts(&site);
        for turn in 0..8 {
            assert!(site.stream_completion(0, &format!("{prompt} turn {turn}"), 2).is_complete());
        }
        let new_requests: Vec<_> =
            request_counts(&site).iter().zip(&before).map(|(now, before)| now - before).collect();
        assert_eq!(
            new_requests.iter().filter(|new_requests| **new_requests > 0).count(),
            1,
            "{new_requests:?}"
        );
        used.insert(new_requests);
    }
    assert!(used.len() > 1, "all prefixes went to one engine: {used:?}");
    let dump = site.entries[0].dump().unwrap();
    let recent = dump["services"]["writer"]["recent"].as_array().unwrap();
    let by_prefix =
        |routed: &&serde_json::Value| routed["decision"]["outcome"]["send"]["why"] == "prefix";
    assert!(
        recent.iter().filter(by_prefix).count() >= 42,
        "the dump lacks the reason prefix: {recent:?}"
    );
}

// All requests fail; the retry budget must bound the additional attempts.
#[test]
fn no_retry_storm() {
    let site = Site::start(&SITE_OPTIONS);
    site.engines.iter().for_each(|engine| engine.set_faults(r#"{"cut":0}"#));
    let start = time::Instant::now();
    const REQUESTS: u64 = 100;
    for number in 0..REQUESTS {
        assert!(!site.stream_completion(0, &format!("call {number}"), 10).is_complete());
    }
    let runs: u64 = request_counts(&site).iter().sum();
    let budget = 20 + REQUESTS / 10 + start.elapsed().as_secs() + 1;
    assert!(runs >= REQUESTS / 2, "only {runs} attempts reached an engine");
    assert!(runs <= REQUESTS + budget, "{runs} attempts of {REQUESTS} requests that all fail");
}
