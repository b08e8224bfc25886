//! State machine of one process's part in the agreement, from typed inputs to typed outputs.

use std::{collections::BTreeMap, net, time};

use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::{
    agree::{
        edit::EditLog,
        fetch::ConfigFetch,
        membership::Membership,
        order_queue::OrderQueue,
        overlay::Overlay,
        probe::{FailureDetector, Relay},
        record::{Effective, OrderId, Record},
        status::{self, Status},
        store::{self, CallSchedule},
    },
    name,
    wire::gossip::{self, Body, Digest, Member, Message},
};

mod configuration;
mod members;
mod orders;
mod table;

pub use crate::agree::event::{Input, Output, Start, TICK};

/// Number of peers that each push sends this process's digest to.
const FANOUT: usize = 3;

/// Number of pushes after each change, one per tick.
const PUSHES_PER_UPDATE: u32 = 3;

/// State machine of one process.
#[derive(Clone, Debug)]
pub struct Node {
    seeds: Vec<net::SocketAddr>,
    rng: Pcg64,
    record: Record,
    edits: EditLog,
    overlay: Overlay,
    membership: Membership,
    failure_detector: FailureDetector,
    orders: OrderQueue,
    poll_schedule: CallSchedule,
    list_schedule: CallSchedule,
    /// Orders to take something out whose operator has not been answered, with their time of
    /// receipt.
    unanswered: BTreeMap<OrderId, time::Duration>,
    fetch: ConfigFetch,
    next_join: time::Duration,
    next_sync: time::Duration,
    /// Pushes still to send for the latest change.
    pushes_left: u32,
    survey_until: time::Duration,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a process that knows only itself and the seeds.
    pub fn new(start: Start, now: time::Duration) -> Self {
        let mut rng = Pcg64::seed_from_u64(start.seed);
        let first_call = now + store::jitter(time::Duration::from_millis(300), &mut rng);
        Self {
            seeds: start.seeds,
            record: Record::default(),
            edits: EditLog::default(),
            overlay: Overlay::new(start.me.host.clone()),
            membership: Membership::new(start.me, now),
            failure_detector: FailureDetector::new(now, &mut rng),
            orders: OrderQueue::default(),
            poll_schedule: CallSchedule::new(first_call),
            list_schedule: CallSchedule::new(first_call),
            unanswered: BTreeMap::new(),
            fetch: ConfigFetch::default(),
            next_join: now,
            next_sync: now,
            pushes_left: 0,
            survey_until: now,
            outputs: Vec::new(),
            rng,
        }
    }

    /// Handles one input and returns the actions to take.
    pub fn handle(&mut self, now: time::Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.handle_message(now, message),
            Input::Store(answer) => self.handle_answer(now, answer),
            Input::Operator { op, order } => self.handle_order(now, op, order),
            Input::VersionReceived { from, version } => self.handle_version(now, from, version),
            Input::Survey => self.survey_until = now + members::SURVEY_DURATION,
            Input::Leave => self.leave(now),
        }
        if let Some(call) = self.orders.next_call(now) {
            self.outputs.push(Output::Store(call));
        }
        if self.membership.take_changed() {
            self.outputs.push(Output::Members);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the configuration in force at this process.
    pub fn effective(&self) -> Effective {
        Effective { committed: self.record.committed(), pending: self.overlay.pending_orders() }
    }

    /// Returns the committed row that this process knows.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns all known processes, including this one.
    pub fn members(&self) -> Vec<Member> {
        self.membership.members().collect()
    }

    /// Returns the status for operators.
    pub fn status(&self, now: time::Duration) -> Status {
        let table_failing = self.poll_schedule.is_failing();
        status::collect(now, &self.record, &self.overlay, &self.membership, table_failing)
    }

    fn tick(&mut self, now: time::Duration) {
        self.join_site(now);
        self.push_digest();
        self.request_newer(now);
        self.membership.expire(now);
        for action in self.failure_detector.tick(now, &mut self.membership, &mut self.rng) {
            self.send_probe(action);
        }
        self.start_due_calls(now);
        self.queue_due_order(now);
        self.answer_unanswered(now);
        self.send_survey(now);
    }

    fn push_digest(&mut self) {
        if self.pushes_left == 0 {
            return;
        }
        self.pushes_left -= 1;
        for to in self.membership.sample(FANOUT, &mut self.rng) {
            self.send(to, Body::DigestOnly);
        }
    }

    fn leave(&mut self, now: time::Duration) {
        self.membership.leave(now);
        self.pushes_left = PUSHES_PER_UPDATE;
    }

    fn handle_message(&mut self, now: time::Duration, message: Message) {
        let Message { from, digest, updates, body } = message;
        let to = from.peers;
        let outdated_belief = self.membership.merge_sender(now, &from, digest.version);
        for member in updates {
            self.membership.merge_update(now, &member);
        }
        self.merge_pending(now, &from.host, &digest);
        match body {
            Body::Ping { seq } => self.send_with(to, Body::Ack { seq }, outdated_belief),
            Body::Ack { seq } => self.handle_ack(now, seq),
            Body::IndirectPing { seq, target } => {
                let seq = self.failure_detector.relay(now, target, Relay { requester: to, seq });
                self.send(target, Body::Ping { seq });
            }
            Body::DigestOnly if outdated_belief.is_some() => {
                self.send_with(to, Body::DigestOnly, outdated_belief)
            }
            Body::DigestOnly => {}
            Body::RequestConfiguration { .. } if digest.version >= self.record.version => {}
            Body::RequestConfiguration { full: false } => self.send_changes(to, digest.version),
            Body::RequestConfiguration { full: true } => self.send_configuration(to),
            Body::Configuration(record) => self.accept_record(*record),
            Body::ConfigurationEdits { rest, .. } if rest.version <= self.record.version => {}
            Body::ConfigurationEdits { edits, rest } => self.apply_edits(to, &edits, *rest),
            Body::Join => {
                self.send_configuration(to);
                let members = self.membership.members().collect();
                self.send(to, Body::Members { members, requested_buckets: Vec::new() });
            }
            Body::BucketChecksums(theirs) => self.send_differing(to, &theirs),
            Body::Members { members, requested_buckets } => {
                self.handle_members(now, to, &members, &requested_buckets)
            }
        }
        self.handle_version(now, Some(to), digest.version);
        self.notify_if_behind(to, &digest);
        self.compare_members(now, to, digest.membership_checksum);
    }

    /// Puts a committed row in force if its version is higher, so that no process returns to an
    /// older version.
    fn accept_record(&mut self, record: Record) {
        if record.version <= self.record.version {
            return;
        }
        self.edits.record(&self.record, &record);
        self.record = record;
        self.overlay.remove_settled(&self.record);
        self.publish();
    }

    fn publish(&mut self) {
        self.pushes_left = PUSHES_PER_UPDATE;
        let effective = self.effective();
        self.outputs.push(Output::Adopt(effective));
    }

    fn me(&self) -> name::Host {
        self.membership.me().host.clone()
    }

    fn send(&mut self, to: net::SocketAddr, body: Body) {
        self.send_with(to, body, None);
    }

    fn send_with(&mut self, to: net::SocketAddr, body: Body, outdated_belief: Option<Member>) {
        let mut updates = self.membership.take_updates();
        updates.truncate(gossip::MAX_UPDATES - usize::from(outdated_belief.is_some()));
        updates.extend(outdated_belief);
        let digest = Digest {
            version: self.record.version,
            membership_checksum: self.membership.checksum(),
            pending: self.overlay.pending_orders(),
        };
        let from = self.membership.me().clone();
        self.outputs.push(Output::Send { to, message: Message { from, digest, updates, body } });
    }
}
