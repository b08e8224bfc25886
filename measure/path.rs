//! What the whole path adds to a direct call of the same stand-in.

use std::process;

/// Runs the measurement and prints its table.
pub fn run(_args: &[String]) -> process::ExitCode {
    eprintln!(
        "The measurement 'path' is not built yet; see docs/MEASUREMENTS.md for those that are."
    );
    process::ExitCode::from(2)
}
