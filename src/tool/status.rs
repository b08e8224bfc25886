//! `status`: the state of the agreement, as one process sees it.

use super::{Exit, Report, history};
use crate::{
    Result,
    agree::status::{Behind, Status},
    operators,
};

/// Fetches the status.
pub fn run(client: &operators::Client) -> Result<Report> {
    Ok(report(&client.status()?))
}

/// A status for printing.
pub fn report(status: &Status) -> Report {
    let members = &status.members;
    let table = if status.table_answers { "answers" } else { "does not answer" };
    let mut text = format!("Version {} in force at {}.\n", status.version, status.host);
    text += &format!("The platform's table {table}.\n");
    text += &format!(
        "Processes: {} in service, {} silent lately, {} dead, {} leaving.\n",
        members.alive, members.suspect, members.dead, members.leaving
    );
    if !status.hosts_listed {
        text += "The platform's host list has not been read yet: others may be behind.\n";
    }
    for target in &status.out {
        text += &format!("Out: {}.\n", history::describe_target(target));
    }
    for pending in &status.not_durable {
        let noun = history::describe_target(&pending.target);
        text += &format!(
            "Out but not durable yet: {noun}, through {}, held by {} processes.\n",
            pending.by, pending.held_by
        );
    }
    status.behind.iter().for_each(|behind| text += &line(behind));
    Report::new(text, status, Exit::Done)
}

fn line(behind: &Behind) -> String {
    match (behind.version, behind.heard_ms_ago) {
        (Some(version), Some(ms)) => {
            format!("Behind: {} with version {version}, heard {ms} ms ago.\n", behind.host)
        }
        _ => format!("Behind: {}, not heard yet.\n", behind.host),
    }
}
