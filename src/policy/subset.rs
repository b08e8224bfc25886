//! Subset of servers that an entry sends requests to, which avoids a full mesh of connections.
//!
//! Each entry chooses an equal number of servers in every zone by rendezvous
//! hashing of its own name against each server. This needs no coordination, and
//! a server that is added or removed changes only its own place in a subset.

use std::collections::BTreeMap;

use crate::{name, policy::candidate};

/// Target size of an entry's subset, in servers of one service.
pub const SERVERS_PER_ENTRY: usize = 24;

/// Mixes two hashes into a rendezvous weight (the finalizer of SplitMix64).
pub fn rendezvous_weight(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the names of the servers in the subset of the entry with hash `entry_hash`. `size`
/// is rounded up to the same number of servers in every zone.
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
