//! The receiving side of one exchange.

use bytes::BytesMut;
use serde::de;

use crate::{Error, Result, wire};

/// Reads frames off an h2 stream.
pub struct FrameReader {
    rx: h2::RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    /// Wraps the stream.
    pub fn new(rx: h2::RecvStream) -> Self {
        Self { rx, buf: BytesMut::new() }
    }

    /// The next message; `None` at the stream's end.
    pub async fn next<T: de::DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(msg) = wire::frame::decode(&mut self.buf)? {
                return Ok(Some(msg));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// The next whole frame, not decoded; `None` at the stream's end.
    pub(super) async fn frame(&mut self) -> Result<Option<BytesMut>> {
        while wire::frame::length(&self.buf)?.is_none_or(|len| self.buf.len() < len) {
            if !self.fill().await? {
                return Ok(None);
            }
        }
        Ok(Some(std::mem::take(&mut self.buf)))
    }

    async fn fill(&mut self) -> Result<bool> {
        let lost =
            |err: h2::Error| Error::Connection { peer: "a peer".into(), problem: err.to_string() };
        let Some(data) = self.rx.data().await else { return Ok(false) };
        let data = data.map_err(lost)?;
        self.rx.flow_control().release_capacity(data.len()).map_err(lost)?;
        self.buf.extend_from_slice(&data);
        Ok(true)
    }
}
