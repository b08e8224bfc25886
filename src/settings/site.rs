//! Settings of a process on the users' platform, which is a gateway or a rank agent.

use std::{net, path, time};

use super::{MAX_SETTINGS_BYTES, Machine, check};
use crate::{
    Result, name,
    yaml::{Findings, MapReader, Node, Read},
};

/// Default number of retries that each first attempt allows.
const DEFAULT_RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Default window over which retries are counted, in seconds.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Default number of retries per window that are allowed without any first attempt.
const DEFAULT_FREE_RETRIES: f64 = 10.0;
/// Default for the maximum time until a change in the store takes effect, in milliseconds; the
/// platform's documentation states it for the first sites.
const DEFAULT_MAX_VIEW_AGE_MS: f64 = 2_000.0;
/// Default time for which a group of engines stalls after the crash of one, in milliseconds.
const DEFAULT_STALL_MS: f64 = 1_500.0;
/// Default time from SIGTERM to SIGKILL, in seconds.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Role of the process, with its addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Role {
    /// Receives requests from callers and sends them to backend servers.
    Gateway {
        /// Address for callers.
        callers: net::SocketAddr,
        /// Address for the balancer's readiness checks.
        readiness: net::SocketAddr,
    },
    /// Runs next to one model engine and manages its part of the expert map.
    Rank {
        /// Address of the engine.
        engine: net::SocketAddr,
        /// Service that the engine belongs to; `None` if the settings do not name it.
        service: Option<name::Service>,
    },
}

/// Limits on retries, in total over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Number of retries that each first attempt allows.
    pub retries_per_first_attempt: f64,
    /// Window over which first attempts and retries are counted.
    pub window: time::Duration,
    /// Number of retries per window that are allowed without any first attempt.
    pub free_retries: f64,
}

/// Maximum age of a process's view of the store: the longest times until a change that the
/// platform acknowledged takes effect everywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaxViewAge {
    /// Maximum time until a leaving backend server gets no new requests.
    pub servers: time::Duration,
    /// Maximum time until a configuration or the evacuation of a zone takes effect.
    pub orders: time::Duration,
}

/// Settings of one process, read from YAML.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Availability zone of this host.
    pub zone: name::Zone,
    /// Role of the process.
    pub role: Role,
    /// Address for operators: metrics and state dump.
    pub operators: net::SocketAddr,
    /// Address for other processes of the product.
    pub peers: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Secret that operators and other processes must present.
    pub token: String,
    /// Limits on retries.
    pub retries: RetryLimits,
    /// Maximum age of the view of the store.
    pub max_view_age: MaxViewAge,
    /// Time for which a group of engines stalls after the crash of one.
    pub stall: time::Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Duration,
    /// Size of the machine.
    pub machine: Machine,
}

impl Settings {
    /// Reads and checks settings from the YAML file at `path`.
    pub fn load(path: &path::Path) -> Result<Self> {
        super::load(path, Self::parse)
    }

    /// Parses and checks settings from the YAML document `text`.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let node = Node::parse(text, MAX_SETTINGS_BYTES)?;
        let mut findings = Findings::default();
        let settings = Self::read(&node, &mut findings);
        if let Some(settings) = &settings {
            settings.check(&node, &mut findings);
        }
        findings.into_result(settings)
    }

    /// Returns whether the role in the YAML document `text` is one of [`Role`].
    pub fn has_site_role(text: &str) -> bool {
        let parse_role = |line: &str| line.strip_prefix("role:").map(|role| role.trim().to_owned());
        let role = text.lines().find_map(parse_role);
        matches!(role.as_deref(), Some("gateway" | "rank"))
    }

    fn check(&self, node: &Node, findings: &mut Findings) {
        check::check_host(&self.host, &self.zone, node, findings);
        check::check_token(&self.token, node, findings);
        let non_negative =
            self.retries.retries_per_first_attempt >= 0.0 && self.retries.free_retries >= 0.0;
        if !non_negative || self.retries.window.is_zero() {
            let remedy = "Write `share` and `free` of at least 0 and `window-s` above 0";
            findings.add(node.mark_at(&["retries"]), "The retry limits are out of range", remedy);
        }
        if self.max_view_age.servers.is_zero() || self.max_view_age.orders.is_zero() {
            let problem = "A time limit of 0 or less cannot be met";
            findings.add(node.mark_at(&["within"]), problem, "Write milliseconds above 0");
        }
        self.machine.check(node, findings);
    }
}

impl Read for Settings {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let known_keys = [
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
            "stall-ms",
            "grace-s",
            "machine",
        ];
        let table = MapReader::open(node, &known_keys, findings)?;
        let host: Option<String> = table.required("host", findings);
        let zone = table.required("zone", findings);
        let role: Option<String> = table.required("role", findings);
        let role = match role?.as_str() {
            "gateway" => Role::Gateway {
                callers: table.required("callers", findings)?,
                readiness: table.required("readiness", findings)?,
            },
            "rank" => Role::Rank {
                engine: table.required("engine", findings)?,
                service: table.optional("service", None, findings)?,
            },
            other => {
                let problem = format!("`{other}` is not a role on this platform");
                findings.add(node.mark_at(&["role"]), problem, "Write `gateway` or `rank`");
                return None;
            }
        };
        let operators = table.required("operators", findings);
        let peers = table.required("peers", findings);
        let store = table.required("store", findings);
        let token = table.required("token", findings);
        let retries = table.optional("retries", RetryLimits::default(), findings);
        let max_view_age = table.optional("within", MaxViewAge::default(), findings);
        let stall_ms: Option<f64> = table.optional("stall-ms", DEFAULT_STALL_MS, findings);
        let machine = table.optional("machine", Machine::default(), findings);
        let grace_s: Option<f64> = table.optional("grace-s", DEFAULT_GRACE_S, findings);
        Some(Self {
            host: name::Host::new(host?),
            zone: zone?,
            role,
            operators: operators?,
            peers: peers?,
            store: store?,
            token: token?,
            retries: retries?,
            max_view_age: max_view_age?,
            stall: time::Duration::try_from_secs_f64(stall_ms? / 1000.0).ok()?,
            grace: time::Duration::try_from_secs_f64(grace_s?).ok()?,
            machine: machine?,
        })
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        let window = time::Duration::from_secs_f64(DEFAULT_RETRY_WINDOW_S);
        Self {
            retries_per_first_attempt: DEFAULT_RETRIES_PER_FIRST_ATTEMPT,
            window,
            free_retries: DEFAULT_FREE_RETRIES,
        }
    }
}

impl Default for MaxViewAge {
    fn default() -> Self {
        let max_age = time::Duration::from_secs_f64(DEFAULT_MAX_VIEW_AGE_MS / 1000.0);
        Self { servers: max_age, orders: max_age }
    }
}

impl Read for MaxViewAge {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["servers-ms", "orders-ms"], findings)?;
        let servers: Option<f64> = table.optional("servers-ms", DEFAULT_MAX_VIEW_AGE_MS, findings);
        let orders: Option<f64> = table.optional("orders-ms", DEFAULT_MAX_VIEW_AGE_MS, findings);
        let duration = |ms: f64| time::Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default();
        Some(Self { servers: duration(servers?), orders: duration(orders?) })
    }
}

impl Read for RetryLimits {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["share", "window-s", "free"], findings)?;
        let retries_per_first_attempt =
            table.optional("share", DEFAULT_RETRIES_PER_FIRST_ATTEMPT, findings);
        let window_s = table.optional("window-s", DEFAULT_RETRY_WINDOW_S, findings);
        let free_retries = table.optional("free", DEFAULT_FREE_RETRIES, findings);
        let window = time::Duration::try_from_secs_f64(window_s?).unwrap_or_default();
        Some(Self {
            retries_per_first_attempt: retries_per_first_attempt?,
            window,
            free_retries: free_retries?,
        })
    }
}
