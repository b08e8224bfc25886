//! Encoding and decoding of the frames on peer connections.

use bytes::BytesMut;
use knapweedford::wire::{self, frame};

#[test]
fn frame_round_trip() {
    let id = wire::RequestId(7);
    let msg = wire::Reply::Piece { id, offset: 3, events: 1, data: b"abc".to_vec() };
    let mut buf = BytesMut::from(&frame::encode(&msg).unwrap()[..]);
    assert_eq!(frame::decode::<wire::Reply>(&mut buf).unwrap(), Some(msg));
    assert!(buf.is_empty());
}

/// The announced length must be checked before the frame's bytes arrive, since a peer could
/// otherwise make the process buffer up to 4 GiB.
#[test]
fn oversized_frame_rejected() {
    let mut buf = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    let err = frame::decode::<wire::Reply>(&mut buf).unwrap_err();
    assert!(err.to_string().contains("over the limit"));
}
