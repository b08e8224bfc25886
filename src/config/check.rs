//! Checks of a configuration's meaning, made after its structure has been read.

use std::collections::BTreeSet;

use super::{Config, Kind, Limits, MAX_BODY_BYTES, Service, calls, cycle, group, spelling};
use crate::yaml::{Findings, Node};

/// Maximum weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;

/// Upper bound of the limit `in-flight-per-server`, in requests.
const MAX_IN_FLIGHT_PER_SERVER: u32 = 100_000;

/// Upper bound of the limit `queue-per-entry`, in requests.
const MAX_QUEUE_PER_ENTRY: u32 = 1_000_000;

/// Adds a finding for each invalid value of `cfg`, which was read from the tree `node`.
pub fn check(cfg: &Config, node: &Node, findings: &mut Findings) {
    spelling::check(cfg, node, findings);
    check_not_empty(cfg, node, findings);
    cycle::check(cfg, node, findings);
    check_servers(cfg, node, findings);
    check_workspaces(cfg, node, findings);
    for (name, service) in &cfg.services {
        let key_path = ["services", name.as_str()];
        check_service(service, &key_path, node, findings);
    }
}

fn check_not_empty(cfg: &Config, node: &Node, findings: &mut Findings) {
    if cfg.zones.is_empty() && node.keys("zones").is_empty() {
        let remedy = "Define at least one availability zone under `zones:`";
        findings.add(node.mark_at(&["zones"]), "No availability zone is defined", remedy);
    }
    if cfg.services.is_empty() && node.keys("services").is_empty() {
        let remedy = "Define at least one service under `services:`";
        findings.add(node.mark_at(&["services"]), "No service is defined", remedy);
    }
}

fn check_servers(cfg: &Config, node: &Node, findings: &mut Findings) {
    let services = node.keys("services");
    let zones = node.keys("zones");
    for (name, server) in &cfg.servers {
        let name = name.as_str();
        if !services.contains(&server.service.as_str()) {
            let mark = node.mark_at(&["servers", name, "service"]);
            let problem = format!(
                "Backend server `{name}` belongs to service `{}`, which is not defined",
                server.service
            );
            findings.add(mark, problem, "Name a service that is defined under `services:`");
        }
        if !zones.contains(&server.zone.as_str()) {
            let mark = node.mark_at(&["servers", name, "zone"]);
            let problem = format!(
                "Backend server `{name}` is in zone `{}`, which is not defined",
                server.zone
            );
            findings.add(mark, problem, "Name a zone that is defined under `zones:`");
        }
    }
    check_services_served(cfg, node, findings);
}

fn check_services_served(cfg: &Config, node: &Node, findings: &mut Findings) {
    let all_servers_read = node.keys("servers").len() == cfg.servers.len();
    let served: BTreeSet<_> = cfg.servers.values().map(|server| &server.service).collect();
    for name in cfg.services.keys().filter(|name| all_servers_read && !served.contains(name)) {
        findings.add(
            node.mark_at(&["services", name.as_str()]),
            format!("No backend server serves `{name}`"),
            format!("Add one under `servers:` with `service: {name}`, or remove the service"),
        );
    }
}

fn check_workspaces(cfg: &Config, node: &Node, findings: &mut Findings) {
    for (name, workspace) in &cfg.workspaces {
        let key_path = ["workspaces", name.as_str(), "weight"];
        let subject = format!("The weight of workspace `{name}`");
        check_range(
            u64::from(workspace.weight),
            u64::from(MAX_WEIGHT),
            &subject,
            &key_path,
            node,
            findings,
        );
    }
}

fn check_service(service: &Service, key_path: &[&str], node: &Node, findings: &mut Findings) {
    calls::check(&service.calls, key_path, node, findings);
    check_limits(&service.limits, key_path, node, findings);
    match (service.kind, &service.group) {
        (Kind::ModelGroup, Some(shape)) => group::check(shape, key_path, node, findings),
        (Kind::Plain, None) => {}
        (Kind::ModelGroup, None) => {
            let problem = "The model group has no `group` section";
            findings.add(
                node.mark_at(key_path),
                problem,
                "Add `group:` with its ranks, experts and layers",
            );
        }
        (Kind::Plain, Some(_)) => {
            let mark = node.mark_at(&[key_path, &["group"]].concat());
            findings.add(
                mark,
                "A plain service cannot have a `group` section",
                "Remove `group`, or set `kind: model-group`",
            );
        }
    }
}

fn check_limits(limits: &Limits, key_path: &[&str], node: &Node, findings: &mut Findings) {
    let in_flight = u64::from(limits.in_flight_per_server);
    let bounds = [
        ("in-flight-per-server", in_flight, u64::from(MAX_IN_FLIGHT_PER_SERVER)),
        ("queue-per-entry", u64::from(limits.queue_per_entry), u64::from(MAX_QUEUE_PER_ENTRY)),
        ("body-bytes", limits.body_bytes, MAX_BODY_BYTES),
    ];
    for (key, value, max) in bounds {
        let key_path = [key_path, &["limits", key]].concat();
        check_range(value, max, &format!("The limit `{key}`"), &key_path, node, findings);
    }
    if limits.batch_floor_percent > 100 {
        findings.add(
            node.mark_at(&[key_path, &["limits", "batch-floor-percent"]].concat()),
            format!("The limit `batch-floor-percent` cannot be {}", limits.batch_floor_percent),
            "Write a number from 0 to 100",
        );
    }
}

/// Reports `value` unless it is in the range from 1 to `max`; `subject` names it in the message.
pub(super) fn check_range(
    value: u64,
    max: u64,
    subject: &str,
    key_path: &[&str],
    node: &Node,
    findings: &mut Findings,
) {
    if value == 0 || value > max {
        let remedy = format!("Write a number from 1 to {max}");
        findings.add(node.mark_at(key_path), format!("{subject} cannot be {value}"), remedy);
    }
}
