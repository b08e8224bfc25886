//! Platform client of the product against the stand-in for the platform.

use std::time;

use knapweedford::cloud::{self, Hosts, Objects, Table};

use crate::processes::Process;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Running stand-in for the platform, and its HTTP root.
struct StandIn {
    process: Process,
    root: String,
}

impl StandIn {
    /// Starts the stand-in on a port chosen by the kernel.
    fn start() -> Self {
        let process = Process::stand_in(env!("CARGO_BIN_EXE_stand-in-platform"), &[]);
        let root = format!("http://{}", process.address);
        Self { process, root }
    }

    /// Sets the faults that the stand-in injects, as JSON.
    fn set_faults(&self, faults: &str) {
        self.process.set_faults(faults);
    }

    /// Creates a client of the stand-in.
    fn client(&self) -> cloud::Client {
        cloud::Client::new(&self.root)
    }
}

#[test]
fn preconditions_enforced() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    assert_eq!(client.read("a/b c", TIMEOUT).unwrap(), None);
    let outcome = client.write("a/b c", "1", &cloud::Precondition::Absent, TIMEOUT).unwrap();
    let cloud::WriteOutcome::Done(etag) = outcome else { panic!("the first write was refused") };
    let second = client.write("a/b c", "2", &cloud::Precondition::Absent, TIMEOUT).unwrap();
    assert_eq!(second, cloud::WriteOutcome::Refused);
    let unchanged = cloud::Precondition::Unchanged(etag.clone());
    assert_ne!(
        client.write("a/b c", "2", &unchanged, TIMEOUT).unwrap(),
        cloud::WriteOutcome::Refused
    );
    assert_eq!(
        client.write("a/b c", "3", &unchanged, TIMEOUT).unwrap(),
        cloud::WriteOutcome::Refused
    );
    assert!(!client.delete("a/b c", &etag, TIMEOUT).unwrap());
    let row = client.read("a/b c", TIMEOUT).unwrap().unwrap();
    assert_eq!(row.value, "2");
    assert!(client.delete("a/b c", &row.etag, TIMEOUT).unwrap());
}

/// A write whose answer is lost returns an error although it took effect.
#[test]
fn answer_lost() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    stand_in.set_faults(r#"{"lose_answer": 1.0}"#);
    client.write("k", "mine", &cloud::Precondition::Absent, TIMEOUT).unwrap_err();
    assert_eq!(client.read("k", TIMEOUT).unwrap().unwrap().value, "mine");
}

#[test]
fn recovers_after_outage() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    stand_in.set_faults(r#"{"down": true}"#);
    client.read("k", TIMEOUT).unwrap_err();
    client.list(TIMEOUT).unwrap_err();
    stand_in.set_faults("{}");
    assert_eq!(client.read("k", TIMEOUT).unwrap(), None);
}

#[test]
fn slow_call_times_out() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    stand_in.set_faults(r#"{"slow_ms": 2000}"#);
    let err = client.read("k", time::Duration::from_millis(50)).unwrap_err();
    assert!(err.to_string().contains("not available"), "{err}");
}

#[test]
fn objects_and_host_list() {
    let stand_in = StandIn::start();
    let client = stand_in.client();
    Objects::put(&client, "o", b"data", TIMEOUT).unwrap();
    assert_eq!(Objects::get(&client, "o", TIMEOUT).unwrap().unwrap(), b"data");
    let host = r#"{"host":"h1","zone":"z1","peers":"127.0.0.1:9","server":"s1","state":"live"}"#;
    ureq::put(format!("{}/hosts/h1", stand_in.root)).send(host).unwrap();
    let list = client.list(TIMEOUT).unwrap();
    assert_eq!(list.len(), 1);
    assert_eq!(list[0].state, cloud::HostState::Live);
}
