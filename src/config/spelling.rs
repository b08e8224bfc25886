//! Checks of the spelling of names. Names are restricted because they occur in paths, headers and
//! metrics.

use super::Config;
use crate::yaml::{Findings, Node};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Whether `name` is valid as the name of a service, zone, server, workspace, region or host.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let first = name.bytes().next();
    first.is_some_and(|byte| byte.is_ascii_alphanumeric())
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(is_allowed)
}

/// The remedy in the finding for an invalid name.
pub fn remedy() -> String {
    format!(
        "Use ASCII letters, digits, `-`, `_` and `.`, beginning with a letter or digit, \
         at most {MAX_NAME_BYTES} bytes"
    )
}

/// Reports each invalid name in `cfg`, which was read from the tree `node`.
pub fn check(cfg: &Config, node: &Node, findings: &mut Findings) {
    for section in ["zones", "services", "servers", "workspaces"] {
        for name in node.keys(section).into_iter().filter(|name| !is_valid_name(name)) {
            findings.add(
                node.mark_at(&[section, name]),
                format!("`{name}` is not a valid name"),
                remedy(),
            );
        }
    }
    let regions = cfg.zones.iter().filter(|(_, zone)| !zone.region.is_empty());
    for (name, zone) in regions.filter(|(_, zone)| !is_valid_name(&zone.region)) {
        let mark = node.mark_at(&["zones", name.as_str(), "region"]);
        findings.add(mark, format!("`{}` is not a valid name", zone.region), remedy());
    }
}
