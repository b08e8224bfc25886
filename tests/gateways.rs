//! Test harness that runs gateway processes against stand-ins of the platform's store and servers.

use std::{
    collections::BTreeMap,
    fs,
    io::Write,
    net, path, process,
    sync::{Arc, Mutex, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    agents,
    chunks::ChunkedAnswer,
    processes::{self, Process, wait_until},
    store::Store,
};

/// Host name of all routes.
pub const HOST: &str = "a.example";
/// API key that the configuration accepts.
pub const API_KEY: &str = "key-1";

/// Number of loopback addresses given out, so that each is used once.
static ADDRESS_COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(1);
/// Number of addresses given out that share their first three bytes.
const HOSTS_PER_BLOCK: usize = 250;

/// How a server treats the next requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    Answer,
    /// Refuses requests with this status, stating that they did not run.
    RefuseWith(u16),
    /// Runs requests and answers with this status.
    FailWith(u16),
    /// Sends answers that carry the identity of another request.
    WrongRequest,
    /// Cuts streams within their third event.
    CutStream,
    /// Sends nothing for 4 seconds.
    Hang,
    /// Answers, and states in each answer that the server is leaving.
    Leave,
    /// Refuses requests, stating that they did not run, with this Retry-After.
    Pause(&'static str),
    /// Streams with this many milliseconds between events.
    Paced(u64),
}

/// Time for which a server that has crashed answers nothing.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub url: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    pub received_at: Instant,
    /// Whether the server ran the request instead of refusing it.
    pub ran: bool,
}

/// A backend server that checks the instance that requests expect and records the requests.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: net::SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    crashes: Arc<Mutex<Crashes>>,
    /// Limit on requests a second that the server names in its answers.
    limit: Arc<Mutex<Option<&'static str>>>,
    /// How the server was registered last.
    registered: Arc<Mutex<Option<Registered>>>,
}

/// Address, state and rank under which a server was registered.
type Registered = (net::SocketAddr, String, Option<usize>);

/// What crashes a server that begins to answer a request with it.
#[derive(Clone, Copy, Debug)]
pub enum CrashCause {
    /// A part of the prompt.
    PromptPart(&'static str),
    /// The path.
    Path(&'static str),
}

/// What crashes a server, and the crashes so far.
#[derive(Default)]
struct Crashes {
    cause: Option<CrashCause>,
    /// Store in which the server registers again.
    store: Option<Store>,
    times: Vec<Instant>,
}

impl Server {
    pub fn start(id: &str) -> Self {
        let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
        let addr = server.server_addr().to_ip().unwrap();
        let behavior = Arc::new(Mutex::new(Behavior::Answer));
        let started = Self {
            id: id.into(),
            addr,
            behavior,
            requests: Arc::default(),
            crashes: Arc::default(),
            limit: Arc::default(),
            registered: Arc::default(),
        };
        let listening = started.clone();
        thread::spawn(move || {
            for req in server.incoming_requests() {
                let serving = listening.clone();
                thread::spawn(move || serving.answer(req));
            }
        });
        started
    }

    /// Returns a handle to an earlier server that had the same address.
    pub fn with_id(&self, id: &str) -> Self {
        Self { id: id.into(), ..self.clone() }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Sets the limit on requests a second that the server names in its answers.
    pub fn set_limit(&self, per_s: Option<&'static str>) {
        *self.limit.lock().unwrap() = per_s;
    }

    /// Lets the server crash whenever it begins to answer a request with `cause`. It starts again
    /// with another id, which it registers in `store`.
    pub fn crash_on(&self, cause: CrashCause, store: &Store) {
        let mut crashes = self.crashes.lock().unwrap();
        (crashes.cause, crashes.store) = (Some(cause), Some(store.clone()));
    }

    /// Returns the times of the crashes so far.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().times.clone()
    }

    /// Returns the id of the present incarnation.
    fn current_id(&self) -> String {
        match self.crash_times().len() {
            0 => self.id.clone(),
            crashes => format!("{}-{crashes}", self.id),
        }
    }

    /// Records a crash if a request to `url` with `prompt` causes one, and registers again.
    fn crash_if_caused_by(&self, url: &str, prompt: &str) -> bool {
        let crashes = self.crashes.lock().unwrap();
        let causes_crash = match crashes.cause {
            Some(CrashCause::PromptPart(part)) => {
                prompt.split(',').any(|entry| entry.split(':').next() == Some(part))
            }
            Some(CrashCause::Path(path)) => url == path,
            None => false,
        };
        if !causes_crash {
            return false;
        }
        drop(crashes);
        self.crash();
        true
    }

    /// Crashes the server, which breaks off the requests that it runs; it starts again with another
    /// id and registers again.
    pub fn crash(&self) {
        let old_id = self.current_id();
        let mut crashes = self.crashes.lock().unwrap();
        crashes.times.push(Instant::now());
        let (server, store) = (self.clone(), crashes.store.clone());
        thread::spawn(move || {
            thread::sleep(RESTART_TIME);
            let store = store.expect("a server that may crash has a store");
            store.remove("servers", &old_id);
            let registered = server.registered.lock().unwrap().clone();
            if let Some((addr, state, rank)) = registered {
                register_rank(&store, &server, addr, &state, rank);
            }
        });
    }

    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    fn answer(&self, mut req: tiny_http::Request) {
        let headers: BTreeMap<String, String> = req
            .headers()
            .iter()
            .map(|h| (h.field.as_str().as_str().to_ascii_lowercase(), h.value.to_string()))
            .collect();
        let mut body = String::new();
        std::io::Read::read_to_string(req.as_reader(), &mut body).unwrap();
        let crash_times = self.crash_times();
        if crash_times.last().is_some_and(|at| at.elapsed() < RESTART_TIME) {
            return abort(req);
        }
        let id = headers.get("x-knapweedford-request-id").cloned().unwrap_or_default();
        let id_header = ("X-Knapweedford-Request-Id", id.as_str());
        let expected = headers.get("x-knapweedford-expect-instance");
        if expected.is_some_and(|expected| *expected != self.current_id()) {
            return respond(req, 421, "", &[id_header]);
        }
        let prompt = headers.get("x-knapweedford-prefix-hash").cloned().unwrap_or_default();
        let last_event: usize =
            headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default();
        let url = req.url().to_owned();
        let behavior = *self.behavior.lock().unwrap();
        let refuses = matches!(behavior, Behavior::RefuseWith(_) | Behavior::Pause(_));
        let (received_at, ran) = (Instant::now(), !refuses);
        self.requests.lock().unwrap().push(ReceivedRequest {
            url: url.clone(),
            headers,
            body,
            received_at,
            ran,
        });
        if self.crash_if_caused_by(&url, &prompt) {
            return abort(req);
        }
        if let (Behavior::Paced(gap_ms), false) = (behavior, url.starts_with("/stream/")) {
            thread::sleep(Duration::from_millis(gap_ms));
            if self.crash_times().len() > crash_times.len() {
                return abort(req);
            }
        }
        let seal = format!("seal-{}", self.id);
        let answer_headers = [id_header, ("X-Knapweedford-Response-Seal", &seal)];
        let limit = *self.limit.lock().unwrap();
        match behavior {
            Behavior::RefuseWith(status) => {
                respond(req, status, "", &[id_header, ("X-Knapweedford-Not-Executed", "1")]);
            }
            Behavior::Pause(retry_after) => {
                let not_executed = ("X-Knapweedford-Not-Executed", "1");
                respond(req, 503, "", &[id_header, not_executed, ("Retry-After", retry_after)]);
            }
            Behavior::Leave => {
                let [id, seal] = answer_headers;
                respond(req, 200, "last", &[id, seal, ("Server-Leaving", "1")]);
            }
            Behavior::FailWith(status) => respond(req, status, "failed", &answer_headers),
            Behavior::WrongRequest => {
                respond(req, 200, "other", &[("X-Knapweedford-Request-Id", "another")])
            }
            Behavior::Hang => thread::sleep(Duration::from_secs(4)),
            Behavior::Answer | Behavior::CutStream | Behavior::Paced(_)
                if url.starts_with("/stream/") =>
            {
                let mut headers = answer_headers.to_vec();
                headers.extend(limit.map(|per_s| ("Server-Limit", per_s)));
                let mut chunks = ChunkedAnswer::start(req, "text/event-stream", &headers).unwrap();
                for n in last_event + 1..=6 {
                    if let Behavior::Paced(gap_ms) = behavior {
                        thread::sleep(Duration::from_millis(gap_ms));
                    }
                    if self.crash_times().len() > crash_times.len() {
                        return chunks.abort();
                    }
                    if behavior == Behavior::CutStream && n == last_event + 3 {
                        let _ = chunks.send_chunk(&format!("id: {n}\nda"));
                        return chunks.abort();
                    }
                    // The client may have closed its connection.
                    if chunks.send_chunk(&format!("id: {n}\ndata: x{n}\n\n")).is_err() {
                        return;
                    }
                }
                let _ = chunks.finish();
            }
            Behavior::Answer | Behavior::CutStream | Behavior::Paced(_) => {
                let mut headers = answer_headers.to_vec();
                headers.extend(limit.map(|per_s| ("Server-Limit", per_s)));
                respond(req, 200, &format!("by {}", self.id), &headers)
            }
        }
    }
}

/// Ends a request without an answer, as a crash does, by sending bytes that are no answer.
fn abort(req: tiny_http::Request) {
    let mut tx = req.into_writer();
    // The client may have closed its connection.
    let _ = tx.write_all(b"cut\r\n\r\n").and_then(|()| tx.flush());
}

fn respond(req: tiny_http::Request, status: u16, body: &str, headers: &[(&str, &str)]) {
    let mut res = tiny_http::Response::from_string(body).with_status_code(status);
    for (name, value) in headers {
        res.add_header(tiny_http::Header::from_bytes(*name, *value).unwrap());
    }
    // The client may have closed its connection.
    let _ = req.respond(res);
}

/// A gateway process that can be restarted.
pub struct Gateway {
    pub process: Process,
    pub readiness_addr: net::SocketAddr,
    pub operators_addr: net::SocketAddr,
    client_addr: net::SocketAddr,
    settings_path: path::PathBuf,
    log_path: path::PathBuf,
}

/// Returns a loopback address that no other test uses.
pub fn unused_address(port: u16) -> net::SocketAddr {
    let number = ADDRESS_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let (block, host) = ((number / HOSTS_PER_BLOCK) as u8, 1 + (number % HOSTS_PER_BLOCK) as u8);
    let pid = process::id();
    let ip = net::Ipv4Addr::new(127, (pid >> 8) as u8 | 1, (pid as u8).wrapping_add(block), host);
    net::SocketAddr::new(ip.into(), port)
}

impl Gateway {
    /// Starts a gateway that reads the store at `store`.
    pub fn start(store: net::SocketAddr) -> Self {
        Self::start_with_agents(store, 7340)
    }

    /// Starts a gateway that reads the store at `store` and asks rank agents on `agent_port`.
    pub fn start_with_agents(store: net::SocketAddr, agent_port: u16) -> Self {
        let (client_addr, readiness_addr) = (unused_address(8227), unused_address(8220));
        let (operators, peers) = (unused_address(7341), unused_address(agent_port));
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let name = client_addr.ip().to_string().replace('.', "-");
        let base = dir.join(format!("gateway-{}-{name}", process::id()));
        let (settings_path, log_path) = (base.with_extension("yaml"), base.with_extension("log"));
        let settings = format!(
            "host: g-{name}\nzone: z\nrole: gateway\ncallers: {client_addr}\n\
             readiness: {readiness_addr}\noperators: {operators}\npeers: {peers}\n\
             store: {store}\ntoken: secret-of-the-tests\n\
             retries: {{share: 0.2, window-s: 10, free: 90}}\ngrace-s: 4\n",
        );
        fs::write(&settings_path, settings).unwrap();
        fs::write(&log_path, "").unwrap();
        let process = run(&settings_path, &log_path, client_addr);
        let gateway = Self {
            process,
            readiness_addr,
            operators_addr: operators,
            client_addr,
            settings_path,
            log_path,
        };
        wait_until("the gateway listens", || net::TcpStream::connect(readiness_addr).ok());
        gateway
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.process = run(&self.settings_path, &self.log_path, self.client_addr);
    }

    pub fn is_ready(&self) -> bool {
        call(self.readiness_addr, "GET", "/-/readyz", &[]).status == 200
    }

    pub fn logs(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap()
    }
}

fn run(settings_path: &path::Path, log_path: &path::Path, client_addr: net::SocketAddr) -> Process {
    let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
        .env("KNAPWEEDFORD_CONFIG", settings_path)
        .stdout(fs::File::options().append(true).open(log_path).unwrap())
        .spawn()
        .unwrap();
    Process::new(child, client_addr)
}

/// One gateway with a store and backend servers.
pub struct Site {
    pub store: Store,
    pub servers: Vec<Server>,
    pub gateway: Gateway,
}

impl Site {
    /// Starts a gateway and `server_count` servers. If `unconfigured`, the store holds no
    /// configuration; otherwise this waits until the gateway is ready.
    pub fn start(server_count: usize, unconfigured: bool) -> Self {
        let store = Store::start();
        let servers: Vec<Server> =
            (0..server_count).map(|n| Server::start(&format!("i-{n}"))).collect();
        servers.iter().for_each(|server| register(&store, server, server.addr, "ready"));
        if !unconfigured {
            store.put("op", "config", &config(1, "llm"));
        }
        let gateway = Gateway::start(store.addr);
        let site = Self { store, servers, gateway };
        if !unconfigured {
            wait_until("the gateway is ready", || site.gateway.is_ready().then_some(()));
        }
        site
    }

    pub fn send(&self, method: &str, path: &str, id: &str) -> Answer {
        send(self.gateway.process.address, method, path, id)
    }

    /// Returns the number of requests that the servers received.
    pub fn request_count(&self) -> usize {
        self.servers.iter().map(|server| server.requests().len()).sum()
    }
}

/// Sends a request to a gateway with a valid API key, on a new connection.
pub fn send(at: net::SocketAddr, method: &str, path: &str, id: &str) -> Answer {
    send_by(&processes::http_client(), at, method, path, id)
}

/// Sends a request to a gateway with a valid API key, on a connection that `agent` keeps open.
pub fn send_by(
    agent: &ureq::Agent,
    at: net::SocketAddr,
    method: &str,
    path: &str,
    id: &str,
) -> Answer {
    let headers = [
        ("Host", HOST),
        ("Api-Key", API_KEY),
        ("X-Knapweedford-Request-Id", id),
        ("X-Knapweedford-Deadline-Ms", "3000"),
        ("X-Knapweedford-Tenant-Id", "forged"),
    ];
    call_by(agent, at, method, path, &headers)
}

/// Sends a request for a stream whose prompt has the parts `prompt`, as `HASH:TOKENS` each.
pub fn send_prompt(at: net::SocketAddr, prompt: &str, id: &str) -> Answer {
    let headers = [
        ("Host", HOST),
        ("Api-Key", API_KEY),
        ("X-Knapweedford-Request-Id", id),
        ("X-Knapweedford-Deadline-Ms", "3000"),
        ("X-Knapweedford-Prefix-Hash", prompt),
    ];
    call(at, "POST", "/stream/a", &headers)
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    /// The complete body, or the error that ended it early.
    pub body: Result<String, String>,
}

/// Sends one request on a new connection.
pub fn call(at: net::SocketAddr, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
    call_by(&processes::http_client(), at, method, path, headers)
}

/// Sends one request on a connection that `agent` keeps open.
pub fn call_by(
    agent: &ureq::Agent,
    at: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Answer {
    let body = if method == "POST" { "a body" } else { "" };
    match agent.run(processes::build_request(method, at, path, headers, body)) {
        Err(err) => Answer { status: 0, headers: BTreeMap::new(), body: Err(err.to_string()) },
        Ok(mut res) => {
            let headers = res.headers().iter();
            let text = |value: &http::HeaderValue| value.to_str().unwrap_or_default().to_owned();
            let headers = headers.map(|(name, value)| (name.to_string(), text(value))).collect();
            let body = res.body_mut().read_to_string().map_err(|err| err.to_string());
            Answer { status: res.status().as_u16(), headers, body }
        }
    }
}

/// Writes a server that is reached at `addr` to the registry.
pub fn register(store: &Store, server: &Server, addr: net::SocketAddr, state: &str) {
    register_rank(store, server, addr, state, None);
}

/// Writes a server that is reached at `addr` to the registry, as this rank of a group if it is one.
pub fn register_rank(
    store: &Store,
    server: &Server,
    addr: net::SocketAddr,
    state: &str,
    rank: Option<usize>,
) {
    *server.registered.lock().unwrap() = Some((addr, state.into(), rank));
    let group = rank.map_or(String::new(), agents::group_fields);
    store.put("servers", &server.current_id(), &row(addr, state, 1, &group));
}

/// Returns the row of a server; `more_fields` follow the others.
pub fn row(addr: net::SocketAddr, state: &str, started_ms: u64, more_fields: &str) -> String {
    format!(
        r#"{{"service":"llm","address":"{addr}","zone":"z","version":"v1","slots":12,
        "state":"{state}","cold_remaining_ms":0,"seq":1,"born":{started_ms}{more_fields}}}"#
    )
}

/// Removes a server from the registry; it serves on.
pub fn deregister(store: &Store, server: &Server) {
    *server.registered.lock().unwrap() = None;
    store.remove("servers", &server.current_id());
}

/// Returns a configuration whose routes lead to `service`.
pub fn config(version: u64, service: &str) -> String {
    let route = |name: &str, kind: &str, more_fields: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}",
            "timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"{service}",
            "max_attempts":2{more_fields}}}"#
        )
    };
    let routes = [
        route("stream", "streaming", r#","resumable":true,"gap_aim_ms":120"#),
        route("once", "unsafe", ""),
        route("read", "safe", ""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"llm","max_conns":100}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},
        "tenants":[{{"name":"w1","api_keys":["{API_KEY}"],"priority":2}}]}}"#,
        routes.join(",")
    )
}
