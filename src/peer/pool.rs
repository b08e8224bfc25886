//! A pool of connections to peers, opened on demand and shared by all exchanges.

use std::{cell, collections, net, rc, time};

use bytes::Bytes;
use h2::client;
use serde::Serialize;

use super::{
    CONNECTION_WINDOW_BYTES, FrameReader, MAX_HEADER_LIST_BYTES, STREAM_WINDOW_BYTES,
    VERSION_HEADER,
};
use crate::{Error, Result, wire};

/// Time within which a connection to a peer must open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The reason why an exchange failed to start, and whether the peer may have seen its request.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was passed to the connection, or the peer refused the request.
    Unsent(Error),
    /// The peer may have seen the request.
    Sent(Error),
}

/// A connection pool with at most one connection to each peer.
#[derive(Default)]
pub struct Pool {
    token: String,
    connections: cell::RefCell<collections::BTreeMap<net::SocketAddr, client::SendRequest<Bytes>>>,
}

impl Pool {
    /// Creates a pool whose exchanges present `token` to the peers.
    pub fn new(token: &str) -> rc::Rc<Self> {
        rc::Rc::new(Self { token: token.into(), connections: Default::default() })
    }

    /// Starts an exchange: sends `msg` to `path` at `peer` and returns a reader of the reply.
    pub async fn exchange(
        &self,
        peer: net::SocketAddr,
        path: &str,
        msg: &impl Serialize,
    ) -> Result<FrameReader, Failure> {
        let body = wire::frame::encode(msg).map_err(Failure::Unsent)?;
        let req = self.build_request(peer, path).map_err(Failure::Unsent)?;
        let mut conn = self.connect(peer).await.map_err(Failure::Unsent)?;
        let unsent = |err| Failure::Unsent(connection_error(peer, err));
        let sent = |err: h2::Error| match err.reason() {
            Some(h2::Reason::REFUSED_STREAM) => Failure::Unsent(connection_error(peer, err)),
            _ => Failure::Sent(connection_error(peer, err)),
        };
        let (res, mut tx) = conn.send_request(req, false).map_err(unsent)?;
        tx.reserve_capacity(body.len());
        tx.send_data(body, true).map_err(sent)?;
        let res = res.await.map_err(sent)?;
        match res.status() {
            http::StatusCode::OK => Ok(FrameReader::new(res.into_body())),
            status => Err(Failure::Unsent(connection_error(
                peer,
                format!("the peer refused the request with status {status}"),
            ))),
        }
    }

    /// Removes the connection to `peer` from the pool, so that the next exchange opens another.
    pub fn remove(&self, peer: net::SocketAddr) {
        self.connections.borrow_mut().remove(&peer);
    }

    fn build_request(&self, peer: net::SocketAddr, path: &str) -> Result<http::Request<()>> {
        http::Request::post(format!("http://{peer}{path}"))
            .header("authorization", &self.token)
            .header(VERSION_HEADER, wire::VERSION.to_string())
            .body(())
            .map_err(|err| connection_error(peer, err))
    }

    async fn connect(&self, peer: net::SocketAddr) -> Result<client::SendRequest<Bytes>> {
        let pooled = self.connections.borrow().get(&peer).cloned();
        if let Some(conn) = pooled {
            match conn.ready().await {
                Ok(conn) => return Ok(conn),
                Err(_) => self.remove(peer),
            }
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(peer)).await;
        let conn = opened.unwrap_or_else(|_| {
            Err(connection_error(peer, "the connection did not open in time"))
        })?;
        self.connections.borrow_mut().insert(peer, conn.clone());
        conn.ready().await.map_err(|err| connection_error(peer, err))
    }
}

async fn open_connection(peer: net::SocketAddr) -> Result<client::SendRequest<Bytes>> {
    let conn =
        tokio::net::TcpStream::connect(peer).await.map_err(|err| connection_error(peer, err))?;
    let _ = conn.set_nodelay(true);
    let (tx, conn) = client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .enable_push(false)
        .handshake(conn)
        .await
        .map_err(|err| connection_error(peer, err))?;
    tokio::task::spawn_local(async move {
        if let Err(err) = conn.await {
            log::debug!(peer:%; "peer connection ended: {err}");
        }
    });
    Ok(tx)
}

fn connection_error(peer: net::SocketAddr, problem: impl ToString) -> Error {
    Error::Connection { peer: peer.to_string(), problem: problem.to_string() }
}
