//! Bincode frames with a length prefix and a maximum size.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de};

use crate::{Error, Result};

/// Maximum size of a frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const LENGTH_PREFIX_BYTES: usize = 4;

fn codec_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes `msg` as a frame. Fails if the body exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(msg, codec_config())
        .map_err(|err| Error::Frame { problem: err.to_string() })?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::FrameTooLarge { size: body.len(), limit: MAX_FRAME_BYTES });
    }
    let mut buf = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Size in bytes of the frame at the front of `buf`, its length prefix included.
///
/// `None` until the whole prefix is in `buf`; an error if the announced size is too large.
pub fn length(buf: &[u8]) -> Result<Option<usize>> {
    let Some(prefix) = buf.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    match u32::from_be_bytes(*prefix) as usize {
        size if size > MAX_FRAME_BYTES => {
            Err(Error::FrameTooLarge { size, limit: MAX_FRAME_BYTES })
        }
        size => Ok(Some(LENGTH_PREFIX_BYTES + size)),
    }
}

/// Removes the first frame from `buf` and decodes it; `None` if more bytes are needed.
pub fn decode<T: de::DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>> {
    let Some(len) = length(buf)?.filter(|len| buf.len() >= *len) else { return Ok(None) };
    let body = buf.split_to(len).split_off(LENGTH_PREFIX_BYTES);
    match bincode::serde::decode_from_slice(&body, codec_config()) {
        Ok((msg, decoded_bytes)) if decoded_bytes == body.len() => Ok(Some(msg)),
        Ok(_) => Err(Error::Frame { problem: "the frame has bytes after the message".into() }),
        Err(err) => Err(Error::Frame { problem: err.to_string() }),
    }
}
