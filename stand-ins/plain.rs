//! A plain service whose calls may not be repeated: it counts how often each ran.

use std::{collections::BTreeMap, net, process, sync, thread, time};

use lexopt::ValueExt;
use serde::{Deserialize, Serialize};

mod serve;

const USAGE: &str = "Usage: stand-in-plain [--listen ADDRESS] [--threads N] [--delay-ms MS]

POST /faults {\"slow_ms\":MS, \"die_after\":N, \"die_before\":N, \"fail\":N} sets faults:
  slow_ms     every call takes this long
  die_after   the Nth call from now runs, then the process dies before it answers
  die_before  the process dies at the Nth call from now, before it runs
  fail        the next N calls run and are answered with status 500
GET /counts gives how often each call ran; any other request runs once per arrival.";

struct Args {
    listen: net::SocketAddr,
    threads: usize,
    delay_ms: u64,
}

/// Faults to produce; 0 is none.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    slow_ms: u64,
    die_after: u64,
    die_before: u64,
    fail: u64,
}

/// What ran so far.
#[derive(Clone, Default, Serialize)]
struct Counts {
    /// Runs by Idempotency-Key, or by X-Request-Id where there is none.
    runs: BTreeMap<String, u64>,
    /// Runs by X-Request-Id.
    requests: BTreeMap<String, u64>,
    total: u64,
    in_flight: u64,
    peak: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    counts: Counts,
}

/// What a call is answered with.
#[derive(Serialize)]
struct Answer {
    key: String,
    run: u64,
    path: String,
    echo: String,
}

/// What the faults make of one call.
enum Fate {
    Fine,
    Fail,
    Die,
}

fn main() -> anyhow::Result<()> {
    let args = parse()?;
    let delay = args.delay_ms;
    let state = sync::Mutex::new(State::default());
    serve::run(args.listen, args.threads, move |call| answer(&state, delay, call))
}

fn parse() -> anyhow::Result<Args> {
    let mut args = Args { listen: ([127, 0, 0, 1], 0).into(), threads: 64, delay_ms: 0 };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("listen") => args.listen = parser.value()?.parse()?,
            lexopt::Arg::Long("threads") => args.threads = parser.value()?.parse()?,
            lexopt::Arg::Long("delay-ms") => args.delay_ms = parser.value()?.parse()?,
            lexopt::Arg::Long("help") => {
                println!("{USAGE}");
                process::exit(0);
            }
            arg => return Err(arg.unexpected().into()),
        }
    }
    Ok(args)
}

fn answer(state: &sync::Mutex<State>, delay_ms: u64, call: serve::Call) {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/counts") => {
            let counts = lock(state).counts.clone();
            call.json(200, &counts);
        }
        ("GET", "/health") => call.json(200, &serde_json::json!({"incarnation": incarnation()})),
        ("POST", "/faults") => match serde_json::from_slice(&call.body) {
            Ok(faults) => {
                lock(state).faults = faults;
                call.json(200, &serde_json::json!({}));
            }
            Err(err) => call.json(400, &serde_json::json!({"error": err.to_string()})),
        },
        _ => run(state, delay_ms, call),
    }
}

fn run(state: &sync::Mutex<State>, delay_ms: u64, call: serve::Call) {
    let id = call.header("x-request-id").unwrap_or("").to_owned();
    let key = call.header("idempotency-key").map_or_else(|| id.clone(), str::to_owned);
    let (fate, runs, slow_ms) = begin(&mut lock(state), &key, id);
    thread::sleep(time::Duration::from_millis(delay_ms + slow_ms));
    lock(state).counts.in_flight -= 1;
    let echo = String::from_utf8_lossy(&call.body).into_owned();
    let answer = Answer { key, run: runs, path: call.path.clone(), echo };
    match fate {
        Fate::Fine => call.json(200, &answer),
        Fate::Fail => call.json(500, &answer),
        Fate::Die => process::exit(1),
    }
}

fn begin(state: &mut State, key: &str, id: String) -> (Fate, u64, u64) {
    if due(&mut state.faults.die_before) {
        process::exit(1);
    }
    let fate = match () {
        () if due(&mut state.faults.die_after) => Fate::Die,
        () if state.faults.fail > 0 => {
            state.faults.fail -= 1;
            Fate::Fail
        }
        () => Fate::Fine,
    };
    let counts = &mut state.counts;
    *counts.requests.entry(id).or_default() += 1;
    counts.total += 1;
    counts.in_flight += 1;
    counts.peak = counts.peak.max(counts.in_flight);
    let runs = counts.runs.entry(key.to_owned()).or_default();
    *runs += 1;
    (fate, *runs, state.faults.slow_ms)
}

/// Counts down to a fault; whether it is due now.
fn due(left: &mut u64) -> bool {
    let now = *left == 1;
    *left = left.saturating_sub(1);
    now
}

fn incarnation() -> u32 {
    process::id()
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().expect("no thread panics with the lock held")
}
