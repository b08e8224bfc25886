//! A bounded HTTP/1.1 server: sizes, headers, connections and times are limited.

use std::{future, net, rc, time};

use hyper::{body, server, service};
use hyper_util::rt;
use tokio::{sync, task};

use crate::{Error, Result};

pub mod answer;
pub mod client;
pub mod events;

pub use answer::Body;

/// Bounds on what one port takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head, in bytes; hyper takes no less than 8 KiB.
    pub max_head_bytes: usize,
    /// Most header lines in a request.
    pub max_headers: usize,
    /// Most connections at once; further ones are closed at once.
    pub max_connections: usize,
    /// Longest time a request head may take to arrive.
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

/// A request as hyper hands it over, its body not yet read.
pub type Request = hyper::Request<body::Incoming>;
/// An answer, whole or streamed.
pub type Response = hyper::Response<Body>;

/// What answers the requests of one port.
pub trait Handler: 'static {
    /// Answers one request. Dropped if the caller goes away first.
    fn handle(self: rc::Rc<Self>, req: Request) -> impl future::Future<Output = Response>;
}

/// Opens a port; port 0 lets the kernel choose.
pub async fn listen(addr: net::SocketAddr) -> Result<tokio::net::TcpListener> {
    let refused = |source| Error::Listen { address: addr.to_string(), source };
    tokio::net::TcpListener::bind(addr).await.map_err(refused)
}

/// Serves one port until `stop` turns true, then finishes what is in flight.
///
/// Must run inside a `LocalSet`.
///
/// Each new connection gets the `limits` of its time.
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
                let serving = connection(conn, limits(), rc::Rc::clone(&handler), stop.clone());
                tasks.spawn_local(async move {
                    serving.await;
                    drop(slot);
                });
            }
            (Ok(_), None) => log::warn!("connection refused: all slots are in use"),
            (Err(err), _) => {
                log::warn!("accept failed: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

async fn connection<H: Handler>(
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
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        _ = stop.wait_for(|stop| *stop) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(err) = ended {
        log::debug!("connection ended: {err}");
    }
}
