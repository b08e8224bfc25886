//! Seeded faults of real processes, two at once, again and again, under load.
//!
//! `KNAPWEEDFORD_SEED` and `KNAPWEEDFORD_CASES` change the seed and the rounds.

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
const CALLERS: usize = 4;
const ROUNDS: u64 = 6;
const PLAN: SiteOptions = SiteOptions {
    entries: 2,
    engines: 2,
    engine_args: &["--token-ms", "10"],
    plain_servers: 2,
    plain_server_args: &["--delay-ms", "100"],
    balancer_lag_ms: 200,
};
/// The entry that may be killed; the other one is frozen at most.
const MORTAL: usize = 1;
/// Longest that a fault lasts, in milliseconds.
const LASTS_MS: u64 = 2500;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Fault {
    KillSidecar(usize),
    StopSidecar(usize),
    StopEngine(usize),
    StopPlain(usize),
    StopEntry(usize),
    KillEntry,
    StopPlatform,
    Down,
    LoseAnswers,
}

impl Fault {
    fn draw(rng: &mut Pcg64) -> Self {
        let pair = rng.random_range(0..2);
        match rng.random_range(0..10) {
            0 | 1 => Self::KillSidecar(rng.random_range(0..4)),
            2 => Self::StopSidecar(rng.random_range(0..4)),
            3 => Self::StopEngine(pair),
            4 => Self::StopPlain(pair),
            5 => Self::StopEntry(pair),
            6 => Self::KillEntry,
            7 => Self::StopPlatform,
            8 => Self::Down,
            _ => Self::LoseAnswers,
        }
    }

    fn begin(self, site: &mut Site) {
        match self {
            Self::KillSidecar(at) => site.sidecars[at].process.kill(),
            Self::KillEntry => site.entries[MORTAL].process.kill(),
            Self::Down => site.platform.set_faults(r#"{"down":true}"#),
            Self::LoseAnswers => site.platform.set_faults(r#"{"lose_answer":0.5,"seed":9}"#),
            _ => self.process(site).signal("STOP"),
        }
    }

    fn end(self, site: &mut Site) {
        match self {
            Self::KillSidecar(at) => site.sidecars[at] = site.start_sidecar(at),
            Self::KillEntry => site.entries[MORTAL] = site.start_entry(MORTAL),
            Self::Down | Self::LoseAnswers => site.platform.set_faults("{}"),
            _ => self.process(site).signal("CONT"),
        }
    }

    fn process(self, site: &Site) -> &Process {
        match self {
            Self::StopEngine(at) => &site.engines[at],
            Self::StopPlain(at) => &site.plain_servers[at],
            Self::StopSidecar(at) | Self::KillSidecar(at) => &site.sidecars[at].process,
            Self::StopEntry(at) => &site.entries[at].process,
            Self::KillEntry => &site.entries[MORTAL].process,
            Self::StopPlatform | Self::Down | Self::LoseAnswers => &site.platform,
        }
    }
}

/// Two faults that do not concern the same process; those of the platform last.
fn pair(site: &Site, rng: &mut Pcg64) -> Vec<Fault> {
    let mut faults: Vec<Fault> = Vec::new();
    let mut hit = BTreeSet::new();
    while faults.len() < 2 {
        let fault = Fault::draw(rng);
        if hit.insert(fault.process(site).address) {
            faults.push(fault);
        }
    }
    faults.sort();
    faults
}

fn post(at: std::net::SocketAddr, key: &str) -> processes::Answer {
    let headers = [("Workspace", "w"), ("Idempotency-Key", key)];
    processes::post(at, "/ledger/postings", &headers, "x")
}

/// How often each key ran, over all plain servers.
fn runs(site: &Site) -> BTreeMap<String, u64> {
    let mut runs = BTreeMap::new();
    for plain in &site.plain_servers {
        for (key, count) in plain.counts()["runs"].as_object().unwrap() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    runs
}

/// Panics unless the answer to the posting `key` agrees with how often it ran.
fn agrees(key: &str, answer: &processes::Answer, runs: &BTreeMap<String, u64>) {
    let runs = runs.get(key).copied().unwrap_or(0);
    match answer.ran.as_str() {
        "no" => assert_eq!(runs, 0, "{key} was refused and ran: {answer:?}"),
        "yes" => assert_eq!(runs, 1, "{key}: {answer:?}"),
        _ => assert!(runs <= 1, "{key} ran {runs} times: {answer:?}"),
    }
}

/// Panics unless the answer is right, or an honest refusal, or cut by the entry's death.
fn right_or_cut(name: &str, answer: &processes::Answer, right: &[u8]) {
    match answer.status {
        0 => {}
        _ if answer.is_complete() => assert_eq!(answer.body, right, "{name}"),
        _ if answer.truncated => assert!(right.starts_with(&answer.body), "{name}: {answer:?}"),
        _ => load::assert_refused(name, answer),
    }
}

#[test]
fn two_at_once() {
    let seed = fuzz::setting("KNAPWEEDFORD_SEED", fuzz::SEED);
    let rounds = fuzz::setting("KNAPWEEDFORD_CASES", ROUNDS);
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut site = Site::start(&PLAN);
    let steady = site.entries[0].process.address;
    let mortal = site.entries[MORTAL].process.address;
    let streams = |at| {
        Load::start(CALLERS, move |name| processes::stream_completion(at, "/writer", name, TOKENS))
    };
    let posts =
        |at, host| Load::start(CALLERS, move |name: &str| post(at, &format!("{host}-{name}")));
    let loads = [streams(steady), streams(mortal)];
    let postings = [posts(steady, "steady"), posts(mortal, "mortal")];

    for round in 0..rounds {
        let faults = pair(&site, &mut rng);
        eprintln!("KNAPWEEDFORD_SEED={seed} round {round}: {faults:?}");
        faults.iter().for_each(|fault| fault.begin(&mut site));
        let lasts = rng.random_range(1..LASTS_MS);
        thread::sleep(time::Duration::from_millis(lasts));
        faults.iter().rev().for_each(|fault| fault.end(&mut site));
        thread::sleep(time::Duration::from_millis(rng.random_range(1..LASTS_MS)));
    }

    let [steady, mortal] = loads.map(Load::stop);
    let [safe, risky] = postings.map(Load::stop);
    let engine = site.start_reference_engine();
    let right = |name: &str| processes::stream_completion(engine.address, "", name, TOKENS).body;
    load::assert_none_lost(&steady, right);
    mortal.iter().for_each(|sent| right_or_cut(&sent.name, &sent.answer, &right(&sent.name)));
    let ran = runs(&site);
    for (host, sent) in [("steady", &safe), ("mortal", &risky)] {
        for load::SentRequest { name, answer } in sent {
            agrees(&format!("{host}-{name}"), answer, &ran);
        }
    }
    site.wait_until_ready(1);
    for load::SentRequest { name, .. } in safe.iter().filter(|sent| sent.answer.ran == "unknown") {
        let key = format!("steady-{name}");
        let again = processes::wait_until("the posting is settled", || {
            Some(site.post_to_ledger(0, &key, "x")).filter(|again| again.ran != "no")
        });
        agrees(&key, &again, &runs(&site));
    }
    assert!(site.stream_completion(0, "after", TOKENS).is_complete());
}
