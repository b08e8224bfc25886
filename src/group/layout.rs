//! Placement of a group's ranks: the host and the zone of each rank.

use serde::{Deserialize, Serialize};

/// The host and the zone of each rank, as small numbers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layout {
    /// Host of each rank.
    pub hosts: Vec<u16>,
    /// Zone of each rank.
    pub zones: Vec<u16>,
}

impl Layout {
    /// Creates a layout that assigns ranks to hosts in order, and splits the ranks into zones of
    /// equal size.
    pub fn regular(ranks: usize, ranks_per_host: usize, zones: usize) -> Self {
        let hosts = (0..ranks).map(|rank| (rank / ranks_per_host) as u16).collect();
        let zones = (0..ranks).map(|rank| (rank * zones / ranks) as u16).collect();
        Self { hosts, zones }
    }

    /// Returns the number of zones in which at least one of `ranks` runs; zone numbers are
    /// below 64.
    pub fn zones_of(&self, ranks: impl Iterator<Item = u16>) -> u32 {
        ranks.fold(0u64, |seen, rank| seen | 1 << self.zones[usize::from(rank)]).count_ones()
    }
}
