//! Answers to earlier requests, most of them refusals, that a faulty server writes once more in front
//! of the answer to another request. They say nothing about that request, which the server runs.

use std::{
    io::Write,
    net,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use knapweedford::http::client;

use crate::{
    gateways::{self, Behavior, Server},
    rank_agents::{Group, OrderAnswers},
    raw_servers::{self, Request},
    store::Store,
};

const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];
const REPEATABLE: [(&str, &str); 2] = [("GET", "/read/a"), ("POST", "/stream/a")];

/// Ids of the requests that a server ran.
type Runs = Arc<Mutex<Vec<String>>>;

/// Starts a server that writes `refusal` in front of each answer to a request that is not the first
/// on its connection, or is the first, as `after_first` says.
fn start_server(refusal: String, after_first: bool) -> (net::SocketAddr, Runs) {
    let runs = Runs::default();
    let recorded = Arc::clone(&runs);
    let answer = move |req: &Request, conn: &mut net::TcpStream| {
        recorded.lock().unwrap().push(req.id().into());
        if (req.earlier > 0) == after_first {
            // The gateway may have closed its connection.
            let _ = conn.write_all(refusal.as_bytes());
            thread::sleep(Duration::from_millis(20));
        }
        let (kind, body) = match req.streams() {
            true => ("text/event-stream", "id: 1\ndata: x\n\n"),
            false => ("text/plain", "done"),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Knapweedford-Request-Id: {}\r\nContent-Type: {kind}\r\n\
             X-Knapweedford-Response-Seal: seal\r\nContent-Length: {}\r\n\r\n{body}",
            req.id(),
            body.len()
        );
        conn.write_all(answer.as_bytes()).is_ok()
    };
    (raw_servers::start(answer), runs)
}

/// Returns a refusal of the request `id`, or one that does not state to which request it belongs.
fn refusal(status: u16, id: Option<&str>) -> String {
    let id = id.map(|id| format!("X-Knapweedford-Request-Id: {id}\r\n")).unwrap_or_default();
    format!(
        "HTTP/1.1 {status} Refused\r\n{id}X-Knapweedford-Not-Executed: 1\r\nRetry-After: 30\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Guards against clients that are told that a request has not run because of a refusal that was
/// written once more on a kept connection, and against clients that get the answer to another request.
#[test]
fn kept_connections() {
    for status in [200, 404, 500].into_iter().chain(REFUSAL_STATUSES) {
        for id in [Some("id-earlier"), None] {
            for (method, path) in REPEATABLE {
                let (addr, runs) = start_server(refusal(status, id), true);
                let gateway = raw_servers::start_gateway(&[addr]);
                let at = gateway.process.address;
                for n in 0..6 {
                    let id = format!("id-{n}");
                    let answer = gateways::send(at, method, path, &id);
                    let ran = runs.lock().unwrap().contains(&id);
                    let case = format!("{status}, {path}, request {n}: {answer:?}");
                    assert!(
                        ran,
                        "a refusal of another request keeps the server out of use: {case}"
                    );
                    let is_own = answer.headers.contains_key("x-knapweedford-response-seal");
                    assert_eq!(answer.status, if is_own { 200 } else { 502 }, "{case}");
                }
            }
        }
    }
}

/// A request that may run twice is answered by another server instead.
#[test]
fn other_server_answers() {
    for status in REFUSAL_STATUSES {
        for (method, path) in REPEATABLE {
            let (addr, _) = start_server(refusal(status, Some("id-earlier")), true);
            let sound = Server::start("i-1");
            let gateway = raw_servers::start_gateway(&[addr, sound.addr]);
            for n in 0..8 {
                let answer =
                    gateways::send(gateway.process.address, method, path, &format!("id-{n}"));
                assert_eq!(answer.status, 200, "{status}, {path}, request {n}: {answer:?}");
            }
        }
    }
}

/// Guards against a second run of a request that must run once, or status 503 for it, because of a
/// refusal of another request on a new connection.
#[test]
fn new_connections() {
    for status in REFUSAL_STATUSES {
        let (addr, runs) = start_server(refusal(status, Some("id-earlier")), false);
        let sound = Server::start("i-1");
        let gateway = raw_servers::start_gateway(&[addr, sound.addr]);
        for n in 0..8 {
            let id = format!("id-{n}");
            let answer = gateways::send(gateway.process.address, "POST", "/once/a", &id);
            let requests = sound.requests();
            let ran_at_sound = requests.iter().any(|received| {
                received.headers["x-knapweedford-request-id"] == id && received.ran
            });
            let ran_at_faulty = runs.lock().unwrap().contains(&id);
            let case = format!("{status}, request {n}: {answer:?}");
            assert_ne!(ran_at_sound, ran_at_faulty, "{case}");
            assert_eq!(answer.status, if ran_at_sound { 200 } else { 502 }, "{case}");
        }
    }
}

/// A server's own refusals count, on new and on kept connections, also if it does not state the
/// request on a connection that has carried no other.
#[test]
fn own_refusals() {
    for (method, path) in [("POST", "/once/a"), REPEATABLE[0], REPEATABLE[1]] {
        let servers = [Server::start("i-0"), Server::start("i-1")];
        let gateway = raw_servers::start_gateway(&servers.each_ref().map(|server| server.addr));
        let send = |id| gateways::send(gateway.process.address, method, path, id).status;
        assert_eq!((send("id-1"), send("id-2"), send("id-3")), (200, 200, 200));
        servers.iter().for_each(|server| server.set_behavior(Behavior::RefuseWith(503)));
        assert_eq!((send("id-4"), send("id-5")), (503, 503), "{path}");
    }
    let unstated = |_: &Request, conn: &mut net::TcpStream| {
        let _ = conn.write_all(refusal(503, None).as_bytes());
        false
    };
    let gateway = raw_servers::start_gateway(&[raw_servers::start(unstated)]);
    let answer = gateways::send(gateway.process.address, "POST", "/once/a", "id-1");
    assert_eq!(answer.status, 503);
}

/// Guards against the answer to a refused order, which follows an earlier refusal on a new connection,
/// that is taken for the answer to the next call to that engine.
#[test]
fn late_order_answer() {
    let addr = raw_servers::start(|req, conn| {
        let sent = match req.path() {
            "/order" => {
                let refused =
                    conn.write_all(b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
                thread::sleep(Duration::from_millis(40));
                let late = b"HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\nlate";
                refused.and_then(|()| conn.write_all(late))
            }
            _ => conn.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"),
        };
        sent.is_ok()
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let timeout = Duration::from_secs(2);
        let req = |method, path| client::request(method, addr, path, None).ok().unwrap();
        for _ in 0..3 {
            let pool = client::Pool::default();
            let order = req(hyper::Method::POST, "/order");
            let refused = pool.call_for_refusals(addr, order, 100, timeout).await.ok().unwrap();
            assert_eq!(refused.status(), 409);
            let report = pool.call(addr, req(hyper::Method::GET, "/report"), 100, timeout).await;
            assert_eq!(report.ok().unwrap().body(), "own");
        }
    });
}

/// Guards against rank agents that take the refusal of an earlier order, or the answer that follows
/// it, for the answer to another call: the group stands while their owner changes.
#[test]
fn refused_orders() {
    let stores = [Store::start(), Store::start(), Store::start()];
    let mut groups = stores.each_ref().map(|store| Group::start(store, 3));
    for ((group, store), pause_ms) in groups.iter_mut().zip(&stores).zip([0, 5, 40]) {
        group.start_agents(store);
        group.wait_for_change();
        group.set_answers(OrderAnswers::AfterEarlierRefusal(Duration::from_millis(pause_ms)));
    }
    thread::sleep(Duration::from_secs(5));
    for group in &mut groups {
        group.wait_for_change();
        assert!(group.mixed_passes().is_empty(), "a pass began with two maps");
        assert!(!group.logs().contains("ownership lost"), "{}", group.logs());
        assert!(group.agents.iter_mut().all(|agent| agent.is_running()));
    }
}
