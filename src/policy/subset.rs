//! Which servers an entry keeps in touch with, so that entries and servers form no full mesh.
//!
//! Rendezvous hashing of the entry's name against each server, an equal share
//! of every zone: no coordination, and a server that comes or goes changes
//! only its own place.

use std::collections::BTreeMap;

use crate::{name, policy::candidate};

/// Servers of one service that an entry keeps in touch with.
pub const SERVERS_PER_ENTRY: usize = 24;

/// Mixes two hashes into a rendezvous weight.
pub fn rendezvous_weight(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Names of the servers in the subset of the entry with hash `entry_hash`.
pub fn choose<'a>(
    entry_hash: u64,
    size: usize,
    candidates: impl Iterator<Item = &'a candidate::Candidate>,
) -> Vec<name::Server> {
    let mut zones: BTreeMap<&name::Zone, Vec<(u64, &name::Server)>> = BTreeMap::new();
    for candidate in candidates {
        let ranked = (rendezvous_weight(entry_hash, candidate.hash), &candidate.server);
        zones.entry(&candidate.zone).or_default().push(ranked);
    }
    let per_zone = size.div_ceil(zones.len().max(1));
    zones
        .into_values()
        .flat_map(|mut servers| {
            servers.sort_unstable_by(|a, b| b.cmp(a));
            servers.truncate(per_zone);
            servers
        })
        .map(|(_, server)| server.clone())
        .collect()
}
