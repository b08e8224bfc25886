//! Calls that carry an idempotency key and may not be repeated, between real processes.
//!
//! Guards against a call that runs twice or whose outcome is misreported: when it is repeated at
//! another entry, when the platform's table is unavailable or loses answers, and when the backend
//! server, the entry or the caller goes away during the call.

use std::{thread, time::Duration};

use crate::{
    cluster::{Cluster, wait_until},
    processes::Process,
};

const CONFIG: &str = "\
zones:
  z0: {}
services:
  ledger-app:
    kind: plain
    calls:
      - {method: POST, path: /post, repeatable: false, deadline-ms: 8000}
servers:
  s1: {service: ledger-app, zone: z0}
";

/// Backend server of a plain service.
struct PlainServer {
    process: Process,
    url: String,
}

impl PlainServer {
    fn start() -> Self {
        let process = Process::stand_in(env!("CARGO_BIN_EXE_stand-in-plain"), &[]);
        let url = format!("http://{}", process.address);
        Self { process, url }
    }

    fn set_faults(&self, faults: &str) {
        self.process.set_faults(faults);
    }

    fn runs(&self, key: &str) -> u64 {
        self.process.counts()["runs"][key].as_u64().unwrap_or(0)
    }
}

/// Status, `Ran` header, whether there is a `Retry-After` header, and body.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Answer {
    status: u16,
    ran: String,
    has_retry_after: bool,
    body: String,
}

fn post(address: std::net::SocketAddr, key: &str, body: &str) -> Option<Answer> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let url = format!("http://{address}/ledger-app/post");
    let req = agent.post(url).header("Workspace", "w").header("Idempotency-Key", key);
    let mut res = req.send(body).ok()?;
    let header =
        |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok()).map(String::from);
    Some(Answer {
        status: res.status().as_u16(),
        ran: header("Ran").unwrap_or_default(),
        has_retry_after: header("Retry-After").is_some(),
        body: res.body_mut().read_to_string().ok()?,
    })
}

struct Site {
    cluster: Cluster,
    plain: PlainServer,
}

impl Site {
    fn new(name: &str) -> Self {
        let (mut cluster, plain) = (Cluster::new(name), PlainServer::start());
        cluster.start("e1", "z0", None);
        cluster.start("e2", "z0", None);
        cluster.start("c1", "z0", Some(("s1", &plain.url)));
        assert_eq!(cluster.call_operators_port("e1", "POST", "/apply", CONFIG).0, 200);
        let site = Self { cluster, plain };
        for entry in ["e1", "e2"] {
            wait_until("the first answer", || {
                (site.post(entry, entry, "warm").status == 200).then_some(())
            });
        }
        site
    }

    fn callers_address(&self, entry: &str) -> std::net::SocketAddr {
        self.cluster.daemons[entry].ports.callers.unwrap()
    }

    fn post(&self, entry: &str, key: &str, body: &str) -> Answer {
        post(self.callers_address(entry), key, body).unwrap()
    }
}

#[test]
fn repeat_replayed() {
    let site = Site::new("repeat_replayed");
    let first = site.post("e1", "k", "a");
    assert_eq!((first.status, first.ran.as_str()), (200, "yes"), "{first:?}");
    assert_eq!(site.post("e2", "k", "a"), first);
    let other = site.post("e2", "k", "b");
    assert_eq!((other.status, other.ran.as_str()), (409, "no"), "{other:?}");
    assert_eq!(site.plain.runs("k"), 1);
}

#[test]
fn outage_refused() {
    let site = Site::new("outage_refused");
    site.cluster.platform.set_faults(r#"{"down": true}"#);
    let refused = site.post("e1", "k", "a");
    assert_eq!((refused.status, refused.ran.as_str(), refused.has_retry_after), (503, "no", true));
    site.cluster.platform.set_faults("{}");
    wait_until("the call runs", || (site.post("e1", "k", "a").status == 200).then_some(()));
    assert_eq!(site.plain.runs("k"), 1);
}

#[test]
fn server_death_unknown() {
    let site = Site::new("server_death_unknown");
    site.plain.set_faults(r#"{"die_after": 1}"#);
    let failed = site.post("e1", "k", "a");
    assert_eq!((failed.status, failed.ran.as_str()), (502, "unknown"), "{failed:?}");
    let repeat = site.post("e2", "k", "a");
    assert_eq!((repeat.status, repeat.ran.as_str()), (409, "unknown"), "{repeat:?}");
}

#[test]
fn entry_death_unknown() {
    let mut site = Site::new("entry_death_unknown");
    site.plain.set_faults(r#"{"slow_ms": 1500}"#);
    let address = site.callers_address("e1");
    let caller = thread::spawn(move || post(address, "k", "a"));
    wait_until("the call begins", || (site.plain.runs("k") == 1).then_some(()));
    site.cluster.daemons.remove("e1");
    assert_eq!(caller.join().unwrap(), None);
    let repeat = site.post("e2", "k", "a");
    assert_eq!((repeat.status, repeat.ran.as_str()), (409, "unknown"), "{repeat:?}");
    assert_eq!(site.plain.runs("k"), 1);
}

#[test]
fn concurrent_runs_once() {
    let site = Site::new("concurrent_runs_once");
    site.cluster.platform.set_faults(r#"{"lose_answer": 0.2, "seed": 3}"#);
    for n in 0..20 {
        let key = format!("k{n}");
        let calls = ["e1", "e2"].map(|entry| {
            let (address, key) = (site.callers_address(entry), key.clone());
            thread::spawn(move || post(address, &key, "a"))
        });
        let answers = calls.map(|call| call.join().unwrap().unwrap());
        assert_eq!(site.plain.runs(&key), 1, "{key}: {answers:?}");
        assert!(answers.iter().any(|answer| answer.status == 200), "{key}: {answers:?}");
        assert!(answers.iter().all(|answer| [200, 409].contains(&answer.status)), "{answers:?}");
    }
}

#[test]
fn disconnect_keeps_answer() {
    let site = Site::new("disconnect_keeps_answer");
    site.plain.set_faults(r#"{"slow_ms": 800}"#);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(300)))
        .build()
        .into();
    let url = format!("http://{}/ledger-app/post", site.callers_address("e1"));
    let req = agent.post(url).header("Workspace", "w").header("Idempotency-Key", "k");
    assert!(req.send("a").is_err());
    let replayed = wait_until("the recorded answer", || {
        let answer = site.post("e2", "k", "a");
        (answer.status == 200).then_some(answer)
    });
    assert_eq!(replayed.ran, "yes");
    assert_eq!(site.plain.runs("k"), 1);
}
