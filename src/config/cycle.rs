//! Dependencies between services: each must exist, and none may lead back.

use std::collections::BTreeSet;

use super::Config;
use crate::{
    name,
    yaml::{Findings, Node},
};

/// Reports dependencies on what is no service, and each cycle once.
pub fn check(cfg: &Config, node: &Node, out: &mut Findings) {
    missing(cfg, node, out);
    let mut done = BTreeSet::new();
    for name in cfg.services.keys() {
        let mut trail = Vec::new();
        walk(cfg, name, &mut trail, &mut done, node, out);
    }
}

fn missing(cfg: &Config, node: &Node, out: &mut Findings) {
    let services = node.keys("services");
    for (name, service) in &cfg.services {
        for on in service.depends_on.iter().filter(|on| !services.contains(&on.as_str())) {
            out.add(
                node.mark_at(&["services", name.as_str(), "depends-on", on.as_str()]),
                format!("`{name}` depends on `{on}`, which is no service"),
                "Name a service that stands below `services:`",
            );
        }
    }
}

/// Goes down from `name`; `trail` is the way there, `done` what needs no second visit.
fn walk<'a>(
    cfg: &'a Config,
    name: &'a name::Service,
    trail: &mut Vec<&'a name::Service>,
    done: &mut BTreeSet<&'a name::Service>,
    node: &Node,
    out: &mut Findings,
) {
    let Some(service) = cfg.services.get(name) else { return };
    if done.contains(name) {
        return;
    }
    trail.push(name);
    for on in &service.depends_on {
        match trail.iter().position(|had| *had == on) {
            Some(from) => report(&trail[from..], name, on, node, out),
            None => walk(cfg, on, trail, done, node, out),
        }
    }
    trail.pop();
    done.insert(name);
}

fn report(
    round: &[&name::Service],
    from: &name::Service,
    to: &name::Service,
    node: &Node,
    out: &mut Findings,
) {
    let names: Vec<&str> = round.iter().chain([&to]).map(|name| name.as_str()).collect();
    out.add(
        node.mark_at(&["services", from.as_str(), "depends-on", to.as_str()]),
        format!("The dependencies {} lead back to their beginning", names.join(" -> ")),
        format!("Remove `{to}` here, or break the circle elsewhere"),
    );
}
