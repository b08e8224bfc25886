//! The shape of the operators' text: which keys stand where.

use super::{Call, Config, Group, Kind, Limits, Priority, Server, Service, Workspace, Zone};
use crate::{
    name,
    yaml::{Findings, MapReader, Node, Read},
};

impl Read for Config {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["zones", "services", "servers", "workspaces"], out)?;
        let zones = table.required("zones", out);
        let services = table.required("services", out);
        let servers = table.required("servers", out);
        let workspaces = table.optional("workspaces", Default::default(), out);
        Some(Self {
            zones: zones?,
            services: services?,
            servers: servers?,
            workspaces: workspaces?,
        })
    }
}

impl Read for Zone {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["region"], out)?;
        Some(Self { region: table.optional("region", String::new(), out)? })
    }
}

impl Read for Service {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let known = ["kind", "depends-on", "calls", "limits", "group"];
        let table = MapReader::open(node, &known, out)?;
        let kind = table.required("kind", out);
        let depends_on = table.optional("depends-on", Default::default(), out);
        let calls = table.required("calls", out);
        let limits = table.optional("limits", Limits::default(), out);
        let group = table.optional("group", None, out);
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
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["method", "path", "repeatable", "deadline-ms"], out)?;
        let method = table.required("method", out);
        let path = table.required("path", out);
        let repeatable = table.required("repeatable", out);
        let deadline_ms = table.required("deadline-ms", out);
        Some(Self {
            method: method?,
            path: path?,
            repeatable: repeatable?,
            deadline_ms: deadline_ms?,
        })
    }
}

impl Read for Limits {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let known =
            ["in-flight-per-server", "queue-per-entry", "body-bytes", "batch-floor-percent"];
        let table = MapReader::open(node, &known, out)?;
        let or = Self::default();
        let in_flight = table.optional("in-flight-per-server", or.in_flight_per_server, out);
        let queue = table.optional("queue-per-entry", or.queue_per_entry, out);
        let body = table.optional("body-bytes", or.body_bytes, out);
        let floor = table.optional("batch-floor-percent", or.batch_floor_percent, out);
        Some(Self {
            in_flight_per_server: in_flight?,
            queue_per_entry: queue?,
            body_bytes: body?,
            batch_floor_percent: floor?,
        })
    }
}

impl Read for Group {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let known = ["ranks", "experts", "layers", "slots-per-rank", "expert-bytes"];
        let table = MapReader::open(node, &known, out)?;
        let ranks = table.required("ranks", out);
        let experts = table.required("experts", out);
        let layers = table.required("layers", out);
        let slots = table.required("slots-per-rank", out);
        let bytes = table.required("expert-bytes", out);
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
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["service", "zone", "checks-fences"], out)?;
        let service = table.required("service", out);
        let zone = table.required("zone", out);
        let checks_fences = table.optional("checks-fences", false, out);
        Some(Self { service: service?, zone: zone?, checks_fences: checks_fences? })
    }
}

impl Read for Workspace {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = MapReader::open(node, &["weight", "priority"], out)?;
        let or = Self::default();
        let weight = table.optional("weight", or.weight, out);
        let priority = table.optional("priority", or.priority, out);
        Some(Self { weight: weight?, priority: priority? })
    }
}

impl Read for Kind {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match String::read(node, out)?.as_str() {
            "model-group" => Some(Self::ModelGroup),
            "plain" => Some(Self::Plain),
            other => {
                let problem = format!("`{other}` is not a kind of service");
                out.add(node.mark, problem, "Write `model-group` or `plain`");
                None
            }
        }
    }
}

impl Read for Priority {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        match String::read(node, out)?.as_str() {
            "interactive" => Some(Self::Interactive),
            "batch" => Some(Self::Batch),
            other => {
                let problem = format!("`{other}` is not a priority");
                out.add(node.mark, problem, "Write `interactive` or `batch`");
                None
            }
        }
    }
}

impl Read for name::Service {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        String::read(node, out).map(Self::new)
    }
}

impl Read for name::Zone {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        String::read(node, out).map(Self::new)
    }
}
