//! Host settings: what one process must know before it can reach anything else.

use std::{fs, net, path};

use crate::{
    Error, Result, name,
    yaml::{Findings, Node, Read, Table},
};

mod check;
pub mod site;

/// Longest settings text, in bytes.
pub const TEXT_BYTES: usize = 64 << 10;

/// Time that a balancer takes to heed readiness unless the settings say otherwise, in milliseconds.
const BALANCER_LAG_MS: u64 = 5_000;

/// The role a process runs in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes requests from callers and sends them to sidecars.
    Entry,
    /// Stands beside one backend server and is the only way in to it.
    Sidecar,
}

/// Settings of one process, read from YAML.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// This host's name.
    pub host: name::Host,
    /// Availability zone of this host.
    pub zone: name::Zone,
    /// Entry or sidecar.
    pub role: Role,
    /// Address for callers and the balancer; entries only.
    pub callers: Option<net::SocketAddr>,
    /// Address for operators: metrics, dump, commands.
    pub operators: net::SocketAddr,
    /// Address for other processes of the system.
    pub peers: net::SocketAddr,
    /// Root of the platform's service, such as `http://10.0.0.9:8000`.
    pub platform: String,
    /// Secret that operators and processes present.
    pub token: String,
    /// The backend server beside this process; sidecars only.
    pub backend: Option<Backend>,
    /// Where to write the addresses in use once listening; for ports chosen by the kernel.
    pub ports_file: Option<path::PathBuf>,
    /// Time for which the balancer may still send requests after readiness ends, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Peers to ask while the platform's host list is unreachable.
    pub seeds: Vec<net::SocketAddr>,
}

/// The backend server that a sidecar stands beside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Its name in the operators' text.
    pub server: name::Server,
    /// Its HTTP root, such as `http://127.0.0.1:9000`.
    pub url: String,
}

/// Reads the file at `path` with `parse`.
fn load<T>(path: &path::Path, parse: impl FnOnce(&str) -> Result<T, Findings>) -> Result<T> {
    let shown = || path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| Error::File { path: shown(), source })?;
    checked(path, &text, parse)
}

/// Parses `text`, which was read from the file at `path`.
pub fn checked<T>(
    path: &path::Path,
    text: &str,
    parse: impl FnOnce(&str) -> Result<T, Findings>,
) -> Result<T> {
    let shown = path.display().to_string();
    parse(text).map_err(|findings| Error::Text { path: shown, findings })
}

impl Settings {
    /// Reads settings from the YAML file at `path`.
    pub fn load(path: &path::Path) -> Result<Self> {
        load(path, Self::parse)
    }

    /// Reads settings from `text` and checks them whole.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let node = Node::parse(text, TEXT_BYTES)?;
        let mut out = Findings::default();
        let settings = Self::read(&node, &mut out);
        if let Some(settings) = &settings {
            check::check(settings, &node, &mut out);
        }
        out.or(settings)
    }
}

impl Read for Settings {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let known = [
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
        ];
        let table = Table::open(node, &known, out)?;
        let host: Option<String> = table.need("host", out);
        let zone = table.need("zone", out);
        let role = table.need("role", out);
        let callers = table.maybe("callers", None, out);
        let operators = table.need("operators", out);
        let peers = table.need("peers", out);
        let platform = table.need("platform", out);
        let token = table.need("token", out);
        let backend = table.maybe("backend", None, out);
        let ports_file: Option<Option<String>> = table.maybe("ports-file", None, out);
        let lag = table.maybe("balancer-lag-ms", BALANCER_LAG_MS, out);
        let seeds = table.maybe("seeds", Vec::new(), out);
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
            balancer_lag_ms: lag?,
            seeds: seeds?,
        })
    }
}

impl Read for Backend {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = Table::open(node, &["server", "url"], out)?;
        let server: Option<String> = table.need("server", out);
        let url = table.need("url", out);
        Some(Self { server: name::Server::new(server?), url: url? })
    }
}

impl Read for Role {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match String::read(node, out)?.as_str() {
            "entry" => Some(Self::Entry),
            "sidecar" => Some(Self::Sidecar),
            other => {
                let problem = format!("`{other}` is not a role");
                out.add(node.mark, problem, "Write `entry` or `sidecar`");
                None
            }
        }
    }
}
