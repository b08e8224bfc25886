//! Limits of the configuration on the heads and bodies of clients' requests, and on the time that they
//! take.

use std::{
    io::{Read, Write},
    net, thread,
    time::Duration,
};

use crate::{
    gateways::{self, API_KEY, Answer, HOST, Site},
    processes::{self, wait_until},
};

const ROUTES: [(&str, &str); 3] = [("POST", "/once/a"), ("POST", "/stream/a"), ("GET", "/read/a")];
const HEAD_LIMIT: &str = r#""max_header_bytes":16384"#;
const BODY_LIMIT: &str = r#""max_body_bytes":1000"#;
const TIME_LIMITS: &str = r#""header_timeout_ms":3000,
        "idle_timeout_ms":15000"#;

/// Puts a configuration in force in which `limits` are replaced by `changed`.
fn configure(site: &Site, version: u64, limits: &str, changed: &str) {
    let config = gateways::config(version, "llm");
    assert!(config.contains(limits));
    site.store.put("op", "config", &config.replace(limits, changed));
    let in_force = format!("msg=\"configuration in force\" version={version} ");
    wait_until("the configuration is in force", || {
        site.gateway.logs().contains(&in_force).then_some(())
    });
}

fn configure_head_limit(site: &Site, version: u64, max_bytes: usize) {
    configure(site, version, HEAD_LIMIT, &format!(r#""max_header_bytes":{max_bytes}"#));
}

/// Sends a request whose head has about `more_bytes` more than a short one, which has less than 300.
fn send_large(
    agent: &ureq::Agent,
    at: net::SocketAddr,
    (method, path): (&str, &str),
    more_bytes: usize,
) -> Answer {
    let filler = "x".repeat(more_bytes);
    let headers = [
        ("Host", HOST),
        ("Api-Key", API_KEY),
        ("X-Knapweedford-Request-Id", "id"),
        ("X-Knapweedford-Deadline-Ms", "3000"),
        ("X-Filler", &filler),
    ];
    gateways::call_by(agent, at, method, path, &headers)
}

/// Guards against a ready gateway that closes all new connections, as the buffer of the HTTP library
/// cannot be as small, or as large, as a limit. The limit holds all the same.
#[test]
fn any_limit() {
    let site = Site::start(1, false);
    let at = site.gateway.process.address;
    for (n, limit) in [8_191, 4_096, 1_000, 20_000, 1 << 40, usize::MAX].into_iter().enumerate() {
        configure_head_limit(&site, n as u64 + 2, limit);
        assert!(site.gateway.is_ready());
        for route in ROUTES {
            let case = format!("limit {limit}, {route:?}");
            let send = |more_bytes| send_large(&processes::http_client(), at, route, more_bytes);
            assert_eq!(send(limit.min(100_000) - 400).status, 200, "{case}");
            let before = site.request_count();
            let answer = send(limit.min(2_000_000) + 100);
            assert!(matches!(answer.status, 431 | 0), "{case}: {answer:?}");
            assert_eq!(site.request_count(), before, "{case}");
        }
    }
}

/// A limit of no bytes refuses every request, with an answer.
#[test]
fn nothing_allowed() {
    let site = Site::start(1, false);
    configure_head_limit(&site, 2, 0);
    assert_eq!(site.send("GET", "/read/a", "id-1").status, 431);
    configure_head_limit(&site, 3, 16_384);
    assert_eq!(site.send("GET", "/read/a", "id-2").status, 200);
}

/// A new limit holds on connections that were open before: a lower one at once, and a higher one for
/// the request after the next at the latest.
#[test]
fn open_connections() {
    let site = Site::start(1, false);
    let at = site.gateway.process.address;
    let agent = processes::http_client();
    let send = |more_bytes| send_large(&agent, at, ROUTES[0], more_bytes).status;
    assert_eq!(send(8_000), 200);
    configure_head_limit(&site, 2, 4_096);
    assert_eq!(send(8_000), 431);
    assert_eq!(send(1_000), 200);
    configure_head_limit(&site, 3, 8_500);
    assert_eq!(send(8_000), 200);
    configure_head_limit(&site, 4, 100_000);
    assert_eq!(send(8_000), 200);
    assert_eq!(send(90_000), 200);
}

/// Guards against memory that is counted for the heads of earlier requests on a connection.
#[test]
fn kept_connection() {
    let site = Site::start(1, false);
    let agent = processes::http_client();
    for _ in 0..50 {
        let at = site.gateway.process.address;
        assert_eq!(send_large(&agent, at, ("GET", "/read/a"), 8_000).status, 200);
    }
    let page = gateways::call(site.gateway.operators_addr, "GET", "/metrics", &[]).body.unwrap();
    let used = page.lines().find_map(|l| l.strip_prefix("knapweedford_client_memory_bytes "));
    let used: usize = used.unwrap().parse().unwrap();
    assert!(used <= 4 * (64 << 10), "{used} bytes for a few idle connections");
}

/// Guards against heads that are refused for the number of their fields, which no page limits. Those
/// fields reach the server.
#[test]
fn many_fields() {
    let site = Site::start(1, false);
    for count in [65, 200, 1_000] {
        let names: Vec<String> = (0..count).map(|n| format!("x{n}")).collect();
        let mut headers = vec![
            ("Host", HOST),
            ("Api-Key", API_KEY),
            ("X-Knapweedford-Request-Id", "id"),
            ("X-Knapweedford-Deadline-Ms", "3000"),
        ];
        headers.extend(names.iter().map(|name| (name.as_str(), "1")));
        for (method, path) in ROUTES {
            let answer = gateways::call(site.gateway.process.address, method, path, &headers);
            assert_eq!(answer.status, 200, "{count} fields, {path}: {answer:?}");
        }
        let received = site.servers[0].requests().pop().unwrap().headers;
        assert!(names.iter().all(|name| received.contains_key(name)), "{count} fields");
    }
}

/// Guards against bodies that are allowed but never served, which nobody notices.
#[test]
fn body_without_memory() {
    let site = Site::start(1, false);
    let warning = "the configuration allows bodies for which this machine has no memory";
    configure(&site, 2, BODY_LIMIT, r#""max_body_bytes":4194304"#);
    assert!(!site.gateway.logs().contains(warning));
    configure(&site, 3, BODY_LIMIT, r#""max_body_bytes":1000000000"#);
    wait_until("the gateway warns", || site.gateway.logs().contains(warning).then_some(()));
    assert_eq!(site.send("POST", "/once/a", "id-1").status, 200);
}

/// Guards against time limits at which every connection is closed before its client has sent a
/// request.
#[test]
fn time_limits() {
    let site = Site::start(1, false);
    for (n, ms) in [0, 1, u64::MAX].into_iter().enumerate() {
        let limits = format!(r#""header_timeout_ms":{ms},"idle_timeout_ms":{ms}"#);
        configure(&site, n as u64 + 2, TIME_LIMITS, &limits);
        let mut conn = net::TcpStream::connect(site.gateway.process.address).unwrap();
        conn.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        thread::sleep(Duration::from_millis(200));
        let head = format!("GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {API_KEY}\r\n");
        let more = "X-Knapweedford-Request-Id: id\r\nConnection: close\r\n\r\n";
        conn.write_all((head + more).as_bytes()).unwrap();
        let mut received = String::new();
        let result = conn.read_to_string(&mut received);
        assert!(received.starts_with("HTTP/1.1 200 "), "{ms} ms: {result:?}, {received}");
    }
    configure(&site, 9, TIME_LIMITS, r#""header_timeout_ms":0,"idle_timeout_ms":0"#);
    let mut idle = net::TcpStream::connect(site.gateway.process.address).unwrap();
    idle.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    assert!(idle.read_to_end(&mut Vec::new()).is_ok(), "an idle connection was not closed");
}

/// The other ports of a gateway have limits of their own, which clients' limits do not change.
#[test]
fn other_ports() {
    let site = Site::start(1, false);
    configure_head_limit(&site, 2, 100);
    for port in [site.gateway.readiness_addr, site.gateway.operators_addr] {
        let send = |more_bytes| {
            let client = processes::http_client();
            send_large(&client, port, ("GET", "/-/readyz"), more_bytes).status
        };
        let short = send(1_000);
        assert!(matches!(short, 200 | 401 | 404), "{port}: {short}");
        assert!(matches!(send(20_000), 431 | 0), "{port}");
        assert_eq!(send(1_000), short, "{port}");
    }
}
