//! One process's part in the agreement: input in, typed output out, no I/O.

use std::{collections::BTreeMap, net, time};

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    agree::{
        desk::Desk,
        edit::Edits,
        newer::Newer,
        overlay::Overlay,
        probe::{Probes, Relay},
        record::{Effective, Op, Record},
        roster::Roster,
        status::{self, Status},
        store::{self, Pace},
    },
    name,
    wire::gossip::{self, Body, Digest, Member, Message},
};

mod document;
mod members;
mod orders;
mod table;

pub use crate::agree::event::{Input, Output, Start, TICK};

/// Peers told of news in each push.
const FANOUT: usize = 3;

/// Pushes of each piece of news, one a tick.
const PUSHES: u32 = 3;

/// The state machine.
#[derive(Clone, Debug)]
pub struct Node {
    seeds: Vec<net::SocketAddr>,
    rng: Pcg64,
    record: Record,
    edits: Edits,
    overlay: Overlay,
    roster: Roster,
    probes: Probes,
    desk: Desk,
    poll: Pace,
    list: Pace,
    waiting: BTreeMap<Op, time::Duration>,
    newer: Newer,
    next_join: time::Duration,
    next_sync: time::Duration,
    pushes: u32,
    survey_until: time::Duration,
    out: Vec<Output>,
}

impl Node {
    /// Starts knowing only itself and the seeds.
    pub fn new(start: Start, now: time::Duration) -> Self {
        let mut rng = Pcg64::seed_from_u64(start.seed);
        let first = now + store::jitter(time::Duration::from_millis(300), &mut rng);
        Self {
            seeds: start.seeds,
            record: Record::default(),
            edits: Edits::default(),
            overlay: Overlay::new(start.me.host.clone()),
            roster: Roster::new(start.me, now),
            probes: Probes::new(now, &mut rng),
            desk: Desk::default(),
            poll: Pace::new(first),
            list: Pace::new(first),
            waiting: BTreeMap::new(),
            newer: Newer::default(),
            next_join: now,
            next_sync: now,
            pushes: 0,
            survey_until: now,
            out: Vec::new(),
            rng,
        }
    }

    /// Takes one input and gives what is to be done.
    pub fn handle(&mut self, now: time::Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.message(now, message),
            Input::Store(answer) => self.store(now, answer),
            Input::Operator { op, order } => self.operator(now, op, order),
            Input::Heard { from, version } => self.heard(now, from, version),
            Input::Survey => self.survey_until = now + members::SURVEY,
            Input::Leave => self.leave(now),
        }
        if let Some(ask) = self.desk.next(now) {
            self.out.push(Output::Store(ask));
        }
        if self.roster.take_changed() {
            self.out.push(Output::Members);
        }
        std::mem::take(&mut self.out)
    }

    /// What is in force here.
    pub fn effective(&self) -> Effective {
        Effective { committed: self.record.committed(), pending: self.overlay.list() }
    }

    /// The committed row as known here.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// All known processes, with this one.
    pub fn members(&self) -> Vec<Member> {
        self.roster.members().collect()
    }

    /// What operators see.
    pub fn status(&self, now: time::Duration) -> Status {
        let failing = self.poll.failing();
        status::of(now, &self.record, &self.overlay, &self.roster, failing)
    }

    fn tick(&mut self, now: time::Duration) {
        self.join(now);
        self.push();
        self.ask_newer(now);
        self.roster.expire(now);
        for action in self.probes.tick(now, &mut self.roster, &mut self.rng) {
            self.probe(action);
        }
        self.ask_store(now);
        self.make_durable(now);
        self.answer_patient(now);
        self.survey(now);
    }

    fn push(&mut self) {
        if self.pushes == 0 {
            return;
        }
        self.pushes -= 1;
        for to in self.roster.sample(FANOUT, &mut self.rng) {
            self.send(to, Body::DigestOnly);
        }
    }

    fn leave(&mut self, now: time::Duration) {
        self.roster.leave(now);
        self.pushes = PUSHES;
    }

    fn message(&mut self, now: time::Duration, message: Message) {
        let Message { from, digest, updates, body } = message;
        let to = from.peers;
        let doubted = self.roster.hear(now, &from, digest.version);
        for member in updates {
            self.roster.merge(now, &member);
        }
        self.take_pending(now, &from.host, &digest);
        match body {
            Body::Ping { seq } => self.send_with(to, Body::Ack { seq }, doubted),
            Body::Ack { seq } => self.ack(now, seq),
            Body::IndirectPing { seq, target } => {
                let seq = self.probes.relay(now, target, Relay { to, seq });
                self.send(target, Body::Ping { seq });
            }
            Body::DigestOnly if doubted.is_some() => self.send_with(to, Body::DigestOnly, doubted),
            Body::DigestOnly => {}
            Body::RequestConfiguration { .. } if digest.version >= self.record.version => {}
            Body::RequestConfiguration { full: false } => self.send_newer(to, digest.version),
            Body::RequestConfiguration { full: true } => self.send_document(to),
            Body::Configuration(record) => self.learn(*record),
            Body::ConfigurationEdits { rest, .. } if rest.version <= self.record.version => {}
            Body::ConfigurationEdits { edits, rest } => self.edit(to, &edits, *rest),
            Body::Join => {
                self.send_document(to);
                let members = self.roster.members().collect();
                self.send(to, Body::Members { members, requested_buckets: Vec::new() });
            }
            Body::BucketChecksums(theirs) => self.differ(to, &theirs),
            Body::Members { members, requested_buckets: want } => {
                self.take_members(now, to, &members, &want)
            }
        }
        self.heard(now, Some(to), digest.version);
        self.teach(to, &digest);
        self.sync(now, to, digest.membership_checksum);
    }

    /// Takes a committed row; the highest version wins and nothing goes back.
    fn learn(&mut self, record: Record) {
        if record.version <= self.record.version {
            return;
        }
        self.edits.note(&self.record, &record);
        self.record = record;
        self.overlay.settle(&self.record);
        self.adopt();
    }

    fn adopt(&mut self) {
        self.pushes = PUSHES;
        let effective = self.effective();
        self.out.push(Output::Adopt(effective));
    }

    fn me(&self) -> name::Host {
        self.roster.me().host.clone()
    }

    fn send(&mut self, to: net::SocketAddr, body: Body) {
        self.send_with(to, body, None);
    }

    fn send_with(&mut self, to: net::SocketAddr, body: Body, doubted: Option<Member>) {
        let mut updates = self.roster.take_news();
        updates.truncate(gossip::MAX_UPDATES - usize::from(doubted.is_some()));
        updates.extend(doubted);
        let digest = Digest {
            version: self.record.version,
            membership_checksum: self.roster.checksum(),
            pending: self.overlay.list(),
        };
        let from = self.roster.me().clone();
        self.out.push(Output::Send { to, message: Message { from, digest, updates, body } });
    }
}
