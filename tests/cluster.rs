//! Agreement on the configuration between real processes on loopback.
//!
//! The tests guard against a configuration or a zone order that does not reach every process, also
//! when the store is unavailable, and against orders without the token.

use std::{collections::BTreeMap, net};

use crate::{
    processes::{self, Daemon, Process},
    starter::{DaemonOptions, Starter},
};

pub use crate::starter::TOKEN;
pub use processes::wait_until;

/// Configuration of the small cluster.
pub const TEXT: &str = "\
zones:
  z0: {}
  z1: {}
  z2: {}
services:
  ledger-app:
    kind: plain
    calls:
      - {method: POST, path: /post, repeatable: false, deadline-ms: 5000}
servers:
  s1: {service: ledger-app, zone: z1}
  s2: {service: ledger-app, zone: z2}
";

/// Daemons that share one stand-in for the platform.
pub struct Cluster {
    pub platform: Process,
    pub daemons: BTreeMap<String, Daemon>,
    starter: Starter,
}

impl Cluster {
    /// Starts the stand-in for the platform; file names of the test contain `name`.
    pub fn new(name: &str) -> Self {
        let starter = Starter::new(name);
        let platform = Process::stand_in(env!("CARGO_BIN_EXE_stand-in-platform"), &[]);
        Self { platform, daemons: BTreeMap::new(), starter }
    }

    /// Starts a daemon and adds it to the platform's host list. It is a sidecar if `server` has the
    /// name and URL of a backend server, otherwise an entry.
    pub fn start(&mut self, name: &str, zone: &str, server: Option<(&str, &str)>) {
        let seeds: Vec<net::SocketAddr> =
            self.daemons.values().map(|daemon| daemon.ports.peers).collect();
        let options = DaemonOptions { host: name, zone, server, balancer_lag_ms: 0, seeds: &seeds };
        let daemon = self.starter.start(&self.platform, &options);
        self.daemons.insert(name.into(), daemon);
    }

    /// Sends a request to the operators' port of a daemon; returns status and body.
    pub fn call_operators_port(
        &self,
        name: &str,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let bearer = format!("Bearer {TOKEN}");
        let headers = [("Authorization", bearer.as_str())];
        let answer = processes::call(method, self.operators_addr(name), path, &headers, body);
        (answer.status, answer.text())
    }

    /// Returns the address of the operators' port of a daemon.
    pub fn operators_addr(&self, name: &str) -> net::SocketAddr {
        self.daemons[name].ports.operators
    }

    /// Sends a GET request to the operators' port of a daemon; returns the JSON answer.
    pub fn get_json(&self, name: &str, path: &str) -> serde_json::Value {
        serde_json::from_str(&self.call_operators_port(name, "GET", path, "").1).unwrap()
    }

    /// Waits until `check` holds for the configuration of each daemon.
    pub fn wait_until_all(&self, what: &str, check: impl Fn(&serde_json::Value) -> bool) {
        wait_until(what, || {
            let holds = |name: &String| check(&self.get_json(name, "/config"));
            self.daemons.keys().all(holds).then_some(())
        });
    }

    fn has_out(config: &serde_json::Value, zone: &str) -> bool {
        config["out"]["zones"].as_array().unwrap().iter().any(|out| out == zone)
    }
}

/// Starts two entries and two sidecars and applies a configuration.
pub fn start_small(name: &str) -> Cluster {
    let mut cluster = Cluster::new(name);
    cluster.start("e1", "z0", None);
    cluster.start("e2", "z0", None);
    cluster.start("c1", "z1", Some(("s1", "http://127.0.0.1:1")));
    cluster.start("c2", "z2", Some(("s2", "http://127.0.0.1:1")));
    let (status, body) = cluster.call_operators_port("e1", "POST", "/apply", TEXT);
    assert_eq!(status, 200, "{body}");
    cluster.wait_until_all("version 1", |config| config["version"] == 1);
    cluster
}

#[test]
fn applied_everywhere() {
    let cluster = start_small("applied_everywhere");
    let text = TEXT.replace("5000", "6000");
    let (status, body) = cluster.call_operators_port("c2", "POST", "/apply?base=1", &text);
    assert_eq!((status, body.contains("\"version\":2")), (200, true), "{body}");
    cluster.wait_until_all("version 2", |config| config["version"] == 2);
    let (status, body) = cluster.call_operators_port("e2", "POST", "/apply?base=1", TEXT);
    assert_eq!((status, body.contains("difference")), (409, true), "{body}");
    wait_until("no process is behind", || {
        cluster.get_json("e1", "/status")["behind"].as_array()?.is_empty().then_some(())
    });
    assert_eq!(cluster.get_json("c1", "/history").as_array().unwrap().len(), 2);
    assert_eq!(cluster.call_operators_port("e1", "POST", "/apply", "zones: 3").0, 422);
}

#[test]
fn zone_out_during_outage() {
    let mut cluster = start_small("zone_out_during_outage");
    cluster.platform.set_faults(r#"{"down": true}"#);
    let (status, body) = cluster.call_operators_port("e1", "POST", "/zones/z1/out", "");
    assert_eq!(status, 202, "{body}");
    cluster.wait_until_all("the zone to be out", |config| Cluster::has_out(config, "z1"));
    assert_eq!(cluster.call_operators_port("e1", "POST", "/zones/z1/in", "").0, 503);
    cluster.daemons.remove("e1");
    cluster.start("e3", "z0", None);
    cluster.wait_until_all("the new process to have the zone out", |config| {
        Cluster::has_out(config, "z1")
    });
    cluster.platform.set_faults("{}");
    cluster.wait_until_all("the order to be durable", |config| {
        config["version"] == 2 && config["not-durable"].as_array().unwrap().is_empty()
    });
    assert_eq!(cluster.call_operators_port("e2", "POST", "/zones/z1/in", "").0, 200);
    cluster.wait_until_all("the zone to be back", |config| !Cluster::has_out(config, "z1"));
}

#[test]
fn token_required() {
    let cluster = start_small("token_required");
    let url = format!("http://{}/zones/z1/out", cluster.daemons["e1"].ports.operators);
    let err = ureq::post(&url).header("Authorization", "Bearer wrong").send("").unwrap_err();
    assert!(matches!(err, ureq::Error::StatusCode(401)), "{err}");
    assert!(!Cluster::has_out(&cluster.get_json("e1", "/config"), "z1"));
}
