//! Expert maps: skew, bytes moved and stall on drifting traces.

use std::process;

/// Runs the measurement and prints its table.
pub fn run(_args: &[String]) -> process::ExitCode {
    eprintln!(
        "The measurement 'maps' is not built yet; see docs/MEASUREMENTS.md for those that are."
    );
    process::ExitCode::from(2)
}
