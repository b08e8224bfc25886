//! A gateway process whose streams run on an engine that turns slow, as a rank agent reports.

use std::{
    net,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use knapweedford::{balance::capacity::PassEstimate, rank::message::Loads};

use crate::{
    agents::{self, RANKS},
    gateways::{self, Behavior, Gateway, Server},
    processes::wait_until,
    store::Store,
};

/// The engine of a stream turns so slow that the whole group waits for its requests. The stream moves
/// to another engine, without a lost, repeated or reordered event, and new requests follow it.
#[test]
fn stream_moves() {
    let store = Store::start();
    let servers = [Server::start("i-0"), Server::start("i-1")];
    servers[0].set_behavior(Behavior::Paced(250));
    let absent = |n: usize| net::SocketAddr::from(([127, 0, 0, 1], n as u16));
    let addr = |n: usize| servers.get(n).map_or(absent(n), |server| server.addr);
    for (rank, server) in servers.iter().enumerate() {
        gateways::register_rank(&store, server, server.addr, "ready", Some(rank));
    }
    store.put("op", "config", &agents::config(1));
    // At first only the first engine has room.
    let engines = (0..RANKS).map(|n| (addr(n), if n == 0 { 0 } else { 100 })).collect();
    let loads = Loads { is_owner: true, engines, ..Loads::default() };
    let reported = Arc::new(Mutex::new(loads));
    let gateway = Gateway::start_with_agents(store.addr, agents::start(Arc::clone(&reported)));
    wait_until("the gateway is ready", || gateway.is_ready().then_some(()));
    wait_until("the gateway receives loads", || {
        gateway.logs().contains("receiving load reports").then_some(())
    });
    let at = gateway.process.address;
    let client = thread::spawn(move || gateways::send(at, "POST", "/stream/a", "id-1"));
    wait_until("the stream runs on the first engine", || {
        (!servers[0].requests().is_empty()).then_some(())
    });
    thread::sleep(Duration::from_millis(400));
    {
        let mut loads = reported.lock().unwrap();
        loads.engines.iter_mut().for_each(|(_, requests)| *requests = 0);
        loads.slow = vec![servers[0].addr];
        loads.passes = Some(PassEstimate { fixed_ms: 270.0, per_request_ms: 6.0, requests: 1.0 });
    }
    let answer = client.join().unwrap();
    let complete: String = (1..=6).map(|n| format!("id: {n}\ndata: x{n}\n\n")).collect();
    assert_eq!((answer.status, answer.body), (200, Ok(complete)));
    let moved = servers[1].requests();
    assert_eq!(moved.len(), 1, "the stream did not move: {}", gateway.logs());
    assert!(moved[0].headers.contains_key("last-event-id"), "the stream began anew");
    for n in 0..4 {
        assert_eq!(gateways::send(at, "POST", "/stream/a", &format!("new-{n}")).status, 200);
    }
    assert_eq!(servers[0].requests().len(), 1, "the slow engine got new requests");
}
