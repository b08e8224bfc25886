//! Polls of the table and of the host list, and the handling of their answers.

use std::time;

use super::Node;
use crate::{
    agree::{
        change,
        event::Output,
        store::{self, Call},
    },
    cloud,
};

/// Bounds of the interval between two polls of the table, and between two reads of the host list,
/// by one process.
const MIN_POLL_INTERVAL: time::Duration = time::Duration::from_secs(10);
const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Part of that interval that each process of the site adds. Between the bounds, all processes
/// together poll the table about 10 times a second, however large the site is.
const POLL_INTERVAL_PER_PROCESS: time::Duration = time::Duration::from_millis(100);

/// The same interval for a process that receives no answers from its peers.
const ISOLATED_POLL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Interval between reads of the host list while no other process is known.
const ALONE_LIST_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl Node {
    pub(super) fn start_due_calls(&mut self, now: time::Duration) {
        if self.failure_detector.is_isolated(now) {
            self.poll_schedule.bring_forward(now, ISOLATED_POLL_INTERVAL, &mut self.rng);
            self.list_schedule.bring_forward(now, ISOLATED_POLL_INTERVAL, &mut self.rng);
        }
        if self.membership.is_empty() {
            self.list_schedule.bring_forward(now, ALONE_LIST_INTERVAL, &mut self.rng);
        }
        if self.poll_schedule.start(now) {
            self.outputs.push(Output::Store(Call::Poll { known: self.record.tag.clone() }));
        }
        if self.list_schedule.start(now) {
            self.outputs.push(Output::Store(Call::List));
        }
    }

    pub(super) fn handle_answer(&mut self, now: time::Duration, answer: store::Answer) {
        match answer {
            store::Answer::Poll(row) => {
                self.poll_schedule.end(now, row.is_ok(), self.poll_interval(now), &mut self.rng);
                if let Ok(cloud::ConditionalRead::Row(row)) = row {
                    self.accept_polled_row(row.as_ref());
                }
            }
            store::Answer::List(list) => {
                self.list_schedule.end(now, list.is_ok(), self.poll_interval(now), &mut self.rng);
                if let Ok(list) = list {
                    self.membership.merge_host_list(now, &list);
                }
            }
            answer => {
                if let Some(finished) = self.orders.handle_answer(now, answer, &mut self.rng) {
                    self.finish_order(finished);
                }
            }
        }
    }

    fn accept_polled_row(&mut self, row: Option<&cloud::Row>) {
        match change::parse(row) {
            Some(record) if record.version == self.record.version => self.record.tag = record.tag,
            Some(record) => self.accept_record(record),
            None => {}
        }
    }

    pub(super) fn poll_interval(&self, now: time::Duration) -> time::Duration {
        match self.failure_detector.is_isolated(now) {
            true => ISOLATED_POLL_INTERVAL,
            false => (POLL_INTERVAL_PER_PROCESS * self.membership.len() as u32)
                .clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL),
        }
    }
}
