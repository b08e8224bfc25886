//! The platform's client against its stand-in.

use std::time;

use knapweedford::cloud::{self, Hosts, Objects, Table};

use crate::processes::Process;

const WITHIN: time::Duration = time::Duration::from_secs(5);

/// The stand-in and its root.
struct StandIn {
    process: Process,
    root: String,
}

impl StandIn {
    /// Starts it on a port chosen by the kernel.
    fn start() -> Self {
        let process = Process::stand_in(env!("CARGO_BIN_EXE_stand-in-platform"), &[]);
        let root = format!("http://{}", process.at);
        Self { process, root }
    }

    /// Sets the faults, as JSON.
    fn faults(&self, faults: &str) {
        self.process.faults(faults);
    }

    /// A client of this stand-in.
    fn client(&self) -> cloud::Client {
        cloud::Client::new(&self.root)
    }
}

#[test]
fn conditions_hold() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    assert_eq!(client.read("a/b c", WITHIN).unwrap(), None);
    let done = client.write("a/b c", "1", &cloud::Precondition::Absent, WITHIN).unwrap();
    let cloud::WriteOutcome::Done(etag) = done else { panic!("refused") };
    let again = client.write("a/b c", "2", &cloud::Precondition::Absent, WITHIN).unwrap();
    assert_eq!(again, cloud::WriteOutcome::Refused);
    let when = cloud::Precondition::Unchanged(etag.clone());
    assert_ne!(client.write("a/b c", "2", &when, WITHIN).unwrap(), cloud::WriteOutcome::Refused);
    assert_eq!(client.write("a/b c", "3", &when, WITHIN).unwrap(), cloud::WriteOutcome::Refused);
    assert!(!client.delete("a/b c", &etag, WITHIN).unwrap());
    let row = client.read("a/b c", WITHIN).unwrap().unwrap();
    assert_eq!(row.value, "2");
    assert!(client.delete("a/b c", &row.etag, WITHIN).unwrap());
}

#[test]
fn answer_lost() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    stand_in.faults(r#"{"lose_answer": 1.0}"#);
    client.write("k", "mine", &cloud::Precondition::Absent, WITHIN).unwrap_err();
    assert_eq!(client.read("k", WITHIN).unwrap().unwrap().value, "mine");
}

#[test]
fn down_then_back() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    stand_in.faults(r#"{"down": true}"#);
    client.read("k", WITHIN).unwrap_err();
    client.list(WITHIN).unwrap_err();
    stand_in.faults("{}");
    assert_eq!(client.read("k", WITHIN).unwrap(), None);
}

#[test]
fn slow_times_out() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    stand_in.faults(r#"{"slow_ms": 2000}"#);
    let err = client.read("k", time::Duration::from_millis(50)).unwrap_err();
    assert!(err.to_string().contains("not available"), "{err}");
}

#[test]
fn objects_and_hosts() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    Objects::put(&client, "o", b"data", WITHIN).unwrap();
    assert_eq!(Objects::get(&client, "o", WITHIN).unwrap().unwrap(), b"data");
    let host = r#"{"host":"h1","zone":"z1","peers":"127.0.0.1:9","server":"s1","state":"live"}"#;
    ureq::put(format!("{}/hosts/h1", stand_in.root)).send(host).unwrap();
    let list = client.list(WITHIN).unwrap();
    assert_eq!(list.len(), 1);
    assert_eq!(list[0].state, cloud::HostState::Live);
}
