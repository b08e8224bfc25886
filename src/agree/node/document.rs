//! Asking for a newer configuration and handing it on.

use std::{net, time};

use super::{FANOUT, Node};
use crate::{
    agree::{
        edit::{self, Edit},
        newer::Whom,
        record::Record,
    },
    wire::gossip::{Body, Digest},
};

impl Node {
    pub(super) fn heard(
        &mut self,
        now: time::Duration,
        from: Option<net::SocketAddr>,
        version: u64,
    ) {
        self.newer.note(from, version);
        self.ask_newer(now);
    }

    pub(super) fn ask_newer(&mut self, now: time::Duration) {
        let (teller, others) = match self.newer.ask(now, self.record.version) {
            None => return,
            Some(Whom::Teller(teller)) => (Some(teller), 0),
            Some(Whom::Both(teller)) => (Some(teller), 1),
            Some(Whom::Any) => (None, FANOUT),
        };
        let mut peers = self.roster.sample(others, &mut self.rng);
        peers.retain(|peer| Some(*peer) != teller);
        peers.extend(teller);
        peers.into_iter().for_each(|to| self.send(to, Body::RequestConfiguration { full: false }));
    }

    pub(super) fn teach(&mut self, to: net::SocketAddr, theirs: &Digest) {
        let older = theirs.version < self.record.version;
        let lacking =
            theirs.version == self.record.version && self.overlay.exceeds(&theirs.pending);
        if older || lacking {
            self.send(to, Body::DigestOnly);
        }
    }

    pub(super) fn send_document(&mut self, to: net::SocketAddr) {
        if self.record.version > 0 {
            self.send(to, Body::Configuration(Box::new(self.record.clone())));
        }
    }

    pub(super) fn send_newer(&mut self, to: net::SocketAddr, version: u64) {
        match self.edits.since(&self.record, version) {
            Some(edits) => {
                let rest = Box::new(self.record.without_text());
                self.send(to, Body::ConfigurationEdits { edits, rest });
            }
            None => self.send_document(to),
        }
    }

    pub(super) fn edit(&mut self, from: net::SocketAddr, edits: &[Edit], rest: Record) {
        match edit::replay(&self.record, edits, rest) {
            Some(record) => self.learn(record),
            None => self.send(from, Body::RequestConfiguration { full: true }),
        }
    }
}
