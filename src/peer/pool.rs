//! Connections to peers, opened when needed and shared by all exchanges.

use std::{cell, collections, net, rc, time};

use bytes::Bytes;
use h2::client;
use serde::Serialize;

use super::{CONNECTION_WINDOW, FrameReader, HEAD_BYTES, STREAM_WINDOW, VERSION_HEADER};
use crate::{Error, Result, wire};

/// Longest time to open a connection to a peer.
const CONNECT_TIME: time::Duration = time::Duration::from_secs(2);

/// How an exchange failed to start.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was handed to the connection.
    Unsent(Error),
    /// The peer may have seen the request.
    Sent(Error),
}

/// One connection to each peer in use.
#[derive(Default)]
pub struct Pool {
    token: String,
    open: cell::RefCell<collections::BTreeMap<net::SocketAddr, client::SendRequest<Bytes>>>,
}

impl Pool {
    /// A pool whose exchanges present `token`.
    pub fn new(token: &str) -> rc::Rc<Self> {
        rc::Rc::new(Self { token: token.into(), open: Default::default() })
    }

    /// Starts an exchange: sends `msg` to `path` at `peer`, gives the answer's frames.
    pub async fn exchange(
        &self,
        peer: net::SocketAddr,
        path: &str,
        msg: &impl Serialize,
    ) -> Result<FrameReader, Failure> {
        let body = wire::frame::encode(msg).map_err(Failure::Unsent)?;
        let req = self.request(peer, path).map_err(Failure::Unsent)?;
        let mut conn = self.connect(peer).await.map_err(Failure::Unsent)?;
        let unsent = |err| Failure::Unsent(lost(peer, err));
        let sent = |err: h2::Error| match err.reason() {
            Some(h2::Reason::REFUSED_STREAM) => Failure::Unsent(lost(peer, err)),
            _ => Failure::Sent(lost(peer, err)),
        };
        let (res, mut tx) = conn.send_request(req, false).map_err(unsent)?;
        tx.reserve_capacity(body.len());
        tx.send_data(body, true).map_err(sent)?;
        let res = res.await.map_err(sent)?;
        match res.status() {
            http::StatusCode::OK => Ok(FrameReader::new(res.into_body())),
            status => Err(Failure::Unsent(lost(peer, format!("it answered {status}")))),
        }
    }

    /// Forgets the connection to `peer`, so that the next exchange opens another.
    pub fn forget(&self, peer: net::SocketAddr) {
        self.open.borrow_mut().remove(&peer);
    }

    fn request(&self, peer: net::SocketAddr, path: &str) -> Result<http::Request<()>> {
        http::Request::post(format!("http://{peer}{path}"))
            .header("authorization", &self.token)
            .header(VERSION_HEADER, wire::VERSION.to_string())
            .body(())
            .map_err(|err| lost(peer, err))
    }

    async fn connect(&self, peer: net::SocketAddr) -> Result<client::SendRequest<Bytes>> {
        let known = self.open.borrow().get(&peer).cloned();
        if let Some(conn) = known {
            match conn.ready().await {
                Ok(conn) => return Ok(conn),
                Err(_) => self.forget(peer),
            }
        }
        let opening = tokio::time::timeout(CONNECT_TIME, open(peer)).await;
        let conn = opening.unwrap_or_else(|_| Err(lost(peer, "no answer in time")))?;
        self.open.borrow_mut().insert(peer, conn.clone());
        conn.ready().await.map_err(|err| lost(peer, err))
    }
}

async fn open(peer: net::SocketAddr) -> Result<client::SendRequest<Bytes>> {
    let conn = tokio::net::TcpStream::connect(peer).await.map_err(|err| lost(peer, err))?;
    let _ = conn.set_nodelay(true);
    let (tx, conn) = client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(HEAD_BYTES)
        .enable_push(false)
        .handshake(conn)
        .await
        .map_err(|err| lost(peer, err))?;
    tokio::task::spawn_local(async move {
        if let Err(err) = conn.await {
            log::debug!(peer:%; "peer connection ended: {err}");
        }
    });
    Ok(tx)
}

fn lost(peer: net::SocketAddr, problem: impl ToString) -> Error {
    Error::Connection { peer: peer.to_string(), problem: problem.to_string() }
}
