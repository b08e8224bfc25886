//! An HTTP/1.1 server that limits sizes, headers, connections and times.

use std::{future, net, rc, time};

use hyper::{body, server, service};
use hyper_util::rt;
use tokio::{sync, task};

use crate::{Error, Result};

pub mod answer;
pub mod client;
pub mod events;

pub use answer::Body;

/// Limits on the requests and connections of one port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request head, in bytes. hyper accepts no limit below 8 KiB.
    pub max_head_bytes: usize,
    /// Maximum number of headers in a request.
    pub max_headers: usize,
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_connections: 1024,
            head_timeout: time::Duration::from_secs(10),
        }
    }
}

/// A request whose body has not been read yet.
pub type Request = hyper::Request<body::Incoming>;
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
    tokio::net::TcpListener::bind(addr).await.map_err(listen_error)
}

/// Serves one port until `stop` turns true, then completes the requests in flight.
///
/// Must run inside a `LocalSet`. `limits` is called for each new connection, which keeps the
/// limits that were in force when it opened; only the maximum number of connections is fixed at
/// the start.
pub async fn serve<H: Handler>(
    listener: tokio::net::TcpListener,
    limits: impl Fn() -> Limits,
    handler: rc::Rc<H>,
    mut stop: sync::watch::Receiver<bool>,
) {
    let slots = std::sync::Arc::new(sync::Semaphore::new(limits().max_connections));
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while tasks.try_join_next().is_some() {}
        match (accepted, std::sync::Arc::clone(&slots).try_acquire_owned().ok()) {
            (Ok((conn, _)), Some(slot)) => {
                let serving =
                    serve_connection(conn, limits(), rc::Rc::clone(&handler), stop.clone());
                tasks.spawn_local(async move {
                    serving.await;
                    drop(slot);
                });
            }
            (Ok(_), None) => log::warn!("connection refused: too many connections are open"),
            (Err(err), _) => {
                log::warn!("a connection could not be accepted: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

async fn serve_connection<H: Handler>(
    conn: tokio::net::TcpStream,
    limits: Limits,
    handler: rc::Rc<H>,
    mut stop: sync::watch::Receiver<bool>,
) {
    client::set_socket_options(&conn);
    let answer = service::service_fn(move |req| {
        let handler = rc::Rc::clone(&handler);
        async move { Ok::<_, std::convert::Infallible>(handler.handle(req).await) }
    });
    let conn = server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(rt::TokioIo::new(conn), answer);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        _ = stop.wait_for(|stop| *stop) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = result {
        log::debug!("connection ended: {err}");
    }
}
