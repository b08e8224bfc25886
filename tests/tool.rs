//! The operators' tool against a stand-in for a process's operators' port.
//!
//! The tests guard against requests, texts or exit codes of the tool that mislead operators or
//! their scripts.

use std::{ffi, fs, net, sync::mpsc, thread};

use knapweedford::{Error, operators, tool};

use crate::processes;

const TOKEN: &str = "0123456789abcdef";

/// A request that the stand-in received.
#[derive(Debug, Eq, PartialEq)]
struct ReceivedRequest {
    request_line: String,
    body: String,
    authorization: String,
}

/// Starts a stand-in that answers each request with the next of `answers`. Returns its address and
/// the requests that it receives.
fn start_stand_in(
    answers: Vec<(u16, &'static str)>,
) -> (net::SocketAddr, mpsc::Receiver<ReceivedRequest>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for (status, body) in answers {
            let mut req = server.recv().unwrap();
            let mut request_body = String::new();
            req.as_reader().read_to_string(&mut request_body).unwrap();
            let header = req.headers().iter().find(|h| h.field.equiv("authorization")).unwrap();
            let authorization = header.value.to_string();
            let request_line = format!("{} {}", req.method(), req.url());
            tx.send(ReceivedRequest { request_line, body: request_body, authorization }).unwrap();
            req.respond(tiny_http::Response::from_string(body).with_status_code(status)).unwrap();
        }
    });
    (address, rx)
}

fn parse(line: &str) -> Result<tool::Args, Error> {
    let args = line.split_whitespace().map(ffi::OsString::from);
    tool::Args::parse(args, |_| None)
}

/// Runs the command `line` against the process at `address`.
fn run_at(address: net::SocketAddr, line: &str) -> Result<tool::Report, Error> {
    let env = |name: &str| match name {
        "KNAPWEEDFORD_ADDRESS" => Some(address.to_string()),
        "KNAPWEEDFORD_TOKEN" => Some(TOKEN.into()),
        _ => None,
    };
    let args = line.split_whitespace().map(ffi::OsString::from);
    tool::run(&tool::Args::parse(args, env).unwrap())
}

/// Runs the command `line` against a stand-in with one answer. Returns the report and the request
/// that the stand-in received.
fn run(line: &str, status: u16, body: &'static str) -> (tool::Report, ReceivedRequest) {
    let (address, received) = start_stand_in(vec![(status, body)]);
    (run_at(address, line).unwrap(), received.recv().unwrap())
}

fn example_path(name: &str) -> String {
    format!("{}/examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn help_text() {
    let help = tool::run(&parse("--help").unwrap()).unwrap();
    insta::assert_snapshot!(help.plain());
    assert_eq!(help.exit, tool::Exit::Done);
}

#[test]
fn version_text() {
    let version = tool::run(&parse("show --version").unwrap()).unwrap();
    assert_eq!(version.plain(), format!("knapweedford {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn usage_errors() {
    let lines = [
        "",
        "shwo",
        "check",
        "zone off north",
        "zone out a/b",
        "dump here",
        "wait soon",
        "show --base 3",
        "show --frob",
        "wait --timeout x",
        "status --address nowhere",
    ];
    let messages: Vec<String> = lines
        .iter()
        .map(|line| {
            let err = parse(line).unwrap_err();
            assert_eq!(tool::Exit::for_error(&err), tool::Exit::Usage);
            format!("{line:?}: {err}")
        })
        .collect();
    insta::assert_snapshot!(messages.join("\n"));
}

#[test]
fn missing_address() {
    let err = tool::run(&parse("show").unwrap()).unwrap_err();
    assert!(err.to_string().contains("give --address or set KNAPWEEDFORD_ADDRESS"));
}

#[test]
fn missing_token() {
    let err = tool::run(&parse("show -a 127.0.0.1:9").unwrap()).unwrap_err();
    assert!(err.to_string().contains("give --token-file or set KNAPWEEDFORD_TOKEN"));
}

#[test]
fn check_accepts_examples() {
    for name in ["piensaime", "hsinchu"] {
        let args = parse(&format!("check {}", example_path(name))).unwrap();
        let report = tool::run(&args).unwrap();
        assert!(report.plain().contains("no errors; 3 zones, 2 services, 15 backend servers"));
    }
}

#[test]
fn check_reports_errors() {
    let file = temp_file("zones: {n: {}}\nservices: {}\nserver: {}\n");
    let err = tool::run(&parse(&format!("check {}", file.0.display())).unwrap()).unwrap_err();
    assert_eq!(tool::Exit::for_error(&err), tool::Exit::InvalidConfig);
    let message = err.to_string();
    assert!(
        message.contains("3:1: The key `server` is unknown here. Write `servers`"),
        "{message}"
    );
}

/// A file that is removed when the value is dropped.
struct TempFile(std::path::PathBuf);

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn temp_file(text: &str) -> TempFile {
    let name = format!("knapweedford-{}-{:?}.yaml", std::process::id(), thread::current().id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    TempFile(path)
}

#[test]
fn apply_commits() {
    let line = format!("apply {} --base 6", example_path("hsinchu"));
    let (report, received) = run(&line, 200, r#"{"outcome":"committed","version":7}"#);
    assert_eq!(report.plain(), "Committed as version 7.\n");
    assert_eq!(report.exit, tool::Exit::Done);
    assert_eq!(received.request_line, "POST /apply?base=6");
    assert_eq!(received.body, fs::read_to_string(example_path("hsinchu")).unwrap());
    assert_eq!(received.authorization, format!("Bearer {TOKEN}"));
}

#[test]
fn apply_conflicts() {
    let body = r#"{"outcome":"conflict","version":8,"difference":["- a: 1","+ a: 2"],
        "remedy":"Merge it."}"#;
    let (report, _) = run(&format!("apply {}", example_path("hsinchu")), 409, body);
    assert_eq!(report.exit, tool::Exit::Conflict);
    assert_eq!(
        report.plain(),
        "Nothing was changed: version 8 is newer.\n  - a: 1\n  + a: 2\nMerge it.\n"
    );
}

#[test]
fn zone_not_durable() {
    let (report, received) = run("zone out north", 202, r#"{"outcome":"not-durable","held_by":4}"#);
    assert_eq!(received.request_line, "POST /zones/north/out");
    assert_eq!(report.exit, tool::Exit::NotDurable);
    assert!(report.plain().starts_with("In force on 4 processes and spreading, but not durable"));
}

#[test]
fn server_unavailable() {
    let body = r#"{"outcome":"unavailable","remedy":"Repeat later."}"#;
    let (report, received) = run("server in w1", 503, body);
    assert_eq!(received.request_line, "POST /servers/w1/in");
    assert_eq!(report.exit, tool::Exit::Unavailable);
}

#[test]
fn unknown_outcome() {
    let body = r#"{"outcome":"unknown","op":5,"remedy":"Look at the history."}"#;
    let (report, _) = run("zone in north", 504, body);
    assert_eq!(report.exit, tool::Exit::Unknown);
    assert!(report.plain().contains("order 5"));
}

#[test]
fn wrong_token() {
    let (address, _requests) = start_stand_in(vec![(401, r#"{"error":"no"}"#)]);
    let err = run_at(address, "show").unwrap_err();
    assert_eq!(tool::Exit::for_error(&err), tool::Exit::Unreachable);
    assert!(err.to_string().contains("set KNAPWEEDFORD_TOKEN_FILE"));
}

#[test]
fn refusal_shown() {
    let (address, _requests) =
        start_stand_in(vec![(503, r#"{"error":"The process is shutting down."}"#)]);
    let err = run_at(address, "history").unwrap_err().to_string();
    assert!(err.ends_with("refused with status 503: The process is shutting down."), "{err}");
}

#[test]
fn unreachable_process() {
    let (_socket, address) = processes::refusing_address();
    let err = run_at(address, "status").unwrap_err();
    assert_eq!(tool::Exit::for_error(&err), tool::Exit::Unreachable);
    assert!(err.to_string().contains("Check that the process is running"));
}

const CONFIG_BODY: &str = r#"{"version":3,"text":"zones: {}","out":{"zones":["north"],"servers":[]},
    "not-durable":[{"op":1,"target":{"server":"w1"},"by":"e1"}]}"#;

#[test]
fn show_text() {
    let (report, _) = run("show", 200, CONFIG_BODY);
    assert_eq!(
        report.plain(),
        "zones: {}\n# Version 3.\n# Zone north is out.\n\
         # backend server w1 is out, but not durable yet.\n"
    );
}

#[test]
fn history_lines() {
    let body = r#"[{"version":1,"op":9,"by":"e1","what":"apply"},
        {"version":2,"op":8,"by":"e2","what":{"out":{"zone":"north"}}}]"#;
    let (report, _) = run("history --json", 200, body);
    assert_eq!(
        report.plain(),
        "     1  configuration applied  through e1\n     2  zone north out  through e2\n"
    );
    assert!(report.json().starts_with(r#"[{"by":"e1""#));
}

const BEHIND_STATUS: &str = r#"{"host":"e1","version":4,"table-answers":true,"hosts-listed":true,"out":[{"zone":"north"}],
    "not-durable":[],"behind":[{"host":"w2","version":3,"heard-ms-ago":80,"health":"suspect"}],
    "members":{"alive":3,"suspect":1,"dead":0,"leaving":0}}"#;

const UNLISTED_STATUS: &str = r#"{"host":"e1","version":4,"table-answers":true,"hosts-listed":false,
    "out":[],"not-durable":[],"behind":[],
    "members":{"alive":1,"suspect":0,"dead":0,"leaving":0}}"#;

const COMPLETE_STATUS: &str = r#"{"host":"e1","version":4,"table-answers":true,"hosts-listed":true,"out":[],
    "not-durable":[],"behind":[],"members":{"alive":4,"suspect":0,"dead":0,"leaving":0}}"#;

#[test]
fn status_lines() {
    let (report, _) = run("status", 200, BEHIND_STATUS);
    insta::assert_snapshot!(report.plain());
}

#[test]
fn wait_succeeds() {
    let (address, _requests) = start_stand_in(vec![(200, BEHIND_STATUS), (200, COMPLETE_STATUS)]);
    let report = run_at(address, "wait 4").unwrap();
    assert_eq!(report.exit, tool::Exit::Done);
    assert!(report.plain().starts_with("Version 4 in force on all 4 processes after "));
}

#[test]
fn wait_times_out() {
    let (address, _requests) = start_stand_in(vec![(200, BEHIND_STATUS)]);
    let report = run_at(address, "wait 4 --timeout 0").unwrap();
    assert_eq!(report.exit, tool::Exit::Behind);
    assert!(report.plain().contains("Behind: w2 with version 3"));
}

#[test]
fn wait_for_newer_version() {
    let (address, _requests) = start_stand_in(vec![(200, COMPLETE_STATUS)]);
    assert_eq!(run_at(address, "wait 5 --timeout 0").unwrap().exit, tool::Exit::Behind);
}

#[test]
fn wait_without_host_list() {
    let (address, _requests) = start_stand_in(vec![(200, UNLISTED_STATUS), (200, COMPLETE_STATUS)]);
    let report = run_at(address, "wait 4").unwrap();
    assert!(report.plain().starts_with("Version 4 in force on all 4 processes after "));
    let (address, _requests) = start_stand_in(vec![(200, UNLISTED_STATUS)]);
    let report = run_at(address, "wait 4 --timeout 0").unwrap();
    assert_eq!(report.exit, tool::Exit::Behind);
    assert!(report.plain().contains("host list has not been read yet"), "{}", report.plain());
}

#[test]
fn diff_lists_changes() {
    let text =
        fs::read_to_string(example_path("hsinchu")).unwrap().replace("weight: 10", "weight: 9");
    let body = serde_json::json!({"version": 1, "text": text, "out": {}, "not-durable": []});
    let body: &'static str = body.to_string().leak();
    let (report, _) = run(&format!("diff {}", example_path("hsinchu")), 200, body);
    assert_eq!(report.plain(), "~ workspaces.phone-app.weight: 9 -> 10\n");
    assert_eq!(report.exit, tool::Exit::Differs);
}

#[test]
fn dump_text() {
    let (address, _requests) =
        start_stand_in(vec![(200, r#"{"role":"entry","servers":{"w1":{"load":3}}}"#)]);
    let report = run_at(address, &format!("dump {address}")).unwrap();
    assert_eq!(report.plain(), "role: entry\nservers:\n  w1:\n    load: 3\n");
}

#[test]
fn service_state_paths() {
    for line in ["zone out north", "zone in n.1", "server out w1", "server in w_2"] {
        let tool::Command::SetState { state, target } = parse(line).unwrap().command else {
            panic!("{line} must set a service state");
        };
        assert_eq!(operators::ServiceState::parse(&state.path(&target)), Some((state, target)));
    }
    for path in ["/zones/a", "/zones/a/off", "/zones/a/out/b", "/hosts/a/out", "/zones//out"] {
        assert_eq!(operators::ServiceState::parse(path), None, "{path}");
    }
}

#[test]
fn unreadable_answer() {
    let (address, _requests) = start_stand_in(vec![(200, r#"{"verzion":1}"#)]);
    let err = run_at(address, "status").unwrap_err().to_string();
    assert!(err.contains("use the tool version that matches the process"), "{err}");
}
