//! Which backend server gets a request.

use std::{collections::BTreeMap, time};

use knapweedford::{
    config, name,
    policy::{cache, candidates, decision, gate, prefix, recent, route, subset},
    wire,
};
use rand::SeedableRng as _;

const NOW: time::Duration = time::Duration::from_secs(100);

/// A roster of servers `s0`, `s1`, ... spread over three zones.
struct Bench {
    candidates: candidates::CandidateSet,
    rng: rand_pcg::Pcg64Mcg,
    zone: name::Zone,
    tried: Vec<name::Server>,
    time_left: time::Duration,
}

impl Bench {
    fn new(servers: u32) -> Self {
        let mut candidates = candidates::CandidateSet::new(&"entry-1".into());
        for at in 0..servers {
            candidates.add(&server(at), &name::Zone::new(format!("z{}", at % 3)));
            candidates.record_load(&server(at), &load(0, 16), NOW);
        }
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(4);
        Self { candidates, rng, zone: "z0".into(), tried: Vec::new(), time_left: NOW }
    }

    fn pick(&mut self, chain: &prefix::PrefixKeys) -> decision::Decision {
        self.pick_at(chain, NOW)
    }

    fn pick_at(&mut self, chain: &prefix::PrefixKeys, now: time::Duration) -> decision::Decision {
        let req = route::Request {
            zone: &self.zone,
            prefix: chain,
            tokens: 100,
            time_left: self.time_left,
            priority: config::Priority::Interactive,
            tried: &self.tried,
        };
        route::choose_server(&self.candidates, &req, now, &mut self.rng)
    }

    /// Sends `count` requests and counts them by server.
    fn spread(&mut self, chain: &prefix::PrefixKeys, count: u32) -> BTreeMap<name::Server, u32> {
        let mut got = BTreeMap::new();
        for _ in 0..count {
            if let Some(server) = self.pick(chain).server().cloned() {
                self.candidates.record_sent(&server, 100);
                self.candidates.record_prefix(&server, chain, NOW);
                *got.entry(server).or_default() += 1;
            }
        }
        got
    }
}

fn server(at: u32) -> name::Server {
    name::Server::new(format!("s{at}"))
}

fn load(in_flight: u32, limit: u32) -> wire::Load {
    wire::Load { incarnation: 1, in_flight, limit, warm: true, ..wire::Load::default() }
}

fn chain(key: u64) -> prefix::PrefixKeys {
    prefix::PrefixKeys::new(vec![key, key + 1, key + 2])
}

fn none() -> prefix::PrefixKeys {
    prefix::PrefixKeys::default()
}

#[test]
fn least_loaded() {
    let mut bench = Bench::new(6);
    (0..6).for_each(|at| {
        bench.candidates.record_load(&server(at), &load(if at == 4 { 2 } else { 9 }, 16), NOW)
    });
    assert_eq!(bench.pick(&none()).server(), Some(&server(4)));
}

#[test]
fn own_counted() {
    let mut bench = Bench::new(12);
    let got = bench.spread(&none(), 48);
    assert_eq!(got.len(), 12);
    assert!(got.values().all(|count| (3..=5).contains(count)), "{got:?}");
}

#[test]
fn cold_spared() {
    let mut bench = Bench::new(3);
    let cold = wire::Load { warm: false, ..load(0, gate::COLD_LIMIT) };
    bench.candidates.record_load(&server(0), &cold, NOW);
    let got = bench.spread(&none(), 34);
    assert!(got[&server(0)] <= gate::COLD_LIMIT);
}

#[test]
fn unheard_cold() {
    let mut bench = Bench::new(0);
    bench.candidates.add(&server(0), &"z0".into());
    assert_eq!(bench.spread(&none(), 10)[&server(0)], gate::COLD_LIMIT);
}

#[test]
fn out_spared() {
    let mut bench = Bench::new(3);
    bench.candidates.set_allowed(&server(0), false);
    bench.candidates.record_load(&server(1), &wire::Load { leaving: true, ..load(0, 16) }, NOW);
    bench.candidates.set_ejected(&server(2), Some(NOW + time::Duration::from_secs(1)));
    let decision = bench.pick(&none());
    let why = decision::WaitReason::NoServer;
    assert!(matches!(decision.outcome, decision::Outcome::Wait { why: got, .. } if got == why));
    assert!(bench.pick_at(&none(), NOW + time::Duration::from_secs(2)).server().is_some());
}

#[test]
fn tried_spared() {
    let mut bench = Bench::new(2);
    bench.tried = vec![server(0)];
    assert_eq!(bench.pick(&none()).server(), Some(&server(1)));
}

#[test]
fn slow_spared() {
    let mut bench = Bench::new(3);
    for (at, ms) in [(0, 10_000), (1, 1000), (2, 1000)] {
        bench.candidates.record_completion(&server(at), 100, time::Duration::from_millis(ms));
    }
    bench.time_left = time::Duration::from_secs(5);
    assert_ne!(bench.pick(&none()).server(), Some(&server(0)), "it would answer too late");
    bench.time_left = time::Duration::from_secs(20);
    assert_eq!(bench.pick(&none()).server(), Some(&server(0)));
}

#[test]
fn cold_slow() {
    let mut bench = Bench::new(3);
    let cold = wire::Load { warm: false, incarnation: 2, ..load(0, gate::COLD_LIMIT) };
    bench.candidates.record_load(&server(0), &cold, NOW);
    (1..3).for_each(|at| bench.candidates.record_load(&server(at), &load(14, 16), NOW));
    (1..3).for_each(|at| {
        bench.candidates.record_completion(&server(at), 100, time::Duration::from_secs(2))
    });
    bench.time_left = time::Duration::from_secs(5);
    assert_ne!(bench.pick(&none()).server(), Some(&server(0)), "thought three times as slow");
    bench.time_left = time::Duration::from_secs(9);
    assert_eq!(bench.pick(&none()).server(), Some(&server(0)));
}

#[test]
fn near_first() {
    let mut bench = Bench::new(3);
    assert_eq!(bench.pick(&none()).server(), Some(&server(0)));
    bench.candidates.record_load(&server(0), &load(8, 16), NOW);
    assert_ne!(bench.pick(&none()).server(), Some(&server(0)), "nearness must not beat load");
}

#[test]
fn prefix_sticks() {
    let mut bench = Bench::new(12);
    let first = bench.pick(&chain(7)).server().unwrap().clone();
    bench.candidates.record_prefix(&first, &chain(7), NOW);
    let again = bench.pick(&chain(7));
    assert_eq!(again.server(), Some(&first));
    let why = decision::Reason::Prefix;
    assert!(matches!(again.outcome, decision::Outcome::Send { why: got, .. } if got == why));
}

#[test]
fn prefix_bounded() {
    let mut bench = Bench::new(12);
    let got = bench.spread(&chain(7), 96);
    let most = got.values().max().unwrap();
    assert!(*most <= 12, "a popular prefix filled one server: {got:?}");
}

#[test]
fn overfull_spills() {
    let mut bench = Bench::new(12);
    (0..12).for_each(|at| bench.candidates.record_load(&server(at), &load(6, 16), NOW));
    bench.candidates.record_load(&server(5), &load(12, 16), NOW);
    bench.candidates.record_prefix(&server(5), &chain(7), NOW);
    assert_ne!(bench.pick(&chain(7)).server(), Some(&server(5)), "over the bound");
    bench.candidates.record_load(&server(5), &load(7, 16), NOW);
    assert_eq!(bench.pick(&chain(7)).server(), Some(&server(5)), "within the bound");
}

#[test]
fn home_agreed() {
    for key in 0..20 {
        let (mut a, mut b) = (Bench::new(12), Bench::new(12));
        b.rng = rand_pcg::Pcg64Mcg::seed_from_u64(99);
        assert_eq!(a.pick(&chain(key)).server(), b.pick(&chain(key)).server());
    }
}

#[test]
fn stale_probed() {
    let mut bench = Bench::new(2);
    (0..2).for_each(|at| bench.candidates.record_load(&server(at), &load(16, 16), NOW));
    assert_eq!(bench.pick(&none()).server(), None);
    let later = NOW + time::Duration::from_secs(1);
    let probe = bench.pick_at(&none(), later).server().unwrap().clone();
    bench.candidates.record_sent(&probe, 1);
    let second = bench.pick_at(&none(), later).server().unwrap().clone();
    assert_ne!(probe, second, "one probe at a time");
    bench.candidates.record_sent(&second, 1);
    assert_eq!(bench.pick_at(&none(), later).server(), None);
}

#[test]
fn restart_forgets() {
    let mut bench = Bench::new(1);
    bench.candidates.record_prefix(&server(0), &chain(7), NOW);
    bench.candidates.record_load(&server(0), &wire::Load { incarnation: 2, ..load(0, 16) }, NOW);
    assert!(bench.candidates.get(&server(0)).unwrap().cache.is_empty());
}

#[test]
fn subset_bounded() {
    let mut bench = Bench::new(600);
    let got = bench.spread(&none(), 240);
    assert!(got.len() <= subset::SERVERS_PER_ENTRY, "{} servers in touch", got.len());
    assert!(got.len() >= subset::SERVERS_PER_ENTRY / 2);
}

#[test]
fn subsets_cover() {
    let mut entries = BTreeMap::<name::Server, u32>::new();
    let candidates = Bench::new(600).candidates;
    for entry in 0..320u64 {
        let seed = subset::rendezvous_weight(entry, 17);
        for server in subset::choose(seed, subset::SERVERS_PER_ENTRY, candidates.iter()) {
            *entries.entry(server).or_default() += 1;
        }
    }
    assert_eq!(entries.len(), 600, "each server is known to some entry");
    assert!(entries.values().all(|count| *count <= 40), "{:?}", entries.values().max());
}

#[test]
fn full_widens() {
    let mut bench = Bench::new(60);
    for candidate in bench.candidates.clone().iter().filter(|candidate| candidate.in_subset) {
        bench.candidates.record_load(&candidate.server, &load(16, 16), NOW);
    }
    let why = decision::Reason::Widened;
    let decision = bench.pick(&none());
    assert!(matches!(decision.outcome, decision::Outcome::Send { why: got, .. } if got == why));
}

#[test]
fn chain_workspaces() {
    let body = vec![b'x'; 3000];
    let (a, b) = (
        prefix::PrefixKeys::from_body(&"a".into(), &body),
        prefix::PrefixKeys::from_body(&"b".into(), &body),
    );
    assert_eq!(a.keys().len(), 3);
    assert_ne!(a, b, "workspaces share no prefix");
    assert!(prefix::PrefixKeys::from_body(&"a".into(), b"short").keys().is_empty());
}

#[test]
fn cache_events() {
    let mut cache = cache::PrefixCache::default();
    cache.record_request(&chain(7), time::Duration::ZERO);
    cache.apply_event(1, cache::Event::Evicted(8), NOW);
    assert!((cache.cached_share(&chain(7), NOW) - 1.0 / 3.0).abs() < 0.01);
    cache.apply_event(1, cache::Event::Stored(8), NOW);
    assert_eq!(cache.len(), 2, "a number seen before is ignored");
    cache.apply_event(9, cache::Event::Stored(100), NOW);
    assert_eq!(cache.len(), 1, "a gap drops what may have gone in it");
}

#[test]
fn cache_bounded() {
    let mut cache = cache::PrefixCache::default();
    for key in 0..5000 {
        cache.record_request(&chain(key * 10), NOW + time::Duration::from_millis(key));
    }
    assert_eq!(cache.len(), cache::MAX_KEYS);
}

#[test]
fn recent_bounded() {
    let mut bench = Bench::new(1);
    let mut recent = recent::RecentDecisions::new();
    for id in 0..200 {
        let decision = bench.pick(&none());
        recent.push(recent::Routed { id: id.to_string(), decision });
    }
    assert_eq!(recent.iter().count(), 64);
    assert_eq!(recent.iter().last().unwrap().id, "199");
}
