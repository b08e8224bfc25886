//! Checks of the shape of an expert group.

use super::{Group, check};
use crate::yaml::{Findings, Node};

/// Most ranks of one group.
const RANKS: u64 = 4_096;

/// Most experts of one layer.
const EXPERTS: u64 = 4_096;

/// Most layers with experts.
const LAYERS: u64 = 1_024;

/// Largest weights of one expert, in bytes.
const EXPERT_BYTES: u64 = 1 << 40;

/// Checks the shape of the service at `place`.
pub fn check(group: &Group, place: &[&str], node: &Node, out: &mut Findings) {
    let bounds = [
        ("ranks", u64::from(group.ranks), RANKS),
        ("experts", u64::from(group.experts), EXPERTS),
        ("layers", u64::from(group.layers), LAYERS),
        ("slots-per-rank", u64::from(group.slots_per_rank), EXPERTS),
        ("expert-bytes", group.expert_bytes, EXPERT_BYTES),
    ];
    for (key, value, most) in bounds {
        let place = [place, &["group", key]].concat();
        check::within(value, most, &format!("The number `{key}`"), &place, node, out);
    }
    room(group, place, node, out);
}

fn room(group: &Group, place: &[&str], node: &Node, out: &mut Findings) {
    let slots = u64::from(group.ranks) * u64::from(group.slots_per_rank);
    let experts = u64::from(group.experts);
    match slots {
        0 => {}
        _ if experts > slots => out.add(
            node.mark_at(&[place, &["group", "experts"]].concat()),
            format!("{experts} experts do not fit {slots} slots (ranks times slots-per-rank)"),
            format!("Raise `slots-per-rank` to at least {}", experts.div_ceil(group.ranks.into())),
        ),
        _ if u64::from(group.slots_per_rank) > experts => out.add(
            node.mark_at(&[place, &["group", "slots-per-rank"]].concat()),
            format!(
                "{} slots on a rank hold {experts} experts more than once",
                group.slots_per_rank
            ),
            format!("Lower `slots-per-rank` to at most {experts}"),
        ),
        _ => {}
    }
}
