//! Operators' orders, and those not yet durable.

use std::time;

use super::Node;
use crate::{
    agree::{
        change::{Job, Order, Outcome},
        desk::Finished,
        event::Output,
        record::{Op, Pending, Target},
    },
    name,
    wire::gossip::Digest,
};

/// Time after which an order to take out that is not yet durable is answered.
const OUT_PATIENCE: time::Duration = time::Duration::from_secs(1);

impl Node {
    pub(super) fn make_durable(&mut self, now: time::Duration) {
        let Some(pending) = self.overlay.due(now, self.roster.len(), &mut self.rng) else { return };
        if !self.desk.has(pending.op) {
            self.desk.push(now, job(pending.op, pending.by, Order::Out(pending.target)));
        }
    }

    pub(super) fn answer_patient(&mut self, now: time::Duration) {
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

    pub(super) fn take_pending(&mut self, now: time::Duration, host: &name::Host, digest: &Digest) {
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

    pub(super) fn finish(&mut self, finished: Finished) {
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

    pub(super) fn operator(&mut self, now: time::Duration, op: Op, order: Order) {
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

    pub(super) fn take_out(&mut self, now: time::Duration, op: Op, target: Target) {
        let pending = Pending { op, target: target.clone(), by: self.me() };
        self.overlay.insert(now, &pending, self.roster.len(), &mut self.rng);
        self.waiting.insert(op, now);
        self.desk.push(now, job(op, self.me(), Order::Out(target)));
        self.adopt();
        self.push();
    }
}

fn job(op: Op, by: name::Host, order: Order) -> Job {
    Job { op, by, order, overridden: Vec::new(), base: None }
}
