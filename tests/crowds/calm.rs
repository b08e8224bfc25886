//! Single requests within the limits, which are served in calm whatever their framing.

use std::{io::Write, net, time};

use knapweedford::http::clients::RECEIVE_BUFFER_BYTES;

use crate::crowd::{MAX_BODY_BYTES, MAX_HEAD_BYTES, Site, exchange, head};

/// Timeout of the shortest routes on the platform's pages.
const TIMEOUT_MS: u32 = 800;
/// Bytes of a body that is sent in chunks of one byte.
const SMALL_CHUNKS: usize = 256 << 10;

/// Time without progress after which a client has filled the window that it was offered.
const WINDOW_FILLED_TIME: time::Duration = time::Duration::from_millis(200);

/// Sends a request with `framing` and the pieces of its body, and asserts that the server gets
/// `bytes` bytes.
fn assert_served(site: &Site, framing: &str, pieces: Vec<Vec<u8>>, bytes: usize) {
    let more = format!("{framing}\r\nConnection: close\r\n\r\n");
    let head = head("POST", "/once/a", "calm", &more).into_bytes();
    let answer = exchange(site.addr(), std::iter::once(head).chain(pieces));
    let expected = format!("got {bytes} bytes");
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(&expected), "{answer}");
}

fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into_bytes()
}

/// Sends the largest body that the configuration allows, in each framing.
fn assert_largest_body_served(mut site: Site) {
    let body = vec![b'x'; MAX_BODY_BYTES];
    let framing = format!("Content-Length: {MAX_BODY_BYTES}");
    assert_served(&site, &framing, vec![body], MAX_BODY_BYTES);
    let chunked = "Transfer-Encoding: chunked";
    let end = b"0\r\n\r\n".to_vec();
    assert_served(&site, chunked, vec![chunk(MAX_BODY_BYTES), end.clone()], MAX_BODY_BYTES);
    let chunks = chunk(64 << 10).repeat(MAX_BODY_BYTES >> 16);
    assert_served(&site, chunked, vec![chunks, end.clone()], MAX_BODY_BYTES);
    let chunks = chunk(16).repeat(MAX_BODY_BYTES / 16);
    assert_served(&site, chunked, vec![chunks, end.clone()], MAX_BODY_BYTES);
    let chunks = chunk(1).repeat(SMALL_CHUNKS);
    assert_served(&site, chunked, vec![chunks, end], SMALL_CHUNKS);
    site.assert_sound();
}

/// Guards against limits that refuse the largest body that the configuration allows.
#[test]
fn largest_body() {
    assert_largest_body_served(Site::start());
}

/// Guards against windows that are too small for a sender, so that a route's time passes (issue 49).
#[test]
fn body_in_time() {
    assert_largest_body_served(Site::start_with_timeout(TIMEOUT_MS));
}

/// Guards against a window that does not fit into the receive buffer of a connection: the kernel
/// drops what is sent into it, and a body arrives too late once in a while (issue 49).
#[test]
fn first_window() {
    let site = Site::start();
    site.gateway.process.signal("STOP");
    let mut conn = net::TcpStream::connect(site.addr()).unwrap();
    let raw = socket2::SockRef::from(&conn);
    raw.set_send_buffer_size(1 << 10).unwrap();
    // The kernel allots twice the size of a receive buffer.
    let room = 2 * RECEIVE_BUFFER_BYTES + raw.send_buffer_size().unwrap();
    conn.set_write_timeout(Some(WINDOW_FILLED_TIME)).unwrap();
    let mut sent = 0;
    while let Ok(bytes) = conn.write(&[b'x'; 1 << 10]) {
        sent += bytes;
    }
    assert!(sent <= room, "{sent} bytes were sent, {room} fit into the buffers");
}

/// Guards against limits that refuse the largest head that the configuration allows.
#[test]
fn largest_head() {
    let mut site = Site::start();
    let framing = format!("Content-Length: 0\r\nX-Filler: {}", "x".repeat(MAX_HEAD_BYTES - 300));
    assert_served(&site, &framing, Vec::new(), 0);
    site.assert_sound();
}

/// Guards against answers within what a server may send that do not reach a client who reads them.
#[test]
fn large_answer() {
    let mut site = Site::start_with_timeout(TIMEOUT_MS);
    let head = head("GET", "/read/large", "calm", "Connection: close\r\n\r\n").into_bytes();
    let answer = exchange(site.addr(), std::iter::once(head));
    assert!(answer.starts_with("HTTP/1.1 200 ") && answer.len() > 4 << 20, "{}", answer.len());
    site.assert_sound();
}
