//! Test harness for servers that choose the bytes that they send on a connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net,
    sync::Arc,
    thread, time,
};

use crate::{
    gateways::{self, Gateway},
    processes::wait_until,
    store::Store,
};

/// Longest time without a byte of an answer.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Bytes that a client reads at a time, and the size of its receive buffer.
const READ_BYTES: usize = 16 << 10;

/// A request as a server received it.
pub struct Request {
    head: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Number of requests before it on the same connection.
    pub earlier: usize,
}

impl Request {
    /// Returns the value of the header `name`, which is in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or_default()
    }

    /// Returns the identity of the request.
    pub fn id(&self) -> &str {
        self.header("x-knapweedford-request-id")
    }

    /// Returns the path of the request.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Whether the request is for a stream.
    pub fn streams(&self) -> bool {
        self.path().starts_with("/stream/")
    }

    /// Reads the next request on a connection; `None` at its end.
    fn read(conn: &mut BufReader<net::TcpStream>, earlier: usize) -> Option<Self> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if conn.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let mut req = Self { head, body: Vec::new(), earlier };
        req.body.resize(req.header("content-length").parse().unwrap_or_default(), 0);
        conn.read_exact(&mut req.body).ok()?;
        Some(req)
    }
}

/// Starts a server; `answer` sends what answers a request, and returns whether the connection stays
/// open.
pub fn start(
    answer: impl Fn(&Request, &mut net::TcpStream) -> bool + Send + Sync + 'static,
) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for conn in listener.incoming().map_while(Result::ok) {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let mut tx = conn.try_clone().unwrap();
                let mut rx = BufReader::new(conn);
                for earlier in 0.. {
                    match Request::read(&mut rx, earlier) {
                        Some(req) if answer(&req, &mut tx) => {}
                        _ => return,
                    }
                }
            });
        }
    });
    addr
}

/// An answer as a client received it.
#[derive(Debug)]
pub struct Received {
    /// Head and body, without chunk framing.
    pub text: String,
    /// Whether the body ended with the last chunk.
    pub is_complete: bool,
}

/// Requests a stream and reads the answer, with a pause of `pace` after each [`READ_BYTES`].
pub fn request_stream(at: net::SocketAddr, id: &str, pace: time::Duration) -> Received {
    let conn = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    conn.set_recv_buffer_size(READ_BYTES).unwrap();
    conn.connect(&at.into()).unwrap();
    let mut conn = net::TcpStream::from(conn);
    conn.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let head = format!(
        "POST /stream/a HTTP/1.1\r\nHost: {}\r\nApi-Key: {}\r\nContent-Length: 0\r\n\
         X-Knapweedford-Request-Id: {id}\r\nConnection: close\r\n\r\n",
        gateways::HOST,
        gateways::API_KEY
    );
    conn.write_all(head.as_bytes()).unwrap();
    let (mut received, mut buf) = (Vec::new(), vec![0; READ_BYTES]);
    while let Ok(read @ 1..) = conn.read(&mut buf) {
        received.extend_from_slice(&buf[..read]);
        thread::sleep(pace);
    }
    decode(&String::from_utf8(received).unwrap())
}

/// Removes the chunk framing of an answer.
fn decode(answer: &str) -> Received {
    let (head, mut rest) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let mut text = format!("{head}\r\n\r\n");
    let mut is_complete = false;
    while let Some((size, chunk)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or_default();
        is_complete = size == 0 && chunk == "\r\n";
        text += &chunk[..size.min(chunk.len())];
        rest = chunk.get(size + 2..).unwrap_or_default();
    }
    Received { text, is_complete }
}

/// Starts a gateway with these servers, in this order of their ids, and waits until it is ready. Its
/// routes allow 20 seconds.
pub fn start_gateway(servers: &[net::SocketAddr]) -> Gateway {
    let store = Store::start();
    for (n, addr) in servers.iter().enumerate() {
        store.put("servers", &format!("i-{n}"), &gateways::row(*addr, "ready", 1, ""));
    }
    let config = gateways::config(1, "llm");
    store.put("op", "config", &config.replace(r#""timeout_ms":2000"#, r#""timeout_ms":20000"#));
    let gateway = Gateway::start(store.addr);
    wait_until("the gateway is ready", || gateway.is_ready().then_some(()));
    // Until then its share of the retries is too small for a single one.
    wait_until("the gateway knows how many there are", || {
        gateway.logs().contains("number of gateways changed").then_some(())
    });
    gateway
}
