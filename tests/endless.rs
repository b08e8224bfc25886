//! Servers that send bytes without end that are no answer, fast or slowly, in a head or a body. The
//! request fails in time without a claim that it has not run, memory stays bounded, and other
//! requests are served.

use std::{
    io::{Read, Write},
    net, thread,
    time::{Duration, Instant},
};

use crate::{
    gateways::{self, Site},
    rank_agents,
    store::Store,
};

/// What an endless server sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Garbage {
    /// A header line without end.
    HeaderLine,
    /// Header lines without end.
    Headers,
    /// Bytes that are no HTTP.
    NoHttp,
    /// A chunk size without end.
    ChunkSize,
    /// A body without end.
    Body,
    /// A body without end, in chunks.
    Chunks,
    /// A body of more bytes than any machine has.
    HugeLength,
    /// Interim answers without end.
    Interim,
    /// Fields without end after the last chunk.
    Trailers,
    /// An event without end, in a stream.
    Event,
}

impl Garbage {
    /// Bytes that follow the status line and the headers of a sound answer, and those that are
    /// repeated.
    fn bytes(self) -> (&'static str, &'static str) {
        match self {
            Self::HeaderLine => ("X-Long: ", "aaaaaaaaaaaaaaaa"),
            Self::Headers => ("", "X-More: yes\r\n"),
            Self::NoHttp => ("", "\u{1}\u{2}garbage\r\n\r\n"),
            Self::ChunkSize => ("Transfer-Encoding: chunked\r\n\r\n", "0"),
            Self::Body => ("\r\n", "xxxxxxxxxxxxxxxx"),
            Self::Chunks => ("Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"),
            Self::HugeLength => {
                ("Content-Length: 18446744073709551615\r\n\r\n", "xxxxxxxxxxxxxxxx")
            }
            Self::Interim => ("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
            Self::Trailers => {
                ("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: yes\r\n")
            }
            Self::Event => {
                ("Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "xxxxxxxxxxxxxxxx")
            }
        }
    }
}

/// Starts a server that sends `garbage` to every caller until the caller closes the connection, as
/// fast as possible or a byte at a time.
fn start_server(garbage: Garbage, is_slow: bool) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for conn in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || send_garbage(conn, garbage, is_slow));
        }
    });
    addr
}

fn send_garbage(mut conn: net::TcpStream, garbage: Garbage, is_slow: bool) {
    let mut buf = [0; 4096];
    let read = conn.read(&mut buf).unwrap_or_default();
    let req = String::from_utf8_lossy(&buf[..read]).into_owned();
    let id = req.lines().find_map(|line| line.strip_prefix("x-knapweedford-request-id: "));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Knapweedford-Request-Id: {}\r\n\
         X-Knapweedford-Response-Seal: seal\r\n",
        id.unwrap_or_default()
    );
    let (first, repeated) = garbage.bytes();
    let has_head = !matches!(garbage, Garbage::NoHttp | Garbage::Interim);
    let once = if has_head { head + first } else { String::new() };
    let fast = repeated.repeat(if is_slow { 1 } else { 1_000 });
    let mut sent = conn.write_all(once.as_bytes());
    let mut bytes = repeated.bytes().cycle();
    while sent.is_ok() {
        sent = match is_slow {
            true => {
                thread::sleep(Duration::from_millis(20));
                conn.write_all(&[bytes.next().unwrap_or_default()])
            }
            false => conn.write_all(fast.as_bytes()),
        };
    }
}

fn check(path: &str, garbage: Garbage, is_slow: bool) {
    let site = Site::start(1, false);
    let mut endless = site.servers[0].with_id("i-9");
    endless.addr = start_server(garbage, is_slow);
    let sound = site.servers[0].clone();
    gateways::register(&site.store, &sound, sound.addr, "draining");
    gateways::register(&site.store, &endless, endless.addr, "ready");
    thread::sleep(Duration::from_millis(1_700));
    let started = Instant::now();
    let answer = site.send("POST", path, "id-1");
    let case = format!("{garbage:?} at {path}, slow: {is_slow}, {answer:?}");
    // The route allows 2 s.
    assert!(started.elapsed() < Duration::from_millis(2_700), "{:?}, {case}", started.elapsed());
    let is_complete = answer.status == 200 && answer.body.is_ok();
    assert!(!is_complete && answer.status != 503 && answer.status != 408, "{case}");
    let memory_kib = site.gateway.process.memory_kib();
    assert!(memory_kib < 64 << 10, "{memory_kib} KiB, {case}");
    gateways::register(&site.store, &endless, endless.addr, "draining");
    let recovered = sound.with_id("i-1");
    gateways::register(&site.store, &recovered, recovered.addr, "ready");
    crate::processes::wait_until("other requests are served", || {
        (site.send("GET", "/read/a", "id-2").status != 0).then_some(())
    });
}

#[test]
fn endless_heads() {
    for garbage in [Garbage::HeaderLine, Garbage::Headers, Garbage::NoHttp, Garbage::Interim] {
        check("/once/a", garbage, false);
        check("/once/a", garbage, true);
    }
}

#[test]
fn endless_bodies() {
    let bodies = [Garbage::ChunkSize, Garbage::Body, Garbage::Chunks, Garbage::HugeLength];
    for garbage in bodies.into_iter().chain([Garbage::Trailers]) {
        check("/once/a", garbage, false);
        check("/once/a", garbage, true);
    }
}

#[test]
fn endless_events() {
    check("/stream/a", Garbage::Event, false);
    check("/stream/a", Garbage::Event, true);
    check("/stream/a", Garbage::ChunkSize, true);
    check("/stream/a", Garbage::HugeLength, false);
    check("/stream/a", Garbage::Trailers, false);
}

/// Guards against requests of other clients that fail since answers without end take all memory.
#[test]
fn others_served() {
    for garbage in [Garbage::Body, Garbage::Chunks, Garbage::HugeLength] {
        let site = Site::start(1, false);
        let endless = start_server(garbage, false);
        let row = gateways::row(endless, "ready", 1, "").replace(r#""llm""#, r#""bulk""#);
        site.store.put("servers", "i-9", &row);
        let config = gateways::config(2, "llm").replace(
            r#""name":"once","host":"a.example","prefix":"/once/","kind":"unsafe",
            "timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"llm""#,
            r#""name":"once","host":"a.example","prefix":"/once/","kind":"unsafe",
            "timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"bulk""#,
        );
        assert!(config.contains(r#""service":"bulk""#));
        site.store.put("op", "config", &config);
        crate::processes::wait_until("the configuration is in force", || {
            site.gateway.logs().contains("\"configuration in force\" version=2").then_some(())
        });
        thread::sleep(Duration::from_millis(1_700));
        let at = site.gateway.process.address;
        let failed = std::sync::Mutex::new(Vec::new());
        thread::scope(|scope| {
            for client in 0..24 {
                scope.spawn(move || {
                    for n in 0..2 {
                        let id = format!("bulk-{client}-{n}");
                        let answer = gateways::send(at, "POST", "/once/a", &id);
                        assert_ne!(answer.status, 200, "{garbage:?}, {answer:?}");
                    }
                });
            }
            for client in 0..4 {
                let failed = &failed;
                scope.spawn(move || {
                    let paths = [("GET", "/read/a"), ("POST", "/stream/a")];
                    for n in 0..200 {
                        let (method, path) = paths[n % paths.len()];
                        let id = format!("other-{client}-{n}");
                        let answer = gateways::send(at, method, path, &id);
                        if answer.status != 200 || answer.body.is_err() {
                            failed.lock().unwrap().push(answer);
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                });
            }
        });
        let failed = failed.into_inner().unwrap();
        let memory_kib = site.gateway.process.memory_kib();
        assert!(
            failed.is_empty(),
            "{garbage:?}: {} of 800 failed, such as {:?}; {memory_kib} KiB",
            failed.len(),
            failed[0]
        );
        assert!(memory_kib < 112 << 10, "{memory_kib} KiB, {garbage:?}");
    }
}

/// Guards against a rank agent that keeps what its engine sends without end.
#[test]
fn endless_reports() {
    let store = Store::start();
    let garbages = [Garbage::HeaderLine, Garbage::Headers, Garbage::Body, Garbage::Chunks];
    let more = [Garbage::HugeLength, Garbage::Interim, Garbage::ChunkSize, Garbage::Trailers];
    let engines = garbages.into_iter().chain(more).map(|garbage| start_server(garbage, false));
    let mut agents = Vec::from_iter(engines.map(|engine| rank_agents::start_agent(&store, engine)));
    thread::sleep(Duration::from_secs(3));
    for (n, agent) in agents.iter_mut().enumerate() {
        assert!(agent.is_running(), "agent {n}");
        let memory_kib = agent.memory_kib();
        assert!(memory_kib < 32 << 10, "agent {n}: {memory_kib} KiB");
    }
}
