//! Servers that stop in the middle of an answer's head and close or reset their connection. The
//! request has no answer, whatever the head says so far.

use std::{io::Write, net, thread, time::Duration};

use crate::{
    gateways::{self, Server},
    raw_servers,
};

const PATHS: [(&str, &str); 3] = [("POST", "/once/"), ("GET", "/read/"), ("POST", "/stream/")];
const BODY: &str = "id: 1\ndata: body\n\n";
/// Headers of an answer that say where its body ends, and the body.
const FRAMINGS: [(&str, &str); 4] = [
    ("Content-Length: 18\r\n", BODY),
    ("Content-Length: 0\r\n", ""),
    ("Transfer-Encoding: chunked\r\n", "12\r\nid: 1\ndata: body\n\n\r\n0\r\n\r\n"),
    ("Connection: close\r\n", BODY),
];

/// How a server ends a connection.
const ENDS: [&str; 2] = ["close", "reset"];

fn head(id: &str, framing: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}X-Knapweedford-Request-Id: {id}\r\n\
         X-Knapweedford-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n",
        FRAMINGS[framing].0
    )
}

/// Starts a server that answers a request for `KIND/FRAMING/BYTES/END` with so many bytes of the head,
/// and other requests with a whole answer.
fn start_server() -> net::SocketAddr {
    raw_servers::start(|req, conn| {
        let parts: Vec<&str> = req.path().split('/').skip(2).collect();
        let [framing, bytes, end] = parts[..] else {
            let head = head(req.id(), 0);
            return conn.write_all((head + FRAMINGS[0].1).as_bytes()).is_ok();
        };
        let head = head(req.id(), framing.parse().unwrap());
        let _ = conn.write_all(&head.as_bytes()[..bytes.parse::<usize>().unwrap()]);
        if end == "reset" {
            thread::sleep(Duration::from_millis(2));
            let reset = socket2::SockRef::from(&*conn).set_linger(Some(Duration::ZERO));
            reset.expect("the option is valid");
        }
        let _ = conn.shutdown(net::Shutdown::Both);
        false
    })
}

/// Guards against a success with an empty or short body that looks whole, on new and kept
/// connections.
#[test]
fn cut_heads() {
    let gateway = raw_servers::start_gateway(&[start_server()]);
    let at = gateway.process.address;
    thread::scope(|scope| {
        for (method, kind) in PATHS {
            for framing in 0..FRAMINGS.len() {
                scope.spawn(move || {
                    for bytes in (0..head("id-1", framing).len()).step_by(3) {
                        let sound = gateways::send(at, "GET", "/read/sound", "id-1");
                        assert_eq!(sound.status, 200, "{sound:?}");
                        let end = ENDS[bytes % ENDS.len()];
                        let path = format!("{kind}{framing}/{bytes}/{end}");
                        let answer = gateways::send(at, method, &path, "id-1");
                        assert_eq!(answer.status, 502, "{path}: {answer:?}");
                    }
                });
            }
        }
    });
}

/// Requests that may run twice are answered by another server.
#[test]
fn answered_elsewhere() {
    let sound = Server::start("i-1");
    let gateway = raw_servers::start_gateway(&[start_server(), sound.addr]);
    for (method, kind) in &PATHS[1..] {
        for framing in 0..FRAMINGS.len() {
            for bytes in [0, 12, 17, 40, head("id-1", framing).len() - 1] {
                let path = format!("{kind}{framing}/{bytes}/close");
                let answer = gateways::send(gateway.process.address, method, &path, "id-1");
                let seal = answer.headers.get("x-knapweedford-response-seal");
                assert_eq!(seal.map(String::as_str), Some("seal-i-1"), "{path}: {answer:?}");
            }
        }
    }
}
