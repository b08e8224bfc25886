//! An HTTP/1.1 client for backend servers and the platform, with persistent connections.
//!
//! A connection carries one request at a time. Dropping a connection or an unfinished call
//! closes its socket at once.

use std::{cell, collections::BTreeMap, io, net, pin, rc, sync::Arc, task, time};

use bytes::{Bytes, BytesMut};
use hyper::{body, client::conn::http1, header};
use hyper_util::rt;
use tokio::time::Instant;

use super::{Client, Payload, clients::NoMemory, payload::Collector};

/// A request together with its whole body.
pub type Request = hyper::Request<Payload>;
/// An answer whose body has not been read yet.
pub type Response = hyper::Response<body::Incoming>;

/// Idle time after which the kernel sends a keep-alive probe, and the interval between probes. It
/// is the shortest that TCP accepts; a silent connection is detected within about three seconds.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes a connection.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Maximum time for which sent bytes may remain unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time for which an idle connection is kept if the server states none. It is below the five
/// seconds after which common HTTP servers close idle connections.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(4);
/// Maximum number of idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Maximum number of idle connections that a bounded pool keeps.
const MAX_IDLE_IN_BOUNDED_POOL: usize = 256;

/// Receive buffer of a connection of a bounded pool in the kernel, in bytes, and the largest buffer
/// of the HTTP library, which also limits an answer's head.
const BOUNDED_BUFFER_BYTES: usize = 32 << 10;
/// Memory that a connection of a bounded pool takes while it carries a request, in bytes.
pub const BOUNDED_CONNECTION_BYTES: usize = 2 * BOUNDED_BUFFER_BYTES;

/// Bytes that a server may send in one answer besides the body: its head, which hyper limits to
/// about 400 KiB, and what hyper has read ahead.
const MAX_FRAMING_BYTES: u64 = 1 << 20;
/// Bytes that a server may send for each byte of the body: a chunk of one byte takes six.
const MAX_FRAMING_RATIO: u64 = 8;

/// The reason why a call failed, and whether the server may have read its request.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was sent, so it has not run.
    Unsent(String),
    /// The server may have read the request.
    Sent(String),
    /// The server may have read the request, and what it sent is not the answer.
    Defective(String),
}

impl Failure {
    /// Description of the failure.
    pub fn problem(&self) -> &str {
        match self {
            Self::Unsent(problem) | Self::Sent(problem) | Self::Defective(problem) => problem,
        }
    }
}

/// One connection to a server, closed when dropped.
pub struct Connection {
    tx: http1::SendRequest<Payload>,
    driver: tokio::task::JoinHandle<()>,
    keep_alive: time::Duration,
    bytes: rc::Rc<ByteCounts>,
    _place: Option<Place>,
}

/// Place of a connection among those that a bounded pool may open.
struct Place(rc::Rc<cell::Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Bytes of one answer.
#[derive(Default)]
struct ByteCounts {
    /// Bytes received from the socket.
    received: cell::Cell<u64>,
    /// Bytes of the body that were taken from the connection.
    delivered: cell::Cell<u64>,
}

impl ByteCounts {
    fn reset(&self) {
        self.received.set(0);
        self.delivered.set(0);
    }

    /// Whether the server has sent far more than a body of the bytes delivered needs.
    fn is_excessive(&self) -> bool {
        let allowed = MAX_FRAMING_BYTES + self.delivered.get() * MAX_FRAMING_RATIO;
        self.received.get() > allowed
    }
}

/// The socket of a connection. Reading fails once the server has sent too many bytes that are no
/// body: hyper limits heads, but no chunk sizes and trailers.
struct BoundedSocket {
    socket: tokio::net::TcpStream,
    bytes: rc::Rc<ByteCounts>,
}

impl tokio::io::AsyncRead for BoundedSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.bytes.is_excessive() {
            let problem = "the server sends bytes without end that are no answer";
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.socket).poll_read(cx, buf);
        let received = (buf.filled().len() - before) as u64;
        self.bytes.received.set(self.bytes.received.get() + received);
        polled
    }
}

impl tokio::io::AsyncWrite for BoundedSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection, which must succeed within `timeout`. Must run inside a `LocalSet`.
    pub async fn open(addr: net::SocketAddr, timeout: time::Duration) -> Result<Self, Failure> {
        Self::open_at(addr, timeout, None).await
    }

    /// Like [`open`](Self::open); a connection with a place has buffers of bounded size.
    async fn open_at(
        addr: net::SocketAddr,
        timeout: time::Duration,
        place: Option<Place>,
    ) -> Result<Self, Failure> {
        let is_bounded = place.is_some();
        let unsent = |problem: &dyn ToString| Failure::Unsent(problem.to_string());
        let opening = async {
            let socket = tokio::net::TcpStream::connect(addr).await.map_err(|err| unsent(&err))?;
            set_socket_options(&socket);
            // Closing the socket resets the connection: bytes that a silent server has not
            // received yet must not reach it later.
            let reset = socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO));
            reset.map_err(|err| unsent(&err))?;
            let mut builder = http1::Builder::new();
            if is_bounded {
                builder.max_buf_size(BOUNDED_BUFFER_BYTES);
                let raw = socket2::SockRef::from(&socket);
                if let Err(err) = raw.set_recv_buffer_size(BOUNDED_BUFFER_BYTES) {
                    log::debug!("the size of a receive buffer could not be set: {err}");
                }
            }
            let bytes = rc::Rc::new(ByteCounts::default());
            let socket = BoundedSocket { socket, bytes: rc::Rc::clone(&bytes) };
            let opened = builder.handshake(rt::TokioIo::new(socket)).await;
            opened.map(|(tx, conn)| (tx, conn, bytes)).map_err(|err| unsent(&err))
        };
        let opened = tokio::time::timeout(timeout, opening).await;
        let (tx, conn, bytes) =
            opened.unwrap_or_else(|_| Err(unsent(&"the connection did not open in time")))?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(err) = conn.await {
                log::debug!(server:% = addr; "connection ended: {err}");
            }
        });
        Ok(Self { tx, driver, keep_alive: DEFAULT_KEEP_ALIVE, bytes, _place: place })
    }

    /// Sends one request and waits for the head of its answer.
    pub async fn send(&mut self, req: Request) -> Result<Response, Failure> {
        self.tx.ready().await.map_err(|err| Failure::Unsent(err.to_string()))?;
        self.bytes.reset();
        let sent = self.tx.try_send_request(req).await;
        let res = sent.map_err(|mut failed| match failed.take_message() {
            Some(_) => Failure::Unsent(failed.error().to_string()),
            None => Failure::Sent(failed.error().to_string()),
        })?;
        self.keep_alive = keep_alive(res.headers());
        Ok(res)
    }
}

/// Sets the socket options that let the kernel detect a dead or silent peer within seconds.
pub fn set_socket_options(socket: &tokio::net::TcpStream) {
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    let raw = socket2::SockRef::from(socket);
    let set = [
        raw.set_tcp_nodelay(true),
        raw.set_tcp_keepalive(&probes),
        raw.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
    ];
    for failed in set.into_iter().filter_map(Result::err) {
        log::debug!("a socket option could not be set: {failed}");
    }
}

/// Time for which an idle connection may be reused: the `timeout` of the server's `Keep-Alive`
/// header less a fifth, so that no request is sent while the server is closing the connection.
fn keep_alive(headers: &hyper::HeaderMap) -> time::Duration {
    let text = headers.get("keep-alive").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let secs = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    match secs.and_then(|secs| secs.parse::<u32>().ok()) {
        Some(secs) => time::Duration::from_millis(u64::from(secs) * 800),
        None => DEFAULT_KEEP_ALIVE,
    }
}

struct IdleConnection {
    conn: Connection,
    expires_at: Instant,
}

/// A pool of idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: cell::RefCell<BTreeMap<net::SocketAddr, Vec<IdleConnection>>>,
    bound: Option<Bound>,
}

/// Bound on the connections of a pool.
struct Bound {
    max_open: usize,
    open: rc::Rc<cell::Cell<usize>>,
}

impl Pool {
    /// Creates a pool whose connections, of which at most `max_open` are open, have buffers of
    /// bounded size.
    pub fn bounded(max_open: usize) -> Self {
        Self { bound: Some(Bound { max_open, open: Default::default() }), ..Self::default() }
    }

    /// Opens a connection; where there are too many, the idle one that expires first is closed.
    ///
    /// # Errors
    ///
    /// Fails if `timeout` passes, or if too many connections carry requests, as
    /// [`may_open`](Self::may_open) tells.
    pub async fn open(
        &self,
        addr: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Connection, Failure> {
        let place = self.bound.as_ref().map(|bound| self.take_place(bound)).transpose()?;
        Connection::open_at(addr, timeout, place).await
    }

    /// Returns whether a connection to a server may be opened now.
    pub fn may_open(&self) -> bool {
        let has_idle = || !self.idle.borrow().is_empty();
        self.bound.as_ref().is_none_or(|bound| bound.open.get() < bound.max_open || has_idle())
    }

    fn take_place(&self, bound: &Bound) -> Result<Place, Failure> {
        if bound.open.get() >= bound.max_open && !self.close_idle() {
            return Err(Failure::Unsent("too many connections to servers are open".into()));
        }
        bound.open.set(bound.open.get() + 1);
        Ok(Place(rc::Rc::clone(&bound.open)))
    }

    /// Closes the idle connection that expires first; returns `false` if none is idle.
    fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let firsts = idle.iter().filter_map(|(addr, conns)| {
            Some((*addr, conns.iter().map(|idle| idle.expires_at).min()?))
        });
        let Some((addr, expires_at)) = firsts.min_by_key(|(_, expires_at)| *expires_at) else {
            return false;
        };
        let Some(conns) = idle.get_mut(&addr) else { return false };
        if let Some(first) = conns.iter().position(|idle| idle.expires_at == expires_at) {
            conns.swap_remove(first);
        }
        if conns.is_empty() {
            idle.remove(&addr);
        }
        true
    }

    /// Removes and returns the most recently used idle connection to `addr` that is still usable.
    pub fn take(&self, addr: net::SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        let now = Instant::now();
        connections.retain(|idle| idle.expires_at > now && !idle.conn.tx.is_closed());
        connections.pop().map(|idle| idle.conn)
    }

    /// Returns a connection whose answer has been read to its end to the pool.
    pub fn put(&self, addr: net::SocketAddr, conn: Connection) {
        if conn.tx.is_closed() || conn.keep_alive.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let total: usize = idle.values().map(Vec::len).sum();
        if self.bound.is_some() && total >= MAX_IDLE_IN_BOUNDED_POOL {
            return;
        }
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            let expires_at = Instant::now() + conn.keep_alive;
            connections.push(IdleConnection { conn, expires_at });
        }
    }

    /// Removes connections that are closed or have expired, and addresses without connections.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.conn.tx.is_closed());
            !connections.is_empty()
        });
    }

    /// Sends `req` on an idle connection or a new one and reads the whole answer.
    ///
    /// The call fails after `timeout`, or if the body has more than `limit` bytes.
    pub async fn call(
        &self,
        addr: net::SocketAddr,
        req: Request,
        limit: usize,
        timeout: time::Duration,
    ) -> Result<hyper::Response<Bytes>, Failure> {
        self.call_with_trust(addr, req, limit, timeout, Trust::Any).await
    }

    /// Like [`call`](Self::call), for a server that may write an earlier refusal once more. A refusal
    /// on a connection that has carried other requests may be such a one: the call fails. After any
    /// refusal the connection is closed, since the answer to the request may still follow.
    pub async fn call_for_refusals(
        &self,
        addr: net::SocketAddr,
        req: Request,
        limit: usize,
        timeout: time::Duration,
    ) -> Result<hyper::Response<Bytes>, Failure> {
        self.call_with_trust(addr, req, limit, timeout, Trust::OwnRefusals).await
    }

    async fn call_with_trust(
        &self,
        addr: net::SocketAddr,
        req: Request,
        limit: usize,
        timeout: time::Duration,
        trust: Trust,
    ) -> Result<hyper::Response<Bytes>, Failure> {
        let calling = async {
            let pooled = self.take(addr);
            let is_reused = pooled.is_some();
            let mut conn = match pooled {
                Some(conn) => conn,
                None => self.open(addr, timeout).await?,
            };
            let (head, body) = conn.send(req).await?.into_parts();
            let is_distrusted = trust == Trust::OwnRefusals && !head.status.is_success();
            if is_distrusted && is_reused {
                let problem = format!("status {} may answer an earlier request", head.status);
                return Err(Failure::Sent(problem));
            }
            if is_distrusted {
                conn.keep_alive = time::Duration::ZERO;
            }
            let body = BodyReader::new(addr, conn, body).read_to_end(self, limit).await?;
            Ok(hyper::Response::from_parts(head, body))
        };
        let timed_out = || Failure::Sent("no answer in time".into());
        tokio::time::timeout(timeout, calling).await.unwrap_or_else(|_| Err(timed_out()))
    }
}

/// Which answers count on a connection that has carried other requests.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Trust {
    /// All of them.
    Any,
    /// Those that are no refusals.
    OwnRefusals,
}

/// Creates a request that the load balancer itself sends to the platform or an engine, with a JSON
/// body if `json` is given.
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
    req.body(Payload::from(json.unwrap_or_default()))
        .map_err(|err| Failure::Unsent(err.to_string()))
}

/// Reads the body of an answer and keeps its connection open in the meantime.
pub struct BodyReader {
    body: body::Incoming,
    conn: Option<Connection>,
    addr: net::SocketAddr,
}

impl BodyReader {
    /// Creates a reader for the body of an answer that arrives on `conn`.
    pub fn new(addr: net::SocketAddr, conn: Connection, body: body::Incoming) -> Self {
        Self { body, conn: Some(conn), addr }
    }

    /// Reads the body to its end. Fails if it has more than `limit` bytes.
    pub async fn read_to_end(&mut self, pool: &Pool, limit: usize) -> Result<Bytes, Failure> {
        self.stated_length(limit)?;
        let mut buf = BytesMut::new();
        while let Some(data) = self.next(pool).await {
            buf.extend_from_slice(&data?);
            if buf.len() > limit {
                return Err(Failure::Sent("the answer is too large".into()));
            }
        }
        Ok(buf.freeze())
    }

    /// Reads the body to its end for `client`, to which it is charged. Fails if it has more than
    /// `limit` bytes. Where there is no memory for it, waits until there is.
    pub async fn read_for(
        &mut self,
        pool: &Pool,
        limit: usize,
        client: &Arc<Client>,
    ) -> Result<Payload, Failure> {
        let no_memory = |err: NoMemory| Failure::Sent(err.to_string());
        let mut collector = Collector::new(client).map_err(no_memory)?;
        if let Some(length) = self.stated_length(limit)? {
            collector.reserve_when_possible(length).await.map_err(no_memory)?;
        }
        while let Some(data) = self.next(pool).await {
            let data = data?;
            if collector.len() + data.len() > limit {
                return Err(Failure::Sent("the answer is too large".into()));
            }
            collector.push_when_possible(&data).await.map_err(no_memory)?;
        }
        Ok(collector.finish())
    }

    /// Returns the length of the body if the head states it. Fails if it is more than `limit` bytes.
    fn stated_length(&self, limit: usize) -> Result<Option<usize>, Failure> {
        let Some(length) = body::Body::size_hint(&self.body).exact() else { return Ok(None) };
        let length = usize::try_from(length).ok().filter(|length| *length <= limit);
        length.map(Some).ok_or_else(|| Failure::Sent("the answer is too large".into()))
    }

    /// Returns the next bytes, or `None` at the regular end, when the connection returns to
    /// `pool`.
    pub async fn next(&mut self, pool: &Pool) -> Option<Result<Bytes, Failure>> {
        loop {
            let frame = std::future::poll_fn(|cx: &mut task::Context<'_>| {
                body::Body::poll_frame(pin::Pin::new(&mut self.body), cx)
            });
            match frame.await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        if let Some(conn) = &self.conn {
                            let delivered = conn.bytes.delivered.get() + data.len() as u64;
                            conn.bytes.delivered.set(delivered);
                        }
                        return Some(Ok(data));
                    }
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
