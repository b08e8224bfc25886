//! `wait [VERSION]`: until a version is in force everywhere.

use std::{
    io::{self, IsTerminal},
    thread, time,
};

use super::{Exit, Report, status};
use crate::{Result, agree::status::Status, operators};

/// Time between two questions.
const PERIOD: time::Duration = time::Duration::from_millis(200);

/// Asks until `version`, or the one now in force, is in force everywhere.
pub fn run(
    client: &operators::Client,
    version: Option<u64>,
    timeout: time::Duration,
) -> Result<Report> {
    let started = time::Instant::now();
    let mut wanted = version;
    loop {
        let status = client.status()?;
        let wanted = *wanted.get_or_insert(status.version);
        let waited = started.elapsed();
        match everywhere(&status, wanted) {
            true => return Ok(done(&status, waited)),
            false if waited >= timeout => {
                end_line();
                return Ok(status::report(&status).with_exit(Exit::Behind));
            }
            false => progress(&status, wanted, waited),
        }
        thread::sleep(PERIOD);
    }
}

/// Whether `wanted` is in force at the process and at all that it knows, which
/// are all there are, and everything that is out is durable.
pub fn everywhere(status: &Status, wanted: u64) -> bool {
    status.version >= wanted
        && status.hosts_listed
        && status.behind.is_empty()
        && status.not_durable.is_empty()
}

fn done(status: &Status, waited: time::Duration) -> Report {
    end_line();
    let members = &status.members;
    let count = members.alive + members.suspect + members.leaving;
    let text = format!(
        "Version {} in force on all {count} processes after {} ms.\n",
        status.version,
        waited.as_millis()
    );
    Report::new(text, status, Exit::Done)
}

/// Ends the progress line of a terminal.
fn end_line() {
    if io::stderr().is_terminal() {
        eprintln!();
    }
}

/// One line that is written over on a terminal, one line a second elsewhere.
fn progress(status: &Status, wanted: u64, waited: time::Duration) {
    let text = format!(
        "waiting for version {wanted}: here {}, {} processes behind, {} orders not durable, {} s",
        status.version,
        status.behind.len(),
        status.not_durable.len(),
        waited.as_secs()
    );
    match io::stderr().is_terminal() {
        true => eprint!("\r\x1b[K{text}"),
        false if waited.subsec_millis() < PERIOD.subsec_millis() => eprintln!("{text}"),
        false => {}
    }
}
