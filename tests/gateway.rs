//! A gateway as a process of its own, before stand-ins of the users' store and servers.

use std::{
    collections::BTreeMap,
    fs, net, path, process,
    sync::{Arc, Mutex, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    chunks::Chunks,
    processes::{PATIENCE, Process, until},
    store::{Mode, Store},
};

const HOST: &str = "a.example";
const KEY: &str = "key-1";

static COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(1);

/// What a server does with the next requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Does {
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
struct Got {
    url: String,
    headers: BTreeMap<String, String>,
    body: String,
}

/// A server that checks who is meant, and remembers what it got.
#[derive(Clone)]
struct Server {
    id: String,
    addr: net::SocketAddr,
    does: Arc<Mutex<Does>>,
    got: Arc<Mutex<Vec<Got>>>,
}

impl Server {
    fn start(id: &str) -> Self {
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

    fn does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    fn got(&self) -> Vec<Got> {
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
        self.got.lock().unwrap().push(Got { url: url.clone(), headers, body });
        let does = *self.does.lock().unwrap();
        let seal = format!("seal-{}", self.id);
        let marks =
            [("X-Knapweedford-Request-Id", id.as_str()), ("X-Knapweedford-Response-Seal", &seal)];
        match does {
            Does::Refuse => respond(req, 503, "", &[("X-Knapweedford-Not-Executed", "1")]),
            Does::Fail => respond(req, 500, "failed", &marks),
            Does::Mix => respond(req, 200, "other", &[("X-Knapweedford-Request-Id", "another")]),
            Does::Wait => thread::sleep(Duration::from_secs(4)),
            Does::Answer | Does::Break if url.starts_with("/stream/") => {
                let mut chunks = Chunks::begin(req, "text/event-stream").unwrap();
                for n in resumed + 1..=6 {
                    if does == Does::Break && n == resumed + 3 {
                        let _ = chunks.piece(&format!("id: {n}\nda"));
                        return chunks.cut();
                    }
                    // The caller may have gone.
                    if chunks.piece(&format!("id: {n}\ndata: x{n}\n\n")).is_err() {
                        return;
                    }
                }
                let _ = chunks.end();
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

struct Site {
    store: Store,
    servers: Vec<Server>,
    gateway: Process,
    readiness: net::SocketAddr,
    log: path::PathBuf,
}

/// An address of the loopback range that no other test uses.
fn address(port: u16) -> net::SocketAddr {
    let number = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let pid = process::id();
    let ip = net::Ipv4Addr::new(127, (pid >> 8) as u8 | 1, pid as u8, 1 + number as u8 % 250);
    net::SocketAddr::new(ip.into(), port)
}

impl Site {
    /// A gateway before `count` servers; without a configuration if `bare`.
    fn start(count: usize, bare: bool) -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..count).map(|n| Server::start(&format!("i-{n}"))).collect();
        servers.iter().for_each(|server| list(&store, server, "ready"));
        if !bare {
            store.put("op", "config", &config(1, "llm"));
        }
        let (callers, readiness) = (address(8227), address(8220));
        let (operators, peers) = (address(7341), address(7340));
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let name = callers.ip().to_string().replace('.', "-");
        let base = dir.join(format!("gateway-{}-{name}", process::id()));
        let (settings, log) = (base.with_extension("yaml"), base.with_extension("log"));
        let text = format!(
            "host: g1\nzone: z\nrole: gateway\ncallers: {callers}\nreadiness: {readiness}\n\
             operators: {operators}\npeers: {peers}\nstore: {}\ntoken: secret-of-the-tests\n\
             retries: {{share: 0.2, window-s: 10, free: 90}}\ngrace-s: 4\n",
            store.addr
        );
        fs::write(&settings, text).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
            .env("KNAPWEEDFORD_CONFIG", &settings)
            .stdout(fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        let site = Self { store, servers, gateway: Process::new(child, callers), readiness, log };
        until("the gateway listens", || net::TcpStream::connect(site.readiness).ok());
        if !bare {
            until("the gateway is ready", || site.ready().then_some(()));
        }
        site
    }

    fn ready(&self) -> bool {
        call(self.readiness, "GET", "/-/readyz", &[]).status == 200
    }

    fn ask(&self, method: &str, path: &str, id: &str) -> Answer {
        let headers = [
            ("Host", HOST),
            ("Api-Key", KEY),
            ("X-Knapweedford-Request-Id", id),
            ("X-Knapweedford-Deadline-Ms", "3000"),
            ("X-Knapweedford-Tenant-Id", "forged"),
        ];
        call(self.gateway.at, method, path, &headers)
    }

    fn arrivals(&self) -> usize {
        self.servers.iter().map(|server| server.got().len()).sum()
    }

    fn logs(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }
}

struct Answer {
    status: u16,
    headers: BTreeMap<String, String>,
    body: Result<String, String>,
}

fn call(at: net::SocketAddr, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
    let mut req = http::Request::builder().method(method).uri(format!("http://{at}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(PATIENCE))
        .build()
        .new_agent();
    let body = if method == "POST" { "a body" } else { "" };
    match agent.run(req.body(body.to_owned()).unwrap()) {
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

fn list(store: &Store, server: &Server, state: &str) {
    let row = format!(
        r#"{{"service":"llm","address":"{}","zone":"z","state":"{state}","born":1}}"#,
        server.addr
    );
    store.put("servers", &server.id, &row);
}

fn config(version: u64, service: &str) -> String {
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

#[test]
fn passed_unchanged() {
    let site = Site::start(1, false);
    let answer = site.ask("POST", "/once/a?b=c", "id-1");
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok("by i-0")));
    assert_eq!(answer.headers["x-knapweedford-response-seal"], "seal-i-0");
    let got = &site.servers[0].got()[0];
    assert_eq!((got.url.as_str(), got.body.as_str()), ("/once/a?b=c", "a body"));
    let header = |name: &str| got.headers.get(name).map(String::as_str);
    assert_eq!(header("host"), Some(HOST));
    assert_eq!(header("x-knapweedford-request-id"), Some("id-1"));
    assert_eq!(header("x-knapweedford-expect-instance"), Some("i-0"));
    assert_eq!(header("x-knapweedford-tenant-id"), Some("w1"));
    assert_eq!(header("x-knapweedford-request-priority"), Some("2"));
    assert_eq!(header("api-key"), None);
    let left: u64 = header("x-knapweedford-deadline-ms").unwrap().parse().unwrap();
    assert!((1500..=2000).contains(&left), "the route's time is passed on: {left}");
}

#[test]
fn refused_by_name() {
    let site = Site::start(1, false);
    assert_eq!(site.ask("GET", "/nowhere/", "id-1").status, 404);
    let wrong = [("Host", HOST), ("Api-Key", "no"), ("X-Knapweedford-Request-Id", "id-2")];
    assert_eq!(call(site.gateway.at, "GET", "/read/", &wrong).status, 401);
    let bare = [("Host", HOST), ("Api-Key", KEY)];
    assert_eq!(call(site.gateway.at, "GET", "/read/", &bare).status, 400);
    assert_eq!(site.arrivals(), 0);
}

#[test]
fn no_configuration() {
    let site = Site::start(1, true);
    assert!(!site.ready());
    assert_eq!(site.ask("GET", "/read/", "id-1").status, 503);
    site.store.put("op", "config", &config(1, "llm"));
    until("the configuration is in force", || site.ready().then_some(()));
    assert_eq!(site.ask("GET", "/read/", "id-2").status, 200);
}

#[test]
fn stream_resumed() {
    let site = Site::start(2, false);
    site.servers[0].does(Does::Break);
    for n in 0..6 {
        let answer = site.ask("POST", "/stream/a", &format!("id-{n}"));
        let whole: String = (1..=6).map(|n| format!("id: {n}\ndata: x{n}\n\n")).collect();
        assert_eq!((answer.status, answer.body), (200, Ok(whole)));
    }
}

#[test]
fn stream_cut() {
    let site = Site::start(1, false);
    site.servers[0].does(Does::Break);
    let answer = site.ask("POST", "/stream/a", "id-1");
    assert!(answer.body.is_err(), "a stream that broke off must not look whole");
}

#[test]
fn ran_once() {
    let site = Site::start(2, false);
    site.servers.iter().for_each(|server| server.does(Does::Mix));
    assert_eq!(site.ask("POST", "/once/a", "id-1").status, 502);
    assert_eq!(site.arrivals(), 1, "what may have run is not sent again");
    site.servers.iter().for_each(|server| server.does(Does::Refuse));
    let answer = site.ask("POST", "/once/a", "id-2");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.arrivals(), 3, "what did not run goes to a second server");
    site.servers.iter().for_each(|server| server.does(Does::Fail));
    let answer = site.ask("POST", "/once/a", "id-3");
    assert_eq!((answer.status, answer.body.as_deref()), (500, Ok("failed")));
    assert_eq!(site.arrivals(), 4);
}

#[test]
fn read_repeated() {
    let site = Site::start(2, false);
    site.servers[0].does(Does::Fail);
    for n in 0..4 {
        assert_eq!(site.ask("GET", "/read/a", &format!("id-{n}")).status, 200);
    }
}

/// A request that ran and failed is not called one that did not run, although no other server
/// takes it.
#[test]
fn ran_then_refused() {
    let site = Site::start(2, false);
    site.servers[0].does(Does::Fail);
    site.servers[1].does(Does::Refuse);
    for n in 0..6 {
        let answer = site.ask("GET", "/read/a", &format!("id-{n}"));
        let tried = site.servers[0]
            .got()
            .iter()
            .any(|got| got.headers.get("x-knapweedford-request-id") == Some(&format!("id-{n}")));
        assert_eq!(answer.status, if tried { 500 } else { 503 }, "request {n}");
    }
}

/// A server whose address another one has now.
#[test]
fn address_reused() {
    let site = Site::start(2, false);
    let reused = Server { id: "i-old".into(), ..site.servers[0].clone() };
    list(&site.store, &reused, "ready");
    thread::sleep(Duration::from_millis(1500));
    for n in 0..6 {
        assert_eq!(site.ask("POST", "/once/a", &format!("id-{n}")).status, 200);
    }
}

#[test]
fn time_is_up() {
    let site = Site::start(1, false);
    site.servers[0].does(Does::Wait);
    let since = Instant::now();
    let answer = site.ask("POST", "/once/a", "id-1");
    assert_eq!(answer.status, 504);
    let took = since.elapsed();
    assert!(took < Duration::from_millis(2500), "the route allows 2 s: {took:?}");
}

#[test]
fn body_too_large() {
    let site = Site::start(1, false);
    let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Knapweedford-Request-Id", "id-1")];
    let agent = ureq::Agent::config_builder().http_status_as_error(false).proxy(None).build();
    let mut req = http::Request::post(format!("http://{}/once/a", site.gateway.at));
    for (name, value) in headers {
        req = req.header(name, value);
    }
    let res = agent.new_agent().run(req.body("x".repeat(2000)).unwrap());
    assert_eq!(res.map(|res| res.status().as_u16()).ok(), Some(413));
    assert_eq!(site.arrivals(), 0);
}

/// A server leaves, and its state is read just before the store goes away.
#[test]
fn leaving_server() {
    let site = Site::start(2, false);
    list(&site.store, &site.servers[0], "draining");
    thread::sleep(Duration::from_millis(1800));
    site.store.mode(Mode::Refusing(503));
    let before = site.servers[0].got().len();
    for n in 0..6 {
        assert_eq!(site.ask("GET", "/read/a", &format!("id-{n}")).status, 200);
    }
    assert_eq!(site.servers[0].got().len(), before);
}

#[test]
fn zone_out() {
    let site = Site::start(1, false);
    site.store.put("op", "evacuate/z", "{}");
    until("the zone gets nothing", || {
        (site.ask("GET", "/read/a", "id-1").status == 503).then_some(())
    });
    site.store.remove("op", "evacuate/z");
    until("the zone is back", || (site.ask("GET", "/read/a", "id-2").status == 200).then_some(()));
}

/// The store turns silent, then refuses, then has lost its history; changes still come through,
/// and none goes back.
#[test]
fn store_trouble() {
    let site = Site::start(1, false);
    for (number, mode) in
        [Mode::Silent, Mode::Refusing(503), Mode::Refusing(429)].into_iter().enumerate()
    {
        site.store.mode(mode);
        thread::sleep(Duration::from_millis(1200));
        assert_eq!(site.ask("GET", "/read/a", "id-1").status, 200, "{mode:?}");
        let service = if number % 2 == 0 { "gone" } else { "llm" };
        site.store.put("op", "config", &config(10 + 10 * number as u64, service));
        site.store.forget();
        site.store.mode(Mode::Good);
        let wanted = if service == "llm" { 200 } else { 503 };
        until("the change is in force", || {
            (site.ask("GET", "/read/a", "id-2").status == wanted).then_some(())
        });
        site.store.put("op", "config", &config(15 + 10 * number as u64, "llm"));
        until("the next is in force", || {
            (site.ask("GET", "/read/a", "id-3").status == 200).then_some(())
        });
    }
    site.store.put("op", "config", &config(3, "gone"));
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(site.ask("GET", "/read/a", "id-4").status, 200, "an old version is not taken");
    assert!(site.store.calls("/-/rows-feed") > 0);
}

/// Rows that other writers left beside the servers'.
#[test]
fn strange_rows() {
    let site = Site::start(1, false);
    for (number, value) in ["", "{}", "[1]", "\u{1}", r#"{"service":7}"#].iter().enumerate() {
        site.store.put("servers", &format!("x-{number}"), value);
    }
    thread::sleep(Duration::from_millis(1200));
    assert_eq!(site.ask("GET", "/read/a", "id-1").status, 200);
}

#[test]
fn graceful_stop() {
    let mut site = Site::start(1, false);
    site.servers[0].does(Does::Wait);
    let (at, waiting) = (site.gateway.at, Instant::now());
    let asking = thread::spawn(move || {
        let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Knapweedford-Request-Id", "id-1")];
        call(at, "POST", "/once/a", &headers).status
    });
    until("the request is at its server", || (site.arrivals() == 1).then_some(()));
    site.gateway.signal("TERM");
    until("the balancer is told", || (!site.ready()).then_some(()));
    assert_eq!(asking.join().unwrap(), 504, "a request in flight is answered");
    assert!(waiting.elapsed() < Duration::from_secs(3));
    until("the process ends", || (!site.gateway.runs()).then_some(()));
    assert!(site.logs().contains("msg=stopped"));
}

#[test]
fn settings_reloaded() {
    let mut site = Site::start(1, false);
    site.gateway.signal("HUP");
    until("the reload is logged", || site.logs().contains("settings reloaded").then_some(()));
    assert_eq!(site.ask("GET", "/read/a", "id-1").status, 200);
    assert!(site.gateway.runs());
}

/// From a request's identity to its cause, by the log alone.
#[test]
fn cause_logged() {
    let site = Site::start(2, false);
    site.servers.iter().for_each(|server| server.does(Does::Refuse));
    site.ask("POST", "/once/a", "id-refused");
    site.servers.iter().for_each(|server| server.does(Does::Wait));
    site.ask("POST", "/once/a", "id-late");
    site.servers.iter().for_each(|server| server.does(Does::Break));
    site.ask("POST", "/stream/a", "id-cut");
    let line = |id: &str| {
        let of = format!("req={id} ");
        until("the line is written", || {
            site.logs().lines().find(|line| line.contains(&of)).map(str::to_owned)
        })
    };
    let refused = line("id-refused");
    assert!(
        refused.contains("why=not-run") && refused.matches("=refused").count() == 2,
        "{refused}"
    );
    let late = line("id-late");
    assert!(late.contains("why=late") && late.contains("=timeout"), "{late}");
    let cut = line("id-cut");
    assert!(cut.contains("why=broken-off") && cut.matches("=broken@").count() == 2, "{cut}");
    assert!([refused, late, cut].iter().all(|line| line.contains("version=1 ")));
}
