//! Stand-in for the platform's table, object store, host list and weight store, all in memory.
//!
//! Prints `listening ADDRESS` when it accepts requests. `POST /faults` makes it slow or
//! unavailable, or makes it lose answers to writes; `GET /counts` returns the number of requests by
//! kind.

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{Arc, Mutex, MutexGuard},
    thread, time,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3;

mod nudge;

/// Number of threads; a delayed answer occupies one for the delay.
const THREADS: usize = 32;

/// Size of one file of weights, in bytes.
const WEIGHT_BYTES: usize = 64 << 10;

/// Faults that the stand-in produces.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Whether table, object store, host list and weight store answer with status 503.
    down: bool,
    /// Delay before each answer, in milliseconds.
    slow_ms: u64,
    /// Probability that a write takes effect but is answered with status 504.
    lose_answer: f64,
    /// Seed of the random choice of the answers to lose.
    seed: u64,
    /// Delay until a change of the host list becomes visible, in milliseconds.
    hosts_lag_ms: u64,
    /// Maximum number of files of weights returned per second; 0 for no limit.
    weights_per_second: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            lose_answer: 0.0,
            seed: 1,
            hosts_lag_ms: 0,
            weights_per_second: 0,
        }
    }
}

/// Answer to `GET /counts`.
#[derive(Clone, Debug, Default, Serialize)]
struct Counts {
    reads: u64,
    writes: u64,
    refused: u64,
    lost: u64,
    unavailable: u64,
    lists: u64,
    objects: u64,
    weights: u64,
}

/// Change of the host list that is not visible yet.
struct HostChange {
    visible_at: time::Instant,
    host: String,
    value: Option<Value>,
}

struct State {
    faults: Faults,
    counts: Counts,
    rng: Pcg64,
    next_tag: u64,
    /// ETag and value of each row.
    rows: BTreeMap<String, (String, String)>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<String, Value>,
    host_changes: Vec<HostChange>,
    weights_window_start: time::Instant,
    weights_in_window: u64,
}

struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Answer {
    fn status(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("answers serialize");
        let headers = vec![("Content-Type", "application/json".into())];
        Self { status: 200, headers, body }
    }

    /// Turns the answer into status 304 if the client has the same ETag already.
    fn unless_known(self, condition: &Condition) -> Self {
        let tag = self.headers.iter().find(|(name, _)| *name == "ETag").map(|(_, tag)| tag);
        match tag.is_some() && tag == condition.known.as_ref() {
            true => Self::status(304),
            false => self,
        }
    }

    fn with_tag(status: u16, tag: &str, body: Vec<u8>) -> Self {
        Self { status, headers: vec![("ETag", tag.into())], body }
    }
}

/// Condition of a request, from its headers If-Match and If-None-Match.
#[derive(Default)]
struct Condition {
    /// Whether the row must not exist (`If-None-Match: *`).
    absent: bool,
    /// ETag that the row must have.
    tag: Option<String>,
    /// Value of If-None-Match: the ETag that the client has.
    known: Option<String>,
}

impl Condition {
    fn from_request(req: &tiny_http::Request) -> Self {
        let mut condition = Self::default();
        for header in req.headers() {
            match header.field.as_str().as_str() {
                name if name.eq_ignore_ascii_case("if-match") => {
                    condition.tag = Some(header.value.to_string());
                }
                name if name.eq_ignore_ascii_case("if-none-match") => {
                    condition.absent = header.value == "*";
                    condition.known = Some(header.value.to_string());
                }
                _ => {}
            }
        }
        condition
    }

    /// Returns whether a write may change a row with `tag`; a row that is absent has none.
    fn holds(&self, tag: Option<&str>) -> bool {
        match &self.tag {
            Some(expected) => tag == Some(expected),
            None => !self.absent || tag.is_none(),
        }
    }
}

impl State {
    fn new() -> Self {
        Self {
            faults: Faults::default(),
            counts: Counts::default(),
            rng: Pcg64::seed_from_u64(1),
            next_tag: 1,
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            hosts: BTreeMap::new(),
            host_changes: Vec::new(),
            weights_window_start: time::Instant::now(),
            weights_in_window: 0,
        }
    }

    fn set_faults(&mut self, body: &[u8]) -> Answer {
        match serde_json::from_slice::<Faults>(body) {
            Ok(faults) => {
                self.rng = Pcg64::seed_from_u64(faults.seed);
                self.faults = faults;
                Answer::json(&self.faults)
            }
            Err(err) => Answer { body: err.to_string().into(), ..Answer::status(400) },
        }
    }

    fn read_row(&mut self, key: &str) -> Answer {
        self.counts.reads += 1;
        match self.rows.get(key) {
            Some((tag, value)) => Answer::with_tag(200, tag, value.clone().into()),
            None => Answer::status(404),
        }
    }

    fn write_row(&mut self, key: &str, condition: &Condition, body: Vec<u8>) -> Answer {
        self.counts.writes += 1;
        let Ok(value) = String::from_utf8(body) else { return Answer::status(400) };
        if !condition.holds(self.rows.get(key).map(|(tag, _)| tag.as_str())) {
            self.counts.refused += 1;
            return Answer::status(412);
        }
        let tag = format!("\"{}\"", self.next_tag);
        self.next_tag += 1;
        self.rows.insert(key.into(), (tag.clone(), value));
        self.lose_sometimes(Answer::with_tag(200, &tag, Vec::new()))
    }

    fn delete_row(&mut self, key: &str, condition: &Condition) -> Answer {
        self.counts.writes += 1;
        match self.rows.get(key) {
            None => Answer::status(404),
            Some((tag, _)) if !condition.holds(Some(tag)) => Answer::status(412),
            Some(_) => {
                self.rows.remove(key);
                self.lose_sometimes(Answer::status(204))
            }
        }
    }

    fn lose_sometimes(&mut self, answer: Answer) -> Answer {
        match self.faults.lose_answer {
            p if p > 0.0 && self.rng.random_bool(p.min(1.0)) => {
                self.counts.lost += 1;
                Answer::status(504)
            }
            _ => answer,
        }
    }

    fn apply_host_changes(&mut self) {
        let now = time::Instant::now();
        let (due, pending) =
            self.host_changes.drain(..).partition(|change| change.visible_at <= now);
        self.host_changes = pending;
        let due: Vec<HostChange> = due;
        for change in due {
            match change.value {
                Some(value) => self.hosts.insert(change.host, value),
                None => self.hosts.remove(&change.host),
            };
        }
    }

    fn list_hosts(&mut self) -> Answer {
        self.counts.lists += 1;
        self.apply_host_changes();
        let answer = Answer::json(&self.hosts.values().collect::<Vec<_>>());
        let tag = format!("\"{:x}\"", xxh3::xxh3_64(&answer.body));
        Answer::with_tag(200, &tag, answer.body)
    }

    fn set_host(&mut self, host: &str, value: Option<Value>) -> Answer {
        let lag = time::Duration::from_millis(self.faults.hosts_lag_ms);
        let visible_at = time::Instant::now() + lag;
        self.host_changes.push(HostChange { visible_at, host: host.into(), value });
        Answer::status(204)
    }

    fn read_weights(&mut self) -> Answer {
        if self.weights_window_start.elapsed() >= time::Duration::from_secs(1) {
            self.weights_window_start = time::Instant::now();
            self.weights_in_window = 0;
        }
        let limit = self.faults.weights_per_second;
        if limit > 0 && self.weights_in_window >= limit {
            let headers = vec![("Retry-After", "1".into())];
            return Answer { headers, ..Answer::status(429) };
        }
        self.weights_in_window += 1;
        self.counts.weights += 1;
        Answer { body: vec![0; WEIGHT_BYTES], ..Answer::status(200) }
    }

    fn serve(&mut self, method: &str, path: &str, condition: &Condition, body: Vec<u8>) -> Answer {
        let (service, key) = path.split_once('/').unwrap_or((path, ""));
        match (method, service, key) {
            ("POST", "faults", "") => self.set_faults(&body),
            ("GET", "counts", "") => Answer::json(&self.counts),
            ("PUT", "hosts", host) => match serde_json::from_slice(&body) {
                Ok(value) => self.set_host(host, Some(value)),
                Err(_) => Answer::status(400),
            },
            ("DELETE", "hosts", host) => self.set_host(host, None),
            _ if self.faults.down => {
                self.counts.unavailable += 1;
                Answer::status(503)
            }
            ("GET", "table", key) => self.read_row(key).unless_known(condition),
            ("PUT", "table", key) => self.write_row(key, condition, body),
            ("DELETE", "table", key) => self.delete_row(key, condition),
            ("GET", "objects", key) => {
                self.counts.objects += 1;
                match self.objects.get(key) {
                    Some(data) => Answer { body: data.clone(), ..Answer::status(200) },
                    None => Answer::status(404),
                }
            }
            ("PUT", "objects", key) => {
                self.counts.objects += 1;
                self.objects.insert(key.into(), body);
                self.lose_sometimes(Answer::status(204))
            }
            ("GET", "hosts", "") => self.list_hosts().unless_known(condition),
            ("GET", "weights", _) => self.read_weights(),
            _ => Answer::status(404),
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread panics while it holds the lock")
}

/// Returns whether the request controls the stand-in itself; such requests are never delayed.
fn is_control(path: &str, method: &str) -> bool {
    matches!(path, "faults" | "counts") || (path.starts_with("hosts/") && method != "GET")
}

fn handle(state: &Mutex<State>, mut req: tiny_http::Request) {
    let mut body = Vec::new();
    if req.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let method = req.method().to_string();
    let path = req.url().trim_start_matches('/').split('?').next().unwrap_or("").to_string();
    let condition = Condition::from_request(&req);
    let answer = lock(state).serve(&method, &path, &condition, body);
    let delay_ms = lock(state).faults.slow_ms;
    if delay_ms > 0 && !is_control(&path, &method) {
        thread::sleep(time::Duration::from_millis(delay_ms));
    }
    let mut res = tiny_http::Response::from_data(answer.body).with_status_code(answer.status);
    for (name, value) in answer.headers {
        let header = tiny_http::Header::from_bytes(name, value.as_bytes());
        res.add_header(header.expect("header names and values are plain text"));
    }
    let _ = req.respond(res);
}

fn main() {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:0".into());
    let server = match tiny_http::Server::http(&address) {
        Ok(server) => Arc::new(server),
        Err(err) => {
            eprintln!("Could not listen on {address}: {err}. Give a free address.");
            std::process::exit(1);
        }
    };
    server.server_addr().to_ip().into_iter().for_each(nudge::start);
    println!("listening {}", server.server_addr());
    let _ = std::io::stdout().flush();
    let state = Arc::new(Mutex::new(State::new()));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (server, state) = (server.clone(), state.clone());
            thread::spawn(move || {
                while let Ok(req) = server.recv() {
                    handle(&state, req);
                }
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
}
