//! Crowds that open many connections, or send bytes on them that the gateway does not read yet.

use std::{iter, net};

use crate::{
    crowd::{MAX_HEAD_BYTES, Site, connect, head, send_from_crowd},
    usage::MACHINE_DESCRIPTORS,
};

/// Connections that a crowd opens: more than the smallest machine has descriptors.
const CONNECTIONS: usize = MACHINE_DESCRIPTORS as usize + 500;
/// Clients that each send a request that hangs and further bytes behind it.
const PIPELINING_CLIENTS: usize = 64;
/// Bytes that they send behind the request.
const PIPELINED_BYTES: usize = 4 << 20;
/// Threads that open connections.
const OPENING_THREADS: usize = 16;

/// Opens `CONNECTIONS` connections and sends `text` on each.
fn open_many(at: net::SocketAddr, text: impl Fn(usize) -> String + Sync) -> Vec<net::TcpStream> {
    use std::io::Write;
    std::thread::scope(|scope| {
        let open = |part: usize| {
            let text = &text;
            move || -> Vec<net::TcpStream> {
                let numbers = (0..CONNECTIONS).filter(|n| n % OPENING_THREADS == part);
                let open = |n| {
                    let mut conn = connect(at)?;
                    let _ = conn.write_all(text(n).as_bytes());
                    Some(conn)
                };
                numbers.filter_map(open).collect()
            }
        };
        let opening: Vec<_> = (0..OPENING_THREADS).map(|part| scope.spawn(open(part))).collect();
        opening.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Guards against connections that send nothing and keep others out.
#[test]
fn silent_connections() {
    let mut site = Site::start();
    let conns = open_many(site.addr(), |_| String::new());
    site.assert_sound();
    drop(conns);
}

/// Guards against heads that do not end and keep others out.
#[test]
fn partial_heads() {
    let mut site = Site::start();
    let filler = format!("X-Filler: {}", "x".repeat(MAX_HEAD_BYTES - 1000));
    let conns = open_many(site.addr(), |n| head("GET", "/read/a", &format!("c-{n}"), &filler));
    site.assert_sound();
    drop(conns);
}

/// Guards against a second descriptor for each request, at a server, that nobody counts.
#[test]
fn hanging_requests() {
    let mut site = Site::start();
    let more = "Content-Length: 0\r\n\r\n";
    let conns = open_many(site.addr(), |n| head("POST", "/once/hang", &format!("c-{n}"), more));
    site.assert_sound();
    drop(conns);
}

/// Guards against bytes that wait in sockets while a request before them is served.
#[test]
fn pipelined_bytes() {
    let mut site = Site::start();
    let conns = send_from_crowd(site.addr(), PIPELINING_CLIENTS, |n| {
        let more = "Content-Length: 0\r\n\r\n";
        let req = head("POST", "/once/hang", &format!("c-{n}"), more).into_bytes();
        iter::once(req).chain(iter::repeat_n(vec![b'x'; 64 << 10], PIPELINED_BYTES >> 16))
    });
    site.assert_sound();
    drop(conns);
}
