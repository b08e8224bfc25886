//! The shape of the operators' text: which keys stand where.

use super::{Call, Config, Group, Kind, Limits, Priority, Server, Service, Workspace, Zone};
use crate::{
    name,
    yaml::{Findings, Node, Read, Table},
};

impl Read for Config {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = Table::open(node, &["zones", "services", "servers", "workspaces"], out)?;
        let zones = table.need("zones", out);
        let services = table.need("services", out);
        let servers = table.need("servers", out);
        let workspaces = table.maybe("workspaces", Default::default(), out);
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
        let table = Table::open(node, &["region"], out)?;
        Some(Self { region: table.maybe("region", String::new(), out)? })
    }
}

impl Read for Service {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let known = ["kind", "depends-on", "calls", "limits", "group"];
        let table = Table::open(node, &known, out)?;
        let kind = table.need("kind", out);
        let depends_on = table.maybe("depends-on", Default::default(), out);
        let calls = table.need("calls", out);
        let limits = table.maybe("limits", Limits::default(), out);
        let group = table.maybe("group", None, out);
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
        let table = Table::open(node, &["method", "path", "repeatable", "deadline-ms"], out)?;
        let method = table.need("method", out);
        let path = table.need("path", out);
        let repeatable = table.need("repeatable", out);
        let deadline_ms = table.need("deadline-ms", out);
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
        let table = Table::open(node, &known, out)?;
        let or = Self::default();
        let in_flight = table.maybe("in-flight-per-server", or.in_flight_per_server, out);
        let queue = table.maybe("queue-per-entry", or.queue_per_entry, out);
        let body = table.maybe("body-bytes", or.body_bytes, out);
        let floor = table.maybe("batch-floor-percent", or.batch_floor_percent, out);
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
        let table = Table::open(node, &known, out)?;
        let ranks = table.need("ranks", out);
        let experts = table.need("experts", out);
        let layers = table.need("layers", out);
        let slots = table.need("slots-per-rank", out);
        let bytes = table.need("expert-bytes", out);
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
        let table = Table::open(node, &["service", "zone", "checks-fences"], out)?;
        let service = table.need("service", out);
        let zone = table.need("zone", out);
        let checks_fences = table.maybe("checks-fences", false, out);
        Some(Self { service: service?, zone: zone?, checks_fences: checks_fences? })
    }
}

impl Read for Workspace {
    fn read(node: &Node, out: &mut Findings) -> Option<Self> {
        let table = Table::open(node, &["weight", "priority"], out)?;
        let or = Self::default();
        let weight = table.maybe("weight", or.weight, out);
        let priority = table.maybe("priority", or.priority, out);
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
