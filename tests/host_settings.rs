//! Host settings: parsing them, and the findings for invalid values.

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

fn findings_of(text: &str) -> Vec<String> {
    let findings = settings::Settings::parse(text).unwrap_err();
    findings.iter().map(yaml::Finding::to_string).collect()
}

/// Returns the findings for the entry's settings with `from` replaced by `to`.
fn findings_after_edit(from: &str, to: &str) -> Vec<String> {
    assert!(ENTRY.contains(from), "the settings must contain the text to replace");
    findings_of(&ENTRY.replacen(from, to, 1))
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

/// Guards against processes that start and then serve nobody, and against a default that does not
/// fit the smallest machine.
#[test]
fn machine_size() {
    let with_machine = |machine: &str| format!("{ENTRY}machine: {machine}\n");
    let parsed = settings::Settings::parse(ENTRY).unwrap().machine;
    assert_eq!((parsed.memory_mb, parsed.descriptors), (112, 2_870));
    let text = with_machine("{memory-mb: 260, descriptors: 4100}");
    let parsed = settings::Settings::parse(&text).unwrap().machine;
    assert_eq!((parsed.memory_mb, parsed.descriptors), (260, 4_100));
    assert!(parsed.client_connections() + parsed.server_connections() < 3_900);
    for (machine, problem) in [
        ("{memory-mb: 4}", "4 MB of memory do not hold the largest request"),
        ("{descriptors: 100}", "100 descriptors leave too few for clients"),
        ("{memory-mb: -1}", "whole number"),
        ("{memory-mb: 112.5}", "whole number"),
        ("{memory: 112}", "memory"),
    ] {
        let found = findings_of(&with_machine(machine));
        assert!(found.len() == 1 && found[0].contains(problem), "{machine}: {found:?}");
    }
}

#[test]
fn entry_needs_callers() {
    let found = findings_after_edit("callers: 127.0.0.1:0\n", "");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("3:7: An entry needs an address for callers. Add `callers:`"));
}

#[test]
fn sidecar_needs_backend() {
    let found = findings_after_edit("role: entry\ncallers: 127.0.0.1:0", "role: sidecar");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("3:7: A sidecar needs a backend server."));
}

#[test]
fn sidecar_with_callers() {
    let found = findings_after_edit(
        "role: entry",
        "role: sidecar\nbackend: {server: s, url: \"http://a:1\"}",
    );
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("5:10: A sidecar takes no callers."));
}

#[test]
fn short_token_rejected() {
    let found = findings_after_edit("0123456789abcdef", "0123456789abcde");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("8:8: The token has 15 bytes, not 16 to 256."));
}

#[test]
fn blank_in_token() {
    let found = findings_after_edit("0123456789abcdef", "0123456789 abcdef");
    assert!(found[0].starts_with("8:8: The token contains blanks"));
}

#[test]
fn invalid_address() {
    let found = findings_after_edit("peers: 127.0.0.1:0", "peers: localhost:0");
    assert!(found[0].starts_with("6:8: `localhost:0` is not an address. Write an IP address"));
}

#[test]
fn duplicate_address() {
    let found = findings_after_edit(
        "operators: 127.0.0.1:0\npeers: 127.0.0.1:0",
        "operators: 127.0.0.1:7\npeers: 127.0.0.1:7",
    );
    assert!(found[0].starts_with("6:8: `peers` and `operators` have the same address."));
}

#[test]
fn invalid_http_root() {
    let found = findings_after_edit("http://127.0.0.1:8000", "127.0.0.1:8000/");
    assert!(found[0].contains("is not an HTTP root"));
}

#[test]
fn all_findings_reported() {
    let found = findings_after_edit("host: e1\nzone: north", "host: e 1\nzonne: north");
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].starts_with("1:1: The key `zone` is missing."));
    assert!(found[1].starts_with("2:1: The key `zonne` is unknown here. Write `zone`"));
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
fn gateway_parsed() {
    let cfg = settings::site::Settings::parse(GATEWAY).unwrap();
    assert_eq!(cfg.max_view_age.servers, time::Duration::from_secs(3));
    assert_eq!(cfg.max_view_age.orders, time::Duration::from_millis(1_500));
    let (without_limits, _) = GATEWAY.split_once("within:").unwrap();
    let cfg = settings::site::Settings::parse(without_limits).unwrap();
    assert_eq!(cfg.max_view_age, settings::site::MaxViewAge::default());
}

#[test]
fn gateway_values_checked() {
    for (from, to, expected) in [
        ("servers-ms: 3000", "servers-ms: 0", "A time limit of 0 or less cannot be met"),
        ("orders-ms: 1500", "orders-ms: -5", "A time limit of 0 or less cannot be met"),
        ("orders-ms: 1500", "orders-ms: soon", "a number is expected"),
        ("role: gateway", "role: door", "not a role"),
        ("zone: north", "zone: \"a b\"", "not a valid name"),
    ] {
        let text = GATEWAY.replacen(from, to, 1);
        let findings = settings::site::Settings::parse(&text).unwrap_err();
        let findings: Vec<String> = findings.iter().map(yaml::Finding::to_string).collect();
        assert!(findings.iter().any(|found| found.contains(expected)), "{to}: {findings:?}");
    }
}
