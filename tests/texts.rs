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

#[test]
fn duplicate_key() {
    let found = edited("servers:\n", "servers:\n  w1: {service: writer, zone: north}\n");
    assert_eq!(found, ["16:3: The key `w1` stands twice. Keep one of the two."]);
}

#[test]
fn duplicate_field() {
    let found = edited("    kind: plain\n", "    kind: plain\n    kind: plain\n");
    assert_eq!(found, ["12:5: The key `kind` stands twice. Keep one of the two."]);
}

#[test]
fn dependency_cycle() {
    let found = edited("    kind: plain\n", "    kind: plain\n    depends-on: [writer]\n");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("6:18: The dependencies ledger -> writer -> ledger lead back"));
}

#[test]
fn own_dependency() {
    let found = edited("[ledger]", "[ledger, writer]");
    assert!(found[0].starts_with("6:26: The dependencies writer -> writer lead back"));
}

#[test]
fn missing_dependency() {
    let found = edited("[ledger]", "[ledgers]");
    assert_eq!(
        found,
        ["6:18: `writer` depends on `ledgers`, which is no service. \
          Name a service that stands below `services:`."]
    );
}

#[test]
fn experts_overflow() {
    let found = edited("experts: 8", "experts: 13");
    assert_eq!(
        found,
        ["9:32: 13 experts do not fit 12 slots (ranks times slots-per-rank). \
          Raise `slots-per-rank` to at least 4."]
    );
}

#[test]
fn slots_wasted() {
    let found = edited("slots-per-rank: 3", "slots-per-rank: 9");
    assert!(found[0].contains("9 slots on a rank hold 8 experts more than once"));
}

#[test]
fn zero_limits() {
    let limits = "limits: {in-flight-per-server: 0, queue-per-entry: 0, body-bytes: 0}";
    let found = edited("    kind: plain\n", &format!("    kind: plain\n    {limits}\n"));
    assert_eq!(found.len(), 3);
    assert!(found[0].starts_with("12:36: The limit `in-flight-per-server` cannot be 0."));
}

#[test]
fn body_bound() {
    let found = edited("    kind: plain\n", "    kind: plain\n    limits: {body-bytes: 1048577}\n");
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("Write a number from 1 to 1048576"), "{found:?}");
}

#[test]
fn floor_percent() {
    let found =
        edited("    kind: plain\n", "    kind: plain\n    limits: {batch-floor-percent: 101}\n");
    assert!(found[0].starts_with("12:35: 101 percent of the capacity cannot be kept."));
}

#[test]
fn unknown_places() {
    let found = edited("{service: ledger, zone: north}", "{service: ledgr, zone: south}");
    assert_eq!(found.len(), 3);
    assert!(found[0].starts_with("10:3: No backend server serves `ledger`."));
    assert!(found[1].starts_with("16:17: Backend server `l1` serves `ledgr`"));
    assert!(found[2].starts_with("16:30: Backend server `l1` stands in `south`"));
}

#[test]
fn unserved_service() {
    let found = edited("  l1: {service: ledger, zone: north}\n", "");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("10:3: No backend server serves `ledger`. Add one"));
}

#[test]
fn bad_names() {
    let long = "n".repeat(64);
    for name in ["a b", "a/b", "-a", "ā", &long] {
        let found = edited("  l1:", &format!("  \"{name}\":"));
        assert_eq!(found.len(), 1, "{name}");
        assert!(found[0].starts_with(&format!("16:3: `{name}` is not a name.")), "{name}");
    }
}

#[test]
fn bad_calls() {
    let found = edited("{method: POST, path: /, ", "{method: post, path: x y, ");
    assert_eq!(found.len(), 2);
    assert!(found[0].starts_with("13:18: `post` is not a method"));
    assert!(found[1].starts_with("13:30: `x y` is not a path prefix"));
}

#[test]
fn shadowed_call() {
    let more = "\n      - {method: POST, path: /a, repeatable: true, deadline-ms: 1}\nservers";
    let found = edited("\nservers", more);
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("14:30: POST /a never applies, since / stands before it."));
}

#[test]
fn endless_deadline() {
    let found = edited("deadline-ms: 1000", "deadline-ms: 3600001");
    assert!(found[0].contains("The deadline cannot be 3600001. Write a number from 1 to 3600000."));
}

#[test]
fn group_missing() {
    let found = edited("kind: plain", "kind: model-group");
    assert!(found[0].starts_with("10:3: A model group has no shape. Add `group:`"));
}

#[test]
fn group_misplaced() {
    let found = edited("kind: model-group", "kind: plain");
    assert!(found[0].starts_with("9:5: A plain service has no ranks."));
}

#[test]
fn zero_weight() {
    let found = faults(&format!("{SMALL}workspaces:\n  w: {{weight: 0}}\n"));
    assert!(found[0].starts_with("18:15: The weight of workspace `w` cannot be 0."));
}

#[test]
fn several_reported() {
    let found =
        faults(&SMALL.replace("repeatable", "repeatible").replace("zone: north", "zone: n"));
    assert_eq!(found.len(), 6, "{found:?}");
}

#[test]
fn wrong_types() {
    let found = edited("ranks: 4", "ranks: four");
    assert!(found[0].starts_with("9:20: Here stands text where a whole number is expected."));
    let found = edited("ranks: 4", "ranks: 4294967296");
    assert!(found[0].starts_with("9:20: The number 4294967296 is too large."));
    let found = edited("ranks: 4", "ranks: -4");
    assert!(found[0].starts_with("9:20: Here stands a negative number or fraction"));
}

#[test]
fn not_yaml() {
    let found = faults("zones: [");
    assert!(found[0].starts_with("1:8: The text is not valid YAML: unclosed bracket '['. Correct"));
    assert!(faults("a: 1\n---\nb: 2\n")[0].starts_with("3:1: A second document begins here."));
}

#[test]
fn empty_text() {
    assert_eq!(faults("").len(), 3);
}

#[test]
fn size_bound() {
    let text = format!("{SMALL}#{}", "x".repeat(config::MAX_CONFIG_BYTES));
    assert!(faults(&text)[0].contains("more than the limit of 3145728"));
}

#[test]
fn deep_nesting() {
    let found = faults(&format!("zones: {}", "[".repeat(1000)));
    assert!(found[0].contains("The text is not valid YAML"), "{found:?}");
}

#[test]
fn target_size() {
    let mut text = SMALL.to_owned();
    (0..585).for_each(|i| text += &format!("  s{i}: {{service: writer, zone: north}}\n"));
    text += "workspaces:\n";
    (0..35_000).for_each(|i| text += &format!("  w{i}: {{weight: 2, priority: batch}}\n"));
    let cfg = config::parse(&text).unwrap();
    assert_eq!((cfg.servers.len(), cfg.workspaces.len()), (587, 35_000));
}

fn lines(old: &config::Config, new: &config::Config) -> Vec<String> {
    config::diff(old, new).iter().map(config::Difference::to_string).collect()
}

#[test]
fn same_text() {
    let cfg = example("hsinchu");
    assert_eq!(config::diff(&cfg, &cfg), []);
}

#[test]
fn changes_listed() {
    let old = config::parse(SMALL).unwrap();
    let mut new = old.clone();
    new.zones.insert("south".into(), config::Zone::default());
    new.servers.remove("w1");
    new.services.get_mut("ledger").unwrap().limits.body_bytes = 7;
    assert_eq!(
        lines(&old, &new),
        [
            "+ zones.south: {\"region\":\"\"}",
            "~ services.ledger.limits.body-bytes: 1048576 -> 7",
            "- servers.w1: {\"checks-fences\":false,\"service\":\"writer\",\"zone\":\"north\"}",
        ]
    );
}

fn fixed() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest::proptest! {
    #![proptest_config(fixed())]

    /// A text with a piece cut out and noise put in is read or refused inside the text.
    #[test]
    fn any_edit(from in 0..SMALL.len(), cut in 0..40usize, noise in "[ -~\n\t]{0,6}") {
        let to = (from + cut).min(SMALL.len());
        let text = format!("{}{noise}{}", &SMALL[..from], &SMALL[to..]);
        let lines = text.lines().count() as u64 + 1;
        if let Err(findings) = config::parse(&text) {
            assert!(findings.iter().all(|finding| u64::from(finding.mark.line) <= lines));
            assert!(!findings.is_empty());
        }
    }

    /// What a configuration says is read back the same.
    #[test]
    fn read_back(weight in 1..1000u32, deadline in 1..3_600_000u64, experts in 3..=12u32) {
        let mut cfg = example("piensaime");
        cfg.workspaces.insert("w".into(), config::Workspace { weight, ..Default::default() });
        cfg.services.get_mut("ledger-app").unwrap().calls[0].deadline_ms = deadline;
        cfg.services.get_mut("sheet-writer").unwrap().group.as_mut().unwrap().experts = experts * 6;
        let text = serde_json::to_string(&cfg).unwrap();
        assert_eq!(config::parse(&text).unwrap(), cfg);
    }
}
