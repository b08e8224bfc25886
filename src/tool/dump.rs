//! `dump PROCESS`: prints the state of one process.

use super::{Exit, Report};
use crate::{Result, operators};

/// Fetches the state of the process and returns the report on it.
pub fn run(client: &operators::Client) -> Result<Report> {
    let state = client.dump()?;
    Ok(Report::new(operators::indented_text(&state), &state, Exit::Done))
}
