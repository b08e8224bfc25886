//! `status`: prints how far the processes agree on the configuration in force and on what is out
//! of service, as one process sees it.

use super::{Exit, Report, history};
use crate::{
    Result,
    agree::status::{Behind, Status},
    operators,
};

/// Fetches the status and returns the report on it.
pub fn run(client: &operators::Client) -> Result<Report> {
    Ok(report(&client.status()?))
}

/// Returns the report on a status.
pub fn report(status: &Status) -> Report {
    let members = &status.members;
    let table_state = if status.table_answers { "answers" } else { "does not answer" };
    let mut text = format!("Version {} in force at {}.\n", status.version, status.host);
    text += &format!("The platform's table {table_state}.\n");
    text += &format!(
        "Processes: {} alive, {} suspect, {} dead, {} leaving.\n",
        members.alive, members.suspect, members.dead, members.leaving
    );
    if !status.hosts_listed {
        text +=
            "The platform's host list has not been read yet: unknown processes may be behind.\n";
    }
    for target in &status.out {
        text += &format!("Out: {}.\n", history::describe_target(target));
    }
    for pending in &status.not_durable {
        let target_name = history::describe_target(&pending.target);
        text += &format!(
            "Out but not durable yet: {target_name}, through {}, held by {} processes.\n",
            pending.by, pending.held_by
        );
    }
    status.behind.iter().for_each(|behind| text += &behind_line(behind));
    Report::new(text, status, Exit::Done)
}

fn behind_line(behind: &Behind) -> String {
    match (behind.version, behind.heard_ms_ago) {
        (Some(version), Some(ms)) => {
            format!("Behind: {} with version {version}, last contact {ms} ms ago.\n", behind.host)
        }
        _ => format!("Behind: {}, no contact yet.\n", behind.host),
    }
}
