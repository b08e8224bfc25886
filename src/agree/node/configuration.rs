//! Requests for a newer configuration, and its distribution.

use std::{net, time};

use super::{FANOUT, Node};
use crate::{
    agree::{
        edit::{self, Edit},
        fetch::Recipients,
        record::Record,
    },
    wire::gossip::{Body, Digest},
};

impl Node {
    pub(super) fn handle_version(
        &mut self,
        now: time::Duration,
        from: Option<net::SocketAddr>,
        version: u64,
    ) {
        self.fetch.record_version(from, version);
        self.request_newer(now);
    }

    pub(super) fn request_newer(&mut self, now: time::Duration) {
        let (announcer, others) = match self.fetch.next_recipients(now, self.record.version) {
            None => return,
            Some(Recipients::Announcer(announcer)) => (Some(announcer), 0),
            Some(Recipients::AnnouncerAndOther(announcer)) => (Some(announcer), 1),
            Some(Recipients::Random) => (None, FANOUT),
        };
        let mut peers = self.membership.sample(others, &mut self.rng);
        peers.retain(|peer| Some(*peer) != announcer);
        peers.extend(announcer);
        peers.into_iter().for_each(|to| self.send(to, Body::RequestConfiguration { full: false }));
    }

    /// Sends this process's digest to a peer that has an older version or lacks a pending order.
    /// The peer takes the orders from the digest and requests the configuration.
    pub(super) fn notify_if_behind(&mut self, to: net::SocketAddr, theirs: &Digest) {
        let is_older = theirs.version < self.record.version;
        let lacks_order =
            theirs.version == self.record.version && self.overlay.has_more_than(&theirs.pending);
        if is_older || lacks_order {
            self.send(to, Body::DigestOnly);
        }
    }

    pub(super) fn send_configuration(&mut self, to: net::SocketAddr) {
        if self.record.version > 0 {
            self.send(to, Body::Configuration(Box::new(self.record.clone())));
        }
    }

    pub(super) fn send_changes(&mut self, to: net::SocketAddr, version: u64) {
        match self.edits.edits_since(&self.record, version) {
            Some(edits) => {
                let rest = Box::new(self.record.without_text());
                self.send(to, Body::ConfigurationEdits { edits, rest });
            }
            None => self.send_configuration(to),
        }
    }

    pub(super) fn apply_edits(&mut self, from: net::SocketAddr, edits: &[Edit], rest: Record) {
        match edit::apply_all(&self.record, edits, rest) {
            Some(record) => self.accept_record(record),
            None => self.send(from, Body::RequestConfiguration { full: true }),
        }
    }
}
