//! A reader of the frames that arrive on one exchange.

use bytes::BytesMut;
use serde::de;

use crate::{Error, Result, wire};

/// Reads frames from an HTTP/2 stream.
pub struct FrameReader {
    rx: h2::RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    /// Creates a reader of the frames on `rx`.
    pub fn new(rx: h2::RecvStream) -> Self {
        Self { rx, buf: BytesMut::new() }
    }

    /// Returns the next message, or `None` at the end of the stream.
    pub async fn next<T: de::DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(msg) = wire::frame::decode(&mut self.buf)? {
                return Ok(Some(msg));
            }
            if !self.read_more().await? {
                return Ok(None);
            }
        }
    }

    /// Returns the next complete frame, not decoded, or `None` at the end of the stream.
    pub(super) async fn next_raw_frame(&mut self) -> Result<Option<BytesMut>> {
        while wire::frame::length(&self.buf)?.is_none_or(|len| self.buf.len() < len) {
            if !self.read_more().await? {
                return Ok(None);
            }
        }
        Ok(Some(std::mem::take(&mut self.buf)))
    }

    /// Reads more bytes into the buffer; `false` at the end of the stream.
    async fn read_more(&mut self) -> Result<bool> {
        let connection_error =
            |err: h2::Error| Error::Connection { peer: "a peer".into(), problem: err.to_string() };
        let Some(data) = self.rx.data().await else { return Ok(false) };
        let data = data.map_err(connection_error)?;
        self.rx.flow_control().release_capacity(data.len()).map_err(connection_error)?;
        self.buf.extend_from_slice(&data);
        Ok(true)
    }
}
