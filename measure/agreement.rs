//! Spread of a configuration, store traffic and control cost against the number of processes.

use std::process;

/// Runs the measurement and prints its table.
pub fn run(_args: &[String]) -> process::ExitCode {
    eprintln!(
        "The measurement 'agreement' is not built yet; see docs/MEASUREMENTS.md for those that are."
    );
    process::ExitCode::from(2)
}
