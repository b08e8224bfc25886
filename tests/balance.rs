//! Choice of a backend server, and the bounds on sends, by the loads that each answers.

use std::{collections::BTreeMap, time::Duration};

use knapweedford::{
    balance::{Budget, Choice, Fleet, Presence, Window, capacity, fleet},
    name,
    settings::site::Retries,
    site::{
        catalog::{Engine, ExpertShape, PassCost, Service},
        registry::{Registration, Registry},
    },
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const PAUSE: Duration = Duration::from_millis(120);

/// The users' model service.
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
    let copy = Duration::from_millis(98);
    let experts = ExpertShape {
        slots: 12,
        layer_sets: 4,
        experts_per_set: 72,
        experts_per_rank: 8,
        max_copies: 3,
        copy_time: copy,
        expert_share: 0.85,
    };
    let engine = Engine { slots: 12, cost: Some(cost), experts: Some(experts) };
    Service { cold_requests_per_s: 36.0, engine: Some(engine) }
}

fn register(servers: usize) -> Registry {
    let entries = (0..servers).map(|n| Registration {
        server: name::Server::new(format!("i-{n}")),
        service: name::Service::new("llm"),
        address: format!("10.0.0.{n}:80").parse().expect("an address"),
        zone: name::Zone::new(if n % 2 == 0 { "here" } else { "there" }),
        leaving: false,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
        member: None,
    });
    let mut register = Registry::default();
    register.update(entries.collect(), Duration::from_secs(1));
    register
}

struct Site {
    register: Registry,
    service: Service,
    fleet: Fleet,
    rng: Pcg64,
    gateways: usize,
}

impl Site {
    fn new(servers: usize, gateways: usize) -> Self {
        let rng = Pcg64::seed_from_u64(7);
        let (register, service) = (register(servers), service());
        Self { register, service, fleet: Fleet::default(), rng, gateways }
    }

    fn choose(&mut self, now: Duration, tried: &[name::Server]) -> Choice {
        let ask = fleet::Ask {
            service: &self.service,
            zone: &name::Zone::new("here"),
            pause: Some(PAUSE),
            gateways: self.gateways,
            tried,
            now,
        };
        let llm = name::Service::new("llm");
        self.fleet.choose(self.register.available_servers(&llm), ask, &mut self.rng)
    }

    /// Sends until nothing more is taken; gives the sends by server.
    fn fill(&mut self, now: Duration) -> BTreeMap<String, u32> {
        let mut sent = BTreeMap::new();
        while let Choice::Server { server, .. } = self.choose(now, &[]) {
            *sent.entry(server.to_string()).or_default() += 1;
        }
        sent
    }
}

#[test]
fn window_slides() {
    let mut window = Window::new(Duration::from_secs(10));
    for second in 0..20 {
        window.add(Duration::from_secs(second));
    }
    let within = window.count(Duration::from_secs(20));
    assert!((10..=11).contains(&within), "{within}");
    assert_eq!(window.count(Duration::from_secs(60)), 0);
}

/// Clients that repeat at once, seen by all gateways in the same window.
#[test]
fn shared_budget() {
    let window = Duration::from_secs(10);
    let terms = Retries { share: 0.2, window, free: 90.0 };
    for gateways in [1, 4, 15] {
        let mut spent = 0;
        for _ in 0..gateways {
            let mut budget = Budget::new(terms);
            let mut granted = 0;
            for n in 0..100 {
                let now = Duration::from_secs(20) + Duration::from_millis(n * 90);
                budget.first(now);
                granted += (0..5).filter(|_| budget.retry(now, gateways)).count();
            }
            spent += granted;
        }
        let allowed = 0.2 * 100.0 * gateways as f64 + 90.0;
        assert!(spent as f64 <= allowed, "{gateways} gateways: {spent} of {allowed}");
        assert!(spent > 10, "{gateways} gateways: {spent}");
    }
}

/// All processes are killed in the middle of a window, after they used their parts.
#[test]
fn budget_restarted() {
    let window = Duration::from_secs(10);
    let terms = Retries { share: 0.2, window, free: 90.0 };
    let (mut before, mut after) = (Budget::new(terms), Budget::new(terms));
    let late = Duration::from_secs(30);
    let spent = (0..500).filter(|_| before.retry(late, 1)).count();
    let again = (0..500).filter(|_| after.retry(Duration::from_secs(1), 1)).count();
    assert!(spent + again <= 90, "{spent} and {again}");
}

#[test]
fn presence_counts() {
    let words = |pairs: &[(&str, u64)]| -> BTreeMap<name::Host, u64> {
        pairs.iter().map(|(host, version)| (name::Host::new(*host), *version)).collect()
    };
    let mut presence = Presence::default();
    assert!(presence.count(Duration::ZERO) >= 15, "unknown is taken for many");
    presence.update(words(&[("a", 1), ("b", 2)]), Duration::from_secs(1));
    assert_eq!(presence.count(Duration::from_secs(2)), 2);
    presence.update(words(&[("a", 1), ("b", 9)]), Duration::from_secs(15));
    assert_eq!(presence.count(Duration::from_secs(25)), 1, "a has said nothing new");
}

/// The heaviest days: more requests than the group can run without long pauses.
#[test]
fn pauses_kept() {
    let service = service();
    let engine = service.engine.as_ref().expect("an engine");
    let most = capacity::max_requests(engine, Some(PAUSE));
    let cost = engine.cost.as_ref().expect("a cost");
    assert!((6..12).contains(&most), "{most}");
    // Right after a jump of popularity, while experts are copied.
    assert!(capacity::pass_duration(cost, f64::from(most), 3.3).mul_f64(1.15) < PAUSE);
    assert_eq!(capacity::max_requests(engine, None), 12, "without a bound all places are used");
}

#[test]
fn load_known() {
    let mut site = Site::new(3, 4);
    let now = Duration::from_secs(5);
    let most =
        capacity::max_requests(site.service.engine.as_ref().expect("an engine"), Some(PAUSE));
    for n in 0..3 {
        let busy = if n == 1 { most } else { most - 2 };
        site.fleet.report(&name::Server::new(format!("i-{n}")), busy, now);
    }
    let sent = site.fill(now);
    assert_eq!(sent, BTreeMap::from([("i-0".into(), 2), ("i-2".into(), 2)]));
}

/// Nobody tells loads, as when the owner of the duty was killed.
#[test]
fn load_unknown() {
    let mut site = Site::new(12, 4);
    let sent: u32 = site.fill(Duration::from_secs(5)).values().sum();
    assert!((24..=72).contains(&sent), "a gateway of four uses its share: {sent}");
}

/// A zone returns cold, and every gateway finds it at the same moment.
#[test]
fn cold_bound() {
    let mut sum = 0;
    for _ in 0..4 {
        let mut site = Site::new(1, 4);
        for n in 0..1000 {
            let now = Duration::from_secs(5) + Duration::from_millis(n);
            if let Choice::Server { server, .. } = site.choose(now, &[]) {
                site.fleet.release(&server, fleet::Outcome::Good, now);
                sum += 1;
            }
        }
    }
    // 36 a second, times 1.5, plus 5.
    assert!((20..=59).contains(&sum), "{sum} requests in a second");
}

/// Servers that fail their requests while they call themselves healthy.
#[test]
fn grey_ejected() {
    let mut site = Site::new(6, 4);
    let now = Duration::from_secs(5);
    let bad = name::Server::new("i-0");
    for _ in 0..3 {
        site.fleet.release(&bad, fleet::Outcome::Bad, now);
        site.fleet.report(&bad, 0, now);
        site.fleet.release(&bad, fleet::Outcome::Bad, now);
    }
    let soon = now + Duration::from_millis(10);
    let sent = site.fill(soon);
    assert!(!sent.contains_key("i-0"), "{sent:?}");
    let later = now + Duration::from_secs(9);
    assert!(site.fill(later).contains_key("i-0"), "it is tried again");
}

#[test]
fn never_all_ejected() {
    let mut site = Site::new(3, 1);
    let now = Duration::from_secs(5);
    for n in 0..3 {
        let server = name::Server::new(format!("i-{n}"));
        site.fleet.report(&server, 0, now);
        site.fleet.release(&server, fleet::Outcome::Replaced, now);
    }
    assert!(matches!(site.choose(now, &[]), Choice::Server { .. }));
}

#[test]
fn tried_elsewhere() {
    let mut site = Site::new(2, 1);
    let now = Duration::from_secs(5);
    let tried = [name::Server::new("i-0")];
    for _ in 0..5 {
        let choice = site.choose(now, &tried);
        assert!(matches!(choice, Choice::Server { server, .. } if server.as_str() == "i-1"));
    }
    assert_eq!(site.choose(now, &[tried[0].clone(), name::Server::new("i-1")]), Choice::Full);
    site.register.update(Vec::new(), Duration::from_millis(1_700));
    assert_eq!(site.choose(now, &[]), Choice::Nobody);
}
