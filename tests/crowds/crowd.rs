//! A gateway with a backend server, and clients that choose the bytes that they send.

use std::{
    io::{Read, Write},
    net,
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use crate::{
    gateways::{self, API_KEY, Gateway, HOST},
    processes::wait_until,
    raw_servers,
    store::Store,
    usage::Watch,
};

/// Largest body that the configuration of the platform's pages allows, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Largest request head that it allows, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Clients in a crowd that sends bodies, or does not read its answers.
pub const CROWD: usize = 64;
/// Size of an answer that is not a stream, and of an event of a stream, in bytes.
const ANSWER_BYTES: usize = 4 << 20;
const EVENT_BYTES: usize = 200_000;
/// Time after which a client stops to send when the gateway does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which clients stay once they have sent what they send.
const HOLD_TIME: Duration = Duration::from_secs(1);
/// Longest time without a byte of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Held by the test that runs: tests that measure memory run one at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs.
pub fn wait_turn() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A gateway, its backend server and store.
pub struct Site {
    pub gateway: Gateway,
    pub watch: Watch,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts a gateway with the limits of the platform's pages, whose routes allow 20 seconds.
    pub fn start() -> Self {
        Self::start_with_timeout(20_000)
    }

    /// Like [`start`](Self::start), with routes that allow `timeout_ms`.
    pub fn start_with_timeout(timeout_ms: u32) -> Self {
        let turn = wait_turn();
        let store = Store::start();
        let addr = raw_servers::start(answer);
        // Some test groups need more places than one server gives a gateway.
        for n in 0..8 {
            store.put("servers", &format!("i-{n}"), &gateways::row(addr, "ready", 1, ""));
        }
        let config = gateways::config(1, "llm")
            .replace(r#""timeout_ms":2000"#, &format!(r#""timeout_ms":{timeout_ms}"#))
            .replace(r#""max_body_bytes":1000"#, &format!(r#""max_body_bytes":{MAX_BODY_BYTES}"#));
        store.put("op", "config", &config);
        let gateway = Gateway::start(store.addr);
        wait_until("the gateway is ready", || gateway.is_ready().then_some(()));
        let watch = Watch::start(gateway.process.id());
        Self { gateway, watch, _turn: turn }
    }

    /// Address for clients.
    pub fn addr(&self) -> net::SocketAddr {
        self.gateway.process.address
    }

    /// Asserts that the process lives, that an ordinary request is answered, and that the process
    /// has stayed within the smallest machine.
    pub fn assert_sound(&mut self) {
        assert!(self.gateway.process.is_running(), "the gateway has ended");
        let mut refusals = 0;
        wait_until("an ordinary request is answered", || {
            let answer = send_ordinary(self.addr());
            let is_answered =
                answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("got 5 bytes");
            refusals += usize::from(!is_answered);
            is_answered.then_some(())
        });
        eprintln!("an ordinary request was answered after {refusals} refusals");
        assert!(self.gateway.process.is_running(), "the gateway has ended");
        self.watch.assert_within_machine();
    }
}

/// Answers as the path of the request asks.
fn answer(req: &raw_servers::Request, conn: &mut net::TcpStream) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Knapweedford-Request-Id: {}\r\nX-Knapweedford-Response-Seal: seal\r\n",
        req.id()
    );
    let sent = match req.path() {
        "/read/large" => {
            let body = "x".repeat(ANSWER_BYTES);
            write!(conn, "{head}Content-Length: {ANSWER_BYTES}\r\n\r\n{body}")
        }
        "/once/hang" => {
            thread::sleep(Duration::from_secs(15));
            return false;
        }
        path if path.starts_with("/stream/") => {
            let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
            let head = format!(
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let sent = conn.write_all(head.as_bytes());
            let send = |n: usize, conn: &mut net::TcpStream| {
                let id = format!("id: {n}\n");
                write!(conn, "{:x}\r\n{id}{event}\r\n", id.len() + event.len())
            };
            sent.and_then(|()| (1..=100).try_for_each(|n| send(n, conn)))
                .and_then(|()| conn.write_all(b"0\r\n\r\n"))
        }
        _ => {
            let body = format!("got {} bytes", req.body.len());
            write!(conn, "{head}Content-Length: {}\r\n\r\n{body}", body.len())
        }
    };
    sent.is_ok()
}

/// Returns the head of a request, without the empty line; `more` are further lines.
pub fn head(method: &str, path: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {API_KEY}\r\n\
         X-Knapweedford-Request-Id: {id}\r\nX-Knapweedford-Deadline-Ms: 20000\r\n{more}"
    )
}

/// Opens a connection; `None` if it is refused.
pub fn connect(at: net::SocketAddr) -> Option<net::TcpStream> {
    let conn = net::TcpStream::connect_timeout(&at, SEND_TIMEOUT).ok()?;
    conn.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    conn.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    Some(conn)
}

/// Sends a whole request on a new connection, and returns what comes back.
pub fn exchange(at: net::SocketAddr, pieces: impl Iterator<Item = Vec<u8>>) -> String {
    let Some(mut conn) = connect(at) else { return String::new() };
    // A refusal may come before the last piece.
    for piece in pieces {
        if conn.write_all(&piece).is_err() {
            break;
        }
    }
    let mut received = Vec::new();
    let _ = conn.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

fn send_ordinary(at: net::SocketAddr) -> String {
    let head = head("POST", "/once/a", "plain", "Content-Length: 5\r\nConnection: close\r\n\r\n");
    exchange(at, [head.into_bytes(), b"12345".to_vec()].into_iter())
}

/// Lets `clients` clients send `pieces` at once, each on its own connection; returns the
/// connections, which stay open.
pub fn send_from_crowd<I>(
    at: net::SocketAddr,
    clients: usize,
    pieces: impl Fn(usize) -> I + Send + Copy + 'static,
) -> Vec<net::TcpStream>
where
    I: Iterator<Item = Vec<u8>>,
{
    let sending: Vec<_> = (0..clients)
        .map(|n| {
            let client = move || {
                let mut conn = connect(at)?;
                // Fails once the gateway has refused the client, or does not read.
                let _ = pieces(n).try_for_each(|piece| conn.write_all(&piece));
                Some(conn)
            };
            thread::Builder::new().stack_size(128 << 10).spawn(client).unwrap()
        })
        .collect();
    let conns = sending.into_iter().filter_map(|client| client.join().unwrap()).collect();
    thread::sleep(HOLD_TIME);
    conns
}
