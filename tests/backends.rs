//! Answers of a backend server that end too early.
//!
//! Guards against an incomplete answer that counts as complete: the connection closes before the
//! declared length, the last chunk, the end of an event or the last event of a model engine.

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

/// Sends `answer` to one request and closes the connection; returns the address.
fn serve_once(answer: String) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().unwrap();
        let _ = conn.read(&mut [0; 4096]);
        // The sidecar closes its connection once an answer is too large.
        let _ = conn.write_all(answer.as_bytes());
    });
    address
}

fn build_call(kind: config::Kind) -> wire::Call {
    wire::Call {
        id: wire::RequestId(1),
        attempt: 1,
        server: "ledger-0".into(),
        service: "ledger".into(),
        workspace: "w".into(),
        priority: config::Priority::Interactive,
        kind,
        time_left_ms: 5000,
        repeatable: false,
        method: "POST".into(),
        path: "/postings".into(),
        headers: Vec::new(),
        body: b"x".to_vec(),
        resume: None,
        version: 1,
    }
}

fn run_exchange(kind: config::Kind, answer: String) -> backend::ExchangeEnd {
    let url = format!("http://{}", serve_once(answer));
    let backend = Backend::new(&settings::Backend { server: "ledger-0".into(), url }, 1);
    let deadline = time::Instant::now() + time::Duration::from_secs(5);
    let (tx, _rx) = mpsc::channel(64);
    backend.exchange(&build_call(kind), deadline, &Arc::new(atomic::AtomicBool::new(false)), &tx)
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn failed_and_may_have_run(end: &backend::ExchangeEnd) -> bool {
    let may_have_run = |ran| matches!(ran, wire::Ran::Yes | wire::Ran::Unknown);
    matches!(end, backend::ExchangeEnd::Failed { ran, .. } if may_have_run(*ran))
}

#[test]
fn complete_body() {
    let end = run_exchange(config::Kind::Plain, format!("{PLAIN}123456789"));
    assert!(matches!(end, backend::ExchangeEnd::Complete { total: 9, .. }), "{end:?}");
}

#[test]
fn short_body_fails() {
    let end = run_exchange(config::Kind::Plain, format!("{PLAIN}1234"));
    assert!(failed_and_may_have_run(&end), "{end:?}");
}

#[test]
fn missing_answer_fails() {
    let end = run_exchange(config::Kind::Plain, String::new());
    assert!(failed_and_may_have_run(&end), "{end:?}");
}

#[test]
fn missing_chunk_fails() {
    let end = run_exchange(config::Kind::Plain, format!("{STREAM}{}", chunk("data: 1\n\n")));
    assert!(failed_and_may_have_run(&end), "{end:?}");
}

#[test]
fn missing_event_fails() {
    let answer = format!("{STREAM}{}{}", chunk("data: 1\n\n"), chunk(""));
    let end = run_exchange(config::Kind::ModelGroup, answer);
    assert!(failed_and_may_have_run(&end), "{end:?}");
    let answer = format!("{STREAM}{}{}", chunk("data: 1\n\ndata: [DONE]\n\n"), chunk(""));
    let end = run_exchange(config::Kind::ModelGroup, answer);
    assert!(matches!(end, backend::ExchangeEnd::Complete { .. }), "{end:?}");
}

#[test]
fn partial_event_fails() {
    let answer = format!("{STREAM}{}{}", chunk("data: 1\n\ndata: 2"), chunk(""));
    let end = run_exchange(config::Kind::Plain, answer);
    assert!(failed_and_may_have_run(&end), "{end:?}");
}

/// Guards against an answer for the caller whose status is none of a final answer, or no status.
#[test]
fn impossible_statuses() {
    for status in ["000", "099", "2x0", "101", "199", "600", "999"] {
        for kind in [config::Kind::Plain, config::Kind::ModelGroup] {
            let body = "data: 1\n\ndata: [DONE]\n\n";
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: text/event-stream\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let end = run_exchange(kind, answer);
            assert!(failed_and_may_have_run(&end), "{status}: {end:?}");
        }
    }
}

/// Guards against a sidecar that keeps what its server sends without end.
#[test]
fn endless_answers() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let stream = "Content-Type: text/event-stream\r\n\r\ndata: ";
    let cases = [
        (format!("{ok}X-Long: "), "aaaaaaaa"),
        (ok.into(), "X-More: yes\r\n"),
        (format!("{ok}Content-Length: 18446744073709551615\r\n\r\n"), "xxxxxxxx"),
        (format!("{ok}Transfer-Encoding: chunked\r\n\r\n"), "8\r\nxxxxxxxx\r\n"),
        (format!("{ok}Transfer-Encoding: chunked\r\n\r\n"), "0"),
        (format!("{ok}\r\n"), "xxxxxxxx"),
        (format!("{ok}{stream}"), "xxxxxxxx"),
    ];
    for (first, repeated) in cases {
        // More than any limit on an answer.
        let answer = first.clone() + &repeated.repeat((32 << 20) / repeated.len());
        let end = run_exchange(config::Kind::Plain, answer);
        assert!(failed_and_may_have_run(&end), "{first:?}: {end:?}");
    }
}

/// Guards against an empty or short body that looks complete, after a head that was cut off.
#[test]
fn cut_heads() {
    let body = "data: 1\n\ndata: [DONE]\n\n";
    let framings = [
        (format!("Content-Length: {}\r\n", body.len()), body.into()),
        ("Transfer-Encoding: chunked\r\n".into(), chunk(body) + &chunk("")),
        (String::new(), String::new()),
    ];
    for (framing, body) in framings {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}X-Last: 1\r\n\r\n"
        );
        let answer = head.clone() + &body;
        for at in 0..head.len() {
            let end = run_exchange(config::Kind::Plain, answer[..at].into());
            assert!(failed_and_may_have_run(&end), "{:?}: {end:?}", &answer[..at]);
        }
    }
}
