//! Takes a group from one map to the next; run by the holder of the group's lease.
//!
//! All ranks load the new map while the old one stays in use, and each acknowledges the load with
//! its incarnation. Then rank 0, which names the map of each pass, receives the order to switch.
//! Rank 0 alone decides between switch and abort, so neither a lost, repeated or late order nor
//! a second controller can make ranks use different maps.

use std::{collections, time};

use crate::cloud;
use crate::group::{map, order, rank, row};

/// Delay after which an unanswered order is sent again.
pub const RESEND_DELAY: time::Duration = time::Duration::from_millis(500);
/// Interval between two reports while no change is under way.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The lease under which orders are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Fence of the lease.
    pub fence: order::Fence,
    /// End of the lease, by this process's clock.
    pub until: time::Duration,
}

/// An action that the controller asks its process to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send this order.
    Send(order::AddressedOrder),
    /// Read the group's row and pass it to [`Controller::on_row_read`].
    Read,
    /// Write the group's row and pass the result to [`Controller::on_row_written`].
    Write(row::GroupRow, cloud::Precondition),
}

/// The result of a write of the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The row was written.
    Written(cloud::Etag),
    /// The row was not written, since another writer changed it first.
    Conflict,
    /// It is not known whether the row was written.
    Unknown,
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The new map is in use and the table names it.
    Committed(map::Id),
    /// The old map stays in use.
    Aborted(map::Id),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// Reads the row, after the start or a write that did not succeed for certain.
    Reading,
    /// No change is under way.
    Idle,
    /// Writes the proposal to the row.
    Proposing(map::Id),
    /// Waits until every rank has loaded the map.
    Loading(map::Id),
    /// Waits for rank 0 to switch; holds the incarnations that loaded the map.
    Switching(map::Id, order::Incarnations),
    /// Waits for rank 0 to abort the change or to report that it has switched.
    Aborting(map::Id),
    /// Writes the decided change to the row.
    Writing(row::GroupRow, Outcome),
    /// The lease ended or has a later holder; the controller sends nothing more.
    LeaseLost,
}

/// The controller of one group, without I/O.
#[derive(Clone, Debug)]
pub struct Controller {
    lease: Lease,
    ranks: usize,
    load_timeout: time::Duration,
    state: State,
    row: row::GroupRow,
    etag: Option<cloud::Etag>,
    /// Whether a read or write of the row is under way.
    table_pending: bool,
    /// The map that this controller proposed.
    proposed: Option<map::Id>,
    /// By rank, the incarnation that acknowledged the load of the proposed map.
    acks: Vec<Option<u64>>,
    deadline: time::Duration,
    /// Time before which nothing is sent again.
    next_send: time::Duration,
    /// Number of the newest report order; answers with another number are out of date.
    report_number: u64,
    /// Maps to free, with the rank that holds them.
    to_free: collections::BTreeSet<(map::Id, usize)>,
    outcomes: Vec<Outcome>,
}

impl Controller {
    /// Creates the controller of a group of `ranks` ranks. It aborts a change if loading takes
    /// longer than `load_timeout`.
    pub fn new(lease: Lease, ranks: usize, load_timeout: time::Duration) -> Self {
        Self {
            lease,
            ranks,
            load_timeout,
            state: State::Reading,
            row: row::GroupRow::default(),
            etag: None,
            table_pending: false,
            proposed: None,
            acks: vec![None; ranks],
            deadline: time::Duration::ZERO,
            next_send: time::Duration::ZERO,
            report_number: 0,
            to_free: collections::BTreeSet::new(),
            outcomes: Vec::new(),
        }
    }

    /// Extends the lease after a renewal.
    pub fn renew_lease(&mut self, until: time::Duration) {
        self.lease.until = self.lease.until.max(until);
    }

    /// Whether a change may be proposed.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle && !self.table_pending
    }

    /// Whether a later holder of the lease was seen, or the lease has ended.
    pub fn is_lease_lost(&self) -> bool {
        self.state == State::LeaseLost
    }

    /// Returns the row as last read or written.
    pub fn current_row(&self) -> &row::GroupRow {
        &self.row
    }

    /// Returns and clears the outcomes of changes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Starts a change to the map of `digest`, whose content is in the object store already.
    ///
    /// Returns `false` if another change is under way.
    pub fn propose(&mut self, now: time::Duration, digest: u64) -> bool {
        if !self.is_idle() {
            return false;
        }
        let next = self.row.propose(self.lease.fence, digest);
        self.proposed = next.next;
        self.state = next.next.map_or(State::Idle, State::Proposing);
        self.next_send = now;
        true
    }

    /// Aborts a change that is not yet decided.
    pub fn abort(&mut self, now: time::Duration) {
        if let State::Loading(id) | State::Switching(id, _) = self.state {
            self.enter(now, State::Aborting(id));
        }
    }

    /// Returns the effects that are due now. Call it after every input and at least every
    /// [`RESEND_DELAY`].
    ///
    /// After the end of the lease it returns nothing, since another controller may have taken over.
    pub fn poll(&mut self, now: time::Duration) -> Vec<Effect> {
        if now >= self.lease.until {
            self.state = State::LeaseLost;
        }
        match self.state {
            State::Loading(id) if now >= self.deadline => self.enter(now, State::Aborting(id)),
            State::Switching(id, _) if now >= self.deadline => self.enter(now, State::Aborting(id)),
            _ => {}
        }
        if self.table_pending || now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + RESEND_DELAY;
        self.effects(now)
    }

    /// Returns the effects of the current state. Switch and abort go to rank 0 alone, whose answer
    /// decides which of the two holds.
    fn effects(&mut self, now: time::Duration) -> Vec<Effect> {
        match self.state.clone() {
            State::LeaseLost => Vec::new(),
            State::Reading => self.access_table(Effect::Read),
            State::Idle => self.idle_effects(now),
            State::Proposing(id) => self.write_row(self.row.propose(self.lease.fence, id.digest)),
            State::Writing(row, _) => self.write_row(row),
            State::Loading(id) => {
                let missing = (0..self.ranks).filter(|rank| self.acks[*rank].is_none());
                missing.map(|rank| self.send_order(rank, order::Order::Load(id))).collect()
            }
            State::Switching(to, loaded) => {
                let order = order::Order::Switch { from: self.row.current, to, loaded };
                vec![self.send_order(rank::LEADER, order)]
            }
            State::Aborting(id) => vec![self.send_order(rank::LEADER, order::Order::Abort(id))],
        }
    }

    /// Frees dead maps first; otherwise asks every rank for a report and reads the row, which
    /// shows whether the table lags behind rank 0 or a later lease holder has written.
    fn idle_effects(&mut self, now: time::Duration) -> Vec<Effect> {
        if !self.to_free.is_empty() {
            let to_free = self.to_free.iter();
            return to_free
                .map(|(id, rank)| self.send_order(*rank, order::Order::Free(*id)))
                .collect();
        }
        self.next_send = now + REPORT_INTERVAL;
        self.report_number += 1;
        let reports = (0..self.ranks)
            .map(|rank| self.send_order(rank, order::Order::Report(self.report_number)));
        let mut effects: Vec<Effect> = reports.collect();
        effects.extend(self.access_table(Effect::Read));
        effects
    }

    /// Handles the end of a read: `Ok(None)` if there is no row, `Err` if the table did not answer.
    ///
    /// A row that names this controller's own proposal means that a write of unknown result was
    /// done; the change continues. A proposal of an earlier lease holder is aborted, and the answer
    /// of rank 0 shows whether it has switched to it.
    pub fn on_row_read(
        &mut self,
        now: time::Duration,
        read: Result<Option<(row::GroupRow, cloud::Etag)>, ()>,
    ) {
        self.table_pending = false;
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
            Some(id) if self.proposed == Some(id) && row.fence == self.lease.fence => {
                self.enter(now, State::Loading(id));
            }
            Some(id) => self.enter(now, State::Aborting(id)),
            None if self.state == State::Idle => {}
            None => self.enter(now, State::Idle),
        }
    }

    /// Handles the end of a write of the row.
    ///
    /// After a conflict or an unknown result the row is read again before anything is written or
    /// sent: the write may have been done, or a later lease holder may have written.
    pub fn on_row_written(&mut self, now: time::Duration, result: WriteResult) {
        self.table_pending = false;
        match (result, self.state.clone()) {
            (WriteResult::Written(etag), State::Proposing(id)) => {
                self.row = self.row.propose(self.lease.fence, id.digest);
                self.etag = Some(etag);
                self.enter(now, State::Loading(id));
            }
            (WriteResult::Written(etag), State::Writing(row, outcome)) => {
                self.row = row;
                self.etag = Some(etag);
                self.finish(outcome);
                self.enter(now, State::Idle);
            }
            (_, State::LeaseLost) => {}
            _ => self.enter(now, State::Reading),
        }
    }

    /// Handles the answer of a rank.
    ///
    /// An answer counts only in the state that sent its order and for the map of that state; late
    /// answers to earlier changes are ignored. Loads are the exception: every answer lists the maps
    /// that the rank holds, so any answer can acknowledge one.
    pub fn on_answer(&mut self, now: time::Duration, answer: &order::Answer) {
        if answer.rank >= self.ranks {
            return;
        }
        if answer.verdict == order::Verdict::Fenced && answer.fence > self.lease.fence {
            self.state = State::LeaseLost;
        }
        self.on_free_answer(answer);
        match (self.state.clone(), &answer.order) {
            (State::Loading(id), _) => self.on_load_answer(now, id, answer),
            (State::Switching(id, _), order::Order::Switch { to, .. }) if *to == id => {
                self.on_switch_answer(now, id, answer.verdict);
            }
            (State::Aborting(id), order::Order::Abort(aborted)) if *aborted == id => {
                self.on_abort_answer(now, id, answer.verdict);
            }
            (State::Idle, order::Order::Report(number)) if *number == self.report_number => {
                self.reconcile(now, answer);
            }
            _ => {}
        }
    }

    fn on_free_answer(&mut self, answer: &order::Answer) {
        if let order::Order::Free(id) = answer.order {
            self.to_free.remove(&(id, answer.rank));
        }
    }

    /// Records an acknowledgement. An answer of an earlier incarnation is ignored; one of a later
    /// incarnation that does not hold the map removes the acknowledgement, since the rank restarted
    /// after it had loaded the map.
    fn on_load_answer(&mut self, now: time::Duration, id: map::Id, answer: &order::Answer) {
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

    /// Handles the answer of rank 0 to a switch. If a rank has restarted since its acknowledgement,
    /// all ranks must acknowledge again, within the deadline that was set for the first load.
    fn on_switch_answer(&mut self, now: time::Duration, id: map::Id, verdict: order::Verdict) {
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

    /// Handles the answer of rank 0 to an abort. If the map is in use, the switch reached rank 0
    /// before the abort and the change is committed.
    fn on_abort_answer(&mut self, now: time::Duration, id: map::Id, verdict: order::Verdict) {
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

    /// Handles an answer to the newest report: brings the table in line with rank 0, whose map is
    /// the one in use, and lists dead maps for the rank to free.
    fn reconcile(&mut self, now: time::Duration, answer: &order::Answer) {
        let dead = answer.held.iter().filter(|id| **id != answer.in_use && self.row.is_dead(**id));
        self.to_free.extend(dead.map(|id| (*id, answer.rank)));
        if answer.rank == rank::LEADER && answer.in_use != self.row.current {
            self.commit(now, answer.in_use);
        }
    }

    /// Records the outcome of a change, and lists the map that is no longer needed for all ranks
    /// to free.
    fn finish(&mut self, outcome: Outcome) {
        let unused = match outcome {
            Outcome::Aborted(id) => Some(id),
            Outcome::Committed(_) => self.row.previous,
        };
        let unused = unused.filter(|id| self.row.is_dead(*id));
        self.to_free
            .extend(unused.into_iter().flat_map(|id| (0..self.ranks).map(move |rank| (id, rank))));
        self.outcomes.push(outcome);
        self.proposed = None;
    }

    /// Enters a state and makes its effects due at once. A lost lease is final.
    ///
    /// Loading starts without acknowledgements, so that each counts for this map only. Switching
    /// has at least a quarter of the load timeout, even if loading took nearly all of it.
    fn enter(&mut self, now: time::Duration, state: State) {
        match state {
            State::Loading(_) => {
                self.acks = vec![None; self.ranks];
                self.deadline = now + self.load_timeout;
            }
            State::Switching(..) => self.deadline = self.deadline.max(now + self.load_timeout / 4),
            _ => {}
        }
        if self.state != State::LeaseLost {
            self.state = state;
        }
        self.next_send = now;
    }

    /// Writes the row on condition that it is unchanged since it was last read or written, so that
    /// a controller that has lost the lease unnoticed cannot overwrite a later holder's row.
    fn write_row(&mut self, row: row::GroupRow) -> Vec<Effect> {
        let precondition = match &self.etag {
            Some(etag) => cloud::Precondition::Unchanged(etag.clone()),
            None => cloud::Precondition::Absent,
        };
        self.access_table(Effect::Write(row, precondition))
    }

    fn access_table(&mut self, effect: Effect) -> Vec<Effect> {
        self.table_pending = true;
        vec![effect]
    }

    fn send_order(&self, rank: usize, order: order::Order) -> Effect {
        Effect::Send(order::AddressedOrder { rank, fence: self.lease.fence, order })
    }
}
