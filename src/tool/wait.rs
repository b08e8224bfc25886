//! `wait [VERSION]`: waits until a version is in force everywhere.

use std::{
    io::{self, IsTerminal},
    thread, time,
};

use super::{Exit, Report, status};
use crate::{Result, agree::status::Status, operators};

/// Time between two status requests.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Polls the status until `version`, or the version now in force, is in force everywhere or until
/// `timeout` has passed.
pub fn run(
    client: &operators::Client,
    version: Option<u64>,
    timeout: time::Duration,
) -> Result<Report> {
    let started_at = time::Instant::now();
    let mut wanted = version;
    loop {
        let status = client.status()?;
        let wanted = *wanted.get_or_insert(status.version);
        let elapsed = started_at.elapsed();
        match is_in_force_everywhere(&status, wanted) {
            true => return Ok(finish(&status, elapsed)),
            false if elapsed >= timeout => {
                end_line();
                return Ok(status::report(&status).with_exit(Exit::Behind));
            }
            false => print_progress(&status, wanted, elapsed),
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Whether `wanted` is in force at the process and at all processes that it knows, the process
/// knows all processes, and every order to take a zone or server out of service is durable.
pub fn is_in_force_everywhere(status: &Status, wanted: u64) -> bool {
    status.version >= wanted
        && status.hosts_listed
        && status.behind.is_empty()
        && status.not_durable.is_empty()
}

fn finish(status: &Status, elapsed: time::Duration) -> Report {
    end_line();
    let members = &status.members;
    let count = members.alive + members.suspect + members.leaving;
    let text = format!(
        "Version {} in force on all {count} processes after {} ms.\n",
        status.version,
        elapsed.as_millis()
    );
    Report::new(text, status, Exit::Done)
}

/// Ends the progress line on a terminal.
fn end_line() {
    if io::stderr().is_terminal() {
        eprintln!();
    }
}

/// Prints the progress: on a terminal as one line that is overwritten, elsewhere as one line per
/// second.
fn print_progress(status: &Status, wanted: u64, elapsed: time::Duration) {
    let text = format!(
        "waiting for version {wanted}: version {} in force here, {} processes behind, \
         {} orders not durable, {} s",
        status.version,
        status.behind.len(),
        status.not_durable.len(),
        elapsed.as_secs()
    );
    match io::stderr().is_terminal() {
        true => eprint!("\r\x1b[K{text}"),
        false if elapsed.subsec_millis() < POLL_INTERVAL.subsec_millis() => eprintln!("{text}"),
        false => {}
    }
}
