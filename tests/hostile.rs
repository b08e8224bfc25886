//! Invalid input on each port: random bytes, oversized requests, wrong tokens and versions.
//!
//! The tests guard against a process that crashes, that holds memory, connections or capacity
//! for clients which misbehave, or that acts on requests without the token.

use std::{
    io::{Read, Write},
    net, process, rc, time,
};

use knapweedford::{peer, wire};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{agents, fuzz, processes};
use processes::{Daemon, Site, SiteOptions};

/// Number of connections with invalid bytes to each port.
const CONNECTIONS_PER_PORT: usize = 150;
/// Upper limit of the number of random bytes on one connection.
const MAX_RANDOM_BYTES: usize = 20_000;
/// Memory that a process may use after the invalid input, in KiB.
const MAX_MEMORY_KIB: u64 = 64 << 10;
/// Number of concurrent exchanges whose replies are not read.
const UNREAD_EXCHANGES: usize = 12;
/// Size of one frame of a reply, in bytes.
const FRAME_BYTES: usize = 16 << 10;
/// Time within which the flow-control windows of unread exchanges fill up.
const WINDOW_FILL_TIME: time::Duration = time::Duration::from_secs(1);
/// Time to wait for an answer to invalid bytes; many ports never answer.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(5);

/// Generates bytes that begin like a valid request of some port and continue at random.
fn invalid_bytes(rng: &mut Pcg64) -> Vec<u8> {
    let start: &[u8] = match rng.random_range(0..6) {
        0 => b"",
        1 => {
            b"POST /writer/v1/completions HTTP/1.1\r\nWorkspace: w\r\nContent-Length: 99999\r\n\r\n"
        }
        2 => b"GET / HTTP/1.1\r\n",
        3 => b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        4 => b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0",
        _ => b"POST /writer/v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    let mut noise = vec![0; rng.random_range(0..MAX_RANDOM_BYTES)];
    rng.fill_bytes(&mut noise);
    [start, &noise].concat()
}

fn port_addresses(daemon: &Daemon) -> Vec<net::SocketAddr> {
    let ports = &daemon.ports;
    ports.callers.into_iter().chain([ports.operators, ports.peers]).collect()
}

/// Asserts that the site answers a valid request correctly.
fn assert_site_works(site: &Site) {
    let answer = processes::wait_until("a valid request is answered", || {
        Some(site.stream_completion(0, "good", 5)).filter(|answer| answer.is_complete())
    });
    assert_eq!(answer.body, site.expected_answer("good", 5));
}

#[test]
fn random_bytes() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let mut rng = Pcg64::seed_from_u64(fuzz::SEED);
    let daemons = site.entries.iter().chain(&site.sidecars);
    for address in daemons.flat_map(port_addresses).collect::<Vec<_>>() {
        for _ in 0..CONNECTIONS_PER_PORT {
            let mut conn = net::TcpStream::connect(address).unwrap();
            conn.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            let _ = conn.write_all(&invalid_bytes(&mut rng));
            let _ = conn.read(&mut [0; 256]);
        }
    }
    assert_site_works(&site);
    for daemon in site.entries.iter_mut().chain(&mut site.sidecars) {
        assert!(daemon.process.is_running());
        let memory = daemon.process.memory_kib();
        assert!(memory < MAX_MEMORY_KIB, "{memory} KiB in use after random bytes");
    }
}

#[test]
fn head_too_large() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let oversized = "x".repeat(1 << 20);
    let address = site.entries[0].process.address;
    let answer = processes::get(address, "/writer/x", &[("Workspace", &oversized)]);
    assert!(matches!(answer.status, 0 | 400..500), "{answer:?}");
    let address = site.entries[0].ports.operators;
    let answer = processes::get(address, "/dump", &[("Authorization", &oversized)]);
    assert!(matches!(answer.status, 0 | 400..500), "{answer:?}");
    assert_site_works(&site);
}

#[test]
fn body_too_large() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let body = "x".repeat(9 << 20);
    let address = site.entries[0].process.address;
    let answer = processes::post(address, "/writer/v1/completions", &[("Workspace", "w")], &body);
    assert!(matches!((answer.status, answer.ran.as_str()), (413, "no") | (0, _)), "{answer:?}");
    assert_eq!(site.sum_engine_counts("peak"), 0, "a body over the limit reached a server");
    let answer = site.post_order(0, "/apply", &body);
    assert!(matches!(answer.status, 0 | 400..500), "{answer:?}");
    assert_site_works(&site);
}

#[test]
fn many_connections() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let address = site.entries[0].process.address;
    let idle: Vec<_> = (0..1500).map(|_| net::TcpStream::connect(address).unwrap()).collect();
    assert!(site.entries[0].process.is_running());
    let memory = site.entries[0].process.memory_kib();
    assert!(memory < MAX_MEMORY_KIB, "{memory} KiB in use with idle connections");
    drop(idle);
    assert_site_works(&site);
}

#[test]
fn slow_head() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let mut conn = net::TcpStream::connect(site.entries[0].process.address).unwrap();
    conn.set_read_timeout(Some(processes::WAIT_TIMEOUT)).unwrap();
    conn.write_all(b"POST /writer/v1/completions HTTP/1.1\r\n").unwrap();
    let mut received = Vec::new();
    let _ = conn.read_to_end(&mut received);
    assert!(!received.starts_with(b"HTTP/1.1 200"), "an incomplete request head was answered");
    assert_site_works(&site);
}

#[test]
fn slow_configuration() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let mut conn = net::TcpStream::connect(site.entries[0].ports.operators).unwrap();
    conn.set_read_timeout(Some(processes::WAIT_TIMEOUT)).unwrap();
    let bearer = format!("Authorization: Bearer {}", processes::TOKEN);
    let head = format!("POST /apply HTTP/1.1\r\nHost: x\r\n{bearer}\r\nContent-Length: 99\r\n");
    conn.write_all(format!("{head}\r\nzones:").as_bytes()).unwrap();
    let mut received = Vec::new();
    let result = conn.read_to_end(&mut received);
    assert!(result.is_ok(), "a configuration that does not arrive keeps its connection open");
    assert!(received.starts_with(b"HTTP/1.1 400 "), "{}", String::from_utf8_lossy(&received));
    assert_site_works(&site);
}

/// Opens a connection on which the caller requests a long stream but does not read it.
fn request_unread_stream(address: net::SocketAddr, deadline_ms: u64) -> net::TcpStream {
    let mut conn = net::TcpStream::connect(address).unwrap();
    conn.set_read_timeout(Some(processes::WAIT_TIMEOUT)).unwrap();
    let body = r#"{"prompt": "long", "stream": true, "max_tokens": 1000000}"#;
    let head = "POST /writer/v1/completions HTTP/1.1\r\nHost: x\r\nWorkspace: w\r\n";
    let headers = format!("Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n", body.len());
    conn.write_all(format!("{head}{headers}{body}").as_bytes()).unwrap();
    conn
}

#[test]
fn caller_stops_reading() {
    let engine = ["--token-ms", "0"];
    let site =
        Site::start(&SiteOptions { engines: 1, engine_args: &engine, ..SiteOptions::default() });
    let mut conn = request_unread_stream(site.entries[0].process.address, 3000);
    processes::wait_until("the request runs", || {
        (site.sum_engine_counts("in_flight") == 1).then_some(())
    });
    processes::wait_until("its slot is released", || {
        (site.sum_engine_counts("in_flight") == 0).then_some(())
    });
    let mut received = Vec::new();
    let _ = conn.read_to_end(&mut received);
    assert!(received.starts_with(b"HTTP/1.1 200 "));
    assert!(!received.ends_with(b"\r\n0\r\n\r\n"), "a truncated answer looks complete");
    assert_site_works(&site);
}

/// Replies to an exchange with as many frames as the request asks for.
async fn reply_with_frames(mut incoming: peer::IncomingRequest) {
    let frame_count: u32 = incoming.decode().unwrap();
    for _ in 0..frame_count {
        if incoming.reply.send(&vec![7_u8; FRAME_BYTES]).await.is_err() {
            return;
        }
    }
    incoming.reply.finish();
}

#[test]
fn unread_exchanges() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (_stop, stopped) = tokio::sync::watch::channel(false);
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handle = rc::Rc::new(async |incoming| reply_with_frames(incoming).await);
        tokio::task::spawn_local(peer::serve(
            listener,
            agents::clients(),
            processes::TOKEN.into(),
            handle,
            stopped,
        ));
        let pool = peer::Pool::new(processes::TOKEN);
        let mut unread = Vec::new();
        for _ in 0..UNREAD_EXCHANGES {
            unread.push(pool.exchange(address, wire::CALL_PATH, &u32::MAX).await.ok().unwrap());
        }
        tokio::time::sleep(WINDOW_FILL_TIME).await;
        let read_exchange = async {
            let mut reader = pool.exchange(address, wire::CALL_PATH, &3_u32).await.ok().unwrap();
            let mut frames = 0;
            while reader.next::<Vec<u8>>().await.unwrap().is_some() {
                frames += 1;
            }
            frames
        };
        let frames = tokio::time::timeout(processes::WAIT_TIMEOUT, read_exchange).await;
        assert_eq!(frames.ok(), Some(3), "unread streams block another stream");
    });
}

#[test]
fn token_required() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let zone = format!("/zones/{}/out", processes::zone_of(0));
    for daemon in site.entries.iter().chain(&site.sidecars) {
        let address = daemon.ports.operators;
        for path in ["/dump", "/metrics", "/status", "/config", "/history"] {
            assert_eq!(processes::get(address, path, &[]).status, 401, "{path}");
        }
        for token in ["", "Bearer", "Bearer wrong-secret-of-site", processes::TOKEN] {
            let headers = [("Authorization", token)];
            assert_eq!(processes::post(address, &zone, &headers, "").status, 401);
        }
    }
    assert!(!site.is_zone_out_everywhere(processes::zone_of(0)));
}

/// Sends an invalid call directly to a port for peers and returns the status of the reply.
fn call_peer_port(address: net::SocketAddr, token: &str, version: u32) -> u16 {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let conn = tokio::net::TcpStream::connect(address).await.unwrap();
        let (mut tx, conn) = h2::client::handshake(conn).await.unwrap();
        let driver = tokio::spawn(conn);
        let req = http::Request::post(format!("http://{address}{}", wire::CALL_PATH))
            .header("authorization", token)
            .header(peer::VERSION_HEADER, version.to_string())
            .body(())
            .unwrap();
        let (res, mut body) = tx.send_request(req, false).unwrap();
        body.send_data(bytes::Bytes::from_static(b"\0\0\0\x01x"), true).unwrap();
        let status = res.await.unwrap().status().as_u16();
        driver.abort();
        status
    })
}

#[test]
fn peer_credentials_checked() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    for daemon in site.entries.iter().chain(&site.sidecars) {
        let address = daemon.ports.peers;
        assert_eq!(call_peer_port(address, "wrong", wire::VERSION), 401);
        assert_eq!(call_peer_port(address, processes::TOKEN, wire::VERSION + 1), 426);
        assert_eq!(call_peer_port(address, processes::TOKEN, wire::VERSION), 200);
    }
    assert_eq!(site.sum_engine_counts("peak"), 0);
    assert_site_works(&site);
}

#[test]
fn invalid_settings() {
    let mut rng = Pcg64::seed_from_u64(fuzz::SEED);
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for index in 0..10 {
        let file = dir.join(format!("invalid-settings-{}-{index}.yaml", process::id()));
        let mut noise = vec![0; rng.random_range(0..2000)];
        rng.fill_bytes(&mut noise);
        let text = [b"host: h\nzone: z\nrole: entry\n".as_slice(), &noise].concat();
        std::fs::write(&file, text).unwrap();
        let output =
            process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd")).arg(&file).output().unwrap();
        std::fs::remove_file(&file).unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&output.stderr).contains("knapweedfordd: "));
    }
}
