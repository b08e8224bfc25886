//! Numbers of calls to the table of the store for claims, leases and the configuration.

use std::time::Duration;

use anyhow::Context;
use knapweedford::agree::{
    claim::{self, BeginOutcome, Claim, Fingerprint, Key, RecordedAnswer},
    lease::{self, Holder, Lease},
    row,
};

use super::site::{Platform, host, ms, secs};

/// Writes of the table per second that the target allows.
const TARGET_WRITES_PER_SEC: f64 = 300.0;
/// Reads of the table per second that the target allows.
const TARGET_READS_PER_SEC: f64 = 1000.0;

/// Groups of the target size, each with its lease.
const GROUPS: f64 = 19.0;
/// Processes that compete for the lease of one group.
const LEASE_CANDIDATES: usize = 32;

/// Term of a lease.
const LEASE_TERM: Duration = Duration::from_secs(10);
/// Interval at which each process polls its lease for the next call.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the calls of a held lease are counted.
const COUNTED_TIME: Duration = Duration::from_secs(600);

/// Changes of the configuration per second at the target size; each costs a read and a write.
const CONFIG_CHANGES_PER_SEC: f64 = 1300.0 / 86_400.0;

/// Reads per second of polls for the configuration and the hosts: at the target size each of the
/// 920 processes polls both once per minute.
const POLL_READS_PER_SEC: f64 = 2.0 * 920.0 / 60.0;

/// Timeout of one call to the table.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Numbers of reads and writes of the table.
#[derive(Clone, Copy, Debug)]
struct Calls {
    reads: f64,
    writes: f64,
}

/// Counts the calls and prints them, with the rate of claims that the target allows.
pub fn run() -> anyhow::Result<()> {
    let first = claim_calls(false)?;
    let repeat = claim_calls(true)?;
    let lease = lease_calls();
    print("a call that may not be repeated", first);
    print("a repeat of that call, answered from its record", repeat);
    print("a lease with 32 candidates, per second", lease);
    let writes = lease.writes * GROUPS + CONFIG_CHANGES_PER_SEC;
    let reads = lease.reads * GROUPS + CONFIG_CHANGES_PER_SEC + POLL_READS_PER_SEC;
    println!("whole site without claims, per second: {reads:.1} reads, {writes:.1} writes");
    println!(
        "calls that may not be repeated, per second, within {TARGET_WRITES_PER_SEC} writes and \
         {TARGET_READS_PER_SEC} reads: {:.0}",
        ((TARGET_WRITES_PER_SEC - writes) / first.writes).floor()
    );
    Ok(())
}

fn print(what: &str, calls: Calls) {
    println!("{what}: {:.2} reads, {:.2} writes", calls.reads, calls.writes);
}

/// Returns the numbers of reads and writes that the platform has served.
fn served_calls(platform: &Platform) -> Calls {
    let state = platform.state();
    Calls { reads: state.reads as f64, writes: state.writes as f64 }
}

impl Calls {
    fn since(self, before: Self) -> Self {
        Self { reads: self.reads - before.reads, writes: self.writes - before.writes }
    }
}

/// Returns the numbers of calls that the platform serves while `run` runs.
fn count_calls(
    platform: &Platform,
    run: impl FnOnce() -> anyhow::Result<()>,
) -> anyhow::Result<Calls> {
    let before = served_calls(platform);
    run()?;
    Ok(served_calls(platform).since(before))
}

/// Returns the calls for the claim of one request, or for the repeat of an answered request.
fn claim_calls(repeat: bool) -> anyhow::Result<Calls> {
    let platform = Platform::default();
    if repeat {
        post(&platform, 1)?;
    }
    count_calls(&platform, || post(&platform, 2))
}

fn post(platform: &Platform, by: u64) -> anyhow::Result<()> {
    let key = Key::new(&"w".into(), &"ledger-app".into(), "k")
        .context("the idempotency key is not valid")?;
    let claim = Claim::new(key, by, Fingerprint::new("POST", "/post", b"x"));
    let answer = RecordedAnswer { status: 201, headers: Vec::new(), body: b"booked".to_vec() };
    match claim::begin(platform, platform, claim, CALL_TIMEOUT) {
        BeginOutcome::Claimed(held) => {
            anyhow::ensure!(
                held.record(platform, platform, &answer, CALL_TIMEOUT),
                "the answer was not recorded"
            );
        }
        BeginOutcome::Recorded(recorded) => {
            anyhow::ensure!(recorded == answer, "the recorded answer differs")
        }
        other => anyhow::bail!("{other:?}"),
    }
    Ok(())
}

/// Returns the calls per second of a held lease.
fn lease_calls() -> Calls {
    let platform = Platform::default();
    let lease = |i: usize| {
        let holder = Holder { host: host(i), boot: 1 };
        Lease::new(holder, LEASE_TERM, Duration::ZERO, i as u64)
    };
    let mut leases: Vec<Lease> = (0..LEASE_CANDIDATES).map(lease).collect();
    run_leases(&platform, &mut leases, ms(0), secs(30));
    let before = served_calls(&platform);
    run_leases(&platform, &mut leases, secs(30), COUNTED_TIME);
    let calls = served_calls(&platform).since(before);
    let span = COUNTED_TIME.as_secs_f64();
    Calls { reads: calls.reads / span, writes: calls.writes / span }
}

/// Polls all leases for `span` of virtual time and executes their calls.
fn run_leases(platform: &Platform, leases: &mut [Lease], from: Duration, span: Duration) {
    let steps = (span.as_millis() / POLL_INTERVAL.as_millis()) as u32;
    for now in (0..steps).map(|i| from + POLL_INTERVAL * i) {
        for lease in &mut *leases {
            if let Some(call) = lease.next_call(now) {
                let answer = row::execute(&lease::key("g"), &call, platform, CALL_TIMEOUT);
                lease.handle_answer(now, answer);
            }
        }
    }
}
