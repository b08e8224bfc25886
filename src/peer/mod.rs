//! Exchanges between processes of the system, over HTTP/2 streams with bincode frames.
//!
//! One stream carries one exchange: a request of one frame and a reply of one or more
//! frames. The path names the kind of exchange; headers carry the wire version and the token.

use std::{net, rc, sync::Arc, time};

use bytes::BytesMut;
use h2::server;
use serde::{Serialize, de};
use tokio::{sync, task};

use crate::{Error, Result, wire};

pub mod pool;
pub mod reader;

pub use pool::Pool;
pub use reader::FrameReader;

/// Name of the header that carries the sender's [`wire::VERSION`].
pub const VERSION_HEADER: &str = "knapweedford-wire";

/// HTTP/2 flow-control window of one stream, in bytes.
pub const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// HTTP/2 flow-control window of one connection, in bytes. It covers the windows of all streams,
/// so that a stream whose receiver stops reading cannot block the others.
const CONNECTION_WINDOW_BYTES: u32 = MAX_STREAMS * STREAM_WINDOW_BYTES;
/// Maximum number of streams that a peer may have open on one connection.
const MAX_STREAMS: u32 = 1024;
/// Maximum size of a stream's header list, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;
/// Time within which a peer must complete the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time within which the whole frame of a request must arrive.
const FRAME_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of peer connections that are open at once.
const MAX_CONNECTIONS: usize = 1024;
/// Time within which a peer must present the token.
const TOKEN_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Name of the port in logs and metrics.
const PORT: &str = "peers";

/// A request from a peer whose frame has been read completely.
pub struct IncomingRequest {
    /// Kind of exchange, such as `/call`.
    pub path: String,
    frame: BytesMut,
    /// Sender for the reply to this request.
    pub reply: ReplySender,
}

impl IncomingRequest {
    /// Decodes the request's frame as a `T`.
    pub fn decode<T: de::DeserializeOwned>(&mut self) -> Result<T> {
        let incomplete = || Error::Frame { problem: "the frame is incomplete".into() };
        wire::frame::decode(&mut self.frame)?.ok_or_else(incomplete)
    }
}

/// The sending side of one exchange.
pub struct ReplySender {
    tx: h2::SendStream<bytes::Bytes>,
}

impl ReplySender {
    /// Sends one frame and waits for the peer's flow-control window where it is full.
    pub async fn send(&mut self, msg: &impl Serialize) -> Result {
        let mut buf = wire::frame::encode(msg)?;
        while !buf.is_empty() {
            self.tx.reserve_capacity(buf.len());
            let granted = std::future::poll_fn(|cx| self.tx.poll_capacity(cx)).await;
            let capacity = match granted {
                Some(Ok(capacity)) => capacity.min(buf.len()),
                Some(Err(err)) => return Err(connection_error("a peer", err)),
                None => return Err(connection_error("a peer", "the stream was reset")),
            };
            self.tx
                .send_data(buf.split_to(capacity), false)
                .map_err(|err| connection_error("a peer", err))?;
        }
        Ok(())
    }

    /// Ends the reply.
    pub fn finish(mut self) {
        let _ = self.tx.send_data(bytes::Bytes::new(), true);
    }

    /// Waits until the peer resets the stream or its connection closes.
    pub async fn closed(&mut self) {
        let _ = std::future::poll_fn(|cx| self.tx.poll_reset(cx)).await;
    }
}

fn connection_error(peer: impl ToString, problem: impl ToString) -> Error {
    Error::Connection { peer: peer.to_string(), problem: problem.to_string() }
}

/// Accepts peer connections until `stop` turns true, then completes the open streams.
///
/// Must run inside a `LocalSet`.
pub async fn serve<F>(
    listener: tokio::net::TcpListener,
    clients: Arc<crate::http::Clients>,
    token: rc::Rc<str>,
    handle: rc::Rc<F>,
    mut stop: sync::watch::Receiver<bool>,
) where
    F: AsyncFn(IncomingRequest) + 'static,
{
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while tasks.try_join_next().is_some() {}
        match accepted {
            Ok((conn, peer)) => {
                let Some(client) = clients.admit(PORT, MAX_CONNECTIONS) else { continue };
                let serving = serve_connection(
                    (conn, peer),
                    rc::Rc::new(client),
                    rc::Rc::clone(&token),
                    rc::Rc::clone(&handle),
                    stop.clone(),
                );
                tasks.spawn_local(serving);
            }
            Err(err) => {
                log::warn!("a peer connection could not be accepted: {err}");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn serve_connection<F>(
    (conn, peer): (tokio::net::TcpStream, net::SocketAddr),
    client: rc::Rc<crate::http::Client>,
    token: rc::Rc<str>,
    handle: rc::Rc<F>,
    mut stop: sync::watch::Receiver<bool>,
) where
    F: AsyncFn(IncomingRequest) + 'static,
{
    let _ = conn.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .handshake(conn);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake);
    let mut conn = tokio::select! {
        Ok(Ok(conn)) = handshake => conn,
        () = client.evicted() => return,
        else => return log::debug!(peer:%; "peer handshake failed"),
    };
    let mut tasks = task::JoinSet::new();
    let mut stopping = false;
    let token_timeout_at = tokio::time::Instant::now() + TOKEN_TIMEOUT;
    loop {
        let accepted = tokio::select! {
            accepted = conn.accept() => accepted,
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                conn.graceful_shutdown();
                continue;
            }
            Some(_) = tasks.join_next() => continue,
            () = client.evicted() => return,
            () = tokio::time::sleep_until(token_timeout_at), if client.is_at_head() => {
                return log::info!(peer:%; "peer connection closed: no token was presented in time");
            }
        };
        match accepted {
            Some(Ok((req, res))) => {
                tasks.spawn_local(serve_stream(
                    req,
                    res,
                    rc::Rc::clone(&client),
                    rc::Rc::clone(&token),
                    rc::Rc::clone(&handle),
                ));
            }
            Some(Err(err)) => return log::debug!(peer:%; "peer connection ended: {err}"),
            None => return,
        }
    }
}

async fn serve_stream<F>(
    req: http::Request<h2::RecvStream>,
    mut res: server::SendResponse<bytes::Bytes>,
    client: rc::Rc<crate::http::Client>,
    token: rc::Rc<str>,
    handle: rc::Rc<F>,
) where
    F: AsyncFn(IncomingRequest) + 'static,
{
    let refuse = |res: &mut server::SendResponse<bytes::Bytes>, status: u16| {
        let status = http::StatusCode::from_u16(status).unwrap_or_default();
        let mut head = http::Response::new(());
        *head.status_mut() = status;
        let _ = res.send_response(head, true);
    };
    if !secrets_match(header(&req, "authorization"), &token) {
        return refuse(&mut res, 401);
    }
    // A peer with the token never makes room for others.
    if client.is_at_head() {
        client.begin_answer();
    }
    if header(&req, VERSION_HEADER) != wire::VERSION.to_string() {
        return refuse(&mut res, 426);
    }
    let path = req.uri().path().to_string();
    let mut reader = FrameReader::new(req.into_body());
    let frame = match tokio::time::timeout(FRAME_TIMEOUT, reader.next_raw_frame()).await {
        Ok(Ok(Some(frame))) => frame,
        _ => return refuse(&mut res, 400),
    };
    match res.send_response(http::Response::new(()), false) {
        Ok(tx) => handle(IncomingRequest { path, frame, reply: ReplySender { tx } }).await,
        Err(err) => log::debug!("peer stream ended: {err}"),
    }
}

fn header<'a>(req: &'a http::Request<h2::RecvStream>, name: &str) -> &'a str {
    req.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Whether two secrets are equal, compared in a time that does not depend on where they differ.
pub fn secrets_match(left: &str, right: &str) -> bool {
    let (left, right) = (left.as_bytes(), right.as_bytes());
    let differ = left.iter().zip(right).fold(0, |acc, (l, r)| acc | (l ^ r));
    left.len() == right.len() && differ == 0
}
