//! Spelling of names: they stand in paths, headers and metrics.

use super::Config;
use crate::yaml::{Findings, Node};

/// Longest name, in bytes.
pub const NAME_BYTES: usize = 63;

/// Whether `name` may name a service, zone, server, workspace, region or host.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let first = name.bytes().next();
    first.is_some_and(|byte| byte.is_ascii_alphanumeric())
        && name.len() <= NAME_BYTES
        && name.bytes().all(plain)
}

/// What to write in place of a name that is not well spelt.
pub fn remedy() -> String {
    format!(
        "Use letters a to z, digits, `-`, `_` and `.`, beginning with a letter or digit, \
         at most {NAME_BYTES} bytes"
    )
}

/// Reports each name of `cfg` that is not well spelt.
pub fn check(cfg: &Config, node: &Node, out: &mut Findings) {
    for section in ["zones", "services", "servers", "workspaces"] {
        for name in node.keys(section).into_iter().filter(|name| !is_valid_name(name)) {
            out.add(node.mark_at(&[section, name]), format!("`{name}` is not a name"), remedy());
        }
    }
    let regions = cfg.zones.iter().filter(|(_, zone)| !zone.region.is_empty());
    for (name, zone) in regions.filter(|(_, zone)| !is_valid_name(&zone.region)) {
        let at = node.mark_at(&["zones", name.as_str(), "region"]);
        out.add(at, format!("`{}` is not a name", zone.region), remedy());
    }
}
