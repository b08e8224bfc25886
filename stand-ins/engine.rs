//! A model engine: streams deterministic text, batches, caches prefixes, starts cold.

use std::{net, process, sync, thread, time};

use lexopt::ValueExt;
use serde::Deserialize;

mod chunks;
mod model;
mod prefix;
mod serve;
mod text;

const USAGE: &str = "Usage: stand-in-engine [OPTIONS]

  --listen ADDRESS     address; the kernel chooses the port unless given
  --threads N          worker threads, one a request in flight (256)
  --tokens N           tokens of an answer that asks for no max_tokens (32)
  --token-ms MS        time between tokens with an empty batch (5)
  --batch N            requests in flight at which the pace has halved (256)
  --prefill-ms MS      time for each prompt block that is not cached (0)
  --cache-blocks N     prompt blocks that the cache holds (4096)
  --cold-ms MS         time after a start in which the engine is cold (0)
  --cold-limit N       requests in flight that it bears while cold (4)
  --check-fences       refuse orders that carry an old fencing number
  --load-lag-ms MS     age of what GET /load reports (100)
  --event-lag-ms MS    age of the newest cache event given (100)
  --event-gap N        every Nth cache event is lost; 0 for none (0)

POST /faults {\"cold\":true, \"restart\":true, \"slow\":N, \"fail\":N, \"cut\":N, \"stall\":MS}:
  cold      turns cold with no other sign
  restart   cuts all streams, changes the incarnation, turns cold
  slow      stretches the time between tokens N times
  fail      answers the next N requests with status 500; they do not run
  cut       cuts each stream after its Nth event from now on
  stall     stands still for that many milliseconds from now on";

/// What the engine is started with.
pub struct Args {
    listen: net::SocketAddr,
    threads: usize,
    tokens: u64,
    token_ms: f64,
    batch: u64,
    prefill_ms: u64,
    cache_blocks: usize,
    cold_ms: u64,
    cold_limit: u64,
    check_fences: bool,
    load_lag_ms: u64,
    event_lag_ms: u64,
    event_gap: u64,
}

impl Default for Args {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            threads: 256,
            tokens: 32,
            token_ms: 5.0,
            batch: 256,
            prefill_ms: 0,
            cache_blocks: 4096,
            cold_ms: 0,
            cold_limit: 4,
            check_fences: false,
            load_lag_ms: 100,
            event_lag_ms: 100,
            event_gap: 0,
        }
    }
}

/// The part of a completion's body that the engine looks at.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Ask {
    prompt: String,
    stream: bool,
    max_tokens: Option<u64>,
}

/// A request that the batch took in.
struct Job {
    ask: Ask,
    id: String,
    tokens: u64,
    /// Events that the caller already has.
    from: u64,
    ticket: model::Ticket,
}

fn main() -> anyhow::Result<()> {
    let args = parse()?;
    let (listen, threads) = (args.listen, args.threads);
    let model = sync::Mutex::new(model::Model::new(args));
    serve::run(listen, threads, move |call| answer(&model, call))
}

fn parse() -> anyhow::Result<Args> {
    let mut args = Args::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        let lexopt::Arg::Long(name) = arg else { return Err(arg.unexpected().into()) };
        match name.to_owned().as_str() {
            "listen" => args.listen = parser.value()?.parse()?,
            "threads" => args.threads = parser.value()?.parse()?,
            "tokens" => args.tokens = parser.value()?.parse()?,
            "token-ms" => args.token_ms = parser.value()?.parse()?,
            "batch" => args.batch = parser.value()?.parse()?,
            "prefill-ms" => args.prefill_ms = parser.value()?.parse()?,
            "cache-blocks" => args.cache_blocks = parser.value()?.parse()?,
            "cold-ms" => args.cold_ms = parser.value()?.parse()?,
            "cold-limit" => args.cold_limit = parser.value()?.parse()?,
            "check-fences" => args.check_fences = true,
            "load-lag-ms" => args.load_lag_ms = parser.value()?.parse()?,
            "event-lag-ms" => args.event_lag_ms = parser.value()?.parse()?,
            "event-gap" => args.event_gap = parser.value()?.parse()?,
            "help" => {
                println!("{USAGE}");
                process::exit(0);
            }
            name => anyhow::bail!("Unknown option --{name}; see --help."),
        }
    }
    Ok(args)
}

fn answer(model: &sync::Mutex<model::Model>, call: serve::Call) {
    let path = call.path.clone();
    match (call.method.as_str(), path.as_str()) {
        ("POST", "/v1/completions") => complete(model, call),
        ("DELETE", path) if path.starts_with("/v1/requests/") => {
            let found = lock(model).cancel(&path["/v1/requests/".len()..]);
            call.json(if found { 200 } else { 404 }, &serde_json::json!({"cancelled": found}));
        }
        ("GET", "/health") => {
            let health = lock(model).health();
            call.json(200, &health);
        }
        ("GET", "/load") => {
            let load = lock(model).lagging();
            call.json(200, &load);
        }
        ("GET", "/counts") => {
            let counts = lock(model).counts();
            call.json(200, &counts);
        }
        ("GET", path) if path.starts_with("/cache/events") => {
            let after = path.split_once("after=").and_then(|(_, after)| after.parse().ok());
            let events = lock(model).events(after.unwrap_or(0));
            call.json(200, &events);
        }
        ("POST", "/v1/orders") => {
            let fence = call.header("fence").and_then(|fence| fence.parse().ok());
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let taken = lock(model).order(fence.unwrap_or(0), body);
            call.json(if taken { 200 } else { 409 }, &serde_json::json!({"taken": taken}));
        }
        ("POST", "/faults") => match serde_json::from_slice(&call.body) {
            Ok(faults) => {
                lock(model).fault(&faults);
                call.json(200, &serde_json::json!({}));
            }
            Err(err) => call.json(400, &serde_json::json!({"error": err.to_string()})),
        },
        _ => call.json(404, &serde_json::json!({"error": "no such path"})),
    }
}

fn complete(model: &sync::Mutex<model::Model>, call: serve::Call) {
    let ask: Ask = serde_json::from_slice(&call.body).unwrap_or_default();
    let id = call.header("x-request-id").unwrap_or("").to_owned();
    let from = call.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let admitted = lock(model).admit(&id, ask.prompt.as_bytes());
    let Some(ticket) = admitted else {
        return call.json(500, &serde_json::json!({"error": "the engine fell over"}));
    };
    let tokens = ask.max_tokens.unwrap_or(ticket.tokens);
    thread::sleep(ticket.prefill);
    let job = Job { ask, id, tokens, from, ticket };
    let end = match job.ask.stream {
        true => stream(model, &job, call),
        false => whole(model, &job, call),
    };
    lock(model).leave(&job.id, &job.ticket, end);
}

/// Sends one event a step; the event ids count from 1, `[DONE]` has the last.
fn stream(model: &sync::Mutex<model::Model>, job: &Job, call: serve::Call) -> model::End {
    let Ok(mut tx) = chunks::ChunkedAnswer::start(call.req, "text/event-stream") else {
        return model::End::Gone;
    };
    let mut due = time::Instant::now();
    for at in job.from + 1..=job.tokens {
        match step(model, job, at, &mut due) {
            Some(end) => {
                tx.abort();
                return end;
            }
            None if tx.send_chunk(&text::event(&job.ask.prompt, at)).is_err() => {
                return model::End::Gone;
            }
            None => {}
        }
    }
    let done = match job.from > job.tokens {
        true => Ok(()),
        false => tx.send_chunk(&text::done(job.tokens + 1)),
    };
    match done.and_then(|()| tx.finish()) {
        Ok(()) => model::End::Whole,
        Err(_) => model::End::Gone,
    }
}

fn whole(model: &sync::Mutex<model::Model>, job: &Job, call: serve::Call) -> model::End {
    let mut due = time::Instant::now();
    let broken = (1..=job.tokens).find_map(|at| step(model, job, at, &mut due));
    match broken {
        None => call.json(200, &text::whole(&job.ask.prompt, job.tokens)),
        Some(_) => call.json(500, &serde_json::json!({"error": "the request was broken off"})),
    }
    broken.unwrap_or(model::End::Whole)
}

/// Waits for the step that makes token `at`; the end if the request is over.
fn step(
    model: &sync::Mutex<model::Model>,
    job: &Job,
    at: u64,
    due: &mut time::Instant,
) -> Option<model::End> {
    *due += lock(model).pace();
    thread::sleep(due.saturating_duration_since(time::Instant::now()));
    let stall = lock(model).stalled();
    thread::sleep(stall);
    *due += stall;
    lock(model).fate(&job.ticket, at - job.from)
}

fn lock(model: &sync::Mutex<model::Model>) -> sync::MutexGuard<'_, model::Model> {
    model.lock().expect("no thread panics with the lock held")
}
