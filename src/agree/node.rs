//! One process's part in the agreement: input in, typed output out, no I/O.

use std::{collections::BTreeMap, net, time};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    agree::{
        change::{self, Job, Order, Outcome},
        desk::{Desk, Finished},
        edit::{self, Edit, Edits},
        newer::{Newer, Whom},
        overlay::Overlay,
        probe::{self, Probes, Relay},
        record::{Effective, Op, Pending, Record, Target},
        roster::Roster,
        status::{self, Status},
        store::{self, Ask, Pace},
    },
    name, platform,
    wire::gossip::{self, Body, Digest, Health, Member, Message},
};

pub use crate::agree::event::{Input, Output, Start, TICK};

/// Peers told of news in each push.
const FANOUT: usize = 3;

/// Pushes of each piece of news, one a tick.
const PUSHES: u32 = 3;

/// Least time between comparisons of the roster.
const SYNC_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time between asking seeds until somebody is known.
const JOIN_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Period of polls for one process, and what each process of the site adds.
const POLL_LEAST: time::Duration = time::Duration::from_secs(10);
const POLL_MOST: time::Duration = time::Duration::from_secs(60);
const POLL_PER_PROCESS: time::Duration = time::Duration::from_millis(100);
const POLL_ISOLATED: time::Duration = time::Duration::from_secs(5);

/// Period of reads of the host list while nobody else is known.
const LIST_ALONE: time::Duration = time::Duration::from_secs(1);

/// Time after which an order to take out that is not yet durable is answered.
const OUT_PATIENCE: time::Duration = time::Duration::from_secs(1);

/// Time for which a survey goes on, and the most processes asked in a tick.
const SURVEY: time::Duration = time::Duration::from_secs(30);
const SURVEY_PER_TICK: usize = 64;

/// The state machine.
#[derive(Clone, Debug)]
pub struct Node {
    seeds: Vec<net::SocketAddr>,
    rng: Pcg64,
    record: Record,
    edits: Edits,
    polled: Option<platform::Etag>,
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
            polled: None,
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
            Input::Survey => self.survey_until = now + SURVEY,
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

    fn join(&mut self, now: time::Duration) {
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

    fn push(&mut self) {
        if self.pushes == 0 {
            return;
        }
        self.pushes -= 1;
        for to in self.roster.sample(FANOUT, &mut self.rng) {
            self.send(to, Body::News);
        }
    }

    fn probe(&mut self, action: probe::Action) {
        match action {
            probe::Action::Ping { member, seq } => {
                let to = member.peers;
                let doubted = (member.health != Health::Alive).then_some(member);
                self.send_with(to, Body::Ping { seq }, doubted);
            }
            probe::Action::PingFor { helper, target, seq } => {
                self.send(helper, Body::PingFor { seq, target });
            }
        }
    }

    fn ask_store(&mut self, now: time::Duration) {
        if self.probes.is_isolated(now) {
            self.poll.hurry(now, POLL_ISOLATED, &mut self.rng);
            self.list.hurry(now, POLL_ISOLATED, &mut self.rng);
        }
        if self.roster.is_empty() {
            self.list.hurry(now, LIST_ALONE, &mut self.rng);
        }
        if self.poll.start(now) {
            self.out.push(Output::Store(Ask::Poll { known: self.polled.clone() }));
        }
        if self.list.start(now) {
            self.out.push(Output::Store(Ask::List));
        }
    }

    fn make_durable(&mut self, now: time::Duration) {
        let Some(pending) = self.overlay.due(now, self.roster.len(), &mut self.rng) else { return };
        if !self.desk.has(pending.op) {
            self.desk.push(now, job(pending.op, pending.by, Order::Out(pending.target)));
        }
    }

    fn answer_patient(&mut self, now: time::Duration) {
        let due: Vec<Op> = self
            .waiting
            .iter()
            .filter(|(_, since)| now >= **since + OUT_PATIENCE)
            .map(|(op, _)| *op)
            .collect();
        for op in due {
            self.waiting.remove(&op);
            let outcome = match self.record.version_of(op) {
                Some(version) => Outcome::Committed { version },
                None => Outcome::NotDurable { held_by: self.overlay.held_by(op) },
            };
            self.out.push(Output::Answer { op, outcome });
        }
    }

    fn survey(&mut self, now: time::Duration) {
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
            Body::PingFor { seq, target } => {
                let seq = self.probes.relay(now, target, Relay { to, seq });
                self.send(target, Body::Ping { seq });
            }
            Body::News if doubted.is_some() => self.send_with(to, Body::News, doubted),
            Body::News => {}
            Body::Want { .. } if digest.version >= self.record.version => {}
            Body::Want { whole: false } => self.send_newer(to, digest.version),
            Body::Want { whole: true } => self.send_document(to),
            Body::Document(record) => self.learn(*record),
            Body::Edited { rest, .. } if rest.version <= self.record.version => {}
            Body::Edited { edits, rest } => self.edit(to, &edits, *rest),
            Body::Join => {
                self.send_document(to);
                let members = self.roster.members().collect();
                self.send(to, Body::Members { members, want: Vec::new() });
            }
            Body::Buckets(theirs) => self.differ(to, &theirs),
            Body::Members { members, want } => self.take_members(now, to, &members, &want),
        }
        self.heard(now, Some(to), digest.version);
        self.teach(to, &digest);
        self.sync(now, to, digest.roster);
    }

    fn take_pending(&mut self, now: time::Duration, host: &name::Host, digest: &Digest) {
        let site = self.roster.len();
        let mut news = false;
        for pending in &digest.pending {
            let settled = self.record.is_settled(pending.op);
            news |= !settled && self.overlay.insert(now, pending, site, &mut self.rng);
        }
        self.overlay.note(host, &digest.pending);
        if news {
            self.adopt();
        }
    }

    fn ack(&mut self, now: time::Duration, seq: u64) {
        if let Some(Relay { to, seq }) = self.probes.ack(now, seq) {
            self.send(to, Body::Ack { seq });
        }
    }

    fn heard(&mut self, now: time::Duration, from: Option<net::SocketAddr>, version: u64) {
        self.newer.note(from, version);
        self.ask_newer(now);
    }

    fn ask_newer(&mut self, now: time::Duration) {
        let (teller, others) = match self.newer.ask(now, self.record.version) {
            None => return,
            Some(Whom::Teller(teller)) => (Some(teller), 0),
            Some(Whom::Both(teller)) => (Some(teller), 1),
            Some(Whom::Any) => (None, FANOUT),
        };
        let mut peers = self.roster.sample(others, &mut self.rng);
        peers.retain(|peer| Some(*peer) != teller);
        peers.extend(teller);
        peers.into_iter().for_each(|to| self.send(to, Body::Want { whole: false }));
    }

    fn teach(&mut self, to: net::SocketAddr, theirs: &Digest) {
        let older = theirs.version < self.record.version;
        let lacking =
            theirs.version == self.record.version && self.overlay.exceeds(&theirs.pending);
        if older || lacking {
            self.send(to, Body::News);
        }
    }

    fn send_document(&mut self, to: net::SocketAddr) {
        if self.record.version > 0 {
            self.send(to, Body::Document(Box::new(self.record.clone())));
        }
    }

    fn send_newer(&mut self, to: net::SocketAddr, version: u64) {
        match self.edits.since(&self.record, version) {
            Some(edits) => {
                let rest = Box::new(self.record.without_text());
                self.send(to, Body::Edited { edits, rest });
            }
            None => self.send_document(to),
        }
    }

    fn edit(&mut self, from: net::SocketAddr, edits: &[Edit], rest: Record) {
        match edit::replay(&self.record, edits, rest) {
            Some(record) => self.learn(record),
            None => self.send(from, Body::Want { whole: true }),
        }
    }

    fn sync(&mut self, now: time::Duration, to: net::SocketAddr, theirs: u64) {
        if now < self.next_sync || theirs == self.roster.checksum() {
            return;
        }
        self.next_sync = now + store::jitter(SYNC_PERIOD, &mut self.rng);
        self.send(to, Body::Buckets(self.roster.buckets().to_vec()));
    }

    fn differ(&mut self, to: net::SocketAddr, theirs: &[u32]) {
        let want = self.roster.differing(theirs);
        if !want.is_empty() {
            let members = self.roster.members_of(&want);
            self.send(to, Body::Members { members, want });
        }
    }

    fn take_members(
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
            self.send(to, Body::Members { members, want: Vec::new() });
        }
    }

    fn store(&mut self, now: time::Duration, answer: store::Answer) {
        match answer {
            store::Answer::Poll(row) => {
                self.poll.end(now, row.is_ok(), self.period(now), &mut self.rng);
                if let Ok(platform::Newer::Row(row)) = row {
                    self.polled(row.as_ref());
                }
            }
            store::Answer::List(list) => {
                self.list.end(now, list.is_ok(), self.period(now), &mut self.rng);
                if let Ok(list) = list {
                    self.roster.list(now, &list);
                }
            }
            answer => {
                if let Some(finished) = self.desk.answer(now, answer, &mut self.rng) {
                    self.finish(finished);
                }
            }
        }
    }

    fn polled(&mut self, row: Option<&platform::Row>) {
        if let Some(record) = change::parse(row) {
            self.polled = row.map(|row| row.etag.clone());
            self.learn(record);
        }
    }

    fn period(&self, now: time::Duration) -> time::Duration {
        match self.probes.is_isolated(now) {
            true => POLL_ISOLATED,
            false => (POLL_PER_PROCESS * self.roster.len() as u32).clamp(POLL_LEAST, POLL_MOST),
        }
    }

    fn finish(&mut self, finished: Finished) {
        let Finished { op, outcome, record } = finished;
        if let Some(record) = record {
            self.learn(record);
        }
        match (&outcome, self.overlay.held_by(op)) {
            (Outcome::Committed { .. }, _) | (_, 0) => {
                self.waiting.remove(&op);
                self.out.push(Output::Answer { op, outcome });
            }
            _ => {}
        }
    }

    fn operator(&mut self, now: time::Duration, op: Op, order: Order) {
        match order {
            Order::Out(target) if self.overlay.is_full() => {
                self.desk.push(now, job(op, self.me(), Order::Out(target)));
            }
            Order::Out(target) => self.take_out(now, op, target),
            Order::In(target) => {
                let overridden = self.overlay.on(&target);
                let job = job(op, self.me(), Order::In(target));
                self.desk.push(now, Job { overridden, ..job });
            }
            Order::Apply { .. } => {
                let base = Some(self.record.version).filter(|version| *version > 0);
                let job = job(op, self.me(), order);
                self.desk.push(now, Job { base, ..job });
            }
        }
    }

    fn take_out(&mut self, now: time::Duration, op: Op, target: Target) {
        let pending = Pending { op, target: target.clone(), by: self.me() };
        self.overlay.insert(now, &pending, self.roster.len(), &mut self.rng);
        self.waiting.insert(op, now);
        self.desk.push(now, job(op, self.me(), Order::Out(target)));
        self.adopt();
        self.push();
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
        updates.truncate(gossip::UPDATES - usize::from(doubted.is_some()));
        updates.extend(doubted);
        let digest = Digest {
            version: self.record.version,
            roster: self.roster.checksum(),
            pending: self.overlay.list(),
        };
        let from = self.roster.me().clone();
        self.out.push(Output::Send { to, message: Message { from, digest, updates, body } });
    }
}

fn job(op: Op, by: name::Host, order: Order) -> Job {
    Job { op, by, order, overridden: Vec::new(), base: None }
}
