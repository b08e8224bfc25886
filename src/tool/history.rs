//! `history`: committed changes.

use super::{Exit, Report};
use crate::{
    Result,
    agree::record::{Change, ChangeKind, Target},
    operators,
};

/// Fetches the changes.
pub fn run(client: &operators::Client) -> Result<Report> {
    Ok(report(&client.history()?))
}

/// Changes for printing, oldest first.
pub fn report(changes: &[Change]) -> Report {
    let text: String = changes.iter().map(line).collect();
    Report::new(text, &changes, Exit::Done)
}

fn line(change: &Change) -> String {
    let what = match &change.what {
        ChangeKind::Apply => "text applied".to_owned(),
        ChangeKind::Out(target) => format!("{} out", describe_target(target)),
        ChangeKind::In(target) => format!("{} in", describe_target(target)),
    };
    format!("{:>6}  {what}  through {}\n", change.version, change.by)
}

/// What a target is called in sentences.
pub fn describe_target(target: &Target) -> String {
    match target {
        Target::Zone(zone) => format!("zone {zone}"),
        Target::Server(server) => format!("backend server {server}"),
    }
}
