//! Stand-in for a model engine: streams deterministic text, batches requests, caches prompt
//! prefixes and is slow and fragile while cold.

use std::{net, process, sync, thread, time};

use lexopt::ValueExt;
use serde::Deserialize;

mod chunks;
mod model;
mod prefix;
mod serve;
mod text;

const USAGE: &str = "Usage: stand-in-engine [OPTIONS]

  --listen ADDRESS     address to listen on (127.0.0.1, with a port that the kernel chooses)
  --threads N          worker threads, one per request in flight (256)
  --tokens N           tokens of an answer when the request has no max_tokens (32)
  --token-ms MS        time between tokens with an empty batch (5)
  --batch N            requests in flight at which the token rate is halved (256)
  --prefill-ms MS      time for each prompt block that is not cached (0)
  --cache-blocks N     capacity of the prompt cache in blocks (4096)
  --cold-ms MS         time for which the engine is cold after a start (0)
  --cold-limit N       requests in flight above which a cold engine crashes (4)
  --check-fences       reject orders with a lower fencing token than an earlier one
  --load-lag-ms MS     age of the load that GET /load reports (100)
  --event-lag-ms MS    age of the newest cache event that is returned (100)
  --event-gap N        omit every Nth cache event; 0 for none (0)

POST /faults {\"cold\":true, \"restart\":true, \"slow\":N, \"fail\":N, \"cut\":N, \"stall\":MS}:
  cold      the engine turns cold without a change of its incarnation
  restart   cuts all streams, changes the incarnation and turns cold
  slow      multiplies the time between tokens by N
  fail      answers the next N requests with status 500 without running them
  cut       cuts each stream after its Nth event from now on
  stall     stops sending tokens for this number of milliseconds from now on";

/// Command-line options of the engine.
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

/// Fields of a completion request's body that the engine reads.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Completion {
    prompt: String,
    stream: bool,
    max_tokens: Option<u64>,
}

/// Request that was admitted to the batch.
struct Job {
    completion: Completion,
    id: String,
    tokens: u64,
    /// Id of the last event that the client has received; 0 if none.
    last_event_id: u64,
    ticket: model::Ticket,
}

fn main() -> anyhow::Result<()> {
    let args = parse_args()?;
    let (listen, threads) = (args.listen, args.threads);
    let engine = sync::Mutex::new(model::Engine::new(args));
    serve::run(listen, threads, move |call| answer(&engine, call))
}

fn parse_args() -> anyhow::Result<Args> {
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

fn answer(engine: &sync::Mutex<model::Engine>, call: serve::Call) {
    let path = call.path.clone();
    match (call.method.as_str(), path.as_str()) {
        ("POST", "/v1/completions") => complete(engine, call),
        ("DELETE", path) if path.starts_with("/v1/requests/") => {
            let found = lock(engine).cancel(&path["/v1/requests/".len()..]);
            call.json(if found { 200 } else { 404 }, &serde_json::json!({"cancelled": found}));
        }
        ("GET", "/health") => {
            let health = lock(engine).health();
            call.json(200, &health);
        }
        ("GET", "/load") => {
            let load = lock(engine).delayed_load();
            call.json(200, &load);
        }
        ("GET", "/counts") => {
            let counts = lock(engine).counts();
            call.json(200, &counts);
        }
        ("GET", path) if path.starts_with("/cache/events") => {
            let after = path.split_once("after=").and_then(|(_, after)| after.parse().ok());
            let events = lock(engine).published_events(after.unwrap_or(0));
            call.json(200, &events);
        }
        ("POST", "/v1/orders") => {
            let fence = call.header("fence").and_then(|fence| fence.parse().ok());
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let accepted = lock(engine).accept_order(fence.unwrap_or(0), body);
            call.json(if accepted { 200 } else { 409 }, &serde_json::json!({"taken": accepted}));
        }
        ("POST", "/faults") => match serde_json::from_slice(&call.body) {
            Ok(faults) => {
                lock(engine).set_faults(&faults);
                call.json(200, &serde_json::json!({}));
            }
            Err(err) => call.json(400, &serde_json::json!({"error": err.to_string()})),
        },
        _ => call.json(404, &serde_json::json!({"error": "unknown path"})),
    }
}

fn complete(engine: &sync::Mutex<model::Engine>, call: serve::Call) {
    let completion: Completion = serde_json::from_slice(&call.body).unwrap_or_default();
    let id = call.header("x-request-id").unwrap_or("").to_owned();
    let last_event_id = call.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let admitted = lock(engine).admit(&id, completion.prompt.as_bytes());
    let Some(ticket) = admitted else {
        return call.json(500, &serde_json::json!({"error": "the engine failed the request"}));
    };
    let tokens = completion.max_tokens.unwrap_or(ticket.tokens);
    thread::sleep(ticket.prefill);
    let job = Job { completion, id, tokens, last_event_id, ticket };
    let ending = match job.completion.stream {
        true => send_stream(engine, &job, call),
        false => send_whole(engine, &job, call),
    };
    lock(engine).remove(&job.id, &job.ticket, ending);
}

/// Streams the answer, one event per token. Event ids start at 1; `[DONE]` has the last one.
fn send_stream(engine: &sync::Mutex<model::Engine>, job: &Job, call: serve::Call) -> model::Ending {
    let Ok(mut tx) = chunks::ChunkedAnswer::start(call.req, "text/event-stream", &[]) else {
        return model::Ending::ClientGone;
    };
    let mut due = time::Instant::now();
    for at in job.last_event_id + 1..=job.tokens {
        match await_token(engine, job, at, &mut due) {
            Some(ending) => {
                tx.abort();
                return ending;
            }
            None if tx.send_chunk(&text::token_event(&job.completion.prompt, at)).is_err() => {
                return model::Ending::ClientGone;
            }
            None => {}
        }
    }
    let sent = match job.last_event_id > job.tokens {
        true => Ok(()),
        false => tx.send_chunk(&text::done_event(job.tokens + 1)),
    };
    match sent.and_then(|()| tx.finish()) {
        Ok(()) => model::Ending::Whole,
        Err(_) => model::Ending::ClientGone,
    }
}

/// Sends the answer in one piece after all tokens are computed.
fn send_whole(engine: &sync::Mutex<model::Engine>, job: &Job, call: serve::Call) -> model::Ending {
    let mut due = time::Instant::now();
    let ended = (1..=job.tokens).find_map(|at| await_token(engine, job, at, &mut due));
    match ended {
        None => call.json(200, &text::whole_answer(&job.completion.prompt, job.tokens)),
        Some(_) => call.json(500, &serde_json::json!({"error": "the engine cut the request"})),
    }
    ended.unwrap_or(model::Ending::Whole)
}

/// Waits until token `at` is computed; returns how the run ended if it ended before that.
fn await_token(
    engine: &sync::Mutex<model::Engine>,
    job: &Job,
    at: u64,
    due: &mut time::Instant,
) -> Option<model::Ending> {
    *due += lock(engine).token_interval();
    thread::sleep(due.saturating_duration_since(time::Instant::now()));
    let stall = lock(engine).remaining_stall();
    thread::sleep(stall);
    *due += stall;
    lock(engine).check_ended(&job.ticket, at - job.last_event_id)
}

fn lock(engine: &sync::Mutex<model::Engine>) -> sync::MutexGuard<'_, model::Engine> {
    engine.lock().expect("no thread panics while it holds the lock")
}
