//! Reads of the table and the host list, and their answers.

use std::time;

use super::Node;
use crate::{
    agree::{
        change,
        event::Output,
        store::{self, Ask},
    },
    cloud,
};

/// Period of polls for one process, and what each process of the site adds.
const POLL_LEAST: time::Duration = time::Duration::from_secs(10);
const POLL_MOST: time::Duration = time::Duration::from_secs(60);
const POLL_PER_PROCESS: time::Duration = time::Duration::from_millis(100);
const POLL_ISOLATED: time::Duration = time::Duration::from_secs(5);

/// Period of reads of the host list while nobody else is known.
const LIST_ALONE: time::Duration = time::Duration::from_secs(1);

impl Node {
    pub(super) fn ask_store(&mut self, now: time::Duration) {
        if self.probes.is_isolated(now) {
            self.poll.hurry(now, POLL_ISOLATED, &mut self.rng);
            self.list.hurry(now, POLL_ISOLATED, &mut self.rng);
        }
        if self.roster.is_empty() {
            self.list.hurry(now, LIST_ALONE, &mut self.rng);
        }
        if self.poll.start(now) {
            self.out.push(Output::Store(Ask::Poll { known: self.record.tag.clone() }));
        }
        if self.list.start(now) {
            self.out.push(Output::Store(Ask::List));
        }
    }

    pub(super) fn store(&mut self, now: time::Duration, answer: store::Answer) {
        match answer {
            store::Answer::Poll(row) => {
                self.poll.end(now, row.is_ok(), self.period(now), &mut self.rng);
                if let Ok(cloud::ConditionalRead::Row(row)) = row {
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

    fn polled(&mut self, row: Option<&cloud::Row>) {
        match change::parse(row) {
            Some(record) if record.version == self.record.version => self.record.tag = record.tag,
            Some(record) => self.learn(record),
            None => {}
        }
    }

    pub(super) fn period(&self, now: time::Duration) -> time::Duration {
        match self.probes.is_isolated(now) {
            true => POLL_ISOLATED,
            false => (POLL_PER_PROCESS * self.roster.len() as u32).clamp(POLL_LEAST, POLL_MOST),
        }
    }
}
