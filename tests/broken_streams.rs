//! Streams that break off, and what the next server answers to the attempt to resume them. Whatever it
//! is, clients get each event once and in order, or a stream that breaks off.

use std::{
    io::Write,
    net,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    gateways,
    raw_servers::{self, Request},
};

/// Number of the events of a stream, and of those that a server sends before it breaks off.
const EVENTS: usize = 6;
const SENT_EVENTS: usize = 3;

/// Returns the head of an answer to `req`; `framing` are its headers that say where the body ends.
fn head(req: &Request, status: &str, kind: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Knapweedford-Request-Id: {}\r\nContent-Type: {kind}\r\n\
         X-Knapweedford-Response-Seal: seal\r\n{framing}\r\n",
        req.id()
    )
}

fn whole(req: &Request, status: &str, kind: &str, body: &str) -> String {
    head(req, status, kind, &format!("Content-Length: {}\r\n", body.len())) + body
}

fn chunked(req: &Request, pieces: &[&str], end: &str) -> String {
    let head = head(req, "200 OK", "text/event-stream", "Transfer-Encoding: chunked\r\n");
    let chunks = pieces.iter().map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len()));
    head + &chunks.collect::<String>() + end
}

fn events(from: usize, to: usize) -> String {
    (from..=to).map(|n| format!("id: {n}\ndata: x{n}\n\n")).collect()
}

/// How the next server answers.
type Resumption = fn(&Request) -> String;

const EVENT_STREAM: &str = "text/event-stream";
const RESUMPTIONS: &[(&str, Resumption)] = &[
    ("status 500", |req| whole(req, "500 Error", "text/plain", "it failed\n\n")),
    ("status 500, events", |req| whole(req, "500 Error", EVENT_STREAM, &events(4, EVENTS))),
    ("status 503", |req| whole(req, "503 Full", "text/plain", "it is full\n\n")),
    ("status 404", |req| whole(req, "404 Unknown", "text/html", "<p>unknown</p>\n\n")),
    ("status 429", |req| whole(req, "429 Slow", "text/plain", "")),
    ("status 421", |req| whole(req, "421 Other", "text/plain", "")),
    ("refusal", |req| {
        let not_run = "X-Knapweedford-Not-Executed: 1\r\nContent-Length: 0\r\n";
        head(req, "503 Full", "text/plain", not_run)
    }),
    ("status 204", |req| head(req, "204 None", EVENT_STREAM, "")),
    ("status 206", |req| whole(req, "206 Part", EVENT_STREAM, &events(4, EVENTS))),
    ("redirection", |req| whole(req, "307 There", EVENT_STREAM, &events(4, EVENTS))),
    ("status 000", |req| whole(req, "000 None", EVENT_STREAM, &events(4, EVENTS))),
    ("status 101", |req| whole(req, "101 Other", EVENT_STREAM, &events(4, EVENTS))),
    ("status 600", |req| whole(req, "600 None", EVENT_STREAM, &events(4, EVENTS))),
    ("no events", |req| whole(req, "200 OK", EVENT_STREAM, "")),
    ("no events, chunked", |req| chunked(req, &[], "0\r\n\r\n")),
    ("only a comment", |req| whole(req, "200 OK", EVENT_STREAM, ": nothing\n\n")),
    ("text", |req| whole(req, "200 OK", "text/plain", "it failed\n\n")),
    ("JSON", |req| whole(req, "200 OK", "application/json", "{\"error\":1}\n\n")),
    ("no type", |req| {
        let body = events(4, EVENTS);
        let head =
            head(req, "200 OK", EVENT_STREAM, &format!("Content-Length: {}\r\n", body.len()));
        head.replace("Content-Type: text/event-stream\r\n", "") + &body
    }),
    ("text as events", |req| whole(req, "200 OK", EVENT_STREAM, "it failed\n\n")),
    ("error event", |req| whole(req, "200 OK", EVENT_STREAM, "event: error\ndata: it failed\n\n")),
    ("error after an event", |req| {
        whole(req, "200 OK", EVENT_STREAM, &(events(4, 4) + "event: error\ndata: it failed\n\n"))
    }),
    ("head as events", |req| {
        let error = "HTTP/1.1 500 Error\nContent-Length: 9\n\nit failed\n\n";
        head(req, "200 OK", EVENT_STREAM, "Connection: close\r\n") + error
    }),
    ("head within chunks", |req| chunked(req, &[&events(4, 4)], "HTTP/1.1 500 Error\r\n\r\n")),
    ("part of an event", |req| whole(req, "200 OK", EVENT_STREAM, &(events(4, 4) + "id: 5\nda"))),
    ("from the start", |req| whole(req, "200 OK", EVENT_STREAM, &events(1, EVENTS))),
    ("an event too early", |req| whole(req, "200 OK", EVENT_STREAM, &events(3, EVENTS))),
    ("an event twice", |req| {
        whole(req, "200 OK", EVENT_STREAM, &(events(4, 5) + &events(5, EVENTS)))
    }),
    ("another request", |req| {
        whole(req, "200 OK", EVENT_STREAM, &events(4, EVENTS)).replace(req.id(), "id-other")
    }),
    ("no request", |req| {
        let answer = whole(req, "200 OK", EVENT_STREAM, &events(4, EVENTS));
        answer.replace(&format!("X-Knapweedford-Request-Id: {}\r\n", req.id()), "")
    }),
    ("no seal", |req| {
        let answer = whole(req, "200 OK", EVENT_STREAM, &events(4, EVENTS));
        answer.replace("X-Knapweedford-Response-Seal: seal\r\n", "")
    }),
    ("no HTTP", |_| "it failed\n\n".into()),
    ("nothing", |_| String::new()),
];

/// Starts two servers that break streams off after some events and answer a resumed one so.
fn start_servers(resumption: Resumption) -> [net::SocketAddr; 2] {
    let answer = move |req: &Request, conn: &mut net::TcpStream| {
        let answer = match req.header("last-event-id") {
            "" => chunked(req, &[&events(1, SENT_EVENTS), "id: 4\nda"], "cut\r\n"),
            _ => resumption(req),
        };
        // Closes the connection, as a server does that failed.
        let _ = conn.write_all(answer.as_bytes());
        false
    };
    [raw_servers::start(answer), raw_servers::start(answer)]
}

/// Guards against clients that find an error in their stream, an event twice or an end that looks
/// complete, because the next server answered with something else than the rest of the stream.
#[test]
fn not_the_rest() {
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for (name, resumption) in RESUMPTIONS {
            let failures = &failures;
            scope.spawn(move || {
                let gateway = raw_servers::start_gateway(&start_servers(*resumption));
                let answer = gateways::send(gateway.process.address, "POST", "/stream/a", "id-1");
                let at = gateway.process.address;
                let received = raw_servers::request_stream(at, "id-2", Duration::ZERO);
                let is_prefix = (SENT_EVENTS..EVENTS)
                    .any(|last| received.text.ends_with(&format!("\r\n\r\n{}", events(1, last))));
                let is_complete = answer.body.is_ok() || received.is_complete;
                if answer.status != 200 || is_complete || !is_prefix {
                    failures.lock().unwrap().push(format!("{name}: {answer:?}, {received:?}"));
                }
            });
        }
    });
    let failures = failures.into_inner().unwrap();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// The rest of a stream is forwarded, so that the stream is complete.
#[test]
fn rest_follows() {
    let rest: Resumption =
        |req| whole(req, "200 OK", "text/event-stream; charset=utf-8", &events(4, EVENTS));
    let gateway = raw_servers::start_gateway(&start_servers(rest));
    let at = gateway.process.address;
    let received = raw_servers::request_stream(at, "id-1", Duration::ZERO);
    assert!(received.is_complete, "{received:?}");
    let (_, body) = received.text.split_once("\r\n\r\n").unwrap();
    assert_eq!(body, events(1, EVENTS));
}

/// Guards against events that come twice after a stream whose last event has no id: no server can be
/// asked for those after it.
#[test]
fn events_without_ids() {
    for sent in ["data: a\n\n", "id: 1\ndata: x1\n\ndata: a\n\n"] {
        let answer = move |req: &Request, conn: &mut net::TcpStream| {
            let _ = conn.write_all(chunked(req, &[sent], "cut\r\n").as_bytes());
            false
        };
        let servers = [raw_servers::start(answer), raw_servers::start(answer)];
        let gateway = raw_servers::start_gateway(&servers);
        let at = gateway.process.address;
        let received = raw_servers::request_stream(at, "id-1", Duration::ZERO);
        assert!(received.text.ends_with(&format!("\r\n\r\n{sent}")), "{received:?}");
        assert!(!received.is_complete, "{received:?}");
    }
}

/// Guards against an error in place of, or behind, a part of a plain answer that broke off.
#[test]
fn plain_answers() {
    let errors = [
        ("500 Error", "it failed", Some(500)),
        ("503 Full", "it is full", Some(502)),
        ("404 Unknown", "unknown", Some(404)),
    ];
    for (status, error, expected) in errors {
        let earlier = Arc::new(Mutex::new(0));
        let answer = move |req: &Request, conn: &mut net::TcpStream| {
            let mut earlier = earlier.lock().unwrap();
            *earlier += 1;
            let answer = match *earlier {
                1 => head(req, "200 OK", "text/plain", "Content-Length: 99\r\n") + "a part of it",
                _ => whole(req, status, "text/plain", error),
            };
            let _ = conn.write_all(answer.as_bytes());
            false
        };
        let shared = Arc::new(answer);
        let servers = [0, 1].map(|_| {
            let answer = Arc::clone(&shared);
            raw_servers::start(move |req, conn| answer(req, conn))
        });
        let gateway = raw_servers::start_gateway(&servers);
        let answer = gateways::send(gateway.process.address, "GET", "/read/a", "id-1");
        assert_eq!(Some(answer.status), expected, "{status}: {answer:?}");
        let body = answer.body.unwrap();
        assert!(!body.contains("a part of it"), "{status}: {body}");
    }
}
