//! Commit of one operator's order to the table: read the row, check for conflicts, write the row
//! on condition that it is unchanged, and settle a write whose answer was lost.
//!
//! Each stage is a type. A lost answer leads to [`Settling`], which reads the row before anything
//! is written again, since the write may have taken effect. It has if the row's history contains
//! the [`OrderId`]; the order is then committed and not written a second time.

use serde::{Deserialize, Serialize};

use crate::{
    agree::{
        record::{self, OrderId, Record, Target},
        store::Unavailable,
    },
    cloud, config, name,
};

/// Order of an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Put a new configuration text in force; the text has been validated.
    Apply {
        /// New text.
        text: String,
        /// Version that the operator edited; `None` for the version now in force.
        base: Option<u64>,
    },
    /// Take a target out of service.
    Out(Target),
    /// Bring a target back into service.
    In(Target),
}

/// Outcome of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The order is in the table.
    Committed {
        /// Version that the order created.
        version: u64,
    },
    /// The order is in force and spreading, but the table could not be written yet.
    NotDurable {
        /// Number of processes known to hold the order, including this one.
        held_by: usize,
    },
    /// Another operator's change was committed first; nothing was changed.
    Conflict {
        /// Version now in the table.
        version: u64,
        /// Differences that the operator's order would make to that version.
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
        /// Order id to look for in the history.
        op: OrderId,
        /// What to do.
        remedy: String,
    },
}

/// Order together with what is needed to commit it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the order.
    pub op: OrderId,
    /// Host whose operators' port received the order.
    pub by: name::Host,
    /// The order itself.
    pub order: Order,
    /// Orders to take the target out that this order to bring it back overrides.
    pub overridden: Vec<OrderId>,
    /// Version in force when the order arrived; changes after it may conflict.
    pub base: Option<u64>,
}

/// Waits for the row to be read.
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

/// Waits for the row to be read, since the answer to a write was lost.
#[derive(Clone, Debug)]
pub struct Settling {
    job: Job,
    precondition: cloud::Precondition,
    next: Record,
}

/// Next step of a commit.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the row and pass it to the stage.
    Read(Reading),
    /// Write the row and pass the answer to the stage.
    Write(Writing),
    /// Read the row and pass it to the stage.
    Settle(Settling),
    /// The order has ended; contains the row as last read or written, if known.
    Done(Outcome, Option<Record>),
}

impl Job {
    /// Starts the commit by reading the row.
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
        let precondition = row.map_or(cloud::Precondition::Absent, |row| {
            cloud::Precondition::Unchanged(row.etag.clone())
        });
        Step::Write(Writing { job: self, precondition, next })
    }
}

fn conflict(job: &Job, current: &Record, base: u64) -> Option<Outcome> {
    match &job.order {
        Order::Apply { text, base: edited } if current.text_version > edited.unwrap_or(base) => {
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
            remedy: "Another operator changed this target in the meantime; check the history and \
                     repeat the order."
                .into(),
        }),
        _ => None,
    }
}

impl Reading {
    /// Handles the answer to the read.
    pub fn handle_answer(self, row: Result<Option<cloud::Row>, Unavailable>) -> Step {
        match row {
            Ok(row) => self.job.decide(row.as_ref()),
            Err(Unavailable) => Step::Done(table_unavailable(), None),
        }
    }
}

impl Writing {
    /// JSON text of the row to write.
    pub fn value(&self) -> String {
        serde_json::to_string(&self.next).expect("a record serializes")
    }

    /// Condition under which the row is written.
    pub fn precondition(&self) -> &cloud::Precondition {
        &self.precondition
    }

    /// Handles the answer to the write.
    pub fn handle_answer(self, written: Result<cloud::WriteOutcome, Unavailable>) -> Step {
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
    /// Handles the answer to the read.
    pub fn handle_answer(self, row: Result<Option<cloud::Row>, Unavailable>) -> Step {
        match row {
            Err(Unavailable) => Step::Settle(self),
            Ok(row) if self.is_row_unchanged(row.as_ref()) => Step::Write(Writing {
                job: self.job,
                precondition: self.precondition,
                next: self.next,
            }),
            Ok(row) => self.job.decide(row.as_ref()),
        }
    }

    /// Outcome of the order if the table stays unavailable.
    pub fn give_up(&self) -> Outcome {
        Outcome::Unknown {
            op: self.job.op,
            remedy: "Look for the order in the history when the table is available again.".into(),
        }
    }

    fn is_row_unchanged(&self, row: Option<&cloud::Row>) -> bool {
        match (&self.precondition, row) {
            (cloud::Precondition::Absent, None) => true,
            (cloud::Precondition::Unchanged(etag), Some(row)) => row.etag == *etag,
            _ => false,
        }
    }
}

/// Outcome of an order that was never written.
pub fn table_unavailable() -> Outcome {
    Outcome::Unavailable {
        remedy: "The platform's table is unavailable; nothing was changed. Repeat the order later."
            .into(),
    }
}

fn row_unreadable() -> Outcome {
    let remedy = format!("The row '{}' does not parse; restore it in the table.", record::KEY);
    Outcome::Unavailable { remedy }
}

/// Parses the record in `row`: version 0 if the row is absent, `None` if it does not parse.
pub fn parse(row: Option<&cloud::Row>) -> Option<Record> {
    match row {
        Some(row) => {
            let record: Record = serde_json::from_str(&row.value).ok()?;
            Some(Record { tag: Some(row.etag.clone()), ..record })
        }
        None => Some(Record::default()),
    }
}

/// Lists the changes from `old` to `new` by key, or by line if either text does not parse.
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
    let removed = old.lines().filter(|line| !new.lines().any(|other| other == *line));
    let added = new.lines().filter(|line| !old.lines().any(|other| other == *line));
    let removed = removed.map(|line| format!("- {line}"));
    removed.chain(added.map(|line| format!("+ {line}"))).collect()
}
