//! A small site of real processes on loopback: stand-ins for the platform and the backend servers,
//! sidecars and entries.

use std::{
    fmt, fs,
    io::{BufRead, BufReader, Read},
    net, process, thread, time,
};

use knapweedford::{config, daemon};

pub use crate::starter::TOKEN;
use crate::starter::{DaemonOptions, Starter};

/// Longest time to wait for any condition; generous, since the machine may be busy.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Returns an address that refuses connections as long as the socket is kept, so that no listener of
/// another test gets its port.
pub fn refusing_address() -> (tokio::net::TcpSocket, net::SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(net::SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// A running process, which is killed when the value is dropped.
pub struct Process {
    child: process::Child,
    /// Address that the process listens on.
    pub address: net::SocketAddr,
}

impl Process {
    /// Takes ownership of a process that listens on `address`.
    pub fn new(child: process::Child, address: net::SocketAddr) -> Self {
        Self { child, address }
    }

    /// Starts a stand-in, which prints its address on its standard output.
    pub fn stand_in(program: &str, args: &[&str]) -> Self {
        let mut child = process::Command::new(program)
            .args(args)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        Self { child, address }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = process::Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.unwrap().success());
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits by itself.
    pub fn wait_for_exit(&mut self) -> process::ExitStatus {
        wait_until("the process ends", || self.child.try_wait().unwrap())
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Sets the faults of a stand-in, as JSON.
    pub fn set_faults(&self, faults: &str) {
        let answer = post(self.address, "/faults", &[], faults);
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// Returns the counters of a stand-in.
    pub fn counts(&self) -> serde_json::Value {
        let answer = wait_until("the stand-in returns its counts", || {
            let answer = get(self.address, "/counts", &[]);
            if !answer.is_complete() {
                eprintln!("counts: {answer:?}");
            }
            answer.is_complete().then_some(answer)
        });
        answer.json()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A process of the system under test.
pub struct Daemon {
    /// The process; its address is the callers' port of an entry, the peers' port of a sidecar.
    pub process: Process,
    /// All addresses of the process.
    pub ports: daemon::Ports,
}

impl Daemon {
    /// Posts an order to the operators' port.
    pub fn post_order(&self, path: &str, body: &str) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        post(self.ports.operators, path, &[("Authorization", &bearer)], body)
    }

    /// Returns the dump of the process; `None` if it does not answer.
    pub fn dump(&self) -> Option<serde_json::Value> {
        let bearer = format!("Bearer {TOKEN}");
        let answer = call("GET", self.ports.operators, "/dump", &[("Authorization", &bearer)], "");
        (answer.status == 200).then(|| answer.json())
    }
}

/// An answer as the caller received it.
#[derive(Clone)]
pub struct Answer {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Value of the header `Ran`.
    pub ran: String,
    /// Value of the header `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Body of the answer.
    pub body: Vec<u8>,
    /// Whether the body broke off before its end, or no answer came.
    pub truncated: bool,
    /// Error of the transport if no answer came, else empty.
    pub transport_error: String,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self { status, ran, retry_after, truncated, transport_error, .. }, len) =
            (self, self.body.len());
        let text = self.text();
        let head: String = text.chars().take(200).collect();
        write!(
            f,
            "{status} ran={ran} retry_after={retry_after:?} truncated={truncated} {len} bytes: \
             {head}{transport_error}"
        )
    }
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Whether the answer has status 200 and arrived whole.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && !self.truncated
    }
}

/// Sends a GET request and reads the answer to its end.
pub fn get(address: net::SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    call("GET", address, path, headers, "")
}

/// Sends a POST request and reads the answer to its end.
pub fn post(address: net::SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    call("POST", address, path, headers, body)
}

/// Returns an HTTP client that keeps connections open.
pub fn http_client() -> ureq::Agent {
    let cfg = ureq::Agent::config_builder().http_status_as_error(false).proxy(None);
    cfg.timeout_global(Some(WAIT_TIMEOUT)).build().new_agent()
}

/// Returns a request to the process at `address`.
pub fn build_request(
    method: &str,
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> http::Request<String> {
    let mut req = http::Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(body.to_owned()).unwrap()
}

/// Sends a request and reads the answer to its end.
pub fn call(
    method: &str,
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let no_answer = |err: ureq::Error| Answer {
        status: 0,
        ran: String::new(),
        retry_after: None,
        body: Vec::new(),
        truncated: true,
        transport_error: err.to_string(),
    };
    let res = match http_client().run(build_request(method, address, path, headers, body)) {
        Ok(res) => res,
        Err(err) => return no_answer(err),
    };
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (status, ran) = (res.status().as_u16(), header("ran"));
    let retry_after = header("retry-after").parse().ok();
    let mut body = Vec::new();
    let truncated = res.into_body().into_reader().read_to_end(&mut body).is_err();
    Answer { status, ran, retry_after, body, truncated, transport_error: String::new() }
}

/// Calls `check` until it returns a value, and returns that value. Panics with `what` after
/// [`WAIT_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match check() {
            Some(value) => return value,
            None if time::Instant::now() > deadline => {
                panic!("timed out while waiting for: {what}")
            }
            None => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Number of processes of each kind in a site, and options of its stand-ins.
pub struct SiteOptions<'a> {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines, each with a sidecar.
    pub engines: usize,
    /// Command line options of each engine.
    pub engine_args: &'a [&'a str],
    /// Number of plain servers, each with a sidecar.
    pub plain_servers: usize,
    /// Command line options of each plain server.
    pub plain_server_args: &'a [&'a str],
    /// Time until the balancer notices that an entry is not ready, in milliseconds.
    pub balancer_lag_ms: u64,
}

impl Default for SiteOptions<'_> {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: 2,
            engine_args: &[],
            plain_servers: 0,
            plain_server_args: &[],
            balancer_lag_ms: 200,
        }
    }
}

/// A running site; its processes are killed when the value is dropped.
pub struct Site {
    /// Stand-in for the platform.
    pub platform: Process,
    /// Stand-ins for model engines.
    pub engines: Vec<Process>,
    /// Stand-ins for plain servers.
    pub plain_servers: Vec<Process>,
    /// Sidecars, first those of the engines, then those of the plain servers.
    pub sidecars: Vec<Daemon>,
    /// Entries.
    pub entries: Vec<Daemon>,
    balancer_lag_ms: u64,
    starter: Starter,
}

impl Site {
    /// Starts the processes and waits until the configuration is in force in each.
    pub fn start(options: &SiteOptions) -> Self {
        let starter = Starter::new("site");
        let engine =
            || Process::stand_in(env!("CARGO_BIN_EXE_stand-in-engine"), options.engine_args);
        let plain =
            || Process::stand_in(env!("CARGO_BIN_EXE_stand-in-plain"), options.plain_server_args);
        let mut site = Self {
            platform: Process::stand_in(env!("CARGO_BIN_EXE_stand-in-platform"), &[]),
            engines: (0..options.engines).map(|_| engine()).collect(),
            plain_servers: (0..options.plain_servers).map(|_| plain()).collect(),
            sidecars: Vec::new(),
            entries: Vec::new(),
            balancer_lag_ms: options.balancer_lag_ms,
            starter,
        };
        for index in 0..options.engines + options.plain_servers {
            let sidecar = site.start_sidecar(index);
            site.sidecars.push(sidecar);
        }
        for index in 0..options.entries {
            let entry = site.start_entry(index);
            site.entries.push(entry);
        }
        let text = site.config_text();
        config::parse(&text).unwrap();
        wait_until("the configuration is accepted", || {
            (site.post_order(0, "/apply", &text).status == 200).then_some(())
        });
        site.wait_until_ready(1);
        site
    }

    /// Starts the sidecar of the backend server with this index and registers it in the platform's
    /// host list.
    pub fn start_sidecar(&self, index: usize) -> Daemon {
        let server = self.server_name(index);
        let backend = self.engines.iter().chain(&self.plain_servers).nth(index).unwrap().address;
        let url = format!("http://{backend}");
        self.start_daemon(&format!("host-{server}"), index, Some((&server, &url)))
    }

    /// Starts the entry with this index and registers it in the platform's host list.
    pub fn start_entry(&self, index: usize) -> Daemon {
        self.start_daemon(&format!("host-entry-{index}"), index, None)
    }

    /// Returns the log lines of all processes of the system under test.
    pub fn logs(&self) -> String {
        self.starter.logs()
    }

    /// Posts an order to the operators' port of the entry with this index.
    pub fn post_order(&self, entry: usize, path: &str, body: &str) -> Answer {
        self.entries[entry].post_order(path, body)
    }

    /// Whether every process has `zone` out of service.
    pub fn is_zone_out_everywhere(&self, zone: &str) -> bool {
        let is_out = |daemon: &Daemon| {
            let zones = daemon.dump().map(|dump| dump["out"]["zones"].clone());
            zones.is_some_and(|zones| zones.as_array().unwrap().iter().any(|out| out == zone))
        };
        self.sidecars.iter().chain(&self.entries).all(is_out)
    }

    /// Waits until every process has `version` in force and every sidecar reaches its server.
    pub fn wait_until_ready(&self, version: u64) {
        for daemon in self.sidecars.iter().chain(&self.entries) {
            wait_until("the configuration is in force", || {
                let dump = daemon.dump()?;
                let is_reachable = dump["role"] == "entry" || dump["reachable"] == true;
                (dump["version"].as_u64() >= Some(version) && is_reachable).then_some(())
            });
        }
        let process_count = (self.sidecars.len() + self.entries.len()) as u64;
        for entry in &self.entries {
            wait_until("the entry is ready and knows all processes", || {
                let is_ready = get(entry.process.address, "/readyz", &[]).status == 200;
                let members = entry.dump()?["agreement"]["members"]["alive"].as_u64();
                (is_ready && members >= Some(process_count)).then_some(())
            });
        }
    }

    /// Streams a completion of `tokens` tokens through the entry with this index.
    pub fn stream_completion(&self, entry: usize, prompt: &str, tokens: u64) -> Answer {
        stream_completion(self.entries[entry].process.address, "/writer", prompt, tokens)
    }

    /// Starts a further engine, which tests ask directly for the expected answers.
    pub fn start_reference_engine(&self) -> Process {
        Process::stand_in(env!("CARGO_BIN_EXE_stand-in-engine"), &["--token-ms", "0"])
    }

    /// Returns the expected answer to a completion, fetched from an engine without the system.
    pub fn expected_answer(&self, prompt: &str, tokens: u64) -> Vec<u8> {
        let engine = self.start_reference_engine();
        let answer = stream_completion(engine.address, "", prompt, tokens);
        assert!(answer.is_complete());
        answer.body
    }

    /// Posts to the plain service with `key` as idempotency key; the service must not run it twice.
    pub fn post_to_ledger(&self, entry: usize, key: &str, body: &str) -> Answer {
        let headers = [("Workspace", "w"), ("Idempotency-Key", key)];
        post(self.entries[entry].process.address, "/ledger/postings", &headers, body)
    }

    /// Returns how often the posting with `key` ran, over all plain servers that are alive.
    pub fn posting_runs(&self, key: &str) -> u64 {
        let runs = |plain: &Process| plain.counts()["runs"][key].as_u64().unwrap_or(0);
        self.plain_servers.iter().map(runs).sum()
    }

    /// Returns the number of runs that the engine with this index began.
    pub fn engine_runs(&self, index: usize) -> u64 {
        let counts = self.engines[index].counts();
        let requests = counts["requests"].as_object().unwrap();
        requests.values().map(|request| request["runs"].as_u64().unwrap()).sum()
    }

    /// Returns the sum of the counter `name` over all engines.
    pub fn sum_engine_counts(&self, name: &str) -> u64 {
        self.engines.iter().map(|engine| engine.counts()[name].as_u64().unwrap()).sum()
    }

    fn server_name(&self, index: usize) -> String {
        match index.checked_sub(self.engines.len()) {
            None => format!("writer-{index}"),
            Some(index) => format!("ledger-{index}"),
        }
    }

    fn start_daemon(&self, host: &str, index: usize, server: Option<(&str, &str)>) -> Daemon {
        let options = DaemonOptions {
            host,
            zone: zone_of(index),
            server,
            balancer_lag_ms: self.balancer_lag_ms,
            seeds: &[],
        };
        self.starter.start(&self.platform, &options)
    }

    fn config_text(&self) -> String {
        let servers: String = (0..self.engines.len() + self.plain_servers.len())
            .map(|index| {
                let server = self.server_name(index);
                let service = server.split('-').next().unwrap();
                format!("  {server}: {{service: {service}, zone: {}}}\n", zone_of(index))
            })
            .collect();
        let writer = if self.engines.is_empty() { "" } else { WRITER_TEXT };
        let ledger = if self.plain_servers.is_empty() { "" } else { LEDGER_TEXT };
        format!("{ZONES_TEXT}{writer}{ledger}servers:\n{servers}")
    }
}

/// Returns the availability zone of the process with this index among those of its kind.
pub fn zone_of(index: usize) -> &'static str {
    ["north", "east", "south"][index % 3]
}

/// Streams a completion from the process at `address`, with `root` before the path.
pub fn stream_completion(
    address: net::SocketAddr,
    root: &str,
    prompt: &str,
    tokens: u64,
) -> Answer {
    let body = serde_json::json!({"prompt": prompt, "stream": true, "max_tokens": tokens});
    post(address, &format!("{root}/v1/completions"), &[("Workspace", "w")], &body.to_string())
}

const ZONES_TEXT: &str = "zones: {north: {}, east: {}, south: {}}\nservices:\n";
const WRITER_TEXT: &str = "  writer:
    kind: model-group
    calls:
      - {method: POST, path: /v1/completions, repeatable: true, deadline-ms: 50000}
    limits: {in-flight-per-server: 64}
    group: {ranks: 6, experts: 12, layers: 1, slots-per-rank: 4, expert-bytes: 1000}
";
const LEDGER_TEXT: &str = "  ledger:
    kind: plain
    calls:
      - {method: GET, path: /, repeatable: true, deadline-ms: 20000}
      - {method: POST, path: /postings, repeatable: false, deadline-ms: 20000}
    limits: {in-flight-per-server: 64}
";
