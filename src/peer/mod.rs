//! Streams between processes of the system: h2 with bincode frames.
//!
//! One stream carries one exchange: a request of one frame, an answer of one or
//! more. The path names the exchange; headers carry the wire version and token.

use std::{net, rc, time};

use bytes::BytesMut;
use h2::server;
use serde::{Serialize, de};
use tokio::{sync, task};

use crate::{Error, Result, wire};

pub mod pool;
pub mod reader;

pub use pool::Pool;
pub use reader::FrameReader;

/// Header with the sender's [`wire::VERSION`].
pub const VERSION_HEADER: &str = "knapweedford-wire";

/// Window of one stream, in bytes.
const STREAM_WINDOW: u32 = 64 << 10;
/// Window of one connection, in bytes: no stream that is not read holds up another.
const CONNECTION_WINDOW: u32 = STREAMS * STREAM_WINDOW;
/// Most streams that a peer may have open on one connection.
const STREAMS: u32 = 1024;
/// Largest header list of a stream, in bytes.
const HEAD_BYTES: u32 = 4 << 10;
/// Longest time for a peer to finish the connection's preface.
const HANDSHAKE_TIME: time::Duration = time::Duration::from_secs(5);
/// Longest time for the whole frame of a request to arrive.
const FRAME_TIME: time::Duration = time::Duration::from_secs(10);
/// Most peer connections at once.
const CONNECTIONS: usize = 2048;

/// A request from a peer, its frame read whole.
pub struct IncomingRequest {
    /// Names the exchange, such as `/call`.
    pub path: String,
    frame: BytesMut,
    /// Where the answer goes.
    pub reply: ReplySender,
}

impl IncomingRequest {
    /// Decodes the request.
    pub fn decode<T: de::DeserializeOwned>(&mut self) -> Result<T> {
        let none = || Error::Frame { problem: "the frame is not whole".into() };
        wire::frame::decode(&mut self.frame)?.ok_or_else(none)
    }
}

/// The sending side of one exchange.
pub struct ReplySender {
    tx: h2::SendStream<bytes::Bytes>,
}

impl ReplySender {
    /// Sends one frame, waiting for the peer's window.
    pub async fn send(&mut self, msg: &impl Serialize) -> Result {
        let mut buf = wire::frame::encode(msg)?;
        while !buf.is_empty() {
            self.tx.reserve_capacity(buf.len());
            let granted = std::future::poll_fn(|cx| self.tx.poll_capacity(cx)).await;
            let room = match granted {
                Some(Ok(room)) => room.min(buf.len()),
                Some(Err(err)) => return Err(broken("a peer", err)),
                None => return Err(broken("a peer", "the stream was reset")),
            };
            self.tx.send_data(buf.split_to(room), false).map_err(|err| broken("a peer", err))?;
        }
        Ok(())
    }

    /// Ends the answer.
    pub fn finish(mut self) {
        let _ = self.tx.send_data(bytes::Bytes::new(), true);
    }

    /// Returns once the peer has reset the stream or gone.
    pub async fn closed(&mut self) {
        let _ = std::future::poll_fn(|cx| self.tx.poll_reset(cx)).await;
    }
}

fn broken(peer: impl ToString, problem: impl ToString) -> Error {
    Error::Connection { peer: peer.to_string(), problem: problem.to_string() }
}

/// Accepts peers until `stop` turns true, then finishes the open streams.
///
/// Must run inside a `LocalSet`.
pub async fn serve<F>(
    listener: tokio::net::TcpListener,
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
            Ok((conn, peer)) if tasks.len() < CONNECTIONS => {
                let serving = connection(
                    conn,
                    peer,
                    rc::Rc::clone(&token),
                    rc::Rc::clone(&handle),
                    stop.clone(),
                );
                tasks.spawn_local(serving);
            }
            Ok((_, peer)) => log::warn!(peer:%; "peer connection refused: too many"),
            Err(err) => {
                log::warn!("accept failed: {err}");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn connection<F>(
    conn: tokio::net::TcpStream,
    peer: net::SocketAddr,
    token: rc::Rc<str>,
    handle: rc::Rc<F>,
    mut stop: sync::watch::Receiver<bool>,
) where
    F: AsyncFn(IncomingRequest) + 'static,
{
    let _ = conn.set_nodelay(true);
    let shake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(STREAMS)
        .max_header_list_size(HEAD_BYTES)
        .handshake(conn);
    let mut conn = match tokio::time::timeout(HANDSHAKE_TIME, shake).await {
        Ok(Ok(conn)) => conn,
        _ => return log::debug!(peer:%; "peer handshake failed"),
    };
    let mut tasks = task::JoinSet::new();
    let mut stopping = false;
    loop {
        let accepted = tokio::select! {
            accepted = conn.accept() => accepted,
            _ = stop.wait_for(|stop| *stop), if !stopping => {
                stopping = true;
                conn.graceful_shutdown();
                continue;
            }
            Some(_) = tasks.join_next() => continue,
        };
        match accepted {
            Some(Ok((req, res))) => {
                tasks.spawn_local(stream(req, res, rc::Rc::clone(&token), rc::Rc::clone(&handle)));
            }
            Some(Err(err)) => return log::debug!(peer:%; "peer connection ended: {err}"),
            None => return,
        }
    }
}

async fn stream<F>(
    req: http::Request<h2::RecvStream>,
    mut res: server::SendResponse<bytes::Bytes>,
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
    if header(&req, VERSION_HEADER) != wire::VERSION.to_string() {
        return refuse(&mut res, 426);
    }
    let path = req.uri().path().to_string();
    let mut source = FrameReader::new(req.into_body());
    let frame = match tokio::time::timeout(FRAME_TIME, source.frame()).await {
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

/// Compares two secrets in a time that does not depend on where they differ.
pub fn secrets_match(left: &str, right: &str) -> bool {
    let (left, right) = (left.as_bytes(), right.as_bytes());
    let differ = left.iter().zip(right).fold(0, |acc, (l, r)| acc | (l ^ r));
    left.len() == right.len() && differ == 0
}
