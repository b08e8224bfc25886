//! A small site of real processes on loopback: platform, backend servers, sidecars, entries.

use std::{
    fmt, fs,
    io::{BufRead, BufReader, Read},
    net, process, thread, time,
};

use knapweedford::{config, daemon};

pub use crate::starter::TOKEN;
use crate::starter::{DaemonOptions, Starter};

/// Bound on anything that is waited for; generous, since the machine may be busy.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Pause between two looks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A running process; killed by its id when dropped.
pub struct Process {
    child: process::Child,
    /// Address that it announced.
    pub address: net::SocketAddr,
}

impl Process {
    /// Takes over a process that is reached at `at`.
    pub fn new(child: process::Child, at: net::SocketAddr) -> Self {
        Self { child, address: at }
    }

    /// Starts a stand-in, which announces its address on its standard output.
    pub fn stand_in(program: &str, args: &[&str]) -> Self {
        let mut child = process::Command::new(program)
            .args(args)
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let at = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        Self { child, address: at }
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = process::Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the process's own end.
    pub fn wait_for_exit(&mut self) -> process::ExitStatus {
        wait_until("the process ends", || self.child.try_wait().unwrap())
    }

    /// Memory in use, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Sets faults of a stand-in.
    pub fn set_faults(&self, faults: &str) {
        let answer = post(self.address, "/faults", &[], faults);
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    /// What a stand-in counted.
    pub fn counts(&self) -> serde_json::Value {
        let answer = wait_until("the stand-in counts", || {
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

/// A process of the system.
pub struct Daemon {
    /// The process; `at` is the callers' port of an entry, the peers' port of a sidecar.
    pub process: Process,
    /// All its addresses.
    pub ports: daemon::Ports,
}

impl Daemon {
    /// Gives the operators' port an order.
    pub fn post_order(&self, path: &str, body: &str) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        post(self.ports.operators, path, &[("Authorization", &bearer)], body)
    }

    /// The state that the process gives on request; `None` if it does not answer.
    pub fn dump(&self) -> Option<serde_json::Value> {
        let bearer = format!("Bearer {TOKEN}");
        let answer = call("GET", self.ports.operators, "/dump", &[("Authorization", &bearer)], "");
        (answer.status == 200).then(|| answer.json())
    }
}

/// What a caller received.
#[derive(Clone)]
pub struct Answer {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Header `Ran`.
    pub ran: String,
    /// Header `Retry-After`.
    pub retry_after: Option<u64>,
    /// The bytes of the body.
    pub body: Vec<u8>,
    /// Whether the body broke off before its end.
    pub truncated: bool,
    /// Why no answer came, as the transport says it.
    pub transport_error: String,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self { status, ran, retry_after, truncated: cut, transport_error: fault, .. }, len) =
            (self, self.body.len());
        let text = self.text();
        let head: String = text.chars().take(200).collect();
        write!(
            f,
            "{status} ran={ran} retry_after={retry_after:?} cut={cut} {len} bytes: {head}{fault}"
        )
    }
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Whether the whole answer came.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && !self.truncated
    }
}

/// Sends a GET.
pub fn get(at: net::SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    call("GET", at, path, headers, "")
}

/// Sends a POST.
pub fn post(at: net::SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    call("POST", at, path, headers, body)
}

/// A caller that keeps connections open.
pub fn http_client() -> ureq::Agent {
    let cfg = ureq::Agent::config_builder().http_status_as_error(false).proxy(None);
    cfg.timeout_global(Some(WAIT_TIMEOUT)).build().new_agent()
}

/// A request to the process at `at`.
pub fn build_request(
    method: &str,
    at: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> http::Request<String> {
    let mut req = http::Request::builder().method(method).uri(format!("http://{at}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.body(body.to_owned()).unwrap()
}

/// Sends a request and reads the answer to its end.
pub fn call(
    method: &str,
    at: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let nothing = |err: ureq::Error| Answer {
        status: 0,
        ran: String::new(),
        retry_after: None,
        body: Vec::new(),
        truncated: true,
        transport_error: err.to_string(),
    };
    let res = match http_client().run(build_request(method, at, path, headers, body)) {
        Ok(res) => res,
        Err(err) => return nothing(err),
    };
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (status, ran) = (res.status().as_u16(), header("ran"));
    let retry_after = header("retry-after").parse().ok();
    let mut body = Vec::new();
    let cut = res.into_body().into_reader().read_to_end(&mut body).is_err();
    Answer { status, ran, retry_after, body, truncated: cut, transport_error: String::new() }
}

/// Looks until `seen` gives something.
pub fn wait_until<T>(what: &str, mut seen: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match seen() {
            Some(value) => return value,
            None if time::Instant::now() > end => panic!("waited in vain: {what}"),
            None => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// How many processes of each kind a site has, and how its stand-ins are started.
pub struct SiteOptions<'a> {
    /// Entries.
    pub entries: usize,
    /// Model engines, each with a sidecar.
    pub engines: usize,
    /// Options of each engine.
    pub engine_args: &'a [&'a str],
    /// Plain servers, each with a sidecar.
    pub plain_servers: usize,
    /// Options of each plain server.
    pub plain_server_args: &'a [&'a str],
    /// Time for which the balancer lags, in milliseconds.
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

/// A running site.
pub struct Site {
    /// The platform's stand-in.
    pub platform: Process,
    /// Model engines.
    pub engines: Vec<Process>,
    /// Plain servers.
    pub plain_servers: Vec<Process>,
    /// Sidecars, first of the engines, then of the plain servers.
    pub sidecars: Vec<Daemon>,
    /// Entries.
    pub entries: Vec<Daemon>,
    balancer_lag_ms: u64,
    starter: Starter,
}

impl Site {
    /// Starts the processes and waits until the configuration is in force in each.
    pub fn start(plan: &SiteOptions) -> Self {
        let starter = Starter::new("site");
        let engine = || Process::stand_in(env!("CARGO_BIN_EXE_stand-in-engine"), plan.engine_args);
        let plain =
            || Process::stand_in(env!("CARGO_BIN_EXE_stand-in-plain"), plan.plain_server_args);
        let mut site = Self {
            platform: Process::stand_in(env!("CARGO_BIN_EXE_stand-in-platform"), &[]),
            engines: (0..plan.engines).map(|_| engine()).collect(),
            plain_servers: (0..plan.plain_servers).map(|_| plain()).collect(),
            sidecars: Vec::new(),
            entries: Vec::new(),
            balancer_lag_ms: plan.balancer_lag_ms,
            starter,
        };
        for at in 0..plan.engines + plan.plain_servers {
            let sidecar = site.start_sidecar(at);
            site.sidecars.push(sidecar);
        }
        for at in 0..plan.entries {
            let entry = site.start_entry(at);
            site.entries.push(entry);
        }
        let text = site.text();
        config::parse(&text).unwrap();
        wait_until("the text is accepted", || {
            (site.post_order(0, "/apply", &text).status == 200).then_some(())
        });
        site.wait_until_ready(1);
        site
    }

    /// Starts a sidecar beside backend server `at` and lists it with the platform.
    pub fn start_sidecar(&self, at: usize) -> Daemon {
        let server = self.server(at);
        let backend = self.engines.iter().chain(&self.plain_servers).nth(at).unwrap().address;
        let url = format!("http://{backend}");
        self.daemon(&format!("host-{server}"), at, Some((&server, &url)))
    }

    /// Starts entry `at` and lists it with the platform.
    pub fn start_entry(&self, at: usize) -> Daemon {
        self.daemon(&format!("host-entry-{at}"), at, None)
    }

    /// Log lines of all processes of the system.
    pub fn logs(&self) -> String {
        self.starter.logs()
    }

    /// Gives the operators' port of entry `entry` an order.
    pub fn post_order(&self, entry: usize, path: &str, body: &str) -> Answer {
        self.entries[entry].post_order(path, body)
    }

    /// Whether every process holds `zone` to be out.
    pub fn is_zone_out_everywhere(&self, zone: &str) -> bool {
        let out = |daemon: &Daemon| {
            let zones = daemon.dump().map(|dump| dump["out"]["zones"].clone());
            zones.is_some_and(|zones| zones.as_array().unwrap().iter().any(|out| out == zone))
        };
        self.sidecars.iter().chain(&self.entries).all(out)
    }

    /// Waits until every process has `version` in force and every sidecar reaches its server.
    pub fn wait_until_ready(&self, version: u64) {
        for daemon in self.sidecars.iter().chain(&self.entries) {
            wait_until("the configuration is in force", || {
                let dump = daemon.dump()?;
                let reaches = dump["role"] == "entry" || dump["reachable"] == true;
                (dump["version"].as_u64() >= Some(version) && reaches).then_some(())
            });
        }
        let all = (self.sidecars.len() + self.entries.len()) as u64;
        for entry in &self.entries {
            wait_until("the entry is ready and knows all", || {
                let ready = get(entry.process.address, "/readyz", &[]).status == 200;
                let members = entry.dump()?["agreement"]["members"]["alive"].as_u64();
                (ready && members >= Some(all)).then_some(())
            });
        }
    }

    /// Streams a completion of `tokens` tokens through entry `entry`.
    pub fn stream_completion(&self, entry: usize, prompt: &str, tokens: u64) -> Answer {
        stream_completion(self.entries[entry].process.address, "/writer", prompt, tokens)
    }

    /// A further engine, to ask for right answers directly.
    pub fn start_reference_engine(&self) -> Process {
        Process::stand_in(env!("CARGO_BIN_EXE_stand-in-engine"), &["--token-ms", "0"])
    }

    /// The right answer to the same request, from an engine directly.
    pub fn expected_answer(&self, prompt: &str, tokens: u64) -> Vec<u8> {
        let engine = self.start_reference_engine();
        let answer = stream_completion(engine.address, "", prompt, tokens);
        assert!(answer.is_complete());
        answer.body
    }

    /// Posts to the plain service, which must not run it twice, under `key`.
    pub fn post_to_ledger(&self, entry: usize, key: &str, body: &str) -> Answer {
        let headers = [("Workspace", "w"), ("Idempotency-Key", key)];
        post(self.entries[entry].process.address, "/ledger/postings", &headers, body)
    }

    /// Runs of `key` over all plain servers that are alive.
    pub fn posting_runs(&self, key: &str) -> u64 {
        let runs = |plain: &Process| plain.counts()["runs"][key].as_u64().unwrap_or(0);
        self.plain_servers.iter().map(runs).sum()
    }

    /// Runs that engine `at` began.
    pub fn engine_runs(&self, at: usize) -> u64 {
        let counts = self.engines[at].counts();
        let requests = counts["requests"].as_object().unwrap();
        requests.values().map(|request| request["runs"].as_u64().unwrap()).sum()
    }

    /// Sum of the count `name` over all engines.
    pub fn sum_engine_counts(&self, name: &str) -> u64 {
        self.engines.iter().map(|engine| engine.counts()[name].as_u64().unwrap()).sum()
    }

    fn server(&self, at: usize) -> String {
        match at.checked_sub(self.engines.len()) {
            None => format!("writer-{at}"),
            Some(at) => format!("ledger-{at}"),
        }
    }

    fn daemon(&self, host: &str, at: usize, server: Option<(&str, &str)>) -> Daemon {
        let post = DaemonOptions {
            host,
            zone: zone_of(at),
            server,
            balancer_lag_ms: self.balancer_lag_ms,
            seeds: &[],
        };
        self.starter.start(&self.platform, &post)
    }

    fn text(&self) -> String {
        let servers: String = (0..self.engines.len() + self.plain_servers.len())
            .map(|at| {
                let server = self.server(at);
                let service = server.split('-').next().unwrap();
                format!("  {server}: {{service: {service}, zone: {}}}\n", zone_of(at))
            })
            .collect();
        let writer = if self.engines.is_empty() { "" } else { WRITER };
        let ledger = if self.plain_servers.is_empty() { "" } else { LEDGER };
        format!("{ZONES}{writer}{ledger}servers:\n{servers}")
    }
}

/// Availability zone of the `at`th process of a kind.
pub fn zone_of(at: usize) -> &'static str {
    ["north", "east", "south"][at % 3]
}

/// Streams a completion at `root` of `at`.
pub fn stream_completion(at: net::SocketAddr, root: &str, prompt: &str, tokens: u64) -> Answer {
    let body = serde_json::json!({"prompt": prompt, "stream": true, "max_tokens": tokens});
    post(at, &format!("{root}/v1/completions"), &[("Workspace", "w")], &body.to_string())
}

const ZONES: &str = "zones: {north: {}, east: {}, south: {}}\nservices:\n";
const WRITER: &str = "  writer:
    kind: model-group
    calls:
      - {method: POST, path: /v1/completions, repeatable: true, deadline-ms: 50000}
    limits: {in-flight-per-server: 64}
    group: {ranks: 6, experts: 12, layers: 1, slots-per-rank: 4, expert-bytes: 1000}
";
const LEDGER: &str = "  ledger:
    kind: plain
    calls:
      - {method: GET, path: /, repeatable: true, deadline-ms: 20000}
      - {method: POST, path: /postings, repeatable: false, deadline-ms: 20000}
    limits: {in-flight-per-server: 64}
";
