//! The operators' text: reading, checks and differences.

use std::fs;

use knapweedford::{config, yaml};

const SMALL: &str = "\
zones:
  north:
services:
  writer:
    kind: model-group
    depends-on: [ledger]
    calls:
      - {method: POST, path: /v1, repeatable: true, deadline-ms: 1000}
    group: {ranks: 4, experts: 8, layers: 2, slots-per-rank: 3, expert-bytes: 10}
  ledger:
    kind: plain
    calls:
      - {method: POST, path: /, repeatable: false, deadline-ms: 1000}
servers:
  w1: {service: writer, zone: north}
  l1: {service: ledger, zone: north}
";

fn example(name: &str) -> config::Config {
    let path = format!("{}/examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    config::parse(&fs::read_to_string(path).unwrap()).unwrap()
}

fn faults(text: &str) -> Vec<String> {
    let findings = config::parse(text).unwrap_err();
    findings.iter().map(yaml::Finding::to_string).collect()
}

/// Faults of the small text with `from` replaced by `to`.
fn edited(from: &str, to: &str) -> Vec<String> {
    assert!(SMALL.contains(from), "the edit must apply");
    faults(&SMALL.replacen(from, to, 1))
}

fn count(cfg: &config::Config, service: &str) -> usize {
    cfg.servers.values().filter(|server| server.service.as_str() == service).count()
}

#[test]
fn piensaime_loads() {
    let cfg = example("piensaime");
    assert_eq!((count(&cfg, "sheet-writer"), count(&cfg, "ledger-app")), (12, 3));
    assert_eq!((cfg.zones.len(), cfg.workspaces.len()), (3, 10));
}

#[test]
fn hsinchu_loads() {
    let cfg = example("hsinchu");
    assert_eq!((count(&cfg, "assist-llm"), count(&cfg, "booking-core")), (12, 3));
    let zones: Vec<&str> = cfg.zones.keys().map(|zone| zone.as_str()).collect();
    assert_eq!(zones, ["Hukou", "Xinfeng", "Zhubei"]);
}

#[test]
fn small_accepted() {
    assert_eq!(config::parse(SMALL).unwrap().services.len(), 2);
}

#[test]
fn unknown_key() {
    let found = edited("depends-on", "depend-on");
    assert_eq!(found.len(), 1);
    assert_eq!(
        found[0],
        "6:5: The key `depend-on` is not known here. \
         Write `depends-on` if that is meant, or remove it."
    );
}
