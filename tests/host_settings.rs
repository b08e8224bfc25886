//! Host settings: reading and checks.

use std::{path, time};

use knapweedford::{settings, yaml};

const ENTRY: &str = "\
host: e1
zone: north
role: entry
callers: 127.0.0.1:0
operators: 127.0.0.1:0
peers: 127.0.0.1:0
platform: http://127.0.0.1:8000
token: 0123456789abcdef
";

fn faults(text: &str) -> Vec<String> {
    let findings = settings::Settings::parse(text).unwrap_err();
    findings.iter().map(yaml::Finding::to_string).collect()
}

/// Faults of the entry's settings with `from` replaced by `to`.
fn edited(from: &str, to: &str) -> Vec<String> {
    assert!(ENTRY.contains(from), "the edit must apply");
    faults(&ENTRY.replacen(from, to, 1))
}

fn example(name: &str) -> settings::Settings {
    let path = format!("{}/examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    settings::Settings::load(path::Path::new(&path)).unwrap()
}

#[test]
fn examples_load() {
    assert_eq!(example("entry").role, settings::Role::Entry);
    assert_eq!(example("sidecar").backend.unwrap().server.as_str(), "assist-llm-02");
}

#[test]
fn entry_accepted() {
    assert!(settings::Settings::parse(ENTRY).is_ok());
}

#[test]
fn entry_callers() {
    let found = edited("callers: 127.0.0.1:0\n", "");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("3:7: An entry needs an address for callers. Add `callers:`"));
}

#[test]
fn sidecar_backend() {
    let found = edited("role: entry\ncallers: 127.0.0.1:0", "role: sidecar");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("3:7: A sidecar needs a backend server."));
}

#[test]
fn roles_mixed() {
    let found = edited("role: entry", "role: sidecar\nbackend: {server: s, url: \"http://a:1\"}");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("5:10: A sidecar takes no callers."));
}

#[test]
fn short_token() {
    let found = edited("0123456789abcdef", "0123456789abcde");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("8:8: The token has 15 bytes, not 16 to 256."));
}

#[test]
fn blank_token() {
    let found = edited("0123456789abcdef", "0123456789 abcdef");
    assert!(found[0].starts_with("8:8: The token has blanks"));
}

#[test]
fn bad_address() {
    let found = edited("peers: 127.0.0.1:0", "peers: localhost:0");
    assert!(found[0].starts_with("6:8: `localhost:0` is not an address. Write an IP number"));
}

#[test]
fn same_address() {
    let found = edited(
        "operators: 127.0.0.1:0\npeers: 127.0.0.1:0",
        "operators: 127.0.0.1:7\npeers: 127.0.0.1:7",
    );
    assert!(found[0].starts_with("6:8: `peers` and `operators` have the same address."));
}

#[test]
fn bad_root() {
    let found = edited("http://127.0.0.1:8000", "127.0.0.1:8000/");
    assert!(found[0].contains("is not an HTTP root"));
}

#[test]
fn several_reported() {
    let found = edited("host: e1\nzone: north", "host: e 1\nzonne: north");
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].starts_with("1:1: The key `zone` is missing."));
    assert!(found[1].starts_with("2:1: The key `zonne` is not known here. Write `zone`"));
}

const GATEWAY: &str = "\
host: front-1
zone: north
role: gateway
callers: 127.0.0.1:0
readiness: 127.0.0.1:0
operators: 127.0.0.1:0
peers: 127.0.0.1:0
store: 127.0.0.1:8000
token: 0123456789abcdef
within:
  servers-ms: 3000
  orders-ms: 1500
";

#[test]
fn gateway_loads() {
    let cfg = settings::site::Settings::parse(GATEWAY).unwrap();
    assert_eq!(cfg.within.servers, time::Duration::from_secs(3));
    assert_eq!(cfg.within.orders, time::Duration::from_millis(1_500));
    let (plain, _) = GATEWAY.split_once("within:").unwrap();
    let cfg = settings::site::Settings::parse(plain).unwrap();
    assert_eq!(cfg.within, settings::site::Within::default());
}

#[test]
fn gateway_checked() {
    for (from, to, fault) in [
        ("servers-ms: 3000", "servers-ms: 0", "within no time"),
        ("orders-ms: 1500", "orders-ms: -5", "within no time"),
        ("orders-ms: 1500", "orders-ms: soon", "a number is expected"),
        ("role: gateway", "role: door", "not a role"),
        ("zone: north", "zone: \"a b\"", "not a name"),
    ] {
        let text = GATEWAY.replacen(from, to, 1);
        let findings = settings::site::Settings::parse(&text).unwrap_err();
        let findings: Vec<String> = findings.iter().map(yaml::Finding::to_string).collect();
        assert!(findings.iter().any(|found| found.contains(fault)), "{to}: {findings:?}");
    }
}
