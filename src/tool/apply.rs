//! `apply FILE`: puts a configuration in force.

use std::path;

use super::{Exit, Report, file};
use crate::{Result, agree::change::Outcome, operators};

/// Checks the configuration file at `path` and sends it to the process to be committed.
pub fn run(client: &operators::Client, path: &path::Path, base: Option<u64>) -> Result<Report> {
    let text = file::read(path)?.text;
    let outcome = client.apply(&text, base)?;
    Ok(report(&outcome))
}

/// Returns the report on the outcome of an order.
pub fn report(outcome: &Outcome) -> Report {
    let (text, exit) = match outcome {
        Outcome::Committed { version } => {
            (format!("Committed as version {version}.\n"), Exit::Done)
        }
        Outcome::NotDurable { held_by } => (
            format!(
                "In force on {held_by} processes and spreading, but not durable yet: the \
                 platform's table does not answer. It becomes durable once the table answers \
                 again.\n"
            ),
            Exit::NotDurable,
        ),
        Outcome::Conflict { version, difference, remedy } => (
            format!(
                "Nothing was changed: version {version} is newer.\n{}{remedy}\n",
                indent(difference)
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

fn indent(lines: &[String]) -> String {
    lines.iter().map(|line| format!("  {line}\n")).collect()
}
