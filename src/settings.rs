//! Host settings: what one process must know before it can reach anything else.

use std::{fs, net, path};

use serde::Deserialize;

use crate::{Error, Result, name};

/// The role a process runs in.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers and sends them to sidecars.
    Entry,
    /// Stands beside one backend server and is the only way in to it.
    Sidecar,
}

/// Settings of one process, read from YAML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// This host's name.
    pub host: name::Host,
    /// Availability zone of this host.
    pub zone: name::Zone,
    /// Entry or sidecar.
    pub role: Role,
    /// Address for callers and the balancer; entries only.
    #[serde(default)]
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
    #[serde(default)]
    pub backend: Option<Backend>,
    /// Where to write the addresses in use once listening; for ports chosen by the kernel.
    #[serde(default)]
    pub ports_file: Option<path::PathBuf>,
    /// Time for which the balancer may still send requests after readiness ends, in milliseconds.
    #[serde(default = "balancer_lag_ms")]
    pub balancer_lag_ms: u64,
    /// Peers to ask while the platform's host list is unreachable.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
}

fn balancer_lag_ms() -> u64 {
    5000
}

/// The backend server that a sidecar stands beside.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Backend {
    /// Its name in the operators' text.
    pub server: name::Server,
    /// Its HTTP root, such as `http://127.0.0.1:9000`.
    pub url: String,
}

impl Settings {
    /// Reads settings from the YAML file at `path`.
    pub fn load(path: &path::Path) -> Result<Self> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|source| Error::File { path: shown.clone(), source })?;
        serde_saphyr::from_str(&text).map_err(|err| {
            let at = err.location();
            Error::Yaml {
                path: shown,
                line: at.map_or(0, |at| at.line()),
                column: at.map_or(0, |at| at.column()),
                problem: err.to_string(),
            }
        })
    }
}
