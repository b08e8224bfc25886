//! A request without a prompt that crashes each backend server that begins to answer it. It comes
//! again with the same path, caller and body, at all gateways.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{self, Answer, Behavior, CrashCause, Gateway, Server},
    processes::wait_until,
    store::Store,
};

/// Crashes after which the request must soon no longer reach servers.
const MAX_CRASHES: usize = 3;
/// Time after the last of these crashes from which the bound on further arrivals holds.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Arrivals allowed after that.
const MAX_LATER_ARRIVALS: usize = 3;
/// Time between two requests with the cause of the crashes.
const PAUSE: Duration = Duration::from_millis(250);

/// Time within which a server that has crashed is in use again.
const RESTART_TIME: Duration = Duration::from_secs(3);

struct Site {
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
}

impl Site {
    /// Starts servers that crash on requests to `path`.
    fn start(path: &'static str) -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..4).map(|n| Server::start(&format!("i-{n}"))).collect();
        for server in &servers {
            server.set_behavior(Behavior::Paced(10));
            server.crash_on(CrashCause::Path(path), &store);
            gateways::register(&store, server, server.addr, "ready");
        }
        store.put("op", "config", &gateways::config(1, "llm"));
        let gateways: Vec<Gateway> = (0..3).map(|_| Gateway::start(store.addr)).collect();
        for gateway in &gateways {
            wait_until("a gateway is ready", || gateway.is_ready().then_some(()));
        }
        Self { servers, gateways }
    }

    fn send(&self, gateway: usize, method: &str, path: &str, id: &str) -> Answer {
        gateways::send(self.gateways[gateway].process.address, method, path, id)
    }

    /// Returns the times at which requests to `path` reached servers, in order.
    fn arrivals(&self, path: &str) -> Vec<Instant> {
        let requests = self.servers.iter().flat_map(Server::requests);
        let mut times: Vec<Instant> =
            requests.filter(|req| req.url == path).map(|req| req.received_at).collect();
        times.sort();
        times
    }
}

/// Sends a crashing request to all gateways in turn, and sound requests with other paths between
/// them.
fn check_bound(method: &str, path: &'static str, sound_prefix: &str) {
    let site = Site::start(path);
    let (mut refused, mut sound_answered) = (0, 0);
    for n in 0..40 {
        let id = format!("bad-{n}");
        let answer = site.send(n % 3, method, path, &id);
        if answer.status == 503 {
            let ran = site
                .servers
                .iter()
                .flat_map(Server::requests)
                .any(|req| req.headers["x-knapweedford-request-id"] == id);
            assert!(!ran, "{id} ran although its answer states that it did not");
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
            refused += 1;
        }
        thread::sleep(PAUSE);
        let sound = site.send(n % 3, method, &format!("{sound_prefix}{n}"), &format!("ok-{n}"));
        sound_answered += usize::from(n >= 20 && sound.status == 200);
    }
    let arrivals = site.arrivals(path);
    if let Some(third) = arrivals.get(MAX_CRASHES - 1) {
        let bound_from = *third + STABLE_TIME;
        let later = arrivals.iter().filter(|at| **at > bound_from).count();
        assert!(
            later <= MAX_LATER_ARRIVALS,
            "the request reached servers {later} times after the bound, {} in all",
            arrivals.len()
        );
    }
    assert!(refused >= 20, "only {refused} of 40 crashing requests were refused");
    assert_eq!(sound_answered, 20, "sound requests were not answered");
}

/// Guards against a request that may be repeated and crashes server after server, each time that it
/// comes again.
#[test]
fn repeats_bounded() {
    check_bound("GET", "/read/bad", "/read/");
}

/// Guards against the same with a request that may run only once.
#[test]
fn once_bounded() {
    check_bound("POST", "/once/bad", "/once/");
}

/// Guards against the refusal of a sound request that comes again and again, and was running on
/// servers that crashed.
#[test]
fn sound_repeats_served() {
    let site = Site::start("/read/bad");
    site.servers.iter().for_each(|server| server.set_behavior(Behavior::Paced(150)));
    thread::scope(|scope| {
        for gateway in 0..3 {
            let site = &site;
            scope.spawn(move || {
                for n in 0..40 {
                    site.send(gateway, "GET", "/read/sound", &format!("ok-{gateway}-{n}"));
                }
            });
        }
        for n in 0..12 {
            site.send(n % 3, "GET", "/read/bad", &format!("bad-{n}"));
            thread::sleep(PAUSE);
        }
    });
    thread::sleep(RESTART_TIME);
    for n in 0..6 {
        let answer = site.send(n % 3, "GET", "/read/sound", &format!("after-{n}"));
        assert_eq!(answer.status, 200, "a sound request is refused: {answer:?}");
    }
}
