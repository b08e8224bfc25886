//! Soak test: random faults, in series and overlapping, are injected around gateway processes while
//! clients keep sending requests. What clients and servers observed is checked against the
//! product's guarantees.
//!
//! `KNAPWEEDFORD_SEED` sets the first seed, `KNAPWEEDFORD_CASES` the number of seeds, and
//! `KNAPWEEDFORD_GATEWAYS` the number of gateways.

use std::{
    collections::BTreeMap,
    net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use knapweedford::{balance::capacity::PassEstimate, rank::message::Loads};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    agents, fuzz,
    gateways::{self, Answer, Behavior, CrashCause, Gateway, Server},
    link::{Link, LinkMode},
    processes,
    store::{Mode, Store},
};

/// Seeds that failed before, each with the cause of the failure.
const REGRESSION_SEEDS: [u64; 0] = [];
const DEFAULT_CASES: u64 = 3;
const DEFAULT_GATEWAYS: usize = 2;
const SERVERS: usize = 4;
const CLIENTS_PER_PATH: usize = 3;
/// Clients in runs with many gateways, where each gateway has one.
const MAX_CLIENTS: usize = 60;
/// Pause of a client between two requests; the machine also runs the servers and the store.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
const ROUNDS: usize = 4;
/// Longest time until a change that was written to the store is in force.
const MAX_CHANGE_LAG: Duration = Duration::from_secs(2);
/// Time from the end of a fault until all bounds must hold again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Time at the end of a case in which every request must succeed.
const FAULT_FREE_TIME: Duration = Duration::from_secs(1);
/// Deadline that clients state.
const DEADLINE: Duration = Duration::from_secs(3);
/// Server that names a limit on the requests a second from all gateways together, and the limit.
const LIMITED_SERVER: usize = SERVERS - 1;
const LIMIT_PER_S: (&str, f64) = ("8", 8.0);
/// Window over which the limit is checked.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after the start of the clients, or the last fault, from which the limit is checked.
const LIMIT_KNOWN_TIME: Duration = Duration::from_secs(4);
/// Part of prompts or path that crashes servers, and the time between two requests with it.
const CRASHING_PART: &str = "bad";
const CRASHING_PATH: &str = "/read/bad";
const CRASHING_REQUEST_PAUSE: Duration = Duration::from_millis(150);
/// Crashes after which at most [`MAX_LATER_CRASHING_REQUESTS`] may reach servers, by a part of prompts
/// and by a request that comes again.
const MAX_PROMPT_CRASHES: usize = 5;
const MAX_REQUEST_CRASHES: usize = 3;
const MAX_LATER_CRASHING_REQUESTS: usize = 3;
/// Probability that a server that leaves stays away for one more round, in which other faults end.
const LONG_LEAVE_PROBABILITY: f64 = 0.7;
/// Probability that servers form a group of engines, and that a fault of a server makes it slow.
const GROUP_PROBABILITY: f64 = 0.5;
const SLOW_PROBABILITY: f64 = 0.5;
/// Time between two events of a slow engine.
const SLOW_EVENT_GAP_MS: u64 = 250;
/// Time by which a busy machine may delay what a test observes.
const SLACK: Duration = Duration::from_secs(2);

/// A fault or change that is injected; gateways and servers are given by their index.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Terminate(usize),
    Kill(usize),
    Freeze(usize),
    Reload(usize),
    Server(usize, Behavior),
    ServerLink(usize, LinkMode),
    StoreLink(LinkMode),
    Store(Mode),
    Drain(usize),
    /// A server's registration is removed, and it serves on.
    Deregister(usize),
    Configure,
    /// An engine of the group is slow, and so are the passes of the group.
    SlowEngine(usize),
    /// Requests that crash servers arrive at all gateways.
    CrashingRequests,
}

impl Fault {
    fn random(rng: &mut Pcg64, gateways: usize) -> Self {
        let gateway = rng.random_range(0..gateways);
        let server = rng.random_range(0..SERVERS);
        let delay = Duration::from_millis(rng.random_range(20..300));
        let link_modes = [
            LinkMode::Delayed(delay),
            LinkMode::Reset,
            LinkMode::DropToServer,
            LinkMode::DropToClient,
            LinkMode::DropAll,
        ];
        let mode = link_modes[rng.random_range(0..link_modes.len())];
        let behaviors = [
            Behavior::RefuseWith(503),
            Behavior::FailWith(500),
            Behavior::WrongRequest,
            Behavior::CutStream,
            Behavior::Hang,
        ];
        match rng.random_range(0..11) {
            0 => Self::Terminate(gateway),
            1 => Self::Kill(gateway),
            2 => Self::Freeze(gateway),
            3 => Self::Reload(gateway),
            4 => Self::Server(server, behaviors[rng.random_range(0..behaviors.len())]),
            5 => Self::ServerLink(server, mode),
            6 => Self::StoreLink(mode),
            7 => Self::Store(
                [Mode::Silent, Mode::Refusing(503), Mode::Refusing(429)][rng.random_range(0..3)],
            ),
            8 => Self::Drain(server),
            9 => Self::CrashingRequests,
            _ => Self::Configure,
        }
    }
}

/// Beginning and end of a fault.
type Span = (Instant, Instant);

/// Times of the faults, which excuse some of the failures that were observed.
#[derive(Default)]
struct FaultTimes {
    /// Times of all faults.
    all: Vec<Span>,
    /// Times from the kill of a gateway to its restart.
    killed: Vec<Span>,
    /// Times from SIGTERM to a gateway to its restart.
    stopped: Vec<Span>,
    /// Times from SIGSTOP to a gateway to SIGCONT.
    frozen: Vec<Span>,
    /// Times in which a server's link did not work.
    links: Vec<Span>,
    /// Times in which the store did not work or could not be reached.
    store_outages: Vec<Span>,
    /// Servers that were draining or not registered, with the beginning and end of that state in the
    /// store.
    leaving: Vec<(usize, Instant, Instant)>,
}

struct Site {
    store: Store,
    store_link: Link,
    servers: Vec<Server>,
    server_links: Vec<Link>,
    gateways: Vec<Gateway>,
    version: u64,
    fault_times: FaultTimes,
    crash_cause: CrashCause,
    crashing_clients: Option<CrashingClients>,
    /// What the agents of the group report; `None` if the servers form no group.
    loads: Option<Arc<Mutex<Loads>>>,
}

/// A request with its answer.
struct Exchange {
    id: String,
    path: &'static str,
    sent_at: Instant,
    answered_at: Instant,
    answer: Answer,
}

impl Site {
    fn start(gateways: usize, crash_cause: CrashCause, is_group: bool) -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..SERVERS).map(|n| Server::start(&format!("i-{n}"))).collect();
        let server_links: Vec<Link> =
            servers.iter().map(|server| Link::open(server.addr)).collect();
        servers[LIMITED_SERVER].set_limit(Some(LIMIT_PER_S.0));
        servers.iter().for_each(|server| server.crash_on(crash_cause, &store));
        let loads = is_group.then(|| {
            let absent = |n: usize| net::SocketAddr::from(([127, 0, 0, 1], n as u16));
            let addr = |n: usize| server_links.get(n).map_or(absent(n), |link| link.addr);
            let engines = (0..agents::RANKS).map(|n| (addr(n), 0)).collect();
            Arc::new(Mutex::new(Loads { is_owner: true, engines, ..Loads::default() }))
        });
        let agent_port = loads.as_ref().map_or(7340, |loads| agents::start(Arc::clone(loads)));
        let store_link = Link::open(store.addr);
        let mut site = Self {
            store,
            store_link,
            servers,
            server_links,
            gateways: Vec::new(),
            version: 0,
            fault_times: FaultTimes::default(),
            crash_cause,
            crashing_clients: None,
            loads,
        };
        (0..SERVERS).for_each(|at| site.register(at, "ready"));
        site.configure();
        let starting =
            (0..gateways).map(|_| Gateway::start_with_agents(site.store_link.addr, agent_port));
        site.gateways = starting.collect();
        site.wait_until_ready();
        site
    }

    /// Writes a server to the registry.
    fn register(&self, at: usize, state: &str) {
        let (server, addr) = (&self.servers[at], self.server_links[at].addr);
        let rank = self.loads.as_ref().map(|_| at);
        gateways::register_rank(&self.store, server, addr, state, rank);
    }

    /// Writes a new version of the configuration.
    fn configure(&mut self) {
        self.version += 1;
        let config = match self.loads {
            Some(_) => agents::config(self.version),
            None => gateways::config(self.version, "llm"),
        };
        self.store.put("op", "config", &config);
    }

    /// Makes an engine slow, or none, and reports that as the group's agents do.
    fn set_slow_engine(&self, slow: Option<usize>) {
        let Some(loads) = &self.loads else { return };
        let mut loads = loads.lock().unwrap();
        loads.slow = slow.map(|at| self.server_links[at].addr).into_iter().collect();
        loads.passes = slow.map(|_| {
            let fixed_ms = SLOW_EVENT_GAP_MS as f64;
            PassEstimate { fixed_ms, per_request_ms: 6.0, requests: 1.0 }
        });
    }

    /// Waits until all gateways are ready.
    fn wait_until_ready(&self) {
        for gateway in &self.gateways {
            processes::wait_until("a gateway is ready", || gateway.is_ready().then_some(()));
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Terminate(at) => self.gateways[at].process.signal("TERM"),
            Fault::Kill(at) => self.gateways[at].process.kill(),
            Fault::Freeze(at) => self.gateways[at].process.signal("STOP"),
            Fault::Reload(at) => self.gateways[at].process.signal("HUP"),
            Fault::Server(at, behavior) => self.servers[at].set_behavior(behavior),
            Fault::ServerLink(at, mode) => self.server_links[at].set_mode(mode),
            Fault::StoreLink(mode) => self.store_link.set_mode(mode),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::Drain(at) => {
                self.register(at, "draining");
            }
            Fault::Deregister(at) => {
                gateways::deregister(&self.store, &self.servers[at]);
            }
            Fault::Configure => self.configure(),
            Fault::SlowEngine(at) => {
                self.servers[at].set_behavior(Behavior::Paced(SLOW_EVENT_GAP_MS));
                self.set_slow_engine(Some(at));
            }
            Fault::CrashingRequests => {
                let addrs = self.gateways.iter().map(|gateway| gateway.process.address).collect();
                self.crashing_clients = Some(CrashingClients::start(addrs, self.crash_cause));
            }
        }
    }

    /// Ends a fault that began at `began_at`, and records its times.
    fn end_fault(&mut self, fault: Fault, began_at: Instant) {
        match fault {
            Fault::Terminate(at) => {
                self.gateways[at].process.wait_for_exit();
                self.gateways[at].restart();
            }
            Fault::Kill(at) => self.gateways[at].restart(),
            Fault::Freeze(at) => self.gateways[at].process.signal("CONT"),
            Fault::Reload(_) | Fault::Configure => {}
            Fault::CrashingRequests => {
                self.crashing_clients.take().expect("the clients were started").stop();
            }
            Fault::Server(at, _) => self.servers[at].set_behavior(Behavior::Answer),
            Fault::SlowEngine(at) => {
                self.servers[at].set_behavior(Behavior::Answer);
                self.set_slow_engine(None);
            }
            Fault::ServerLink(at, _) => self.server_links[at].set_mode(LinkMode::Open),
            Fault::StoreLink(_) => self.store_link.set_mode(LinkMode::Open),
            Fault::Store(_) => self.store.set_mode(Mode::Normal),
            Fault::Drain(at) | Fault::Deregister(at) => {
                self.fault_times.leaving.push((at, began_at, Instant::now()));
                self.register(at, "ready");
            }
        }
        let span = (began_at, Instant::now());
        self.fault_times.all.push(span);
        match fault {
            Fault::Kill(_) => self.fault_times.killed.push(span),
            Fault::Terminate(_) => self.fault_times.stopped.push(span),
            Fault::Freeze(_) => self.fault_times.frozen.push(span),
            Fault::StoreLink(_) | Fault::Store(_) => self.fault_times.store_outages.push(span),
            Fault::ServerLink(..) => self.fault_times.links.push(span),
            _ => {}
        }
    }
}

/// A client that sends requests that crash servers to all gateways until it is stopped.
struct CrashingClients {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl CrashingClients {
    fn start(gateways: Vec<net::SocketAddr>, cause: CrashCause) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            for n in 0.. {
                if stopping.load(Ordering::Relaxed) {
                    return;
                }
                let at = gateways[n % gateways.len()];
                let id = format!("bad-{n}");
                thread::spawn(move || match cause {
                    CrashCause::PromptPart(part) => {
                        let prompt = format!("f{}:40,{part}:200,own{n}:30", n % 5);
                        gateways::send_prompt(at, &prompt, &id)
                    }
                    CrashCause::Path(path) => gateways::send(at, "GET", path, &id),
                });
                thread::sleep(CRASHING_REQUEST_PAUSE);
            }
        });
        Self { stop, thread }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the client ended well");
    }
}

/// Clients that send requests until they are stopped; each keeps its connection open.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<Exchange>>>,
}

impl Clients {
    fn start(gateways: &[net::SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let paths = [("POST", "/once/a"), ("GET", "/read/a"), ("POST", "/stream/a")];
        let count = (CLIENTS_PER_PATH * paths.len()).max(gateways.len().min(MAX_CLIENTS));
        let clients = paths.into_iter().cycle().take(count).enumerate();
        let threads = clients.map(|(client, (method, path))| {
            let (stop, at) = (Arc::clone(&stop), gateways[client % gateways.len()]);
            thread::spawn(move || {
                let agent = processes::http_client();
                let mut exchanges = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{client}-{}", exchanges.len());
                    let sent_at = Instant::now();
                    let answer = gateways::send_by(&agent, at, method, path, &id);
                    let exchange =
                        Exchange { id, path, sent_at, answered_at: Instant::now(), answer };
                    check_answer(&exchange);
                    exchanges.push(exchange);
                    thread::sleep(REQUEST_PAUSE);
                }
                exchanges
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    fn stop(self) -> Vec<Exchange> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|client| client.join().unwrap()).collect()
    }
}

/// Returns whether the time between `from` and `to` overlaps one of `spans`, each of which is
/// extended by `after`.
fn overlaps(spans: &[Span], from: Instant, to: Instant, after: Duration) -> bool {
    spans.iter().any(|(begin, end)| from <= *end + after && to >= *begin)
}

/// Panics if an answer is not the complete answer of the server that it names.
fn check_answer(Exchange { id, path, answer, .. }: &Exchange) {
    match (&answer.body, answer.status) {
        (Ok(body), 200) if *path == "/stream/a" => {
            let complete: String = (1..=6).map(|n| format!("id: {n}\ndata: x{n}\n\n")).collect();
            assert_eq!(*body, complete, "{id} got another stream");
        }
        (Ok(body), 200) => {
            let seal = &answer.headers["x-knapweedford-response-seal"];
            let expected = format!("by {}", seal.trim_start_matches("seal-"));
            assert_eq!(*body, expected, "{id} got the answer of another server");
        }
        (_, 401 | 404) => {
            panic!("{id} was refused although its route and key never changed: {answer:?}")
        }
        _ => {}
    }
}

/// Panics with the first guarantee that was violated during the case.
fn check_guarantees(site: &Site, exchanges: &[Exchange], started: Instant) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for received in site.servers.iter().flat_map(Server::requests) {
        let id = received.headers.get("x-knapweedford-request-id").cloned().unwrap_or_default();
        assert!(!received.headers.contains_key("api-key"), "the API key of {id} reached a server");
        assert_eq!(received.headers["x-knapweedford-tenant-id"], "w1", "{id}");
        if id.starts_with("bad-") {
            continue;
        }
        *runs.entry(id).or_default() += usize::from(received.ran);
    }
    let fault_times = &site.fault_times;
    for Exchange { id, path, sent_at, answered_at, answer } in exchanges {
        let ran = runs.get(id).copied().unwrap_or_default();
        let is_during = |spans: &[Span]| overlaps(spans, *sent_at, *answered_at, SLACK);
        let excused = is_during(&fault_times.killed) || is_during(&fault_times.frozen);
        match (*path, answer.status) {
            ("/once/a", 429 | 503) => {
                assert_eq!(ran, 0, "{id} ran although its answer states that it did not")
            }
            ("/once/a", _) => assert!(ran <= 1, "{id} ran {ran} times"),
            (_, 200) => assert!(ran > 0, "{id} was answered but did not run"),
            _ => {}
        }
        match &answer.body {
            Err(err) if answer.status == 0 && !excused => {
                // A request sent while a stopping gateway closes its connection is not read.
                let unread = is_during(&fault_times.stopped) && ran == 0;
                assert!(unread, "{id} ran {ran} times and got no answer: {err}");
            }
            _ => {}
        }
        let took = *answered_at - *sent_at;
        let frozen = is_during(&fault_times.frozen);
        assert!(frozen || took < DEADLINE + SLACK, "{id} was answered after {took:?}");
    }
    for (server, from, to) in &fault_times.leaving {
        for received in site.servers[*server].requests() {
            let late = received.received_at > *from + MAX_CHANGE_LAG && received.received_at < *to;
            let excusing = [
                &fault_times.store_outages,
                &fault_times.frozen,
                &fault_times.killed,
                &fault_times.stopped,
            ];
            let at = received.received_at;
            let excused = excusing.iter().any(|spans| overlaps(spans, at, at, RECOVERY_TIME));
            assert!(
                !late || excused,
                "server {server} got a request {:?} after it began to leave",
                received.received_at - *from
            );
        }
    }
    check_crashes(site);
    check_limit(site, started);
    let fault_free = |exchange: &&Exchange| {
        !overlaps(&fault_times.all, exchange.sent_at, exchange.answered_at, RECOVERY_TIME)
    };
    for Exchange { id, answer, .. } in exchanges.iter().filter(fault_free) {
        assert_eq!(answer.status, 200, "{id} failed while no fault was active: {answer:?}");
    }
}

/// Panics if requests that crash servers reached servers too often after they were known to. Those
/// that arrived during another fault, or soon after one, are excused.
fn check_crashes(site: &Site) {
    let max_crashes = match site.crash_cause {
        CrashCause::PromptPart(_) => MAX_PROMPT_CRASHES,
        CrashCause::Path(_) => MAX_REQUEST_CRASHES,
    };
    let mut crashes: Vec<Instant> = site.servers.iter().flat_map(Server::crash_times).collect();
    crashes.sort();
    let Some(last_allowed) = crashes.get(max_crashes - 1) else { return };
    let fault_times = &site.fault_times;
    let excusing = [
        &fault_times.store_outages,
        &fault_times.frozen,
        &fault_times.killed,
        &fault_times.stopped,
        &fault_times.links,
    ];
    let later = site.servers.iter().flat_map(Server::requests).filter(|received| {
        let at = received.received_at;
        received.headers["x-knapweedford-request-id"].starts_with("bad-")
            && at > *last_allowed + RECOVERY_TIME
            && !excusing.iter().any(|spans| overlaps(spans, at, at, RECOVERY_TIME))
    });
    let later = later.count();
    assert!(
        later <= MAX_LATER_CRASHING_REQUESTS,
        "{later} requests that crash servers after {max_crashes} of {} crashes",
        crashes.len()
    );
}

/// Panics if the limited server got more requests in a window without faults than it allows.
fn check_limit(site: &Site, started: Instant) {
    let requests = site.servers[LIMITED_SERVER].requests();
    let times: Vec<Instant> = requests.iter().map(|received| received.received_at).collect();
    let allowed = 1.5 * LIMIT_PER_S.1 * LIMIT_WINDOW.as_secs_f64() + 5.0;
    for from in times.iter().filter(|from| **from > started + LIMIT_KNOWN_TIME) {
        let to = *from + LIMIT_WINDOW;
        let count = times.iter().filter(|at| (*from..to).contains(at)).count();
        let excused = overlaps(&site.fault_times.all, *from, to, LIMIT_KNOWN_TIME);
        assert!(
            excused || count as f64 <= allowed,
            "the limited server got {count} requests in 4 s, {allowed} allowed"
        );
    }
}

/// Runs one case: rounds of random faults, then a time without faults, then the checks.
fn run_case(seed: u64, gateways: usize) {
    let mut rng = Pcg64::seed_from_u64(seed);
    // Decides how servers leave and crash; the draws of all other faults are those of earlier
    // versions.
    let mut cause_rng = Pcg64::seed_from_u64(!seed);
    let crash_causes = [CrashCause::PromptPart(CRASHING_PART), CrashCause::Path(CRASHING_PATH)];
    let mut slow_rng = Pcg64::seed_from_u64(seed.rotate_left(32) ^ 1);
    let is_group = slow_rng.random_bool(GROUP_PROBABILITY);
    let mut site = Site::start(gateways, crash_causes[cause_rng.random_range(0..2)], is_group);
    let addrs: Vec<_> = site.gateways.iter().map(|gateway| gateway.process.address).collect();
    let clients = Clients::start(&addrs);
    let started = Instant::now();
    // Servers that leave for more than one round, each with the beginning.
    let mut leaving: Vec<(Fault, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        let count = rng.random_range(1..=3);
        let mut faults: Vec<Fault> = Vec::new();
        while faults.len() < count {
            let fault = match Fault::random(&mut rng, gateways) {
                Fault::Drain(at) if cause_rng.random_bool(0.5) => Fault::Deregister(at),
                Fault::Server(at, _) if is_group && slow_rng.random_bool(SLOW_PROBABILITY) => {
                    Fault::SlowEngine(at)
                }
                fault => fault,
            };
            let target = |fault: &Fault| match fault {
                Fault::Terminate(at) | Fault::Kill(at) | Fault::Freeze(at) | Fault::Reload(at) => {
                    (0, *at)
                }
                // One engine is slow at a time.
                Fault::SlowEngine(_) => (6, 0),
                Fault::Server(at, _) | Fault::ServerLink(at, _) => (1, *at),
                Fault::StoreLink(_) | Fault::Store(_) => (2, 0),
                Fault::Drain(at) | Fault::Deregister(at) => (3, *at),
                Fault::Configure => (4, 0),
                Fault::CrashingRequests => (5, 0),
            };
            let active = leaving.iter().map(|(fault, _)| fault).chain(&faults);
            if active.into_iter().all(|other| target(other) != target(&fault)) {
                faults.push(fault);
            }
        }
        eprintln!("KNAPWEEDFORD_SEED={seed} round {round}: {faults:?}");
        let mut began = Vec::new();
        for fault in &faults {
            began.push(Instant::now());
            site.begin_fault(*fault);
            thread::sleep(Duration::from_millis(rng.random_range(0..600)));
        }
        thread::sleep(Duration::from_millis(rng.random_range(200..2_500)));
        let ended = std::mem::take(&mut leaving);
        for (fault, began_at) in ended.into_iter().chain(faults.into_iter().zip(began)) {
            let goes_on = matches!(fault, Fault::Drain(_) | Fault::Deregister(_))
                && round + 1 < ROUNDS
                && cause_rng.random_bool(LONG_LEAVE_PROBABILITY);
            match goes_on {
                true => leaving.push((fault, began_at)),
                false => site.end_fault(fault, began_at),
            }
        }
        thread::sleep(Duration::from_millis(rng.random_range(100..1_500)));
    }
    site.wait_until_ready();
    thread::sleep(LIMIT_KNOWN_TIME + LIMIT_WINDOW + FAULT_FREE_TIME);
    let exchanges = clients.stop();
    check_guarantees(&site, &exchanges, started);
    eprintln!("KNAPWEEDFORD_SEED={seed}: {} requests", exchanges.len());
}

#[test]
fn seeded_faults() {
    let first = fuzz::env_or("KNAPWEEDFORD_SEED", fuzz::SEED);
    let cases = fuzz::env_or("KNAPWEEDFORD_CASES", DEFAULT_CASES);
    let gateways = fuzz::env_or("KNAPWEEDFORD_GATEWAYS", DEFAULT_GATEWAYS);
    REGRESSION_SEEDS
        .into_iter()
        .chain(first..first + cases)
        .for_each(|seed| run_case(seed, gateways));
}
