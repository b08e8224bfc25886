//! The register of backend servers: who is open, who leaves, who lapsed while the store was away.

use std::{collections::BTreeSet, time::Duration};

use knapweedford::{
    name,
    platform::registry,
    site::{Registry, registry::Registration},
};

fn row(state: &str, born: u64) -> String {
    format!(
        r#"{{"service":"llm","address":"10.0.0.9:8080","zone":"riga-a","version":"v1","slots":12,
        "state":"{state}","cold_remaining_ms":1500,"seq":4,"born":{born},
        "group":{{"name":"g","epoch":2,"rank":3,"state":"open"}},"size":12}}"#
    )
}

fn entry(id: &str, state: &str, born: u64) -> Registration {
    registry::read(id, row(state, born).as_bytes()).expect("the row reads")
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn open(register: &Registry) -> Vec<String> {
    let service = name::Service::new("llm");
    register
        .available_servers(&service)
        .map(|known| known.registration.server.to_string())
        .collect()
}

#[test]
fn row_read() {
    let entry = entry("i-1", "ready", 5);
    assert_eq!(entry.cold_remaining, Duration::from_millis(1500));
    assert!(!entry.leaving);
    let member = entry.member.expect("a rank of a group");
    assert_eq!((member.epoch, member.rank, member.ranks, member.open), (2, 3, 12, true));
}

#[test]
fn strange_rows() {
    let good = row("ready", 5);
    let strange = [
        String::new(),
        "{}".into(),
        "\u{0}\u{1}".into(),
        good.replace("ready", "resting"),
        good.replace("10.0.0.9:8080", "somewhere"),
        good.replace(r#""zone":"riga-a""#, r#""zone":7"#),
        good.replace(r#""service":"llm","#, ""),
    ];
    for text in strange {
        assert!(registry::read("i-1", text.as_bytes()).is_none(), "{text}");
    }
}

#[test]
fn leaving_stays() {
    let mut register = Registry::default();
    register.update(vec![entry("i-1", "ready", 5)], secs(1.0));
    assert_eq!(open(&register), ["i-1"]);
    let changes = register.update(vec![entry("i-1", "draining", 5)], secs(2.0));
    assert_eq!(changes.leaving.len(), 1);
    assert!(open(&register).is_empty());
    // An old row that was written late does not bring it back; a new incarnation does.
    register.update(vec![entry("i-1", "ready", 5)], secs(3.0));
    assert!(open(&register).is_empty());
    register.update(vec![entry("i-1", "ready", 6)], secs(4.0));
    assert_eq!(open(&register), ["i-1"]);
    register.update(vec![entry("i-1", "draining", 5)], secs(5.0));
    assert_eq!(open(&register), ["i-1"]);
}

#[test]
fn gone_at_once() {
    let mut register = Registry::default();
    register.update(vec![entry("i-1", "ready", 5)], secs(1.0));
    let changes = register.update(Vec::new(), secs(1.7));
    assert_eq!(changes.gone.len(), 1);
    assert!(open(&register).is_empty());
}

#[test]
fn lapsed_returns() {
    let mut register = Registry::default();
    let both = || vec![entry("i-1", "ready", 5), entry("i-2", "ready", 5)];
    register.update(both(), secs(1.0));
    // The store was away for five seconds and has not heard of the servers again yet.
    let changes = register.update(Vec::new(), secs(6.0));
    assert_eq!((changes.missing.len(), changes.gone.len()), (2, 0));
    assert_eq!(open(&register), ["i-1", "i-2"]);
    register.update(vec![entry("i-1", "ready", 5)], secs(7.5));
    assert_eq!(open(&register), ["i-1", "i-2"]);
    let changes = register.update(vec![entry("i-1", "ready", 5)], secs(8.3));
    assert_eq!(changes.gone.len(), 1);
    assert_eq!(open(&register), ["i-1"]);
}

#[test]
fn left_while_away() {
    let mut register = Registry::default();
    register.update(vec![entry("i-1", "draining", 5)], secs(1.0));
    register.update(Vec::new(), secs(6.0));
    assert!(open(&register).is_empty(), "a server that said that it leaves gets nothing new");
}

#[test]
fn zone_emptied() {
    let mut register = Registry::default();
    register.update(vec![entry("i-1", "ready", 5)], secs(1.0));
    let zone = name::Zone::new("riga-a");
    let changed = register.set_evacuated_zones(BTreeSet::from([zone.clone()]));
    assert_eq!(changed, std::slice::from_ref(&zone));
    assert!(open(&register).is_empty());
    assert_eq!(register.set_evacuated_zones(BTreeSet::new()), [zone]);
    assert_eq!(open(&register), ["i-1"]);
}

/// All servers lost power and are back under new names, while the entries of before have not
/// expired. Work goes to those that live, not to names that their addresses do not answer to.
#[test]
fn address_taken_over() {
    let mut register = Registry::default();
    register.update(vec![entry("i-old", "ready", 5), entry("i-new", "ready", 9)], secs(0.0));
    assert_eq!(open(&register), ["i-new"]);
    register.update(vec![entry("i-old", "ready", 5)], secs(1.0));
    assert_eq!(open(&register), ["i-old"], "the later one is gone");
    register.update(vec![entry("i-old", "ready", 0), entry("i-new", "ready", 9)], secs(2.0));
    assert_eq!(open(&register), ["i-new"], "a start that was told once is known");
}
