//! Crowds that send large bodies, and stop just short of their end.

use crate::crowd::{CROWD, MAX_BODY_BYTES, Site, head, send_from_crowd};

/// Bytes that a client of the crowd sends at a time, where it sends pieces.
const PIECE_BYTES: usize = 16 << 10;
/// Clients that send chunks of one byte; more of them send too slowly to show the fault.
const SMALL_CHUNKS_CROWD: usize = 16;
/// Bytes of the body that each of them sends.
const SMALL_CHUNKS: usize = 1 << 20;
/// How often a crowd comes back.
const WAVES: usize = 5;

fn post(n: usize, more: &str) -> Vec<u8> {
    head("POST", "/once/a", &format!("c-{n}"), &format!("{more}\r\n\r\n")).into_bytes()
}

/// All bytes of a body but the last, in pieces of `piece_bytes`.
fn all_but_last(n: usize, piece_bytes: usize) -> impl Iterator<Item = Vec<u8>> {
    let head = post(n, &format!("Content-Length: {MAX_BODY_BYTES}"));
    let pieces = (0..MAX_BODY_BYTES - 1).step_by(piece_bytes);
    let piece = move |at| vec![b'x'; piece_bytes.min(MAX_BODY_BYTES - 1 - at)];
    std::iter::once(head).chain(pieces.map(piece))
}

/// A body in chunks of `chunk_bytes`, without the last chunk.
fn chunks(n: usize, chunk_bytes: usize, count: usize) -> impl Iterator<Item = Vec<u8>> {
    let head = post(n, "Transfer-Encoding: chunked");
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes)).into_bytes();
    let chunks_per_write = (PIECE_BYTES / chunk.len()).max(1);
    let write = chunk.repeat(chunks_per_write);
    std::iter::once(head).chain(std::iter::repeat_n(write, count / chunks_per_write))
}

/// Guards against a process that runs out of memory for bodies that are sent at once.
#[test]
fn whole_bodies() {
    let mut site = Site::start();
    let conns = send_from_crowd(site.addr(), CROWD, |n| all_but_last(n, MAX_BODY_BYTES));
    site.assert_sound();
    drop(conns);
}

/// The same for bodies that are sent piece by piece.
#[test]
fn pieces() {
    let mut site = Site::start();
    let conns = send_from_crowd(site.addr(), CROWD, |n| all_but_last(n, PIECE_BYTES));
    site.assert_sound();
    drop(conns);
}

/// The same for large chunks.
#[test]
fn large_chunks() {
    let mut site = Site::start();
    let count = MAX_BODY_BYTES / (64 << 10) - 1;
    let conns = send_from_crowd(site.addr(), CROWD, move |n| chunks(n, 64 << 10, count));
    site.assert_sound();
    drop(conns);
}

/// Guards against bookkeeping for each chunk that costs far more than the chunk.
#[test]
fn small_chunks() {
    let mut site = Site::start();
    let conns = send_from_crowd(site.addr(), SMALL_CHUNKS_CROWD, |n| chunks(n, 1, SMALL_CHUNKS));
    site.assert_sound();
    drop(conns);
}

/// Guards against memory that is not free again when a crowd whose connections were closed, or that
/// closed them itself, comes back at once.
#[test]
fn returning_crowd() {
    let mut site = Site::start();
    for wave in 0..WAVES {
        let conns = match wave % 2 {
            0 => send_from_crowd(site.addr(), CROWD, |n| all_but_last(n, PIECE_BYTES)),
            _ => send_from_crowd(site.addr(), CROWD, |n| chunks(n, 16, SMALL_CHUNKS / 16)),
        };
        drop(conns);
    }
    site.assert_sound();
}
