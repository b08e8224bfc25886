//! Random pairs of concurrent faults of real processes under load.
//!
//! The test guards against lost requests, wrong answers and calls that run twice when two faults
//! overlap. `KNAPWEEDFORD_SEED` and `KNAPWEEDFORD_CASES` set the seed and the number of rounds.

use std::{
    collections::{BTreeMap, BTreeSet},
    thread, time,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{fuzz, load, processes};
use load::Load;
use processes::{Process, Site, SiteOptions};

const TOKENS: u64 = 100;
/// Number of clients of each kind at each entry.
const CLIENTS: usize = 4;
const DEFAULT_ROUNDS: u64 = 6;
const SITE_OPTIONS: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &["--token-ms", "10"],
    plain_servers: 2,
    plain_server_args: &["--delay-ms", "100"],
    balancer_lag_ms: 200,
};
/// Index of the entry that may be killed; the other entry is only frozen.
const KILLABLE_ENTRY: usize = 1;
/// Maximum duration of a fault, and of the pause after it, in milliseconds.
const MAX_FAULT_MS: u64 = 2500;

/// Fault of a process. A stopped process is frozen by SIGSTOP and continues when the fault ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Fault {
    KillSidecar(usize),
    StopSidecar(usize),
    StopEngine(usize),
    StopPlain(usize),
    StopEntry(usize),
    KillEntry,
    StopPlatform,
    PlatformDown,
    LoseAnswers,
}

impl Fault {
    fn random(rng: &mut Pcg64) -> Self {
        let index = rng.random_range(0..2);
        match rng.random_range(0..10) {
            0 | 1 => Self::KillSidecar(rng.random_range(0..4)),
            2 => Self::StopSidecar(rng.random_range(0..4)),
            3 => Self::StopEngine(index),
            4 => Self::StopPlain(index),
            5 => Self::StopEntry(index),
            6 => Self::KillEntry,
            7 => Self::StopPlatform,
            8 => Self::PlatformDown,
            _ => Self::LoseAnswers,
        }
    }

    fn start(self, site: &mut Site) {
        match self {
            Self::KillSidecar(at) => site.sidecars[at].process.kill(),
            Self::KillEntry => site.entries[KILLABLE_ENTRY].process.kill(),
            Self::PlatformDown => site.platform.set_faults(r#"{"down":true}"#),
            Self::LoseAnswers => site.platform.set_faults(r#"{"lose_answer":0.5,"seed":9}"#),
            _ => self.process(site).signal("STOP"),
        }
    }

    fn end(self, site: &mut Site) {
        match self {
            Self::KillSidecar(at) => site.sidecars[at] = site.start_sidecar(at),
            Self::KillEntry => site.entries[KILLABLE_ENTRY] = site.start_entry(KILLABLE_ENTRY),
            Self::PlatformDown | Self::LoseAnswers => site.platform.set_faults("{}"),
            _ => self.process(site).signal("CONT"),
        }
    }

    fn process(self, site: &Site) -> &Process {
        match self {
            Self::StopEngine(at) => &site.engines[at],
            Self::StopPlain(at) => &site.plain_servers[at],
            Self::StopSidecar(at) | Self::KillSidecar(at) => &site.sidecars[at].process,
            Self::StopEntry(at) => &site.entries[at].process,
            Self::KillEntry => &site.entries[KILLABLE_ENTRY].process,
            Self::StopPlatform | Self::PlatformDown | Self::LoseAnswers => &site.platform,
        }
    }
}

/// Draws two faults of different processes; a fault of the platform comes last.
fn random_pair(site: &Site, rng: &mut Pcg64) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    let mut affected = BTreeSet::new();
    while faults.len() < 2 {
        let fault = Fault::random(rng);
        if affected.insert(fault.process(site).address) {
            faults.push(fault);
        }
    }
    faults.sort();
    faults
}

fn post_to_ledger(at: std::net::SocketAddr, key: &str) -> processes::Answer {
    let headers = [("Workspace", "w"), ("Idempotency-Key", key)];
    processes::post(at, "/ledger/postings", &headers, "x")
}

/// Returns how often each key ran, summed over all plain servers.
fn count_runs(site: &Site) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for plain in &site.plain_servers {
        for (key, count) in plain.counts()["runs"].as_object().unwrap() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

/// Panics if the number of runs of the posting `key` contradicts the answer's header `Ran`.
fn assert_runs_match(key: &str, answer: &processes::Answer, runs: &BTreeMap<String, u64>) {
    let runs = runs.get(key).copied().unwrap_or(0);
    match answer.ran.as_str() {
        "no" => assert_eq!(runs, 0, "{key} ran, but the answer says that it did not: {answer:?}"),
        "yes" => assert_eq!(runs, 1, "{key} did not run exactly once: {answer:?}"),
        _ => assert!(runs <= 1, "{key} ran {runs} times: {answer:?}"),
    }
}

/// Panics unless the answer is correct, a refusal of a request that did not run, or truncated or
/// missing because the entry was killed.
fn assert_correct_or_truncated(name: &str, answer: &processes::Answer, expected: &[u8]) {
    match answer.status {
        0 => {}
        _ if answer.is_complete() => assert_eq!(answer.body, expected, "{name}"),
        _ if answer.truncated => assert!(expected.starts_with(&answer.body), "{name}: {answer:?}"),
        _ => load::assert_refused(name, answer),
    }
}

#[test]
fn two_at_once() {
    let seed = fuzz::env_or("KNAPWEEDFORD_SEED", fuzz::SEED);
    let rounds = fuzz::env_or("KNAPWEEDFORD_CASES", DEFAULT_ROUNDS);
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut site = Site::start(&SITE_OPTIONS);
    let kept_entry = site.entries[0].process.address;
    let killable_entry = site.entries[KILLABLE_ENTRY].process.address;
    let streams = |at| {
        Load::start(CLIENTS, move |name| processes::stream_completion(at, "/writer", name, TOKENS))
    };
    let posts = |at, prefix| {
        Load::start(CLIENTS, move |name: &str| post_to_ledger(at, &format!("{prefix}-{name}")))
    };
    let loads = [streams(kept_entry), streams(killable_entry)];
    let postings = [posts(kept_entry, "kept"), posts(killable_entry, "killable")];

    for round in 0..rounds {
        let faults = random_pair(&site, &mut rng);
        eprintln!("KNAPWEEDFORD_SEED={seed} round {round}: {faults:?}");
        faults.iter().for_each(|fault| fault.start(&mut site));
        let fault_ms = rng.random_range(1..MAX_FAULT_MS);
        thread::sleep(time::Duration::from_millis(fault_ms));
        faults.iter().rev().for_each(|fault| fault.end(&mut site));
        thread::sleep(time::Duration::from_millis(rng.random_range(1..MAX_FAULT_MS)));
    }

    let [kept_streams, killable_streams] = loads.map(Load::stop);
    let [kept_postings, killable_postings] = postings.map(Load::stop);
    let engine = site.start_reference_engine();
    let expected = |name: &str| processes::stream_completion(engine.address, "", name, TOKENS).body;
    load::assert_none_lost(&kept_streams, expected);
    killable_streams.iter().for_each(|sent| {
        assert_correct_or_truncated(&sent.name, &sent.answer, &expected(&sent.name))
    });
    let runs = count_runs(&site);
    for (prefix, sent) in [("kept", &kept_postings), ("killable", &killable_postings)] {
        for load::SentRequest { name, answer } in sent {
            assert_runs_match(&format!("{prefix}-{name}"), answer, &runs);
        }
    }
    site.wait_until_ready(1);
    for load::SentRequest { name, .. } in
        kept_postings.iter().filter(|sent| sent.answer.ran == "unknown")
    {
        let key = format!("kept-{name}");
        let retried = processes::wait_until("the retried posting is not refused", || {
            Some(site.post_to_ledger(0, &key, "x")).filter(|answer| answer.ran != "no")
        });
        assert_runs_match(&key, &retried, &count_runs(&site));
    }
    assert!(site.stream_completion(0, "after", TOKENS).is_complete());
}
