//! Clients that read their streams more slowly than engines make them.

use std::{
    io::Write,
    net,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use knapweedford::{balance::capacity::PassEstimate, rank::message::Loads};

use crate::{
    agents,
    gateways::{self, Gateway},
    processes::wait_until,
    raw_servers::{self, Request},
    store::Store,
};

const EVENTS: usize = 120;
/// Size of an event: a few of them fill the buffers between a server and its client.
const EVENT_BYTES: usize = 200_000;
const CLIENTS: usize = 8;
/// Pause of a client between two reads, by which a stream takes some seconds.
const READ_PAUSE: Duration = Duration::from_millis(3);

/// Sends the events of a stream from the one that `req` asks for.
fn send_events(req: &Request, conn: &mut net::TcpStream) -> bool {
    let first = 1 + req.header("last-event-id").parse::<usize>().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Knapweedford-Request-Id: {}\r\nContent-Type: text/event-stream\r\n\
         X-Knapweedford-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n",
        req.id()
    );
    let sent = conn.write_all(head.as_bytes()).and_then(|()| {
        for n in first..=EVENTS {
            let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            write!(conn, "{:x}\r\n{event}\r\n", event.len())?;
        }
        conn.write_all(b"0\r\n\r\n")
    });
    sent.is_ok()
}

/// Guards against streams that lose the events which wait for their client when they move away from
/// an engine that turned slow, and end as complete all the same.
#[test]
fn moved_streams() {
    let servers = [raw_servers::start(send_events), raw_servers::start(send_events)];
    let absent = |n: usize| net::SocketAddr::from(([127, 0, 0, 1], n as u16));
    let engines = (0..agents::RANKS).map(|n| (servers.get(n).copied().unwrap_or(absent(n)), 0));
    let loads = Loads { is_owner: true, engines: engines.collect(), ..Loads::default() };
    let loads = Arc::new(Mutex::new(loads));
    let store = Store::start();
    for (rank, addr) in servers.iter().enumerate() {
        let row = gateways::row(*addr, "ready", 1, &agents::group_fields(rank));
        store.put("servers", &format!("i-{rank}"), &row);
    }
    let config = agents::config(1).replace(r#""timeout_ms":2000"#, r#""timeout_ms":20000"#);
    store.put("op", "config", &config);
    let gateway = Gateway::start_with_agents(store.addr, agents::start(Arc::clone(&loads)));
    wait_until("the gateway is ready", || gateway.is_ready().then_some(()));

    let at = gateway.process.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            thread::spawn(move || raw_servers::request_stream(at, &format!("id-{n}"), READ_PAUSE))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    {
        let mut loads = loads.lock().unwrap();
        loads.slow = vec![servers[0]];
        loads.passes = Some(PassEstimate { fixed_ms: 250.0, per_request_ms: 6.0, requests: 1.0 });
    }
    let mut complete = 0;
    for (n, client) in clients.into_iter().enumerate() {
        let received = client.join().unwrap();
        let ids = received.text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<usize> = ids.filter_map(|id| id.parse().ok()).collect();
        let in_order = ids.iter().enumerate().all(|(at, id)| *id == at + 1);
        assert!(in_order, "client {n} got the events {ids:?}");
        assert!(!received.is_complete || ids.len() == EVENTS, "client {n} got the events {ids:?}");
        complete += usize::from(received.is_complete);
    }
    assert!(gateway.logs().contains("moving a stream away"), "no stream was moved");
    assert!(complete > CLIENTS / 2, "{complete} of {CLIENTS} streams were complete");
}
