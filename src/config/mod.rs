//! The operators' configuration: services, their dependencies, zones and backend servers.
//!
//! The YAML is parsed into a [`Config`], all of it is checked, and it is committed with a
//! version as a [`Committed`] configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    name,
    yaml::{Findings, Node, Read},
};

mod calls;
mod check;
mod cycle;
mod diff;
mod group;
mod read;
mod spelling;

pub use diff::{Change, Difference, diff};
pub use spelling::{is_valid_name, remedy as name_remedy};

/// Maximum size of a configuration, in bytes.
pub const MAX_CONFIG_BYTES: usize = 3 << 20;

/// Maximum request body size that a service may allow, in bytes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// Parses and checks a configuration.
///
/// Errors of structure and of meaning are all reported, each with its line, column and remedy.
pub fn parse(text: &str) -> Result<Config, Findings> {
    let node = Node::parse(text, MAX_CONFIG_BYTES)?;
    let mut findings = Findings::default();
    let cfg = Config::read(&node, &mut findings);
    if let Some(cfg) = &cfg {
        check::check(cfg, &node, &mut findings);
    }
    findings.into_result(cfg)
}

/// A parsed configuration. Unknown keys are rejected.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Config {
    /// Availability zones, by name.
    pub zones: BTreeMap<name::Zone, Zone>,
    /// Services, by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Backend servers, by name.
    pub servers: BTreeMap<name::Server, Server>,
    /// Workspaces whose weight or priority differs from the default.
    #[serde(default)]
    pub workspaces: BTreeMap<name::Workspace, Workspace>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Zone {
    /// Region that the zone belongs to; empty if none is given.
    #[serde(default)]
    pub region: String,
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines that run expert-parallel and stream their answers.
    ModelGroup,
    /// Servers that send each answer as a whole.
    Plain,
}

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Kind of the service: model group or plain.
    pub kind: Kind,
    /// Services that this service cannot work without.
    #[serde(default)]
    pub depends_on: BTreeSet<name::Service>,
    /// Calls that the service accepts; the first whose method and path prefix match applies.
    pub calls: Vec<Call>,
    /// Limits on the requests that the service accepts.
    #[serde(default)]
    pub limits: Limits,
    /// Dimensions of the expert group; only for model groups.
    #[serde(default)]
    pub group: Option<Group>,
}

/// A kind of call that a service accepts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path prefix, which begins with `/`.
    pub path: String,
    /// Whether the call is idempotent, so that it may be retried after it may have run.
    pub repeatable: bool,
    /// Maximum duration of a request, retries included, in milliseconds.
    pub deadline_ms: u64,
}

/// Limits of one service. Each applies across all entries unless it says otherwise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Limits {
    /// Maximum number of requests in flight at one backend server after its cold start.
    pub in_flight_per_server: u32,
    /// Maximum number of requests queued at one entry.
    pub queue_per_entry: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Share of the capacity that is reserved for batch requests under load, in percent.
    pub batch_floor_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight_per_server: 32,
            queue_per_entry: 256,
            body_bytes: 1 << 20,
            batch_floor_percent: 10,
        }
    }
}

/// Dimensions of a model group that runs expert-parallel.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Group {
    /// Number of ranks, which run in lock-step.
    pub ranks: u32,
    /// Number of experts in each layer.
    pub experts: u32,
    /// Number of layers with experts.
    pub layers: u32,
    /// Number of expert copies that one rank holds per layer.
    pub slots_per_rank: u32,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
}

/// One backend server. Its address comes from the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Server {
    /// Service that the server belongs to.
    pub service: name::Service,
    /// Availability zone that the server runs in.
    pub zone: name::Zone,
    /// Whether the server itself rejects orders with a stale fencing token.
    #[serde(default)]
    pub checks_fences: bool,
}

/// Share and default priority of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Workspace {
    /// Weight in fair queueing; 1 for workspaces that are not listed.
    pub weight: u32,
    /// Priority of requests that state none.
    pub priority: Priority,
}

impl Default for Workspace {
    fn default() -> Self {
        Self { weight: 1, priority: Priority::Interactive }
    }
}

/// Priority of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person is waiting for the answer.
    #[default]
    Interactive,
    /// No person is waiting for the answer. Batch requests are served after interactive ones,
    /// apart from a reserved share of the capacity.
    Batch,
}

/// Zones and backend servers that operators have taken out of service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct OutOfService {
    /// Zones that are out of service.
    pub zones: BTreeSet<name::Zone>,
    /// Backend servers that are out of service.
    pub servers: BTreeSet<name::Server>,
}

impl OutOfService {
    /// Whether `server`, which runs in `zone`, may receive new requests.
    pub fn allows(&self, server: &name::Server, zone: &name::Zone) -> bool {
        !self.zones.contains(zone) && !self.servers.contains(server)
    }
}

/// A committed configuration: the unit that is stored in the platform's table and distributed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Committed {
    /// Version, which each commit increments by one; 0 if nothing has been committed yet.
    pub version: u64,
    /// The configuration as the operators wrote it, byte for byte.
    pub text: String,
    /// Zones and backend servers that operators have taken out of service.
    pub out: OutOfService,
}
