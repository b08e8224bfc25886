//! A part of a prompt that crashes each backend server that begins to answer it. Requests with it
//! arrive at all gateways, no two alike, among sound ones that share their other parts.

use std::{
    net,
    sync::{Arc, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{self, Answer, Behavior, CrashCause, Gateway, Server},
    processes::wait_until,
    store::Store,
};

/// Part that crashes servers, and a part that sound requests share with the crashing ones.
const CRASHING: &str = "bad";
const SHARED: &str = "f00d";
/// Crashes after which requests with the part must no longer reach servers.
const MAX_CRASHES: usize = 5;
/// Time after the last of these crashes from which the bound on further requests holds.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach servers after that.
const MAX_LATER_REQUESTS: usize = 3;

/// Part of sound prompts only.
const TOPIC: &str = "70b1c";
/// Time within which prompts whose servers failed together once are served again.
const MAX_SUSPICION: Duration = Duration::from_secs(15);
/// Time between two requests of a kind that is seldom asked for.
const RARE_REQUEST_INTERVAL: Duration = Duration::from_secs(3);

struct Site {
    store: Store,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
}

impl Site {
    fn start(servers: usize, gateways: usize) -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..servers).map(|n| Server::start(&format!("i-{n}"))).collect();
        for server in &servers {
            server.set_behavior(Behavior::Paced(10));
            server.crash_on(CrashCause::PromptPart(CRASHING), &store);
            gateways::register(&store, server, server.addr, "ready");
        }
        store.put("op", "config", &gateways::config(1, "llm"));
        let gateways: Vec<Gateway> = (0..gateways).map(|_| Gateway::start(store.addr)).collect();
        let site = Self { store, servers, gateways };
        site.wait_until_ready();
        site
    }

    fn wait_until_ready(&self) {
        for gateway in &self.gateways {
            wait_until("a gateway is ready", || gateway.is_ready().then_some(()));
        }
    }

    fn addrs(&self) -> Vec<net::SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.process.address).collect()
    }

    /// Sends a request with the crashing part to the gateway `at`.
    fn send_crashing(&self, at: usize, n: usize) -> Answer {
        let prompt = format!("{SHARED}:40,{CRASHING}:200,own{n}:30");
        gateways::send_prompt(self.gateways[at].process.address, &prompt, &format!("bad-{n}"))
    }

    /// Returns the times of all crashes, in order.
    fn crash_times(&self) -> Vec<Instant> {
        let mut times: Vec<Instant> = self.servers.iter().flat_map(Server::crash_times).collect();
        times.sort();
        times
    }

    /// Returns the times at which requests with the crashing part reached servers.
    fn crashing_arrivals(&self) -> Vec<Instant> {
        let requests = self.servers.iter().flat_map(Server::requests);
        let has_part = |headers: &std::collections::BTreeMap<String, String>| {
            headers.get("x-knapweedford-prefix-hash").is_some_and(|parts| parts.contains(CRASHING))
        };
        requests.filter(|req| has_part(&req.headers)).map(|req| req.received_at).collect()
    }
}

/// Sends sound requests to all gateways until it is stopped; returns the share that was answered
/// since the last call of [`SoundClients::reset`].
struct SoundClients {
    stop: Arc<atomic::AtomicBool>,
    sent: Arc<atomic::AtomicUsize>,
    answered: Arc<atomic::AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl SoundClients {
    fn start(addrs: &[net::SocketAddr]) -> Self {
        let stop = Arc::new(atomic::AtomicBool::new(false));
        let (sent, answered): (Arc<atomic::AtomicUsize>, Arc<atomic::AtomicUsize>) =
            Default::default();
        let threads = addrs.iter().copied().cycle().take(3 * addrs.len()).enumerate();
        let threads = threads.map(|(client, at)| {
            let (stop, sent, answered) =
                (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(&answered));
            thread::spawn(move || {
                for n in 0.. {
                    if stop.load(atomic::Ordering::Relaxed) {
                        return;
                    }
                    let prompt = format!("{SHARED}:40,topic{}:200,own{client}-{n}:30", n % 7);
                    let answer = gateways::send_prompt(at, &prompt, &format!("ok-{client}-{n}"));
                    sent.fetch_add(1, atomic::Ordering::Relaxed);
                    let complete = answer.status == 200 && answer.body.is_ok();
                    answered.fetch_add(usize::from(complete), atomic::Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        let threads = threads.collect();
        Self { stop, sent, answered, threads }
    }

    fn reset(&self) {
        self.sent.store(0, atomic::Ordering::Relaxed);
        self.answered.store(0, atomic::Ordering::Relaxed);
    }

    fn stop(self) -> f64 {
        self.stop.store(true, atomic::Ordering::Relaxed);
        self.threads.into_iter().for_each(|client| client.join().expect("a client ended well"));
        let count = |n: &atomic::AtomicUsize| n.load(atomic::Ordering::Relaxed) as f64;
        count(&self.answered) / count(&self.sent)
    }
}

/// Guards against requests of one kind that crash server after server: what one gateway saw of a
/// crash must count at all of them.
#[test]
fn crashes_bounded() {
    let site = Site::start(8, 3);
    let clients = SoundClients::start(&site.addrs());
    thread::sleep(Duration::from_secs(1));
    let mut refused = 0;
    for n in 0..40 {
        let answer = site.send_crashing(n % 3, n);
        let ran =
            site.servers.iter().flat_map(Server::requests).any(|req| {
                req.headers.get("x-knapweedford-request-id") == Some(&format!("bad-{n}"))
            });
        if answer.status == 503 {
            assert!(!ran, "request {n} ran although its answer states that it did not");
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
            refused += 1;
        }
        if n == 20 {
            clients.reset();
        }
        thread::sleep(Duration::from_millis(250));
    }
    let share = clients.stop();
    let crashes = site.crash_times();
    if let Some(fifth) = crashes.get(MAX_CRASHES - 1) {
        let bound_from = *fifth + STABLE_TIME;
        let later = site.crashing_arrivals().iter().filter(|at| **at > bound_from).count();
        assert!(
            later <= MAX_LATER_REQUESTS,
            "{later} requests reached servers after the bound, {} crashes in all",
            crashes.len()
        );
    }
    assert!(refused >= 20, "only {refused} of 40 requests with the part were refused");
    assert!(share > 0.95, "only {share:.2} of the sound requests were answered");
}

/// Guards against a gateway that has just started and knows nothing of the crashes that the others
/// have seen.
#[test]
fn known_after_restart() {
    let mut site = Site::start(8, 2);
    for n in 0..12 {
        site.send_crashing(n % 2, n);
        thread::sleep(Duration::from_millis(250));
    }
    for gateway in &mut site.gateways {
        gateway.process.kill();
        gateway.restart();
    }
    site.wait_until_ready();
    let before = site.crashing_arrivals().len();
    assert!(before <= MAX_CRASHES, "{before} requests reached servers");
    for n in 20..30 {
        assert_eq!(site.send_crashing(n % 2, n).status, 503, "request {n}");
    }
    assert_eq!(site.crashing_arrivals().len(), before);
}

/// Guards against retries that carry one request from server to server, each of which crashes.
#[test]
fn retries_bounded() {
    let site = Site::start(8, 1);
    site.send_crashing(0, 1);
    site.send_crashing(0, 2);
    let arrivals = site.crashing_arrivals().len();
    assert!(arrivals <= 3, "two requests crashed {arrivals} servers");
}

/// Guards against an outage of the store that keeps a gateway from learning of crashes for good.
#[test]
fn reported_after_outage() {
    let site = Site::start(8, 2);
    site.store.set_mode(crate::store::Mode::Refusing(503));
    for n in 0..6 {
        site.send_crashing(0, n);
    }
    let before = site.crashing_arrivals().len();
    assert!(before <= MAX_CRASHES, "{before} requests reached servers");
    site.store.set_mode(crate::store::Mode::Normal);
    thread::sleep(STABLE_TIME);
    for n in 10..16 {
        assert_eq!(site.send_crashing(1, n).status, 503, "request {n}");
    }
    assert_eq!(site.crashing_arrivals().len(), before);
}

/// Guards against sound prompts that are refused for an hour because the servers that had just begun
/// to answer them failed together.
#[test]
fn servers_fail_together() {
    let site = Site::start(4, 2);
    site.servers.iter().for_each(|server| server.set_behavior(Behavior::Paced(300)));
    let send = |gateway: usize, n: usize| {
        let prompt = format!("{TOPIC}:200,own{n}:30");
        gateways::send_prompt(site.gateways[gateway].process.address, &prompt, &format!("ok-{n}"))
    };
    thread::scope(|scope| {
        for n in 0..8 {
            let send = &send;
            scope.spawn(move || send(n % 2, n));
        }
        thread::sleep(Duration::from_millis(250));
        site.servers.iter().for_each(Server::crash);
    });
    site.servers.iter().for_each(|server| server.set_behavior(Behavior::Paced(10)));
    let crashed_at = Instant::now();
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(send(0, 100).status, 503, "the crashes are not put down to the prompts");
    let mut n = 200;
    while (0..2).any(|gateway| send(gateway, n + gateway).status != 200) {
        assert!(crashed_at.elapsed() < MAX_SUSPICION, "sound prompts are refused still");
        thread::sleep(RARE_REQUEST_INTERVAL);
        n += 2;
    }
    for n in 1_000..1_040 {
        assert_eq!(send(n % 2, n).status, 200, "request {n}");
    }
}

/// Guards against gateways that probe at the same time, each of which crashes a server.
#[test]
fn one_probe_at_a_time() {
    let site = Site::start(4, 2);
    thread::scope(|scope| {
        for n in 0..8 {
            let site = &site;
            scope.spawn(move || site.send_crashing(n % 2, n));
        }
    });
    let crashed_at = Instant::now();
    thread::sleep(STABLE_TIME);
    assert_eq!(site.send_crashing(0, 10).status, 503, "the prompts are not quarantined");
    let before = site.crashing_arrivals().len();
    thread::scope(|scope| {
        for client in 0..8 {
            let site = &site;
            scope.spawn(move || {
                for n in 0.. {
                    if crashed_at.elapsed() > MAX_SUSPICION {
                        return;
                    }
                    site.send_crashing(client % 2, 100 * (client + 1) + n);
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let probes = site.crashing_arrivals().len() - before;
    assert!(probes <= 1, "{probes} requests reached servers, one probe was due");
}
