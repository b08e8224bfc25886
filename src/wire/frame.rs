//! Length-prefixed bincode frames with a bound on their size.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de};

use crate::{Error, Result};

/// Largest frame taken from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const PREFIX: usize = 4;

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes `msg` with its length in front.
pub fn encode<T: Serialize>(msg: &T) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(msg, codec())
        .map_err(|err| Error::Frame { problem: err.to_string() })?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::FrameTooLarge { size: body.len(), limit: MAX_FRAME_BYTES });
    }
    let mut buf = BytesMut::with_capacity(PREFIX + body.len());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Length of the frame at the front of `buf` with its prefix, in bytes; `None` if not yet known.
pub fn length(buf: &[u8]) -> Result<Option<usize>> {
    let Some(prefix) = buf.first_chunk::<PREFIX>() else { return Ok(None) };
    match u32::from_be_bytes(*prefix) as usize {
        size if size > MAX_FRAME_BYTES => {
            Err(Error::FrameTooLarge { size, limit: MAX_FRAME_BYTES })
        }
        size => Ok(Some(PREFIX + size)),
    }
}

/// Takes the next whole frame off the front of `buf`; `None` if more bytes are needed.
pub fn decode<T: de::DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>> {
    let Some(len) = length(buf)?.filter(|len| buf.len() >= *len) else { return Ok(None) };
    let body = buf.split_to(len).split_off(PREFIX);
    match bincode::serde::decode_from_slice(&body, codec()) {
        Ok((msg, used)) if used == body.len() => Ok(Some(msg)),
        Ok(_) => Err(Error::Frame { problem: "bytes left over in the frame".into() }),
        Err(err) => Err(Error::Frame { problem: err.to_string() }),
    }
}
