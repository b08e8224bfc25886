//! Answers that have neither a length nor chunks, and end with their connection.

use std::{
    io::{Read, Write},
    net, thread, time,
};

use crate::gateways::{self, Site};

/// How a server ends its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// After the whole body.
    Whole,
    /// Within the third event, or the body.
    Cut,
    /// Within the body, by a reset of the connection.
    Reset,
}

const STREAM: &str = "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n";
const PLAIN: &str = "a whole body";

/// Starts a server that answers each connection's first request so.
fn start_server(ending: Ending) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for conn in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || answer(conn, ending));
        }
    });
    addr
}

fn answer(mut conn: net::TcpStream, ending: Ending) {
    let mut buf = [0; 4096];
    let read = conn.read(&mut buf).unwrap_or_default();
    let req = String::from_utf8_lossy(&buf[..read]).into_owned();
    let id = req.lines().find_map(|line| line.strip_prefix("x-knapweedford-request-id: "));
    let body = if req.contains(" /stream/") { STREAM } else { PLAIN };
    let end = if ending == Ending::Whole { body.len() } else { body.len() - 5 };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Knapweedford-Request-Id: {}\r\n\
         X-Knapweedford-Response-Seal: seal\r\n\r\n{}",
        id.unwrap_or_default(),
        &body[..end]
    );
    conn.write_all(answer.as_bytes()).expect("the gateway reads");
    thread::sleep(time::Duration::from_millis(50));
    if ending == Ending::Reset {
        let reset = socket2::SockRef::from(&conn).set_linger(Some(time::Duration::ZERO));
        reset.expect("the option is valid");
    }
}

fn send(path: &str, ending: Ending) -> gateways::Answer {
    let site = Site::start(1, false);
    let mut server = site.servers[0].with_id("i-9");
    server.addr = start_server(ending);
    let sound = site.servers[0].clone();
    gateways::register(&site.store, &sound, sound.addr, "draining");
    gateways::register(&site.store, &server, server.addr, "ready");
    thread::sleep(time::Duration::from_millis(1_700));
    site.send("POST", path, "id-1")
}

#[test]
fn whole_answers() {
    for (path, body) in [("/stream/a", STREAM), ("/once/a", PLAIN)] {
        let answer = send(path, Ending::Whole);
        assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(body)), "{path}");
    }
}

/// Guards against a stream that ended within an event, or a body whose connection was reset, and
/// that looks complete to the client.
#[test]
fn broken_answers() {
    let cases =
        [("/stream/a", Ending::Cut), ("/stream/a", Ending::Reset), ("/once/a", Ending::Reset)];
    for (path, ending) in cases {
        let answer = send(path, ending);
        let is_complete = answer.status == 200 && answer.body.is_ok();
        assert!(!is_complete, "{path}, {ending:?}: {answer:?}");
        assert_ne!(answer.status, 503, "{path}, {ending:?}: it has run");
    }
}
