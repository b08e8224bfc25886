//! Crowds that do not read their answers.

use std::iter;

use crate::crowd::{CROWD, Site, head, send_from_crowd};

fn get(path: &'static str, n: usize) -> impl Iterator<Item = Vec<u8>> {
    let method = if path.starts_with("/stream/") { "POST" } else { "GET" };
    let more = "Content-Length: 0\r\n\r\n";
    iter::once(head(method, path, &format!("c-{n}"), more).into_bytes())
}

/// Guards against a process that holds whole answers for clients that do not read them.
#[test]
fn unread_answers() {
    let mut site = Site::start();
    let conns = send_from_crowd(site.addr(), CROWD, |n| get("/read/large", n));
    site.assert_sound();
    drop(conns);
}

/// Guards against streams that fill the buffers between a server and its client with large events.
#[test]
fn unread_streams() {
    let mut site = Site::start();
    let conns = send_from_crowd(site.addr(), CROWD, |n| get("/stream/a", n));
    site.assert_sound();
    drop(conns);
}

/// Guards against answers that stay in memory when the clients that did not read them come back.
#[test]
fn returning_readers() {
    let mut site = Site::start();
    for _ in 0..3 {
        drop(send_from_crowd(site.addr(), CROWD, |n| get("/read/large", n)));
        drop(send_from_crowd(site.addr(), CROWD, |n| get("/stream/a", n)));
    }
    site.assert_sound();
}
