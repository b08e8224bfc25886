//! Stand-in for a plain backend server whose calls must not run twice; counts the runs of each
//! call.

use std::{collections::BTreeMap, net, process, sync, thread, time};

use lexopt::ValueExt;
use serde::{Deserialize, Serialize};

mod serve;

const USAGE: &str = "Usage: stand-in-plain [--listen ADDRESS] [--threads N] [--delay-ms MS]

POST /faults {\"slow_ms\":MS, \"die_after\":N, \"die_before\":N, \"fail\":N} sets faults:
  slow_ms     additional duration of each call
  die_after   the process exits after it ran the Nth call from now, before it answers
  die_before  the process exits when it receives the Nth call from now, before it runs it
  fail        the next N calls run and are answered with status 500
GET /counts returns how often each call ran; any other request runs each time it is received.";

struct Args {
    listen: net::SocketAddr,
    threads: usize,
    delay_ms: u64,
}

/// Faults that the server produces; 0 for none. The usage text explains each.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    slow_ms: u64,
    die_after: u64,
    die_before: u64,
    fail: u64,
}

/// Answer to `GET /counts`.
#[derive(Clone, Default, Serialize)]
struct Counts {
    /// Number of runs by Idempotency-Key, or by X-Request-Id for requests without a key.
    runs: BTreeMap<String, u64>,
    /// Number of runs by X-Request-Id.
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

/// Body of the answer to a call.
#[derive(Serialize)]
struct Answer {
    key: String,
    run: u64,
    path: String,
    echo: String,
}

/// How one call ends; the faults decide.
enum Ending {
    Success,
    Failure,
    Exit,
}

fn main() -> anyhow::Result<()> {
    let args = parse_args()?;
    let delay = args.delay_ms;
    let state = sync::Mutex::new(State::default());
    serve::run(args.listen, args.threads, move |call| answer(&state, delay, call))
}

fn parse_args() -> anyhow::Result<Args> {
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
        _ => run_call(state, delay_ms, call),
    }
}

fn run_call(state: &sync::Mutex<State>, delay_ms: u64, call: serve::Call) {
    let id = call.header("x-request-id").unwrap_or("").to_owned();
    let key = call.header("idempotency-key").map_or_else(|| id.clone(), str::to_owned);
    let (ending, runs, slow_ms) = start_run(&mut lock(state), &key, id);
    thread::sleep(time::Duration::from_millis(delay_ms + slow_ms));
    lock(state).counts.in_flight -= 1;
    let echo = String::from_utf8_lossy(&call.body).into_owned();
    let answer = Answer { key, run: runs, path: call.path.clone(), echo };
    match ending {
        Ending::Success => call.json(200, &answer),
        Ending::Failure => call.json(500, &answer),
        Ending::Exit => process::exit(1),
    }
}

fn start_run(state: &mut State, key: &str, id: String) -> (Ending, u64, u64) {
    if count_down(&mut state.faults.die_before) {
        process::exit(1);
    }
    let ending = match () {
        () if count_down(&mut state.faults.die_after) => Ending::Exit,
        () if state.faults.fail > 0 => {
            state.faults.fail -= 1;
            Ending::Failure
        }
        () => Ending::Success,
    };
    let counts = &mut state.counts;
    *counts.requests.entry(id).or_default() += 1;
    counts.total += 1;
    counts.in_flight += 1;
    counts.peak = counts.peak.max(counts.in_flight);
    let runs = counts.runs.entry(key.to_owned()).or_default();
    *runs += 1;
    (ending, *runs, state.faults.slow_ms)
}

/// Decrements the number of calls left until a fault; returns whether the fault is due now.
fn count_down(calls_left: &mut u64) -> bool {
    let due = *calls_left == 1;
    *calls_left = calls_left.saturating_sub(1);
    due
}

fn incarnation() -> u32 {
    process::id()
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().expect("no thread panics while it holds the lock")
}
