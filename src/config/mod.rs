//! The operators' text: services, what each depends on, zones, backend servers.
//!
//! The YAML text is parsed into [`Config`], checked whole, and committed with
//! a version as a [`Committed`] document.

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

/// Longest operators' text, in bytes.
pub const MAX_CONFIG_BYTES: usize = 3 << 20;

/// Largest request body that a service may allow, in bytes.
pub const MAX_BODY_BYTES: u64 = 1 << 20;

/// Reads the operators' text and checks it whole.
///
/// Every fault of the shape and of the sense is reported, each with its line,
/// column and remedy.
pub fn parse(text: &str) -> Result<Config, Findings> {
    let node = Node::parse(text, MAX_CONFIG_BYTES)?;
    let mut out = Findings::default();
    let cfg = Config::read(&node, &mut out);
    if let Some(cfg) = &cfg {
        check::check(cfg, &node, &mut out);
    }
    out.into_result(cfg)
}

/// The operators' text as parsed. Unknown keys are refused.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Config {
    /// Availability zones, by name.
    pub zones: BTreeMap<name::Zone, Zone>,
    /// Services, by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Backend servers, by name.
    pub servers: BTreeMap<name::Server, Server>,
    /// Workspaces whose weight differs from the default of 1.
    #[serde(default)]
    pub workspaces: BTreeMap<name::Workspace, Workspace>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Zone {
    /// Region that the zone belongs to.
    #[serde(default)]
    pub region: String,
}

/// What kind of back end serves a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines that run expert-parallel and stream answers.
    ModelGroup,
    /// Servers that answer each call whole.
    Plain,
}

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Model group or plain service.
    pub kind: Kind,
    /// Services that this one cannot do without.
    #[serde(default)]
    pub depends_on: BTreeSet<name::Service>,
    /// Calls the service takes; the first whose method and path prefix match applies.
    pub calls: Vec<Call>,
    /// Bounds on what the service accepts.
    #[serde(default)]
    pub limits: Limits,
    /// Shape of the expert group; only for model groups.
    #[serde(default)]
    pub group: Option<Group>,
}

/// One kind of call of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path prefix, from `/`.
    pub path: String,
    /// Whether the call is idempotent, so that it may be sent again.
    pub repeatable: bool,
    /// Whole time a request of this call may take, in milliseconds.
    pub deadline_ms: u64,
}

/// Bounds of one service, each over all entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Limits {
    /// Most requests in flight at one backend server, once warm.
    pub in_flight_per_server: u32,
    /// Most requests queued at one entry.
    pub queue_per_entry: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Share of capacity kept for batch requests under load, in percent.
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

/// Shape of a model group that runs expert-parallel.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Group {
    /// Ranks that run in lock-step.
    pub ranks: u32,
    /// Experts in each layer.
    pub experts: u32,
    /// Layers with experts.
    pub layers: u32,
    /// Expert copies that one rank holds per layer.
    pub slots_per_rank: u32,
    /// Size of one expert's weights, in bytes.
    pub expert_bytes: u64,
}

/// One backend server. Its address comes from the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Server {
    /// Service it serves.
    pub service: name::Service,
    /// Availability zone it stands in.
    pub zone: name::Zone,
    /// Whether the server itself refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fences: bool,
}

/// A workspace's share and default priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Workspace {
    /// Weight in fair queueing; 1 when not listed.
    pub weight: u32,
    /// Priority of requests that name none.
    pub priority: Priority,
}

impl Default for Workspace {
    fn default() -> Self {
        Self { weight: 1, priority: Priority::Interactive }
    }
}

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Nobody waits; served after interactive requests, above a floor.
    Batch,
}

/// Zones and backend servers that operators have taken out of service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct OutOfService {
    /// Zones out of service.
    pub zones: BTreeSet<name::Zone>,
    /// Backend servers out of service.
    pub servers: BTreeSet<name::Server>,
}

impl OutOfService {
    /// Whether new work may go to `server`, which stands in `zone`.
    pub fn allows(&self, server: &name::Server, zone: &name::Zone) -> bool {
        !self.zones.contains(zone) && !self.servers.contains(server)
    }
}

/// A configuration as committed to the platform's table, the unit that is distributed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Committed {
    /// Version, counted up by one with each commit; 0 means none yet.
    pub version: u64,
    /// The operators' text, to the letter.
    pub text: String,
    /// What operators have taken out.
    pub out: OutOfService,
}
