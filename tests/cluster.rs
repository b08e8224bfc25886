//! The agreement between real processes over loopback.

use std::{
    collections::BTreeMap,
    fs, net, path, process, thread,
    time::{Duration, Instant},
};

use knapweedford::daemon::Ports;

use crate::platform::StandIn;

/// Longest wait for something that must happen; only a guard against a hang.
const PATIENCE: Duration = Duration::from_secs(60);

/// The text in force.
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

fn bearer() -> String {
    format!("Bearer {TOKEN}")
}

/// One daemon, killed when dropped.
pub struct Daemon {
    child: process::Child,
    pub ports: Ports,
    name: String,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until `check` gives something.
pub fn wait<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        match check() {
            Some(found) => return found,
            None if began.elapsed() > PATIENCE => panic!("waited too long for {what}"),
            None => thread::sleep(Duration::from_millis(50)),
        }
    }
}

/// Token of all daemons.
pub const TOKEN: &str = "secret-of-the-tests";

/// Daemons over one stand-in platform.
pub struct Cluster {
    pub platform: StandIn,
    dir: path::PathBuf,
    pub daemons: BTreeMap<String, Daemon>,
}

impl Cluster {
    /// Starts the platform's stand-in; `name` keeps the files of tests apart.
    pub fn new(name: &str) -> Self {
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        Self { platform: StandIn::start(), dir, daemons: BTreeMap::new() }
    }

    /// Starts a daemon, an entry unless `server` names its backend server, and lists it.
    pub fn start(&mut self, name: &str, zone: &str, server: Option<(&str, &str)>) {
        let seeds: Vec<net::SocketAddr> = self.daemons.values().map(|d| d.ports.peers).collect();
        let ports_file = self.dir.join(format!("{name}.ports"));
        let _ = fs::remove_file(&ports_file);
        let role = match server {
            Some((server, url)) => {
                format!("role: sidecar\nbackend: {{server: {server}, url: '{url}'}}\n")
            }
            None => "role: entry\ncallers: 127.0.0.1:0\nbalancer-lag-ms: 0\n".into(),
        };
        let settings = format!(
            "host: {name}\nzone: {zone}\n{role}operators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
             platform: {}\ntoken: {TOKEN}\nports-file: {}\nseeds: {}\n",
            self.platform.root,
            ports_file.display(),
            serde_json::to_string(&seeds).unwrap(),
        );
        let file = self.dir.join(format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_knapweedfordd"))
            .arg(&file)
            .stderr(fs::File::create(self.dir.join(format!("{name}.log"))).unwrap())
            .spawn()
            .unwrap();
        let ports: Ports = wait("the ports file", || {
            serde_json::from_str(&fs::read_to_string(&ports_file).ok()?).ok()
        });
        let listed = serde_json::json!({
            "host": name, "zone": zone, "peers": ports.peers,
            "server": server.map(|(server, _)| server), "state": "live",
        });
        ureq::put(format!("{}/hosts/{name}", self.platform.root)).send_json(listed).unwrap();
        self.daemons.insert(name.into(), Daemon { child, ports, name: name.into() });
    }

    /// Sends an operator's request to a daemon.
    pub fn operator(&self, name: &str, method: &str, path: &str, body: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.daemons[name].ports.operators);
        let agent: ureq::Agent =
            ureq::Agent::config_builder().http_status_as_error(false).build().into();
        let sent = match method {
            "GET" => agent.get(&url).header("Authorization", bearer()).call(),
            _ => agent.post(&url).header("Authorization", bearer()).send(body),
        };
        let mut res = sent.unwrap();
        (res.status().as_u16(), res.body_mut().read_to_string().unwrap())
    }

    /// Operators' port of a daemon.
    pub fn operators(&self, name: &str) -> net::SocketAddr {
        self.daemons[name].ports.operators
    }

    /// A question to a daemon, answered as JSON.
    pub fn get(&self, name: &str, path: &str) -> serde_json::Value {
        serde_json::from_str(&self.operator(name, "GET", path, "").1).unwrap()
    }

    /// Waits until `check` holds for the configuration of each daemon.
    pub fn all(&self, what: &str, check: impl Fn(&serde_json::Value) -> bool) {
        wait(what, || {
            let holds = |d: &Daemon| check(&self.get(&d.name, "/config"));
            self.daemons.values().all(holds).then_some(())
        });
    }

    fn has_out(config: &serde_json::Value, zone: &str) -> bool {
        config["out"]["zones"].as_array().unwrap().iter().any(|z| z == zone)
    }
}

/// Two entries and two sidecars with a text in force.
pub fn small(name: &str) -> Cluster {
    let mut cluster = Cluster::new(name);
    cluster.start("e1", "z0", None);
    cluster.start("e2", "z0", None);
    cluster.start("c1", "z1", Some(("s1", "http://127.0.0.1:1")));
    cluster.start("c2", "z2", Some(("s2", "http://127.0.0.1:1")));
    let (status, body) = cluster.operator("e1", "POST", "/apply", TEXT);
    assert_eq!(status, 200, "{body}");
    cluster.all("version 1", |config| config["version"] == 1);
    cluster
}

#[test]
fn apply_everywhere() {
    let cluster = small("apply_everywhere");
    let text = TEXT.replace("5000", "6000");
    let (status, body) = cluster.operator("c2", "POST", "/apply?base=1", &text);
    assert_eq!((status, body.contains("\"version\":2")), (200, true), "{body}");
    cluster.all("version 2", |config| config["version"] == 2);
    let (status, body) = cluster.operator("e2", "POST", "/apply?base=1", TEXT);
    assert_eq!((status, body.contains("difference")), (409, true), "{body}");
    wait("a status without stragglers", || {
        cluster.get("e1", "/status")["behind"].as_array()?.is_empty().then_some(())
    });
    assert_eq!(cluster.get("c1", "/history").as_array().unwrap().len(), 2);
    assert_eq!(cluster.operator("e1", "POST", "/apply", "zones: 3").0, 422);
}

#[test]
fn out_in_outage() {
    let mut cluster = small("out_in_outage");
    cluster.platform.faults(r#"{"down": true}"#);
    let (status, body) = cluster.operator("e1", "POST", "/zones/z1/out", "");
    assert_eq!(status, 202, "{body}");
    cluster.all("the zone to be out", |config| Cluster::has_out(config, "z1"));
    assert_eq!(cluster.operator("e1", "POST", "/zones/z1/in", "").0, 503);
    cluster.daemons.remove("e1");
    cluster.start("e3", "z0", None);
    cluster.all("the newcomer to learn", |config| Cluster::has_out(config, "z1"));
    cluster.platform.faults("{}");
    cluster.all("the order to be durable", |config| {
        config["version"] == 2 && config["not-durable"].as_array().unwrap().is_empty()
    });
    assert_eq!(cluster.operator("e2", "POST", "/zones/z1/in", "").0, 200);
    cluster.all("the zone to be back", |config| !Cluster::has_out(config, "z1"));
}

#[test]
fn token_needed() {
    let cluster = small("token_needed");
    let url = format!("http://{}/zones/z1/out", cluster.daemons["e1"].ports.operators);
    let err = ureq::post(&url).header("Authorization", "Bearer wrong").send("").unwrap_err();
    assert!(matches!(err, ureq::Error::StatusCode(401)), "{err}");
    assert!(!Cluster::has_out(&cluster.get("e1", "/config"), "z1"));
}
