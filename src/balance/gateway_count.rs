//! Number of running gateways, determined from their heartbeats in the store.

use std::{collections::BTreeMap, time};

use crate::name;

/// Time between two heartbeats of a gateway. It is long because each heartbeat costs a call to the
/// store, and a gateway that has ended only makes the others use less than their share for a while.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(6);
/// Time without a new heartbeat after which a gateway is taken to have ended: three intervals.
const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_secs(18);
/// Number of gateways assumed before the first count; larger than at any current site.
const ASSUMED_GATEWAYS: usize = 16;

/// Counts the gateways that sent a heartbeat recently.
#[derive(Debug, Default)]
pub struct GatewayCount {
    /// Version of each gateway's latest heartbeat, and when this process first saw it.
    heartbeats: BTreeMap<name::Host, (u64, time::Duration)>,
}

impl GatewayCount {
    /// Records the versions of the latest heartbeats of all gateways, read at `now`.
    pub fn update(&mut self, versions: BTreeMap<name::Host, u64>, now: time::Duration) {
        self.heartbeats.retain(|host, _| versions.contains_key(host));
        for (host, version) in versions {
            let latest = self.heartbeats.entry(host).or_insert((version, now));
            if latest.0 != version {
                *latest = (version, now);
            }
        }
    }

    /// Returns the number of running gateways; at least one.
    pub fn count(&self, now: time::Duration) -> usize {
        match self
            .heartbeats
            .values()
            .filter(|(_, seen_at)| *seen_at + HEARTBEAT_TIMEOUT >= now)
            .count()
        {
            0 if self.heartbeats.is_empty() => ASSUMED_GATEWAYS,
            count => count.max(1),
        }
    }
}
