//! Takes a group from one map to the next, by the holder of the group's lease.
//!
//! All ranks load the new map beside the old and acknowledge it with their
//! incarnation; then rank 0, which names the map of each step, is told to
//! switch. Rank 0 alone decides between switch and abort, so a lost, repeated
//! or late order, or a second controller, cannot split the group.

use std::{collections, time};

use crate::cloud;
use crate::group::{map, order, rank, row};

/// Time after which an unanswered order is given again.
pub const RESEND_DELAY: time::Duration = time::Duration::from_millis(500);
/// Time between two reports while nothing is under way.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The lease under which orders are given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Its fence.
    pub fence: order::Fence,
    /// End of its validity, by this process's clock.
    pub until: time::Duration,
}

/// What the controller wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Give this order.
    Send(order::AddressedOrder),
    /// Read the group's row and pass it to [`Controller::row`].
    Read,
    /// Write the group's row and pass the end of it to [`Controller::written`].
    Write(row::GroupRow, cloud::Precondition),
}

/// How a write of the row ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// Written.
    Written(cloud::Etag),
    /// Another writer came first.
    Conflict,
    /// Not known.
    Unknown,
}

/// How the last change ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The map is in use and the table names it.
    Committed(map::Id),
    /// The old map stays.
    Aborted(map::Id),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Reading,
    Idle,
    Proposing(map::Id),
    Loading(map::Id),
    Switching(map::Id, order::Incarnations),
    Aborting(map::Id),
    Writing(row::GroupRow, Outcome),
    LeaseLost,
}

/// The controller of one group, without I/O.
#[derive(Clone, Debug)]
pub struct Controller {
    lease: Lease,
    ranks: usize,
    load_within: time::Duration,
    state: State,
    row: row::GroupRow,
    etag: Option<cloud::Etag>,
    /// A read or write of the row is under way.
    pending: bool,
    wanted: Option<map::Id>,
    acks: Vec<Option<u64>>,
    deadline: time::Duration,
    resend: time::Duration,
    report: u64,
    free: collections::BTreeSet<(map::Id, usize)>,
    ended: Vec<Outcome>,
}

impl Controller {
    /// A controller of `ranks` ranks that gives up a change whose loading takes longer than `load_within`.
    pub fn new(lease: Lease, ranks: usize, load_within: time::Duration) -> Self {
        Self {
            lease,
            ranks,
            load_within,
            state: State::Reading,
            row: row::GroupRow::default(),
            etag: None,
            pending: false,
            wanted: None,
            acks: vec![None; ranks],
            deadline: time::Duration::ZERO,
            resend: time::Duration::ZERO,
            report: 0,
            free: collections::BTreeSet::new(),
            ended: Vec::new(),
        }
    }

    /// The lease was renewed.
    pub fn renew_lease(&mut self, until: time::Duration) {
        self.lease.until = self.lease.until.max(until);
    }

    /// Whether a change may be proposed.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle && !self.pending
    }

    /// Whether another holder of the lease was seen, or the lease ran out.
    pub fn is_lease_lost(&self) -> bool {
        self.state == State::LeaseLost
    }

    /// The row as last read or written.
    pub fn current_row(&self) -> &row::GroupRow {
        &self.row
    }

    /// Changes that ended since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.ended)
    }

    /// Starts a change to the map of `digest`, whose content is in the object store already.
    ///
    /// `false` if another is under way.
    pub fn propose(&mut self, now: time::Duration, digest: u64) -> bool {
        if !self.is_idle() {
            return false;
        }
        let next = self.row.propose(self.lease.fence, digest);
        self.wanted = next.next;
        self.state = next.next.map_or(State::Idle, State::Proposing);
        self.resend = now;
        true
    }

    /// Gives up a change that is not yet decided.
    pub fn abort(&mut self, now: time::Duration) {
        if let State::Loading(id) | State::Switching(id, _) = self.state {
            self.enter(now, State::Aborting(id));
        }
    }

    /// What is to be done now; call it after every input and at least every [`RESEND`].
    pub fn poll(&mut self, now: time::Duration) -> Vec<Effect> {
        if now >= self.lease.until {
            self.state = State::LeaseLost;
        }
        match self.state {
            State::Loading(id) if now >= self.deadline => self.enter(now, State::Aborting(id)),
            State::Switching(id, _) if now >= self.deadline => self.enter(now, State::Aborting(id)),
            _ => {}
        }
        if self.pending || now < self.resend {
            return Vec::new();
        }
        self.resend = now + RESEND_DELAY;
        self.effects(now)
    }

    fn effects(&mut self, now: time::Duration) -> Vec<Effect> {
        match self.state.clone() {
            State::LeaseLost => Vec::new(),
            State::Reading => self.store(Effect::Read),
            State::Idle => self.idle(now),
            State::Proposing(id) => self.write(self.row.propose(self.lease.fence, id.digest)),
            State::Writing(row, _) => self.write(row),
            State::Loading(id) => {
                let missing = (0..self.ranks).filter(|rank| self.acks[*rank].is_none());
                missing.map(|rank| self.send(rank, order::Order::Load(id))).collect()
            }
            State::Switching(to, loaded) => {
                let order = order::Order::Switch { from: self.row.current, to, loaded };
                vec![self.send(rank::LEADER, order)]
            }
            State::Aborting(id) => vec![self.send(rank::LEADER, order::Order::Abort(id))],
        }
    }

    fn idle(&mut self, now: time::Duration) -> Vec<Effect> {
        if !self.free.is_empty() {
            let free = self.free.iter();
            return free.map(|(id, rank)| self.send(*rank, order::Order::Free(*id))).collect();
        }
        self.resend = now + REPORT_INTERVAL;
        self.report += 1;
        let reports =
            (0..self.ranks).map(|rank| self.send(rank, order::Order::Report(self.report)));
        let mut effects: Vec<Effect> = reports.collect();
        effects.extend(self.store(Effect::Read));
        effects
    }

    /// The row was read: `Ok(None)` if there is none, `Err` if the table did not answer.
    pub fn on_row_read(
        &mut self,
        now: time::Duration,
        read: Result<Option<(row::GroupRow, cloud::Etag)>, ()>,
    ) {
        self.pending = false;
        let Ok(found) = read else { return };
        let (row, etag) =
            found.map_or((row::GroupRow::default(), None), |(row, etag)| (row, Some(etag)));
        if !matches!(self.state, State::Reading | State::Idle) {
            return;
        }
        self.row = row;
        self.etag = etag;
        match row.next {
            _ if row.fence > self.lease.fence => self.state = State::LeaseLost,
            Some(id) if self.wanted == Some(id) && row.fence == self.lease.fence => {
                self.enter(now, State::Loading(id));
            }
            Some(id) => self.enter(now, State::Aborting(id)),
            None if self.state == State::Idle => {}
            None => self.enter(now, State::Idle),
        }
    }

    /// A write of the row ended.
    pub fn on_row_written(&mut self, now: time::Duration, end: WriteResult) {
        self.pending = false;
        match (end, self.state.clone()) {
            (WriteResult::Written(etag), State::Proposing(id)) => {
                self.row = self.row.propose(self.lease.fence, id.digest);
                self.etag = Some(etag);
                self.enter(now, State::Loading(id));
            }
            (WriteResult::Written(etag), State::Writing(row, end)) => {
                self.row = row;
                self.etag = Some(etag);
                self.finish(end);
                self.enter(now, State::Idle);
            }
            (_, State::LeaseLost) => {}
            _ => self.enter(now, State::Reading),
        }
    }

    /// A rank answered.
    pub fn on_answer(&mut self, now: time::Duration, answer: &order::Answer) {
        if answer.rank >= self.ranks {
            return;
        }
        if answer.verdict == order::Verdict::Fenced && answer.fence > self.lease.fence {
            self.state = State::LeaseLost;
        }
        self.note_free(answer);
        match (self.state.clone(), &answer.order) {
            (State::Loading(id), _) => self.note_load(now, id, answer),
            (State::Switching(id, _), order::Order::Switch { to, .. }) if *to == id => {
                self.note_switch(now, id, answer.verdict);
            }
            (State::Aborting(id), order::Order::Abort(of)) if *of == id => {
                self.note_abort(now, id, answer.verdict);
            }
            (State::Idle, order::Order::Report(number)) if *number == self.report => {
                self.reconcile(now, answer);
            }
            _ => {}
        }
    }

    fn note_free(&mut self, answer: &order::Answer) {
        if let order::Order::Free(id) = answer.order {
            self.free.remove(&(id, answer.rank));
        }
    }

    fn note_load(&mut self, now: time::Duration, id: map::Id, answer: &order::Answer) {
        let ack = &mut self.acks[answer.rank];
        if *ack > Some(answer.incarnation) {
            return;
        }
        match () {
            () if answer.held.contains(&id) => *ack = Some(answer.incarnation),
            () if ack.is_some_and(|incarnation| incarnation < answer.incarnation) => *ack = None,
            () => {}
        }
        if answer.order == order::Order::Load(id) && answer.verdict == order::Verdict::Dead {
            return self.enter(now, State::Aborting(id));
        }
        let loaded: order::Incarnations = self.acks.iter().copied().flatten().collect();
        if loaded.len() == self.ranks {
            self.enter(now, State::Switching(id, loaded));
        }
    }

    fn note_switch(&mut self, now: time::Duration, id: map::Id, verdict: order::Verdict) {
        match verdict {
            order::Verdict::Done => self.commit(now, id),
            order::Verdict::Restarted => {
                let deadline = self.deadline;
                self.enter(now, State::Loading(id));
                self.deadline = deadline;
            }
            order::Verdict::Fenced => {}
            _ => self.enter(now, State::Aborting(id)),
        }
    }

    fn note_abort(&mut self, now: time::Duration, id: map::Id, verdict: order::Verdict) {
        match verdict {
            order::Verdict::Done => {
                let row = self.row.abandon(self.lease.fence);
                self.enter(now, State::Writing(row, Outcome::Aborted(id)));
            }
            order::Verdict::InUse => self.commit(now, id),
            _ => {}
        }
    }

    fn commit(&mut self, now: time::Duration, id: map::Id) {
        let row = self.row.commit(self.lease.fence, id);
        self.enter(now, State::Writing(row, Outcome::Committed(id)));
    }

    /// A fresh report: the table follows rank 0, and ranks free what is dead.
    fn reconcile(&mut self, now: time::Duration, answer: &order::Answer) {
        let dead = answer.held.iter().filter(|id| **id != answer.in_use && self.row.is_dead(**id));
        self.free.extend(dead.map(|id| (*id, answer.rank)));
        if answer.rank == rank::LEADER && answer.in_use != self.row.current {
            self.commit(now, answer.in_use);
        }
    }

    fn finish(&mut self, end: Outcome) {
        let dead = match end {
            Outcome::Aborted(id) => Some(id),
            Outcome::Committed(_) => self.row.previous,
        };
        let dead = dead.filter(|id| self.row.is_dead(*id));
        self.free
            .extend(dead.into_iter().flat_map(|id| (0..self.ranks).map(move |rank| (id, rank))));
        self.ended.push(end);
        self.wanted = None;
    }

    fn enter(&mut self, now: time::Duration, state: State) {
        match state {
            State::Loading(_) => {
                self.acks = vec![None; self.ranks];
                self.deadline = now + self.load_within;
            }
            State::Switching(..) => self.deadline = self.deadline.max(now + self.load_within / 4),
            _ => {}
        }
        if self.state != State::LeaseLost {
            self.state = state;
        }
        self.resend = now;
    }

    fn write(&mut self, row: row::GroupRow) -> Vec<Effect> {
        let when = match &self.etag {
            Some(etag) => cloud::Precondition::Unchanged(etag.clone()),
            None => cloud::Precondition::Absent,
        };
        self.store(Effect::Write(row, when))
    }

    fn store(&mut self, effect: Effect) -> Vec<Effect> {
        self.pending = true;
        vec![effect]
    }

    fn send(&self, rank: usize, order: order::Order) -> Effect {
        Effect::Send(order::AddressedOrder { rank, fence: self.lease.fence, order })
    }
}
