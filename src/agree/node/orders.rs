//! Operators' orders, and the orders that are not yet durable.

use std::time;

use super::Node;
use crate::{
    agree::{
        change::{Job, Order, Outcome},
        event::Output,
        order_queue::FinishedOrder,
        record::{OrderId, Pending, Target},
    },
    name,
    wire::gossip::Digest,
};

/// Time after which the operator of an order to take something out is answered although the order
/// is not yet durable.
const NOT_DURABLE_ANSWER_DELAY: time::Duration = time::Duration::from_secs(1);

impl Node {
    pub(super) fn queue_due_order(&mut self, now: time::Duration) {
        let Some(pending) = self.overlay.take_due(now, self.membership.len(), &mut self.rng) else {
            return;
        };
        if !self.orders.contains(pending.op) {
            self.orders.push(now, job(pending.op, pending.by, Order::Out(pending.target)));
        }
    }

    /// Answers the operators who have waited for [`NOT_DURABLE_ANSWER_DELAY`].
    pub(super) fn answer_unanswered(&mut self, now: time::Duration) {
        let due: Vec<OrderId> = self
            .unanswered
            .iter()
            .filter(|(_, since)| now >= **since + NOT_DURABLE_ANSWER_DELAY)
            .map(|(op, _)| *op)
            .collect();
        for op in due {
            self.unanswered.remove(&op);
            let outcome = match self.record.version_of(op) {
                Some(version) => Outcome::Committed { version },
                None => Outcome::NotDurable { held_by: self.overlay.held_by(op) },
            };
            self.outputs.push(Output::Answer { op, outcome });
        }
    }

    pub(super) fn merge_pending(
        &mut self,
        now: time::Duration,
        host: &name::Host,
        digest: &Digest,
    ) {
        let site_size = self.membership.len();
        let mut has_new_order = false;
        for pending in &digest.pending {
            let is_settled = self.record.is_settled(pending.op);
            has_new_order |=
                !is_settled && self.overlay.insert(now, pending, site_size, &mut self.rng);
        }
        self.overlay.record_holder(host, &digest.pending);
        if has_new_order {
            self.publish();
        }
    }

    pub(super) fn finish_order(&mut self, finished: FinishedOrder) {
        let FinishedOrder { op, outcome, record } = finished;
        if let Some(record) = record {
            self.accept_record(record);
        }
        match (&outcome, self.overlay.held_by(op)) {
            (Outcome::Committed { .. }, _) | (_, 0) => {
                self.unanswered.remove(&op);
                self.outputs.push(Output::Answer { op, outcome });
            }
            _ => {}
        }
    }

    pub(super) fn handle_order(&mut self, now: time::Duration, op: OrderId, order: Order) {
        match order {
            Order::Out(target) if self.overlay.is_full() => {
                self.orders.push(now, job(op, self.me(), Order::Out(target)));
            }
            Order::Out(target) => self.take_out(now, op, target),
            Order::In(target) => {
                let overridden = self.overlay.orders_on(&target);
                let job = job(op, self.me(), Order::In(target));
                self.orders.push(now, Job { overridden, ..job });
            }
            Order::Apply { .. } => {
                let base = Some(self.record.version).filter(|version| *version > 0);
                let job = job(op, self.me(), order);
                self.orders.push(now, Job { base, ..job });
            }
        }
    }

    /// Puts an order to take a target out in force and pushes it to peers at once, while it waits
    /// to be committed to the table.
    pub(super) fn take_out(&mut self, now: time::Duration, op: OrderId, target: Target) {
        let pending = Pending { op, target: target.clone(), by: self.me() };
        self.overlay.insert(now, &pending, self.membership.len(), &mut self.rng);
        self.unanswered.insert(op, now);
        self.orders.push(now, job(op, self.me(), Order::Out(target)));
        self.publish();
        self.push_digest();
    }
}

fn job(op: OrderId, by: name::Host, order: Order) -> Job {
    Job { op, by, order, overridden: Vec::new(), base: None }
}
