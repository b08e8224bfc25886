//! Calls that may not be repeated, between real processes.

use std::{thread, time::Duration};

use crate::{
    cluster::{Cluster, wait_until},
    processes::Process,
};

const TEXT: &str = "\
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

/// The stand-in of a plain service.
struct Plain {
    process: Process,
    url: String,
}

impl Plain {
    fn start() -> Self {
        let process = Process::stand_in(env!("CARGO_BIN_EXE_stand-in-plain"), &[]);
        let url = format!("http://{}", process.address);
        Self { process, url }
    }

    fn faults(&self, faults: &str) {
        self.process.set_faults(faults);
    }

    fn runs(&self, key: &str) -> u64 {
        self.process.counts()["runs"][key].as_u64().unwrap_or(0)
    }
}

/// Status, the Ran header, whether Retry-After is there, and the body.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Got {
    status: u16,
    ran: String,
    retry: bool,
    body: String,
}

fn post(address: std::net::SocketAddr, key: &str, body: &str) -> Option<Got> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let url = format!("http://{address}/ledger-app/post");
    let req = agent.post(url).header("Workspace", "w").header("Idempotency-Key", key);
    let mut res = req.send(body).ok()?;
    let header =
        |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok()).map(String::from);
    Some(Got {
        status: res.status().as_u16(),
        ran: header("Ran").unwrap_or_default(),
        retry: header("Retry-After").is_some(),
        body: res.body_mut().read_to_string().ok()?,
    })
}

struct Site {
    cluster: Cluster,
    plain: Plain,
}

impl Site {
    fn new(name: &str) -> Self {
        let (mut cluster, plain) = (Cluster::new(name), Plain::start());
        cluster.start("e1", "z0", None);
        cluster.start("e2", "z0", None);
        cluster.start("c1", "z0", Some(("s1", &plain.url)));
        assert_eq!(cluster.operator("e1", "POST", "/apply", TEXT).0, 200);
        let site = Self { cluster, plain };
        for entry in ["e1", "e2"] {
            wait_until("a first answer", || {
                (site.post(entry, entry, "warm").status == 200).then_some(())
            });
        }
        site
    }

    fn callers(&self, entry: &str) -> std::net::SocketAddr {
        self.cluster.daemons[entry].ports.callers.unwrap()
    }

    fn post(&self, entry: &str, key: &str, body: &str) -> Got {
        post(self.callers(entry), key, body).unwrap()
    }
}

#[test]
fn repeat_answered() {
    let site = Site::new("repeat_answered");
    let first = site.post("e1", "k", "a");
    assert_eq!((first.status, first.ran.as_str()), (200, "yes"), "{first:?}");
    assert_eq!(site.post("e2", "k", "a"), first);
    let other = site.post("e2", "k", "b");
    assert_eq!((other.status, other.ran.as_str()), (409, "no"), "{other:?}");
    assert_eq!(site.plain.runs("k"), 1);
}

#[test]
fn outage_refuses() {
    let site = Site::new("outage_refuses");
    site.cluster.platform.set_faults(r#"{"down": true}"#);
    let refused = site.post("e1", "k", "a");
    assert_eq!((refused.status, refused.ran.as_str(), refused.retry), (503, "no", true));
    site.cluster.platform.set_faults("{}");
    wait_until("the call to run", || (site.post("e1", "k", "a").status == 200).then_some(()));
    assert_eq!(site.plain.runs("k"), 1);
}

#[test]
fn server_dies() {
    let site = Site::new("server_dies");
    site.plain.faults(r#"{"die_after": 1}"#);
    let lost = site.post("e1", "k", "a");
    assert_eq!((lost.status, lost.ran.as_str()), (502, "unknown"), "{lost:?}");
    let again = site.post("e2", "k", "a");
    assert_eq!((again.status, again.ran.as_str()), (409, "unknown"), "{again:?}");
}

#[test]
fn entry_dies() {
    let mut site = Site::new("entry_dies");
    site.plain.faults(r#"{"slow_ms": 1500}"#);
    let callers = site.callers("e1");
    let caller = thread::spawn(move || post(callers, "k", "a"));
    wait_until("the call to begin", || (site.plain.runs("k") == 1).then_some(()));
    site.cluster.daemons.remove("e1");
    assert_eq!(caller.join().unwrap(), None);
    let again = site.post("e2", "k", "a");
    assert_eq!((again.status, again.ran.as_str()), (409, "unknown"), "{again:?}");
    assert_eq!(site.plain.runs("k"), 1);
}

#[test]
fn two_entries() {
    let site = Site::new("two_entries");
    site.cluster.platform.set_faults(r#"{"lose_answer": 0.2, "seed": 3}"#);
    for n in 0..20 {
        let key = format!("k{n}");
        let calls = ["e1", "e2"].map(|entry| {
            let (callers, key) = (site.callers(entry), key.clone());
            thread::spawn(move || post(callers, &key, "a"))
        });
        let answers = calls.map(|call| call.join().unwrap().unwrap());
        assert_eq!(site.plain.runs(&key), 1, "{key}: {answers:?}");
        assert!(answers.iter().any(|got| got.status == 200), "{key}: {answers:?}");
        assert!(answers.iter().all(|got| [200, 409].contains(&got.status)), "{answers:?}");
    }
}

#[test]
fn caller_leaves() {
    let site = Site::new("caller_leaves");
    site.plain.faults(r#"{"slow_ms": 800}"#);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(300)))
        .build()
        .into();
    let url = format!("http://{}/ledger-app/post", site.callers("e1"));
    let req = agent.post(url).header("Workspace", "w").header("Idempotency-Key", "k");
    assert!(req.send("a").is_err());
    let found = wait_until("the outcome", || {
        let got = site.post("e2", "k", "a");
        (got.status == 200).then_some(got)
    });
    assert_eq!(found.ran, "yes");
    assert_eq!(site.plain.runs("k"), 1);
}
