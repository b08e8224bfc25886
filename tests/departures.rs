//! Backend servers that leave without saying so: their registration is removed, and they serve on.
//! Gateways that could not reach the store meanwhile must stop using them in time, but must keep
//! running servers whose registrations an outage of the store has removed.

use std::{
    net, thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{self, Gateway, Server},
    link::{Link, LinkMode},
    processes::wait_until,
    store::{Mode, Store},
};

/// Time for which a gateway's path to the store must have worked until all bounds hold for it.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time after the return of the store within which running servers have registered again.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);
const GATEWAYS: usize = 4;

/// A gateway with its own path to the store.
struct Member {
    gateway: Gateway,
    store_link: Link,
}

struct Site {
    store: Store,
    servers: Vec<Server>,
    members: Vec<Member>,
}

impl Site {
    fn start() -> Self {
        let store = Store::start();
        let servers: Vec<Server> = (0..2).map(|n| Server::start(&format!("i-{n}"))).collect();
        servers.iter().for_each(|server| gateways::register(&store, server, server.addr, "ready"));
        store.put("op", "config", &gateways::config(1, "llm"));
        let members = (0..GATEWAYS).map(|_| {
            let store_link = Link::open(store.addr);
            Member { gateway: Gateway::start(store_link.addr), store_link }
        });
        let site = Self { members: members.collect(), store, servers };
        for member in &site.members {
            wait_until("a gateway is ready", || member.gateway.is_ready().then_some(()));
        }
        site
    }

    /// Starts a client for each gateway that sends requests until `until`; returns the threads,
    /// which return the number of requests that were not served.
    fn start_clients(&self, until: Instant) -> Vec<thread::JoinHandle<usize>> {
        let start = |(n, member): (usize, &Member)| {
            let at: net::SocketAddr = member.gateway.process.address;
            thread::spawn(move || {
                let mut unserved = 0;
                for request in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let answer = gateways::send(at, "GET", "/read/a", &format!("{n}-{request}"));
                    unserved += usize::from(answer.status != 200);
                    thread::sleep(Duration::from_millis(10));
                }
                unserved
            })
        };
        self.members.iter().enumerate().map(start).collect()
    }

    /// Returns when the latest request of gateway `n` reached `server`.
    fn last_arrival(server: &Server, n: usize) -> Option<Instant> {
        let requests = server.requests();
        let of_gateway = requests
            .iter()
            .filter(|req| req.headers["x-knapweedford-request-id"].starts_with(&format!("{n}-")));
        of_gateway.map(|req| req.received_at).max()
    }
}

/// Lets a server leave while the paths of all gateways to the store are in `cut_mode`, then restores
/// them one after the other.
fn leave_during_cut(cut_mode: LinkMode) {
    let site = Site::start();
    site.members.iter().for_each(|member| member.store_link.set_mode(cut_mode));
    let clients = site.start_clients(Instant::now() + Duration::from_secs(10));
    thread::sleep(Duration::from_secs(1));
    let left_at = Instant::now();
    site.store.remove("servers", "i-0");
    thread::sleep(Duration::from_secs(3));
    let mut restored_at = Vec::new();
    for member in &site.members {
        member.store_link.set_mode(LinkMode::Open);
        restored_at.push(Instant::now());
        thread::sleep(Duration::from_millis(270));
    }
    let unserved: usize =
        clients.into_iter().map(|client| client.join().expect("a client ended well")).sum();
    assert_eq!(unserved, 0, "requests were not served although a server was running");
    for (n, restored_at) in restored_at.into_iter().enumerate() {
        let last = Site::last_arrival(&site.servers[0], n).expect("the server was in use");
        assert!(last > left_at, "gateway {n} could reach the store");
        let after = last.saturating_duration_since(restored_at);
        assert!(
            after <= STABLE_TIME,
            "gateway {n} sent a request to a server that had left {:?} after the store was back",
            after
        );
    }
}

/// Guards against requests to a server that left while a gateway got no answers from the store.
#[test]
fn left_during_silence() {
    leave_during_cut(LinkMode::DropAll);
}

/// Guards against requests to a server that left while the connections of a gateway to the store were
/// reset.
#[test]
fn left_during_resets() {
    leave_during_cut(LinkMode::Reset);
}

/// Guards against refusals for want of servers after an outage of the store that removed the
/// registrations of all servers.
#[test]
fn lapsed_servers_kept() {
    let site = Site::start();
    let clients = site.start_clients(Instant::now() + Duration::from_secs(9));
    site.store.set_mode(Mode::Refusing(503));
    thread::sleep(Duration::from_secs(1));
    site.servers.iter().for_each(|server| site.store.remove("servers", &server.id));
    thread::sleep(Duration::from_secs(3));
    site.store.set_mode(Mode::Normal);
    thread::sleep(REGISTRATION_TIME);
    for server in &site.servers {
        gateways::register(&site.store, server, server.addr, "ready");
    }
    let unserved: usize =
        clients.into_iter().map(|client| client.join().expect("a client ended well")).sum();
    assert_eq!(unserved, 0, "running servers were dropped");
}
