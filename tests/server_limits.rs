//! Backend servers that name a limit on the requests a second that they take from all gateways
//! together.

use std::{
    sync::{Arc, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{self, Gateway, Server},
    processes::wait_until,
    store::Store,
};

/// Window over which a limit is checked, and the requests allowed in it.
const WINDOW: Duration = Duration::from_secs(4);

fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64()) as usize + 5
}

/// Gateways and servers, with clients that keep sending to all gateways.
struct Site {
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    stop: Arc<atomic::AtomicBool>,
    clients: Vec<thread::JoinHandle<(usize, usize)>>,
}

impl Site {
    fn start(servers: usize, gateways: usize) -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..servers).map(|n| Server::start(&format!("i-{n}"))).collect();
        servers.iter().for_each(|server| gateways::register(&store, server, server.addr, "ready"));
        store.put("op", "config", &gateways::config(1, "llm"));
        let gateways: Vec<Gateway> = (0..gateways).map(|_| Gateway::start(store.addr)).collect();
        for gateway in &gateways {
            wait_until("a gateway is ready", || gateway.is_ready().then_some(()));
        }
        // Until the second heartbeat, a gateway may not know of those that started after it.
        thread::sleep(Duration::from_secs(4));
        Self { servers, gateways, stop: Arc::default(), clients: Vec::new() }
    }

    fn start_clients(&mut self) {
        for gateway in &self.gateways {
            let (at, stop) = (gateway.process.address, Arc::clone(&self.stop));
            self.clients.push(thread::spawn(move || {
                let (mut sent, mut answered) = (0, 0);
                while !stop.load(atomic::Ordering::Relaxed) {
                    let answer = gateways::send(at, "GET", "/read/a", &format!("id-{sent}"));
                    sent += 1;
                    answered += usize::from(answer.status == 200);
                    thread::sleep(Duration::from_millis(20));
                }
                (sent, answered)
            }));
        }
    }

    /// Ends the clients; returns the numbers of requests sent and answered.
    fn stop_clients(&mut self) -> (usize, usize) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let counts =
            self.clients.drain(..).map(|client| client.join().expect("a client ended well"));
        counts.fold((0, 0), |(sent, answered), one| (sent + one.0, answered + one.1))
    }

    /// Returns the largest number of requests that `server` got in a window within the given time.
    fn busiest_window(&self, server: usize, from: Instant, to: Instant) -> usize {
        let requests = self.servers[server].requests();
        let times: Vec<Instant> = requests
            .iter()
            .map(|req| req.received_at)
            .filter(|at| (from..to).contains(at))
            .collect();
        let count = |start: &Instant| {
            times.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
        };
        times.iter().map(count).max().unwrap_or_default()
    }
}

/// Guards against a limit that each gateway keeps by itself, or not at all, so that the server gets
/// a multiple of it.
#[test]
fn sum_bounded() {
    let mut site = Site::start(3, 4);
    site.servers[0].set_limit(Some("2.3"));
    site.servers[1].set_limit(Some("6"));
    site.start_clients();
    thread::sleep(Duration::from_secs(3));
    let from = Instant::now();
    thread::sleep(Duration::from_secs(7));
    let to = Instant::now();
    for (server, per_s) in [(0, 2.3), (1, 6.0)] {
        let busiest = site.busiest_window(server, from, to);
        let least = (0.5 * per_s * WINDOW.as_secs_f64()) as usize;
        assert!(busiest <= allowed(per_s), "{busiest} requests in 4 s, limit {per_s}");
        assert!(busiest >= least, "only {busiest} requests in 4 s, limit {per_s}");
    }
    let (sent, answered) = site.stop_clients();
    assert!(answered * 100 >= sent * 98, "{answered} of {sent} answered with one server free");
}

/// A server that no longer names a limit gets its full share again.
#[test]
fn limit_ends() {
    let mut site = Site::start(2, 2);
    site.servers[0].set_limit(Some("2"));
    site.start_clients();
    thread::sleep(Duration::from_secs(4));
    site.servers[0].set_limit(None);
    thread::sleep(Duration::from_secs(3));
    let from = Instant::now();
    thread::sleep(Duration::from_secs(4));
    let counts = [0, 1].map(|server| site.busiest_window(server, from, Instant::now()));
    site.stop_clients();
    assert!(counts[0] * 4 > counts[1], "the server got {} of {}", counts[0], counts[0] + counts[1]);
}

/// While all servers are limited, requests over the limits are refused soon, with a Retry-After.
#[test]
fn all_limited() {
    let mut site = Site::start(2, 2);
    site.servers.iter().for_each(|server| server.set_limit(Some("3")));
    site.start_clients();
    thread::sleep(Duration::from_secs(4));
    let from = Instant::now();
    let mut refused = 0;
    for n in 0..20 {
        let sent_at = Instant::now();
        let at = site.gateways[n % 2].process.address;
        let answer = gateways::send(at, "GET", "/read/a", &format!("probe-{n}"));
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
        if answer.status == 503 {
            refused += 1;
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
        }
        thread::sleep(Duration::from_millis(200));
    }
    for server in 0..2 {
        let busiest = site.busiest_window(server, from, Instant::now());
        assert!(busiest <= allowed(3.0), "{busiest} requests in 4 s");
    }
    site.stop_clients();
    assert!(refused > 0, "no request was refused");
}

/// A gateway that is killed and comes back while a limit holds learns it anew and keeps it.
#[test]
fn kept_after_restart() {
    let mut site = Site::start(2, 3);
    site.servers[0].set_limit(Some("2.5"));
    site.start_clients();
    thread::sleep(Duration::from_secs(4));
    site.gateways[0].process.kill();
    site.gateways[0].restart();
    let gateway = &site.gateways[0];
    wait_until("the gateway is ready", || gateway.is_ready().then_some(()));
    thread::sleep(Duration::from_secs(1));
    let from = Instant::now();
    thread::sleep(Duration::from_secs(6));
    let busiest = site.busiest_window(0, from, Instant::now());
    site.stop_clients();
    assert!(busiest <= allowed(2.5), "{busiest} requests in 4 s");
}

/// A limit that is not a number of requests is none.
#[test]
fn bad_limits_ignored() {
    let mut site = Site::start(1, 1);
    for value in ["-1", "NaN", "inf", "soon", ""] {
        site.servers[0].set_limit(Some(value));
        for n in 0..5 {
            let at = site.gateways[0].process.address;
            let answer = gateways::send(at, "GET", "/read/a", &format!("id-{n}"));
            assert_eq!(answer.status, 200, "{value:?}");
        }
    }
    site.stop_clients();
}
