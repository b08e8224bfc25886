//! HTTP/1.1 towards backend servers and the platform: kept connections, each for one request
//! at a time. Dropping a connection or an unfinished call closes its socket at once.

use std::{cell, collections::BTreeMap, net, pin, task, time};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::{body, client::conn::http1, header};
use hyper_util::rt;
use tokio::time::Instant;

/// A request with its whole body.
pub type Request = hyper::Request<Full<Bytes>>;
/// An answer whose body is still to come.
pub type Response = hyper::Response<body::Incoming>;

/// Idle time after which the kernel probes a connection, and between its probes. The shortest
/// that TCP takes: a silent connection shows within about three seconds.
const PROBE_EVERY: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes that end a connection.
const PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_secs(3);
/// Time for which an idle connection is kept if the server names none. Below the five seconds
/// after which common HTTP servers close.
const KEPT: time::Duration = time::Duration::from_secs(4);
/// Idle connections kept to one address.
const KEPT_MOST: usize = 32;

/// Why a call failed.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request left; it has not run.
    Unsent(String),
    /// The request may have been read.
    Sent(String),
}

impl Failure {
    /// What went wrong.
    pub fn problem(&self) -> &str {
        match self {
            Self::Unsent(problem) | Self::Sent(problem) => problem,
        }
    }
}

/// One connection; closed when dropped.
pub struct Connection {
    tx: http1::SendRequest<Full<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
    keep: time::Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection. Must run inside a `LocalSet`.
    pub async fn open(addr: net::SocketAddr, within: time::Duration) -> Result<Self, Failure> {
        let unsent = |problem: &dyn ToString| Failure::Unsent(problem.to_string());
        let opening = async {
            let socket = tokio::net::TcpStream::connect(addr).await.map_err(|err| unsent(&err))?;
            set_socket_options(&socket);
            // Closing resets: what a silent peer has not taken yet must not reach it later.
            let reset = socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO));
            reset.map_err(|err| unsent(&err))?;
            http1::handshake(rt::TokioIo::new(socket)).await.map_err(|err| unsent(&err))
        };
        let opened = tokio::time::timeout(within, opening).await;
        let (tx, conn) = opened.unwrap_or_else(|_| Err(unsent(&"no answer in time")))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(err) = conn.await {
                log::debug!(server:% = addr; "connection ended: {err}");
            }
        });
        Ok(Self { tx, driver, keep: KEPT })
    }

    /// Sends one request and waits for the head of its answer.
    pub async fn send(&mut self, req: Request) -> Result<Response, Failure> {
        self.tx.ready().await.map_err(|err| Failure::Unsent(err.to_string()))?;
        let sent = self.tx.try_send_request(req).await;
        let res = sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => Failure::Unsent(failed.error().to_string()),
            None => Failure::Sent(failed.error().to_string()),
        })?;
        self.keep = kept(res.headers());
        Ok(res)
    }
}

/// Sets what makes a dead or silent peer show soon.
pub fn set_socket_options(socket: &tokio::net::TcpStream) {
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let raw = socket2::SockRef::from(socket);
    let set = [
        raw.set_tcp_nodelay(true),
        raw.set_tcp_keepalive(&probes),
        raw.set_tcp_user_timeout(Some(UNACKNOWLEDGED)),
    ];
    for failed in set.into_iter().filter_map(Result::err) {
        log::debug!("a socket option was not taken: {failed}");
    }
}

/// Time for which the server says it keeps an idle connection, less a part for the way.
fn kept(headers: &hyper::HeaderMap) -> time::Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let secs = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    match secs.and_then(|secs| secs.parse::<u32>().ok()) {
        Some(secs) => time::Duration::from_millis(u64::from(secs) * 800),
        None => KEPT,
    }
}

struct Idle {
    conn: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: cell::RefCell<BTreeMap<net::SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// The connection to `addr` that was in use last, if one is still good.
    pub fn take(&self, addr: net::SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&addr)?;
        let now = Instant::now();
        kept.retain(|idle| idle.until > now && !idle.conn.tx.is_closed());
        kept.pop().map(|idle| idle.conn)
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn put(&self, addr: net::SocketAddr, conn: Connection) {
        if conn.tx.is_closed() || conn.keep.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(addr).or_default();
        if kept.len() < KEPT_MOST {
            let until = Instant::now() + conn.keep;
            kept.push(Idle { conn, until });
        }
    }

    /// Forgets addresses without a good connection.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until > now && !idle.conn.tx.is_closed());
            !kept.is_empty()
        });
    }

    /// Sends `req` on a kept connection or a new one and reads the whole answer, at most
    /// `limit` bytes of body.
    pub async fn call(
        &self,
        addr: net::SocketAddr,
        req: Request,
        limit: usize,
        within: time::Duration,
    ) -> Result<hyper::Response<Bytes>, Failure> {
        let calling = async {
            let mut conn = match self.take(addr) {
                Some(conn) => conn,
                None => Connection::open(addr, within).await?,
            };
            let (head, body) = conn.send(req).await?.into_parts();
            let body = BodyReader::new(addr, conn, body).whole(self, limit).await?;
            Ok(hyper::Response::from_parts(head, body))
        };
        let late = || Failure::Sent("no answer in time".into());
        tokio::time::timeout(within, calling).await.unwrap_or_else(|_| Err(late()))
    }
}

/// A request for one of the platform's or an engine's own calls.
pub fn request(
    method: hyper::Method,
    addr: net::SocketAddr,
    target: &str,
    json: Option<Vec<u8>>,
) -> Result<Request, Failure> {
    let mut req =
        hyper::Request::builder().method(method).uri(target).header(header::HOST, addr.to_string());
    if json.is_some() {
        req = req.header(header::CONTENT_TYPE, "application/json");
    }
    let body = Full::new(Bytes::from(json.unwrap_or_default()));
    req.body(body).map_err(|err| Failure::Unsent(err.to_string()))
}

/// The body of an answer as its connection delivers it; keeps the connection open.
pub struct BodyReader {
    body: body::Incoming,
    conn: Option<Connection>,
    addr: net::SocketAddr,
}

impl BodyReader {
    /// The body of an answer that came on `conn`.
    pub fn new(addr: net::SocketAddr, conn: Connection, body: body::Incoming) -> Self {
        Self { body, conn: Some(conn), addr }
    }

    /// Reads the body to its end, at most `limit` bytes.
    pub async fn whole(&mut self, pool: &Pool, limit: usize) -> Result<Bytes, Failure> {
        let mut buf = BytesMut::new();
        while let Some(data) = self.next(pool).await {
            buf.extend_from_slice(&data?);
            if buf.len() > limit {
                return Err(Failure::Sent("the answer is too large".into()));
            }
        }
        Ok(buf.freeze())
    }

    /// The next bytes; `None` at the regular end, after which the connection is in `pool` again.
    pub async fn next(&mut self, pool: &Pool) -> Option<Result<Bytes, Failure>> {
        loop {
            let frame = std::future::poll_fn(|cx: &mut task::Context<'_>| {
                body::Body::poll_frame(pin::Pin::new(&mut self.body), cx)
            });
            match frame.await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => continue,
                },
                Some(Err(err)) => {
                    self.conn = None;
                    return Some(Err(Failure::Sent(err.to_string())));
                }
                None => {
                    if let Some(conn) = self.conn.take() {
                        pool.put(self.addr, conn);
                    }
                    return None;
                }
            }
        }
    }
}
