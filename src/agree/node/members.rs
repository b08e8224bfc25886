//! Membership: joining, probes and the comparison of memberships.

use std::{net, time};

use rand::RngExt;

use super::Node;
use crate::{
    agree::{
        probe::{self, Relay},
        store,
    },
    wire::gossip::{Body, Health, Member},
};

/// Minimum time between two comparisons of the membership, before jitter.
const MIN_SYNC_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two requests to join, before jitter, until a member and a configuration are known.
const JOIN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time for which a survey pings the processes that are not known to have the version in force.
pub(super) const SURVEY_DURATION: time::Duration = time::Duration::from_secs(30);

/// Maximum number of processes that a survey pings in one tick.
const MAX_SURVEY_PINGS_PER_TICK: usize = 64;

impl Node {
    pub(super) fn join_site(&mut self, now: time::Duration) {
        if now < self.next_join || (!self.membership.is_empty() && self.record.version > 0) {
            return;
        }
        self.next_join = now + store::jitter(JOIN_INTERVAL, &mut self.rng);
        let mut peers = self.seeds.clone();
        peers.extend(self.membership.sample(1, &mut self.rng));
        let me = self.membership.me().peers;
        for to in peers.into_iter().filter(|to| *to != me) {
            self.send(to, Body::Join);
        }
    }

    pub(super) fn send_probe(&mut self, action: probe::Action) {
        match action {
            probe::Action::Ping { member, seq } => {
                let to = member.peers;
                let outdated_belief = (member.health != Health::Alive).then_some(member);
                self.send_with(to, Body::Ping { seq }, outdated_belief);
            }
            probe::Action::IndirectPing { helper, target, seq } => {
                self.send(helper, Body::IndirectPing { seq, target });
            }
        }
    }

    pub(super) fn send_survey(&mut self, now: time::Duration) {
        if now >= self.survey_until {
            return;
        }
        let behind = self
            .membership
            .others()
            .filter(|(_, report)| report.is_none_or(|report| report.version < self.record.version));
        let mut peers: Vec<_> = behind.map(|(member, _)| member.peers).collect();
        if peers.len() > MAX_SURVEY_PINGS_PER_TICK {
            let first = self.rng.random_range(0..peers.len());
            peers.rotate_left(first);
            peers.truncate(MAX_SURVEY_PINGS_PER_TICK);
        }
        peers.into_iter().for_each(|to| self.send(to, Body::Ping { seq: 0 }));
    }

    pub(super) fn handle_ack(&mut self, now: time::Duration, seq: u64) {
        if let Some(Relay { requester: to, seq }) = self.failure_detector.receive_ack(now, seq) {
            self.send(to, Body::Ack { seq });
        }
    }

    pub(super) fn compare_members(
        &mut self,
        now: time::Duration,
        to: net::SocketAddr,
        theirs: u64,
    ) {
        if now < self.next_sync || theirs == self.membership.checksum() {
            return;
        }
        self.next_sync = now + store::jitter(MIN_SYNC_INTERVAL, &mut self.rng);
        self.send(to, Body::BucketChecksums(self.membership.buckets().to_vec()));
    }

    pub(super) fn send_differing(&mut self, to: net::SocketAddr, theirs: &[u32]) {
        let requested_buckets = self.membership.differing_buckets(theirs);
        if !requested_buckets.is_empty() {
            let members = self.membership.members_in(&requested_buckets);
            self.send(to, Body::Members { members, requested_buckets });
        }
    }

    pub(super) fn handle_members(
        &mut self,
        now: time::Duration,
        to: net::SocketAddr,
        members: &[Member],
        requested_buckets: &[u8],
    ) {
        for member in members {
            self.membership.merge_update(now, member);
        }
        if !requested_buckets.is_empty() {
            let members = self.membership.members_in(requested_buckets);
            self.send(to, Body::Members { members, requested_buckets: Vec::new() });
        }
    }
}
