//! Selection of a backend server by its load and health, and the bounds on attempts and retries.

use std::{collections::BTreeMap, time::Duration};

use knapweedford::{
    balance::{
        self, Choice, GatewaySet, GroupProgress, GroupReports, RetryBudget, ServerSelector,
        SlidingWindow, capacity, selector,
    },
    name,
    settings::site::RetryLimits,
    site::{
        catalog::{Engine, ExpertShape, PassCost, Service},
        registry::{Registration, Registry},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Longest pause between two events of an answer that is still on time.
const MAX_EVENT_GAP: Duration = Duration::from_millis(120);

/// A model service with the cost and slots of the users' engines.
fn service() -> Service {
    let cost = PassCost {
        steps_per_pass: 6.0,
        step_ms: 4.84,
        per_request_ms: 0.362,
        per_1k_tokens_ms: 0.011,
        prompt_tokens_per_ms: 74.8,
        expert_share: 0.85,
        mean_prompt_tokens: 835.0,
        mean_answer_tokens: 159.0,
    };
    let copy_time = Duration::from_millis(98);
    let experts = ExpertShape {
        slots: 12,
        layer_sets: 4,
        experts_per_set: 72,
        experts_per_rank: 8,
        max_copies: 3,
        copy_time,
        expert_share: 0.85,
    };
    let engine = Engine { slots: 12, cost: Some(cost), experts: Some(experts) };
    Service { cold_requests_per_s: 36.0, engine: Some(engine) }
}

fn registry(servers: usize) -> Registry {
    let registrations = (0..servers).map(|n| Registration {
        server: name::Server::new(format!("i-{n}")),
        service: name::Service::new("llm"),
        address: format!("10.0.0.{n}:80").parse().expect("a valid address"),
        zone: name::Zone::new(if n % 2 == 0 { "here" } else { "there" }),
        leaving: false,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
        member: None,
    });
    let mut registry = Registry::default();
    registry.update(registrations.collect(), Duration::from_secs(1), 0);
    registry
}

/// One gateway's selector with the servers that it knows.
struct Fixture {
    registry: Registry,
    service: Service,
    selector: ServerSelector,
    rng: Pcg64,
    gateways: GatewaySet,
    reports: GroupReports,
}

/// Returns the set of `gateways` gateways as number `own` of them knows it.
fn gateway_set(own: usize, gateways: usize) -> GatewaySet {
    let host = |n: usize| name::Host::new(format!("front-{n}"));
    let mut set = GatewaySet::new(&host(own));
    set.update((0..gateways).map(|n| (host(n), 1)).collect(), Duration::ZERO);
    set
}

impl Fixture {
    fn new(servers: usize, gateways: usize) -> Self {
        Self::of_gateway(0, servers, gateways)
    }

    /// Returns what gateway number `own` knows.
    fn of_gateway(own: usize, servers: usize, gateways: usize) -> Self {
        let rng = Pcg64::seed_from_u64(7 + own as u64);
        let (registry, service) = (registry(servers), service());
        let gateways = gateway_set(own, gateways);
        let (selector, reports) = (ServerSelector::default(), GroupReports::default());
        Self { registry, service, selector, rng, gateways, reports }
    }

    fn select(&mut self, now: Duration, tried: &[name::Server]) -> Choice {
        self.select_for(now, tried, false)
    }

    fn select_for(&mut self, now: Duration, tried: &[name::Server], is_admitted: bool) -> Choice {
        let criteria = selector::Criteria {
            service: &self.service,
            zone: &name::Zone::new("here"),
            demand: capacity::Demand {
                max_event_gap: Some(MAX_EVENT_GAP),
                timeout: Duration::from_secs(8),
            },
            gateways: &self.gateways,
            is_admitted,
            tried,
            now,
        };
        let service_name = name::Service::new("llm");
        self.selector.select(
            self.registry.available_servers(&service_name),
            criteria,
            &mut self.reports,
            &mut self.rng,
        )
    }

    /// Selects until no server has a free slot; returns the number of requests by server.
    fn fill(&mut self, now: Duration) -> BTreeMap<String, u32> {
        let mut requests = BTreeMap::new();
        while let Choice::Server { server, .. } = self.select(now, &[]) {
            *requests.entry(server.to_string()).or_default() += 1;
        }
        requests
    }
}

#[test]
fn window_slides() {
    let mut window = SlidingWindow::new(Duration::from_secs(10));
    for second in 0..20 {
        window.add(Duration::from_secs(second));
    }
    let count = window.count(Duration::from_secs(20));
    assert!((10..=11).contains(&count), "{count} events in the window");
    assert_eq!(window.count(Duration::from_secs(60)), 0);
}

/// Guards against retries above the common bound when clients retry at once at all gateways in
/// the same window.
#[test]
fn budget_shared() {
    let window = Duration::from_secs(10);
    let bounds = RetryLimits { retries_per_first_attempt: 0.2, window, free_retries: 90.0 };
    for gateways in [1, 4, 15] {
        let mut total = 0;
        for _ in 0..gateways {
            let mut budget = RetryBudget::new(bounds);
            let mut granted = 0;
            for n in 0..100 {
                let now = Duration::from_secs(20) + Duration::from_millis(n * 90);
                budget.record_first_attempt(now);
                granted += (0..5).filter(|_| budget.take_retry(now, gateways)).count();
            }
            total += granted;
        }
        let allowed = 0.2 * 100.0 * gateways as f64 + 90.0;
        assert!(total as f64 <= allowed, "{gateways} gateways: {total} retries, {allowed} allowed");
        assert!(total > 10, "{gateways} gateways: only {total} retries");
    }
}

/// Guards against retries above the bound when all gateways are killed within a window, after they
/// spent their shares, and start again with new budgets.
#[test]
fn budget_after_restart() {
    let window = Duration::from_secs(10);
    let bounds = RetryLimits { retries_per_first_attempt: 0.2, window, free_retries: 90.0 };
    let (mut before, mut after) = (RetryBudget::new(bounds), RetryBudget::new(bounds));
    let uptime = Duration::from_secs(30);
    let before = (0..500).filter(|_| before.take_retry(uptime, 1)).count();
    let after = (0..500).filter(|_| after.take_retry(Duration::from_secs(1), 1)).count();
    assert!(before + after <= 90, "{before} retries before and {after} after the restart");
}

#[test]
fn gateways_counted() {
    let heartbeats = |pairs: &[(&str, u64)]| -> BTreeMap<name::Host, u64> {
        pairs.iter().map(|(host, version)| (name::Host::new(*host), *version)).collect()
    };
    let mut gateways = GatewaySet::new(&name::Host::new("b"));
    assert!(gateways.count() >= 15, "many gateways are assumed at first");
    gateways.update(heartbeats(&[("a", 1), ("b", 2)]), Duration::from_secs(1));
    assert_eq!(gateways.count(), 2);
    gateways.update(heartbeats(&[("a", 1), ("b", 9)]), Duration::from_secs(25));
    gateways.update(heartbeats(&[("a", 1), ("b", 10)]), Duration::from_secs(35));
    assert_eq!(gateways.count(), 1, "gateway a sent no new heartbeat");
    gateways.update(heartbeats(&[("a", 2), ("b", 11)]), Duration::from_secs(36));
    gateways.update(heartbeats(&[]), Duration::from_secs(37));
    assert_eq!(gateways.count(), 2, "a restored store lacks the rows");
}

/// The gateways agree on the order in which they share a limit, so that their parts add up to it,
/// also where there are more gateways than the limit has units.
#[test]
fn limits_divided() {
    for (gateways, limit) in [(4, 28), (53, 11), (53, 9), (12, 12)] {
        for server in 0..40 {
            let server = name::Server::new(format!("i-{server}"));
            let part = |own| {
                let position = gateway_set(own, gateways).position(&server);
                balance::gateways::part_of(limit, gateways, position)
            };
            assert_eq!((0..gateways).map(part).sum::<u32>(), limit, "{gateways} gateways");
        }
    }
}

/// A zone of cold servers returns to a site with more gateways than a cold server takes requests a
/// second, and all gateways send as much as they may: no server gets more than its bound in any
/// second, and every gateway can use some servers.
#[test]
fn zone_returns_cold() {
    let (gateways, servers) = (53, 26);
    let mut arrivals: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for own in 0..gateways {
        let mut fixture = Fixture::of_gateway(own, servers, gateways);
        fixture.service.cold_requests_per_s = 14.0;
        let mut used = 0;
        for at_ms in (0..3_000).step_by(5) {
            let now = Duration::from_secs(5) + Duration::from_millis(at_ms);
            if let Choice::Server { server, .. } = fixture.select(now, &[]) {
                fixture.selector.release(&server, selector::Outcome::Success, now);
                arrivals.entry(server.to_string()).or_default().push(at_ms);
                used += 1;
            }
        }
        assert!(used >= 3, "gateway {own} sent {used} requests in three seconds");
    }
    for (server, mut at) in arrivals {
        at.sort_unstable();
        let most =
            at.iter().map(|from| at.iter().filter(move |ms| (*from..from + 1_000).contains(*ms)));
        let most = most.map(Iterator::count).max().unwrap_or_default();
        assert!(most <= 26, "{server} got {most} requests in a second");
    }
}

/// Each gateway of a large site sends most of its requests to few servers, whose connections it
/// then reuses, while all servers are free.
#[test]
fn connections_reused() {
    let (gateways, servers) = (53, 129);
    let mut fixture = Fixture::new(servers, gateways);
    let mut used: BTreeMap<String, usize> = BTreeMap::new();
    for at_ms in (0..30_000).step_by(150) {
        let now = Duration::from_millis(5_000 + at_ms);
        if let Choice::Server { server, .. } = fixture.select(now, &[]) {
            fixture.selector.release(&server, selector::Outcome::Success, now);
            *used.entry(server.to_string()).or_default() += 1;
        }
    }
    assert!(used.values().sum::<usize>() >= 190, "{used:?}");
    assert!(used.len() <= 30, "{} servers were used", used.len());
}

/// Guards against pauses above the bound at peak load, when a group gets more requests than it can
/// run on time.
#[test]
fn pauses_bounded() {
    let service = service();
    let engine = service.engine.as_ref().expect("the service has an engine");
    let max_requests = capacity::max_requests(engine, Some(MAX_EVENT_GAP));
    let cost = engine.cost.as_ref().expect("the engine has a cost");
    assert!((6..12).contains(&max_requests), "{max_requests} requests");
    // Right after a jump of popularity, while experts are copied.
    assert!(
        capacity::pass_duration(cost, f64::from(max_requests), 3.3).mul_f64(1.15) < MAX_EVENT_GAP
    );
    assert_eq!(capacity::max_requests(engine, None), 12, "without a bound all slots are used");
}

#[test]
fn reported_load() {
    let mut fixture = Fixture::new(3, 4);
    let now = Duration::from_secs(5);
    let max_requests = capacity::max_requests(
        fixture.service.engine.as_ref().expect("the service has an engine"),
        Some(MAX_EVENT_GAP),
    );
    for n in 0..3 {
        let requests = if n == 1 { max_requests } else { max_requests - 2 };
        fixture.selector.record_load(&name::Server::new(format!("i-{n}")), requests, false, now);
    }
    // The other three gateways see the same two free slots, so they are not all used at once; what
    // the others have not used by the time that a report would show it is free.
    let one_each = BTreeMap::from([("i-0".into(), 1), ("i-2".into(), 1)]);
    assert_eq!(fixture.fill(now), one_each);
    assert_eq!(fixture.fill(now + Duration::from_millis(150)), one_each);
    assert!(fixture.fill(now + Duration::from_millis(300)).is_empty());
}

/// Guards against one gateway filling the servers alone while no loads are reported, as after the
/// group's owner was killed.
#[test]
fn unreported_load() {
    let mut fixture = Fixture::new(12, 4);
    let requests: u32 = fixture.fill(Duration::from_secs(5)).values().sum();
    assert!((24..=72).contains(&requests), "one gateway of four sent {requests} requests");
}

/// Guards against overload of a cold server when a zone returns and all gateways send to it at the
/// same moment.
#[test]
fn cold_server_bounded() {
    let mut total = 0;
    for gateway in 0..4 {
        let mut fixture = Fixture::of_gateway(gateway, 1, 4);
        for n in 0..1000 {
            let now = Duration::from_secs(5) + Duration::from_millis(n);
            if let Choice::Server { server, .. } = fixture.select(now, &[]) {
                fixture.selector.release(&server, selector::Outcome::Success, now);
                total += 1;
            }
        }
    }
    // The upper bound is 36 requests a second, times 1.5, plus 5.
    assert!((20..=59).contains(&total), "{total} requests in a second");
}

/// Guards against further requests to a server that fails its requests while it reports itself
/// healthy.
#[test]
fn failing_server_ejected() {
    let mut fixture = Fixture::new(6, 4);
    let now = Duration::from_secs(5);
    let failing = name::Server::new("i-0");
    for _ in 0..3 {
        fixture.selector.release(&failing, selector::Outcome::Failure, now);
        fixture.selector.record_load(&failing, 0, false, now);
        fixture.selector.release(&failing, selector::Outcome::Failure, now);
    }
    let soon = now + Duration::from_millis(10);
    let requests = fixture.fill(soon);
    assert!(!requests.contains_key("i-0"), "an ejected server got requests: {requests:?}");
    let later = now + Duration::from_secs(9);
    assert!(fixture.fill(later).contains_key("i-0"), "the ejection did not end");
}

#[test]
fn never_all_ejected() {
    let mut fixture = Fixture::new(3, 1);
    let now = Duration::from_secs(5);
    for n in 0..3 {
        let server = name::Server::new(format!("i-{n}"));
        fixture.selector.record_load(&server, 0, false, now);
        fixture.selector.release(&server, selector::Outcome::Replaced, now);
    }
    assert!(matches!(fixture.select(now, &[]), Choice::Server { .. }));
}

/// A server that asks for a pause gets nothing until it ends; when all do, callers learn when the
/// first of them accepts requests again.
#[test]
fn pause_honored() {
    let mut fixture = Fixture::new(2, 1);
    let now = Duration::from_secs(5);
    fixture.selector.pause(&name::Server::new("i-0"), Duration::from_secs(3), now);
    let requests = fixture.fill(now + Duration::from_millis(2_900));
    assert!(!requests.contains_key("i-0") && requests.contains_key("i-1"), "{requests:?}");
    let later = now + Duration::from_millis(3_100);
    assert!(fixture.fill(later).contains_key("i-0"), "the pause did not end");
    for (server, pause_s) in [("i-0", 4), ("i-1", 2)] {
        fixture.selector.pause(&name::Server::new(server), Duration::from_secs(pause_s), later);
    }
    assert_eq!(
        fixture.select(later, &[]),
        Choice::Paused { until: later + Duration::from_secs(2) }
    );
    fixture.selector.clear_notices(&name::Server::new("i-1"));
    assert!(!matches!(fixture.select(later, &[]), Choice::Paused { .. }));
}

/// One engine of a group is slow: no gateway sends it requests, also when the others are full, until
/// the report is too old.
#[test]
fn slow_engine_avoided() {
    let now = Duration::from_secs(5);
    let slow = name::Server::new("i-1");
    let mut fixture = Fixture::new(12, 4);
    for n in 0..12 {
        let server = name::Server::new(format!("i-{n}"));
        fixture.selector.record_load(&server, 0, server == slow, now);
    }
    let requests = fixture.fill(now);
    assert!(requests.len() > 8, "{requests:?}");
    assert!(!requests.contains_key("i-1"), "the slow engine got requests: {requests:?}");
    let later = fixture.fill(now + Duration::from_secs(2));
    assert!(later.contains_key("i-1"), "an old report still counts: {later:?}");
}

/// A false report says that all engines are slow: they are used as if none was.
#[test]
fn all_engines_slow() {
    let now = Duration::from_secs(5);
    let mut fixture = Fixture::new(12, 4);
    for n in 0..12 {
        fixture.selector.record_load(&name::Server::new(format!("i-{n}")), 0, true, now);
    }
    assert!(!fixture.fill(now).is_empty());
}

/// A burst reaches a group of slow passes, which gets fewer requests than configured; the refusals name
/// that reason. Streams that move within it may still use all slots.
#[test]
fn slow_group_limited() {
    let now = Duration::from_secs(5);
    let limited = |passes: Option<capacity::PassEstimate>| {
        let mut fixture = Fixture::new(12, 1);
        fixture.reports.record("", passes, now);
        let requests: u32 = fixture.fill(now).values().sum();
        let refused = fixture.select(now, &[]);
        (requests, refused, matches!(fixture.select_for(now, &[], true), Choice::Server { .. }))
    };
    let slow = capacity::PassEstimate { fixed_ms: 60.0, per_request_ms: 20.0, requests: 4.0 };
    let (requests, refused, may_move) = limited(Some(slow));
    assert_eq!((refused, may_move), (Choice::Slow, true));
    let (configured, refused, _) = limited(None);
    assert_eq!(refused, Choice::Full);
    assert!(requests < configured / 2, "{requests} requests instead of {configured}");
}

/// At full load, many gateways wait for the same few slots and know of them from the same reports,
/// which are some hundred milliseconds old. They must not all send there at once.
#[test]
fn full_group_not_rushed() {
    let (gateways, servers) = (53, 129);
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    for own in 0..gateways {
        let mut fixture = Fixture::of_gateway(own, servers, gateways);
        let now = Duration::from_secs(5);
        let max_requests = capacity::max_requests(
            fixture.service.engine.as_ref().expect("the service has an engine"),
            Some(MAX_EVENT_GAP),
        );
        for n in 0..servers {
            let server = name::Server::new(format!("i-{n}"));
            let requests = max_requests - u32::from(n % 10 == 0);
            fixture.selector.record_load(&server, requests, false, now);
        }
        for (server, requests) in fixture.fill(now) {
            *sent.entry(server).or_default() += requests;
        }
    }
    assert_eq!(sent.len(), servers.div_ceil(10), "a free slot is used by nobody");
    assert!(sent.values().all(|requests| *requests <= 6), "{sent:?}");
}

/// The host of a group's owner is frozen while it holds a pass: no stream of the group gets an event.
/// New requests are refused within half a second, but for a probe now and then, until the group goes
/// on, also after the callers of the silent streams have left.
#[test]
fn stalled_group_refused() {
    let (ms, silence) = (Duration::from_millis, Duration::from_millis(500));
    let mut progress = GroupProgress::default();
    assert!(!progress.is_stalled("g", ms(0), silence), "an unknown group is tried");
    for at_ms in (0..1_000).step_by(100) {
        match at_ms < 300 {
            true => progress.begin_stream("g", ms(at_ms)),
            false => progress.record_event("g", ms(at_ms)),
        }
        assert!(!progress.is_stalled("g", ms(at_ms + 90), silence));
    }
    assert!(progress.is_stalled("g", ms(1_450), silence));
    (0..3).for_each(|_| progress.end_stream("g"));
    let mut probes = 0;
    for at_ms in (1_450..5_450).step_by(10) {
        if !progress.is_stalled("g", ms(at_ms), silence) {
            progress.record_attempt("g", ms(at_ms));
            probes += 1;
        }
    }
    assert!((6..=8).contains(&probes), "{probes} probes in four seconds");
    progress.begin_stream("g", ms(5_500));
    assert!(!progress.is_stalled("g", ms(5_510), silence), "an event does not end the refusals");
}

/// One silent stream may have been preempted by its engine; that says nothing about the group.
#[test]
fn preempted_stream() {
    let mut progress = GroupProgress::default();
    progress.begin_stream("g", Duration::ZERO);
    assert!(!progress.is_stalled("g", Duration::from_secs(5), Duration::from_millis(500)));
}

#[test]
fn tried_servers_skipped() {
    let mut fixture = Fixture::new(2, 1);
    let now = Duration::from_secs(5);
    let tried = [name::Server::new("i-0")];
    for _ in 0..5 {
        let choice = fixture.select(now, &tried);
        assert!(matches!(choice, Choice::Server { server, .. } if server.as_str() == "i-1"));
    }
    assert_eq!(fixture.select(now, &[tried[0].clone(), name::Server::new("i-1")]), Choice::Full);
    fixture.registry.update(Vec::new(), Duration::from_millis(1_700), 0);
    assert_eq!(fixture.select(now, &[]), Choice::NoServer);
}

/// Guards against limits of servers that the gateways keep only each for itself: with a steady load
/// and with a burst after idle time, all gateways together stay within what the platform allows, and
/// use most of a limit that their share of the load suffices for.
#[test]
fn named_limits() {
    let (step, window) = (Duration::from_millis(25), Duration::from_secs(4));
    let server = name::Server::new("i-0");
    for (gateways, per_s) in
        [(1, 3.0), (4, 0.1), (4, 0.5), (4, 2.3), (6, 40.0), (53, 1.0), (53, 9.5)]
    {
        let mut fixtures: Vec<Fixture> =
            (0..gateways).map(|own| Fixture::of_gateway(own, 1, gateways)).collect();
        for fixture in &mut fixtures {
            fixture.service = Service { cold_requests_per_s: 0.0, engine: None };
            fixture.selector.set_limit(&server, Some(per_s), Duration::ZERO, step);
        }
        let mut sent = Vec::new();
        let mut now = step;
        while now < Duration::from_secs(400) {
            now += step;
            // No requests come in the second quarter, and many at once after it.
            if (100..200).contains(&now.as_secs()) {
                continue;
            }
            for fixture in &mut fixtures {
                if matches!(fixture.select(now, &[]), Choice::Server { .. }) {
                    fixture.selector.release(&server, selector::Outcome::Success, now);
                    sent.push(now);
                }
            }
        }
        let case = format!("{gateways} gateways, limit {per_s}");
        let busiest = sent
            .iter()
            .map(|from| sent.iter().filter(|at| (*from..*from + window).contains(at)).count())
            .max()
            .unwrap_or_default();
        let allowed = 1.5 * per_s * window.as_secs_f64() + 5.0;
        assert!(busiest as f64 <= allowed, "{case}: {busiest} requests in 4 s, {allowed} allowed");
        let used = sent.len() as f64 / (300.0 * per_s);
        assert!(used > 0.7, "{case}: only {used:.2} of the limit used");
    }
}

/// A limit ends with the answer of a request that was sent after the limit was known, and with the
/// incarnation that named it.
#[test]
fn limit_forgotten() {
    let server = name::Server::new("i-0");
    let (early, named, late) =
        (Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(3));
    let mut fixture = Fixture::new(1, 1);
    assert!(fixture.selector.set_limit(&server, Some(1.0), early, named));
    assert!(!fixture.selector.set_limit(&server, None, early, named), "from before the limit");
    assert_eq!(fixture.select(named, &[]), Choice::Limited { until: late });
    assert!(fixture.selector.set_limit(&server, None, late, late));
    assert!(matches!(fixture.select(late, &[]), Choice::Server { .. }));
    fixture.selector.set_limit(&server, Some(0.0), late, late);
    assert!(matches!(fixture.select(late, &[]), Choice::Limited { .. }));
    fixture.selector.clear_notices(&server);
    assert!(matches!(fixture.select(late, &[]), Choice::Server { .. }));
}
