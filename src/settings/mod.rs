//! Settings of one process, read from a YAML file: its role, addresses and secret.

use std::{fs, net, path};

use crate::{
    Error, Result, name,
    yaml::{Findings, MapReader, Node, Read},
};

mod check;
pub mod machine;
pub mod site;

pub use machine::Machine;

/// Maximum size of a settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 64 << 10;

/// Default time that a balancer takes to act on a change of readiness, in milliseconds.
const DEFAULT_BALANCER_LAG_MS: u64 = 5_000;

/// Role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Receives requests from callers and sends them to sidecars.
    Entry,
    /// Runs next to one backend server; all requests to the server pass through it.
    Sidecar,
}

/// Settings of one process, read from YAML.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Availability zone of this host.
    pub zone: name::Zone,
    /// Role of the process.
    pub role: Role,
    /// Address for callers and the balancer; entries only.
    pub callers: Option<net::SocketAddr>,
    /// Address for operators: metrics, state dump and commands.
    pub operators: net::SocketAddr,
    /// Address for other processes of the product.
    pub peers: net::SocketAddr,
    /// HTTP root of the platform's services, such as `http://10.0.0.9:8000`.
    pub platform: String,
    /// Secret that operators and other processes must present.
    pub token: String,
    /// Backend server that the process forwards to; sidecars only.
    pub backend: Option<Backend>,
    /// File to which the process writes its addresses once it listens; for ports chosen by the
    /// kernel.
    pub ports_file: Option<path::PathBuf>,
    /// Time for which the balancer may still send requests after the process reports that it is not
    /// ready, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Addresses of peers to contact while the platform's host list is unavailable.
    pub seeds: Vec<net::SocketAddr>,
    /// Size of the machine.
    pub machine: Machine,
}

/// Backend server that a sidecar forwards requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Name of the server in the operators' configuration.
    pub server: name::Server,
    /// HTTP root of the server, such as `http://127.0.0.1:9000`.
    pub url: String,
}

/// Reads the file at `path` and parses its content with `parse`.
fn load<T>(path: &path::Path, parse: impl FnOnce(&str) -> Result<T, Findings>) -> Result<T> {
    let path_text = || path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|source| Error::File { path: path_text(), source })?;
    parse_text(path, &text, parse)
}

/// Parses `text`, the content of the file at `path`; errors name the file.
pub fn parse_text<T>(
    path: &path::Path,
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, Findings>,
) -> Result<T> {
    let path_text = path.display().to_string();
    parse(text).map_err(|findings| Error::InvalidFile { path: path_text, findings })
}

impl Settings {
    /// Reads and checks settings from the YAML file at `path`.
    pub fn load(path: &path::Path) -> Result<Self> {
        load(path, Self::parse)
    }

    /// Parses and checks settings from the YAML document `text`.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let node = Node::parse(text, MAX_SETTINGS_BYTES)?;
        let mut findings = Findings::default();
        let settings = Self::read(&node, &mut findings);
        if let Some(settings) = &settings {
            check::check_settings(settings, &node, &mut findings);
        }
        findings.into_result(settings)
    }
}

impl Read for Settings {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let known_keys = [
            "host",
            "zone",
            "role",
            "callers",
            "operators",
            "peers",
            "platform",
            "token",
            "backend",
            "ports-file",
            "balancer-lag-ms",
            "seeds",
            "machine",
        ];
        let table = MapReader::open(node, &known_keys, findings)?;
        let host: Option<String> = table.required("host", findings);
        let zone = table.required("zone", findings);
        let role = table.required("role", findings);
        let callers = table.optional("callers", None, findings);
        let operators = table.required("operators", findings);
        let peers = table.required("peers", findings);
        let platform = table.required("platform", findings);
        let token = table.required("token", findings);
        let backend = table.optional("backend", None, findings);
        let ports_file: Option<Option<String>> = table.optional("ports-file", None, findings);
        let balancer_lag_ms = table.optional("balancer-lag-ms", DEFAULT_BALANCER_LAG_MS, findings);
        let seeds = table.optional("seeds", Vec::new(), findings);
        let machine = table.optional("machine", Machine::default(), findings);
        Some(Self {
            host: name::Host::new(host?),
            zone: zone?,
            role: role?,
            callers: callers?,
            operators: operators?,
            peers: peers?,
            platform: platform?,
            token: token?,
            backend: backend?,
            ports_file: ports_file?.map(path::PathBuf::from),
            balancer_lag_ms: balancer_lag_ms?,
            seeds: seeds?,
            machine: machine?,
        })
    }
}

impl Read for Backend {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["server", "url"], findings)?;
        let server: Option<String> = table.required("server", findings);
        let url = table.required("url", findings);
        Some(Self { server: name::Server::new(server?), url: url? })
    }
}

impl Read for Role {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match String::read(node, findings)?.as_str() {
            "entry" => Some(Self::Entry),
            "sidecar" => Some(Self::Sidecar),
            other => {
                let problem = format!("`{other}` is not a role");
                findings.add(node.mark, problem, "Write `entry` or `sidecar`");
                None
            }
        }
    }
}
