//! Reading of the configuration's structure: which keys are known and required in which map.

use super::{Call, Config, Group, Kind, Limits, Priority, Server, Service, Workspace, Zone};
use crate::{
    name,
    yaml::{Findings, MapReader, Node, Read},
};

impl Read for Config {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let map = MapReader::open(node, &["zones", "services", "servers", "workspaces"], findings)?;
        let zones = map.required("zones", findings);
        let services = map.required("services", findings);
        let servers = map.required("servers", findings);
        let workspaces = map.optional("workspaces", Default::default(), findings);
        Some(Self {
            zones: zones?,
            services: services?,
            servers: servers?,
            workspaces: workspaces?,
        })
    }
}

impl Read for Zone {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let map = MapReader::open(node, &["region"], findings)?;
        Some(Self { region: map.optional("region", String::new(), findings)? })
    }
}

impl Read for Service {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let known_keys = ["kind", "depends-on", "calls", "limits", "group"];
        let map = MapReader::open(node, &known_keys, findings)?;
        let kind = map.required("kind", findings);
        let depends_on = map.optional("depends-on", Default::default(), findings);
        let calls = map.required("calls", findings);
        let limits = map.optional("limits", Limits::default(), findings);
        let group = map.optional("group", None, findings);
        Some(Self {
            kind: kind?,
            depends_on: depends_on?,
            calls: calls?,
            limits: limits?,
            group: group?,
        })
    }
}

impl Read for Call {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let map =
            MapReader::open(node, &["method", "path", "repeatable", "deadline-ms"], findings)?;
        let method = map.required("method", findings);
        let path = map.required("path", findings);
        let repeatable = map.required("repeatable", findings);
        let deadline_ms = map.required("deadline-ms", findings);
        Some(Self {
            method: method?,
            path: path?,
            repeatable: repeatable?,
            deadline_ms: deadline_ms?,
        })
    }
}

impl Read for Limits {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let known_keys =
            ["in-flight-per-server", "queue-per-entry", "body-bytes", "batch-floor-percent"];
        let map = MapReader::open(node, &known_keys, findings)?;
        let defaults = Self::default();
        let in_flight =
            map.optional("in-flight-per-server", defaults.in_flight_per_server, findings);
        let queue = map.optional("queue-per-entry", defaults.queue_per_entry, findings);
        let body = map.optional("body-bytes", defaults.body_bytes, findings);
        let floor = map.optional("batch-floor-percent", defaults.batch_floor_percent, findings);
        Some(Self {
            in_flight_per_server: in_flight?,
            queue_per_entry: queue?,
            body_bytes: body?,
            batch_floor_percent: floor?,
        })
    }
}

impl Read for Group {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let known_keys = ["ranks", "experts", "layers", "slots-per-rank", "expert-bytes"];
        let map = MapReader::open(node, &known_keys, findings)?;
        let ranks = map.required("ranks", findings);
        let experts = map.required("experts", findings);
        let layers = map.required("layers", findings);
        let slots = map.required("slots-per-rank", findings);
        let bytes = map.required("expert-bytes", findings);
        Some(Self {
            ranks: ranks?,
            experts: experts?,
            layers: layers?,
            slots_per_rank: slots?,
            expert_bytes: bytes?,
        })
    }
}

impl Read for Server {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let map = MapReader::open(node, &["service", "zone", "checks-fences"], findings)?;
        let service = map.required("service", findings);
        let zone = map.required("zone", findings);
        let checks_fences = map.optional("checks-fences", false, findings);
        Some(Self { service: service?, zone: zone?, checks_fences: checks_fences? })
    }
}

impl Read for Workspace {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        let map = MapReader::open(node, &["weight", "priority"], findings)?;
        let defaults = Self::default();
        let weight = map.optional("weight", defaults.weight, findings);
        let priority = map.optional("priority", defaults.priority, findings);
        Some(Self { weight: weight?, priority: priority? })
    }
}

impl Read for Kind {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match String::read(node, findings)?.as_str() {
            "model-group" => Some(Self::ModelGroup),
            "plain" => Some(Self::Plain),
            other => {
                let problem = format!("`{other}` is not a kind of service");
                findings.add(node.mark, problem, "Write `model-group` or `plain`");
                None
            }
        }
    }
}

impl Read for Priority {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        match String::read(node, findings)?.as_str() {
            "interactive" => Some(Self::Interactive),
            "batch" => Some(Self::Batch),
            other => {
                let problem = format!("`{other}` is not a priority");
                findings.add(node.mark, problem, "Write `interactive` or `batch`");
                None
            }
        }
    }
}

impl Read for name::Service {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        String::read(node, findings).map(Self::new)
    }
}

impl Read for name::Zone {
    fn read(node: &Node, findings: &mut Findings) -> Option<Self> {
        String::read(node, findings).map(Self::new)
    }
}
