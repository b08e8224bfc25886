//! `apply FILE`: puts a text in force.

use std::path;

use super::{Exit, Report, file};
use crate::{Result, agree::change::Outcome, operators};

/// Checks the text at `path` and has it committed.
pub fn run(client: &operators::Client, path: &path::Path, base: Option<u64>) -> Result<Report> {
    let text = file::read(path)?.text;
    let outcome = client.apply(&text, base)?;
    Ok(report(&outcome))
}

/// How an order ended, for printing.
pub fn report(outcome: &Outcome) -> Report {
    let (text, exit) = match outcome {
        Outcome::Committed { version } => {
            (format!("Committed as version {version}.\n"), Exit::Done)
        }
        Outcome::NotDurable { held_by } => (
            format!(
                "In force on {held_by} processes and spreading, but not durable yet: the \
                 platform's table does not answer. It is made durable when the table is back.\n"
            ),
            Exit::NotDurable,
        ),
        Outcome::Conflict { version, difference, remedy } => (
            format!(
                "Nothing was changed: version {version} is newer.\n{}{remedy}\n",
                lines(difference)
            ),
            Exit::Conflict,
        ),
        Outcome::Unavailable { remedy } => (format!("{remedy}\n"), Exit::Unavailable),
        Outcome::Unknown { op, remedy } => (
            format!(
                "It is not known whether order {} took effect. {remedy} `history --json` shows \
                 the number of each order as `op`.\n",
                op.0
            ),
            Exit::Unknown,
        ),
    };
    Report::new(text, outcome, exit)
}

fn lines(lines: &[String]) -> String {
    lines.iter().map(|line| format!("  {line}\n")).collect()
}
