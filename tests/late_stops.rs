//! Requests that arrive late in the grace period of a gateway that is stopped, on connections that
//! were opened before. The gateways of the tests have 4 seconds, accept connections for 2 of them,
//! and abort what is in flight after 3.7.

use std::{
    io::{Read, Write},
    net, thread,
    time::Duration,
};

use crate::{
    gateways::{self, API_KEY, Behavior, HOST, Site},
    processes::wait_until,
    raw_servers,
};

/// Time after SIGTERM at which requests arrive late.
const LATE: Duration = Duration::from_millis(2_300);
const EVENT: &str = "id: 1\ndata: x\n\n";
const PATHS: [(&str, &str); 3] = [("POST", "/once/a"), ("GET", "/read/a"), ("POST", "/stream/a")];

/// Bytes of a request that a client sends before SIGTERM, on a new connection or on one that has
/// carried a request already.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sent {
    Nothing,
    PartOfHead,
    PartOfBody,
    /// Nothing, on a connection that has carried a request.
    Kept,
}

/// Connection of a client, with the rest of its request.
struct Client {
    conn: net::TcpStream,
    rest: Vec<u8>,
    case: String,
}

fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    let body = if method == "POST" { "a body" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {API_KEY}\r\n\
         X-Knapweedford-Request-Id: {id}\r\nX-Knapweedford-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads until the gateway closes the connection, or for `wait` without a byte.
fn read(conn: &mut net::TcpStream, wait: Duration) -> String {
    conn.set_read_timeout(Some(wait)).unwrap();
    let (mut received, mut buf) = (Vec::new(), [0; 4096]);
    while let Ok(read @ 1..) = conn.read(&mut buf) {
        received.extend_from_slice(&buf[..read]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

impl Client {
    fn start(at: net::SocketAddr, (method, path): (&str, &str), sent: Sent, id: &str) -> Self {
        let mut conn = net::TcpStream::connect(at).unwrap();
        if sent == Sent::Kept {
            conn.write_all(&request("GET", "/read/a", &format!("{id}-before"), 3_000)).unwrap();
            assert!(read(&mut conn, Duration::from_millis(500)).starts_with("HTTP/1.1 200"));
        }
        let req = request(method, path, id, 10_000);
        let part = match sent {
            Sent::Nothing | Sent::Kept => 0,
            Sent::PartOfHead => 30,
            Sent::PartOfBody => req.len() - 3,
        };
        conn.write_all(&req[..part]).unwrap();
        Self { conn, rest: req[part..].to_vec(), case: format!("{sent:?}, {path}") }
    }

    /// Sends the rest of the request; returns what the gateway answers.
    fn finish(&mut self) -> String {
        // The gateway may have closed the connection.
        let _ = self.conn.write_all(&self.rest);
        read(&mut self.conn, Duration::from_secs(4))
    }
}

/// Guards against requests that are passed on although they may not end before the process does, and
/// get no answer of their server. They are refused at once instead, as not run.
#[test]
fn late_requests() {
    let site = Site::start(1, false);
    let config = gateways::config(2, "llm");
    let config = config.replace(r#""timeout_ms":2000"#, r#""timeout_ms":20000"#);
    site.store.put("op", "config", &config);
    wait_until("the configuration is in force", || {
        site.gateway.logs().contains("\"configuration in force\" version=2").then_some(())
    });
    let at = site.gateway.process.address;
    let kinds = [Sent::Nothing, Sent::PartOfHead, Sent::PartOfBody, Sent::Kept];
    let mut clients = Vec::new();
    for (n, sent) in kinds.into_iter().enumerate() {
        for (m, path) in PATHS.into_iter().enumerate() {
            if path.0 == "POST" || sent != Sent::PartOfBody {
                clients.push((sent, Client::start(at, path, sent, &format!("id-{n}-{m}"))));
            }
        }
    }
    thread::sleep(Duration::from_millis(100));
    let before = site.request_count();
    site.servers[0].set_behavior(Behavior::Hang);
    site.gateway.process.signal("TERM");
    thread::sleep(LATE);
    thread::scope(|scope| {
        for (sent, mut client) in clients {
            scope.spawn(move || {
                let answer = client.finish();
                let is_refused = answer.starts_with("HTTP/1.1 503")
                    && answer.to_ascii_lowercase().contains("retry-after: 0.00")
                    && answer.to_ascii_lowercase().contains("connection: close");
                // Nothing was read from a connection that is closed before.
                let is_closed = matches!(sent, Sent::Nothing | Sent::Kept) && answer.is_empty();
                assert!(is_refused || is_closed, "{}: {answer:?}", client.case);
            });
        }
    });
    assert_eq!(site.request_count(), before, "late requests were passed on");
}

/// Requests that end before the process does are answered, however late they arrive.
#[test]
fn short_requests() {
    let site = Site::start(1, false);
    let at = site.gateway.process.address;
    let mut clients = PATHS.map(|path| Client::start(at, path, Sent::PartOfHead, "id-1"));
    for (client, (method, path)) in clients.iter_mut().zip(PATHS) {
        client.rest = request(method, path, "id-1", 600).split_off(30);
    }
    thread::sleep(Duration::from_millis(100));
    site.gateway.process.signal("TERM");
    thread::sleep(LATE);
    for client in &mut clients {
        let answer = client.finish();
        assert!(answer.starts_with("HTTP/1.1 200"), "{}: {answer:?}", client.case);
    }
}

/// Requests that arrive before SIGTERM, and while the balancer may still send clients, are served, on
/// new connections and on kept ones.
#[test]
fn early_requests() {
    let addr = raw_servers::start(|req, conn| {
        if !req.id().ends_with("-before") {
            thread::sleep(Duration::from_millis(600));
        }
        let kind = if req.streams() { "text/event-stream" } else { "text/plain" };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Knapweedford-Request-Id: {}\r\n\
             X-Knapweedford-Response-Seal: seal\r\nContent-Type: {kind}\r\n\
             Content-Length: {}\r\n\r\n{EVENT}",
            req.id(),
            EVENT.len()
        );
        conn.write_all(answer.as_bytes()).is_ok()
    });
    let mut gateway = raw_servers::start_gateway(&[addr]);
    let at = gateway.process.address;
    let start = |round: usize| {
        // An answer while the gateway stops closes its connection.
        let kinds = if round == 0 { &[Sent::Nothing, Sent::Kept][..] } else { &[Sent::Nothing] };
        let kinds = PATHS.into_iter().flat_map(|path| kinds.iter().map(move |sent| (path, *sent)));
        let clients = kinds.enumerate().map(|(n, (path, sent))| {
            let mut client = Client::start(at, path, sent, &format!("id-{round}-{n}"));
            client.conn.write_all(&std::mem::take(&mut client.rest)).unwrap();
            client
        });
        clients.collect::<Vec<_>>()
    };
    let mut clients = start(0);
    thread::sleep(Duration::from_millis(100));
    gateway.process.signal("TERM");
    thread::sleep(Duration::from_millis(100));
    clients.extend(start(1));
    for client in &mut clients {
        let answer = client.finish();
        assert!(answer.starts_with("HTTP/1.1 200"), "{}: {answer:?}", client.case);
        let is_whole =
            answer.ends_with(EVENT) || answer.ends_with(&format!("{EVENT}\r\n0\r\n\r\n"));
        assert!(is_whole, "{}: {answer:?}", client.case);
    }
    wait_until("the process ends", || (!gateway.process.is_running()).then_some(()));
}
