//! Checks of the dependencies between services: each must be defined, and none may form a cycle.

use std::collections::BTreeSet;

use super::Config;
use crate::{
    name,
    yaml::{Findings, Node},
};

/// Reports dependencies on services that are not defined, and each cycle once.
pub fn check(cfg: &Config, node: &Node, findings: &mut Findings) {
    check_defined(cfg, node, findings);
    let mut visited = BTreeSet::new();
    for name in cfg.services.keys() {
        let mut path = Vec::new();
        visit(cfg, name, &mut path, &mut visited, node, findings);
    }
}

fn check_defined(cfg: &Config, node: &Node, findings: &mut Findings) {
    let services = node.keys("services");
    for (name, service) in &cfg.services {
        for dependency in
            service.depends_on.iter().filter(|name| !services.contains(&name.as_str()))
        {
            findings.add(
                node.mark_at(&["services", name.as_str(), "depends-on", dependency.as_str()]),
                format!("`{name}` depends on `{dependency}`, which is not defined"),
                "Name a service that is defined under `services:`",
            );
        }
    }
}

/// Visits the service `name` and its dependencies, depth first, and reports cycles.
///
/// `path` holds the services that led to `name`. `visited` holds those whose dependencies have
/// all been visited and that need no second visit.
fn visit<'a>(
    cfg: &'a Config,
    name: &'a name::Service,
    path: &mut Vec<&'a name::Service>,
    visited: &mut BTreeSet<&'a name::Service>,
    node: &Node,
    findings: &mut Findings,
) {
    let Some(service) = cfg.services.get(name) else { return };
    if visited.contains(name) {
        return;
    }
    path.push(name);
    for dependency in &service.depends_on {
        match path.iter().position(|service| *service == dependency) {
            Some(start) => report_cycle(&path[start..], name, dependency, node, findings),
            None => visit(cfg, dependency, path, visited, node, findings),
        }
    }
    path.pop();
    visited.insert(name);
}

/// Reports a cycle, whose last dependency leads from `from` back to `to`.
fn report_cycle(
    cycle: &[&name::Service],
    from: &name::Service,
    to: &name::Service,
    node: &Node,
    findings: &mut Findings,
) {
    let names: Vec<&str> = cycle.iter().chain([&to]).map(|name| name.as_str()).collect();
    findings.add(
        node.mark_at(&["services", from.as_str(), "depends-on", to.as_str()]),
        format!("The dependencies {} form a cycle", names.join(" -> ")),
        format!("Remove `{to}` here, or break the cycle elsewhere"),
    );
}
