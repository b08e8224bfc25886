//! Gateways as processes of their own, before stand-ins of the users' store and servers.

use std::{
    collections::BTreeMap,
    fs, net, path, process,
    sync::{Arc, Mutex, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    chunks::ChunkedAnswer,
    processes::{self, Process, until},
    store::Store,
};

/// Host of all routes.
pub const HOST: &str = "a.example";
/// A key that the configuration allows.
pub const KEY: &str = "key-1";

static COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(1);

/// What a server does with the next requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Does {
    Answer,
    /// Refuses: it did not run.
    Refuse,
    /// Fails: it ran.
    Fail,
    /// Answers for another request.
    Mix,
    /// Breaks a stream off within its third event.
    Break,
    /// Says nothing for a while.
    Wait,
}

/// A request as a server got it.
#[derive(Clone, Debug)]
pub struct Got {
    pub url: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    pub at: Instant,
    /// Whether it was run, and not refused.
    pub ran: bool,
}

/// A server that checks who is meant, and remembers what it got.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: net::SocketAddr,
    does: Arc<Mutex<Does>>,
    got: Arc<Mutex<Vec<Got>>>,
}

impl Server {
    pub fn start(id: &str) -> Self {
        let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
        let addr = server.server_addr().to_ip().unwrap();
        let does = Arc::new(Mutex::new(Does::Answer));
        let started = Self { id: id.into(), addr, does, got: Arc::default() };
        let serving = started.clone();
        thread::spawn(move || {
            for req in server.incoming_requests() {
                let serving = serving.clone();
                thread::spawn(move || serving.answer(req));
            }
        });
        started
    }

    /// The server that had its address before.
    pub fn named(&self, id: &str) -> Self {
        Self { id: id.into(), ..self.clone() }
    }

    pub fn does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    pub fn got(&self) -> Vec<Got> {
        self.got.lock().unwrap().clone()
    }

    fn answer(&self, mut req: tiny_http::Request) {
        let headers: BTreeMap<String, String> = req
            .headers()
            .iter()
            .map(|h| (h.field.as_str().as_str().to_ascii_lowercase(), h.value.to_string()))
            .collect();
        let mut body = String::new();
        std::io::Read::read_to_string(req.as_reader(), &mut body).unwrap();
        let meant = headers.get("x-knapweedford-expect-instance");
        if meant.is_some_and(|meant| *meant != self.id) {
            return respond(req, 421, "", &[]);
        }
        let id = headers.get("x-knapweedford-request-id").cloned().unwrap_or_default();
        let resumed: usize =
            headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default();
        let url = req.url().to_owned();
        let does = *self.does.lock().unwrap();
        let (at, ran) = (Instant::now(), does != Does::Refuse);
        self.got.lock().unwrap().push(Got { url: url.clone(), headers, body, at, ran });
        let seal = format!("seal-{}", self.id);
        let marks =
            [("X-Knapweedford-Request-Id", id.as_str()), ("X-Knapweedford-Response-Seal", &seal)];
        match does {
            Does::Refuse => respond(req, 503, "", &[("X-Knapweedford-Not-Executed", "1")]),
            Does::Fail => respond(req, 500, "failed", &marks),
            Does::Mix => respond(req, 200, "other", &[("X-Knapweedford-Request-Id", "another")]),
            Does::Wait => thread::sleep(Duration::from_secs(4)),
            Does::Answer | Does::Break if url.starts_with("/stream/") => {
                let mut chunks = ChunkedAnswer::start(req, "text/event-stream").unwrap();
                for n in resumed + 1..=6 {
                    if does == Does::Break && n == resumed + 3 {
                        let _ = chunks.send_chunk(&format!("id: {n}\nda"));
                        return chunks.abort();
                    }
                    // The caller may have gone.
                    if chunks.send_chunk(&format!("id: {n}\ndata: x{n}\n\n")).is_err() {
                        return;
                    }
                }
                let _ = chunks.finish();
            }
            Does::Answer | Does::Break => respond(req, 200, &format!("by {}", self.id), &marks),
        }
    }
}

fn respond(req: tiny_http::Request, status: u16, body: &str, headers: &[(&str, &str)]) {
    let mut res = tiny_http::Response::from_string(body).with_status_code(status);
    for (name, value) in headers {
        res.add_header(tiny_http::Header::from_bytes(*name, *value).unwrap());
    }
    // The caller may have gone.
    let _ = req.respond(res);
}

/// A gateway that can be started again.
pub struct Gateway {
    pub process: Process,
    pub readiness: net::SocketAddr,
    callers: net::SocketAddr,
    settings: path::PathBuf,
    log: path::PathBuf,
}

/// An address of the loopback range that no other test uses.
fn address(port: u16) -> net::SocketAddr {
    let number = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let pid = process::id();
    let ip = net::Ipv4Addr::new(127, (pid >> 8) as u8 | 1, pid as u8, 1 + number as u8 % 250);
    net::SocketAddr::new(ip.into(), port)
}

impl Gateway {
    /// Starts a gateway that reads the store at `store`.
    pub fn start(store: net::SocketAddr) -> Self {
        let (callers, readiness) = (address(8227), address(8220));
        let (operators, peers) = (address(7341), address(7340));
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let name = callers.ip().to_string().replace('.', "-");
        let base = dir.join(format!("gateway-{}-{name}", process::id()));
        let (settings, log) = (base.with_extension("yaml"), base.with_extension("log"));
        let text = format!(
            "host: g-{name}\nzone: z\nrole: gateway\ncallers: {callers}\n\
             readiness: {readiness}\noperators: {operators}\npeers: {peers}\n\
             store: {store}\ntoken: secret-of-the-tests\n\
             retries: {{share: 0.2, window-s: 10, free: 90}}\ngrace-s: 4\n",
        );
        fs::write(&settings, text).unwrap();
        fs::write(&log, "").unwrap();
        let process = run(&settings, &log, callers);
        let gateway = Self { process, readiness, callers, settings, log };
        until("the gateway listens", || net::TcpStream::connect(readiness).ok());
        gateway
    }

    /// Starts it once more, after it ended.
    pub fn again(&mut self) {
        self.process = run(&self.settings, &self.log, self.callers);
    }

    pub fn ready(&self) -> bool {
        call(self.readiness, "GET", "/-/readyz", &[]).status == 200
    }

    pub fn logs(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }
}

fn run(settings: &path::Path, log: &path::Path, callers: net::SocketAddr) -> Process {
    let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
        .env("KNAPWEEDFORD_CONFIG", settings)
        .stdout(fs::File::options().append(true).open(log).unwrap())
        .spawn()
        .unwrap();
    Process::new(child, callers)
}

/// One gateway before some servers.
pub struct Site {
    pub store: Store,
    pub servers: Vec<Server>,
    pub gateway: Gateway,
}

impl Site {
    /// A gateway before `count` servers; without a configuration if `bare`.
    pub fn start(count: usize, bare: bool) -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..count).map(|n| Server::start(&format!("i-{n}"))).collect();
        servers.iter().for_each(|server| list(&store, server, server.addr, "ready"));
        if !bare {
            store.put("op", "config", &config(1, "llm"));
        }
        let gateway = Gateway::start(store.addr);
        let site = Self { store, servers, gateway };
        if !bare {
            until("the gateway is ready", || site.gateway.ready().then_some(()));
        }
        site
    }

    pub fn ask(&self, method: &str, path: &str, id: &str) -> Answer {
        ask(self.gateway.process.at, method, path, id)
    }

    pub fn arrivals(&self) -> usize {
        self.servers.iter().map(|server| server.got().len()).sum()
    }
}

/// Asks a gateway as a caller with a good key, on a connection of its own.
pub fn ask(at: net::SocketAddr, method: &str, path: &str, id: &str) -> Answer {
    ask_by(&processes::agent(), at, method, path, id)
}

/// The same on a connection that `agent` has open.
pub fn ask_by(
    agent: &ureq::Agent,
    at: net::SocketAddr,
    method: &str,
    path: &str,
    id: &str,
) -> Answer {
    let headers = [
        ("Host", HOST),
        ("Api-Key", KEY),
        ("X-Knapweedford-Request-Id", id),
        ("X-Knapweedford-Deadline-Ms", "3000"),
        ("X-Knapweedford-Tenant-Id", "forged"),
    ];
    call_by(agent, at, method, path, &headers)
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    /// The body; why it broke off if it did.
    pub body: Result<String, String>,
}

/// Sends one request on a connection of its own.
pub fn call(at: net::SocketAddr, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
    call_by(&processes::agent(), at, method, path, headers)
}

fn call_by(
    agent: &ureq::Agent,
    at: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Answer {
    let body = if method == "POST" { "a body" } else { "" };
    match agent.run(processes::request(method, at, path, headers, body)) {
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

/// Lists a server, reached at `addr`, in the register.
pub fn list(store: &Store, server: &Server, addr: net::SocketAddr, state: &str) {
    let row = format!(
        r#"{{"service":"llm","address":"{}","zone":"z","state":"{state}","born":1}}"#,
        addr
    );
    store.put("servers", &server.id, &row);
}

/// A configuration whose routes lead to `service`.
pub fn config(version: u64, service: &str) -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}",
            "timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"{service}",
            "max_attempts":2{more}}}"#
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
        "idle_timeout_ms":15000}},"tenants":[{{"name":"w1","api_keys":["{KEY}"],"priority":2}}]}}"#,
        routes.join(",")
    )
}
