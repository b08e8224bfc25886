//! Who is there: joining, probes, and comparing rosters.

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

/// Least time between comparisons of the roster.
const SYNC_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time between asking seeds until somebody is known.
const JOIN_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time for which a survey goes on, and the most processes asked in a tick.
pub(super) const SURVEY: time::Duration = time::Duration::from_secs(30);
const SURVEY_PER_TICK: usize = 64;

impl Node {
    pub(super) fn join(&mut self, now: time::Duration) {
        if now < self.next_join || (!self.roster.is_empty() && self.record.version > 0) {
            return;
        }
        self.next_join = now + store::jitter(JOIN_PERIOD, &mut self.rng);
        let mut peers = self.seeds.clone();
        peers.extend(self.roster.sample(1, &mut self.rng));
        let me = self.roster.me().peers;
        for to in peers.into_iter().filter(|to| *to != me) {
            self.send(to, Body::Join);
        }
    }

    pub(super) fn probe(&mut self, action: probe::Action) {
        match action {
            probe::Action::Ping { member, seq } => {
                let to = member.peers;
                let doubted = (member.health != Health::Alive).then_some(member);
                self.send_with(to, Body::Ping { seq }, doubted);
            }
            probe::Action::PingFor { helper, target, seq } => {
                self.send(helper, Body::IndirectPing { seq, target });
            }
        }
    }

    pub(super) fn survey(&mut self, now: time::Duration) {
        if now >= self.survey_until {
            return;
        }
        let behind = self
            .roster
            .others()
            .filter(|(_, heard)| heard.is_none_or(|heard| heard.version < self.record.version));
        let mut peers: Vec<_> = behind.map(|(member, _)| member.peers).collect();
        if peers.len() > SURVEY_PER_TICK {
            let first = self.rng.random_range(0..peers.len());
            peers.rotate_left(first);
            peers.truncate(SURVEY_PER_TICK);
        }
        peers.into_iter().for_each(|to| self.send(to, Body::Ping { seq: 0 }));
    }

    pub(super) fn ack(&mut self, now: time::Duration, seq: u64) {
        if let Some(Relay { to, seq }) = self.probes.ack(now, seq) {
            self.send(to, Body::Ack { seq });
        }
    }

    pub(super) fn sync(&mut self, now: time::Duration, to: net::SocketAddr, theirs: u64) {
        if now < self.next_sync || theirs == self.roster.checksum() {
            return;
        }
        self.next_sync = now + store::jitter(SYNC_PERIOD, &mut self.rng);
        self.send(to, Body::BucketChecksums(self.roster.buckets().to_vec()));
    }

    pub(super) fn differ(&mut self, to: net::SocketAddr, theirs: &[u32]) {
        let want = self.roster.differing(theirs);
        if !want.is_empty() {
            let members = self.roster.members_of(&want);
            self.send(to, Body::Members { members, requested_buckets: want });
        }
    }

    pub(super) fn take_members(
        &mut self,
        now: time::Duration,
        to: net::SocketAddr,
        members: &[Member],
        want: &[u8],
    ) {
        for member in members {
            self.roster.merge(now, member);
        }
        if !want.is_empty() {
            let members = self.roster.members_of(want);
            self.send(to, Body::Members { members, requested_buckets: Vec::new() });
        }
    }
}
