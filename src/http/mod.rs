//! An HTTP/1.1 server that limits sizes, headers, connections and times.

use std::{convert, future, io, net, ops, pin, rc, sync::Arc, task as std_task, time};

use hyper::{body, header, server, service};
use hyper_util::rt;
use tokio::{sync, task};

use crate::{Error, Result};

pub mod answer;
pub mod client;
pub mod clients;
pub mod events;
pub mod payload;
mod socket;
pub mod upload;

pub use answer::Body;
pub use clients::{Charge, Client, Clients};
pub use payload::Payload;
pub use upload::Upload;

/// Limits on the requests and connections of one port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum number of open connections. For a further one, the slowest client makes room.
    pub max_connections: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: time::Duration,
}

/// Default maximum number of connections to a port that the platform's balancer or operators use.
const MAX_CONNECTIONS: usize = 64;

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_headers: FREE_HEADERS,
            max_connections: MAX_CONNECTIONS,
            head_timeout: time::Duration::from_secs(10),
        }
    }
}

/// Headers of a request that count with its connection; more of them are charged to the client.
const FREE_HEADERS: usize = 64;
/// Memory for each header beyond [`FREE_HEADERS`], in bytes: its entries in the maps of the request
/// that was received and of the one that is sent to a server.
const HEADER_BYTES: usize = 256;
/// `Retry-After` for a request head for which there is no memory.
const NO_MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Smallest and largest buffer in which a request head is received, in bytes. hyper panics if its
/// buffer is smaller than 8 KiB, so that a lower limit is checked once the head is complete.
const HEAD_BUFFER_BYTES: ops::RangeInclusive<usize> = 16 << 10..=1 << 20;

impl Limits {
    /// Size of the buffer for the heads of a connection, in bytes.
    fn head_buffer_bytes(&self) -> usize {
        self.max_head_bytes.clamp(*HEAD_BUFFER_BYTES.start(), *HEAD_BUFFER_BYTES.end())
    }
}

/// Largest number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// A request whose body has not been read yet.
pub type Request = hyper::Request<Upload>;
/// An answer whose body is whole or streamed.
pub type Response = hyper::Response<Body>;

/// A handler that answers the requests of one port.
pub trait Handler: 'static {
    /// Answers one request. The future is dropped if the caller disconnects first.
    fn handle(self: rc::Rc<Self>, req: Request) -> impl future::Future<Output = Response>;
}

/// Starts to listen on `addr`. With port 0 the kernel chooses a free port.
pub async fn listen(addr: net::SocketAddr) -> Result<tokio::net::TcpListener> {
    let listen_error = |source| Error::Listen { address: addr.to_string(), source };
    listen_with_small_buffers(addr).map_err(listen_error)
}

/// Listens with the receive buffer that connections keep: the kernel drops what was sent into a
/// window that does not fit into the buffer any more.
fn listen_with_small_buffers(addr: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = match addr {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(clients::RECEIVE_BUFFER_BYTES as u32)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves one port until `stop` turns true, then completes the requests in flight.
///
/// Must run inside a `LocalSet`. `limits` is called for each new connection, which keeps the time
/// limit that was in force when it opened, and for each request, whose head must be within the
/// limit at that time. `port` names the port in logs and metrics.
pub async fn serve<H: Handler>(
    listener: tokio::net::TcpListener,
    (port, clients): (&'static str, Arc<Clients>),
    limits: impl Fn() -> Limits + 'static,
    handler: rc::Rc<H>,
    mut stop: sync::watch::Receiver<bool>,
) {
    let limits = rc::Rc::new(limits);
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = tasks.join_next() => {
                log_panic(ended);
                continue;
            }
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((conn, _)) => {
                if let Some(client) = clients.admit(port, limits().max_connections) {
                    let conn = socket::ClientSocket::new(conn, Arc::new(client));
                    let (limits, handler) = (rc::Rc::clone(&limits), rc::Rc::clone(&handler));
                    tasks.spawn_local(serve_connection(conn, limits, handler, stop.clone()));
                }
            }
            Err(err) => {
                log::warn!("a connection could not be accepted: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while let Some(ended) = tasks.join_next().await {
        log_panic(ended);
    }
}

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Logs the panic that ended the task of a connection, if one did.
fn log_panic(ended: Result<(), task::JoinError>) {
    if let Err(err) = ended {
        log::error!("the task of a connection failed: {err}");
    }
}

async fn serve_connection<H: Handler>(
    conn: socket::ClientSocket,
    limits: rc::Rc<impl Fn() -> Limits + 'static>,
    handler: rc::Rc<H>,
    mut stop: sync::watch::Receiver<bool>,
) {
    let client = Arc::clone(conn.client());
    let initial = limits();
    let buffer_bytes = initial.head_buffer_bytes();
    let answering = Arc::clone(&client);
    let answer = service::service_fn(move |req: hyper::Request<body::Incoming>| {
        let (handler, limits) = (rc::Rc::clone(&handler), limits());
        let client = Arc::clone(&answering);
        async move {
            client.begin_answer();
            let req = req.map(|body| Upload::new(body, Arc::clone(&client)));
            let head_bytes = head_bytes(&req);
            let more_headers = req.headers().len().saturating_sub(FREE_HEADERS);
            let charge = client.charge(more_headers * HEADER_BYTES);
            let mut res = match &charge {
                _ if head_bytes > limits.max_head_bytes => {
                    refuse_head(head_bytes, limits.max_head_bytes)
                }
                Err(err) => answer::refusal(503, &err.to_string(), Some(NO_MEMORY_RETRY_AFTER)),
                Ok(_) => handler.handle(req).await,
            };
            // Larger heads, which are allowed by now, need a connection with a larger buffer.
            if limits.head_buffer_bytes() > buffer_bytes || client.is_evicted() {
                let close = header::HeaderValue::from_static("close");
                res.headers_mut().insert(header::CONNECTION, close);
            }
            let _head_charge = charge.ok();
            Ok::<_, convert::Infallible>(res.map(|body| AnswerBody { body, client, _head_charge }))
        }
    });
    let conn = server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(initial.head_timeout)
        .max_headers(initial.max_headers)
        .max_buf_size(buffer_bytes)
        .serve_connection(rt::TokioIo::new(conn), answer);
    let mut conn = std::pin::pin!(conn);
    let serving = async {
        tokio::select! {
            result = conn.as_mut() => result,
            _ = stop.wait_for(|stop| *stop) => {
                conn.as_mut().graceful_shutdown();
                conn.await
            }
        }
    };
    let mut serving = std::pin::pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => result,
        () = client.evicted() => {
            // A body is refused with an answer; anything else ends here.
            if client.is_evicted_during_body() {
                let _ = tokio::time::timeout(REFUSAL_TIME, serving).await;
            }
            return;
        }
    };
    if let Err(err) = result {
        log::debug!("connection ended: {err}");
    }
}

/// Time for sending the refusal of a body.
const REFUSAL_TIME: time::Duration = time::Duration::from_secs(1);

/// The body of an answer while it is sent.
struct AnswerBody {
    body: Body,
    client: Arc<Client>,
    /// Memory for the head of the request.
    _head_charge: Option<Charge>,
}

impl body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = answer::Truncated;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut std_task::Context<'_>,
    ) -> std_task::Poll<Option<Result<body::Frame<bytes::Bytes>, answer::Truncated>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.client.begin_head();
    }
}

/// Whether `status` is one of a final answer. HTTP libraries pass on others: 101, which no request
/// here asks for, and those from 600 on.
pub fn is_final(status: hyper::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Size of the head of `req`, in bytes, without optional white space.
fn head_bytes(req: &Request) -> usize {
    let uri = req.uri();
    let scheme = uri.scheme_str().map_or(0, |scheme| scheme.len() + "://".len());
    let authority = uri.authority().map_or(0, |authority| authority.as_str().len());
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let line = req.method().as_str().len() + "  HTTP/1.1\r\n".len() + scheme + authority + path;
    let field = |name: &header::HeaderName, value: &header::HeaderValue| {
        name.as_str().len() + value.len() + ":\r\n".len()
    };
    let fields: usize = req.headers().iter().map(|(name, value)| field(name, value)).sum();
    line + fields + "\r\n".len()
}

fn refuse_head(head_bytes: usize, max_head_bytes: usize) -> Response {
    log::info!(head_bytes, max_head_bytes; "request refused: its head is too large");
    let problem = format!("The head has {head_bytes} bytes; send at most {max_head_bytes}.");
    answer::refusal(431, &problem, None)
}
