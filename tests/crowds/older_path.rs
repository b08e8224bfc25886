//! Crowds at an entry: the process that callers reach on the older request path.

use crate::{
    crowd::{send_from_crowd, wait_turn},
    processes::{self, Site, SiteOptions, wait_until},
    usage::Watch,
};

/// Clients that send bodies at once.
const CROWD: usize = 160;
/// Size of the largest body that an entry takes, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Connections to each port for other processes.
const PEER_CONNECTIONS: usize = 1_500;
/// Clients that send chunks of one byte; more of them send too slowly to show the fault.
const SMALL_CHUNKS_CROWD: usize = 16;
/// Bytes of the body that each of them sends.
const SMALL_CHUNKS: usize = 1 << 20;

fn head(more: &str) -> Vec<u8> {
    let head = "POST /writer/v1/completions HTTP/1.1\r\nHost: a\r\nWorkspace: w\r\n";
    format!("{head}{more}\r\n\r\n").into_bytes()
}

fn assert_sound(site: &mut Site, watch: &Watch) {
    assert!(site.entries[0].process.is_running(), "the entry has ended");
    let answer = wait_until("an ordinary request is answered", || {
        Some(site.stream_completion(0, "good", 5)).filter(processes::Answer::is_complete)
    });
    assert_eq!(answer.body, site.expected_answer("good", 5));
    watch.assert_within_machine();
}

/// Guards against an entry that runs out of memory for bodies that stop short of their end.
#[test]
fn whole_bodies() {
    let _turn = wait_turn();
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let watch = Watch::start(site.entries[0].process.id());
    let conns = send_from_crowd(site.entries[0].process.address, CROWD, |_| {
        let head = head(&format!("Content-Length: {BODY_BYTES}"));
        [head, vec![b'x'; BODY_BYTES - 1]].into_iter()
    });
    assert_sound(&mut site, &watch);
    drop(conns);
}

/// The same for small chunks.
#[test]
fn small_chunks() {
    let _turn = wait_turn();
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let watch = Watch::start(site.entries[0].process.id());
    let conns = send_from_crowd(site.entries[0].process.address, SMALL_CHUNKS_CROWD, |_| {
        let write = b"1\r\nx\r\n".repeat(SMALL_CHUNKS / 64);
        std::iter::once(head("Transfer-Encoding: chunked")).chain(std::iter::repeat_n(write, 63))
    });
    assert_sound(&mut site, &watch);
    drop(conns);
}

/// Guards against ports for other processes that hold buffers for each connection that is opened,
/// whether or not it ever sends the token.
#[test]
fn peer_connections() {
    let _turn = wait_turn();
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let watches =
        [&site.entries[0], &site.sidecars[0]].map(|daemon| Watch::start(daemon.process.id()));
    let mut conns = Vec::new();
    for port in [site.entries[0].ports.peers, site.sidecars[0].ports.peers] {
        conns.extend(send_from_crowd(port, PEER_CONNECTIONS, |_| {
            // The connection preface, empty settings, and the head of a frame that does not end.
            let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
            [[preface.as_slice(), b"\0\x3f\xff\x01\x04\0\0\0\x01"].concat(), vec![0; 16_000]]
                .into_iter()
        }));
    }
    watches.iter().for_each(|watch| assert_sound(&mut site, watch));
    drop(conns);
}
