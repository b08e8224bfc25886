//! A stand-in for the rank agents of a group of engines, and the group's configuration.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use knapweedford::{http, metrics, peer, rank::message::Loads, settings};

use crate::gateways;

/// Engines of the group, some of which need not run.
pub const RANKS: usize = 8;
const ENGINE: &str = r#""engine":{"slots":1000,"kv_capacity":233333,"kv_token_bytes":35136,
    "link_mbps":180000.0,"stride":5,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.001,
    "context_per_k":0.0,"read_per_s":1000000000.0,"chunk":512,"usual":{"prompt":868,"answer":96},
    "sets":8,"experts":32,"places":5,"spare":2,"expert_mb":320.0,"expert_share":0.85}"#;

/// Returns limits on the clients of a port that no test reaches.
pub fn clients() -> Arc<http::Clients> {
    http::Clients::new(&settings::Machine::default(), &metrics::Page::new())
}

/// Serves `loads` as the agent of the group's owner does; returns its port.
pub fn start(loads: Arc<Mutex<Loads>>) -> u16 {
    let (port_tx, port_rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            port_tx.send(listener.local_addr().unwrap().port()).unwrap();
            let handle = Rc::new(async move |mut incoming: peer::IncomingRequest| {
                loop {
                    let report = loads.lock().unwrap().clone();
                    if incoming.reply.send(&report).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
            let stop = tokio::sync::watch::Sender::new(false);
            peer::serve(
                listener,
                clients(),
                "secret-of-the-tests".into(),
                handle,
                stop.subscribe(),
            )
            .await;
        });
    });
    port_rx.recv().unwrap()
}

/// Returns the fields of a registry row that name a rank of the group.
pub fn group_fields(rank: usize) -> String {
    let group = format!(r#"{{"name":"g","epoch":1,"rank":{rank},"state":"open"}}"#);
    format!(r#","group":{group},"size":{RANKS}"#)
}

/// Returns a configuration whose routes lead to the group's service.
pub fn config(version: u64) -> String {
    let service = r#"{"name":"llm","max_conns":100"#;
    gateways::config(version, "llm").replace(service, &format!("{service},{ENGINE}"))
}
