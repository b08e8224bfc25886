//! The choice of a backend server for a request.
//!
//! Guards against routing that overloads a server (a cold one, or the one with a
//! popular prefix), that sends requests to servers which are taken out or too
//! slow, and that leaves free servers unused.

use std::{collections::BTreeMap, time};

use knapweedford::{
    config, name,
    policy::{cache, candidates, decision, gate, prefix, recent, route, subset},
    wire,
};
use rand::SeedableRng as _;

const NOW: time::Duration = time::Duration::from_secs(100);

/// Candidates `s0`, `s1`, ... in three zones, and the parameters of the next request.
struct Fixture {
    candidates: candidates::CandidateSet,
    rng: rand_pcg::Pcg64Mcg,
    zone: name::Zone,
    tried: Vec<name::Server>,
    time_left: time::Duration,
}

impl Fixture {
    fn new(servers: u32) -> Self {
        let mut candidates = candidates::CandidateSet::new(&"entry-1".into());
        for index in 0..servers {
            candidates.add(&server(index), &name::Zone::new(format!("z{}", index % 3)));
            candidates.record_load(&server(index), &load(0, 16), NOW);
        }
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(4);
        Self { candidates, rng, zone: "z0".into(), tried: Vec::new(), time_left: NOW }
    }

    fn choose(&mut self, prefix: &prefix::PrefixKeys) -> decision::Decision {
        self.choose_at(prefix, NOW)
    }

    fn choose_at(
        &mut self,
        prefix: &prefix::PrefixKeys,
        now: time::Duration,
    ) -> decision::Decision {
        let req = route::Request {
            zone: &self.zone,
            prefix,
            tokens: 100,
            time_left: self.time_left,
            priority: config::Priority::Interactive,
            tried: &self.tried,
        };
        route::choose_server(&self.candidates, &req, now, &mut self.rng)
    }

    /// Routes `count` requests and returns the number of requests for each server.
    fn send_many(
        &mut self,
        prefix: &prefix::PrefixKeys,
        count: u32,
    ) -> BTreeMap<name::Server, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            if let Some(server) = self.choose(prefix).server().cloned() {
                self.candidates.record_sent(&server, 100);
                self.candidates.record_prefix(&server, prefix, NOW);
                *counts.entry(server).or_default() += 1;
            }
        }
        counts
    }
}

fn server(index: u32) -> name::Server {
    name::Server::new(format!("s{index}"))
}

fn load(in_flight: u32, limit: u32) -> wire::Load {
    wire::Load { incarnation: 1, in_flight, limit, warm: true, ..wire::Load::default() }
}

fn prefix_keys(key: u64) -> prefix::PrefixKeys {
    prefix::PrefixKeys::new(vec![key, key + 1, key + 2])
}

fn no_prefix() -> prefix::PrefixKeys {
    prefix::PrefixKeys::default()
}

#[test]
fn least_loaded_chosen() {
    let mut fixture = Fixture::new(6);
    (0..6).for_each(|index| {
        fixture.candidates.record_load(
            &server(index),
            &load(if index == 4 { 2 } else { 9 }, 16),
            NOW,
        )
    });
    assert_eq!(fixture.choose(&no_prefix()).server(), Some(&server(4)));
}

#[test]
fn own_requests_counted() {
    let mut fixture = Fixture::new(12);
    let counts = fixture.send_many(&no_prefix(), 48);
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (3..=5).contains(count)), "{counts:?}");
}

#[test]
fn cold_limit_kept() {
    let mut fixture = Fixture::new(3);
    let cold = wire::Load { warm: false, ..load(0, gate::COLD_LIMIT) };
    fixture.candidates.record_load(&server(0), &cold, NOW);
    let counts = fixture.send_many(&no_prefix(), 34);
    assert!(counts[&server(0)] <= gate::COLD_LIMIT);
}

#[test]
fn unreported_server_cold() {
    let mut fixture = Fixture::new(0);
    fixture.candidates.add(&server(0), &"z0".into());
    assert_eq!(fixture.send_many(&no_prefix(), 10)[&server(0)], gate::COLD_LIMIT);
}

#[test]
fn excluded_servers_skipped() {
    let mut fixture = Fixture::new(3);
    fixture.candidates.set_allowed(&server(0), false);
    fixture.candidates.record_load(&server(1), &wire::Load { leaving: true, ..load(0, 16) }, NOW);
    fixture.candidates.set_ejected(&server(2), Some(NOW + time::Duration::from_secs(1)));
    let decision = fixture.choose(&no_prefix());
    let why = decision::WaitReason::NoServer;
    assert!(
        matches!(decision.outcome, decision::Outcome::Wait { why: actual, .. } if actual == why)
    );
    assert!(fixture.choose_at(&no_prefix(), NOW + time::Duration::from_secs(2)).server().is_some());
}

#[test]
fn tried_server_excluded() {
    let mut fixture = Fixture::new(2);
    fixture.tried = vec![server(0)];
    assert_eq!(fixture.choose(&no_prefix()).server(), Some(&server(1)));
}

#[test]
fn slow_server_excluded() {
    let mut fixture = Fixture::new(3);
    for (index, ms) in [(0, 10_000), (1, 1000), (2, 1000)] {
        fixture.candidates.record_completion(&server(index), 100, time::Duration::from_millis(ms));
    }
    fixture.time_left = time::Duration::from_secs(5);
    assert_ne!(
        fixture.choose(&no_prefix()).server(),
        Some(&server(0)),
        "chose a server that would answer too late"
    );
    fixture.time_left = time::Duration::from_secs(20);
    assert_eq!(fixture.choose(&no_prefix()).server(), Some(&server(0)));
}

#[test]
fn cold_server_slow() {
    let mut fixture = Fixture::new(3);
    let cold = wire::Load { warm: false, incarnation: 2, ..load(0, gate::COLD_LIMIT) };
    fixture.candidates.record_load(&server(0), &cold, NOW);
    (1..3).for_each(|index| fixture.candidates.record_load(&server(index), &load(14, 16), NOW));
    (1..3).for_each(|index| {
        fixture.candidates.record_completion(&server(index), 100, time::Duration::from_secs(2))
    });
    fixture.time_left = time::Duration::from_secs(5);
    assert_ne!(
        fixture.choose(&no_prefix()).server(),
        Some(&server(0)),
        "a cold server was not assumed to be three times as slow"
    );
    fixture.time_left = time::Duration::from_secs(9);
    assert_eq!(fixture.choose(&no_prefix()).server(), Some(&server(0)));
}

#[test]
fn own_zone_first() {
    let mut fixture = Fixture::new(3);
    assert_eq!(fixture.choose(&no_prefix()).server(), Some(&server(0)));
    fixture.candidates.record_load(&server(0), &load(8, 16), NOW);
    assert_ne!(
        fixture.choose(&no_prefix()).server(),
        Some(&server(0)),
        "chose a loaded server for its zone"
    );
}

#[test]
fn prefix_keeps_server() {
    let mut fixture = Fixture::new(12);
    let first = fixture.choose(&prefix_keys(7)).server().unwrap().clone();
    fixture.candidates.record_prefix(&first, &prefix_keys(7), NOW);
    let second = fixture.choose(&prefix_keys(7));
    assert_eq!(second.server(), Some(&first));
    let why = decision::Reason::Prefix;
    assert!(matches!(second.outcome, decision::Outcome::Send { why: actual, .. } if actual == why));
}

#[test]
fn popular_prefix_spreads() {
    let mut fixture = Fixture::new(12);
    let counts = fixture.send_many(&prefix_keys(7), 96);
    let highest = counts.values().max().unwrap();
    assert!(*highest <= 12, "one server got too many requests of a popular prefix: {counts:?}");
}

#[test]
fn overloaded_server_skipped() {
    let mut fixture = Fixture::new(12);
    (0..12).for_each(|index| fixture.candidates.record_load(&server(index), &load(6, 16), NOW));
    fixture.candidates.record_load(&server(5), &load(12, 16), NOW);
    fixture.candidates.record_prefix(&server(5), &prefix_keys(7), NOW);
    assert_ne!(
        fixture.choose(&prefix_keys(7)).server(),
        Some(&server(5)),
        "a cached prefix attracted a request above the bound"
    );
    fixture.candidates.record_load(&server(5), &load(7, 16), NOW);
    assert_eq!(
        fixture.choose(&prefix_keys(7)).server(),
        Some(&server(5)),
        "a cached prefix attracted no request within the bound"
    );
}

// Entries must agree on a prefix's home server without communication, also with other random
// numbers.
#[test]
fn home_server_agreed() {
    for key in 0..20 {
        let (mut first, mut second) = (Fixture::new(12), Fixture::new(12));
        second.rng = rand_pcg::Pcg64Mcg::seed_from_u64(99);
        assert_eq!(
            first.choose(&prefix_keys(key)).server(),
            second.choose(&prefix_keys(key)).server()
        );
    }
}

// When all servers are full by their last reports, one request per server goes out as a probe
// after the report is old: without it the entry would never learn of a free slot.
#[test]
fn full_server_probed() {
    let mut fixture = Fixture::new(2);
    (0..2).for_each(|index| fixture.candidates.record_load(&server(index), &load(16, 16), NOW));
    assert_eq!(fixture.choose(&no_prefix()).server(), None);
    let later = NOW + time::Duration::from_secs(1);
    let probe = fixture.choose_at(&no_prefix(), later).server().unwrap().clone();
    fixture.candidates.record_sent(&probe, 1);
    let second = fixture.choose_at(&no_prefix(), later).server().unwrap().clone();
    assert_ne!(probe, second, "sent two probes to one server");
    fixture.candidates.record_sent(&second, 1);
    assert_eq!(fixture.choose_at(&no_prefix(), later).server(), None);
}

#[test]
fn restart_clears_cache() {
    let mut fixture = Fixture::new(1);
    fixture.candidates.record_prefix(&server(0), &prefix_keys(7), NOW);
    fixture.candidates.record_load(&server(0), &wire::Load { incarnation: 2, ..load(0, 16) }, NOW);
    assert!(fixture.candidates.get(&server(0)).unwrap().cache.is_empty());
}

#[test]
fn subset_is_bounded() {
    let mut fixture = Fixture::new(600);
    let counts = fixture.send_many(&no_prefix(), 240);
    assert!(counts.len() <= subset::SERVERS_PER_ENTRY, "requests went to {} servers", counts.len());
    assert!(counts.len() >= subset::SERVERS_PER_ENTRY / 2);
}

#[test]
fn subsets_cover_servers() {
    let mut entries_of = BTreeMap::<name::Server, u32>::new();
    let candidates = Fixture::new(600).candidates;
    for entry in 0..320u64 {
        let seed = subset::rendezvous_weight(entry, 17);
        for server in subset::choose(seed, subset::SERVERS_PER_ENTRY, candidates.iter()) {
            *entries_of.entry(server).or_default() += 1;
        }
    }
    assert_eq!(entries_of.len(), 600, "a server is in no subset");
    assert!(entries_of.values().all(|count| *count <= 40), "{:?}", entries_of.values().max());
}

#[test]
fn full_subset_widens() {
    let mut fixture = Fixture::new(60);
    for candidate in fixture.candidates.clone().iter().filter(|candidate| candidate.in_subset) {
        fixture.candidates.record_load(&candidate.server, &load(16, 16), NOW);
    }
    let why = decision::Reason::Widened;
    let decision = fixture.choose(&no_prefix());
    assert!(
        matches!(decision.outcome, decision::Outcome::Send { why: actual, .. } if actual == why)
    );
}

// A shared key would let one workspace detect the prompts of another by their latency.
#[test]
fn workspaces_share_no_key() {
    let body = vec![b'x'; 3000];
    let (a, b) = (
        prefix::PrefixKeys::from_body(&"a".into(), &body),
        prefix::PrefixKeys::from_body(&"b".into(), &body),
    );
    assert_eq!(a.keys().len(), 3);
    assert_ne!(a, b, "two workspaces share a key");
    assert!(prefix::PrefixKeys::from_body(&"a".into(), b"short").keys().is_empty());
}

#[test]
fn cache_events_applied() {
    let mut cache = cache::PrefixCache::default();
    cache.record_request(&prefix_keys(7), time::Duration::ZERO);
    cache.apply_event(1, cache::Event::Evicted(8), NOW);
    assert!((cache.cached_share(&prefix_keys(7), NOW) - 1.0 / 3.0).abs() < 0.01);
    cache.apply_event(1, cache::Event::Stored(8), NOW);
    assert_eq!(cache.len(), 2, "an event was applied twice");
    cache.apply_event(9, cache::Event::Stored(100), NOW);
    assert_eq!(cache.len(), 1, "a gap did not drop old keys");
}

#[test]
fn cache_is_bounded() {
    let mut cache = cache::PrefixCache::default();
    for key in 0..5000 {
        cache.record_request(&prefix_keys(key * 10), NOW + time::Duration::from_millis(key));
    }
    assert_eq!(cache.len(), cache::MAX_KEYS);
}

#[test]
fn recent_is_bounded() {
    let mut fixture = Fixture::new(1);
    let mut recent = recent::RecentDecisions::new();
    for id in 0..200 {
        let decision = fixture.choose(&no_prefix());
        recent.push(recent::Routed { id: id.to_string(), decision });
    }
    assert_eq!(recent.iter().count(), 64);
    assert_eq!(recent.iter().last().unwrap().id, "199");
}
