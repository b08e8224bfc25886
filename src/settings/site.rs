//! Settings of a process on the users' platform: a gateway or a rank agent.

use std::{net, path, time};

use super::{TEXT_BYTES, check};
use crate::{
    Result, name,
    yaml::{Findings, Node, Read, Table},
};

/// Retries that one first attempt pays for, unless the settings say otherwise.
const RETRY_SHARE: f64 = 0.1;
/// Window over which retries are counted, unless the settings say otherwise, in seconds.
const RETRY_WINDOW_S: f64 = 10.0;
/// Retries in a window that nothing pays for, unless the settings say otherwise.
const RETRY_FREE: f64 = 10.0;
/// Time until a change in the store is in force, unless the settings say otherwise, in
/// milliseconds; the platform's pages state it for the first sites.
const WITHIN_MS: f64 = 2_000.0;
/// Time from SIGTERM to SIGKILL unless the settings say otherwise, in seconds.
const GRACE_S: f64 = 8.0;

/// What the process does on its host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes callers' requests and sends them to backend servers.
    Gateway {
        /// Address for callers.
        callers: net::SocketAddr,
        /// Address for the balancer's question whether to send callers here.
        readiness: net::SocketAddr,
    },
    /// Stands beside one model engine and looks after its part of the expert map.
    Rank {
        /// Address of the engine.
        engine: net::SocketAddr,
        /// Service that the engine belongs to, as far as the settings say.
        service: Option<name::Service>,
    },
}

/// Bound on retries, summed over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Retries that one first attempt pays for.
    pub share: f64,
    /// Window over which both are counted.
    pub window: time::Duration,
    /// Retries in a window that nothing pays for.
    pub free: f64,
}

/// Longest times until what the platform acknowledged is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Within {
    /// Until a backend server that leaves gets nothing new.
    pub servers: time::Duration,
    /// Until a configuration or an order for a zone is in force.
    pub orders: time::Duration,
}

/// Settings of one process, read from YAML.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This host's name.
    pub host: name::Host,
    /// Availability zone of this host.
    pub zone: name::Zone,
    /// What the process does.
    pub role: Role,
    /// Address for operators: metrics and dump.
    pub operators: net::SocketAddr,
    /// Address for other processes of the system.
    pub peers: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Secret that operators and processes present.
    pub token: String,
    /// Bound on retries.
    pub retries: Retries,
    /// Bounds on how old the view of the store may be.
    pub within: Within,
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Duration,
}

impl Settings {
    /// Reads settings from the YAML file at `path`.
    pub fn load(path: &path::Path) -> Result<Self> {
        super::load(path, Self::parse)
    }

    /// Reads settings from `text` and checks them whole.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let node = Node::parse(text, TEXT_BYTES)?;
        let mut out = Findings::default();
        let settings = Self::read(&node, &mut out);
        if let Some(settings) = &settings {
            settings.check(&node, &mut out);
        }
        out.or(settings)
    }

    /// Whether `text` is of this kind, by its role.
    pub fn is_meant(text: &str) -> bool {
        let role = |line: &str| line.strip_prefix("role:").map(|role| role.trim().to_owned());
        let role = text.lines().find_map(role);
        matches!(role.as_deref(), Some("gateway" | "rank"))
    }

    fn check(&self, node: &Node, out: &mut Findings) {
        check::host(&self.host, &self.zone, node, out);
        check::token(&self.token, node, out);
        let whole = self.retries.share >= 0.0 && self.retries.free >= 0.0;
        if !whole || self.retries.window.is_zero() {
            let remedy = "Write shares from 0 and a window above 0";
            out.add(node.place(&["retries"]), "These retries have no meaning", remedy);
        }
        if self.within.servers.is_zero() || self.within.orders.is_zero() {
            let problem = "Nothing is in force within no time";
            out.add(node.place(&["within"]), problem, "Write milliseconds above 0");
        }
    }
}

impl Read for Settings {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let known = [
            "host",
            "zone",
            "role",
            "callers",
            "readiness",
            "engine",
            "service",
            "operators",
            "peers",
            "store",
            "token",
            "retries",
            "within",
            "grace-s",
        ];
        let table = Table::open(node, &known, out)?;
        let host: Option<String> = table.need("host", out);
        let zone = table.need("zone", out);
        let role: Option<String> = table.need("role", out);
        let role = match role?.as_str() {
            "gateway" => Role::Gateway {
                callers: table.need("callers", out)?,
                readiness: table.need("readiness", out)?,
            },
            "rank" => Role::Rank {
                engine: table.need("engine", out)?,
                service: table.maybe("service", None, out)?,
            },
            other => {
                let problem = format!("`{other}` is not a role on this platform");
                out.add(node.place(&["role"]), problem, "Write `gateway` or `rank`");
                return None;
            }
        };
        let operators = table.need("operators", out);
        let peers = table.need("peers", out);
        let store = table.need("store", out);
        let token = table.need("token", out);
        let retries = table.maybe("retries", Retries::default(), out);
        let within = table.maybe("within", Within::default(), out);
        let grace_s: Option<f64> = table.maybe("grace-s", GRACE_S, out);
        Some(Self {
            host: name::Host::new(host?),
            zone: zone?,
            role,
            operators: operators?,
            peers: peers?,
            store: store?,
            token: token?,
            retries: retries?,
            within: within?,
            grace: time::Duration::try_from_secs_f64(grace_s?).ok()?,
        })
    }
}

impl Default for Retries {
    fn default() -> Self {
        let window = time::Duration::from_secs_f64(RETRY_WINDOW_S);
        Self { share: RETRY_SHARE, window, free: RETRY_FREE }
    }
}

impl Default for Within {
    fn default() -> Self {
        let whole = time::Duration::from_secs_f64(WITHIN_MS / 1000.0);
        Self { servers: whole, orders: whole }
    }
}

impl Read for Within {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = Table::open(node, &["servers-ms", "orders-ms"], out)?;
        let servers: Option<f64> = table.maybe("servers-ms", WITHIN_MS, out);
        let orders: Option<f64> = table.maybe("orders-ms", WITHIN_MS, out);
        let time = |ms: f64| time::Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default();
        Some(Self { servers: time(servers?), orders: time(orders?) })
    }
}

impl Read for Retries {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = Table::open(node, &["share", "window-s", "free"], out)?;
        let share = table.maybe("share", RETRY_SHARE, out);
        let window_s = table.maybe("window-s", RETRY_WINDOW_S, out);
        let free = table.maybe("free", RETRY_FREE, out);
        let window = time::Duration::try_from_secs_f64(window_s?).unwrap_or_default();
        Some(Self { share: share?, window, free: free? })
    }
}
