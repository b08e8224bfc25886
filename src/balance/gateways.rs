//! The running gateways, determined from their heartbeats in the store, and how they divide the
//! limits of a server among themselves.

use std::{collections::BTreeMap, time};

use xxhash_rust::xxh3;

use crate::name;

/// Time between two heartbeats of a gateway. It is long because each heartbeat costs a call to the
/// store, and a gateway that has ended only makes the others use less than their share for a while.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(12);
/// Time from a gateway's first heartbeat to its second. All gateways of a site start together, and
/// the first read does not show those that start last.
pub const FIRST_HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Time without a new heartbeat after which a gateway is taken to have ended: two and a half
/// intervals.
const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Number of gateways assumed before the first read of heartbeats; larger than at any current site.
const ASSUMED_GATEWAYS: usize = 64;

/// Heartbeat of a gateway as this process last read it.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    version: u64,
    /// Time at which this process first read this version.
    read_at: time::Duration,
}

/// The gateways that sent a heartbeat recently, one of which is this process.
#[derive(Debug)]
pub struct GatewaySet {
    own_hash: u64,
    heartbeats: BTreeMap<name::Host, Heartbeat>,
    /// Hashes of the other running gateways.
    others: Vec<u64>,
    /// Number of changes of `others` so far.
    generation: u64,
}

impl GatewaySet {
    /// Creates the set for the gateway on `host`, at first without known heartbeats.
    pub fn new(host: &name::Host) -> Self {
        // Until heartbeats are read, stand-ins for the other gateways take part of each limit.
        let others =
            (1..ASSUMED_GATEWAYS as u64).map(|n| xxh3::xxh3_64(&n.to_le_bytes())).collect();
        Self { own_hash: hash(host.as_str()), heartbeats: BTreeMap::new(), others, generation: 0 }
    }

    /// Records the versions of the latest heartbeats of all gateways, read at `now`. A gateway whose
    /// heartbeat is missing still counts until the timeout: the store may have been restored from a
    /// copy that lacks it.
    pub fn update(&mut self, versions: BTreeMap<name::Host, u64>, now: time::Duration) {
        for (host, version) in versions {
            let latest = self.heartbeats.entry(host).or_insert(Heartbeat { version, read_at: now });
            if latest.version != version {
                *latest = Heartbeat { version, read_at: now };
            }
        }
        // Only a read shows that a heartbeat is missing: while the store is away, the set stays.
        self.heartbeats.retain(|_, heartbeat| heartbeat.read_at + HEARTBEAT_TIMEOUT >= now);
        let others: Vec<u64> = self
            .heartbeats
            .keys()
            .map(|host| hash(host.as_str()))
            .filter(|hash| *hash != self.own_hash)
            .collect();
        if others != self.others {
            self.others = others;
            self.generation += 1;
        }
    }

    /// Returns the number of running gateways, with this one.
    pub fn count(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns a number that changes with the set, and so with the order of gateways at servers.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the position of this gateway, from 0, in the order in which gateways share the
    /// limits of `server`. Each server has an order of its own, which all gateways agree on, and a
    /// gateway that starts or ends moves the others by at most one position.
    pub fn position(&self, server: &name::Server) -> usize {
        let server = hash(server.as_str());
        let own = mix(self.own_hash, server);
        self.others.iter().filter(|other| mix(**other, server) < own).count()
    }
}

/// Returns the part of a whole-number `limit` that is left to the gateway at `position` of
/// `gateways`: the parts of all gateways add up to the limit.
pub fn part_of(limit: u32, gateways: usize, position: usize) -> u32 {
    let gateways = gateways.max(1) as u32;
    limit / gateways + u32::from((position as u32) < limit % gateways)
}

fn hash(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}

fn mix(gateway: u64, server: u64) -> u64 {
    xxh3::xxh3_64_with_seed(&gateway.to_le_bytes(), server)
}
