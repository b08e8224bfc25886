//! Checks of the dimensions of an expert group.

use super::{Group, check};
use crate::yaml::{Findings, Node};

/// Maximum number of ranks in one group.
const MAX_RANKS: u64 = 4_096;

/// Maximum number of experts in one layer.
const MAX_EXPERTS: u64 = 4_096;

/// Maximum number of layers with experts.
const MAX_LAYERS: u64 = 1_024;

/// Maximum size of one expert's weights, in bytes.
const MAX_EXPERT_BYTES: u64 = 1 << 40;

/// Checks the dimensions of the service at `key_path` in the tree `node`.
pub fn check(group: &Group, key_path: &[&str], node: &Node, findings: &mut Findings) {
    let bounds = [
        ("ranks", u64::from(group.ranks), MAX_RANKS),
        ("experts", u64::from(group.experts), MAX_EXPERTS),
        ("layers", u64::from(group.layers), MAX_LAYERS),
        ("slots-per-rank", u64::from(group.slots_per_rank), MAX_EXPERTS),
        ("expert-bytes", group.expert_bytes, MAX_EXPERT_BYTES),
    ];
    for (key, value, max) in bounds {
        let key_path = [key_path, &["group", key]].concat();
        check::check_range(value, max, &format!("The number `{key}`"), &key_path, node, findings);
    }
    check_slots(group, key_path, node, findings);
}

fn check_slots(group: &Group, key_path: &[&str], node: &Node, findings: &mut Findings) {
    let slots = u64::from(group.ranks) * u64::from(group.slots_per_rank);
    let experts = u64::from(group.experts);
    match slots {
        0 => {}
        _ if experts > slots => findings.add(
            node.mark_at(&[key_path, &["group", "experts"]].concat()),
            format!("{experts} experts do not fit into {slots} slots (ranks times slots-per-rank)"),
            format!("Raise `slots-per-rank` to at least {}", experts.div_ceil(group.ranks.into())),
        ),
        _ if u64::from(group.slots_per_rank) > experts => findings.add(
            node.mark_at(&[key_path, &["group", "slots-per-rank"]].concat()),
            format!(
                "{} slots on each rank are more than the {experts} experts of a layer",
                group.slots_per_rank
            ),
            format!("Lower `slots-per-rank` to at most {experts}"),
        ),
        _ => {}
    }
}
