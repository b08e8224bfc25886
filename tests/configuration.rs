//! Parsing, checks and differences of the operators' configuration.
//!
//! The tests guard against a configuration that is accepted although it cannot work, and against
//! findings that report the wrong position or remedy.

use std::fs;

use knapweedford::{config, yaml};

/// A valid configuration with one model group and one plain service.
const SMALL_CONFIG: &str = "\
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

fn parse_example(name: &str) -> config::Config {
    let path = format!("{}/examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
    config::parse(&fs::read_to_string(path).unwrap()).unwrap()
}

/// Returns the findings in the invalid configuration `text`.
fn findings_in(text: &str) -> Vec<String> {
    let findings = config::parse(text).unwrap_err();
    findings.iter().map(yaml::Finding::to_string).collect()
}

/// Returns the findings in the small configuration after `from` has been replaced by `to`.
fn findings_after_edit(from: &str, to: &str) -> Vec<String> {
    assert!(SMALL_CONFIG.contains(from), "the edit must apply");
    findings_in(&SMALL_CONFIG.replacen(from, to, 1))
}

fn server_count(cfg: &config::Config, service: &str) -> usize {
    cfg.servers.values().filter(|server| server.service.as_str() == service).count()
}

#[test]
fn piensaime_example() {
    let cfg = parse_example("piensaime");
    assert_eq!((server_count(&cfg, "sheet-writer"), server_count(&cfg, "ledger-app")), (12, 3));
    assert_eq!((cfg.zones.len(), cfg.workspaces.len()), (3, 10));
}

#[test]
fn hsinchu_example() {
    let cfg = parse_example("hsinchu");
    assert_eq!((server_count(&cfg, "assist-llm"), server_count(&cfg, "booking-core")), (12, 3));
    let zones: Vec<&str> = cfg.zones.keys().map(|zone| zone.as_str()).collect();
    assert_eq!(zones, ["Hukou", "Xinfeng", "Zhubei"]);
}

#[test]
fn valid_configuration() {
    assert_eq!(config::parse(SMALL_CONFIG).unwrap().services.len(), 2);
}

#[test]
fn unknown_key_rejected() {
    let found = findings_after_edit("depends-on", "depend-on");
    assert_eq!(found.len(), 1);
    assert_eq!(
        found[0],
        "6:5: The key `depend-on` is unknown here. \
         Write `depends-on` if that was intended, or remove the key."
    );
}

#[test]
fn duplicate_server_rejected() {
    let found =
        findings_after_edit("servers:\n", "servers:\n  w1: {service: writer, zone: north}\n");
    assert_eq!(found, ["16:3: The key `w1` is duplicated. Remove all but one."]);
}

#[test]
fn duplicate_field_rejected() {
    let found = findings_after_edit("    kind: plain\n", "    kind: plain\n    kind: plain\n");
    assert_eq!(found, ["12:5: The key `kind` is duplicated. Remove all but one."]);
}

#[test]
fn dependency_cycle_rejected() {
    let found =
        findings_after_edit("    kind: plain\n", "    kind: plain\n    depends-on: [writer]\n");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("6:18: The dependencies ledger -> writer -> ledger form a cycle"));
}

#[test]
fn self_dependency_rejected() {
    let found = findings_after_edit("[ledger]", "[ledger, writer]");
    assert!(found[0].starts_with("6:26: The dependencies writer -> writer form a cycle"));
}

#[test]
fn undefined_dependency_rejected() {
    let found = findings_after_edit("[ledger]", "[ledgers]");
    assert_eq!(
        found,
        ["6:18: `writer` depends on `ledgers`, which is not defined. \
          Name a service that is defined under `services:`."]
    );
}

#[test]
fn too_few_slots_rejected() {
    let found = findings_after_edit("experts: 8", "experts: 13");
    assert_eq!(
        found,
        ["9:32: 13 experts do not fit into 12 slots (ranks times slots-per-rank). \
          Raise `slots-per-rank` to at least 4."]
    );
}

#[test]
fn too_many_slots_rejected() {
    let found = findings_after_edit("slots-per-rank: 3", "slots-per-rank: 9");
    assert!(found[0].contains("9 slots on each rank are more than the 8 experts of a layer"));
}

#[test]
fn zero_limits_rejected() {
    let limits = "limits: {in-flight-per-server: 0, queue-per-entry: 0, body-bytes: 0}";
    let found =
        findings_after_edit("    kind: plain\n", &format!("    kind: plain\n    {limits}\n"));
    assert_eq!(found.len(), 3);
    assert!(found[0].starts_with("12:36: The limit `in-flight-per-server` cannot be 0."));
}

#[test]
fn large_body_limit_rejected() {
    let found = findings_after_edit(
        "    kind: plain\n",
        "    kind: plain\n    limits: {body-bytes: 1048577}\n",
    );
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("Write a number from 1 to 1048576"), "{found:?}");
}

#[test]
fn large_batch_floor_rejected() {
    let found = findings_after_edit(
        "    kind: plain\n",
        "    kind: plain\n    limits: {batch-floor-percent: 101}\n",
    );
    assert!(found[0].starts_with("12:35: The limit `batch-floor-percent` cannot be 101."));
}

#[test]
fn undefined_service_and_zone() {
    let found =
        findings_after_edit("{service: ledger, zone: north}", "{service: ledgr, zone: south}");
    assert_eq!(found.len(), 3);
    assert!(found[0].starts_with("10:3: No backend server serves `ledger`."));
    assert!(found[1].starts_with("16:17: Backend server `l1` belongs to service `ledgr`"));
    assert!(found[2].starts_with("16:30: Backend server `l1` is in zone `south`"));
}

#[test]
fn service_without_server() {
    let found = findings_after_edit("  l1: {service: ledger, zone: north}\n", "");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("10:3: No backend server serves `ledger`. Add one"));
}

#[test]
fn invalid_names() {
    let long = "n".repeat(64);
    for name in ["a b", "a/b", "-a", "ā", &long] {
        let found = findings_after_edit("  l1:", &format!("  \"{name}\":"));
        assert_eq!(found.len(), 1, "{name}");
        assert!(found[0].starts_with(&format!("16:3: `{name}` is not a valid name.")), "{name}");
    }
}

#[test]
fn invalid_calls() {
    let found = findings_after_edit("{method: POST, path: /, ", "{method: post, path: x y, ");
    assert_eq!(found.len(), 2);
    assert!(found[0].starts_with("13:18: `post` is not a supported HTTP method"));
    assert!(found[1].starts_with("13:30: `x y` is not a valid path prefix"));
}

#[test]
fn shadowed_call() {
    let more = "\n      - {method: POST, path: /a, repeatable: true, deadline-ms: 1}\nservers";
    let found = findings_after_edit("\nservers", more);
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("14:30: POST /a never applies because / precedes it."));
}

#[test]
fn deadline_too_long() {
    let found = findings_after_edit("deadline-ms: 1000", "deadline-ms: 3600001");
    assert!(found[0].contains("The deadline cannot be 3600001. Write a number from 1 to 3600000."));
}

#[test]
fn missing_group_section() {
    let found = findings_after_edit("kind: plain", "kind: model-group");
    assert!(found[0].starts_with("10:3: The model group has no `group` section. Add `group:`"));
}

#[test]
fn misplaced_group_section() {
    let found = findings_after_edit("kind: model-group", "kind: plain");
    assert!(found[0].starts_with("9:5: A plain service cannot have a `group` section."));
}

#[test]
fn zero_weight() {
    let found = findings_in(&format!("{SMALL_CONFIG}workspaces:\n  w: {{weight: 0}}\n"));
    assert!(found[0].starts_with("18:15: The weight of workspace `w` cannot be 0."));
}

#[test]
fn all_findings_reported() {
    let found = findings_in(
        &SMALL_CONFIG.replace("repeatable", "repeatible").replace("zone: north", "zone: n"),
    );
    assert_eq!(found.len(), 6, "{found:?}");
}

#[test]
fn wrong_types() {
    let found = findings_after_edit("ranks: 4", "ranks: four");
    assert!(found[0].starts_with("9:20: This is text, but a whole number is expected."));
    let found = findings_after_edit("ranks: 4", "ranks: 4294967296");
    assert!(found[0].starts_with("9:20: The number 4294967296 is too large."));
    let found = findings_after_edit("ranks: 4", "ranks: -4");
    assert!(found[0].starts_with("9:20: This is a negative number or fraction"));
}

#[test]
fn invalid_yaml() {
    let found = findings_in("zones: [");
    assert!(
        found[0].starts_with("1:8: The document is not valid YAML: unclosed bracket '['. Correct")
    );
    assert!(findings_in("a: 1\n---\nb: 2\n")[0].starts_with("3:1: A second document begins here."));
}

#[test]
fn empty_configuration() {
    assert_eq!(findings_in("").len(), 3);
}

#[test]
fn configuration_too_large() {
    let text = format!("{SMALL_CONFIG}#{}", "x".repeat(config::MAX_CONFIG_BYTES));
    assert!(findings_in(&text)[0].contains("more than the limit of 3145728"));
}

#[test]
fn deep_nesting() {
    let found = findings_in(&format!("zones: {}", "[".repeat(1000)));
    assert!(found[0].contains("The document is not valid YAML"), "{found:?}");
}

/// A configuration of the target size, 587 servers and 35,000 workspaces, must be accepted.
#[test]
fn target_size() {
    let mut text = SMALL_CONFIG.to_owned();
    (0..585).for_each(|i| text += &format!("  s{i}: {{service: writer, zone: north}}\n"));
    text += "workspaces:\n";
    (0..35_000).for_each(|i| text += &format!("  w{i}: {{weight: 2, priority: batch}}\n"));
    let cfg = config::parse(&text).unwrap();
    assert_eq!((cfg.servers.len(), cfg.workspaces.len()), (587, 35_000));
}

fn difference_lines(old: &config::Config, new: &config::Config) -> Vec<String> {
    config::diff(old, new).iter().map(config::Difference::to_string).collect()
}

#[test]
fn no_differences() {
    let cfg = parse_example("hsinchu");
    assert_eq!(config::diff(&cfg, &cfg), []);
}

#[test]
fn differences_listed() {
    let old = config::parse(SMALL_CONFIG).unwrap();
    let mut new = old.clone();
    new.zones.insert("south".into(), config::Zone::default());
    new.servers.remove("w1");
    new.services.get_mut("ledger").unwrap().limits.body_bytes = 7;
    assert_eq!(
        difference_lines(&old, &new),
        [
            "+ zones.south: {\"region\":\"\"}",
            "~ services.ledger.limits.body-bytes: 1048576 -> 7",
            "- servers.w1: {\"checks-fences\":false,\"service\":\"writer\",\"zone\":\"north\"}",
        ]
    );
}

/// The configuration of the property tests, with a fixed seed so that each run is the same.
fn fixed_seed() -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest::proptest! {
    #![proptest_config(fixed_seed())]

    /// A randomly edited configuration is accepted, or rejected with findings whose lines are in
    /// the document.
    #[test]
    fn random_edit(from in 0..SMALL_CONFIG.len(), cut in 0..40usize, noise in "[ -~\n\t]{0,6}") {
        let to = (from + cut).min(SMALL_CONFIG.len());
        let text = format!("{}{noise}{}", &SMALL_CONFIG[..from], &SMALL_CONFIG[to..]);
        let lines = text.lines().count() as u64 + 1;
        if let Err(findings) = config::parse(&text) {
            assert!(findings.iter().all(|finding| u64::from(finding.mark.line) <= lines));
            assert!(!findings.is_empty());
        }
    }

    /// A configuration that is written as JSON and parsed again does not change.
    #[test]
    fn json_round_trip(weight in 1..1000u32, deadline in 1..3_600_000u64, experts in 3..=12u32) {
        let mut cfg = parse_example("piensaime");
        cfg.workspaces.insert("w".into(), config::Workspace { weight, ..Default::default() });
        cfg.services.get_mut("ledger-app").unwrap().calls[0].deadline_ms = deadline;
        cfg.services.get_mut("sheet-writer").unwrap().group.as_mut().unwrap().experts = experts * 6;
        let text = serde_json::to_string(&cfg).unwrap();
        assert_eq!(config::parse(&text).unwrap(), cfg);
    }
}
