//! One operator's order on its way into the table: read, compare, set, settle.
//!
//! Each stage is a type; a lost answer leads to [`Settling`], never back to a
//! blind write. An order whose write was lost is found again by its [`Op`] in
//! the row's history.

use serde::{Deserialize, Serialize};

use crate::{
    agree::{
        record::{self, OrderId, Record, Target},
        store::Unavailable,
    },
    cloud, config, name,
};

/// What an operator orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Put a new text in force; the text has been checked.
    Apply {
        /// The text.
        text: String,
        /// Version that the operator started from; `None` for the one now in force.
        base: Option<u64>,
    },
    /// Take out of service.
    Out(Target),
    /// Bring back.
    In(Target),
}

/// How an order ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// In the table.
    Committed {
        /// Version that it made.
        version: u64,
    },
    /// In force and spreading, but the table could not be written yet.
    NotDurable {
        /// Processes that are known to hold the order, with this one.
        held_by: usize,
    },
    /// Another operator was first; nothing was changed.
    Conflict {
        /// Version now in the table.
        version: u64,
        /// What the operator's text would change in it.
        difference: Vec<String>,
        /// What to do.
        remedy: String,
    },
    /// The table is unavailable; nothing was changed.
    Unavailable {
        /// What to do.
        remedy: String,
    },
    /// The write to the table was not acknowledged; it may still take effect.
    Unknown {
        /// The order, to look for in the history.
        op: OrderId,
        /// What to do.
        remedy: String,
    },
}

/// An order with its identity.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identity.
    pub op: OrderId,
    /// Host whose operators' port took it.
    pub by: name::Host,
    /// What is ordered.
    pub order: Order,
    /// Orders to take out that an order to bring back overrides.
    pub overridden: Vec<OrderId>,
    /// Version in force when the order came; changes after it may conflict.
    pub base: Option<u64>,
}

/// Waits for the row.
#[derive(Clone, Debug)]
pub struct Reading {
    job: Job,
}

/// Waits for the answer to a write.
#[derive(Clone, Debug)]
pub struct Writing {
    job: Job,
    precondition: cloud::Precondition,
    next: Record,
}

/// The answer to a write was lost; waits for the row.
#[derive(Clone, Debug)]
pub struct Settling {
    job: Job,
    precondition: cloud::Precondition,
    next: Record,
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the row and hand it to the stage.
    Read(Reading),
    /// Write and hand the answer to the stage.
    Write(Writing),
    /// Read the row and hand it to the stage.
    Settle(Settling),
    /// Over; the row as last seen, if it is news.
    Done(Outcome, Option<Record>),
}

impl Job {
    /// Begins by reading the row.
    pub fn begin(self) -> Reading {
        Reading { job: self }
    }

    fn decide(mut self, row: Option<&cloud::Row>) -> Step {
        let Some(current) = parse(row) else {
            return Step::Done(row_unreadable(), None);
        };
        if let Some(version) = current.version_of(self.op) {
            return Step::Done(Outcome::Committed { version }, Some(current));
        }
        let base = *self.base.get_or_insert(current.version);
        if let Some(outcome) = conflict(&self, &current, base) {
            return Step::Done(outcome, Some(current));
        }
        let next = match &self.order {
            Order::Apply { text, .. } => current.apply(self.op, &self.by, text),
            Order::Out(target) => current.take_out(self.op, &self.by, target),
            Order::In(target) => {
                current.bring_in(self.op, &self.by, target, self.overridden.iter().copied())
            }
        };
        let when = row.map_or(cloud::Precondition::Absent, |row| {
            cloud::Precondition::Unchanged(row.etag.clone())
        });
        Step::Write(Writing { job: self, precondition: when, next })
    }
}

fn conflict(job: &Job, current: &Record, base: u64) -> Option<Outcome> {
    match &job.order {
        Order::Apply { text, base: said } if current.text_version > said.unwrap_or(base) => {
            Some(Outcome::Conflict {
                version: current.version,
                difference: diff_texts(&current.text, text),
                remedy: format!(
                    "Merge the difference into your text and apply it again from version {}.",
                    current.version
                ),
            })
        }
        Order::In(target) => current.last_change_to(target, base).map(|change| Outcome::Conflict {
            version: current.version,
            difference: vec![format!("{:?} by {}", change.what, change.by)],
            remedy: "Another operator changed it meanwhile; look at the history and repeat.".into(),
        }),
        _ => None,
    }
}

impl Reading {
    /// Takes the answer to the read.
    pub fn answer(self, row: Result<Option<cloud::Row>, Unavailable>) -> Step {
        match row {
            Ok(row) => self.job.decide(row.as_ref()),
            Err(Unavailable) => Step::Done(table_unavailable(), None),
        }
    }
}

impl Writing {
    /// JSON text to write.
    pub fn value(&self) -> String {
        serde_json::to_string(&self.next).expect("a record serializes")
    }

    /// Condition to write under.
    pub fn precondition(&self) -> &cloud::Precondition {
        &self.precondition
    }

    /// Takes the answer to the write.
    pub fn answer(self, written: Result<cloud::WriteOutcome, Unavailable>) -> Step {
        match written {
            Ok(cloud::WriteOutcome::Done(etag)) => {
                let version = self.next.version;
                let record = Record { tag: Some(etag), ..self.next };
                Step::Done(Outcome::Committed { version }, Some(record))
            }
            Ok(cloud::WriteOutcome::Refused) => Step::Read(self.job.begin()),
            Err(Unavailable) => Step::Settle(Settling {
                job: self.job,
                precondition: self.precondition,
                next: self.next,
            }),
        }
    }
}

impl Settling {
    /// Takes the answer to the read.
    pub fn answer(self, row: Result<Option<cloud::Row>, Unavailable>) -> Step {
        match row {
            Err(Unavailable) => Step::Settle(self),
            Ok(row) if self.unchanged(row.as_ref()) => Step::Write(Writing {
                job: self.job,
                precondition: self.precondition,
                next: self.next,
            }),
            Ok(row) => self.job.decide(row.as_ref()),
        }
    }

    /// How the order ends if the table stays away.
    pub fn give_up(&self) -> Outcome {
        Outcome::Unknown {
            op: self.job.op,
            remedy: "Look for the order in the history once the table is back.".into(),
        }
    }

    fn unchanged(&self, row: Option<&cloud::Row>) -> bool {
        match (&self.precondition, row) {
            (cloud::Precondition::Absent, None) => true,
            (cloud::Precondition::Unchanged(etag), Some(row)) => row.etag == *etag,
            _ => false,
        }
    }
}

/// The order could not be begun.
pub fn table_unavailable() -> Outcome {
    Outcome::Unavailable {
        remedy: "The platform's table does not answer; nothing was changed. Repeat later.".into(),
    }
}

fn row_unreadable() -> Outcome {
    let remedy = format!("The row '{}' does not parse; restore it in the table.", record::KEY);
    Outcome::Unavailable { remedy }
}

/// Reads the record in `row`: version 0 if absent, `None` if it does not parse.
pub fn parse(row: Option<&cloud::Row>) -> Option<Record> {
    match row {
        Some(row) => {
            let record: Record = serde_json::from_str(&row.value).ok()?;
            Some(Record { tag: Some(row.etag.clone()), ..record })
        }
        None => Some(Record::default()),
    }
}

/// What `new` would change in `old`, key by key; line by line if either does not parse.
pub fn diff_texts(old: &str, new: &str) -> Vec<String> {
    match (config::parse(old), config::parse(new)) {
        (Ok(old), Ok(new)) => {
            let found = config::diff(&old, &new);
            found.iter().map(ToString::to_string).collect()
        }
        _ => diff_lines(old, new),
    }
}

fn diff_lines(old: &str, new: &str) -> Vec<String> {
    let gone = old.lines().filter(|line| !new.lines().any(|other| other == *line));
    let come = new.lines().filter(|line| !old.lines().any(|other| other == *line));
    let gone = gone.map(|line| format!("- {line}"));
    gone.chain(come.map(|line| format!("+ {line}"))).collect()
}
