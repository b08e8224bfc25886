//! The sense of the operators' text, once its shape is read.

use std::collections::BTreeSet;

use super::{Config, Kind, Limits, MAX_BODY_BYTES, Service, calls, cycle, group, spelling};
use crate::yaml::{Findings, Node};

/// Largest weight of a workspace.
const WEIGHT: u32 = 1_000;

/// Most requests in flight at one backend server that can be asked for.
const IN_FLIGHT: u32 = 100_000;

/// Longest queue that can be asked for, in requests.
const QUEUE: u32 = 1_000_000;

/// Adds a finding for each thing of `cfg` that cannot be meant; `node` is its tree.
pub fn check(cfg: &Config, node: &Node, out: &mut Findings) {
    spelling::check(cfg, node, out);
    presence(cfg, node, out);
    cycle::check(cfg, node, out);
    servers(cfg, node, out);
    workspaces(cfg, node, out);
    for (name, service) in &cfg.services {
        let place = ["services", name.as_str()];
        one(service, &place, node, out);
    }
}

fn presence(cfg: &Config, node: &Node, out: &mut Findings) {
    if cfg.zones.is_empty() && node.keys("zones").is_empty() {
        let remedy = "Name at least one availability zone below `zones:`";
        out.add(node.mark_at(&["zones"]), "There is no availability zone", remedy);
    }
    if cfg.services.is_empty() && node.keys("services").is_empty() {
        let remedy = "Describe at least one service below `services:`";
        out.add(node.mark_at(&["services"]), "There is no service", remedy);
    }
}

fn servers(cfg: &Config, node: &Node, out: &mut Findings) {
    let services = node.keys("services");
    let zones = node.keys("zones");
    for (name, server) in &cfg.servers {
        let name = name.as_str();
        if !services.contains(&server.service.as_str()) {
            let at = node.mark_at(&["servers", name, "service"]);
            let problem =
                format!("Backend server `{name}` serves `{}`, which is no service", server.service);
            out.add(at, problem, "Name a service that stands below `services:`");
        }
        if !zones.contains(&server.zone.as_str()) {
            let at = node.mark_at(&["servers", name, "zone"]);
            let problem =
                format!("Backend server `{name}` stands in `{}`, which is no zone", server.zone);
            out.add(at, problem, "Name a zone that stands below `zones:`");
        }
    }
    served(cfg, node, out);
}

fn served(cfg: &Config, node: &Node, out: &mut Findings) {
    let whole = node.keys("servers").len() == cfg.servers.len();
    let served: BTreeSet<_> = cfg.servers.values().map(|server| &server.service).collect();
    for name in cfg.services.keys().filter(|name| whole && !served.contains(name)) {
        out.add(
            node.mark_at(&["services", name.as_str()]),
            format!("No backend server serves `{name}`"),
            format!("Add one below `servers:` with `service: {name}`, or remove the service"),
        );
    }
}

fn workspaces(cfg: &Config, node: &Node, out: &mut Findings) {
    for (name, workspace) in &cfg.workspaces {
        let place = ["workspaces", name.as_str(), "weight"];
        let what = format!("The weight of workspace `{name}`");
        within(u64::from(workspace.weight), u64::from(WEIGHT), &what, &place, node, out);
    }
}

fn one(service: &Service, place: &[&str], node: &Node, out: &mut Findings) {
    calls::check(&service.calls, place, node, out);
    limits(&service.limits, place, node, out);
    match (service.kind, &service.group) {
        (Kind::ModelGroup, Some(shape)) => group::check(shape, place, node, out),
        (Kind::Plain, None) => {}
        (Kind::ModelGroup, None) => {
            let problem = "A model group has no shape";
            out.add(
                node.mark_at(place),
                problem,
                "Add `group:` with its ranks, experts and layers",
            );
        }
        (Kind::Plain, Some(_)) => {
            let at = node.mark_at(&[place, &["group"]].concat());
            out.add(
                at,
                "A plain service has no ranks",
                "Remove `group`, or set `kind: model-group`",
            );
        }
    }
}

fn limits(limits: &Limits, place: &[&str], node: &Node, out: &mut Findings) {
    let in_flight = u64::from(limits.in_flight_per_server);
    let bounds = [
        ("in-flight-per-server", in_flight, u64::from(IN_FLIGHT)),
        ("queue-per-entry", u64::from(limits.queue_per_entry), u64::from(QUEUE)),
        ("body-bytes", limits.body_bytes, MAX_BODY_BYTES),
    ];
    for (key, value, most) in bounds {
        let place = [place, &["limits", key]].concat();
        within(value, most, &format!("The limit `{key}`"), &place, node, out);
    }
    if limits.batch_floor_percent > 100 {
        out.add(
            node.mark_at(&[place, &["limits", "batch-floor-percent"]].concat()),
            format!("{} percent of the capacity cannot be kept", limits.batch_floor_percent),
            "Write a number from 0 to 100",
        );
    }
}

/// Reports `value` unless it is from 1 to `most`.
pub(super) fn within(
    value: u64,
    most: u64,
    what: &str,
    place: &[&str],
    node: &Node,
    out: &mut Findings,
) {
    if value == 0 || value > most {
        let remedy = format!("Write a number from 1 to {most}");
        out.add(node.mark_at(place), format!("{what} cannot be {value}"), remedy);
    }
}
