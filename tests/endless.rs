//! Servers that send bytes without end that are no answer, fast or slowly, in a head or a body. The
//! request fails in time without a claim that it has not run, memory stays bounded, and other
//! requests are served.

use std::{
    io::{Read, Write},
    net, thread,
    time::{Duration, Instant},
};

use crate::gateways::{self, Site};

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
    let once = if garbage == Garbage::NoHttp { String::new() } else { head + first };
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
    for garbage in [Garbage::HeaderLine, Garbage::Headers, Garbage::NoHttp] {
        check("/once/a", garbage, false);
        check("/once/a", garbage, true);
    }
}

#[test]
fn endless_bodies() {
    for garbage in [Garbage::ChunkSize, Garbage::Body] {
        check("/once/a", garbage, false);
        check("/once/a", garbage, true);
    }
}

#[test]
fn endless_events() {
    check("/stream/a", Garbage::Event, false);
    check("/stream/a", Garbage::Event, true);
    check("/stream/a", Garbage::ChunkSize, true);
}
