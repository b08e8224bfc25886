//! Calls to the table that claims, leases and the configuration cost.

use std::time::Duration;

use anyhow::Context;
use knapweedford::agree::{
    claim::{self, BeginOutcome, Claim, Fingerprint, Key, RecordedAnswer},
    lease::{self, Holder, Lease},
    row,
};

use super::site::{Platform, host, ms, secs};

/// Target: writes and reads of the table a second.
const WRITES: f64 = 300.0;
const READS: f64 = 1000.0;

/// Groups at the target size and processes that share a group's lease.
const GROUPS: f64 = 19.0;
const SHARERS: usize = 32;

/// Term of a lease, time between looks at it, and time observed after it is held.
const TERM: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
const SPAN: Duration = Duration::from_secs(600);

/// Changes of configuration a second at the target size, with what each costs.
const CHANGES: f64 = 1300.0 / 86_400.0;

/// Reads a second of polls for configuration and hosts: each process polls
/// both once a minute at that size.
const POLLS: f64 = 2.0 * 920.0 / 60.0;

/// Longest time of one call.
const WITHIN: Duration = Duration::from_secs(1);

/// Reads and writes of something.
#[derive(Clone, Copy, Debug)]
struct Calls {
    reads: f64,
    writes: f64,
}

/// Counts and prints all.
pub fn run() -> anyhow::Result<()> {
    let first = claimed(false)?;
    let repeat = claimed(true)?;
    let lease = leased();
    show("a call that may not be repeated", first);
    show("a repeat of it, answered from its record", repeat);
    show("a lease a second, shared by 32", lease);
    let writes = lease.writes * GROUPS + CHANGES;
    let reads = lease.reads * GROUPS + CHANGES + POLLS;
    println!("site without claims, a second: {reads:.1} reads, {writes:.1} writes");
    println!(
        "calls that may not be repeated, a second, within {WRITES} writes and {READS} reads: {:.0}",
        ((WRITES - writes) / first.writes).floor()
    );
    Ok(())
}

fn show(what: &str, calls: Calls) {
    println!("{what}: {:.2} reads, {:.2} writes", calls.reads, calls.writes);
}

/// Reads and writes that the platform has served.
fn served(platform: &Platform) -> Calls {
    let state = platform.state();
    Calls { reads: state.reads as f64, writes: state.writes as f64 }
}

impl Calls {
    fn since(self, before: Self) -> Self {
        Self { reads: self.reads - before.reads, writes: self.writes - before.writes }
    }
}

fn counted(platform: &Platform, run: impl FnOnce() -> anyhow::Result<()>) -> anyhow::Result<Calls> {
    let before = served(platform);
    run()?;
    Ok(served(platform).since(before))
}

/// What a call costs, or its repeat.
fn claimed(repeat: bool) -> anyhow::Result<Calls> {
    let platform = Platform::default();
    if repeat {
        post(&platform, 1)?;
    }
    counted(&platform, || post(&platform, 2))
}

fn post(platform: &Platform, by: u64) -> anyhow::Result<()> {
    let key = Key::new(&"w".into(), &"ledger-app".into(), "k").context("no key")?;
    let claim = Claim::new(key, by, Fingerprint::new("POST", "/post", b"x"));
    let answer = RecordedAnswer { status: 201, headers: Vec::new(), body: b"booked".to_vec() };
    match claim::begin(platform, platform, claim, WITHIN) {
        BeginOutcome::Claimed(held) => {
            anyhow::ensure!(held.record(platform, platform, &answer, WITHIN), "not recorded");
        }
        BeginOutcome::Recorded(recorded) => anyhow::ensure!(recorded == answer, "another answer"),
        other => anyhow::bail!("{other:?}"),
    }
    Ok(())
}

/// What a held lease costs a second.
fn leased() -> Calls {
    let platform = Platform::default();
    let lease = |i: usize| {
        let me = Holder { host: host(i), boot: 1 };
        Lease::new(me, TERM, Duration::ZERO, i as u64)
    };
    let mut leases: Vec<Lease> = (0..SHARERS).map(lease).collect();
    play(&platform, &mut leases, ms(0), secs(30));
    let before = served(&platform);
    play(&platform, &mut leases, secs(30), SPAN);
    let calls = served(&platform).since(before);
    let span = SPAN.as_secs_f64();
    Calls { reads: calls.reads / span, writes: calls.writes / span }
}

fn play(platform: &Platform, leases: &mut [Lease], from: Duration, span: Duration) {
    let steps = (span.as_millis() / STEP.as_millis()) as u32;
    for now in (0..steps).map(|i| from + STEP * i) {
        for lease in &mut *leases {
            if let Some(ask) = lease.next_call(now) {
                let answer = row::execute(&lease::key("g"), &ask, platform, WITHIN);
                lease.handle_answer(now, answer);
            }
        }
    }
}
