//! `history`: lists committed changes.

use super::{Exit, Report};
use crate::{
    Result,
    agree::record::{Change, ChangeKind, Target},
    operators,
};

/// Fetches the committed changes and returns the report on them.
pub fn run(client: &operators::Client) -> Result<Report> {
    Ok(report(&client.history()?))
}

/// Returns the report on the changes, oldest first.
pub fn report(changes: &[Change]) -> Report {
    let text: String = changes.iter().map(change_line).collect();
    Report::new(text, &changes, Exit::Done)
}

fn change_line(change: &Change) -> String {
    let action = match &change.what {
        ChangeKind::Apply => "configuration applied".to_owned(),
        ChangeKind::Out(target) => format!("{} out", describe_target(target)),
        ChangeKind::In(target) => format!("{} in", describe_target(target)),
    };
    format!("{:>6}  {action}  through {}\n", change.version, change.by)
}

/// Returns the name of a target for use in sentences.
pub fn describe_target(target: &Target) -> String {
    match target {
        Target::Zone(zone) => format!("zone {zone}"),
        Target::Server(server) => format!("backend server {server}"),
    }
}
