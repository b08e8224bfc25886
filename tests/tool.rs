//! The operators' tool against a stand-in of a process's operators' port.

use std::{ffi, fs, net, sync::mpsc, thread};

use knapweedford::{Error, operators, tool};

const TOKEN: &str = "0123456789abcdef";

/// A request as the stand-in saw it.
#[derive(Debug, Eq, PartialEq)]
struct Seen {
    line: String,
    body: String,
    bearer: String,
}

/// Answers each request with the next of `answers`.
fn process(answers: Vec<(u16, &'static str)>) -> (net::SocketAddr, mpsc::Receiver<Seen>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for (status, body) in answers {
            let mut req = server.recv().unwrap();
            let mut sent = String::new();
            req.as_reader().read_to_string(&mut sent).unwrap();
            let bearer = req.headers().iter().find(|h| h.field.equiv("authorization")).unwrap();
            let bearer = bearer.value.to_string();
            let line = format!("{} {}", req.method(), req.url());
            tx.send(Seen { line, body: sent, bearer }).unwrap();
            req.respond(tiny_http::Response::from_string(body).with_status_code(status)).unwrap();
        }
    });
    (address, rx)
}

fn parse(line: &str) -> Result<tool::Args, Error> {
    let args = line.split_whitespace().map(ffi::OsString::from);
    tool::Args::parse(args, |_| None)
}

fn run_at(address: net::SocketAddr, line: &str) -> Result<tool::Report, Error> {
    let env = |name: &str| match name {
        "KNAPWEEDFORD_ADDRESS" => Some(address.to_string()),
        "KNAPWEEDFORD_TOKEN" => Some(TOKEN.into()),
        _ => None,
    };
    let args = line.split_whitespace().map(ffi::OsString::from);
    tool::run(&tool::Args::parse(args, env).unwrap())
}

/// Runs `line` against one answer; gives the result and what was asked.
fn run(line: &str, status: u16, body: &'static str) -> (tool::Report, Seen) {
    let (address, seen) = process(vec![(status, body)]);
    (run_at(address, line).unwrap(), seen.recv().unwrap())
}

fn example(name: &str) -> String {
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
    let said: Vec<String> = lines
        .iter()
        .map(|line| {
            let err = parse(line).unwrap_err();
            assert_eq!(tool::Exit::for_error(&err), tool::Exit::Usage);
            format!("{line:?}: {err}")
        })
        .collect();
    insta::assert_snapshot!(said.join("\n"));
}

#[test]
fn address_missing() {
    let err = tool::run(&parse("show").unwrap()).unwrap_err();
    assert!(err.to_string().contains("give --address or set KNAPWEEDFORD_ADDRESS"));
}

#[test]
fn token_missing() {
    let err = tool::run(&parse("show -a 127.0.0.1:9").unwrap()).unwrap_err();
    assert!(err.to_string().contains("give --token-file or set KNAPWEEDFORD_TOKEN"));
}

#[test]
fn check_examples() {
    for name in ["piensaime", "hsinchu"] {
        let args = parse(&format!("check {}", example(name))).unwrap();
        let report = tool::run(&args).unwrap();
        assert!(report.plain().contains("no fault; 3 zones, 2 services, 15 backend servers"));
    }
}

#[test]
fn check_faults() {
    let file = tempfile("zones: {n: {}}\nservices: {}\nserver: {}\n");
    let err = tool::run(&parse(&format!("check {}", file.0.display())).unwrap()).unwrap_err();
    assert_eq!(tool::Exit::for_error(&err), tool::Exit::InvalidConfig);
    let said = err.to_string();
    assert!(said.contains("3:1: The key `server` is not known here. Write `servers`"), "{said}");
}

/// A file that goes away with the value.
struct File(std::path::PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn tempfile(text: &str) -> File {
    let name = format!("knapweedford-{}-{:?}.yaml", std::process::id(), thread::current().id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    File(path)
}

#[test]
fn apply_committed() {
    let line = format!("apply {} --base 6", example("hsinchu"));
    let (report, seen) = run(&line, 200, r#"{"outcome":"committed","version":7}"#);
    assert_eq!(report.plain(), "Committed as version 7.\n");
    assert_eq!(report.exit, tool::Exit::Done);
    assert_eq!(seen.line, "POST /apply?base=6");
    assert_eq!(seen.body, fs::read_to_string(example("hsinchu")).unwrap());
    assert_eq!(seen.bearer, format!("Bearer {TOKEN}"));
}

#[test]
fn apply_conflict() {
    let body = r#"{"outcome":"conflict","version":8,"difference":["- a: 1","+ a: 2"],
        "remedy":"Merge it."}"#;
    let (report, _) = run(&format!("apply {}", example("hsinchu")), 409, body);
    assert_eq!(report.exit, tool::Exit::Conflict);
    assert_eq!(
        report.plain(),
        "Nothing was changed: version 8 is newer.\n  - a: 1\n  + a: 2\nMerge it.\n"
    );
}

#[test]
fn zone_not_durable() {
    let (report, seen) = run("zone out north", 202, r#"{"outcome":"not-durable","held_by":4}"#);
    assert_eq!(seen.line, "POST /zones/north/out");
    assert_eq!(report.exit, tool::Exit::NotDurable);
    assert!(report.plain().starts_with("In force on 4 processes and spreading, but not durable"));
}

#[test]
fn server_unavailable() {
    let body = r#"{"outcome":"unavailable","remedy":"Repeat later."}"#;
    let (report, seen) = run("server in w1", 503, body);
    assert_eq!(seen.line, "POST /servers/w1/in");
    assert_eq!(report.exit, tool::Exit::Unavailable);
}

#[test]
fn outcome_unknown() {
    let body = r#"{"outcome":"unknown","op":5,"remedy":"Look at the history."}"#;
    let (report, _) = run("zone in north", 504, body);
    assert_eq!(report.exit, tool::Exit::Unknown);
    assert!(report.plain().contains("order 5"));
}

#[test]
fn wrong_token() {
    let (address, _seen) = process(vec![(401, r#"{"error":"no"}"#)]);
    let err = run_at(address, "show").unwrap_err();
    assert_eq!(tool::Exit::for_error(&err), tool::Exit::Unreachable);
    assert!(err.to_string().contains("set KNAPWEEDFORD_TOKEN_FILE"));
}

#[test]
fn refusal_shown() {
    let (address, _seen) = process(vec![(503, r#"{"error":"The process is ending."}"#)]);
    let err = run_at(address, "history").unwrap_err().to_string();
    assert!(err.ends_with("refused with status 503: The process is ending."), "{err}");
}

#[test]
fn nobody_listens() {
    let address = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let err = run_at(address, "status").unwrap_err();
    assert_eq!(tool::Exit::for_error(&err), tool::Exit::Unreachable);
    assert!(err.to_string().contains("Check that the process is running"));
}

const CONFIG: &str = r#"{"version":3,"text":"zones: {}","out":{"zones":["north"],"servers":[]},
    "not-durable":[{"op":1,"target":{"server":"w1"},"by":"e1"}]}"#;

#[test]
fn show_text() {
    let (report, _) = run("show", 200, CONFIG);
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
        "     1  text applied  through e1\n     2  zone north out  through e2\n"
    );
    assert!(report.json().starts_with(r#"[{"by":"e1""#));
}

const BEHIND: &str = r#"{"host":"e1","version":4,"table-answers":true,"hosts-listed":true,"out":[{"zone":"north"}],
    "not-durable":[],"behind":[{"host":"w2","version":3,"heard-ms-ago":80,"health":"suspect"}],
    "members":{"alive":3,"suspect":1,"dead":0,"leaving":0}}"#;

const ALONE: &str = r#"{"host":"e1","version":4,"table-answers":true,"hosts-listed":false,
    "out":[],"not-durable":[],"behind":[],
    "members":{"alive":1,"suspect":0,"dead":0,"leaving":0}}"#;

const EVERYWHERE: &str = r#"{"host":"e1","version":4,"table-answers":true,"hosts-listed":true,"out":[],
    "not-durable":[],"behind":[],"members":{"alive":4,"suspect":0,"dead":0,"leaving":0}}"#;

#[test]
fn status_lines() {
    let (report, _) = run("status", 200, BEHIND);
    insta::assert_snapshot!(report.plain());
}

#[test]
fn wait_ends() {
    let (address, _seen) = process(vec![(200, BEHIND), (200, EVERYWHERE)]);
    let report = run_at(address, "wait 4").unwrap();
    assert_eq!(report.exit, tool::Exit::Done);
    assert!(report.plain().starts_with("Version 4 in force on all 4 processes after "));
}

#[test]
fn wait_behind() {
    let (address, _seen) = process(vec![(200, BEHIND)]);
    let report = run_at(address, "wait 4 --timeout 0").unwrap();
    assert_eq!(report.exit, tool::Exit::Behind);
    assert!(report.plain().contains("Behind: w2 with version 3"));
}

#[test]
fn wait_newer() {
    let (address, _seen) = process(vec![(200, EVERYWHERE)]);
    assert_eq!(run_at(address, "wait 5 --timeout 0").unwrap().exit, tool::Exit::Behind);
}

#[test]
fn wait_alone() {
    let (address, _seen) = process(vec![(200, ALONE), (200, EVERYWHERE)]);
    let report = run_at(address, "wait 4").unwrap();
    assert!(report.plain().starts_with("Version 4 in force on all 4 processes after "));
    let (address, _seen) = process(vec![(200, ALONE)]);
    let report = run_at(address, "wait 4 --timeout 0").unwrap();
    assert_eq!(report.exit, tool::Exit::Behind);
    assert!(report.plain().contains("host list has not been read yet"), "{}", report.plain());
}

#[test]
fn diff_lists() {
    let text = fs::read_to_string(example("hsinchu")).unwrap().replace("weight: 10", "weight: 9");
    let body = serde_json::json!({"version": 1, "text": text, "out": {}, "not-durable": []});
    let body: &'static str = body.to_string().leak();
    let (report, _) = run(&format!("diff {}", example("hsinchu")), 200, body);
    assert_eq!(report.plain(), "~ workspaces.phone-app.weight: 9 -> 10\n");
    assert_eq!(report.exit, tool::Exit::Differs);
}

#[test]
fn dump_readable() {
    let (address, _seen) = process(vec![(200, r#"{"role":"entry","servers":{"w1":{"load":3}}}"#)]);
    let report = run_at(address, &format!("dump {address}")).unwrap();
    assert_eq!(report.plain(), "role: entry\nservers:\n  w1:\n    load: 3\n");
}

#[test]
fn turn_paths() {
    for line in ["zone out north", "zone in n.1", "server out w1", "server in w_2"] {
        let tool::Command::SetState { state: turn, target } = parse(line).unwrap().command else {
            panic!("{line} must turn something");
        };
        assert_eq!(operators::ServiceState::parse(&turn.path(&target)), Some((turn, target)));
    }
    for path in ["/zones/a", "/zones/a/off", "/zones/a/out/b", "/hosts/a/out", "/zones//out"] {
        assert_eq!(operators::ServiceState::parse(path), None, "{path}");
    }
}

#[test]
fn answer_unreadable() {
    let (address, _seen) = process(vec![(200, r#"{"verzion":1}"#)]);
    let err = run_at(address, "status").unwrap_err().to_string();
    assert!(err.contains("use the tool of its version"), "{err}");
}
