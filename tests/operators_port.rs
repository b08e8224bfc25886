//! The operators' port of real processes, used through the tool and with plain HTTP.
//!
//! The tests guard against a port that does not understand the tool, that answers without the
//! token, or whose dump and metrics differ from the state of the process.

use std::{ffi, fs, path};

use knapweedford::{Error, tool};

use crate::cluster::{self, Cluster};

/// Runs the tool's command `line` against the operators' port of the process `name`.
fn run(cluster: &Cluster, name: &str, line: &str) -> Result<tool::Report, Error> {
    let env = |var: &str| match var {
        "KNAPWEEDFORD_ADDRESS" => Some(cluster.operators_addr(name).to_string()),
        "KNAPWEEDFORD_TOKEN" => Some(cluster::TOKEN.into()),
        _ => None,
    };
    let args = line.split_whitespace().map(ffi::OsString::from);
    tool::run(&tool::Args::parse(args, env).unwrap())
}

fn write_file(name: &str, text: &str) -> path::PathBuf {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn tool_commands() {
    let cluster = cluster::start_small("tool_commands");
    let run_at_e1 = |line: &str| run(&cluster, "e1", line).unwrap();
    assert!(run_at_e1("show").plain().ends_with("# Version 1.\n"));
    assert_eq!(run_at_e1("zone out z1").plain(), "Committed as version 2.\n");
    assert_eq!(run_at_e1("wait 2").exit, tool::Exit::Done);
    assert!(run_at_e1("status").plain().contains("Out: zone z1.\n"));
    let history = run(&cluster, "c2", "history").unwrap();
    assert_eq!(
        history.plain(),
        "     1  configuration applied  through e1\n     2  zone z1 out  through e1\n"
    );
    assert_eq!(run(&cluster, "e2", "zone in z1").unwrap().exit, tool::Exit::Done);
    let text = cluster::TEXT.replace("5000", "6000");
    let path = write_file("tool_commands.yaml", &text);
    let diff = run_at_e1(&format!("diff {}", path.display()));
    assert_eq!(
        diff.plain(),
        "~ services.ledger-app.calls: [{\"deadline-ms\":5000,\"method\":\"POST\",\"path\":\"/post\",\"repeatable\":false}] -> [{\"deadline-ms\":6000,\"method\":\"POST\",\"path\":\"/post\",\"repeatable\":false}]\n"
    );
    assert_eq!(run_at_e1(&format!("apply {}", path.display())).exit, tool::Exit::Done);
    let stale = run_at_e1(&format!("apply {} --base 1", path.display()));
    assert_eq!(stale.exit, tool::Exit::Conflict);
}

#[test]
fn unknown_targets() {
    let cluster = cluster::start_small("unknown_targets");
    let err = run(&cluster, "e1", "zone out z9").unwrap_err().to_string();
    assert!(err.contains("has no zone z9"), "{err}");
    let err = run(&cluster, "e1", "server out s9").unwrap_err().to_string();
    assert!(err.contains("has no server s9"), "{err}");
}

#[test]
fn config_errors_listed() {
    let cluster = cluster::start_small("config_errors_listed");
    let (status, body) =
        cluster.call_operators_port("e1", "POST", "/apply", "zones: 3\nsevers: {}\n");
    assert_eq!(status, 422);
    let refusal: knapweedford::operators::Refusal = serde_json::from_str(&body).unwrap();
    let positions: Vec<_> =
        refusal.findings.iter().map(|finding| finding.mark.to_string()).collect();
    assert_eq!(positions, ["1:1", "1:1", "1:8", "2:1"]);
}

#[test]
fn dump_and_metrics() {
    let cluster = cluster::start_small("dump_and_metrics");
    let dump = cluster.get_json("c1", "/dump");
    assert_eq!((&dump["role"], &dump["agreement"]["version"]), (&"sidecar".into(), &1.into()));
    let readable = run(&cluster, "e1", &format!("dump {}", cluster.operators_addr("e1"))).unwrap();
    assert!(readable.plain().contains("\nrole: entry\n"), "{}", readable.plain());
    for name in ["e1", "c1"] {
        let (status, page) = cluster.call_operators_port(name, "GET", "/metrics", "");
        assert_eq!(status, 200);
        assert!(page.lines().any(|line| line == "knapweedford_config_version 1"), "{page}");
    }
}

#[test]
fn dump_as_text() {
    let cluster = cluster::start_small("dump_as_text");
    let url = format!("http://{}/dump", cluster.operators_addr("c1"));
    let bearer = format!("Bearer {}", cluster::TOKEN);
    let req = ureq::get(url).header("authorization", bearer).header("accept", "text/plain");
    let text = req.call().unwrap().body_mut().read_to_string().unwrap();
    assert!(text.lines().any(|line| line == "role: sidecar"), "{text}");
}

#[test]
fn token_required() {
    let cluster = cluster::start_small("token_required");
    let paths = ["/metrics", "/dump", "/status", "/config", "/history", "/nothing"];
    for path in paths {
        let url = format!("http://{}{path}", cluster.operators_addr("e1"));
        for bearer in ["", "Bearer ", "Bearer secret-of-the-test", "secret-of-the-tests"] {
            let err = ureq::get(&url).header("authorization", bearer).call().unwrap_err();
            assert!(matches!(err, ureq::Error::StatusCode(401)), "{path} {bearer}: {err}");
        }
    }
}

#[test]
fn agreement_metrics() {
    let mut cluster = cluster::start_small("agreement_metrics");
    let wait_for_line = |cluster: &Cluster, line: &str| {
        cluster::wait_until(line, || {
            let page = cluster.call_operators_port("e1", "GET", "/metrics", "").1;
            page.lines().any(|metric| metric == line).then_some(())
        });
    };
    wait_for_line(&cluster, "knapweedford_members{health=\"alive\"} 4");
    wait_for_line(&cluster, "knapweedford_members_behind 0");
    wait_for_line(&cluster, "knapweedford_table_answers 1");
    cluster.platform.set_faults(r#"{"down": true}"#);
    assert_eq!(cluster.call_operators_port("e1", "POST", "/zones/z1/out", "").0, 202);
    wait_for_line(&cluster, "knapweedford_table_answers 0");
    wait_for_line(&cluster, "knapweedford_orders_not_durable 1");
    cluster.daemons.remove("c2");
    wait_for_line(&cluster, "knapweedford_members{health=\"dead\"} 1");
}
