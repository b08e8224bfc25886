//! Bad bytes on each port, sizes over the bounds, wrong tokens and versions.

use std::{
    io::{Read, Write},
    net, process, rc, time,
};

use knapweedford::{peer, wire};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{fuzz, processes};
use processes::{Daemon, Site, SiteOptions};

/// Connections with bad bytes at each port.
const CONNECTIONS: usize = 150;
/// Most bad bytes on one connection.
const BYTES: usize = 20_000;
/// Memory that a process may hold after all that, in KiB.
const MEMORY_KIB: u64 = 64 << 10;
/// Exchanges that are not read, at once.
const STALLED: usize = 12;
/// Bytes of one piece of an exchange.
const PIECE: usize = 16 << 10;
/// Time in which the windows of exchanges that are not read fill.
const FILL: time::Duration = time::Duration::from_secs(1);
/// How long an answer to bad bytes is read; many ports never answer.
const READ: time::Duration = time::Duration::from_millis(5);

/// Bytes that begin like something a port takes and go on at random.
fn bytes(rng: &mut Pcg64) -> Vec<u8> {
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
    let mut noise = vec![0; rng.random_range(0..BYTES)];
    rng.fill_bytes(&mut noise);
    [start, &noise].concat()
}

fn ports(daemon: &Daemon) -> Vec<net::SocketAddr> {
    let ports = &daemon.ports;
    ports.callers.into_iter().chain([ports.operators, ports.peers]).collect()
}

fn works(site: &Site) {
    let answer = processes::wait_until("a good request is answered", || {
        Some(site.stream_completion(0, "good", 5)).filter(|answer| answer.is_complete())
    });
    assert_eq!(answer.body, site.expected_answer("good", 5));
}

#[test]
fn bad_bytes() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let mut rng = Pcg64::seed_from_u64(fuzz::SEED);
    let daemons = site.entries.iter().chain(&site.sidecars);
    for at in daemons.flat_map(ports).collect::<Vec<_>>() {
        for _ in 0..CONNECTIONS {
            let mut conn = net::TcpStream::connect(at).unwrap();
            conn.set_read_timeout(Some(READ)).unwrap();
            let _ = conn.write_all(&bytes(&mut rng));
            let _ = conn.read(&mut [0; 256]);
        }
    }
    works(&site);
    for daemon in site.entries.iter_mut().chain(&mut site.sidecars) {
        assert!(daemon.process.is_running());
        let memory = daemon.process.memory_kib();
        assert!(memory < MEMORY_KIB, "{memory} KiB in use after bad bytes");
    }
}

#[test]
fn head_too_large() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let long = "x".repeat(1 << 20);
    let at = site.entries[0].process.address;
    let answer = processes::get(at, "/writer/x", &[("Workspace", &long)]);
    assert!(matches!(answer.status, 0 | 400..500), "{answer:?}");
    let at = site.entries[0].ports.operators;
    let answer = processes::get(at, "/dump", &[("Authorization", &long)]);
    assert!(matches!(answer.status, 0 | 400..500), "{answer:?}");
    works(&site);
}

#[test]
fn body_too_large() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let body = "x".repeat(9 << 20);
    let at = site.entries[0].process.address;
    let answer = processes::post(at, "/writer/v1/completions", &[("Workspace", "w")], &body);
    assert!(matches!((answer.status, answer.ran.as_str()), (413, "no") | (0, _)), "{answer:?}");
    assert_eq!(site.sum_engine_counts("peak"), 0, "a body over the bound reached a server");
    let answer = site.post_order(0, "/apply", &body);
    assert!(matches!(answer.status, 0 | 400..500), "{answer:?}");
    works(&site);
}

#[test]
fn many_connections() {
    let mut site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let at = site.entries[0].process.address;
    let idle: Vec<_> = (0..1500).map(|_| net::TcpStream::connect(at).unwrap()).collect();
    assert!(site.entries[0].process.is_running());
    let memory = site.entries[0].process.memory_kib();
    assert!(memory < MEMORY_KIB, "{memory} KiB in use with idle connections");
    drop(idle);
    works(&site);
}

#[test]
fn slow_head() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let mut conn = net::TcpStream::connect(site.entries[0].process.address).unwrap();
    conn.set_read_timeout(Some(processes::WAIT_TIMEOUT)).unwrap();
    conn.write_all(b"POST /writer/v1/completions HTTP/1.1\r\n").unwrap();
    let mut got = Vec::new();
    let _ = conn.read_to_end(&mut got);
    assert!(!got.starts_with(b"HTTP/1.1 200"), "half a head was answered");
    works(&site);
}

#[test]
fn slow_text() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let mut conn = net::TcpStream::connect(site.entries[0].ports.operators).unwrap();
    conn.set_read_timeout(Some(processes::WAIT_TIMEOUT)).unwrap();
    let bearer = format!("Authorization: Bearer {}", processes::TOKEN);
    let head = format!("POST /apply HTTP/1.1\r\nHost: x\r\n{bearer}\r\nContent-Length: 99\r\n");
    conn.write_all(format!("{head}\r\nzones:").as_bytes()).unwrap();
    let mut got = Vec::new();
    let ended = conn.read_to_end(&mut got);
    assert!(ended.is_ok(), "a text that does not arrive holds its connection");
    assert!(got.starts_with(b"HTTP/1.1 400 "), "{}", String::from_utf8_lossy(&got));
    works(&site);
}

/// A connection whose caller asks for a long stream and does not read it.
fn unread(at: net::SocketAddr, deadline_ms: u64) -> net::TcpStream {
    let mut conn = net::TcpStream::connect(at).unwrap();
    conn.set_read_timeout(Some(processes::WAIT_TIMEOUT)).unwrap();
    let body = r#"{"prompt": "long", "stream": true, "max_tokens": 1000000}"#;
    let head = "POST /writer/v1/completions HTTP/1.1\r\nHost: x\r\nWorkspace: w\r\n";
    let more = format!("Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n", body.len());
    conn.write_all(format!("{head}{more}{body}").as_bytes()).unwrap();
    conn
}

#[test]
fn reader_stalls() {
    let engine = ["--token-ms", "0"];
    let site =
        Site::start(&SiteOptions { engines: 1, engine_args: &engine, ..SiteOptions::default() });
    let mut conn = unread(site.entries[0].process.address, 3000);
    processes::wait_until("the request runs", || {
        (site.sum_engine_counts("in_flight") == 1).then_some(())
    });
    processes::wait_until("its place is free", || {
        (site.sum_engine_counts("in_flight") == 0).then_some(())
    });
    let mut got = Vec::new();
    let _ = conn.read_to_end(&mut got);
    assert!(got.starts_with(b"HTTP/1.1 200 "));
    assert!(!got.ends_with(b"\r\n0\r\n\r\n"), "a short answer looks whole");
    works(&site);
}

/// Answers each exchange with as many pieces as it asks for.
async fn pieces(mut incoming: peer::IncomingRequest) {
    let asked: u32 = incoming.decode().unwrap();
    for _ in 0..asked {
        if incoming.reply.send(&vec![7_u8; PIECE]).await.is_err() {
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
        let at = listener.local_addr().unwrap();
        let handle = rc::Rc::new(async |incoming| pieces(incoming).await);
        tokio::task::spawn_local(peer::serve(listener, processes::TOKEN.into(), handle, stopped));
        let pool = peer::Pool::new(processes::TOKEN);
        let mut unread = Vec::new();
        for _ in 0..STALLED {
            unread.push(pool.exchange(at, wire::CALL_PATH, &u32::MAX).await.ok().unwrap());
        }
        tokio::time::sleep(FILL).await;
        let good = async {
            let mut good = pool.exchange(at, wire::CALL_PATH, &3_u32).await.ok().unwrap();
            let mut seen = 0;
            while good.next::<Vec<u8>>().await.unwrap().is_some() {
                seen += 1;
            }
            seen
        };
        let seen = tokio::time::timeout(processes::WAIT_TIMEOUT, good).await;
        assert_eq!(seen.ok(), Some(3), "streams that are not read hold up another");
    });
}

#[test]
fn token_needed() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    let zone = format!("/zones/{}/out", processes::zone_of(0));
    for daemon in site.entries.iter().chain(&site.sidecars) {
        let at = daemon.ports.operators;
        for path in ["/dump", "/metrics", "/status", "/config", "/history"] {
            assert_eq!(processes::get(at, path, &[]).status, 401, "{path}");
        }
        for token in ["", "Bearer", "Bearer wrong-secret-of-site", processes::TOKEN] {
            let headers = [("Authorization", token)];
            assert_eq!(processes::post(at, &zone, &headers, "").status, 401);
        }
    }
    assert!(!site.is_zone_out_everywhere(processes::zone_of(0)));
}

/// Sends a call straight to the peers' port; the status of the answer.
fn peer_call(at: net::SocketAddr, token: &str, version: u32) -> u16 {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let conn = tokio::net::TcpStream::connect(at).await.unwrap();
        let (mut tx, conn) = h2::client::handshake(conn).await.unwrap();
        let driver = tokio::spawn(conn);
        let req = http::Request::post(format!("http://{at}{}", wire::CALL_PATH))
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
fn peers_checked() {
    let site = Site::start(&SiteOptions { engines: 1, ..SiteOptions::default() });
    for daemon in site.entries.iter().chain(&site.sidecars) {
        let at = daemon.ports.peers;
        assert_eq!(peer_call(at, "wrong", wire::VERSION), 401);
        assert_eq!(peer_call(at, processes::TOKEN, wire::VERSION + 1), 426);
        assert_eq!(peer_call(at, processes::TOKEN, wire::VERSION), 200);
    }
    assert_eq!(site.sum_engine_counts("peak"), 0);
    works(&site);
}

#[test]
fn bad_settings() {
    let mut rng = Pcg64::seed_from_u64(fuzz::SEED);
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for at in 0..10 {
        let file = dir.join(format!("bad-settings-{}-{at}.yaml", process::id()));
        let mut noise = vec![0; rng.random_range(0..2000)];
        rng.fill_bytes(&mut noise);
        let text = [b"host: h\nzone: z\nrole: entry\n".as_slice(), &noise].concat();
        std::fs::write(&file, text).unwrap();
        let ended =
            process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd")).arg(&file).output().unwrap();
        std::fs::remove_file(&file).unwrap();
        assert_eq!(ended.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&ended.stderr).contains("knapweedfordd: "));
    }
}
