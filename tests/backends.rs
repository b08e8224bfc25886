//! Answers of a backend server that end too early.

use std::{
    io::{Read, Write},
    net,
    sync::{Arc, atomic},
    thread, time,
};

use knapweedford::{
    config, settings,
    sidecar::{Backend, backend},
    wire,
};
use tokio::sync::mpsc;

const PLAIN: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                      Transfer-Encoding: chunked\r\n\r\n";

/// Gives `answer` to one request and closes the connection.
fn serve(answer: String) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let _ = conn.read(&mut [0; 4096]);
        conn.write_all(answer.as_bytes()).unwrap();
    });
    at
}

fn call(kind: config::Kind) -> wire::Call {
    wire::Call {
        id: wire::RequestId(1),
        attempt: 1,
        server: "ledger-0".into(),
        service: "ledger".into(),
        workspace: "w".into(),
        priority: config::Priority::Interactive,
        kind,
        left_ms: 5000,
        repeatable: false,
        method: "POST".into(),
        path: "/postings".into(),
        headers: Vec::new(),
        body: b"x".to_vec(),
        resume: None,
        version: 1,
    }
}

fn run(kind: config::Kind, answer: String) -> backend::ExchangeEnd {
    let url = format!("http://{}", serve(answer));
    let backend = Backend::new(&settings::Backend { server: "ledger-0".into(), url }, 1);
    let deadline = time::Instant::now() + time::Duration::from_secs(5);
    let (tx, _rx) = mpsc::channel(64);
    backend.exchange(&call(kind), deadline, &Arc::new(atomic::AtomicBool::new(false)), &tx)
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn broken(ended: &backend::ExchangeEnd) -> bool {
    let ran = |ran| matches!(ran, wire::Ran::Yes | wire::Ran::Unknown);
    matches!(ended, backend::ExchangeEnd::Broken { ran: said, .. } if ran(*said))
}

#[test]
fn whole() {
    let ended = run(config::Kind::Plain, format!("{PLAIN}123456789"));
    assert!(matches!(ended, backend::ExchangeEnd::Whole { total: 9, .. }), "{ended:?}");
}

#[test]
fn short_body() {
    let ended = run(config::Kind::Plain, format!("{PLAIN}1234"));
    assert!(broken(&ended), "{ended:?}");
}

#[test]
fn no_answer() {
    let ended = run(config::Kind::Plain, String::new());
    assert!(broken(&ended), "{ended:?}");
}

#[test]
fn no_last_chunk() {
    let ended = run(config::Kind::Plain, format!("{STREAM}{}", chunk("data: 1\n\n")));
    assert!(broken(&ended), "{ended:?}");
}

#[test]
fn no_last_event() {
    let answer = format!("{STREAM}{}{}", chunk("data: 1\n\n"), chunk(""));
    let ended = run(config::Kind::ModelGroup, answer);
    assert!(broken(&ended), "{ended:?}");
    let answer = format!("{STREAM}{}{}", chunk("data: 1\n\ndata: [DONE]\n\n"), chunk(""));
    let ended = run(config::Kind::ModelGroup, answer);
    assert!(matches!(ended, backend::ExchangeEnd::Whole { .. }), "{ended:?}");
}

#[test]
fn half_event() {
    let answer = format!("{STREAM}{}{}", chunk("data: 1\n\ndata: 2"), chunk(""));
    let ended = run(config::Kind::Plain, answer);
    assert!(broken(&ended), "{ended:?}");
}
